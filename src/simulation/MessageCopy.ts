import { SHAPES, type Message } from '../common/Messages.js';

/** JSON has no infinities; everything else that nodes say to each other survives it. */
function isMessage(value: unknown): value is Message {
  if (typeof value !== 'object' || value === null || !('kind' in value)) return false;
  return typeof value.kind === 'string' && value.kind in SHAPES;
}

/**
 * The form in which a message travels here. Nothing may be shared between simulated nodes; the wire
 * form would do as well, but checking the shape of each message takes most of a run's time.
 */
export function packMessage(message: Message): string {
  return JSON.stringify(message);
}

export function unpackMessage(text: string): Message {
  const value: unknown = JSON.parse(text);
  if (!isMessage(value)) throw new TypeError(`no message: ${text.slice(0, 100)}`);
  return value;
}

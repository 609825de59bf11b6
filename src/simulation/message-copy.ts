import { SHAPES, type Message } from '../common/messages.js';

/** JSON has no infinities; everything else that nodes say to each other survives it. */
function isMessage(value: unknown): value is Message {
  if (typeof value !== 'object' || value === null || !('kind' in value)) return false;
  return typeof value.kind === 'string' && value.kind in SHAPES;
}

function isRecord(value: object): value is Record<string, unknown> {
  return !Array.isArray(value);
}

/** A value as JSON would bring it across, but for fields that are undefined, which no message has. */
function copyOf(value: unknown): unknown {
  // What JSON makes of infinities and of no number at all.
  if (typeof value === 'number') return Number.isFinite(value) ? value : null;
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) return value.map(copyOf);
  return isRecord(value) ? copyOfRecord(value) : undefined;
}

function copyOfRecord(record: Record<string, unknown>): Record<string, unknown> {
  const copy = { ...record };
  for (const key in copy) {
    const field = copy[key];
    // Texts, most of what is sent, can be shared: nothing can change them.
    if (typeof field === 'number' || typeof field === 'object') copy[key] = copyOf(field);
  }
  return copy;
}

/**
 * The message that arrives. Nothing may be shared between simulated nodes; the wire form would do as well, but
 * writing, reading and checking it takes a large part of a run's time.
 */
export function copyMessage(message: Message): Message {
  const copy = copyOf(message);
  if (!isMessage(copy)) throw new TypeError(`no message: ${JSON.stringify(message).slice(0, 100)}`);
  return copy;
}

import { SHAPES, type Message } from '../common/messages.js';

/** Whether a value has the kind of a message. A JSON round trip changes nothing in a message but infinities and NaN. */
function isMessage(value: unknown): value is Message {
  if (typeof value !== 'object' || value === null || !('kind' in value)) return false;
  return typeof value.kind === 'string' && value.kind in SHAPES;
}

function isRecord(value: object): value is Record<string, unknown> {
  return !Array.isArray(value);
}

/** A value as after a JSON round trip, except for undefined fields, which no message has. */
function copyOf(value: unknown): unknown {
  // JSON encodes infinities and NaN as null.
  if (typeof value === 'number') return Number.isFinite(value) ? value : null;
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) return value.map(copyOf);
  return isRecord(value) ? copyOfRecord(value) : undefined;
}

function copyOfRecord(record: Record<string, unknown>): Record<string, unknown> {
  const copy = { ...record };
  for (const key in copy) {
    const field = copy[key];
    // Strings, most of what is sent, are immutable and can be shared.
    if (typeof field === 'number' || typeof field === 'object') copy[key] = copyOf(field);
  }
  return copy;
}

/**
 * A deep copy of a message for its receiver: simulated nodes must share no data. Encoding, decoding and checking the wire
 * form would give the same result, but takes a large part of a run's time. Throws a `TypeError` if the copy is no message.
 */
export function copyMessage(message: Message): Message {
  const copy = copyOf(message);
  if (!isMessage(copy))
    throw new TypeError(`not a message: ${JSON.stringify(message).slice(0, 100)}`);
  return copy;
}

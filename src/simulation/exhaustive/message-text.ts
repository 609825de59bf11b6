/** Sets and queues of message ids, encoded as texts with two characters per id, which are cheap to copy and to compare. */

/** First characters are at or above it and second ones below, so that no id matches across the boundary of two others. */
const RADIX = 0x8000;
const CHARACTERS_PER_ID = 2;
/** Keeps first characters below the surrogates. */
const MAX_IDS = (0xd800 - RADIX) * RADIX;

function textOf(id: number): string {
  if (id >= MAX_IDS) throw new RangeError(`more than ${MAX_IDS} messages`);
  return String.fromCharCode(RADIX + Math.floor(id / RADIX), id % RADIX);
}

function idAt(messages: string, at: number): number {
  return (messages.charCodeAt(at) - RADIX) * RADIX + messages.charCodeAt(at + 1);
}

/** Whether the set or queue contains the message. */
export function has(messages: string, id: number): boolean {
  return messages.includes(textOf(id));
}

/** Adds messages to a set, whose text is sorted. */
export function withAll(messages: string, ids: readonly number[]): string {
  let result = messages;
  for (const id of ids) {
    if (has(result, id)) continue;
    let at = 0;
    while (at < result.length && idAt(result, at) < id) at += CHARACTERS_PER_ID;
    result = result.slice(0, at) + textOf(id) + result.slice(at);
  }
  return result;
}

/** Appends messages to a queue, except those that it already contains. */
export function queued(queue: string, ids: readonly number[]): string {
  let result = queue;
  for (const id of ids) if (!has(result, id)) result += textOf(id);
  return result;
}

/** Removes a message from a set or queue. */
export function without(messages: string, id: number): string {
  return messages.replace(textOf(id), '');
}

/** The message ids in a set or queue, in its order. */
export function idsOf(messages: string): readonly number[] {
  const ids: number[] = [];
  for (let at = 0; at < messages.length; at += CHARACTERS_PER_ID) ids.push(idAt(messages, at));
  return ids;
}

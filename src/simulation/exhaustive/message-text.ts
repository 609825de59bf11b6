/** Sets and queues of messages as texts with two characters each, which are cheap to copy and to compare. */

/** First characters lie above it and second ones below, so that no message is found across the ends of two others. */
const SPAN = 0x8000;
const WIDTH = 2;
/** First characters stay below those that make pairs of their own. */
const MOST_IDS = (0xd800 - SPAN) * SPAN;

function textOf(id: number): string {
  if (id >= MOST_IDS) throw new RangeError(`more than ${MOST_IDS} messages`);
  return String.fromCharCode(SPAN + Math.floor(id / SPAN), id % SPAN);
}

function idAt(messages: string, at: number): number {
  return (messages.charCodeAt(at) - SPAN) * SPAN + messages.charCodeAt(at + 1);
}

export function has(messages: string, id: number): boolean {
  return messages.includes(textOf(id));
}

/** Adds messages to the sorted text of those ever sent. */
export function withAll(messages: string, ids: readonly number[]): string {
  let result = messages;
  for (const id of ids) {
    if (has(result, id)) continue;
    let at = 0;
    while (at < result.length && idAt(result, at) < id) at += WIDTH;
    result = result.slice(0, at) + textOf(id) + result.slice(at);
  }
  return result;
}

/** Appends messages to a queue; one that already waits there is not queued again. */
export function queued(queue: string, ids: readonly number[]): string {
  let result = queue;
  for (const id of ids) if (!has(result, id)) result += textOf(id);
  return result;
}

export function without(messages: string, id: number): string {
  return messages.replace(textOf(id), '');
}

export function idsOf(messages: string): readonly number[] {
  const ids: number[] = [];
  for (let at = 0; at < messages.length; at += WIDTH) ids.push(idAt(messages, at));
  return ids;
}

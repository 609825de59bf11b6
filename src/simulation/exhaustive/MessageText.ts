/** Sets and queues of messages as texts with one character each, which are cheap to copy and to compare. */

export function has(messages: string, id: number): boolean {
  return messages.includes(String.fromCharCode(id));
}

/** Adds messages to the sorted text of those ever sent. */
export function withAll(messages: string, ids: readonly number[]): string {
  let result = messages;
  for (const id of ids) {
    if (has(result, id)) continue;
    let at = 0;
    while (at < result.length && result.charCodeAt(at) < id) at += 1;
    result = result.slice(0, at) + String.fromCharCode(id) + result.slice(at);
  }
  return result;
}

/** Appends messages to a queue; one that already waits there is not queued again. */
export function queued(queue: string, ids: readonly number[]): string {
  let result = queue;
  for (const id of ids) if (!has(result, id)) result += String.fromCharCode(id);
  return result;
}

export function without(messages: string, id: number): string {
  return messages.replace(String.fromCharCode(id), '');
}

export function idsOf(messages: string): readonly number[] {
  const ids: number[] = [];
  for (let at = 0; at < messages.length; at += 1) ids.push(messages.charCodeAt(at));
  return ids;
}

/** A complete event of a `text/event-stream`. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: number | undefined;
  /** Whether it consists of comments only, as servers send them to keep a connection alive. */
  readonly isComment: boolean;
}

const LF = 10;
const CR = 13;
const COLON = 58;

/** Splits the bytes of a `text/event-stream` into complete events as they arrive. */
export class EventStream {
  #remainder: Buffer | undefined;

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): StreamEvent[] {
    const all = this.#remainder === undefined ? chunk : Buffer.concat([this.#remainder, chunk]);
    const events: StreamEvent[] = [];
    let from = 0;
    let at = this.#remainder === undefined ? 0 : Math.max(0, this.#remainder.length - 3);
    for (;;) {
      at = all.indexOf(LF, at);
      if (at < 0) break;
      at += 1;
      // A blank line ends an event, with LF as well as CRLF line endings.
      let end = -1;
      if (all[at] === LF) end = at + 1;
      else if (all[at] === CR && all[at + 1] === LF) end = at + 2;
      if (end < 0) continue;
      const bytes = all.subarray(from, end);
      events.push({ bytes, id: idOf(bytes), isComment: isComment(bytes) });
      from = end;
      at = end;
    }
    this.#remainder = from < all.length ? all.subarray(from) : undefined;
    return events;
  }

  /** The bytes after the last complete event. */
  get remainder(): Buffer | undefined {
    return this.#remainder;
  }
}

function idOf(bytes: Buffer): number | undefined {
  let at = 0;
  // The id is on a line that begins with `id:`; the content of data lines is not searched.
  while (at < bytes.length) {
    const end = bytes.indexOf(LF, at);
    const stop = end < 0 ? bytes.length : end;
    if (bytes[at] === 105 && bytes[at + 1] === 100 && bytes[at + 2] === 58) {
      const text = bytes.toString('latin1', at + 3, stop).trim();
      return /^\d{1,15}$/.test(text) ? Number(text) : undefined;
    }
    at = stop + 1;
  }
  return undefined;
}

/** Whether every line is empty or a comment. */
function isComment(bytes: Buffer): boolean {
  for (let at = 0; at < bytes.length;) {
    const end = bytes.indexOf(LF, at);
    const stop = end < 0 ? bytes.length : end;
    const isEmpty = at === stop || (bytes[at] === CR && at + 1 === stop);
    if (!isEmpty && bytes[at] !== COLON) return false;
    at = stop + 1;
  }
  return true;
}

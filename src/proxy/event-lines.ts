const LF = 10;
const CR = 13;
const COLON = 58;
const ID_FIELD = Buffer.from('id:');
const EVENT_ID = /^\d{1,15}$/;

/** What the lines of an event say. */
export interface EventFields {
  readonly id: number | undefined;
  /** Whether it consists of comments only, as servers send them to keep a connection alive. */
  readonly isComment: boolean;
}

/** Reads the lines of an event, or of the part of it that has arrived; a last line without its end is ignored. */
export function readEventFields(bytes: Buffer): EventFields {
  let isComment = true;
  let from = 0;
  for (let end = lineEnd(bytes, 0); end < bytes.length; end = lineEnd(bytes, from)) {
    // The id is on a line that begins with `id:`; the content of data lines is not searched.
    if (isIdLine(bytes, from)) return { id: idOf(bytes, from, end), isComment: false };
    if (end > from && bytes[from] !== COLON) isComment = false;
    from = end + 1;
  }
  return { id: undefined, isComment };
}

/** The position of the first CR or LF at or behind `from`; the length if there is none. An LF behind a CR ends a blank line. */
function lineEnd(bytes: Buffer, from: number): number {
  let at = from;
  while (at < bytes.length && bytes[at] !== LF && bytes[at] !== CR) at += 1;
  return at;
}

function isIdLine(bytes: Buffer, from: number): boolean {
  return ID_FIELD.every((byte, index) => bytes[from + index] === byte);
}

function idOf(bytes: Buffer, from: number, end: number): number | undefined {
  const text = bytes.toString('latin1', from + ID_FIELD.length, end).trim();
  return EVENT_ID.test(text) ? Number(text) : undefined;
}

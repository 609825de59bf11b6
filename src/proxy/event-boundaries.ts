const LF = 10;
const CR = 13;

/**
 * Finds where the events of a `text/event-stream` end, whatever the pieces in which it arrives. Lines end with LF, CRLF or
 * CR alone, and a blank line behind at least one other line ends an event (HTML standard, 9.2.5). Each byte is looked at a
 * bounded number of times, however little of an event a piece has.
 */
export class EventBoundaries {
  /** Whether the current event has a line that is not blank. */
  #hasContent = false;
  #isLineEmpty = true;
  /** Whether the last byte was a CR: an LF that follows belongs to the same line end. */
  #mayFollowLf = false;
  /** Whether the last line end was a CR alone. */
  #isBareCr = false;
  /** Whether a blank line was read whose CR may be followed by the LF that completes it. */
  #isEndPending = false;
  #examinedBytes = 0;

  /** The number of times that a byte was looked at. */
  get examinedBytes(): number {
    return this.#examinedBytes;
  }

  /**
   * The positions in the chunk right behind each event that it ends, ascending; 0 if the event turned out to have ended
   * with the chunk before.
   */
  find(chunk: Buffer): number[] {
    const ends: number[] = [];
    const lineEnds = new LineEnds(chunk);
    let at = 0;
    while (at < chunk.length) {
      const byte = chunk[at];
      this.#examinedBytes += 1;
      if (this.#mayFollowLf && this.#onByteAfterCr(byte === LF, at, ends)) {
        at += 1;
        continue;
      }
      if (byte === LF || byte === CR) {
        at += 1;
        this.#onLineEnd(byte === CR, at, ends);
        continue;
      }
      this.#isLineEmpty = false;
      this.#hasContent = true;
      at = lineEnds.from(at);
    }
    this.#examinedBytes += lineEnds.examinedBytes;
    return ends;
  }

  /** The stream has ended. Returns whether the bytes since the last end are a complete event. */
  end(): boolean {
    return this.#isEndPending;
  }

  /** Returns whether the byte belongs to the line end that the CR before it began. */
  #onByteAfterCr(isLf: boolean, at: number, ends: number[]): boolean {
    this.#mayFollowLf = false;
    this.#isBareCr = !isLf;
    if (this.#isEndPending) {
      this.#isEndPending = false;
      this.#endEvent(isLf ? at + 1 : at, ends);
    }
    return isLf;
  }

  /** `end` is the position right behind the CR or LF. */
  #onLineEnd(isCr: boolean, end: number, ends: number[]): void {
    const isBlank = this.#isLineEmpty;
    const isAfterBareCr = this.#isBareCr;
    this.#isLineEmpty = true;
    this.#mayFollowLf = isCr;
    this.#isBareCr = false;
    if (!isBlank || !this.#hasContent) return;
    // Whether an LF follows is known only with the next byte, which may be that of the next event. Where lines end with CR
    // alone no LF is expected, and the event must not wait for it.
    if (isCr && !isAfterBareCr) this.#isEndPending = true;
    else this.#endEvent(end, ends);
  }

  #endEvent(end: number, ends: number[]): void {
    this.#hasContent = false;
    ends.push(end);
  }
}

/** Finds the ends of the lines of one chunk, in ascending order. */
class LineEnds {
  readonly #chunk: Buffer;
  #nextLf = -1;
  #nextCr = -1;
  #examinedBytes = 0;

  constructor(chunk: Buffer) {
    this.#chunk = chunk;
  }

  /** The number of bytes that were searched. */
  get examinedBytes(): number {
    return this.#examinedBytes;
  }

  /** The position of the first CR or LF at or behind `at`; the length of the chunk if there is none. */
  from(at: number): number {
    if (this.#nextLf < at) this.#nextLf = this.#search(LF, at);
    if (this.#nextCr < at) this.#nextCr = this.#search(CR, at);
    return Math.min(this.#nextLf, this.#nextCr);
  }

  #search(byte: number, at: number): number {
    const found = this.#chunk.indexOf(byte, at);
    const position = found < 0 ? this.#chunk.length : found;
    this.#examinedBytes += position - at;
    return position;
  }
}

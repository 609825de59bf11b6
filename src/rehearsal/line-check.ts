import { number, optional, string, type } from 'superstruct';
import { parseAs } from '../common/json.js';

const LineShape = type({
  id: string(),
  run: string(),
  index: optional(number()),
  end: optional(number()),
});

/**
 * Checks the lines of a response's body: all are of one run of the caller's request, are numbered from 0 without gap or
 * repetition, and are followed by a last line with their count.
 */
export class LineCheck {
  readonly #id: string;
  #remainder = '';
  #count = 0;
  #hasEnded = false;
  /** The id of the run of the first line; empty before it. */
  run = '';
  /** The first fault found; empty if none. */
  fault = '';

  constructor(id: string) {
    this.#id = id;
  }

  /** Checks the next piece of the body, which may end within a line. */
  take(text: string): void {
    const lines = (this.#remainder + text).split('\n');
    this.#remainder = lines.pop() ?? '';
    for (const line of lines) this.#checkLine(line);
  }

  /** Checks the end of the body. */
  end(): void {
    if (this.#remainder !== '') this.#checkLine(this.#remainder);
    if (!this.#hasEnded) this.#recordFault('no last line');
  }

  #recordFault(text: string): void {
    if (this.fault === '') this.fault = text;
  }

  #checkLine(line: string): void {
    const parsed = parseAs(LineShape, line);
    if (!parsed) {
      this.#recordFault('an invalid line');
      return;
    }
    if (this.#hasEnded) this.#recordFault('continues after its last line');
    if (this.run === '') this.run = parsed.run;
    if (parsed.run !== this.run) this.#recordFault('stitched of two runs');
    if (parsed.id !== this.#id) this.#recordFault("another request's line");
    if (parsed.end !== undefined) {
      this.#hasEnded = true;
      if (parsed.index === undefined && parsed.end !== this.#count)
        this.#recordFault(`ends at ${parsed.end} after ${this.#count}`);
      return;
    }
    if (parsed.index !== this.#count)
      this.#recordFault(`line ${parsed.index} where ${this.#count} is due`);
    this.#count += 1;
  }
}

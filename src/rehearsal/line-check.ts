import { number, optional, string, type } from 'superstruct';
import { parseAs } from '../common/json.js';

const LineShape = type({
  id: string(),
  run: string(),
  index: optional(number()),
  end: optional(number()),
});

/** Checks a runner's lines one by one: one run, ours, numbered without gap or repeat, and an end that counts them. */
export class LineCheck {
  readonly #id: string;
  #rest = '';
  #count = 0;
  #hasEnded = false;
  run = '';
  fault = '';

  constructor(id: string) {
    this.#id = id;
  }

  take(text: string): void {
    const lines = (this.#rest + text).split('\n');
    this.#rest = lines.pop() ?? '';
    for (const line of lines) this.#line(line);
  }

  end(): void {
    if (this.#rest !== '') this.#line(this.#rest);
    if (!this.#hasEnded) this.#fault('no end');
  }

  #fault(text: string): void {
    if (this.fault === '') this.fault = text;
  }

  #line(line: string): void {
    const parsed = parseAs(LineShape, line);
    if (!parsed) {
      this.#fault('a line that is none');
      return;
    }
    if (this.#hasEnded) this.#fault('goes on after its end');
    if (this.run === '') this.run = parsed.run;
    if (parsed.run !== this.run) this.#fault('stitched of two runs');
    if (parsed.id !== this.#id) this.#fault("somebody else's");
    if (parsed.end !== undefined) {
      this.#hasEnded = true;
      if (parsed.index === undefined && parsed.end !== this.#count)
        this.#fault(`ends at ${parsed.end} after ${this.#count}`);
      return;
    }
    if (parsed.index !== this.#count)
      this.#fault(`line ${parsed.index} where ${this.#count} is due`);
    this.#count += 1;
  }
}

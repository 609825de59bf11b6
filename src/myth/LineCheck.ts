import { number, optional, string, type } from 'superstruct';
import { parseAs } from '../kin/Json.js';

const LineShape = type({ id: string(), run: string(), index: optional(number()), end: optional(number()) });

/** Checks a runner's lines one by one: one run, ours, numbered without gap or repeat, and an end that counts them. */
export class LineCheck {
  readonly #id: string;
  #rest = '';
  #count = 0;
  #hasEnded = false;
  run = '';
  fault = '';

  constructor(id: string) { this.#id = id; }

  take(text: string): void {
    const lines = (this.#rest + text).split('\n');
    this.#rest = lines.pop() ?? '';
    for (const line of lines) this.#line(line);
  }

  end(): void {
    if (this.#rest !== '') this.#line(this.#rest);
    if (!this.#hasEnded) this.#fault('no end');
  }

  #fault(text: string): void { if (this.fault === '') this.fault = text; }

  #line(line: string): void {
    const parsed = parseAs(LineShape, line);
    if (!parsed) { this.#fault('a line that is none'); return; }
    if (this.#hasEnded) this.#fault('goes on after its end');
    if (this.run === '') this.run = parsed.run;
    if (parsed.run !== this.run) this.#fault('stitched of two runs');
    if (parsed.id !== this.#id) this.#fault('somebody else\'s');
    if (parsed.end !== undefined) {
      this.#hasEnded = true;
      if (parsed.index === undefined && parsed.end !== this.#count) this.#fault(`ends at ${parsed.end} after ${this.#count}`);
      return;
    }
    if (parsed.index !== this.#count) this.#fault(`line ${parsed.index} where ${this.#count} is due`);
    this.#count += 1;
  }
}

if (import.meta.vitest) {
  const { test, expect } = import.meta.vitest;
  function faultOf(lines: readonly object[]): string {
    const check = new LineCheck('q');
    const text = lines.map(jsonLine).join('');
    // In pieces that end anywhere, as they come from a socket.
    for (let at = 0; at < text.length; at += 7) check.take(text.slice(at, at + 7));
    check.end();
    return check.fault;
  }
  function jsonLine(value: object): string { return `${JSON.stringify(value)}\n`; }
  function checkFaults(): void {
    const [first, second, end] = [{ id: 'q', run: 'r', index: 0 }, { id: 'q', run: 'r', index: 1 }, { id: 'q', run: 'r', end: 2 }];
    expect(faultOf([first, second, end])).toBe('');
    expect(faultOf([first, second])).toBe('no end');
    expect(faultOf([first, first, end])).toContain('where 1 is due');
    expect(faultOf([second, end])).toContain('where 0 is due');
    expect(faultOf([first, { ...second, run: 'other' }, end])).toContain('stitched');
    expect(faultOf([first, { ...second, id: 'p' }, end])).toContain('somebody else');
    expect(faultOf([first, end])).toContain('ends at 2 after 1');
    expect(faultOf([first, second, end, second])).toContain('goes on');
  }
  test('every way in which a return may not be the runner\'s whole one is named', checkFaults);
}

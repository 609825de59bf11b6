import { createHash } from 'node:crypto';

/** Characters from which a text is kept as its hash. */
const LONG_TEXT = 64;

function shortened(text: string): string {
  if (text.length < LONG_TEXT) return text;
  return createHash('sha256').update(text).digest('base64');
}

/** Gives equal values, by their JSON text, one small number each, so that states are compared by numbers. */
export class Interner<Value> {
  readonly #ids = new Map<string, number>();
  readonly #values: Value[] = [];

  get size(): number {
    return this.#values.length;
  }

  idOf(value: Value): number {
    const text = shortened(JSON.stringify(value));
    const known = this.#ids.get(text);
    if (known !== undefined) return known;
    const id = this.#values.length;
    // What a core sent may still be in its hands, and it may change it later.
    this.#values.push(structuredClone(value));
    this.#ids.set(text, id);
    return id;
  }

  valueOf(id: number): Value {
    const value = this.#values[id];
    if (value === undefined) throw new RangeError(`no interned value ${id}`);
    return value;
  }
}

import { createHash } from 'node:crypto';

/** Texts of at least this length are stored as their hash. */
const MIN_HASHED_CHARACTERS = 64;

function hashedIfLong(text: string): string {
  if (text.length < MIN_HASHED_CHARACTERS) return text;
  return createHash('sha256').update(text).digest('base64');
}

/** Assigns small integer ids to values; values with equal JSON texts share one, so that states are compared by ids. */
export class Interner<Value> {
  readonly #ids = new Map<string, number>();
  readonly #values: Value[] = [];

  /** Number of distinct values. */
  get size(): number {
    return this.#values.length;
  }

  /** The id of the value; a new one if no equal value was seen. */
  idOf(value: Value): number {
    const text = hashedIfLong(JSON.stringify(value));
    const known = this.#ids.get(text);
    if (known !== undefined) return known;
    const id = this.#values.length;
    // A core may keep a reference to what it sent, and change it later.
    this.#values.push(structuredClone(value));
    this.#ids.set(text, id);
    return id;
  }

  /** The value with this id; throws a RangeError if there is none. */
  valueOf(id: number): Value {
    const value = this.#values[id];
    if (value === undefined) throw new RangeError(`no interned value ${id}`);
    return value;
  }
}

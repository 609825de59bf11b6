/** Gives equal values, by their JSON text, one small number each, so that states are compared by numbers. */
export class Interner<Value> {
  readonly #ids = new Map<string, number>();
  readonly #values: Value[] = [];

  get size(): number {
    return this.#values.length;
  }

  idOf(value: Value): number {
    const text = JSON.stringify(value);
    const known = this.#ids.get(text);
    if (known !== undefined) return known;
    const id = this.#values.length;
    this.#values.push(value);
    this.#ids.set(text, id);
    return id;
  }

  valueOf(id: number): Value {
    const value = this.#values[id];
    if (value === undefined) throw new RangeError(`no interned value ${id}`);
    return value;
  }
}

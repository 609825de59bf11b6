import { setFlagsFromString } from 'node:v8';
import { compileFunction } from 'node:vm';

const ALLOW_NATIVES = '--allow-natives-syntax';
const DISALLOW_NATIVES = '--no-allow-natives-syntax';
/** V8's property filter that selects private names only. */
const PRIVATE_NAMES_ONLY = 64;

/** One private field of a class: its name in the source, and the private symbol by which V8 stores it. */
export interface PrivateKey {
  readonly name: string;
  readonly key: symbol;
}

/**
 * Finds the keys of private fields, needed once per class: reading a field by its key is some hundred times faster than by
 * the inspector. If the engine lacks the native function, no keys are found, and the inspector has to be used.
 */
export class PrivateFields {
  readonly #keysOf: unknown;

  constructor() {
    setFlagsFromString(ALLOW_NATIVES);
    try {
      const source = `return %GetOwnPropertyKeys(object, ${PRIVATE_NAMES_ONLY})`;
      this.#keysOf = compileFunction(source, ['object']);
    } catch {
      this.#keysOf = undefined;
    } finally {
      setFlagsFromString(DISALLOW_NATIVES);
    }
  }

  /** The keys of the private fields of the object's class and its base classes, without private accessors and methods. */
  keysOf(object: object): readonly PrivateKey[] {
    if (typeof this.#keysOf !== 'function') return [];
    const keys: unknown = this.#keysOf(object);
    if (!Array.isArray(keys)) return [];
    const found: PrivateKey[] = [];
    for (const key of keys) {
      // A class with private methods also leaves a brand symbol, which is not a field.
      if (typeof key !== 'symbol' || !key.description?.startsWith('#')) continue;
      found.push({ name: key.description, key });
    }
    return found;
  }
}

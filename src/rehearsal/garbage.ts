import { SHAPES, type Message } from '../common/messages.js';
import type { SeededRandom } from './seeded-random.js';

/** Strings for fields other than bodies: names in use, unknown names and malformed bodies. */
export const WORDS = [
  '',
  'config',
  'places',
  'machines',
  'p-0',
  'mind-0:1',
  'mind-1:1',
  'mind-2:1',
  'link-0:1',
  'flow@0',
  'unknown',
  '\u0000',
  '{}',
  '[]',
  'null',
  '{"number":-1}',
  '{"places":[{}]}',
  '{"revision":1e308,"machines":[]}',
] as const;
const NUMBERS = [0, -1, 1, 2, 3, 4, 7, 0.5, 1e6, 1e15, -1e15] as const;

/** Draws invalid input, as another build or a foreign program might send: messages of valid shape with arbitrary values. */
export class Garbage {
  readonly #seeded: SeededRandom;
  /** Valid bodies, which `text` corrupts. */
  readonly #bodies: readonly string[];

  constructor(seeded: SeededRandom, bodies: readonly string[]) {
    this.#seeded = seeded;
    this.#bodies = bodies;
  }

  /** Draws a message of a random kind that matches the shape of its kind. */
  message(): Message {
    const kinds = Object.entries(SHAPES);
    for (;;) {
      const [kind, shape] = kinds[this.#seeded.below(kinds.length)] ?? ['ack', SHAPES.ack];
      const schema: object = shape.schema;
      const value: unknown = { kind, ...this.#fields(schema) };
      if (isMessage(shape, value)) return value;
    }
  }

  #fields(schema: object): object {
    const fields: Record<string, unknown> = {};
    const entries: [string, unknown][] = Object.entries(schema);
    for (const [key, shape] of entries) fields[key] = this.#value(shape, key);
    return fields;
  }

  #value(shape: unknown, key: string): unknown {
    if (typeof shape !== 'object' || shape === null || !('type' in shape)) return undefined;
    const inner: unknown = 'schema' in shape ? shape.schema : undefined;
    if (shape.type === 'number') return this.#seeded.pick(NUMBERS);
    if (shape.type === 'boolean') return this.#seeded.isLikely(0.5);
    if (shape.type === 'string') return key === 'body' ? this.text() : this.#seeded.pick(WORDS);
    if (shape.type === 'array') {
      const list = [];
      for (let count = this.#seeded.below(3); count > 0; count -= 1)
        list.push(this.#value(inner, key));
      return list;
    }
    return typeof inner === 'object' && inner !== null ? this.#fields(inner) : undefined;
  }

  /** Draws a valid body with a piece removed, inserted or changed, or an unrelated string. */
  text(): string {
    const body = this.#seeded.pick(this.#bodies) ?? '';
    const from = this.#seeded.below(body.length + 1);
    const until = from + this.#seeded.below(20);
    switch (this.#seeded.below(5)) {
      case 0:
        return body.slice(0, from) + body.slice(until);
      case 1:
        return (
          body.slice(0, from) +
          (this.#seeded.pick(['"', '}', ',', '9', 'null', '-', '[']) ?? '') +
          body.slice(from)
        );
      case 2:
        return body.replace(/-?\d+/g, String(this.#seeded.pick(NUMBERS)));
      case 3:
        return body.replace(/"[a-z-]+":/, '"other":');
      default:
        return this.#seeded.pick(WORDS) ?? '';
    }
  }
}

function isMessage(shape: { is(value: unknown): boolean }, value: unknown): value is Message {
  return shape.is(value);
}

import protobuf from 'protobufjs';
import { Struct } from 'superstruct';
import { MalformedFrameError } from './errors.js';

/** The members of a superstruct `Struct` that are used here. Unlike `Struct`, it is covariant in `T`. */
export interface Shape<T> {
  readonly type: string;
  readonly schema: unknown;
  is(value: unknown): value is T;
}

/**
 * Converts superstruct shapes to protobuf types, so that each message is defined once: the shape gives the TypeScript type
 * and the validation, and the order of its fields gives the field numbers. New fields go at the end; a message of an older
 * version then decodes with their defaults.
 */
export class Wire {
  readonly #root = new protobuf.Root();
  readonly #types = new Map<string, protobuf.Type>();

  /** Returns the protobuf type of a shape, created on first use. Throws a `TypeError` for shapes without a protobuf form. */
  define(name: string, shape: Shape<unknown>): protobuf.Type {
    const known = this.#types.get(name);
    if (known) return known;
    const type = new protobuf.Type(name);
    this.#types.set(name, type);
    this.#root.add(type);
    const schema: unknown = shape.schema;
    if (typeof schema !== 'object' || schema === null) throw new TypeError(`${name} has no fields`);
    const fields: [string, unknown][] = Object.entries(schema);
    for (const [index, [key, value]] of fields.entries()) {
      if (!(value instanceof Struct)) throw new TypeError(`${name}.${key} is not a shape`);
      type.add(this.#field(`${name}_${key}`, key, index + 1, value));
    }
    return type;
  }

  #field(path: string, key: string, number: number, shape: Shape<unknown>): protobuf.Field {
    if (shape.type === 'array') {
      const element: unknown = shape.schema;
      if (!(element instanceof Struct)) throw new TypeError(`${path} has no element shape`);
      return new protobuf.Field(key, number, this.#scalar(path, element), 'repeated');
    }
    return new protobuf.Field(key, number, this.#scalar(path, shape));
  }

  #scalar(path: string, shape: Shape<unknown>): string {
    if (shape.type === 'string') return 'string';
    if (shape.type === 'number') return 'double';
    if (shape.type === 'boolean') return 'bool';
    if (shape.type === 'type') return this.define(path, shape).name;
    throw new TypeError(`${path}: no protobuf type for ${shape.type}`);
  }
}

/** Encodes and decodes messages of one kind; decoded ones are validated. */
export class Codec<T extends object> {
  readonly #type: protobuf.Type;
  readonly #shape: Shape<T>;

  constructor(wire: Wire, name: string, shape: Shape<T>) {
    this.#type = wire.define(name, shape);
    this.#shape = shape;
  }

  /** Encodes a message in protobuf form. */
  encode(value: T): Uint8Array {
    return this.#type.encode(this.#type.fromObject(value)).finish();
  }

  /** Decodes a message; throws a `MalformedFrameError` if the bytes or the fields are invalid. */
  decode(bytes: Uint8Array): T {
    let raw: unknown;
    try {
      raw = this.#type.toObject(this.#type.decode(bytes), { defaults: true, arrays: true });
    } catch (thrown) {
      throw new MalformedFrameError(
        `undecodable ${this.#type.name}`,
        thrown instanceof Error ? thrown : undefined,
      );
    }
    if (!this.#shape.is(raw))
      throw new MalformedFrameError(`${this.#type.name} has fields of the wrong type`);
    return raw;
  }
}

import { createHash } from 'node:crypto';
import { Session, type Runtime } from 'node:inspector';
import { BoundCalls } from './bound-calls.js';
import { PrivateFields, type PrivateKey } from './private-fields.js';

const HOLDER = 'haretrackStateDigest';
const GROUP = 'state-digest';
/** Run by the engine: hands remote values back to this module as the values they stand for. */
const HAND_BACK = `function (...values) { globalThis.${HOLDER}.values = values; }`;
/** Classes whose instances never change. */
export const CONSTANT_CLASSES: ReadonlySet<string> = new Set(['Quorum']);
/** Maps whose order of insertion decides what a core does next; all others are digested in sorted order. */
export const ORDERED_FIELDS: ReadonlySet<string> = new Set(['#announced']);

interface Holder {
  subject: unknown;
  values: readonly unknown[];
}

interface Field {
  readonly name: string;
  readonly value: unknown;
}

/** The engine returns private fields as well, which the published types leave out. */
interface Properties extends Runtime.GetPropertiesReturnType {
  readonly privateProperties?: readonly Runtime.InternalPropertyDescriptor[];
}

function isPlain(value: object): boolean {
  const prototype: unknown = Object.getPrototypeOf(value);
  return prototype === Object.prototype || prototype === null;
}

/**
 * Canonical text of an object with everything it holds, private fields and bound arguments included.
 *
 * The cores keep their state in private fields, which no code outside their classes can read; the engine's own inspector
 * can. Two cores with the same text behave alike from then on, so that one of them is enough to explore.
 *
 * What an arrow function captures cannot be read. In a core arrow functions are fixed wiring, made once at its start; a call
 * that waits in the state of a core has to be data.
 */
export class StateDigest {
  readonly #session = new Session();
  readonly #holder: Holder = { subject: undefined, values: [] };
  /** Classes whose instances never change anything that a model looks at. */
  readonly #ignored: ReadonlySet<string>;
  /** Texts of instances that never change. */
  readonly #constant = new WeakMap<object, string>();
  /** Texts of objects already met in the text under way: what many refer to is written out once. */
  readonly #met = new Map<object, string>();
  /** The engine's ids of objects that it has just named. */
  readonly #remoteIds = new Map<unknown, string>();
  readonly #privates = new PrivateFields();
  readonly #boundCalls = new BoundCalls();
  /** Keys of the private fields of each class, as its first instance told them; nothing where they cannot be relied on. */
  readonly #keysByClass = new Map<unknown, readonly PrivateKey[] | undefined>();

  constructor(ignored: readonly string[] = []) {
    this.#ignored = new Set(ignored);
    this.#session.connect();
    this.#boundCalls.begin();
  }

  close(): void {
    this.#boundCalls.end();
    this.#session.disconnect();
  }

  textOf(root: unknown): string {
    Reflect.set(globalThis, HOLDER, this.#holder);
    const text = this.#text(root, [], '');
    this.#remoteIds.clear();
    this.#met.clear();
    this.#session.post('Runtime.releaseObjectGroup', { objectGroup: GROUP });
    return text;
  }

  #text(value: unknown, path: readonly unknown[], field: string): string {
    if (typeof value === 'function') return this.#functionText(value, path);
    if (typeof value !== 'object' || value === null) {
      return value === undefined ? '-' : JSON.stringify(value);
    }
    // An object that holds itself, directly or not, is named by its depth.
    const depth = path.indexOf(value);
    if (depth >= 0) return `^${depth}`;
    const inner = [...path, value];
    if (Array.isArray(value)) return `[${this.#listText(value, inner).join()}]`;
    if (value instanceof Set) return `{${this.#sorted(this.#listText([...value], inner), field)}}`;
    if (value instanceof Map) {
      const entries: string[] = [];
      for (const [key, item] of value) {
        entries.push(`${this.#text(key, inner, '')}:${this.#text(item, inner, '')}`);
      }
      return `{${this.#sorted(entries, field)}}`;
    }
    return this.#objectText(value, inner);
  }

  #sorted(texts: string[], field: string): string {
    return (ORDERED_FIELDS.has(field) ? texts : texts.sort()).join();
  }

  #listText(values: readonly unknown[], path: readonly unknown[]): string[] {
    const texts: string[] = [];
    for (const value of values) texts.push(this.#text(value, path, ''));
    return texts;
  }

  #objectText(value: object, path: readonly unknown[]): string {
    const name: unknown = value.constructor?.name;
    if (typeof name === 'string' && this.#ignored.has(name)) return name;
    const known = this.#constant.get(value);
    if (known !== undefined) return known;
    const met = this.#met.get(value);
    if (met !== undefined) return `@${createHash('sha256').update(met).digest('base64')}`;
    const text = this.#fieldsText(value, path);
    this.#met.set(value, text);
    if (typeof name === 'string' && CONSTANT_CLASSES.has(name)) this.#constant.set(value, text);
    return text;
  }

  #fieldsText(value: object, path: readonly unknown[]): string {
    const texts: string[] = [];
    for (const [key, item] of Object.entries(value)) {
      texts.push(`${key}:${this.#text(item, path, key)}`);
    }
    if (!isPlain(value)) {
      for (const field of this.#privateFields(value)) {
        texts.push(`${field.name}:${this.#text(field.value, path, field.name)}`);
      }
    }
    return `(${texts.sort().join()})`;
  }

  /** A bound method is its name and what is bound to it; any other function could hide state in its scope. */
  #functionText(value: object, path: readonly unknown[]): string {
    const call = this.#boundCalls.of(value);
    if (call) return this.#callText(call.target, call.bound, path);
    if (!isBound(value)) return 'function';
    const inner = this.#properties(value).internalProperties ?? [];
    const bound = inner.filter(isBoundPart);
    const [target, ...rest] = this.#values(bound.map(valueOf));
    return this.#callText(target, rest, path);
  }

  #callText(target: unknown, bound: readonly unknown[], path: readonly unknown[]): string {
    const name = typeof target === 'function' ? target.name : '';
    return `${name}(${this.#listText(bound, path).join()})`;
  }

  #privateFields(value: object): Field[] {
    const made = value.constructor;
    if (!this.#keysByClass.has(made)) this.#keysByClass.set(made, this.#reliableKeys(value));
    const keys = this.#keysByClass.get(made);
    if (keys === undefined) return this.#inspectedFields(value);
    const fields: Field[] = [];
    for (const { name, key } of keys) fields.push({ name, value: Reflect.get(value, key) });
    return fields;
  }

  /** Keys are relied on only if they lead to all that the inspector sees in the object, and to the same values. */
  #reliableKeys(value: object): readonly PrivateKey[] | undefined {
    const keys = this.#privates.keysOf(value);
    const seen = this.#inspectedFields(value);
    if (keys.length !== seen.length) return undefined;
    for (const { name, key } of keys) {
      const found: unknown = Reflect.get(value, key);
      if (!seen.some((field) => field.name === name && Object.is(field.value, found)))
        return undefined;
    }
    return keys;
  }

  #inspectedFields(value: object): Field[] {
    const remote = this.#properties(value).privateProperties ?? [];
    const fields: Field[] = [];
    const values = this.#values(remote.map(valueOf));
    for (const [index, { name }] of remote.entries()) fields.push({ name, value: values[index] });
    return fields;
  }

  #properties(value: unknown): Properties {
    let properties: Properties = { result: [] };
    const objectId = this.#remoteIds.get(value) ?? this.#remoteIdOf(value);
    this.#session.post(
      'Runtime.getProperties',
      { objectId, ownProperties: true },
      (_error: Error | null, found: Runtime.GetPropertiesReturnType) => {
        properties = found;
      },
    );
    return properties;
  }

  #remoteIdOf(value: unknown): string {
    this.#holder.subject = value;
    let objectId = '';
    const expression = `globalThis.${HOLDER}.subject`;
    this.#session.post(
      'Runtime.evaluate',
      { expression, objectGroup: GROUP },
      (_error: Error | null, found: Runtime.EvaluateReturnType) => {
        objectId = found.result.objectId ?? '';
      },
    );
    return objectId;
  }

  #values(remote: readonly (Runtime.RemoteObject | undefined)[]): readonly unknown[] {
    const values: unknown[] = [];
    const fetched: Runtime.CallArgument[] = [];
    for (const item of remote) if (item?.objectId) fetched.push({ objectId: item.objectId });
    if (fetched.length > 0) {
      const [first] = fetched;
      this.#session.post('Runtime.callFunctionOn', {
        functionDeclaration: HAND_BACK,
        objectId: first?.objectId ?? '',
        arguments: fetched,
        objectGroup: GROUP,
      });
    }
    let next = 0;
    for (const item of remote) {
      if (item?.objectId) {
        const fetchedValue = this.#holder.values[next];
        this.#remoteIds.set(fetchedValue, item.objectId);
        values.push(fetchedValue);
        next += 1;
      } else {
        values.push(item?.value ?? item?.unserializableValue);
      }
    }
    return values;
  }
}

/** The language gives this name to what `bind` returns; to ask the inspector of each function would be slow. */
function isBound(value: object): boolean {
  const name: unknown = Reflect.get(value, 'name');
  return typeof name === 'string' && name.startsWith('bound ');
}

function isBoundPart(property: Runtime.InternalPropertyDescriptor): boolean {
  return (
    property.name === '[[TargetFunction]]' ||
    property.name === '[[BoundThis]]' ||
    property.name === '[[BoundArgs]]'
  );
}

function valueOf(property: {
  readonly value?: Runtime.RemoteObject | undefined;
}): Runtime.RemoteObject | undefined {
  return property.value;
}

import { createHash } from 'node:crypto';
import { Session, type Runtime } from 'node:inspector';
import { BoundCalls } from './bound-calls.js';
import { PrivateFields, type PrivateKey } from './private-fields.js';

/** The global property through which this module exchanges values with the inspector. */
const HOLDER_KEY = 'haretrackStateDigest';
/** The inspector's name for the objects that it keeps for this module. */
const OBJECT_GROUP = 'state-digest';
/** Run by the inspector: returns the values of remote objects to this module. */
const RETURN_VALUES = `function (...values) { globalThis.${HOLDER_KEY}.values = values; }`;
/** Classes whose instances never change. */
export const CONSTANT_CLASSES: ReadonlySet<string> = new Set(['Quorum']);
/** Fields with maps whose insertion order affects what a core does; all other maps are digested in sorted order. */
export const ORDERED_FIELDS: ReadonlySet<string> = new Set(['#announced']);

interface Holder {
  subject: unknown;
  values: readonly unknown[];
}

interface Field {
  readonly name: string;
  readonly value: unknown;
}

/** The inspector also returns private fields, which the published types omit. */
interface Properties extends Runtime.GetPropertiesReturnType {
  readonly privateProperties?: readonly Runtime.InternalPropertyDescriptor[];
}

function isPlain(value: object): boolean {
  const prototype: unknown = Object.getPrototypeOf(value);
  return prototype === Object.prototype || prototype === null;
}

/**
 * Computes the canonical text of an object with everything it holds, including private fields and bound arguments.
 *
 * The cores keep their state in private fields, which code outside their classes cannot read but the inspector of the engine
 * can. Two cores with the same text behave alike from then on, so that only one of them has to be explored.
 *
 * The variables that an arrow function captures cannot be read. In a core, arrow functions may only connect components,
 * created once at its start; a pending call in the state of a core has to be data.
 */
export class StateDigest {
  readonly #session = new Session();
  readonly #holder: Holder = { subject: undefined, values: [] };
  /** Classes whose instances have no effect on what a model checks. */
  readonly #ignored: ReadonlySet<string>;
  /** Texts of instances that never change. */
  readonly #constant = new WeakMap<object, string>();
  /** Texts of the objects already in the current text: an object with many references is written out once. */
  readonly #textsSeen = new Map<object, string>();
  /** The inspector's ids of the objects that it has returned for the current text. */
  readonly #remoteIds = new Map<unknown, string>();
  readonly #privates = new PrivateFields();
  readonly #boundCalls = new BoundCalls();
  /** Keys of the private fields of each class, determined from its first instance; undefined if they are unreliable. */
  readonly #keysByClass = new Map<unknown, readonly PrivateKey[] | undefined>();

  constructor(ignored: readonly string[] = []) {
    this.#ignored = new Set(ignored);
    this.#session.connect();
    this.#boundCalls.startRecording();
  }

  /** Releases the inspector session, and restores `Function.prototype.bind`. */
  close(): void {
    this.#boundCalls.stopRecording();
    this.#session.disconnect();
  }

  /** The canonical text of a value. */
  textOf(root: unknown): string {
    Reflect.set(globalThis, HOLDER_KEY, this.#holder);
    const text = this.#text(root, [], '');
    this.#remoteIds.clear();
    this.#textsSeen.clear();
    this.#session.post('Runtime.releaseObjectGroup', { objectGroup: OBJECT_GROUP });
    return text;
  }

  #text(value: unknown, path: readonly unknown[], field: string): string {
    if (typeof value === 'function') return this.#functionText(value, path);
    if (typeof value !== 'object' || value === null) {
      return value === undefined ? '-' : JSON.stringify(value);
    }
    // A circular reference is given as the depth of the object that it refers to.
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
    const textSeen = this.#textsSeen.get(value);
    if (textSeen !== undefined) return `@${createHash('sha256').update(textSeen).digest('base64')}`;
    const text = this.#fieldsText(value, path);
    this.#textsSeen.set(value, text);
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

  /** A bound method is represented by its name and the bound values; any other function could hide state in its scope. */
  #functionText(value: object, path: readonly unknown[]): string {
    const call = this.#boundCalls.callOf(value);
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
    const constructor = value.constructor;
    if (!this.#keysByClass.has(constructor))
      this.#keysByClass.set(constructor, this.#reliableKeys(value));
    const keys = this.#keysByClass.get(constructor);
    if (keys === undefined) return this.#inspectedFields(value);
    const fields: Field[] = [];
    for (const { name, key } of keys) fields.push({ name, value: Reflect.get(value, key) });
    return fields;
  }

  /** The keys of the object's private fields, if they yield all fields that the inspector sees, with the same values. */
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
    const expression = `globalThis.${HOLDER_KEY}.subject`;
    this.#session.post(
      'Runtime.evaluate',
      { expression, objectGroup: OBJECT_GROUP },
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
        functionDeclaration: RETURN_VALUES,
        objectId: first?.objectId ?? '',
        arguments: fetched,
        objectGroup: OBJECT_GROUP,
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

/** The language specifies this name for functions that `bind` returns; asking the inspector each time would be slow. */
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

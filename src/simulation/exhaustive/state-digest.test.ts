import { expect, test } from 'vitest';
import { StateDigest } from './state-digest.js';

class Inner {
  readonly #items = new Map<string, number>();
  put(key: string, value: number): void {
    this.#items.set(key, value);
  }
}

class Outer {
  #count = 0;
  readonly inner = new Inner();
  #held: (() => void)[] = [];
  #owner: Outer = this;
  add(by: number): void {
    this.#count += by;
  }
  hold(by: number): void {
    this.#held.push(this.add.bind(this, by));
  }
  get owner(): Outer {
    return this.#owner;
  }
}

class Base {
  #count = 0;
  addToBase(by: number): void {
    this.#count = this.#sum(by);
  }
  #sum(by: number): number {
    return this.#count + by;
  }
}

/** Has a private field of the same name as its base, and a private accessor. */
class Derived extends Base {
  #count = 0;
  addToDerived(by: number): void {
    this.#count = this.#twice / 2 + by;
  }
  get #twice(): number {
    return 2 * this.#count;
  }
}

test('private fields of a base class decide as well', () => {
  const digest = new StateDigest();
  const first = new Derived();
  const second = new Derived();
  expect(digest.textOf(first)).toBe(digest.textOf(second));
  first.addToBase(1);
  expect(digest.textOf(first)).not.toBe(digest.textOf(second));
  second.addToBase(1);
  expect(digest.textOf(first)).toBe(digest.textOf(second));
  first.addToDerived(2);
  expect(digest.textOf(first)).not.toBe(digest.textOf(second));
  second.addToDerived(2);
  expect(digest.textOf(first)).toBe(digest.textOf(second));
  digest.close();
});
/** What was bound before the digest was made is told by the inspector, the rest by the note of its binding. */
test('what was bound earlier belongs to the state as well', () => {
  const early = [new Outer(), new Outer()];
  early[0]?.hold(1);
  early[1]?.hold(2);
  const native: unknown = Reflect.get(Function.prototype, 'bind');
  const digest = new StateDigest();
  const late = [new Outer(), new Outer()];
  late[0]?.hold(1);
  late[1]?.hold(2);
  expect(digest.textOf(early[0])).toBe(digest.textOf(late[0]));
  expect(digest.textOf(early[1])).toBe(digest.textOf(late[1]));
  expect(digest.textOf(late[0])).not.toBe(digest.textOf(late[1]));
  digest.close();
  expect(Reflect.get(Function.prototype, 'bind')).toBe(native);
});
test('private fields decide, and the order of insertion does not', () => {
  const digest = new StateDigest();
  const first = new Outer();
  const second = new Outer();
  expect(digest.textOf(first)).toBe(digest.textOf(second));
  first.add(2);
  expect(digest.textOf(first)).not.toBe(digest.textOf(second));
  second.add(2);
  first.inner.put('a', 1);
  first.inner.put('b', 2);
  second.inner.put('b', 2);
  expect(digest.textOf(first)).not.toBe(digest.textOf(second));
  second.inner.put('a', 1);
  expect(digest.textOf(first)).toBe(digest.textOf(second));
  digest.close();
});
test('what is bound to a held call belongs to the state', () => {
  const digest = new StateDigest();
  const first = new Outer();
  const second = new Outer();
  first.hold(1);
  second.hold(2);
  expect(digest.textOf(first)).not.toBe(digest.textOf(second));
  digest.close();
});

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

test('the digest covers private fields of a base class', () => {
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
/** Values bound before the digest was created are read by the inspector; later ones are recorded when `bind` is called. */
test('the digest covers values that were bound before it was created', () => {
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
test('the digest depends on private fields but not on insertion order', () => {
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
test('the digest covers values bound to a stored function', () => {
  const digest = new StateDigest();
  const first = new Outer();
  const second = new Outer();
  first.hold(1);
  second.hold(2);
  expect(digest.textOf(first)).not.toBe(digest.textOf(second));
  digest.close();
});

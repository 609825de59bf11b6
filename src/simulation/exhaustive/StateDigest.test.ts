import { expect, test } from 'vitest';
import { StateDigest } from './StateDigest.js';

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

function checkPrivateState(): void {
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
}

function checkBoundArguments(): void {
  const digest = new StateDigest();
  const first = new Outer();
  const second = new Outer();
  first.hold(1);
  second.hold(2);
  expect(digest.textOf(first)).not.toBe(digest.textOf(second));
  digest.close();
}

test('private fields decide, and the order of insertion does not', checkPrivateState);
test('what is bound to a held call belongs to the state', checkBoundArguments);

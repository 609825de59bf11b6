/** What a bound function calls, and with what. */
export interface BoundCall {
  readonly target: unknown;
  /** `this` of the call, then the list of the arguments that are bound. */
  readonly bound: readonly unknown[];
}

type AnyFunction = (this: unknown, ...args: readonly unknown[]) => unknown;

const NAME = 'bind';

/**
 * Notes of each function that is bound from now on what is bound to it, which no code can ask a function later and the
 * inspector tells slowly. Binding itself works as ever.
 */
export class BoundCalls {
  readonly #calls = new WeakMap<object, BoundCall>();
  readonly #native: unknown = Reflect.get(Function.prototype, NAME);

  begin(): void {
    const calls = this.#calls;
    const native = this.#native;
    if (typeof native !== 'function') return;
    const bind = native;
    function bindNoted(this: AnyFunction, ...bound: readonly unknown[]): unknown {
      const made: unknown = Reflect.apply(bind, this, bound);
      if (typeof made === 'function')
        calls.set(made, { target: this, bound: [bound[0], bound.slice(1)] });
      return made;
    }
    Reflect.set(Function.prototype, NAME, bindNoted);
  }

  end(): void {
    Reflect.set(Function.prototype, NAME, this.#native);
  }

  of(value: object): BoundCall | undefined {
    return this.#calls.get(value);
  }
}

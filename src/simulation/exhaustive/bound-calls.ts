/** What a function created by `Function.prototype.bind` calls, and with which bound values. */
export interface BoundCall {
  /** The original function. */
  readonly target: unknown;
  /** Two items: the bound `this`, and the list of bound arguments. */
  readonly bound: readonly unknown[];
}

type AnyFunction = (this: unknown, ...args: readonly unknown[]) => unknown;

const BIND = 'bind';

/**
 * Records the target and the bound values of each function that is bound while recording is on: code cannot read them from
 * the function later, and the inspector is slow. `bind` itself behaves as before.
 */
export class BoundCalls {
  readonly #calls = new WeakMap<object, BoundCall>();
  readonly #native: unknown = Reflect.get(Function.prototype, BIND);

  /** Replaces `Function.prototype.bind` by a version that records each call. */
  startRecording(): void {
    const calls = this.#calls;
    const native = this.#native;
    if (typeof native !== 'function') return;
    const bind = native;
    function recordingBind(this: AnyFunction, ...bound: readonly unknown[]): unknown {
      const boundFunction: unknown = Reflect.apply(bind, this, bound);
      if (typeof boundFunction === 'function')
        calls.set(boundFunction, { target: this, bound: [bound[0], bound.slice(1)] });
      return boundFunction;
    }
    Reflect.set(Function.prototype, BIND, recordingBind);
  }

  /** Restores the original `bind`; what was recorded stays available. */
  stopRecording(): void {
    Reflect.set(Function.prototype, BIND, this.#native);
  }

  /** The recorded call of a bound function; undefined if it was not bound while recording was on. */
  callOf(value: object): BoundCall | undefined {
    return this.#calls.get(value);
  }
}

import type { Message } from '../common/messages.js';
import { moment, type Moment } from '../common/ids.js';
import type { Scheduler } from './scheduler.js';

/** One simulated process: it can be killed, frozen and resumed, and has a clock that is independent of other processes'. */
export abstract class SimNode {
  readonly id: string;
  readonly scheduler: Scheduler;
  #clockOffset: number;
  #clockRate: number;
  readonly #tickMs: number;
  #incarnation = 0;
  #isUp = false;
  #isFrozen = false;
  #pending: (() => void)[] = [];

  constructor(id: string, scheduler: Scheduler, clockOffset: number, tickMs: number) {
    this.id = id;
    this.scheduler = scheduler;
    this.#clockOffset = clockOffset;
    // Quartz clocks drift by a few dozen parts per million; this draws up to one in a hundred in either direction.
    this.#clockRate = 1 + ((clockOffset % 1000) - 500) * 2e-5;
    this.#tickMs = tickMs;
  }

  /** Differs by at least a million between restarts of the process. */
  get incarnation(): number {
    return this.#incarnation * 1e6;
  }
  /** Whether the process runs; a frozen one does. */
  get isUp(): boolean {
    return this.#isUp;
  }
  get isFrozen(): boolean {
    return this.#isFrozen;
  }

  /** The process's own monotonic clock, which continues while it is frozen. */
  now(): Moment {
    return moment(this.scheduler.now * this.#clockRate + this.#clockOffset);
  }

  /** Changes the rate of the clock from now on, without a jump. */
  setRate(rate: number): void {
    const now = this.now();
    this.#clockRate = rate;
    this.#clockOffset = now - this.scheduler.now * rate;
  }

  /** Starts the process; no effect if it is up. */
  start(): void {
    if (this.#isUp) return;
    this.#isUp = true;
    this.#isFrozen = false;
    this.#incarnation += 1;
    this.boot();
    this.#scheduleTick();
  }

  /** Ends the process at once; everything in memory and pending inputs are lost. */
  kill(): void {
    this.#isUp = false;
    this.#isFrozen = false;
    this.#incarnation += 1;
    this.#pending = [];
    this.onKilled();
  }

  /** Stops execution, as SIGSTOP does; inputs are queued. */
  freeze(): void {
    this.#isFrozen = true;
  }

  /** Resumes execution and handles the inputs queued in its sockets, in order. */
  resume(): void {
    if (!this.#isFrozen) return;
    this.#isFrozen = false;
    const pending = this.#pending;
    this.#pending = [];
    for (const run of pending) run();
  }

  /** Runs now, or once the process is resumed; never after it was killed. */
  perform(run: () => void): void {
    if (!this.#isUp) return;
    if (this.#isFrozen) this.#pending.push(run);
    else run();
  }

  /** Runs after a delay in milliseconds of virtual time, unless the process was killed in the meantime. */
  later(millis: number, run: () => void): void {
    const incarnation = this.#incarnation;
    const node = {
      isCurrent: () => this.#isIncarnation(incarnation),
      perform: (run: () => void) => this.perform(run),
    };
    this.scheduler.after(millis, () => {
      if (node.isCurrent()) node.perform(run);
    });
  }

  #isIncarnation(incarnation: number): boolean {
    return this.#incarnation === incarnation;
  }

  #scheduleTick(): void {
    const incarnation = this.#incarnation;
    const node = {
      isCurrent: () => this.#isIncarnation(incarnation),
      tick: () => this.#tick(),
      scheduler: this.scheduler,
      tickMs: this.#tickMs,
    };
    function tickOnce(): void {
      if (!node.isCurrent()) return;
      node.tick();
      node.scheduler.after(node.tickMs, tickOnce);
    }
    this.scheduler.after(this.#tickMs, tickOnce);
  }

  #tick(): void {
    if (!this.#isFrozen) this.tick();
  }

  /** Creates the state of a new process. */
  protected abstract boot(): void;
  /** Discards the state of the killed process. */
  protected abstract onKilled(): void;
  /** Called periodically while the process runs. */
  protected abstract tick(): void;
  /** Handles a message from another node. */
  abstract receive(from: string, message: Message): void;
  /** The connection to another node was closed. */
  abstract onDisconnect(from: string): void;
}

import type { Message } from '../common/messages.js';
import { moment, type Moment } from '../common/ids.js';
import type { Scheduler } from './scheduler.js';

/** One simulated process: can be killed, frozen and woken; has a clock of its own that shares nothing with others'. */
export abstract class SimNode {
  readonly id: string;
  readonly scheduler: Scheduler;
  #clockOffset: number;
  #clockRate: number;
  readonly #tickMs: number;
  #incarnation = 0;
  #isUp = false;
  #isFrozen = false;
  #held: (() => void)[] = [];

  constructor(id: string, scheduler: Scheduler, clockOffset: number, tickMs: number) {
    this.id = id;
    this.scheduler = scheduler;
    this.#clockOffset = clockOffset;
    // Quartz differs by some dozen parts in a million; this is one in a hundred, either way.
    this.#clockRate = 1 + ((clockOffset % 1000) - 500) * 2e-5;
    this.#tickMs = tickMs;
  }

  /** Far apart from those of its other lives. */
  get incarnation(): number {
    return this.#incarnation * 1e6;
  }
  get isUp(): boolean {
    return this.#isUp;
  }
  get isFrozen(): boolean {
    return this.#isFrozen;
  }

  /** Its own monotonic clock, which goes on while it is frozen. */
  now(): Moment {
    return moment(this.scheduler.now * this.#clockRate + this.#clockOffset);
  }

  /** From here on its clock goes faster or slower; it never jumps. */
  setRate(rate: number): void {
    const now = this.now();
    this.#clockRate = rate;
    this.#clockOffset = now - this.scheduler.now * rate;
  }

  start(): void {
    if (this.#isUp) return;
    this.#isUp = true;
    this.#isFrozen = false;
    this.#incarnation += 1;
    this.boot();
    this.#scheduleTick();
  }

  kill(): void {
    this.#isUp = false;
    this.#isFrozen = false;
    this.#incarnation += 1;
    this.#held = [];
    this.died();
  }

  freeze(): void {
    this.#isFrozen = true;
  }

  /** What came in meanwhile lay in its sockets, and is taken now, in order. */
  wake(): void {
    if (!this.#isFrozen) return;
    this.#isFrozen = false;
    const held = this.#held;
    this.#held = [];
    for (const run of held) run();
  }

  /** Runs now, or once it is awake again; never in another life. */
  perform(run: () => void): void {
    if (!this.#isUp) return;
    if (this.#isFrozen) this.#held.push(run);
    else run();
  }

  /** Runs in this life alone, after so long. */
  later(millis: number, run: () => void): void {
    const incarnation = this.#incarnation;
    const node = {
      isSame: () => this.#isLife(incarnation),
      perform: (run: () => void) => this.perform(run),
    };
    this.scheduler.after(millis, () => {
      if (node.isSame()) node.perform(run);
    });
  }

  #isLife(incarnation: number): boolean {
    return this.#incarnation === incarnation;
  }

  #scheduleTick(): void {
    const incarnation = this.#incarnation;
    const node = {
      isSame: () => this.#isLife(incarnation),
      tick: () => this.#tick(),
      scheduler: this.scheduler,
      tickMs: this.#tickMs,
    };
    function due(): void {
      if (!node.isSame()) return;
      node.tick();
      node.scheduler.after(node.tickMs, due);
    }
    this.scheduler.after(this.#tickMs, due);
  }

  #tick(): void {
    if (!this.#isFrozen) this.tick();
  }

  protected abstract boot(): void;
  protected abstract died(): void;
  protected abstract tick(): void;
  abstract receive(from: string, message: Message): void;
  abstract gone(from: string): void;
}

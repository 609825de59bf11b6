import { moment, type Moment } from '../common/ids.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { SeededRandom } from '../rehearsal/seeded-random.js';

type ProcessState = 'down' | 'running' | 'frozen';

/** Input that became ready while the process was frozen; the order within one stream is preserved. */
interface HeldInput {
  readonly stream: string;
  readonly run: () => void;
}

const TIMER_STREAM = 'timers';
/** Maximum delay with which timers fire. */
const MAX_TIMER_LATENESS_MS = 2;
/** Probabilities that a thawed event loop runs all timers before, or after, all input; otherwise they are interleaved. */
const TIMERS_FIRST_PROBABILITY = 0.4;
const TIMERS_LAST_PROBABILITY = 0.3;

/**
 * A simulated operating-system process with an event loop, which can be started, ended, frozen and thawed. Its monotonic
 * clock has its own rate and continues while the process is frozen. Timers and input that become ready during a freeze
 * are processed at the thaw, in a drawn order that preserves the order of each stream.
 */
export class SimProcess {
  readonly #scheduler: Scheduler;
  readonly #random: SeededRandom;
  #rate: number;
  #offset: number;
  #state: ProcessState = 'down';
  #incarnation = 0;
  #held: HeldInput[] = [];
  #thawedAt = -Infinity;

  constructor(scheduler: Scheduler, random: SeededRandom, maxDrift: number) {
    this.#scheduler = scheduler;
    this.#random = random;
    this.#rate = 1 + random.between(-maxDrift, maxDrift);
    this.#offset = random.between(0, 1e6);
  }

  /** Whether the process runs or is frozen. */
  get isUp(): boolean {
    return this.#state !== 'down';
  }

  /** Whether the process is frozen. */
  get isFrozen(): boolean {
    return this.#state === 'frozen';
  }

  /** Whether the process runs and is not frozen. */
  get isRunning(): boolean {
    return this.#state === 'running';
  }

  /** True time of the last thaw. */
  get thawedAt(): number {
    return this.#thawedAt;
  }

  /** Whether there is unread input, in which case the kernel resets a connection that the process closes. */
  get hasUnread(): boolean {
    return this.#held.length > 0;
  }

  /** The monotonic clock of the process; not comparable with that of another process. */
  now(): Moment {
    return moment(this.#scheduler.now * this.#rate + this.#offset);
  }

  /** Changes the rate of the clock from now on, without a jump. */
  setRate(rate: number): void {
    const now = this.now();
    this.#rate = rate;
    this.#offset = now - this.#scheduler.now * rate;
  }

  /** Starts a new incarnation. */
  begin(): void {
    this.#incarnation += 1;
    this.#state = 'running';
    this.#held = [];
  }

  /** Ends the incarnation and drops its input. */
  end(): void {
    this.#incarnation += 1;
    this.#state = 'down';
    this.#held = [];
  }

  /** Freezes the process if it runs. */
  freeze(): void {
    if (this.#state === 'running') this.#state = 'frozen';
  }

  /** Thaws the process and processes the input that became ready meanwhile. */
  thaw(): void {
    if (this.#state !== 'frozen') return;
    this.#state = 'running';
    this.#thawedAt = this.#scheduler.now;
    const held = this.#held;
    this.#held = [];
    const incarnation = this.#incarnation;
    for (const input of this.#reordered(held)) {
      // The held input belongs to this incarnation; an input may freeze or end the process again.
      if (this.#incarnation !== incarnation) return;
      this.submit(input.stream, input.run);
    }
  }

  /** Processes an input now, or at the thaw; a process that is down drops it. */
  submit(stream: string, run: () => void): void {
    if (this.#state === 'down') return;
    if (this.#state === 'frozen') this.#held.push({ stream, run });
    else run();
  }

  /** Wraps a function so that it has no effect after this incarnation has ended. */
  inThisIncarnation(run: () => void): () => void {
    const incarnation = this.#incarnation;
    const isCurrent = (incarnation: number) => this.#isIncarnation(incarnation);
    function guarded(): void {
      if (isCurrent(incarnation)) run();
    }
    return guarded;
  }

  /** Calls a function once after a time on the clock of the process, unless the incarnation ends before. */
  after(millis: number, run: () => void): void {
    const late = this.#random.between(0, MAX_TIMER_LATENESS_MS);
    const due = () => this.submit(TIMER_STREAM, run);
    this.#scheduler.after(millis / this.#rate + late, this.inThisIncarnation(due));
  }

  /** Calls a function periodically; during a freeze only one call becomes due. */
  every(millis: number, run: () => void): void {
    const after = (run: () => void) => this.after(millis, run);
    function tick(): void {
      after(tick);
      run();
    }
    after(tick);
  }

  #isIncarnation(incarnation: number): boolean {
    return this.#incarnation === incarnation;
  }

  #reordered(held: readonly HeldInput[]): HeldInput[] {
    const timers = held.filter(isTimer);
    const streams = new Map<string, HeldInput[]>();
    for (const input of held) {
      if (isTimer(input)) continue;
      const stream = streams.get(input.stream) ?? [];
      stream.push(input);
      streams.set(input.stream, stream);
    }
    const draw = this.#random.next();
    if (draw < TIMERS_FIRST_PROBABILITY)
      return [...timers, ...this.#interleaved([...streams.values()])];
    if (draw < TIMERS_FIRST_PROBABILITY + TIMERS_LAST_PROBABILITY) {
      return [...this.#interleaved([...streams.values()]), ...timers];
    }
    return this.#interleaved([timers, ...streams.values()]);
  }

  #interleaved(streams: HeldInput[][]): HeldInput[] {
    const interleaved: HeldInput[] = [];
    let remaining = streams.filter(isNotEmpty);
    while (remaining.length > 0) {
      const input = this.#random.pick(remaining)?.shift();
      if (input) interleaved.push(input);
      remaining = remaining.filter(isNotEmpty);
    }
    return interleaved;
  }
}

function isTimer(input: HeldInput): boolean {
  return input.stream === TIMER_STREAM;
}

function isNotEmpty(stream: readonly HeldInput[]): boolean {
  return stream.length > 0;
}

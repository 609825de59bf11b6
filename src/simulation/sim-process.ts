import { moment, type Moment } from '../common/ids.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { Seeded } from '../rehearsal/seeded.js';

type ProcessState = 'down' | 'running' | 'frozen';

/** What became ready while the process was frozen; the order within one stream is kept. */
interface HeldInput {
  readonly stream: string;
  readonly run: () => void;
}

const TIMER_STREAM = 'timers';
/** Timers fire slightly late. */
const MAX_TIMER_LATENESS_MS = 2;
/** Chances of the orders in which a thawed event loop takes timers and input. */
const TIMERS_FIRST_PROBABILITY = 0.4;
const TIMERS_LAST_PROBABILITY = 0.3;

/**
 * One simulated operating-system process with an event loop: it begins, ends, is frozen and thawed.
 * Its monotonic clock runs at a rate of its own and goes on while it is frozen. Timers and input that
 * become ready meanwhile are taken at the thaw, in a drawn order that keeps each stream in sequence.
 */
export class SimProcess {
  readonly #scheduler: Scheduler;
  readonly #random: Seeded;
  #rate: number;
  #offset: number;
  #state: ProcessState = 'down';
  #incarnation = 0;
  #held: HeldInput[] = [];
  #thawedAt = -Infinity;

  constructor(scheduler: Scheduler, random: Seeded, maxDrift: number) {
    this.#scheduler = scheduler;
    this.#random = random;
    this.#rate = 1 + random.between(-maxDrift, maxDrift);
    this.#offset = random.between(0, 1e6);
  }

  get isUp(): boolean {
    return this.#state !== 'down';
  }

  get isFrozen(): boolean {
    return this.#state === 'frozen';
  }

  get isRunning(): boolean {
    return this.#state === 'running';
  }

  /** True time of the last thaw. */
  get thawedAt(): number {
    return this.#thawedAt;
  }

  /** Whether input waits unread, so that the kernel answers a close with a reset. */
  get hasUnread(): boolean {
    return this.#held.length > 0;
  }

  /** Its own monotonic clock, never compared with another's. */
  now(): Moment {
    return moment(this.#scheduler.now * this.#rate + this.#offset);
  }

  /** From here on its clock runs at another rate; it never jumps. */
  setRate(rate: number): void {
    const now = this.now();
    this.#rate = rate;
    this.#offset = now - this.#scheduler.now * rate;
  }

  begin(): void {
    this.#incarnation += 1;
    this.#state = 'running';
    this.#held = [];
  }

  end(): void {
    this.#incarnation += 1;
    this.#state = 'down';
    this.#held = [];
  }

  freeze(): void {
    if (this.#state === 'running') this.#state = 'frozen';
  }

  thaw(): void {
    if (this.#state !== 'frozen') return;
    this.#state = 'running';
    this.#thawedAt = this.#scheduler.now;
    const held = this.#held;
    this.#held = [];
    const incarnation = this.#incarnation;
    for (const input of this.#reordered(held)) {
      // What was held belongs to this life alone; an input may freeze or end the process again.
      if (this.#incarnation !== incarnation) return;
      this.submit(input.stream, input.run);
    }
  }

  /** Takes an input now, or at the thaw; a process that is down takes none. */
  submit(stream: string, run: () => void): void {
    if (this.#state === 'down') return;
    if (this.#state === 'frozen') this.#held.push({ stream, run });
    else run();
  }

  /** A function that does its work only while this life lasts. */
  inThisIncarnation(run: () => void): () => void {
    const incarnation = this.#incarnation;
    const isCurrent = (incarnation: number) => this.#isIncarnation(incarnation);
    function guarded(): void {
      if (isCurrent(incarnation)) run();
    }
    return guarded;
  }

  /** Runs once after so long on the process's own clock, unless it ended before. */
  after(millis: number, run: () => void): void {
    const late = this.#random.between(0, MAX_TIMER_LATENESS_MS);
    const due = () => this.submit(TIMER_STREAM, run);
    this.#scheduler.after(millis / this.#rate + late, this.inThisIncarnation(due));
  }

  /** Runs again and again; while the process is frozen one call becomes due, not many. */
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

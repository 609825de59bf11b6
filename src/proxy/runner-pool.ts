import { later, moment, type Moment } from '../common/ids.js';
import type { PlacedRunner } from '../placement/shapes.js';

/** What this proxy knows of one runner from its own requests. */
interface RunnerState {
  /** Requests of this proxy that run there. */
  running: number;
  /** Moving mean of the lengths of runs, ms; 0 before the first. */
  meanMs: number;
  fullUntil: Moment;
  failedUntil: Moment;
  /** Starts in the ramp's current second. */
  slowStartWindow: Moment;
  slowStartRuns: number;
  /** Since when it counts as up. */
  upSince: Moment;
  /** Seen to be away by its probe, and not yet back. */
  isDown: boolean;
}

/** How long a runner that broke off, or said that it is full, is not chosen, ms. */
const FAILURE_BACKOFF_MS = 1000;
const FULL_BACKOFF_MS = 100;
const SLOW_START_WINDOW_MS = 1000;
/** Starts a second at the end of the ramp, beyond the first. */
const SLOW_START_RUNS = 8;
const MIN_SLOW_START_FACTOR = 0.1;
/** How warm a plain back end counts that stood there before this proxy: it may have been started together with it. */
const INITIAL_BACKEND_FACTOR = 0.8;
/** Slots of a runner that tells none. */
const UNKNOWN_SLOTS = 64;
/** Weight of the newest run in the mean. */
const MEAN_WEIGHT = 0.2;

/** The runners of a proxy: how much each may be given, and how long runs there take. */
export class RunnerPool {
  readonly #slowStartMs: number;
  readonly #states = new Map<string, RunnerState>();

  /** `rampMs`: how long a runner that just started is spared. */
  constructor(slowStartMs: number) {
    this.#slowStartMs = slowStartMs;
  }

  /** Takes the runners that are placed now; `isFirst` where nothing was known before. */
  setRunners(now: Moment, placed: ReadonlyMap<string, PlacedRunner>, isFirst: boolean): void {
    for (const runner of placed.values()) this.#update(now, runner, isFirst);
    for (const id of this.#states.keys()) if (!placed.has(id)) this.#states.delete(id);
  }

  has(id: string): boolean {
    return this.#states.has(id);
  }

  running(id: string): number {
    return this.#states.get(id)?.running ?? 0;
  }

  meanMs(id: string): number {
    return this.#states.get(id)?.meanMs ?? 0;
  }

  /** How many may run there at once for this proxy: its share of the slots, with slack, less while cold. */
  capacity(now: Moment, placed: PlacedRunner | undefined, proxies: number): number {
    const state = placed && this.#states.get(placed.id);
    if (!placed || !state) return 0;
    const slots = placed.slots === 0 ? UNKNOWN_SLOTS : placed.slots;
    // Twice an even share, since proxies are not asked evenly, but never more than there is.
    const share = Math.max(1, Math.min(slots, Math.ceil((slots * 2) / proxies)));
    const slowStartFactor = Math.min(
      1,
      Math.max(MIN_SLOW_START_FACTOR, (now - state.upSince) / this.#slowStartMs),
    );
    return Math.max(1, Math.floor(share * slowStartFactor));
  }

  /** Whether one more may be started there, within that capacity. */
  mayStart(now: Moment, id: string, capacity: number): boolean {
    const state = this.#states.get(id);
    if (!state || state.isDown || now < state.fullUntil || now < state.failedUntil) return false;
    if (state.running >= capacity) return false;
    const age = now - state.upSince;
    if (age >= this.#slowStartMs) return true;
    // While cold, starts a second are held down too: short runs would else flood it however few are running.
    if (now - state.slowStartWindow >= SLOW_START_WINDOW_MS) {
      state.slowStartWindow = now;
      state.slowStartRuns = 0;
    }
    return state.slowStartRuns < 1 + Math.floor((age / this.#slowStartMs) * SLOW_START_RUNS);
  }

  onStart(id: string): void {
    const state = this.#states.get(id);
    if (!state) return;
    state.running += 1;
    state.slowStartRuns += 1;
  }

  /** A run ended; `spanMs` where it went its way, since no other tells how long runs are. */
  onEnd(id: string, durationMs: number | undefined): void {
    const state = this.#states.get(id);
    if (!state) return;
    state.running = Math.max(0, state.running - 1);
    if (durationMs === undefined) return;
    state.meanMs =
      state.meanMs === 0 ? durationMs : state.meanMs * (1 - MEAN_WEIGHT) + durationMs * MEAN_WEIGHT;
  }

  onFull(now: Moment, id: string): void {
    const state = this.#states.get(id);
    if (state) state.fullUntil = later(now, FULL_BACKOFF_MS);
  }

  onFailure(now: Moment, id: string): void {
    const state = this.#states.get(id);
    if (state) state.failedUntil = later(now, FAILURE_BACKOFF_MS);
  }

  /** A back end that tells nothing of itself could not be reached: it is taken for one started anew. */
  onBackendUnreachable(now: Moment, id: string): void {
    this.onFailure(now, id);
    const state = this.#states.get(id);
    if (state) state.upSince = state.failedUntil;
  }

  /** Until its rising is seen: whoever went there sooner would find it cold and not know. */
  onBackendDown(id: string): void {
    const state = this.#states.get(id);
    if (state) state.isDown = true;
  }

  onBackendUp(now: Moment, id: string): void {
    const state = this.#states.get(id);
    if (!state) return;
    state.upSince = now;
    state.failedUntil = now;
    state.isDown = false;
  }

  #update(now: Moment, runner: PlacedRunner, isFirst: boolean): void {
    const state = this.#states.get(runner.id);
    const isPlain = runner.service !== '';
    // Back ends without a report count as warm only if they stood here before us, and then not wholly.
    const upMs = !isPlain ? runner.upMs : isFirst ? this.#slowStartMs * INITIAL_BACKEND_FACTOR : 0;
    if (!state) {
      this.#states.set(runner.id, newState(now, upMs));
      return;
    }
    const isStartedAnew = runner.upMs < this.#slowStartMs && now - upMs > state.upSince;
    if (!isPlain && isStartedAnew) state.upSince = moment(now - upMs);
  }
}

function newState(now: Moment, upMs: number): RunnerState {
  const never = moment(-1);
  return {
    running: 0,
    meanMs: 0,
    fullUntil: never,
    failedUntil: never,
    slowStartWindow: now,
    slowStartRuns: 0,
    upSince: moment(now - upMs),
    isDown: false,
  };
}

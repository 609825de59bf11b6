import { later, moment, type Moment } from '../common/ids.js';
import type { PlacedRunner } from '../placement/shapes.js';

/** What this proxy knows of one runner from its own requests and probes. */
interface RunnerState {
  /** Requests of this proxy that the runner processes now. */
  running: number;
  /** Moving average of request durations, ms; 0 before the first. */
  meanDurationMs: number;
  fullUntil: Moment;
  failedUntil: Moment;
  /** Start of the current slow start window, and the requests started in it. */
  slowStartWindow: Moment;
  slowStartRuns: number;
  /** Since when the runner counts as up. */
  upSince: Moment;
  /** Whether its probe connection was lost and has not been re-established. */
  isDown: boolean;
}

/** How long a runner gets no requests after a failure, or after it reported to be full. */
const FAILURE_BACKOFF_MS = 1000;
const FULL_BACKOFF_MS = 100;
const SLOW_START_WINDOW_MS = 1000;
/** Requests that may be started per window at the end of the slow start, in addition to the first. */
const SLOW_START_RUNS = 8;
const MIN_SLOW_START_FACTOR = 0.1;
/** Slow start progress assumed for plain backends that were known when this proxy started: both may just have started. */
const INITIAL_BACKEND_FACTOR = 0.8;
/** Number of slots assumed for a runner that reports none. */
const UNKNOWN_SLOTS = 64;
/** Weight of the newest duration in the moving average. */
const MEAN_WEIGHT = 0.2;

/** The runners as one proxy uses them: their capacity, backoff and slow start, and the durations of requests there. */
export class RunnerPool {
  readonly #slowStartMs: number;
  readonly #states = new Map<string, RunnerState>();

  /** `slowStartMs`: how long a runner that has just started gets fewer requests. */
  constructor(slowStartMs: number) {
    this.#slowStartMs = slowStartMs;
  }

  /** Replaces the runners by those that are placed now. `isFirst`: whether no runners were known before. */
  setRunners(now: Moment, placed: ReadonlyMap<string, PlacedRunner>, isFirst: boolean): void {
    for (const runner of placed.values()) this.#update(now, runner, isFirst);
    for (const id of this.#states.keys()) if (!placed.has(id)) this.#states.delete(id);
  }

  /** Whether the runner is known. */
  has(id: string): boolean {
    return this.#states.has(id);
  }

  /** The number of this proxy's requests that the runner processes now. */
  running(id: string): number {
    return this.#states.get(id)?.running ?? 0;
  }

  /** Moving average of request durations at the runner, ms; 0 before the first. */
  meanDurationMs(id: string): number {
    return this.#states.get(id)?.meanDurationMs ?? 0;
  }

  /** Maximum of concurrent requests of this proxy at the runner: its share of the slots, reduced during slow start. */
  capacity(now: Moment, placed: PlacedRunner | undefined, proxies: number): number {
    const state = placed && this.#states.get(placed.id);
    if (!placed || !state) return 0;
    const slots = placed.slots === 0 ? UNKNOWN_SLOTS : placed.slots;
    // Twice an even share, since load differs between proxies, but never more than all slots.
    const share = Math.max(1, Math.min(slots, Math.ceil((slots * 2) / proxies)));
    const slowStartFactor = Math.min(
      1,
      Math.max(MIN_SLOW_START_FACTOR, (now - state.upSince) / this.#slowStartMs),
    );
    return Math.max(1, Math.floor(share * slowStartFactor));
  }

  /** Whether one more request may be started at the runner, within the capacity. */
  mayStart(now: Moment, id: string, capacity: number): boolean {
    const state = this.#states.get(id);
    if (!state || state.isDown || now < state.fullUntil || now < state.failedUntil) return false;
    if (state.running >= capacity) return false;
    const age = now - state.upSince;
    if (age >= this.#slowStartMs) return true;
    // Slow start limits the rate of starts too: short requests would otherwise flood the runner at any concurrency.
    if (now - state.slowStartWindow >= SLOW_START_WINDOW_MS) {
      state.slowStartWindow = now;
      state.slowStartRuns = 0;
    }
    return state.slowStartRuns < 1 + Math.floor((age / this.#slowStartMs) * SLOW_START_RUNS);
  }

  /** A request was started at the runner. */
  onStart(id: string): void {
    const state = this.#states.get(id);
    if (!state) return;
    state.running += 1;
    state.slowStartRuns += 1;
  }

  /** A request ended. `durationMs`: undefined if it says nothing about usual durations, as after a failure. */
  onEnd(id: string, durationMs: number | undefined): void {
    const state = this.#states.get(id);
    if (!state) return;
    state.running = Math.max(0, state.running - 1);
    if (durationMs === undefined) return;
    state.meanDurationMs =
      state.meanDurationMs === 0
        ? durationMs
        : state.meanDurationMs * (1 - MEAN_WEIGHT) + durationMs * MEAN_WEIGHT;
  }

  /** The runner reported that it is full. */
  onFull(now: Moment, id: string): void {
    const state = this.#states.get(id);
    if (state) state.fullUntil = later(now, FULL_BACKOFF_MS);
  }

  /** A request or a connection to the runner failed. */
  onFailure(now: Moment, id: string): void {
    const state = this.#states.get(id);
    if (state) state.failedUntil = later(now, FAILURE_BACKOFF_MS);
  }

  /** A plain backend, which reports no status, could not be reached: it is treated as restarted. */
  onBackendUnreachable(now: Moment, id: string): void {
    this.onFailure(now, id);
    const state = this.#states.get(id);
    if (state) state.upSince = state.failedUntil;
  }

  /** A backend is down: it gets no requests until it is seen to be up, since its slow start would otherwise be missed. */
  onBackendDown(id: string): void {
    const state = this.#states.get(id);
    if (state) state.isDown = true;
  }

  /** A backend is up again: begins its slow start. */
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
    // Plain backends report no uptime: they count as warm, though not fully, only if they were known from the start.
    const upMs = !isPlain ? runner.upMs : isFirst ? this.#slowStartMs * INITIAL_BACKEND_FACTOR : 0;
    if (!state) {
      this.#states.set(runner.id, newState(now, upMs));
      return;
    }
    const isRestarted = runner.upMs < this.#slowStartMs && now - upMs > state.upSince;
    if (!isPlain && isRestarted) state.upSince = moment(now - upMs);
  }
}

function newState(now: Moment, upMs: number): RunnerState {
  const never = moment(-1);
  return {
    running: 0,
    meanDurationMs: 0,
    fullUntil: never,
    failedUntil: never,
    slowStartWindow: now,
    slowStartRuns: 0,
    upSince: moment(now - upMs),
    isDown: false,
  };
}

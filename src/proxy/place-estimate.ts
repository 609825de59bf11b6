import type { Moment } from '../common/ids.js';
import { DurationAverages } from './duration-averages.js';
import type { FleetView } from './fleet-view.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunnerPicker } from './runner-picker.js';
import type { TrackedRunner } from './tracked-runner.js';

/** How long runners of a service stay full before that was observed, ms. */
const DEFAULT_FULL_MS = 250;

/** When places at runners are expected to become free, ms from now: the first, and the interval to each further one. */
export interface PlaceForecast {
  readonly firstMs: number;
  readonly intervalMs: number;
}

/** Nothing is known about places: one may be free at any moment. */
const UNKNOWN: PlaceForecast = { firstMs: 0, intervalMs: 0 };

/** Estimates when a runner that has the model of a request will have a place for it. */
export class PlaceEstimate {
  readonly #fleet: FleetView;
  readonly #picker: RunnerPicker;
  /** How long requests keep their place at a runner, and how long runners stay full; both by service. */
  readonly #occupancies = new DurationAverages();
  readonly #fullPeriods = new DurationAverages();

  constructor(fleet: FleetView, picker: RunnerPicker) {
    this.#fleet = fleet;
    this.#picker = picker;
  }

  /** A request of the service has left its place at a runner after `durationMs`. */
  recordOccupancy(service: string, durationMs: number): void {
    this.#occupancies.record(service, durationMs);
  }

  /** A runner of the service accepted a request after it had been full for `durationMs`. */
  recordFullPeriod(service: string, durationMs: number): void {
    this.#fullPeriods.record(service, durationMs);
  }

  /**
   * When runners are expected to have places for requests like this one. Undefined if it may not be sent to any runner any
   * more: its attempts are used up, or all runners were tried.
   */
  forecast(now: Moment, request: RoutedRequest): PlaceForecast | undefined {
    if (request.attemptsSent >= request.route.maxAttempts) return undefined;
    const runners = this.#eligibleRunners(now, request, request.triedRunners);
    // Without any runner the wait is unknown: one may be reported at any moment.
    if (runners.length === 0) return request.triedRunners.size === 0 ? UNKNOWN : undefined;
    return {
      firstMs: this.#firstMs(now, request, runners),
      intervalMs: this.#intervalMs(request, runners),
    };
  }

  /** After how long a new request of the client is expected to find a place at any runner, ms. */
  retryAfterMs(now: Moment, request: RoutedRequest): number {
    const usualMs = this.#fullPeriods.of(request.service.name)?.meanMs ?? DEFAULT_FULL_MS;
    const runners = this.#eligibleRunners(now, request, NO_RUNNERS);
    if (runners.length === 0) return usualMs;
    return Math.max(usualMs, this.#firstMs(now, request, runners));
  }

  #eligibleRunners(
    now: Moment,
    request: RoutedRequest,
    excluded: ReadonlySet<string>,
  ): TrackedRunner[] {
    return this.#fleet
      .runnersOf(request.service.name)
      .filter(
        (runner) => !excluded.has(runner.info.id) && this.#picker.isEligible(now, request, runner),
      );
  }

  #firstMs(now: Moment, request: RoutedRequest, runners: readonly TrackedRunner[]): number {
    let firstMs = Infinity;
    for (const runner of runners) firstMs = Math.min(firstMs, this.#waitMs(now, request, runner));
    return firstMs;
  }

  /** The runners' requests of this proxy end one after another: the mean time between two ends. */
  #intervalMs({ service }: RoutedRequest, runners: readonly TrackedRunner[]): number {
    let inFlight = 0;
    for (const runner of runners) inFlight += runner.inFlight;
    return this.#occupancyMs(service.name) / Math.max(1, inFlight);
  }

  #waitMs(now: Moment, { service }: RoutedRequest, runner: TrackedRunner): number {
    const backOffMs = runner.backOffLeftMs(now);
    if (!runner.hasCapacity(service, this.#fleet.proxyCount.value(now)))
      return Math.max(backOffMs, this.#occupancyMs(service.name) / Math.max(1, runner.inFlight));
    return Math.max(backOffMs, this.#picker.warmUpWaitMs(now, service, runner));
  }

  /** How long requests of the service usually keep their place, ms; 0 before one was observed. */
  #occupancyMs(service: string): number {
    return this.#occupancies.of(service)?.meanMs ?? 0;
  }
}

const NO_RUNNERS: ReadonlySet<string> = new Set();

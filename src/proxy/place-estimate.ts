import type { Moment } from '../common/ids.js';
import { DurationAverages } from './duration-averages.js';
import type { FleetView } from './fleet-view.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunnerPicker } from './runner-picker.js';
import type { TrackedRunner } from './tracked-runner.js';

/** How long runners of a service stay full before that was observed, ms. */
const DEFAULT_FULL_MS = 250;

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
   * Time until a runner is expected to have a place for the request, ms; 0 where that is unknown. Undefined if the request
   * may not be sent to any runner any more: its attempts are used up, or all runners were tried.
   */
  expectedMs(now: Moment, request: RoutedRequest): number | undefined {
    if (request.attemptsSent >= request.route.maxAttempts) return undefined;
    const waitMs = this.#soonestMs(now, request, request.triedRunners);
    if (waitMs !== undefined) return waitMs;
    return request.triedRunners.size === 0 ? 0 : undefined;
  }

  /** After how long a new request of the client is expected to find a place at any runner, ms. */
  retryAfterMs(now: Moment, request: RoutedRequest): number {
    const usualMs = this.#fullPeriods.of(request.service.name)?.meanMs ?? DEFAULT_FULL_MS;
    return Math.max(usualMs, this.#soonestMs(now, request, NO_RUNNERS) ?? 0);
  }

  #soonestMs(
    now: Moment,
    request: RoutedRequest,
    excluded: ReadonlySet<string>,
  ): number | undefined {
    let soonestMs: number | undefined;
    for (const runner of this.#fleet.runnersOf(request.service.name)) {
      if (excluded.has(runner.info.id) || !this.#picker.isEligible(now, request, runner)) continue;
      soonestMs = Math.min(soonestMs ?? Infinity, this.#waitMs(now, request, runner));
    }
    return soonestMs;
  }

  #waitMs(now: Moment, { service }: RoutedRequest, runner: TrackedRunner): number {
    const backOffMs = runner.backOffLeftMs(now);
    if (!runner.hasCapacity(service, this.#fleet.proxyCount.value(now))) {
      const occupancyMs = this.#occupancies.of(service.name)?.meanMs ?? 0;
      return Math.max(backOffMs, occupancyMs / Math.max(1, runner.inFlight));
    }
    return Math.max(backOffMs, this.#picker.warmUpWaitMs(now, service, runner));
  }
}

const NO_RUNNERS: ReadonlySet<string> = new Set();

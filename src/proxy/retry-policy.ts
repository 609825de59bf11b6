import type { Moment } from '../common/ids.js';
import type { FleetView } from './fleet-view.js';
import { RetryBudget, type RetryBudgetSettings } from './retry-budget.js';
import { hasTimeToRun } from './caller-time.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunnerPicker } from './runner-picker.js';

/**
 * Decides whether a request may be sent to another runner: by its route's limit of attempts, its deadline, the available
 * runners and the retry budget of its service. The budget is checked last, and charged for each retry that is allowed. The
 * caller has to check that processing the request again does no harm.
 */
export class RetryPolicy {
  readonly #settings: RetryBudgetSettings;
  readonly #fleet: FleetView;
  readonly #picker: RunnerPicker;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(settings: RetryBudgetSettings, fleet: FleetView, picker: RunnerPicker) {
    this.#settings = settings;
    this.#fleet = fleet;
    this.#picker = picker;
  }

  /** A request arrived: credits the budget of its service. */
  onRequest(now: Moment, request: RoutedRequest): void {
    this.#budget(request.service.name).onRequest(now);
  }

  /** Whether to retry after an attempt that failed and may have been processed. */
  mayRetry(now: Moment, request: RoutedRequest): boolean {
    return (
      request.attemptsSent < request.route.maxAttempts &&
      hasTimeToRun(now, request) &&
      this.#picker.hasAvailable(now, request) &&
      this.#spend(now, request)
    );
  }

  /** Whether to retry after a runner proved that it has not processed the request. */
  mayRetryUnprocessed(now: Moment, request: RoutedRequest): boolean {
    return request.attemptsSent < request.route.maxAttempts && this.#spend(now, request);
  }

  /** Whether to retry while the request's runner is unresponsive. */
  mayRetryUnresponsive(now: Moment, request: RoutedRequest): boolean {
    return (
      request.triedRunners.size < request.route.maxAttempts &&
      this.#picker.hasAvailable(now, request) &&
      this.#spend(now, request)
    );
  }

  #spend(now: Moment, request: RoutedRequest): boolean {
    return this.#budget(request.service.name).trySpend(now, this.#fleet.proxyCount.value(now));
  }

  #budget(service: string): RetryBudget {
    const known = this.#budgets.get(service);
    if (known) return known;
    const budget = new RetryBudget(this.#settings);
    this.#budgets.set(service, budget);
    return budget;
  }
}

import type { Moment } from '../common/ids.js';
import type { FleetView } from './fleet-view.js';
import { RetryBudget, type RetryBudgetSettings } from './retry-budget.js';
import { LEAST_LEFT_MS, type RoutedRequest } from './routed-request.js';
import type { RunnerChoice } from './runner-choice.js';

/**
 * Whether a request may arrive at a further runner, by its route's tries, its time, other runners and its service's
 * budget. The budget is asked last, and a yes is paid for. That another run does no harm is for the caller to know.
 */
export class RetryPolicy {
  readonly #settings: RetryBudgetSettings;
  readonly #fleet: FleetView;
  readonly #choice: RunnerChoice;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(settings: RetryBudgetSettings, fleet: FleetView, choice: RunnerChoice) {
    this.#settings = settings;
    this.#fleet = fleet;
    this.#choice = choice;
  }

  /** A request came: its service's budget grows by its share. */
  count(now: Moment, request: RoutedRequest): void {
    this.#budget(request.service.name).request(now);
  }

  /** After an attempt that failed and may have run. */
  mayRetry(now: Moment, request: RoutedRequest): boolean {
    return (
      request.sends < request.route.tries &&
      now < request.deadline - LEAST_LEFT_MS &&
      this.#choice.hasUsable(now, request) &&
      this.#spend(now, request)
    );
  }

  /** After the runner's word that it has not run it. */
  mayRetryNotRun(now: Moment, request: RoutedRequest): boolean {
    return request.sends < request.route.tries && this.#spend(now, request);
  }

  /** While its runner says nothing. */
  mayLeaveSilent(now: Moment, request: RoutedRequest): boolean {
    return (
      request.tried.size < request.route.tries &&
      this.#choice.hasUsable(now, request) &&
      this.#spend(now, request)
    );
  }

  #spend(now: Moment, request: RoutedRequest): boolean {
    return this.#budget(request.service.name).spend(now, this.#fleet.flows);
  }

  #budget(service: string): RetryBudget {
    const known = this.#budgets.get(service);
    if (known) return known;
    const budget = new RetryBudget(this.#settings);
    this.#budgets.set(service, budget);
    return budget;
  }
}

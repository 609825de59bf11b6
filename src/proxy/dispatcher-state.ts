import { ClientAnswers } from './client-answers.js';
import { DispatchCounts } from './dispatch-counts.js';
import type { DispatcherSettings } from './dispatch-types.js';
import { EffectQueue } from './effect-queue.js';
import { FirstEventTimes } from './first-event-times.js';
import { FleetView } from './fleet-view.js';
import { LoadForecast } from './load-forecast.js';
import { OpenRequests } from './open-requests.js';
import { RetryPolicy } from './retry-policy.js';
import { RunnerChoice } from './runner-choice.js';
import { UnitDemand } from './unit-demand.js';

/** What the placing of requests and the following of their attempts share; each part guards a state of its own. */
export class DispatcherState {
  readonly fleet = new FleetView();
  readonly forecast = new LoadForecast();
  readonly times = new FirstEventTimes();
  readonly demand = new UnitDemand();
  readonly effects = new EffectQueue();
  readonly counts = new DispatchCounts();
  readonly requests: OpenRequests;
  readonly answers: ClientAnswers;
  readonly choice: RunnerChoice;
  readonly retry: RetryPolicy;

  constructor(settings: DispatcherSettings) {
    this.requests = new OpenRequests(this.demand);
    this.answers = new ClientAnswers(this.requests, this.effects, this.counts);
    this.choice = new RunnerChoice(settings, this.fleet);
    this.retry = new RetryPolicy(settings.retry, this.fleet, this.choice);
  }
}

import { ClientAnswers } from './ClientAnswers.js';
import { DispatchCounts } from './DispatchCounts.js';
import type { DispatcherSettings } from './DispatchTypes.js';
import { EffectQueue } from './EffectQueue.js';
import { FirstEventTimes } from './FirstEventTimes.js';
import { FleetView } from './FleetView.js';
import { LoadForecast } from './LoadForecast.js';
import { OpenRequests } from './OpenRequests.js';
import { RetryPolicy } from './RetryPolicy.js';
import { RunnerChoice } from './RunnerChoice.js';
import { UnitDemand } from './UnitDemand.js';

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

import { RequestOutcomes } from './request-outcomes.js';
import { DispatchCounts } from './dispatch-counts.js';
import type { DispatcherSettings } from './dispatch-types.js';
import { EffectQueue } from './effect-queue.js';
import { FleetView } from './fleet-view.js';
import { LoadEstimate } from './load-estimate.js';
import { LoadForecast } from './load-forecast.js';
import { OpenRequests } from './open-requests.js';
import { PlaceEstimate } from './place-estimate.js';
import { ResponseTimes } from './response-times.js';
import { RetryPolicy } from './retry-policy.js';
import { RunnerPicker } from './runner-picker.js';
import { ModelDemand } from './model-demand.js';

/** The components that `RequestPlacement` and `AttemptTracker` share; each component owns its part of the state. */
export class DispatcherState {
  readonly fleet = new FleetView();
  readonly forecast = new LoadForecast();
  readonly responseTimes = new ResponseTimes();
  readonly demand = new ModelDemand();
  readonly effects = new EffectQueue();
  readonly counts = new DispatchCounts();
  readonly requests: OpenRequests;
  readonly outcomes: RequestOutcomes;
  readonly picker: RunnerPicker;
  readonly loadEstimate: LoadEstimate;
  readonly placeEstimate: PlaceEstimate;
  readonly retryPolicy: RetryPolicy;

  constructor(settings: DispatcherSettings) {
    this.requests = new OpenRequests(this.demand);
    this.outcomes = new RequestOutcomes(this.requests, this.effects, this.counts);
    this.picker = new RunnerPicker(settings, this.fleet);
    this.loadEstimate = new LoadEstimate(this.picker, this.forecast);
    this.placeEstimate = new PlaceEstimate(this.fleet, this.picker);
    this.retryPolicy = new RetryPolicy(settings.retry, this.fleet, this.picker);
  }
}

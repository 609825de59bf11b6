import type { Moment } from '../common/ids.js';
import type { PlaceEstimate, PlaceForecast } from './place-estimate.js';
import { isUntried, type RoutedRequest } from './routed-request.js';
import type { RunnerPicker } from './runner-picker.js';

/** What the requests of one queue wait for at one moment; what is the same for all of them is computed once. */
export class QueueOutlook {
  readonly #now: Moment;
  readonly #picker: RunnerPicker;
  readonly #placeEstimate: PlaceEstimate;
  #needsLoad: boolean | undefined;
  #places: PlaceForecast | undefined;

  constructor(now: Moment, picker: RunnerPicker, placeEstimate: PlaceEstimate) {
    this.#now = now;
    this.#picker = picker;
    this.#placeEstimate = placeEstimate;
  }

  /** Whether no runner has the model and adapter of the queue's requests. A plain service needs none. */
  needsLoad(request: RoutedRequest): boolean {
    this.#needsLoad ??= request.modelUnit !== '' && !this.#picker.isLoaded(this.#now, request);
    return this.#needsLoad;
  }

  /**
   * Time until a runner is expected to have a place for the request, behind `aheadCount` others, ms; undefined if it may not
   * be sent to any runner any more.
   */
  placeMs(request: RoutedRequest, aheadCount: number): number | undefined {
    const places = isUntried(request) ? this.#untriedPlaces(request) : this.#forecast(request);
    return places && places.firstMs + places.intervalMs * aheadCount;
  }

  #untriedPlaces(request: RoutedRequest): PlaceForecast | undefined {
    this.#places ??= this.#forecast(request);
    return this.#places;
  }

  #forecast(request: RoutedRequest): PlaceForecast | undefined {
    return this.#placeEstimate.forecast(this.#now, request);
  }
}

import { later, type Moment } from '../common/ids.js';
import type { Fleet, FleetWait } from '../placement/fleet.js';

interface Forecast {
  readonly expectedAt: Moment;
  /** Whether a runner is already loading it, rather than the load waiting for its start. */
  readonly isLoading: boolean;
}

/** When model loads are expected to complete, as the leader last reported, by model and adapter. */
export class LoadForecast {
  readonly #forecasts = new Map<string, Forecast>();

  /** Replaces the forecasts by those of a new snapshot. */
  update(now: Moment, fleet: Fleet): void {
    this.#forecasts.clear();
    for (const wait of fleet.waits) if (wait.readyMs > 0) this.#addWait(now, wait);
    for (const runner of fleet.runners)
      for (const load of runner.coming) this.#addLoading(now, load);
  }

  #addWait(now: Moment, { model, adapter, readyMs }: FleetWait): void {
    this.#forecasts.set(keyOf(model, adapter), {
      expectedAt: later(now, readyMs),
      isLoading: false,
    });
  }

  /** The earliest load in progress counts; any load in progress takes precedence over a waiting one. */
  #addLoading(now: Moment, { model, adapter, readyMs }: FleetWait): void {
    const key = keyOf(model, adapter);
    const expectedAt = later(now, readyMs);
    const known = this.#forecasts.get(key);
    if (!known?.isLoading || expectedAt < known.expectedAt)
      this.#forecasts.set(key, { expectedAt, isLoading: true });
  }

  /**
   * When the load of the model with the adapter ('' for none) is expected to complete, or else that of the model alone;
   * undefined if the leader reported neither.
   */
  expectedAt(model: string, adapter: string): Moment | undefined {
    const withAdapter =
      adapter === '' ? undefined : this.#forecasts.get(keyOf(model, adapter))?.expectedAt;
    return withAdapter ?? this.#forecasts.get(keyOf(model, ''))?.expectedAt;
  }
}

function keyOf(model: string, adapter: string): string {
  return `${model}\n${adapter}`;
}

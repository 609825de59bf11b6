import { later, type Moment } from '../common/ids.js';
import type { Fleet, FleetWait } from '../placement/fleet.js';

interface Forecast {
  readonly expectedAt: Moment;
  /** Whether the load is under way at a runner. */
  readonly isLoading: boolean;
}

/** What the leader said of loads that are waited for or under way, by model and adapter. */
export class LoadForecast {
  readonly #forecasts = new Map<string, Forecast>();

  /** Takes up what the leader says now; what it said before is void. */
  update(now: Moment, fleet: Fleet): void {
    this.#forecasts.clear();
    for (const wait of fleet.waits) if (wait.readyMs > 0) this.#addWait(now, wait);
    for (const runner of fleet.runners)
      for (const coming of runner.coming) this.#addLoading(now, coming);
  }

  #addWait(now: Moment, { model, adapter, readyMs }: FleetWait): void {
    this.#forecasts.set(keyOf(model, adapter), {
      expectedAt: later(now, readyMs),
      isLoading: false,
    });
  }

  /** Of several that are under way the first counts, and each counts before one that only waits. */
  #addLoading(now: Moment, { model, adapter, readyMs }: FleetWait): void {
    const key = keyOf(model, adapter);
    const at = later(now, readyMs);
    const known = this.#forecasts.get(key);
    if (!known?.isLoading || at < known.expectedAt)
      this.#forecasts.set(key, { expectedAt: at, isLoading: true });
  }

  /** When the model with the adapter ('' for none), or else the model itself, is due as far as the leader told. */
  expectedAt(model: string, adapter: string): Moment | undefined {
    const withAdapter =
      adapter === '' ? undefined : this.#forecasts.get(keyOf(model, adapter))?.expectedAt;
    return withAdapter ?? this.#forecasts.get(keyOf(model, ''))?.expectedAt;
  }
}

function keyOf(model: string, adapter: string): string {
  return `${model}\n${adapter}`;
}

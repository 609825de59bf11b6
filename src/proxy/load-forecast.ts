import { later, type Moment } from '../common/ids.js';
import type { Fleet, FleetWait } from '../placement/fleet.js';

interface Forecast {
  readonly at: Moment;
  /** Whether the load is under way at a runner. */
  readonly isComing: boolean;
}

/** What the leader said of loads that are waited for or under way, by model and adapter. */
export class LoadForecast {
  readonly #forecasts = new Map<string, Forecast>();

  /** Takes up what the leader says now; what it said before is void. */
  update(now: Moment, fleet: Fleet): void {
    this.#forecasts.clear();
    for (const wait of fleet.waits) if (wait.readyMs > 0) this.#addWait(now, wait);
    for (const runner of fleet.runners)
      for (const coming of runner.coming) this.#addComing(now, coming);
  }

  #addWait(now: Moment, { model, adapter, readyMs }: FleetWait): void {
    this.#forecasts.set(keyOf(model, adapter), { at: later(now, readyMs), isComing: false });
  }

  /** Of several that are under way the first counts, and each counts before one that only waits. */
  #addComing(now: Moment, { model, adapter, readyMs }: FleetWait): void {
    const key = keyOf(model, adapter);
    const at = later(now, readyMs);
    const known = this.#forecasts.get(key);
    if (!known?.isComing || at < known.at) this.#forecasts.set(key, { at, isComing: true });
  }

  /** When the model with the adapter ('' for none), or else the model itself, is due as far as the leader told. */
  dueAt(model: string, adapter: string): Moment | undefined {
    const withAdapter = adapter === '' ? undefined : this.#forecasts.get(keyOf(model, adapter))?.at;
    return withAdapter ?? this.#forecasts.get(keyOf(model, ''))?.at;
  }
}

function keyOf(model: string, adapter: string): string {
  return `${model}\n${adapter}`;
}

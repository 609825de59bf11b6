import { unitKey, type PlanInput, type RunnerView } from './placer-types.js';
import type { Hold, Intent, ServiceDoc } from './shapes.js';

/**
 * Free memory and fetch slots of the runners, with loaded models, running fetches and pending intents counted as used.
 */
export class CapacityTable {
  readonly #views = new Map<string, RunnerView>();
  readonly #evacuatedZones: ReadonlySet<string>;
  readonly #intents: Intent[] = [];
  readonly #maxConcurrentFetches: number;

  constructor(input: PlanInput, docs: readonly ServiceDoc[]) {
    for (const view of input.runners) this.#views.set(view.machine.id, view);
    this.#evacuatedZones = new Set(input.evacuatedZones);
    this.#maxConcurrentFetches = input.catalog.limit;
    for (const doc of docs) this.#intents.push(...doc.intents);
  }

  /** A runner of the plan's input. */
  view(runner: string): RunnerView | undefined {
    return this.#views.get(runner);
  }

  /** The runner's zone; empty for an unknown runner. */
  zoneOf(runner: string): string {
    return this.#views.get(runner)?.machine.zone ?? '';
  }

  /** Whether the runner may keep its placements; one that cannot be reached for a short time keeps them. */
  mayStayPlaced(runner: string): boolean {
    const view = this.#views.get(runner);
    return (
      view !== undefined &&
      !view.isPresumedLost &&
      !view.machine.leaving &&
      !this.#evacuatedZones.has(view.machine.zone)
    );
  }

  /** Whether the runner may be assigned models: reachable, with a report, staying, and without a service of its own. */
  isUsable(runner: string): boolean {
    const view = this.#views.get(runner);
    return (
      view !== undefined &&
      view.isReachable &&
      view.report !== undefined &&
      !view.machine.leaving &&
      !this.#evacuatedZones.has(view.machine.zone) &&
      view.machine.service === ''
    );
  }

  /** All runners that may be assigned models. */
  usableRunners(): RunnerView[] {
    const views: RunnerView[] = [];
    for (const [id, view] of this.#views) if (this.isUsable(id)) views.push(view);
    return views;
  }

  /** A model or adapter (empty for the model itself) as the runner reports it. */
  hold(runner: string, model: string, adapter: string): Hold | undefined {
    for (const hold of this.#views.get(runner)?.report?.holds ?? [])
      if (hold.model === model && hold.adapter === adapter) return hold;
    return undefined;
  }

  /** Whether a model is ready at a usable runner. */
  isReady(runner: string, model: string): boolean {
    return this.isUsable(runner) && this.hold(runner, model, '')?.state === 'ready';
  }

  /** The model's adapters that are ready at a runner. */
  readyAdapters(runner: string, model: string): string[] {
    const adapters: string[] = [];
    for (const hold of this.#views.get(runner)?.report?.holds ?? []) {
      if (hold.model === model && hold.adapter !== '' && hold.state === 'ready')
        adapters.push(hold.adapter);
    }
    return adapters;
  }

  /** Counts an intent created in this plan. */
  reserve(intent: Intent): void {
    this.#intents.push(intent);
  }

  /** Whether the runner reports the model or adapter in any state, or a load of it is intended. */
  hasUnit(runner: string, model: string, adapter: string): boolean {
    return (
      this.hold(runner, model, adapter) !== undefined ||
      this.#intents.some((intent) => isLoadOf(runner, model, adapter, intent))
    );
  }

  /** Whether the runner holds the model and is not unloading it, or a load of it is intended. */
  holdsOrFetches(runner: string, model: string): boolean {
    const hold = this.hold(runner, model, '');
    return (
      (hold !== undefined && hold.state !== 'unloading') ||
      this.#intents.some((intent) => isLoadOf(runner, model, '', intent))
    );
  }

  /** Whether the runner unloads the model, or an unload is intended. */
  isUnloading(runner: string, model: string): boolean {
    return (
      this.hold(runner, model, '')?.state === 'unloading' ||
      this.#intents.some((intent) => isUnloadOf(runner, model, intent))
    );
  }

  /**
   * Memory not used by loaded models, fetches or intended loads; an unload counts only once the report shows its
   * effect.
   */
  free(runner: string): number {
    const report = this.#views.get(runner)?.report;
    if (!report) return 0;
    let free = report.room;
    for (const hold of report.holds) free -= hold.size;
    for (const intent of this.#intents) {
      if (
        intent.runner === runner &&
        intent.verb === 'load' &&
        !this.hold(runner, intent.model, intent.adapter)
      )
        free -= intent.size;
    }
    return free;
  }

  /** Memory that intended unloads will free at a runner. */
  unloadingSize(runner: string): number {
    let size = 0;
    for (const intent of this.#intents)
      if (intent.runner === runner && intent.verb === 'unload') size += intent.size;
    return size;
  }

  /** Memory that a model and its adapters take at a runner. */
  sizeOn(runner: string, model: string): number {
    let size = 0;
    for (const hold of this.#views.get(runner)?.report?.holds ?? [])
      if (hold.model === model) size += hold.size;
    return size;
  }

  /** The candidate with the most free memory, if it is at least `size`. */
  runnerWithMostRoom(candidates: readonly RunnerView[], size: number): RunnerView | undefined {
    let best: RunnerView | undefined;
    for (const view of candidates) {
      if (this.free(view.machine.id) < size) continue;
      if (!best || this.free(view.machine.id) > this.free(best.machine.id)) best = view;
    }
    return best;
  }

  /** Whether the weight store's concurrency limit allows another fetch. */
  hasFetchSlot(): boolean {
    return this.activeFetches < this.#maxConcurrentFetches;
  }

  /** The number of fetches running or intended, each counted once. */
  get activeFetches(): number {
    const busy = new Set<string>();
    for (const intent of this.#intents)
      if (intent.verb === 'load')
        busy.add(`${intent.runner}\n${unitKey(intent.model, intent.adapter)}`);
    for (const [id, view] of this.#views) {
      for (const hold of view.report?.holds ?? [])
        if (hold.state === 'loading') busy.add(`${id}\n${unitKey(hold.model, hold.adapter)}`);
    }
    return busy.size;
  }
}

function isLoadOf(runner: string, model: string, adapter: string, intent: Intent): boolean {
  return (
    intent.verb === 'load' &&
    intent.runner === runner &&
    intent.model === model &&
    intent.adapter === adapter
  );
}

function isUnloadOf(runner: string, model: string, intent: Intent): boolean {
  return (
    intent.verb === 'unload' &&
    intent.runner === runner &&
    intent.model === model &&
    intent.adapter === ''
  );
}

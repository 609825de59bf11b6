import { unitOf, type PlanInput, type RunnerView } from './placer-types.js';
import type { Hold, Intent, ServiceDoc } from './shapes.js';

/** Room and fetch slots, counting what is held, what is under way and what is merely intended. */
export class CapacityTable {
  readonly #views = new Map<string, RunnerView>();
  readonly #evacuatedZones: ReadonlySet<string>;
  readonly #intents: Intent[] = [];
  readonly #limit: number;

  constructor(input: PlanInput, docs: readonly ServiceDoc[]) {
    for (const view of input.runners) this.#views.set(view.machine.id, view);
    this.#evacuatedZones = new Set(input.evacuatedZones);
    this.#limit = input.catalog.limit;
    for (const doc of docs) this.#intents.push(...doc.intents);
  }

  /** A runner of the plan's input. */
  view(runner: string): RunnerView | undefined {
    return this.#views.get(runner);
  }

  zoneOf(runner: string): string {
    return this.#views.get(runner)?.machine.zone ?? '';
  }

  /** Whether it may go on serving what it serves: a runner out of reach for a moment keeps its seats. */
  mayStayPlaced(runner: string): boolean {
    const view = this.#views.get(runner);
    return (
      view !== undefined &&
      !view.isUnreachable &&
      !view.machine.leaving &&
      !this.#evacuatedZones.has(view.machine.zone)
    );
  }

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

  usable(): RunnerView[] {
    const views: RunnerView[] = [];
    for (const [id, view] of this.#views) if (this.isUsable(id)) views.push(view);
    return views;
  }

  hold(runner: string, model: string, adapter: string): Hold | undefined {
    for (const hold of this.#views.get(runner)?.report?.holds ?? [])
      if (hold.model === model && hold.adapter === adapter) return hold;
    return undefined;
  }

  /** Whether a model serves at a runner that may be given work. */
  isReady(runner: string, model: string): boolean {
    return this.isUsable(runner) && this.hold(runner, model, '')?.state === 'ready';
  }

  readyAdapters(runner: string, model: string): string[] {
    const adapters: string[] = [];
    for (const hold of this.#views.get(runner)?.report?.holds ?? []) {
      if (hold.model === model && hold.adapter !== '' && hold.state === 'ready')
        adapters.push(hold.adapter);
    }
    return adapters;
  }

  /** Counts an intent decided in this plan. */
  reserve(intent: Intent): void {
    this.#intents.push(intent);
  }

  hasUnit(runner: string, model: string, adapter: string): boolean {
    return (
      this.hold(runner, model, adapter) !== undefined ||
      this.#intents.some((intent) => fetches(runner, model, adapter, intent))
    );
  }

  holdsOrFetches(runner: string, model: string): boolean {
    const hold = this.hold(runner, model, '');
    return (
      (hold !== undefined && hold.state !== 'unloading') ||
      this.#intents.some((intent) => fetches(runner, model, '', intent))
    );
  }

  isLeavingHold(runner: string, model: string): boolean {
    return (
      this.hold(runner, model, '')?.state === 'unloading' ||
      this.#intents.some((intent) => unloads(runner, model, intent))
    );
  }

  /** Room that nothing holds, fetches or is meant to fetch; an unload frees it only when the report shows it gone. */
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

  /** Room that intended unloads will free at a runner. */
  unloading(runner: string): number {
    let size = 0;
    for (const intent of this.#intents)
      if (intent.runner === runner && intent.verb === 'unload') size += intent.size;
    return size;
  }

  /** Room that a model takes at a runner, with its adapters. */
  sizeOn(runner: string, model: string): number {
    let size = 0;
    for (const hold of this.#views.get(runner)?.report?.holds ?? [])
      if (hold.model === model) size += hold.size;
    return size;
  }

  withMostCapacity(candidates: readonly RunnerView[], size: number): RunnerView | undefined {
    let best: RunnerView | undefined;
    for (const view of candidates) {
      if (this.free(view.machine.id) < size) continue;
      if (!best || this.free(view.machine.id) > this.free(best.machine.id)) best = view;
    }
    return best;
  }

  /** The weight store's limit counts fetches under way and those meant, each once. */
  hasSlot(): boolean {
    return this.fetches < this.#limit;
  }

  /** Fetches under way or intended. */
  get fetches(): number {
    const busy = new Set<string>();
    for (const intent of this.#intents)
      if (intent.verb === 'load')
        busy.add(`${intent.runner}\n${unitOf(intent.model, intent.adapter)}`);
    for (const [id, view] of this.#views) {
      for (const hold of view.report?.holds ?? [])
        if (hold.state === 'loading') busy.add(`${id}\n${unitOf(hold.model, hold.adapter)}`);
    }
    return busy.size;
  }
}

function fetches(runner: string, model: string, adapter: string, intent: Intent): boolean {
  return (
    intent.verb === 'load' &&
    intent.runner === runner &&
    intent.model === model &&
    intent.adapter === adapter
  );
}

function unloads(runner: string, model: string, intent: Intent): boolean {
  return (
    intent.verb === 'unload' &&
    intent.runner === runner &&
    intent.model === model &&
    intent.adapter === ''
  );
}

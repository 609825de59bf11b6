import type { Moment } from '../common/ids.js';
import type { ResidencyTimes } from './residency-times.js';
import type { IntentLog } from './intent-log.js';
import type { PlacerSettings, RunnerView, PlacementRole, DesiredModel } from './placer-types.js';
import type { CapacityTable } from './capacity-table.js';
import type { Hold, ServiceDoc } from './shapes.js';

/** The state of one planning run. */
export interface PlanContext {
  readonly now: Moment;
  readonly capacity: CapacityTable;
  readonly desiredModels: ReadonlyMap<string, DesiredModel>;
}

/** A runner where memory can be freed, the models to evict there, and the worth lost by that. */
interface EvictionOption {
  readonly view: RunnerView;
  readonly holds: readonly Hold[];
  readonly cost: number;
}

/** The share of the idle rate above which a model counts as in demand. */
const DEMAND_RATE_SHARE = 0.1;
/** The cost of losing an understudy, as a share of its model's worth. */
const UNDERSTUDY_LOSS_SHARE = 0.1;

/** Assigns runners to models: the primary, and the understudy (standby) in another zone. */
export class PlacementAssignment {
  readonly #settings: PlacerSettings;
  readonly #intentLog: IntentLog;
  readonly #residencyTimes: ResidencyTimes;
  readonly #waitingSince = new Map<string, Moment>();

  constructor(settings: PlacerSettings, intentLog: IntentLog, residencyTimes: ResidencyTimes) {
    this.#settings = settings;
    this.#intentLog = intentLog;
    this.#residencyTimes = residencyTimes;
  }

  /** Since when a model waits for a placement; undefined if it does not. */
  waitingSince(model: string): Moment | undefined {
    return this.#waitingSince.get(model);
  }

  /** Whether a model is requested at more than a negligible rate. */
  isInDemand(desired: DesiredModel): boolean {
    return desired.rate > this.#settings.idleRate * DEMAND_RATE_SHARE;
  }

  /** Removes placements on runners that no longer serve; an understudy with the model ready takes over at once. */
  keepOrPromote({ model }: DesiredModel, capacity: CapacityTable): void {
    const doc = this.#intentLog.doc(model);
    const primary = retainedRunner(capacity, doc.primary, model);
    const understudy = retainedRunner(capacity, doc.understudy, model);
    const isReady = primary !== '' && capacity.isReady(primary, model);
    const isUnderstudyReady = understudy !== '' && capacity.isReady(understudy, model);
    let next = { ...doc, primary, understudy };
    if (!isReady && isUnderstudyReady) next = { ...doc, primary: understudy, understudy: primary };
    if (next.primary !== doc.primary || next.understudy !== doc.understudy)
      this.#intentLog.put(next);
  }

  /**
   * Fills an empty placement: with a runner that holds the model, else by a fetch, else by evicting other models first.
   */
  place(context: PlanContext, desired: DesiredModel, role: PlacementRole): void {
    const { now, capacity } = context;
    const { model } = desired;
    const doc = this.#intentLog.doc(model);
    if (doc[role] !== '') {
      if (role === 'primary') this.#setWait(now, model, '');
      return;
    }
    if (role === 'understudy' && doc.primary === '') return;
    const candidates = candidatesFor(capacity, doc, role);
    if (candidates.length === 0) {
      this.#setWait(now, model, `no ${role === 'primary' ? 'runner' : 'second zone'} in reach`);
      return;
    }
    const holder = this.#findHolder(context, desired, candidates, role);
    if (holder) {
      this.#assign(now, model, role, holder);
      return;
    }
    if (!capacity.hasFetchSlot()) {
      this.#setWait(now, model, `${role} waits for a fetch`);
      return;
    }
    const runnerWithRoom = capacity.runnerWithMostRoom(candidates, desired.size);
    if (runnerWithRoom) {
      const order = { verb: 'load', model, adapter: '', size: desired.size } as const;
      this.#intentLog.createIntent(now, runnerWithRoom, order, capacity);
      this.#assign(now, model, role, runnerWithRoom);
      return;
    }
    this.#setWait(now, model, `${role} waits for room`);
    // A primary may evict idle understudies. Otherwise only demand justifies an eviction: by weight alone, idle models
    // would keep evicting each other.
    if (role === 'primary' || this.isInDemand(desired))
      this.#evictFor(context, desired, candidates, role);
  }

  /** Removes the placements of models that match no row any more; they are unloaded when the memory is needed. */
  releaseUndesired(desiredModels: ReadonlyMap<string, DesiredModel>): void {
    for (const doc of this.#intentLog.docs()) {
      if (!desiredModels.has(doc.model) && (doc.primary !== '' || doc.understudy !== ''))
        this.#intentLog.put({ ...doc, primary: '', understudy: '', wait: 'no row asks for it' });
    }
  }

  /** A runner that already holds or fetches the model, so that no load is needed. */
  #findHolder(
    { now, capacity }: PlanContext,
    desired: DesiredModel,
    candidates: readonly RunnerView[],
    role: PlacementRole,
  ): RunnerView | undefined {
    const isInUse = role === 'primary' && desired.rate >= this.#settings.idleRate;
    for (const view of candidates) {
      const runner = view.machine.id;
      if (
        !capacity.holdsOrFetches(runner, desired.model) ||
        capacity.isUnloading(runner, desired.model)
      )
        continue;
      if (isInUse || !this.#residencyTimes.isEvicting(now, runner, desired.model)) return view;
    }
    return undefined;
  }

  #assign(now: Moment, model: string, role: PlacementRole, view: RunnerView): void {
    this.#intentLog.put({ ...this.#intentLog.doc(model), [role]: view.machine.id });
    if (role === 'primary') this.#setWait(now, model, '');
  }

  #setWait(now: Moment, model: string, wait: string): void {
    const doc = this.#intentLog.doc(model);
    if (doc.wait !== wait) this.#intentLog.put({ ...doc, wait });
    if (wait === '') this.#waitingSince.delete(model);
    else if (!this.#waitingSince.has(model)) this.#waitingSince.set(model, now);
  }

  /**
   * Evicts models at the runner where the lost worth is lowest: first their placements are removed, then they are
   * unloaded once every proxy has received the change.
   */
  #evictFor(
    context: PlanContext,
    desired: DesiredModel,
    candidates: readonly RunnerView[],
    role: PlacementRole,
  ): void {
    const { capacity } = context;
    let best: EvictionOption | undefined;
    for (const view of candidates) {
      const runner = view.machine.id;
      // Memory that is already being freed here goes to the first model in need of it.
      const free = capacity.free(runner) + capacity.unloadingSize(runner);
      if (free >= desired.size) return;
      const eviction = this.#planEviction(context, desired, view, role, desired.size - free);
      if (eviction && (!best || eviction.cost < best.cost)) best = eviction;
    }
    if (!best) return;
    for (const hold of best.holds) this.#evict(context, best.view, hold);
  }

  /** The models of lowest worth at a runner that free enough memory together; undefined if they cannot. */
  #planEviction(
    context: PlanContext,
    desired: DesiredModel,
    view: RunnerView,
    role: PlacementRole,
    missingRoom: number,
  ): EvictionOption | undefined {
    const { capacity } = context;
    const runner = view.machine.id;
    const removable: { readonly hold: Hold; readonly cost: number }[] = [];
    for (const hold of view.report?.holds ?? []) {
      if (hold.adapter !== '' || hold.state !== 'ready' || capacity.isUnloading(runner, hold.model))
        continue;
      const cost = this.#evictionCost(context, view, hold, desired, role);
      if (cost !== undefined) removable.push({ hold, cost });
    }
    removable.sort(byCost);
    const holds: Hold[] = [];
    let cost = 0;
    let room = 0;
    for (const item of removable) {
      if (room >= missingRoom) break;
      holds.push(item.hold);
      cost += item.cost;
      room += capacity.sizeOn(runner, item.hold.model);
    }
    return room >= missingRoom ? { view, holds, cost } : undefined;
  }

  /** The worth lost by evicting this model, or undefined if it must stay. */
  #evictionCost(
    { now, desiredModels }: PlanContext,
    view: RunnerView,
    hold: Hold,
    desired: DesiredModel,
    role: PlacementRole,
  ): number | undefined {
    const runner = view.machine.id;
    const doc = this.#intentLog.doc(hold.model);
    const heldModel = desiredModels.get(hold.model);
    const isUnderstudy = doc.understudy === runner;
    if (!heldModel || (doc.primary !== runner && !isUnderstudy)) return 0;
    const readyAt = this.#residencyTimes.readyAt(runner, hold.model);
    if (readyAt !== undefined && now - readyAt < this.#settings.minResidencyMs) return undefined;
    const isIdle = heldModel.rate < this.#settings.idleRate;
    const isNewcomerWorthMore = heldModel.worth * this.#settings.worthRatio < desired.worth;
    if (isUnderstudy)
      return isIdle || (isNewcomerWorthMore && role === 'primary')
        ? heldModel.worth * UNDERSTUDY_LOSS_SHARE
        : undefined;
    // A model in use never loses its primary; an idle one does, to a model in demand that is worth much more.
    return isIdle && isNewcomerWorthMore && this.isInDemand(desired) ? heldModel.worth : undefined;
  }

  #evict({ now, capacity }: PlanContext, view: RunnerView, hold: Hold): void {
    const doc = this.#intentLog.doc(hold.model);
    const runner = view.machine.id;
    this.#residencyTimes.markEvicting(now, runner, hold.model);
    const primary = doc.primary === runner ? doc.understudy : doc.primary;
    const understudy = doc.understudy === runner || doc.primary === runner ? '' : doc.understudy;
    if (doc.primary !== primary || doc.understudy !== understudy) {
      this.#intentLog.put({ ...doc, primary, understudy });
      this.#residencyTimes.markUnplaced(now, runner, hold.model);
      return;
    }
    if (!this.#isUnloadSafe(now, view, hold)) return;
    for (const { model, adapter, size, running } of view.report?.holds ?? []) {
      if (model === hold.model && running === 0)
        this.#intentLog.createIntent(now, view, { verb: 'unload', model, adapter, size }, capacity);
    }
  }

  /** Whether every proxy has received the removal of the placement, and the requests still running there have ended. */
  #isUnloadSafe(now: Moment, view: RunnerView, hold: Hold): boolean {
    const unplacedAt = this.#residencyTimes.unplacedAt(view.machine.id, hold.model);
    if (unplacedAt === undefined || view.requestedAt < unplacedAt) return false;
    return now - unplacedAt >= this.#settings.unloadDelayMs && hold.running === 0;
  }
}

function candidatesFor(
  capacity: CapacityTable,
  doc: ServiceDoc,
  role: PlacementRole,
): RunnerView[] {
  const excludedZone = role === 'understudy' ? capacity.zoneOf(doc.primary) : '';
  const candidates: RunnerView[] = [];
  for (const view of capacity.usableRunners())
    if (view.machine.zone !== excludedZone) candidates.push(view);
  return candidates;
}

/** The placement's runner, or '' if it can no longer serve the model. */
function retainedRunner(capacity: CapacityTable, runner: string, model: string): string {
  return capacity.mayStayPlaced(runner) && capacity.holdsOrFetches(runner, model) ? runner : '';
}

function byCost(a: { readonly cost: number }, b: { readonly cost: number }): number {
  return a.cost - b.cost;
}

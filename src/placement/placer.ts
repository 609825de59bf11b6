import type { Moment } from '../common/ids.js';
import { matchesModel, rowKey } from '../policy/table.js';
import { tableIndexOf } from '../policy/table-index.js';
import { Demand } from './demand.js';
import { ResidencyTimes } from './residency-times.js';
import { IntentLog } from './intent-log.js';
import type { LiveModel } from './live.js';
import {
  unitKey,
  type PlacerSettings,
  type PlanInput,
  type RunnerView,
  type DesiredModel,
} from './placer-types.js';
import { CapacityTable } from './capacity-table.js';
import { PlacementAssignment, type PlanContext } from './placement-assignment.js';
import type { Catalog, Intent, Place, PlacedRunner, Seat, ServiceDoc } from './shapes.js';

/** Added to every rate so that models without demand still differ in worth by their weight. */
const MIN_WORTH_RATE_PER_SECOND = 0.001;
/** After this time a waiting model gains worth, since busy models would otherwise keep a rare one out forever. */
const LONG_WAIT_MS = 10_000;
const LONG_WAIT_WORTH_FACTOR = 2;
/** The share of the idle rate from which an adapter is fetched. */
const ADAPTER_FETCH_RATE_SHARE = 1 / 50;
/** A runner's age is published up to this value only, since a change beyond it makes no difference. */
const MAX_REPORTED_AGE_MS = 30_000;
const SECOND_MS = 1000;

/**
 * Decides for each model which runner is primary and which understudy, what is fetched and what is evicted. It sends no
 * orders itself: it writes intents into the models' documents, and their orders are sent once these are stored.
 */
export class Placer {
  readonly #settings: PlacerSettings;
  /** Recent demand by `unitKey`. */
  readonly demand: Demand;
  readonly #intentLog: IntentLog;
  readonly #residencyTimes = new ResidencyTimes();
  readonly #assignment: PlacementAssignment;

  constructor(settings: PlacerSettings, label: string) {
    this.#settings = settings;
    this.demand = new Demand(settings.demandWindowMs);
    this.#intentLog = new IntentLog(label);
    this.#assignment = new PlacementAssignment(settings, this.#intentLog, this.#residencyTimes);
  }

  /** Replaces the state with the stored documents, as a new leader does; `label` is the prefix of its intents' ids. */
  restore(docs: readonly ServiceDoc[], label: string): void {
    this.#intentLog.restore(docs, label);
  }

  /** The documents of all models. */
  docs(): readonly ServiceDoc[] {
    return this.#intentLog.docs();
  }

  /** The runner accepted the order: a report requested later shows its outcome. */
  onOrderAccepted(now: Moment, intent: string): void {
    this.#intentLog.onAccepted(now, intent);
  }

  /** The runner rejected the order permanently. */
  onOrderRejected(intent: string): void {
    this.#intentLog.onRejected(intent);
  }

  /**
   * Whether the order of a stored intent may still be sent. Since the intent was created, its runner may have started
   * to leave, its zone may have been evacuated, its memory may have shrunk, or the store's limit may have been lowered.
   * Against the capacity count reported models, other unloads, and other loads that were sent.
   */
  mayStillSend(intent: Intent, input: PlanInput, isSent: (intent: string) => boolean): boolean {
    if (intent.verb === 'unload') return true;
    const docsWithSent: ServiceDoc[] = [];
    for (const doc of this.#intentLog.docs())
      docsWithSent.push({
        ...doc,
        intents: doc.intents.filter(isOtherUnloadOrSent.bind(undefined, intent.id, isSent)),
      });
    const capacity = new CapacityTable(input, docsWithSent);
    return (
      capacity.isUsable(intent.runner) &&
      capacity.free(intent.runner) >= intent.size &&
      capacity.hasFetchSlot()
    );
  }

  /** Runs one plan and returns the models whose documents changed. */
  plan(now: Moment, input: PlanInput): readonly string[] {
    this.#intentLog.reconcile(now, viewsById(input.runners));
    this.#residencyTimes.noteReady(now, input.runners);
    const desiredByWorth = this.#desiredModels(now, input);
    const desiredModels = new Map<string, DesiredModel>();
    for (const desired of desiredByWorth) desiredModels.set(desired.model, desired);
    const capacity = new CapacityTable(input, this.docs());
    const context: PlanContext = { now, capacity, desiredModels };
    for (const desired of desiredByWorth) this.#assignment.keepOrPromote(desired, capacity);
    this.#assignRunners(context, desiredByWorth);
    for (const desired of desiredByWorth) this.#fetchAdapters(context, desired, input.catalog);
    this.#assignment.releaseUndesired(desiredModels);
    this.#residencyTimes.noteUnplaced(now, input.runners, (model) => this.#intentLog.doc(model));
    return this.#intentLog.takeChanged();
  }

  /** Each model that matches a row of the table, with its placements, for operators. */
  liveModels(now: Moment, input: PlanInput): LiveModel[] {
    const capacity = new CapacityTable(input, this.docs());
    const models: LiveModel[] = [];
    for (const { model, rate } of this.#desiredModels(now, input)) {
      const doc = this.#intentLog.doc(model);
      const rows: string[] = [];
      for (const row of input.table.rows)
        if (!row.model.startsWith('@') && matchesModel(row.model, model)) rows.push(rowKey(row));
      const since = this.#assignment.waitingSince(model);
      models.push({
        model,
        rows,
        rate,
        wait: doc.wait,
        waitMs: since === undefined ? 0 : now - since,
        primary: liveReplica(capacity, doc.primary, model),
        understudy: liveReplica(capacity, doc.understudy, model),
      });
    }
    return models;
  }

  /** Where each model is served now, according to what runners report as ready. */
  places(input: PlanInput): { places: Place[]; runners: PlacedRunner[] } {
    const capacity = new CapacityTable(input, this.docs());
    const places: Place[] = [];
    let waiting = 0;
    for (const doc of this.docs()) {
      const { model, wait } = doc;
      const seats = readyReplicas(capacity, doc);
      if (seats.length > 0) {
        places.push({ model, seats, wait });
        continue;
      }
      places.push({ model, seats, wait, readyMs: this.#readyMs(doc, input, waiting) });
      if (wait !== '') waiting += 1;
    }
    return { places, runners: input.runners.map(placedRunner) };
  }

  /** The estimated time until a model without a ready replica is ready, from past fetches, ms; 0 if there were none. */
  #readyMs(doc: ServiceDoc, input: PlanInput, waitsAhead: number): number {
    const size = input.catalog.models.find((item) => item.name === doc.model)?.size ?? 0;
    const ownFetchMs = this.#intentLog.fetchMs(size);
    const isUnderWay = doc.intents.some((intent) => fetchesModel(doc.model, intent));
    const dueMs = isUnderWay
      ? ownFetchMs
      : ownFetchMs * (1 + (waitsAhead + 1) / Math.max(1, input.catalog.limit));
    // Whole seconds, so that small changes publish no update.
    return Math.ceil(dueMs / SECOND_MS) * SECOND_MS;
  }

  /**
   * Models in demand get both placements before any idle model gets one: memory freed for an understudy would otherwise
   * go to the very model that was evicted for it.
   */
  #assignRunners(context: PlanContext, desiredModels: readonly DesiredModel[]): void {
    for (const isInDemand of [true, false]) {
      for (const role of ['primary', 'understudy'] as const) {
        for (const desired of desiredModels)
          if (this.#assignment.isInDemand(desired) === isInDemand)
            this.#assignment.place(context, desired, role);
      }
    }
  }

  #desiredModels(now: Moment, input: PlanInput): DesiredModel[] {
    const desired: DesiredModel[] = [];
    for (const { name, size } of input.catalog.models) {
      const weight = tableIndexOf(input.table).weight(name);
      if (weight === 0) continue;
      const rate = this.demand.rate(now, unitKey(name, ''));
      const worth = weight * (rate + MIN_WORTH_RATE_PER_SECOND);
      const isWaitingLong = this.#isWaitingLong(now, name);
      desired.push({
        model: name,
        size,
        weight,
        rate,
        worth: isWaitingLong ? worth * LONG_WAIT_WORTH_FACTOR : worth,
      });
    }
    return desired.sort(byWorth);
  }

  #isWaitingLong(now: Moment, model: string): boolean {
    const since = this.#assignment.waitingSince(model);
    return since !== undefined && now - since > LONG_WAIT_MS;
  }

  /** Fetches the adapters in demand to the runners where their model is ready. */
  #fetchAdapters({ now, capacity }: PlanContext, { model }: DesiredModel, catalog: Catalog): void {
    const doc = this.#intentLog.doc(model);
    const minRate = this.#settings.idleRate * ADAPTER_FETCH_RATE_SHARE;
    for (const { name: adapter, model: owner, size } of catalog.adapters) {
      if (owner !== model || this.demand.rate(now, unitKey(model, adapter)) < minRate) continue;
      for (const runner of [doc.primary, doc.understudy]) {
        const view = capacity.view(runner);
        if (!view || !capacity.isReady(runner, model)) continue;
        if (capacity.hasUnit(runner, model, adapter) || capacity.isUnloading(runner, model))
          continue;
        if (!capacity.hasFetchSlot() || capacity.free(runner) < size) continue;
        this.#intentLog.createIntent(now, view, { verb: 'load', model, adapter, size }, capacity);
      }
    }
  }
}

function viewsById(runners: readonly RunnerView[]): ReadonlyMap<string, RunnerView> {
  const views = new Map<string, RunnerView>();
  for (const view of runners) views.set(view.machine.id, view);
  return views;
}

function readyReplicas(
  capacity: CapacityTable,
  { model, primary, understudy }: ServiceDoc,
): Seat[] {
  const seats: Seat[] = [];
  for (const runner of [primary, understudy]) {
    if (runner === '' || !capacity.isReady(runner, model)) continue;
    const adapters = capacity.readyAdapters(runner, model);
    seats.push({ runner, primary: runner === primary, adapters });
  }
  return seats;
}

function placedRunner({ machine, report }: RunnerView): PlacedRunner {
  const { id, address, zone, service } = machine;
  return {
    id,
    address,
    zone,
    service,
    slots: report?.slots ?? 0,
    upMs: reportedAgeMs(report?.upMs ?? 0),
  };
}

function byWorth(a: DesiredModel, b: DesiredModel): number {
  return b.worth - a.worth || (a.model < b.model ? -1 : 1);
}

/** A runner's age in whole seconds, up to `MAX_REPORTED_AGE_MS`. */
function reportedAgeMs(upMs: number): number {
  return Math.min(MAX_REPORTED_AGE_MS, Math.floor(upMs / SECOND_MS) * SECOND_MS);
}

function isOtherUnloadOrSent(
  id: string,
  isSent: (intent: string) => boolean,
  intent: Intent,
): boolean {
  return intent.id !== id && (intent.verb === 'unload' || isSent(intent.id));
}

function fetchesModel(model: string, intent: Intent): boolean {
  return intent.verb === 'load' && intent.model === model && intent.adapter === '';
}

function liveReplica(capacity: CapacityTable, runner: string, model: string): LiveModel['primary'] {
  const isReady = runner !== '' && capacity.isReady(runner, model);
  return { runner, zone: runner === '' ? '' : capacity.zoneOf(runner), isReady };
}

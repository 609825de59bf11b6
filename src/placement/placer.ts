import type { Moment } from '../common/ids.js';
import { matchesModel, rowKey } from '../policy/table.js';
import { indexOf } from '../policy/table-index.js';
import { Demand } from './demand.js';
import { ResidencyTimes } from './residency-times.js';
import { IntentLog } from './intent-log.js';
import type { LiveModel } from './live.js';
import {
  unitOf,
  type PlacerSettings,
  type PlanInput,
  type RunnerView,
  type DesiredModel,
} from './placer-types.js';
import { CapacityTable } from './capacity-table.js';
import { PlacementAssignment, type Planning } from './placement-assignment.js';
import type { Catalog, Intent, Place, PlacedRunner, Seat, ServiceDoc } from './shapes.js';

/** Keeps the worth of models apart that nobody asks for, requests a second. */
const LEAST_RATE = 0.001;
/** A rare model that waits for so long gains worth, or busy ones would keep it out for good; ms. */
const LONG_WAIT_MS = 10_000;
const LONG_WAIT_WORTH = 2;
/** A share of the idle rate from which an adapter is fetched. */
const ADAPTER_SHARE = 1 / 50;
/** Beyond this age a runner's age is no news, ms. */
const OLD_MS = 30_000;
const SECOND_MS = 1000;

/**
 * Decides which runner is primary and which understudy for each model, what is fetched and what makes way.
 * It never orders: it writes intents into the services' documents, and they are ordered once they are kept.
 */
export class Placer {
  readonly #settings: PlacerSettings;
  readonly demand: Demand;
  readonly #book: IntentLog;
  readonly #times = new ResidencyTimes();
  readonly #seats: PlacementAssignment;

  constructor(settings: PlacerSettings, label: string) {
    this.#settings = settings;
    this.demand = new Demand(settings.demandWindowMs);
    this.#book = new IntentLog(label);
    this.#seats = new PlacementAssignment(settings, this.#book, this.#times);
  }

  /** Begins anew from what the parts hold, as a new leader does. */
  restore(docs: readonly ServiceDoc[], label: string): void {
    this.#book.restore(docs, label);
  }

  docs(): readonly ServiceDoc[] {
    return this.#book.docs();
  }

  /** The runner took the order: a report asked for after this shows what became of it. */
  orderTaken(now: Moment, intent: string): void {
    this.#book.onAccepted(now, intent);
  }

  /** The runner said it will not do this, now or later. */
  orderTurnedAway(intent: string): void {
    this.#book.onRejected(intent);
  }

  /**
   * Whether a kept intent is still to be ordered: time has passed since it was decided, and its runner may be leaving
   * or its zone emptied, its room may have shrunk, or the store may allow less by now. What was sent or shows counts.
   */
  mayStillOrder(intent: Intent, input: PlanInput, isSent: (intent: string) => boolean): boolean {
    if (intent.verb === 'unload') return true;
    const sent: ServiceDoc[] = [];
    for (const doc of this.#book.docs())
      sent.push({
        ...doc,
        intents: doc.intents.filter(isOtherSent.bind(undefined, intent.id, isSent)),
      });
    const ledger = new CapacityTable(input, sent);
    return (
      ledger.isUsable(intent.runner) &&
      ledger.free(intent.runner) >= intent.size &&
      ledger.hasSlot()
    );
  }

  /** Plans once and returns the models whose documents changed. */
  plan(now: Moment, input: PlanInput): readonly string[] {
    this.#book.reconcile(now, viewsById(input.runners));
    this.#times.noteReady(now, input.runners);
    const ordered = this.#wishes(now, input);
    const wishes = new Map<string, DesiredModel>();
    for (const wish of ordered) wishes.set(wish.model, wish);
    const ledger = new CapacityTable(input, this.docs());
    const planning: Planning = { now, ledger, wishes };
    for (const wish of ordered) this.#seats.keepOrPromote(wish, ledger);
    this.#seat(planning, ordered);
    for (const wish of ordered) this.#fetchAdapters(planning, wish, input.catalog);
    this.#seats.removeUnwanted(wishes);
    this.#times.noteUnplaced(now, input.runners, (model) => this.#book.doc(model));
    return this.#book.takeChanged();
  }

  /** Each model that some row wants, as operators see it beside their table. */
  live(now: Moment, input: PlanInput): LiveModel[] {
    const ledger = new CapacityTable(input, this.docs());
    const models: LiveModel[] = [];
    for (const { model, rate } of this.#wishes(now, input)) {
      const doc = this.#book.doc(model);
      const rows: string[] = [];
      for (const row of input.table.rows)
        if (!row.model.startsWith('@') && matchesModel(row.model, model)) rows.push(rowKey(row));
      const since = this.#seats.waitingSince(model);
      models.push({
        model,
        rows,
        rate,
        wait: doc.wait,
        waitMs: since === undefined ? 0 : now - since,
        primary: liveReplica(ledger, doc.primary, model),
        understudy: liveReplica(ledger, doc.understudy, model),
      });
    }
    return models;
  }

  /** Where each model is served now, given what runners report ready. */
  places(input: PlanInput): { places: Place[]; runners: PlacedRunner[] } {
    const ledger = new CapacityTable(input, this.docs());
    const places: Place[] = [];
    let waiting = 0;
    for (const doc of this.docs()) {
      const { model, wait } = doc;
      const seats = readyReplicas(ledger, doc);
      if (seats.length > 0) {
        places.push({ model, seats, wait });
        continue;
      }
      places.push({ model, seats, wait, readyMs: this.#readyMs(doc, input, waiting) });
      if (wait !== '') waiting += 1;
    }
    return { places, runners: input.runners.map(placedRunner) };
  }

  /** When a model without a seat that serves is due, as far as fetches so far tell; 0 where they tell nothing. */
  #readyMs(doc: ServiceDoc, input: PlanInput, ahead: number): number {
    const size = input.catalog.models.find((item) => item.name === doc.model)?.size ?? 0;
    const own = this.#book.fetchMs(size);
    const isUnderWay = doc.intents.some((intent) => fetchesModel(doc.model, intent));
    const dueMs = isUnderWay ? own : own * (1 + (ahead + 1) / Math.max(1, input.catalog.limit));
    // Whole seconds: a small change is no news.
    return Math.ceil(dueMs / SECOND_MS) * SECOND_MS;
  }

  /**
   * Whoever is asked for gets its pair before any idle model gets a copy: room that was made for a pair would else go to
   * the very model that made way for it.
   */
  #seat(planning: Planning, wishes: readonly DesiredModel[]): void {
    for (const isAsked of [true, false]) {
      for (const role of ['primary', 'understudy'] as const) {
        for (const wish of wishes)
          if (this.#seats.isAskedFor(wish) === isAsked) this.#seats.place(planning, wish, role);
      }
    }
  }

  #wishes(now: Moment, input: PlanInput): DesiredModel[] {
    const wishes: DesiredModel[] = [];
    for (const { name, size } of input.catalog.models) {
      const weight = indexOf(input.table).weight(name);
      if (weight === 0) continue;
      const rate = this.demand.rate(now, unitOf(name, ''));
      const worth = weight * (rate + LEAST_RATE);
      const isWaitingLong = this.#isWaitingLong(now, name);
      wishes.push({
        model: name,
        size,
        weight,
        rate,
        worth: isWaitingLong ? worth * LONG_WAIT_WORTH : worth,
      });
    }
    return wishes.sort(byWorth);
  }

  #isWaitingLong(now: Moment, model: string): boolean {
    const since = this.#seats.waitingSince(model);
    return since !== undefined && now - since > LONG_WAIT_MS;
  }

  /** Fetches the adapters that are asked for to where their model is ready. */
  #fetchAdapters({ now, ledger }: Planning, { model }: DesiredModel, catalog: Catalog): void {
    const doc = this.#book.doc(model);
    const leastRate = this.#settings.idleRate * ADAPTER_SHARE;
    for (const { name: adapter, model: owner, size } of catalog.adapters) {
      if (owner !== model || this.demand.rate(now, unitOf(model, adapter)) < leastRate) continue;
      for (const runner of [doc.primary, doc.understudy]) {
        const view = ledger.view(runner);
        if (!view || !ledger.isReady(runner, model)) continue;
        if (ledger.hasUnit(runner, model, adapter) || ledger.isLeavingHold(runner, model)) continue;
        if (!ledger.hasSlot() || ledger.free(runner) < size) continue;
        this.#book.intend(now, view, { verb: 'load', model, adapter, size }, ledger);
      }
    }
  }
}

function viewsById(runners: readonly RunnerView[]): ReadonlyMap<string, RunnerView> {
  const views = new Map<string, RunnerView>();
  for (const view of runners) views.set(view.machine.id, view);
  return views;
}

function readyReplicas(ledger: CapacityTable, { model, primary, understudy }: ServiceDoc): Seat[] {
  const seats: Seat[] = [];
  for (const runner of [primary, understudy]) {
    if (runner === '' || !ledger.isReady(runner, model)) continue;
    const adapters = ledger.readyAdapters(runner, model);
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
    upMs: idleScore(report?.upMs ?? 0),
  };
}

function byWorth(a: DesiredModel, b: DesiredModel): number {
  return b.worth - a.worth || (a.model < b.model ? -1 : 1);
}

/** Whole seconds while a runner is young, then one value. */
function idleScore(upMs: number): number {
  return Math.min(OLD_MS, Math.floor(upMs / SECOND_MS) * SECOND_MS);
}

function isOtherSent(id: string, isSent: (intent: string) => boolean, intent: Intent): boolean {
  return intent.id !== id && (intent.verb === 'unload' || isSent(intent.id));
}

function fetchesModel(model: string, intent: Intent): boolean {
  return intent.verb === 'load' && intent.model === model && intent.adapter === '';
}

function liveReplica(ledger: CapacityTable, runner: string, model: string): LiveModel['primary'] {
  const isReady = runner !== '' && ledger.isReady(runner, model);
  return { runner, zone: runner === '' ? '' : ledger.zoneOf(runner), isReady };
}

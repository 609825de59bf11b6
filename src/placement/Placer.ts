import { moment, type Moment } from '../common/Ids.js';
import { matchesModel, rowKey, type Table } from '../policy/Table.js';
import { indexOf } from '../policy/TableIndex.js';
import { Demand } from './Demand.js';
import type { LiveModel } from './Live.js';
import type {
  Catalog,
  Hold,
  Intent,
  Machine,
  Place,
  PlacedRunner,
  RunnerReport,
  Seat,
  ServiceDoc,
} from './Shapes.js';

/** A runner as last seen: the platform's word on it and its own report, if it returns one. */
export interface RunnerView {
  readonly machine: Machine;
  readonly report: RunnerReport | undefined;
  /** When we asked for that report, on our clock. */
  readonly askedAt: Moment;
  readonly isReachable: boolean;
  /** Out of reach for so long that its seats are given up. */
  readonly isLost: boolean;
}

/** What a plan is made from. */
export interface PlanInput {
  readonly table: Table;
  readonly catalog: Catalog;
  readonly runners: readonly RunnerView[];
  readonly emptied: readonly string[];
}

/** What paces the placer; spans are in ms. */
export interface PlacerSettings {
  readonly demandSpanMs: number;
  /** Requests a second below which a model counts as idle. */
  readonly idleRate: number;
  /** How many times more a newcomer must be worth than what makes way for it. */
  readonly worthRatio: number;
  /** How long a model out of the places is still left in a runner, so that every proxy has heard. */
  readonly settleMs: number;
  /** How long a model stays once it has been fetched. */
  readonly stayMs: number;
}

/** The values that hold unless a deployment names others. */
export const PLACER_DEFAULTS: PlacerSettings = {
  demandSpanMs: 20_000,
  idleRate: 0.05,
  worthRatio: 2,
  settleMs: 3500,
  stayMs: 10_000,
};

/** A decided intent, as known to this leader. */
interface IntentState {
  readonly firstSeen: Moment;
  takenAt: Moment | undefined;
}

interface Wish {
  readonly model: string;
  readonly size: number;
  readonly weight: number;
  readonly rate: number;
  readonly worth: number;
}

function unitOf(model: string, adapter: string): string {
  return `${model}\n${adapter}`;
}

function byWorth(a: Wish, b: Wish): number {
  return b.worth - a.worth || (a.model < b.model ? -1 : 1);
}

function noDoc(model: string): ServiceDoc {
  return { model, primary: '', understudy: '', wait: '', intents: [] };
}

/**
 * Decides which runner is primary and which understudy for each model, what is fetched and what makes way.
 * It never orders: it writes intents into the services' documents, and they are ordered once they are kept.
 */
export class Placer {
  readonly #settings: PlacerSettings;
  readonly demand: Demand;
  readonly #docs = new Map<string, ServiceDoc>();
  readonly #intents = new Map<string, IntentState>();
  readonly #ends = new Map<string, 'turnedAway'>();
  /** When a unit stopped being in the places at a runner, and when it was first seen ready there. */
  readonly #unplacedAt = new Map<string, Moment>();
  readonly #readyAt = new Map<string, Moment>();
  readonly #waitingSince = new Map<string, Moment>();
  /** Holds that make way for another, and until when they are not seated again. */
  readonly #makingWay = new Map<string, Moment>();
  #label: string;
  #count = 0;
  #msPerSize = 0;
  #changed = new Set<string>();

  constructor(settings: PlacerSettings, label: string) {
    this.#settings = settings;
    this.#label = label;
    this.demand = new Demand(settings.demandSpanMs);
  }

  /** Begins anew from what the parts hold, as a new leader does. */
  restore(docs: readonly ServiceDoc[], label: string): void {
    this.#docs.clear();
    this.#intents.clear();
    this.#ends.clear();
    this.#label = label;
    for (const doc of docs) this.#docs.set(doc.model, doc);
  }

  docs(): readonly ServiceDoc[] {
    return [...this.#docs.values()];
  }

  /** The runner took the order: a report asked for after this shows what became of it. */
  orderTaken(now: Moment, intent: string): void {
    const state = this.#intents.get(intent);
    if (state && state.takenAt === undefined) state.takenAt = now;
  }

  /** The runner said it will not do this, now or later. */
  orderTurnedAway(intent: string): void {
    this.#ends.set(intent, 'turnedAway');
  }

  /**
   * Whether a kept intent is still to be ordered: time has passed since it was decided, and its runner may be leaving
   * or its zone emptied, its room may have shrunk, or the store may allow less by now. What was sent or shows counts.
   */
  mayStillOrder(intent: Intent, input: PlanInput, isSent: (intent: string) => boolean): boolean {
    if (intent.verb === 'unload') return true;
    const sent: ServiceDoc[] = [];
    for (const doc of this.#docs.values())
      sent.push({
        ...doc,
        intents: doc.intents.filter(isOtherSent.bind(undefined, intent.id, isSent)),
      });
    const ledger = new Ledger(input, sent);
    return (
      ledger.isUsable(intent.runner) &&
      ledger.free(intent.runner) >= intent.size &&
      ledger.hasSlot()
    );
  }

  /** Plans once and returns the models whose documents changed. */
  plan(now: Moment, input: PlanInput): readonly string[] {
    this.#changed = new Set();
    const views = new Map<string, RunnerView>();
    for (const view of input.runners) views.set(view.machine.id, view);
    this.#reconcile(now, views);
    this.#noteReady(now, input.runners);
    const wishes = this.#wishes(now, input);
    const ledger = new Ledger(input, this.docs());
    for (const wish of wishes) this.#keepOrPromote(wish, ledger);
    // Whoever is asked for gets its pair before any idle model gets a copy: room that was made for a pair
    // would else go to the very model that made way for it.
    for (const isAsked of [true, false]) {
      for (const role of ['primary', 'understudy'] as const) {
        for (const wish of wishes)
          if (this.#isAskedFor(wish) === isAsked) this.#seat(now, wish, ledger, wishes, role);
      }
    }
    for (const wish of wishes) this.#adapters(now, wish, ledger, input.catalog);
    this.#unseatUnwished(wishes);
    this.#noteUnplaced(now, input.runners);
    return [...this.#changed];
  }

  /** Each model that some row wants, as operators see it beside their table. */
  live(now: Moment, input: PlanInput): LiveModel[] {
    const ledger = new Ledger(input, this.docs());
    const models: LiveModel[] = [];
    for (const { model, rate } of this.#wishes(now, input)) {
      const doc = this.#doc(model);
      const rows: string[] = [];
      for (const row of input.table.rows)
        if (!row.model.startsWith('@') && matchesModel(row.model, model)) rows.push(rowKey(row));
      const since = this.#waitingSince.get(model);
      models.push({
        model,
        rows,
        rate,
        wait: doc.wait,
        waitMs: since === undefined ? 0 : now - since,
        primary: liveSeat(ledger, doc.primary, model),
        understudy: liveSeat(ledger, doc.understudy, model),
      });
    }
    return models;
  }

  /** When a model without a seat that serves is due, as far as fetches so far tell; 0 where they tell nothing. */
  #readyMs(doc: ServiceDoc, input: PlanInput, ahead: number): number {
    const size = input.catalog.models.find(isNamed.bind(undefined, doc.model))?.size ?? 0;
    const own = size * this.#msPerSize;
    const isUnderWay = doc.intents.some(fetchesModel.bind(undefined, doc.model));
    // Whole seconds: a small change is no news.
    return (
      Math.ceil(
        (isUnderWay ? own : own * (1 + (ahead + 1) / Math.max(1, input.catalog.limit))) / 1000,
      ) * 1000
    );
  }

  /** Where each model is served now, given what runners report ready. */
  places(input: PlanInput): { places: Place[]; runners: PlacedRunner[] } {
    const ledger = new Ledger(input, this.docs());
    const places: Place[] = [];
    let waiting = 0;
    for (const doc of this.#docs.values()) {
      const seats: Seat[] = [];
      for (const [runner, isPrimary] of [
        [doc.primary, true],
        [doc.understudy, false],
      ] as const) {
        if (
          runner === '' ||
          !ledger.isUsable(runner) ||
          ledger.hold(runner, doc.model, '')?.state !== 'ready'
        )
          continue;
        seats.push({
          runner,
          primary: isPrimary,
          adapters: ledger.readyAdapters(runner, doc.model),
        });
      }
      if (seats.length > 0) {
        places.push({ model: doc.model, seats, wait: doc.wait });
        continue;
      }
      places.push({
        model: doc.model,
        seats,
        wait: doc.wait,
        readyMs: this.#readyMs(doc, input, waiting),
      });
      if (doc.wait !== '') waiting += 1;
    }
    const runners: PlacedRunner[] = [];
    for (const view of input.runners) {
      const { id, address, zone, service } = view.machine;
      runners.push({
        id,
        address,
        zone,
        service,
        slots: view.report?.slots ?? 0,
        upMs: coldness(view.report?.upMs ?? 0),
      });
    }
    return { places, runners };
  }

  #put(doc: ServiceDoc): void {
    this.#docs.set(doc.model, doc);
    this.#changed.add(doc.model);
  }

  #doc(model: string): ServiceDoc {
    return this.#docs.get(model) ?? noDoc(model);
  }

  // ---- intents

  /** Drops the intents that reports show as done, or as never to be done. */
  #reconcile(now: Moment, views: ReadonlyMap<string, RunnerView>): void {
    const present = new Set<string>();
    for (const doc of this.#docs.values()) {
      const open: Intent[] = [];
      for (const intent of doc.intents) {
        const state = this.#intents.get(intent.id) ?? { firstSeen: now, takenAt: undefined };
        this.#intents.set(intent.id, state);
        if (this.#isOver(intent, state, views.get(intent.runner))) {
          this.#noteFetch(now, intent, state, views.get(intent.runner));
          this.#ends.delete(intent.id);
          continue;
        }
        open.push(intent);
        present.add(intent.id);
      }
      if (open.length !== doc.intents.length) this.#put({ ...doc, intents: open });
    }
    for (const id of this.#intents.keys()) if (!present.has(id)) this.#intents.delete(id);
  }

  /** How long fetches take, by size, so that whoever waits can be told when to come back. */
  #noteFetch(now: Moment, intent: Intent, state: IntentState, view: RunnerView | undefined): void {
    const isHeld = view?.report?.holds.some(isThat.bind(undefined, intent)) === true;
    if (intent.verb !== 'load' || !isHeld || state.takenAt === undefined || intent.size <= 0)
      return;
    const one = (now - state.takenAt) / intent.size;
    this.#msPerSize = this.#msPerSize === 0 ? one : this.#msPerSize * 0.8 + one * 0.2;
  }

  #isOver(intent: Intent, state: IntentState, view: RunnerView | undefined): boolean {
    // A machine off the platform's list is gone with all it held.
    if (!view) return true;
    if (this.#ends.get(intent.id) === 'turnedAway') return true;
    const report = view.report;
    if (!report || view.askedAt < state.firstSeen) return false;
    if (report.boot !== intent.boot) return true;
    const hold = report.holds.find(isThat.bind(undefined, intent));
    if (intent.verb === 'load') {
      if (hold) return hold.state === 'ready';
      // Taken, and neither held nor under way in a later report: it ended without a hold.
      return state.takenAt !== undefined && view.askedAt > state.takenAt;
    }
    return hold === undefined;
  }

  #intend(
    now: Moment,
    view: RunnerView,
    verb: Intent['verb'],
    model: string,
    adapter: string,
    size: number,
    ledger: Ledger,
  ): void {
    this.#count += 1;
    const id = `${this.#label}.${this.#count}`;
    const intent: Intent = {
      id,
      runner: view.machine.id,
      boot: view.report?.boot ?? '',
      verb,
      model,
      adapter,
      size,
    };
    const doc = this.#doc(model);
    this.#put({ ...doc, intents: [...doc.intents, intent] });
    this.#intents.set(id, { firstSeen: now, takenAt: undefined });
    ledger.reserve(intent);
  }

  // ---- wishes

  #wishes(now: Moment, input: PlanInput): Wish[] {
    const wishes: Wish[] = [];
    for (const { name, size } of input.catalog.models) {
      const weight = indexOf(input.table).weight(name);
      if (weight === 0) continue;
      const rate = this.demand.rate(now, unitOf(name, ''));
      const worth = this.#isWaitingLong(now, name)
        ? weight * (rate + 0.001) * 2
        : weight * (rate + 0.001);
      wishes.push({ model: name, size, weight, rate, worth });
    }
    return wishes.sort(byWorth);
  }

  // A rare model that somebody asked for gains worth while it waits, or busy ones would keep it out for good.
  #isWaitingLong(now: Moment, model: string): boolean {
    const since = this.#waitingSince.get(model);
    return since !== undefined && now - since > 10_000;
  }

  #noteReady(now: Moment, views: readonly RunnerView[]): void {
    for (const view of views) {
      for (const hold of view.report?.holds ?? []) {
        const key = `${view.machine.id}\n${hold.model}`;
        if (hold.state === 'ready' && hold.adapter === '' && !this.#readyAt.has(key))
          this.#readyAt.set(key, now);
      }
    }
  }

  #noteUnplaced(now: Moment, views: readonly RunnerView[]): void {
    const seen = new Set<string>();
    for (const view of views) {
      for (const hold of view.report?.holds ?? []) {
        const key = `${view.machine.id}\n${hold.model}`;
        const doc = this.#docs.get(hold.model);
        const isPlaced = doc?.primary === view.machine.id || doc?.understudy === view.machine.id;
        seen.add(key);
        if (isPlaced) this.#unplacedAt.delete(key);
        else if (!this.#unplacedAt.has(key)) this.#unplacedAt.set(key, now);
      }
    }
    for (const key of this.#unplacedAt.keys()) if (!seen.has(key)) this.#unplacedAt.delete(key);
    for (const key of this.#readyAt.keys()) if (!seen.has(key)) this.#readyAt.delete(key);
    for (const key of this.#makingWay.keys()) if (!seen.has(key)) this.#makingWay.delete(key);
  }

  // ---- seats

  /** Seats on runners that no longer serve are given up; an understudy that holds the model takes over at once. */
  #keepOrPromote(wish: Wish, ledger: Ledger): void {
    const doc = this.#doc(wish.model);
    const primary =
      ledger.mayKeep(doc.primary) && ledger.holdsOrFetches(doc.primary, wish.model)
        ? doc.primary
        : '';
    const understudy =
      ledger.mayKeep(doc.understudy) && ledger.holdsOrFetches(doc.understudy, wish.model)
        ? doc.understudy
        : '';
    const isReady =
      primary !== '' &&
      ledger.isUsable(primary) &&
      ledger.hold(primary, wish.model, '')?.state === 'ready';
    const isUnderstudyReady =
      understudy !== '' &&
      ledger.isUsable(understudy) &&
      ledger.hold(understudy, wish.model, '')?.state === 'ready';
    let next = { ...doc, primary, understudy };
    if (!isReady && isUnderstudyReady) next = { ...doc, primary: understudy, understudy: primary };
    if (next.primary !== doc.primary || next.understudy !== doc.understudy) this.#put(next);
  }

  #seat(
    now: Moment,
    wish: Wish,
    ledger: Ledger,
    wishes: readonly Wish[],
    role: 'primary' | 'understudy',
  ): void {
    const doc = this.#doc(wish.model);
    if (doc[role] !== '') {
      if (role === 'primary') this.#setWait(now, wish.model, '');
      return;
    }
    if (role === 'understudy' && doc.primary === '') return;
    const barred = role === 'understudy' ? ledger.zoneOf(doc.primary) : '';
    const candidates: RunnerView[] = [];
    for (const view of ledger.usable()) if (view.machine.zone !== barred) candidates.push(view);
    if (candidates.length === 0) {
      this.#setWait(
        now,
        wish.model,
        role === 'primary' ? 'no runner in reach' : 'no second zone in reach',
      );
      return;
    }
    // A runner that already holds it costs nothing.
    for (const view of candidates) {
      if (
        !ledger.holdsOrFetches(view.machine.id, wish.model) ||
        ledger.isLeavingHold(view.machine.id, wish.model)
      )
        continue;
      const isAskedFor = role === 'primary' && wish.rate >= this.#settings.idleRate;
      if (!isAskedFor && (this.#makingWay.get(`${view.machine.id}\n${wish.model}`) ?? now) > now)
        continue;
      this.#put({ ...this.#doc(wish.model), [role]: view.machine.id });
      if (role === 'primary') this.#setWait(now, wish.model, '');
      return;
    }
    if (!ledger.hasSlot()) {
      this.#setWait(now, wish.model, `${role} waits for a fetch`);
      return;
    }
    const roomy = ledger.roomiest(candidates, wish.size);
    if (roomy) {
      this.#intend(now, roomy, 'load', wish.model, '', wish.size, ledger);
      this.#put({ ...this.#doc(wish.model), [role]: roomy.machine.id });
      if (role === 'primary') this.#setWait(now, wish.model, '');
      return;
    }
    this.#setWait(now, wish.model, `${role} waits for room`);
    // A first copy goes before an idle second one. Beyond that only somebody's asking makes others go:
    // weights alone would have idle models chase each other out.
    if (role === 'primary' || this.#isAskedFor(wish))
      this.#makeWay(now, wish, candidates, ledger, wishes, role);
  }

  #isAskedFor(wish: Wish): boolean {
    return wish.rate > this.#settings.idleRate / 10;
  }

  #setWait(now: Moment, model: string, wait: string): void {
    const doc = this.#doc(model);
    if (doc.wait !== wait) this.#put({ ...doc, wait });
    if (wait === '') this.#waitingSince.delete(model);
    else if (!this.#waitingSince.has(model)) this.#waitingSince.set(model, now);
  }

  /** Finds the runner where the least worth makes way; the seats go first, the unloads once every proxy has heard. */
  #makeWay(
    now: Moment,
    wish: Wish,
    candidates: readonly RunnerView[],
    ledger: Ledger,
    wishes: readonly Wish[],
    role: 'primary' | 'understudy',
  ): void {
    const worths = new Map<string, Wish>();
    for (const other of wishes) worths.set(other.model, other);
    let best:
      | { readonly view: RunnerView; readonly holds: readonly Hold[]; readonly cost: number }
      | undefined;
    for (const view of candidates) {
      let free = ledger.free(view.machine.id);
      // Room already being made here is for whoever needs it first.
      free += ledger.unloading(view.machine.id);
      if (free >= wish.size) return;
      const removable: { hold: Hold; cost: number }[] = [];
      for (const hold of view.report?.holds ?? []) {
        if (
          hold.adapter !== '' ||
          hold.state !== 'ready' ||
          ledger.isLeavingHold(view.machine.id, hold.model)
        )
          continue;
        const cost = this.#costOf(now, view, hold, worths, wish, role);
        if (cost !== undefined) removable.push({ hold, cost });
      }
      removable.sort(byCost);
      const holds: Hold[] = [];
      let cost = 0;
      for (const item of removable) {
        if (free >= wish.size) break;
        holds.push(item.hold);
        cost += item.cost;
        free += ledger.sizeOn(view.machine.id, item.hold.model);
      }
      if (free >= wish.size && (!best || cost < best.cost)) best = { view, holds, cost };
    }
    if (!best) return;
    for (const hold of best.holds) this.#unseat(now, best.view, hold, ledger);
  }

  /** What losing this hold would cost, or nothing if it must stay. */
  #costOf(
    now: Moment,
    view: RunnerView,
    hold: Hold,
    worths: ReadonlyMap<string, Wish>,
    wish: Wish,
    role: 'primary' | 'understudy',
  ): number | undefined {
    const doc = this.#docs.get(hold.model);
    const other = worths.get(hold.model);
    const isPrimary = doc?.primary === view.machine.id;
    const isUnderstudy = doc?.understudy === view.machine.id;
    if (!other || (!isPrimary && !isUnderstudy)) return 0;
    const readyAt = this.#readyAt.get(`${view.machine.id}\n${hold.model}`);
    if (readyAt !== undefined && now - readyAt < this.#settings.stayMs) return undefined;
    const isIdle = other.rate < this.#settings.idleRate;
    const isWorthIt = other.worth * this.#settings.worthRatio < wish.worth;
    if (isUnderstudy)
      return isIdle || (isWorthIt && role === 'primary') ? other.worth / 10 : undefined;
    // A model in use never loses its primary; an idle one does, to one that is asked for and worth much more.
    return isIdle && isWorthIt && this.#isAskedFor(wish) ? other.worth : undefined;
  }

  #unseat(now: Moment, view: RunnerView, hold: Hold, ledger: Ledger): void {
    const doc = this.#doc(hold.model);
    const runner = view.machine.id;
    // Else its own model would take the seat back before the room is free.
    this.#makingWay.set(`${runner}\n${hold.model}`, moment(now + 15_000));
    const primary = doc.primary === runner ? doc.understudy : doc.primary;
    const understudy = doc.understudy === runner || doc.primary === runner ? '' : doc.understudy;
    if (doc.primary !== primary || doc.understudy !== understudy) {
      this.#put({ ...doc, primary, understudy });
      this.#unplacedAt.set(`${runner}\n${hold.model}`, now);
      return;
    }
    const unplacedAt = this.#unplacedAt.get(`${runner}\n${hold.model}`);
    // Not before every proxy has heard and what still runs there has ended.
    if (
      unplacedAt === undefined ||
      now - unplacedAt < this.#settings.settleMs ||
      view.askedAt < unplacedAt ||
      hold.running > 0
    )
      return;
    for (const each of view.report?.holds ?? []) {
      if (each.model === hold.model && each.running === 0)
        this.#intend(now, view, 'unload', each.model, each.adapter, each.size, ledger);
    }
  }

  /** Fetches the adapters that are asked for to where their model is ready. */
  #adapters(now: Moment, wish: Wish, ledger: Ledger, catalog: Catalog): void {
    const doc = this.#doc(wish.model);
    for (const adapter of catalog.adapters) {
      if (
        adapter.model !== wish.model ||
        this.demand.rate(now, unitOf(wish.model, adapter.name)) < this.#settings.idleRate / 50
      )
        continue;
      for (const runner of [doc.primary, doc.understudy]) {
        const view = ledger.view(runner);
        if (
          !view ||
          !ledger.isUsable(runner) ||
          ledger.hold(runner, wish.model, '')?.state !== 'ready'
        )
          continue;
        if (
          ledger.hasUnit(runner, wish.model, adapter.name) ||
          ledger.isLeavingHold(runner, wish.model)
        )
          continue;
        if (!ledger.hasSlot() || ledger.free(runner) < adapter.size) continue;
        this.#intend(now, view, 'load', wish.model, adapter.name, adapter.size, ledger);
      }
    }
  }

  /** Models that no row wants any more lose their seats; their room is taken when somebody needs it. */
  #unseatUnwished(wishes: readonly Wish[]): void {
    const wished = new Set<string>();
    for (const wish of wishes) wished.add(wish.model);
    for (const doc of [...this.#docs.values()]) {
      if (!wished.has(doc.model) && (doc.primary !== '' || doc.understudy !== ''))
        this.#put({ ...doc, primary: '', understudy: '', wait: 'no row asks for it' });
    }
  }
}

/** Seconds while a runner is young, then one value: an older runner's age is no news. */
function coldness(upMs: number): number {
  return Math.min(30_000, Math.floor(upMs / 1000) * 1000);
}

function byCost(a: { readonly cost: number }, b: { readonly cost: number }): number {
  return a.cost - b.cost;
}

function isOtherSent(id: string, isSent: (intent: string) => boolean, intent: Intent): boolean {
  return intent.id !== id && (intent.verb === 'unload' || isSent(intent.id));
}

function isNamed(name: string, item: { readonly name: string }): boolean {
  return item.name === name;
}
function fetchesModel(model: string, intent: Intent): boolean {
  return intent.verb === 'load' && intent.model === model && intent.adapter === '';
}

function liveSeat(ledger: Ledger, runner: string, model: string): LiveModel['primary'] {
  const isReady =
    runner !== '' && ledger.isUsable(runner) && ledger.hold(runner, model, '')?.state === 'ready';
  return { runner, zone: runner === '' ? '' : ledger.zoneOf(runner), isReady };
}

export function isThat(intent: Intent, hold: Hold): boolean {
  return hold.model === intent.model && hold.adapter === intent.adapter;
}

/** Room and fetch slots, counting what is held, what is under way and what is merely intended. */
class Ledger {
  readonly #views = new Map<string, RunnerView>();
  readonly #emptied: ReadonlySet<string>;
  readonly #intents: Intent[] = [];
  readonly #limit: number;

  constructor(input: PlanInput, docs: readonly ServiceDoc[]) {
    for (const view of input.runners) this.#views.set(view.machine.id, view);
    this.#emptied = new Set(input.emptied);
    this.#limit = input.catalog.limit;
    for (const doc of docs) this.#intents.push(...doc.intents);
  }

  view(runner: string): RunnerView | undefined {
    return this.#views.get(runner);
  }

  zoneOf(runner: string): string {
    return this.#views.get(runner)?.machine.zone ?? '';
  }

  /** Whether it may go on serving what it serves: a runner out of reach for a moment keeps its seats. */
  mayKeep(runner: string): boolean {
    const view = this.#views.get(runner);
    return (
      view !== undefined &&
      !view.isLost &&
      !view.machine.leaving &&
      !this.#emptied.has(view.machine.zone)
    );
  }

  isUsable(runner: string): boolean {
    const view = this.#views.get(runner);
    return (
      view !== undefined &&
      view.isReachable &&
      view.report !== undefined &&
      !view.machine.leaving &&
      !this.#emptied.has(view.machine.zone) &&
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

  readyAdapters(runner: string, model: string): string[] {
    const adapters: string[] = [];
    for (const hold of this.#views.get(runner)?.report?.holds ?? []) {
      if (hold.model === model && hold.adapter !== '' && hold.state === 'ready')
        adapters.push(hold.adapter);
    }
    return adapters;
  }

  reserve(intent: Intent): void {
    this.#intents.push(intent);
  }

  hasUnit(runner: string, model: string, adapter: string): boolean {
    return (
      this.hold(runner, model, adapter) !== undefined ||
      this.#intents.some(fetches.bind(undefined, runner, model, adapter))
    );
  }

  holdsOrFetches(runner: string, model: string): boolean {
    const hold = this.hold(runner, model, '');
    return (
      (hold !== undefined && hold.state !== 'unloading') ||
      this.#intents.some(fetches.bind(undefined, runner, model, ''))
    );
  }

  isLeavingHold(runner: string, model: string): boolean {
    return (
      this.hold(runner, model, '')?.state === 'unloading' ||
      this.#intents.some(unloads.bind(undefined, runner, model))
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

  unloading(runner: string): number {
    let size = 0;
    for (const intent of this.#intents)
      if (intent.runner === runner && intent.verb === 'unload') size += intent.size;
    return size;
  }

  sizeOn(runner: string, model: string): number {
    let size = 0;
    for (const hold of this.#views.get(runner)?.report?.holds ?? [])
      if (hold.model === model) size += hold.size;
    return size;
  }

  roomiest(candidates: readonly RunnerView[], size: number): RunnerView | undefined {
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

import { later, moment, type Moment } from '../common/Ids.js';
import type { Engine, EngineModel, Routing } from '../route/Routing.js';
import type {
  Fleet,
  FleetDemand,
  FleetRunner,
  FleetWait,
  ListedRunner,
  RunnerStatus,
} from './Fleet.js';
import type { Intent, ServiceDoc } from './Shapes.js';
import { DecayingRate, StoreWindow } from './StoreWindow.js';

export interface PlannerSettings {
  /** How old the platform's list is, and how much older it may be at worst. */
  readonly lagMs: number;
  readonly lagSlackMs: number;
  /** The span over which loads from the store are counted, and what the ceiling may be exceeded by there. */
  readonly capWindowMs: number;
  readonly capExcess: number;
  /** How old a runner's own report may be. */
  readonly reportLagMs: number;
  /** How long a model stays once it is ready, and an adapter. */
  readonly stayMs: number;
  readonly adapterStayMs: number;
  /** Spans of the two rates: the fast one lets copies grow, the slow one keeps them. */
  readonly fastMs: number;
  readonly slowMs: number;
  /** How often copies are compared with demand. */
  readonly growMs: number;
  /** How slowly a model's need is forgotten. */
  readonly shrinkMs: number;
  /** The part of all runners that goes to models by their share of work, and the part of a runner's slots to be taken. */
  readonly spreadShare: number;
  readonly slotShare: number;
  /** How many times more a further copy must be worth than what makes way for it. */
  readonly worthRatio: number;
  /** How long somebody waits for one rank. */
  readonly rankMs: number;
  /** The first guess of how long an adapter takes. */
  readonly adapterMs: number;
  /** Who waits longer than this stands in its document as waiting. */
  readonly tellWaitMs: number;
  /** How long an unload may wait for the model's runs. */
  readonly unloadMs: number;
  /** How long a proxy's last word counts. */
  readonly demandTtlMs: number;
  /** Waiting for so long at the proxies though a copy is ready means that the copy does not serve. */
  readonly despiteMs: number;
  /** The span within which what is asked for again should still find its adapter. */
  readonly adapterSpanMs: number;
  /** What it costs to fetch a copy again that a busy model needs. */
  readonly neededLoss: number;
  /** How long runners are left to a copy that presses. */
  readonly pressMs: number;
}

export const PLANNER_DEFAULTS: PlannerSettings = {
  lagMs: 800,
  lagSlackMs: 1000,
  capWindowMs: 5000,
  capExcess: 1.1,
  reportLagMs: 400,
  stayMs: 2000,
  adapterStayMs: 500,
  fastMs: 1000,
  slowMs: 12_000,
  growMs: 200,
  shrinkMs: 3000,
  spreadShare: 0.8,
  slotShare: 0.35,
  worthRatio: 2,
  rankMs: 3000,
  adapterMs: 15,
  tellWaitMs: 1000,
  unloadMs: 3000,
  demandTtlMs: 3000,
  despiteMs: 700,
  pressMs: 1200,
  neededLoss: 4,
  adapterSpanMs: 3000,
};

export interface PlannerInput {
  readonly routing: Routing | undefined;
  readonly emptied: readonly string[];
  readonly flows: number;
}

export type OrderOutcome = 'taken' | 'held' | 'busy' | 'refused' | 'unsure' | 'unsent';

type HoldPhase = 'coming' | 'ready' | 'unloading';

interface AdapterHold {
  phase: HoldPhase;
  since: number;
  suspectedUntil: number;
}

interface HeldModel {
  readonly model: ModelState;
  phase: HoldPhase;
  since: number;
  readonly adapters: Map<string, AdapterHold>;
  /** Until when proxies are believed that this copy does not serve. */
  suspectedUntil: number;
}

/** An order on its way: decided, kept, given, taken. */
interface Op {
  readonly intent: Intent;
  readonly key: string;
  readonly model: ModelState;
  /** A load that the weight store counts. */
  readonly isStore: boolean;
  isKept: boolean;
  isGiven: boolean;
  isTaken: boolean;
  due: number;
  takenAt: number;
  expectedMs: number;
  busies: number;
  failures: number;
}

interface RunnerState {
  readonly id: string;
  readonly service: string;
  readonly engine: ServiceState | undefined;
  listed: ListedRunner;
  isLeaving: boolean;
  coldUntil: number;
  readonly holds: Map<string, HeldModel>;
  /** Models that surely lie on its own disk. */
  readonly disk: Set<string>;
  readonly queue: Op[];
  given: Op | undefined;
  /** What it holds is known well enough to order by. */
  isKnown: boolean;
  askAt: number;
  isAsked: boolean;
  /** When the last order to it had surely ended. */
  idleSince: number;
  unloadedAt: number;
  /** What was unloaded last had runs that have to end first. */
  isUnloadingRuns: boolean;
  /** How many orders it took, as far as known, and how many since the last report it need not do. */
  count: number | undefined;
  helds: number;
  /** What we took its count for when it came into doubt. */
  counted: number | undefined;
  /** An order to it got no clear answer since its last report. */
  hasLostOrder: boolean;
  suspectUntil: number;
  failures: number;
  usedMb: number | undefined;
  /** Intents of an earlier leader that may be under way there. */
  restored: { readonly key: string; readonly intent: Intent }[];
}

class AdapterState {
  readonly slow = new DecayingRate();
  waiting = 0;
  waitingSince = 0;
  waitingToldAt = -Infinity;
  lastAsked = -Infinity;
  running = 0;
  badUntil = -Infinity;
  priority = 9;
  readonly name: string;
  constructor(name: string) {
    this.name = name;
  }
}

class ModelState {
  readonly key: string;
  readonly name: string;
  readonly service: ServiceState;
  sizeMb: number;
  loadMs: number;
  adapterMb: number;
  mostAdapters: number;
  readonly fast = new DecayingRate();
  readonly slow = new DecayingRate();
  lastAsked = -Infinity;
  waiting = 0;
  waitingSince = 0;
  /** The last word of a proxy that it waits. */
  waitingToldAt = -Infinity;
  running = 0;
  runningMean = 0;
  priority = 9;
  /** Since when it is asked for and nobody is served. */
  deprivedSince: number | undefined = undefined;
  /** The configuration names it. */
  isListed = false;
  badUntil = -Infinity;
  isBusy = false;
  need = 1;
  neededAt = 0;
  /** What losing a copy costs, as counted in a plan. */
  loss = 0;
  lossIn = -1;
  /** When its last copy went with a runner. */
  lostAt = -Infinity;
  /** Since when a further copy presses and finds no place. */
  pressedAt = -Infinity;

  readonly holders = new Map<RunnerState, HeldModel>();
  readonly adapters = new Map<string, AdapterState>();

  constructor(service: ServiceState, name: string) {
    this.service = service;
    this.name = name;
    this.key = keyOf(service.name, name);
    this.sizeMb = 0;
    this.loadMs = 0;
    this.adapterMb = 0;
    this.mostAdapters = 0;
  }
}

class ServiceState {
  readonly name: string;
  engine: Engine;
  readonly models = new Map<string, ModelState>();
  readonly runners = new Set<RunnerState>();
  readonly window: StoreWindow;
  readonly all = new DecayingRate();
  readonly waiting = new Set<ModelState>();
  firstDemandAt: number | undefined = undefined;
  storeOps = 0;
  grownAt = -Infinity;
  /** Further copies that much of the work waits for, as last compared with demand and not yet on their way. */
  pressing: Want[] = [];
  /** The part of its slots that runs at a runner in the mean. */
  meanLoad = 0;
  /** What loads take, against what the configuration says: from the store, from a runner's disk; and adapters, ms. */
  storeFactor = 1;
  diskFactor = 0.8;
  adapterMs: number;
  /** How long the runs of a model that is unloaded go on. */
  unloadMs = 100;

  constructor(name: string, engine: Engine, capWindowMs: number, adapterMs: number) {
    this.name = name;
    this.engine = engine;
    this.window = new StoreWindow(capWindowMs);
    this.adapterMs = adapterMs;
  }
}

interface ProxyUnit {
  readonly model: ModelState;
  readonly adapter: string;
  waiting: number;
  running: number;
}
interface ProxyWord {
  at: number;
  units: ProxyUnit[];
}

type WantKind = 'waiting' | 'grow' | 'lost' | 'spare';
interface Want {
  readonly model: ModelState;
  readonly kind: WantKind;
  readonly level: number;
  readonly since: number;
  readonly gain: number;
}

interface Victim {
  readonly held: HeldModel;
  readonly adapter: string;
}
interface Way {
  readonly victims: readonly Victim[];
  readonly loss: number;
}
interface Choice {
  readonly runner: RunnerState;
  readonly way: Way;
  readonly isDisk: boolean;
}

function isMissingAt(runner: RunnerState, model: ModelState): boolean {
  return !runner.holds.has(model.name);
}
function isPressing(want: Want): boolean {
  return want.kind === 'grow' && want.level < 1;
}
function isOtherWant(want: Want, other: Want): boolean {
  return other !== want;
}
function keyOf(service: string, model: string): string {
  return `${service}/${model}`;
}

function byLevel(a: Want, b: Want): number {
  return (
    a.level - b.level ||
    a.since - b.since ||
    b.gain - a.gain ||
    (a.model.key < b.model.key ? -1 : 1)
  );
}

function byText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

function isOtherIntent(id: string, intent: Intent): boolean {
  return intent.id !== id;
}

function nameOf(model: EngineModel): string {
  return model.name;
}

function isOtherModel(model: ModelState, unit: ProxyUnit): boolean {
  return unit.model !== model;
}

function noDoc(key: string): ServiceDoc {
  return { model: key, primary: '', understudy: '', wait: '', intents: [] };
}

/**
 * Decides for the elected leader which runner of a service of many models holds which model and adapter.
 * What a runner holds changes by our orders alone, so their outcomes are the truth; the platform's list and the
 * runner's own report are believed only where they were surely made after the last order had ended.
 * Every order is an intent in a document first, and is given once it is kept.
 */
export class Planner {
  readonly #settings: PlannerSettings;
  readonly #docs = new Map<string, ServiceDoc>();
  readonly #services = new Map<string, ServiceState>();
  readonly #runners = new Map<string, RunnerState>();
  readonly #flows = new Map<string, ProxyWord>();
  /** Runners whose own report is wanted. */
  readonly #suspected = new Set<RunnerState>();
  /** Runners with orders on their way. */
  readonly #busy = new Set<RunnerState>();
  readonly #ops = new Map<string, RunnerState>();
  /** Intents of an earlier leader, by runner, until that runner is known. */
  readonly #restored = new Map<string, { readonly key: string; readonly intent: Intent }[]>();
  readonly #changed = new Set<string>();
  /** Models whose copies changed: their documents are looked at again. */
  readonly #touched = new Set<ModelState>();
  #label = '';
  #number = 0;
  #restoredAt = -Infinity;
  /** Somebody ordered before us: what runners hold is not as the list says for sure. */
  #hasPast = false;
  #routing: Routing | undefined;
  #emptied: ReadonlySet<string> = new Set();
  #emptiedText = '';
  #flowCount = 0;
  #hasListed = false;
  #fleet: Fleet = { flows: 0, runners: [], waits: [] };
  #isFleetOld = true;
  #waits = '';
  #waiting: { model: ModelState; adapter: string; dueAt: number }[] = [];
  #blockedUntil = Infinity;
  /** Runners count orders that they need not do as well. */
  #countsHeld = false;
  /** How many runners in a row told otherwise. */
  #otherCounting = 0;
  /** Documents of an earlier leader are still to be compared with what is there. */
  #isSeatingAll = true;
  #planNumber = 0;

  constructor(settings: Partial<PlannerSettings> = {}) {
    this.#settings = { ...PLANNER_DEFAULTS, ...settings };
  }

  /** A new leader begins from the parts: what an earlier one intended may be under way. */
  restore(now: Moment, docs: readonly ServiceDoc[], label: string): void {
    this.#docs.clear();
    this.#services.clear();
    this.#runners.clear();
    this.#flows.clear();
    this.#busy.clear();
    this.#suspected.clear();
    this.#ops.clear();
    this.#restored.clear();
    this.#changed.clear();
    this.#touched.clear();
    this.#routing = undefined;
    this.#hasListed = false;
    this.#isSeatingAll = true;
    this.#isFleetOld = true;
    this.#label = label;
    this.#number = 0;
    this.#restoredAt = now;
    this.#hasPast = docs.length > 0;
    for (const doc of docs) {
      this.#docs.set(doc.model, doc);
      for (const intent of doc.intents) {
        const open = this.#restored.get(intent.runner) ?? [];
        open.push({ key: doc.model, intent });
        this.#restored.set(intent.runner, open);
      }
    }
  }

  docs(): readonly ServiceDoc[] {
    return [...this.#docs.values()];
  }

  /** What one proxy saw since its last word; what waits and runs there is told whole each time. */
  demand(now: Moment, report: FleetDemand): void {
    const word = this.#flows.get(report.flow) ?? { at: now, units: [] };
    this.#forget(word);
    word.at = now;
    word.units = [];
    this.#flows.set(report.flow, word);
    for (const unit of report.units) {
      const service = this.#services.get(unit.service);
      const model = service?.models.get(unit.model);
      if (!service || !model?.isListed) continue;
      const adapter = unit.adapter === '' ? undefined : this.#adapterOf(now, model, unit.adapter);
      if (unit.count > 0 || unit.waiting > 0) {
        service.firstDemandAt ??= now;
        model.lastAsked = now;
        if (adapter) adapter.lastAsked = now;
      }
      if (unit.count > 0) {
        model.fast.add(now, unit.count, this.#settings.fastMs);
        model.slow.add(now, unit.count, this.#settings.slowMs);
        service.all.add(now, unit.count, this.#settings.fastMs);
        adapter?.slow.add(now, unit.count, this.#settings.slowMs);
      }
      model.running += unit.running;
      if (adapter) adapter.running += unit.running;
      if (unit.waiting > 0)
        this.#noteWaiting(now, model, adapter, unit.waiting, unit.priority ?? 0);
      if (unit.waiting > 0 || unit.running > 0)
        word.units.push({
          model,
          adapter: unit.adapter,
          waiting: unit.waiting,
          running: unit.running,
        });
    }
    for (const service of this.#services.values()) this.#dropServed(service);
  }

  #noteWaiting(
    now: Moment,
    model: ModelState,
    adapter: AdapterState | undefined,
    waiting: number,
    priority: number,
  ): void {
    if (!model.service.waiting.has(model)) {
      model.waitingSince = now;
      model.priority = 9;
    }
    model.service.waiting.add(model);
    model.waiting += waiting;
    model.waitingToldAt = now;
    model.priority = Math.min(model.priority, priority);
    if (!adapter) return;
    if (adapter.waitingSince === 0) {
      adapter.waitingSince = now;
      adapter.priority = 9;
    }
    adapter.waiting += waiting;
    adapter.waitingToldAt = now;
    adapter.priority = Math.min(adapter.priority, priority);
  }

  /** Takes back what a proxy told last. */
  #forget(word: ProxyWord): void {
    for (const unit of word.units) {
      const adapter = unit.adapter === '' ? undefined : unit.model.adapters.get(unit.adapter);
      unit.model.waiting -= unit.waiting;
      unit.model.running -= unit.running;
      if (!adapter) continue;
      adapter.waiting -= unit.waiting;
      adapter.running -= unit.running;
    }
  }

  /** Between two words of a proxy its numbers are none for a moment: only here it is seen who no longer waits. */
  #dropServed(service: ServiceState): void {
    for (const model of service.waiting) {
      for (const adapter of model.adapters.values())
        if (adapter.waiting <= 0) adapter.waitingSince = 0;
      if (model.waiting <= 0) service.waiting.delete(model);
    }
  }

  #adapterOf(now: Moment, model: ModelState, name: string): AdapterState | undefined {
    const known = model.adapters.get(name);
    if (known) return known;
    // Callers name what they like: no more are kept than there can be, but for a few.
    if (model.mostAdapters === 0) return undefined;
    if (model.adapters.size >= model.mostAdapters * 2) {
      for (const [other, state] of model.adapters)
        if (now - state.lastAsked > 60_000 && state.waiting <= 0 && state.running <= 0)
          model.adapters.delete(other);
      if (model.adapters.size >= model.mostAdapters * 2) return undefined;
    }
    const adapter = new AdapterState(name);
    model.adapters.set(name, adapter);
    return adapter;
  }

  // ---- what runners hold

  /** The platform's list: who is there is believed at once, what they hold only where no order could have changed it since. */
  list(now: Moment, runners: readonly ListedRunner[]): void {
    const madeAt = now - this.#settings.lagMs - this.#settings.lagSlackMs;
    const seen = new Set<string>();
    for (const listed of runners) {
      seen.add(listed.id);
      let runner = this.#runners.get(listed.id);
      if (!runner) {
        runner = this.#newRunner(now, listed);
        this.#isFleetOld = true;
      } else {
        const old = runner.listed;
        runner.listed = listed;
        if (
          old.address !== listed.address ||
          old.zone !== listed.zone ||
          old.slots !== listed.slots
        )
          this.#isFleetOld = true;
        // The list tells no count, so what is in doubt stays so for orders until the runner itself reports.
        if (runner.queue.length === 0 && runner.idleSince < madeAt)
          this.#adopt(now, runner, listed.holds);
      }
      if (runner.isLeaving !== listed.isLeaving) {
        runner.isLeaving = listed.isLeaving;
        this.#noteLost(now, runner);
        this.#touchAll(runner);
      }
      const coldUntil = listed.coldMs > 0 ? now + listed.coldMs : 0;
      if (Math.abs(coldUntil - runner.coldUntil) > 300) {
        runner.coldUntil = coldUntil;
        this.#isFleetOld = true;
      }
    }
    for (const runner of this.#runners.values()) if (!seen.has(runner.id)) this.#gone(now, runner);
    // A runner of an earlier leader's intents that is off the list is gone with all it held.
    for (const id of [...this.#restored.keys()]) if (!seen.has(id)) this.#dropRestored(id);
    this.#hasListed = true;
  }

  #newRunner(now: Moment, listed: ListedRunner): RunnerState {
    const engine = this.#services.get(listed.service);
    const runner: RunnerState = {
      id: listed.id,
      service: listed.service,
      engine,
      listed,
      isLeaving: listed.isLeaving,
      coldUntil: 0,
      holds: new Map(),
      disk: new Set(),
      queue: [],
      given: undefined,
      isKnown: false,
      askAt: now,
      isAsked: false,
      idleSince: this.#restoredAt,
      unloadedAt: -Infinity,
      isUnloadingRuns: false,
      count: undefined,
      helds: 0,
      counted: undefined,
      hasLostOrder: false,
      suspectUntil: -Infinity,
      failures: 0,
      usedMb: undefined,
      restored: this.#restored.get(listed.id) ?? [],
    };
    this.#runners.set(runner.id, runner);
    // Who comes after the first list was never ordered by anybody; nor was anyone where nothing was ever written down.
    if ((this.#hasListed || !this.#hasPast) && runner.restored.length === 0) {
      runner.isKnown = true;
      runner.count = 0;
    }
    if (!engine) return runner;
    engine.runners.add(runner);
    if (!runner.isKnown) this.#suspected.add(runner);
    this.#adopt(now, runner, listed.holds);
    return runner;
  }

  /** Takes somebody's word on what a runner holds; only called while nothing is on its way there. */
  #adopt(now: Moment, runner: RunnerState, holds: ListedRunner['holds']): void {
    const engine = runner.engine;
    if (!engine) return;
    const told = new Set<string>();
    for (const hold of holds) {
      told.add(hold.model);
      const model = engine.models.get(hold.model) ?? this.#strange(engine, hold.model);
      let held = runner.holds.get(hold.model);
      if (!held) {
        held = {
          model,
          phase: 'ready',
          since: now - this.#settings.stayMs,
          adapters: new Map(),
          suspectedUntil: -Infinity,
        };
        runner.holds.set(hold.model, held);
        model.holders.set(runner, held);
        this.#touch(runner, model);
      } else if (held.phase !== 'ready') {
        held.phase = 'ready';
        held.since = now;
        this.#touch(runner, model);
      }
      runner.disk.add(hold.model);
      const names = new Set(hold.adapters);
      for (const name of hold.adapters) {
        if (held.adapters.get(name)?.phase === 'ready') continue;
        held.adapters.set(name, {
          phase: 'ready',
          since: now - this.#settings.adapterStayMs,
          suspectedUntil: -Infinity,
        });
        this.#touch(runner, model);
      }
      for (const name of [...held.adapters.keys()])
        if (!names.has(name)) {
          held.adapters.delete(name);
          this.#touch(runner, model);
        }
    }
    for (const held of [...runner.holds.values()])
      if (!told.has(held.model.name)) this.#unhold(runner, held);
  }

  /** A model that no configuration tells of may be as large as any. */
  #strange(service: ServiceState, name: string): ModelState {
    const model = new ModelState(service, name);
    for (const other of service.engine.models) model.sizeMb = Math.max(model.sizeMb, other.sizeMb);
    service.models.set(name, model);
    return model;
  }

  #unhold(runner: RunnerState, held: HeldModel): void {
    runner.holds.delete(held.model.name);
    held.model.holders.delete(runner);
    this.#touch(runner, held.model);
  }

  #touch(runner: RunnerState, model: ModelState): void {
    runner.usedMb = undefined;
    model.lossIn = -1;
    this.#touched.add(model);
    this.#isFleetOld = true;
  }

  #touchAll(runner: RunnerState): void {
    this.#isFleetOld = true;
    for (const held of runner.holds.values()) this.#touched.add(held.model);
  }

  #gone(now: Moment, runner: RunnerState): void {
    for (const held of runner.holds.values())
      if (held.phase === 'ready' && held.model.holders.size === 1) held.model.lostAt = now;
    for (const op of [...runner.queue]) this.#removeOp(runner, op);
    for (const held of [...runner.holds.values()]) this.#unhold(runner, held);
    this.#busy.delete(runner);
    this.#suspected.delete(runner);
    runner.engine?.runners.delete(runner);
    this.#runners.delete(runner.id);
    this.#dropRestored(runner.id);
    this.#isFleetOld = true;
  }

  /** Copies on a runner that is to go are lost at once. */
  #noteLost(now: number, runner: RunnerState): void {
    for (const held of runner.holds.values())
      if (this.#copies(now, held.model).all === 0) held.model.lostAt = now;
  }

  #dropRestored(id: string): void {
    const open = this.#restored.get(id) ?? [];
    this.#restored.delete(id);
    const runner = this.#runners.get(id);
    if (runner) runner.restored = [];
    for (const { key, intent } of open) this.#dropIntent(key, intent.id);
    if (open.length > 0) this.#isFleetOld = true;
  }

  #dropIntent(key: string, id: string): void {
    const doc = this.#docs.get(key);
    if (doc) this.#put({ ...doc, intents: doc.intents.filter(isOtherIntent.bind(undefined, id)) });
  }

  #put(doc: ServiceDoc): void {
    this.#docs.set(doc.model, doc);
    this.#changed.add(doc.model);
  }

  #known(now: Moment, runner: RunnerState): void {
    runner.isKnown = true;
    this.#suspected.delete(runner);
    runner.isAsked = false;
    runner.suspectUntil = -Infinity;
    runner.failures = 0;
    runner.idleSince = now;
    this.#dropRestored(runner.id);
    this.#isFleetOld = true;
  }

  /** A runner's own report: fresher than the list, but a few hundred ms old too. */
  status(now: Moment, id: string, askedAt: Moment, status: RunnerStatus | undefined): void {
    const runner = this.#runners.get(id);
    if (!runner?.isAsked) return;
    runner.isAsked = false;
    // Under way there is what an earlier leader ordered, or an order of ours whose answer was lost.
    if (!status || status.isBusy) {
      runner.askAt = now + (status ? 250 : 500);
      return;
    }
    runner.askAt = now + 250;
    // The first report after a change of leader tells a count, and the order it is used for is turned away if any
    // other came between; else a report counts that was made after the last order had ended.
    const isFirst = runner.idleSince <= this.#restoredAt;
    if (!isFirst && askedAt < runner.idleSince + this.#settings.reportLagMs) return;
    if (runner.queue.length > 0) return;
    this.#adopt(now, runner, status.holds);
    this.#learnCounting(runner, status.orderCount);
    runner.count = status.orderCount;
    runner.helds = 0;
    runner.hasLostOrder = false;
    this.#known(now, runner);
  }

  /** Whether orders that need not be done are counted; only a runner all of whose orders were answered can tell. */
  #learnCounting(runner: RunnerState, orderCount: number): void {
    if (runner.counted === undefined || runner.helds === 0 || runner.hasLostOrder) return;
    const isOther =
      orderCount === runner.counted + (this.#countsHeld ? -runner.helds : runner.helds);
    this.#otherCounting = isOther ? this.#otherCounting + 1 : 0;
    // One runner may have been ordered by somebody else; several were not.
    if (this.#otherCounting >= 3) {
      this.#countsHeld = !this.#countsHeld;
      this.#otherCounting = 0;
    }
  }

  /** Each report costs: it is asked for where what a runner holds is in doubt, and nowhere else. */
  asks(now: Moment): readonly string[] {
    const ids: string[] = [];
    for (const runner of this.#suspected) {
      if (runner.isAsked || runner.askAt > now || runner.queue.length > 0 || !this.#isOpen(runner))
        continue;
      runner.isAsked = true;
      ids.push(runner.id);
    }
    return ids;
  }

  /** What it holds is in doubt: no order goes there before its report has come. */
  #suspect(now: Moment, runner: RunnerState): void {
    runner.isKnown = false;
    this.#suspected.add(runner);
    runner.isAsked = false;
    runner.counted = runner.count;
    runner.count = undefined;
    runner.idleSince = now;
    runner.askAt = now + this.#settings.reportLagMs;
  }

  // ---- orders

  kept(intentIds: Iterable<string>): void {
    for (const id of intentIds) {
      for (const op of this.#ops.get(id)?.queue ?? []) if (op.intent.id === id) op.isKept = true;
    }
  }

  /** Kept intents that are due; each is given once until its outcome is told. */
  orders(now: Moment): readonly Intent[] {
    const intents: Intent[] = [];
    for (const runner of this.#busy) {
      const op = this.#dueOp(now, runner);
      if (!op) continue;
      op.isGiven = true;
      runner.given = op;
      intents.push(this.#orderOf(runner, op));
    }
    return intents;
  }

  #dueOp(now: Moment, runner: RunnerState): Op | undefined {
    const head = runner.queue[0];
    if (runner.given || !head || head.due > now) return undefined;
    if (!head.isTaken) return this.#mayStart(now, runner, head) ? head : undefined;
    // The next order is taken only once the one before it has ended: it need not be asked for by itself.
    const next = runner.queue[1];
    return next && this.#mayStart(now, runner, next) ? next : runner.queue[0];
  }

  #mayStart(now: Moment, runner: RunnerState, op: Op): boolean {
    if (!op.isKept || !this.#isOpen(runner)) return false;
    if (op.intent.verb === 'load' && !this.#fits(runner, op)) {
      this.#abandon(now, runner);
      return false;
    }
    if (!op.isStore) return true;
    const freeAt = op.model.service.window.freeAt(now, this.#budget(op.model.service));
    if (freeAt > now) op.due = freeAt;
    return freeAt <= now;
  }

  /** Whether a load fits into what the runner surely holds at most, once all before it in its line has ended. */
  #fits(runner: RunnerState, op: Op): boolean {
    const engine = runner.engine;
    if (!engine) return false;
    let mb = op.intent.size;
    let adapters = op.intent.adapter === '' ? 0 : 1;
    for (const held of runner.holds.values()) {
      if (held.phase !== 'coming' || this.#isBegun(runner, held.model, '')) mb += held.model.sizeMb;
      for (const [name, adapter] of held.adapters) {
        if (adapter.phase === 'coming' && !this.#isBegun(runner, held.model, name)) continue;
        mb += held.model.adapterMb;
        adapters += 1;
      }
    }
    return mb <= engine.engine.roomMb && adapters <= engine.engine.adapterSlots;
  }

  #isBegun(runner: RunnerState, model: ModelState, adapter: string): boolean {
    for (const op of runner.queue)
      if (op.model === model && op.intent.adapter === adapter && op.intent.verb === 'load')
        return op.isTaken;
    return false;
  }

  /** With the count an order is done at most once and in its turn, however late it arrives. */
  #orderOf(runner: RunnerState, op: Op): Intent {
    return runner.count === undefined ? op.intent : { ...op.intent, count: runner.count };
  }

  ordered(now: Moment, intentId: string, outcome: OrderOutcome): void {
    const runner = this.#ops.get(intentId);
    const op = runner?.given;
    if (!runner || !op || op.intent.id !== intentId) return;
    runner.given = undefined;
    op.isGiven = false;
    runner.idleSince = now;
    if (outcome === 'unsure' || outcome === 'unsent') {
      this.#failed(now, runner, op, outcome === 'unsure');
      return;
    }
    runner.failures = 0;
    runner.suspectUntil = -Infinity;
    op.failures = 0;
    if (outcome === 'refused') {
      this.#refused(now, runner, op);
      return;
    }
    if (outcome === 'busy') {
      this.#stillBusy(now, runner, op);
      return;
    }
    // Whatever stood before it in line has ended, for one order is done at a time.
    while (runner.queue[0] && runner.queue[0] !== op) this.#done(now, runner, runner.queue[0]);
    if (outcome === 'held') {
      // Whether a runner counts an order that it need not do is not told: a later report shows it.
      runner.helds += 1;
      if (runner.count !== undefined && this.#countsHeld) runner.count += 1;
      this.#done(now, runner, op);
      return;
    }
    // The same order again while it is being done is no new one: it is neither begun anew nor counted.
    if (op.isTaken) {
      this.#stillBusy(now, runner, op);
      return;
    }
    if (runner.count !== undefined) runner.count += 1;
    if (runner.isUnloadingRuns) {
      runner.isUnloadingRuns = false;
      const { service } = op.model;
      service.unloadMs = Math.min(2000, service.unloadMs * 0.7 + (now - runner.unloadedAt) * 0.3);
    }
    runner.unloadedAt = -Infinity;
    this.#taken(now, runner, op);
  }

  #taken(now: Moment, runner: RunnerState, op: Op): void {
    if (op.isStore) op.model.service.window.add(now);
    op.isTaken = true;
    op.takenAt = now;
    op.busies = 0;
    // Nothing else is taken before an unload has ended, so it need not be confirmed.
    if (op.intent.verb === 'unload') {
      this.#unloading(now, runner, op);
      return;
    }
    op.expectedMs = this.#expectedMs(op);
    op.due = now + op.expectedMs;
    this.#isFleetOld = true;
  }

  /** Its room is another's from now on, but no order is taken before the model's runs have ended. */
  #unloading(now: Moment, runner: RunnerState, op: Op): void {
    const { model } = op;
    const running =
      op.intent.adapter === ''
        ? model.running
        : (model.adapters.get(op.intent.adapter)?.running ?? 0);
    runner.unloadedAt = now;
    runner.isUnloadingRuns = running > 0;
    this.#done(now, runner, op);
    const next = runner.queue[0];
    if (next) next.due = now + (runner.isUnloadingRuns ? model.service.unloadMs : 5);
  }

  #expectedMs(op: Op): number {
    const service = op.model.service;
    if (op.intent.adapter !== '') return service.adapterMs;
    if (!op.isStore) return op.model.loadMs * service.diskFactor;
    return op.model.loadMs * service.storeFactor * this.#slowdown(service, op.model);
  }

  /** Loads beyond what the store does at full speed all take longer. */
  #slowdown(service: ServiceState, model: ModelState): number {
    return Math.max(1, service.storeOps / this.#storeLimit(service, model));
  }

  #storeLimit(service: ServiceState, model: ModelState): number {
    return Math.max(1, Math.round((service.engine.loadsPerSecond * model.loadMs) / 1000));
  }

  #budget(service: ServiceState): number {
    const { capWindowMs, capExcess } = this.#settings;
    // Half of the excess stays unused: a load may begin a little before or after we think.
    return Math.max(
      1,
      Math.floor((service.engine.loadsPerSecond * capWindowMs * (1 + (capExcess - 1) / 2)) / 1000),
    );
  }

  /** Something is under way there, or the count differs: expected after an order of ours, else its report has to tell. */
  #stillBusy(now: Moment, runner: RunnerState, op: Op): void {
    const head = runner.queue[0] ?? op;
    head.busies += 1;
    if (head.isTaken) {
      const isAdapter = head.intent.adapter !== '';
      head.due =
        now +
        (isAdapter ? Math.min(100, 10 + head.busies * 5) : Math.min(250, 50 + head.busies * 10));
      this.#isFleetOld = true;
      if (now - head.takenAt > head.expectedMs * 4 + 2000) this.#abandon(now, runner);
      return;
    }
    // An unload waits for the model's runs, and they may take seconds.
    head.due = now + Math.min(250, 30 + head.busies * 15);
    if (now - runner.unloadedAt > this.#settings.unloadMs) this.#abandon(now, runner);
  }

  #failed(now: Moment, runner: RunnerState, op: Op, mayHaveRun: boolean): void {
    op.failures += 1;
    runner.failures += 1;
    runner.suspectUntil = now + Math.min(3000, 200 * runner.failures ** 2);
    const head = runner.queue[0] ?? op;
    head.due = now + Math.min(1000, 100 * 2 ** Math.min(4, op.failures - 1));
    this.#isFleetOld = true;
    this.#touchAll(runner);
    if (mayHaveRun) runner.hasLostOrder = true;
    if (mayHaveRun && (!op.isTaken || this.#countsHeld)) {
      // It may come to pass at any time: nothing is ordered there before a report tells, and what is ordered then
      // carries the count of that report, so that the lost one is turned away should it arrive after it.
      if (op.isStore && !op.isTaken) op.model.service.window.add(now);
      this.#abandon(now, runner);
      // Nor is it told as held what may be on its way out.
      if (op.intent.verb === 'unload')
        this.#mark(now, runner, 'unload', op.model, op.intent.adapter);
      return;
    }
    // A question that was lost is asked again, but not for ever.
    if (op.isTaken && op.failures >= 3) this.#abandon(now, runner);
    // Whoever waits for it is better served elsewhere.
    else this.#dropUnsent(runner);
  }

  #refused(now: Moment, runner: RunnerState, op: Op): void {
    const adapter = op.model.adapters.get(op.intent.adapter);
    // It may be no such thing at all, or not at that runner: its report tells, and nothing is tried again at once.
    if (adapter) adapter.badUntil = now + 1000;
    else if (op.intent.adapter === '') op.model.badUntil = now + 1000;
    this.#abandon(now, runner);
  }

  /** Gives up what is in line there, and asks what the runner holds. */
  #abandon(now: Moment, runner: RunnerState): void {
    for (const op of [...runner.queue]) this.#undo(now, runner, op);
    this.#suspect(now, runner);
  }

  /** Takes back what was decided and never sent. */
  #dropUnsent(runner: RunnerState): void {
    for (let index = runner.queue.length - 1; index >= 0; index -= 1) {
      const op = runner.queue[index];
      if (!op || op.isTaken || op.isGiven) break;
      this.#undo(runner.idleSince, runner, op);
    }
  }

  #undo(now: number, runner: RunnerState, op: Op): void {
    const held = runner.holds.get(op.model.name);
    this.#removeOp(runner, op);
    if (!held) return;
    const { verb, adapter: name } = op.intent;
    if (name !== '') {
      const adapter = held.adapters.get(name);
      if (verb === 'load' && adapter?.phase === 'coming') held.adapters.delete(name);
      else if (adapter && verb === 'unload') {
        adapter.phase = 'ready';
        adapter.since = now;
      }
    } else if (verb === 'load') {
      if (held.phase === 'coming') this.#unhold(runner, held);
    } else {
      held.phase = 'ready';
      held.since = now;
    }
    this.#touch(runner, op.model);
  }

  #removeOp(runner: RunnerState, op: Op): void {
    const index = runner.queue.indexOf(op);
    if (index >= 0) runner.queue.splice(index, 1);
    if (runner.given === op) runner.given = undefined;
    if (op.isStore) op.model.service.storeOps -= 1;
    this.#ops.delete(op.intent.id);
    if (runner.queue.length === 0) this.#busy.delete(runner);
    this.#dropIntent(op.key, op.intent.id);
    this.#isFleetOld = true;
  }

  /** The order is done: the runner holds the unit, or holds it no more. */
  #done(now: Moment, runner: RunnerState, op: Op): void {
    const { verb, adapter: name } = op.intent;
    const held = runner.holds.get(op.model.name);
    if (verb === 'load') this.#learn(now, op);
    this.#removeOp(runner, op);
    if (verb === 'unload') {
      if (held && name === '') this.#unhold(runner, held);
      else held?.adapters.delete(name);
    } else if (held && name === '') {
      held.phase = 'ready';
      held.since = now;
      runner.disk.add(op.model.name);
      op.model.deprivedSince = undefined;
    } else held?.adapters.set(name, { phase: 'ready', since: now, suspectedUntil: -Infinity });
    this.#touch(runner, op.model);
  }

  /** How long loads take, from what was taken to what is held. */
  #learn(now: Moment, op: Op): void {
    if (!op.isTaken || op.expectedMs <= 0) return;
    const service = op.model.service;
    const took = now - op.takenAt;
    // Held at the first question may mean that it was held long before: the guess goes down a little.
    const ratio = op.busies === 0 ? 0.98 : Math.min(3, took / op.expectedMs);
    if (op.intent.adapter !== '')
      service.adapterMs = Math.min(500, Math.max(5, service.adapterMs * (0.8 + 0.2 * ratio)));
    else if (op.isStore)
      service.storeFactor = Math.min(4, Math.max(0.2, service.storeFactor * (0.7 + 0.3 * ratio)));
    else service.diskFactor = Math.min(4, Math.max(0.1, service.diskFactor * (0.7 + 0.3 * ratio)));
  }

  #intend(
    now: Moment,
    runner: RunnerState,
    verb: Intent['verb'],
    model: ModelState,
    adapter: string,
  ): void {
    this.#number += 1;
    const size = adapter === '' ? model.sizeMb : model.adapterMb;
    const intent: Intent = {
      id: `${this.#label}.${this.#number}`,
      runner: runner.id,
      boot: '',
      verb,
      model: model.name,
      adapter,
      size,
    };
    const isStore = verb === 'load' && adapter === '' && !runner.disk.has(model.name);
    const op: Op = {
      intent,
      key: model.key,
      model,
      isStore,
      isKept: false,
      isGiven: false,
      isTaken: false,
      due: now,
      takenAt: 0,
      expectedMs: 0,
      busies: 0,
      failures: 0,
    };
    if (isStore) model.service.storeOps += 1;
    op.expectedMs = verb === 'load' ? this.#expectedMs(op) : 0;
    runner.queue.push(op);
    this.#busy.add(runner);
    this.#ops.set(intent.id, runner);
    const doc = this.#docs.get(model.key) ?? noDoc(model.key);
    this.#put({ ...doc, intents: [...doc.intents, intent] });
    this.#mark(now, runner, verb, model, adapter);
  }

  #mark(
    now: Moment,
    runner: RunnerState,
    verb: Intent['verb'],
    model: ModelState,
    adapter: string,
  ): void {
    let held = runner.holds.get(model.name);
    if (verb === 'load' && adapter === '') {
      held = { model, phase: 'coming', since: now, adapters: new Map(), suspectedUntil: -Infinity };
      runner.holds.set(model.name, held);
      model.holders.set(runner, held);
    } else if (held && adapter === '') held.phase = 'unloading';
    else
      held?.adapters.set(adapter, {
        phase: verb === 'load' ? 'coming' : 'unloading',
        since: now,
        suspectedUntil: -Infinity,
      });
    this.#touch(runner, model);
  }

  // ---- planning

  /** Plans once and returns the models whose documents changed. */
  plan(now: Moment, input: PlannerInput): readonly string[] {
    if (input.routing !== this.#routing) this.#takeRouting(now, input.routing);
    this.#takeEmptied(now, input.emptied);
    if (input.flows !== this.#flowCount) {
      this.#flowCount = input.flows;
      this.#isFleetOld = true;
    }
    for (const [flow, word] of this.#flows) {
      if (now - word.at <= this.#settings.demandTtlMs) continue;
      this.#forget(word);
      this.#flows.delete(flow);
    }
    this.#planNumber += 1;
    this.#blockedUntil = Infinity;
    this.#waiting = [];
    if (this.#isSeatingAll) this.#seatAll();
    for (const runner of this.#busy) if (!this.#isOpen(runner)) this.#dropUnsent(runner);
    for (const service of this.#services.values()) this.#planService(now, service);
    for (const model of this.#touched) this.#seat(model);
    this.#touched.clear();
    this.#noteWaits();
    const changed = [...this.#changed];
    this.#changed.clear();
    return changed;
  }

  /** What earlier documents say of models that nobody holds any more is out of date too. */
  #seatAll(): void {
    if (!this.#hasListed || !this.#routing) return;
    this.#isSeatingAll = false;
    for (const service of this.#services.values())
      for (const model of service.models.values())
        if (this.#docs.has(model.key)) this.#touched.add(model);
  }

  #takeRouting(now: Moment, routing: Routing | undefined): void {
    this.#routing = routing;
    const names = new Set<string>();
    for (const { name, engine } of routing?.services ?? []) {
      if (!engine) continue;
      names.add(name);
      let service = this.#services.get(name);
      if (!service) {
        service = new ServiceState(
          name,
          engine,
          this.#settings.capWindowMs,
          this.#settings.adapterMs,
        );
        this.#services.set(name, service);
        // An earlier leader may have used the ceiling just now.
        if (this.#hasPast)
          for (let used = Math.ceil(this.#budget(service) / 2); used > 0; used -= 1)
            service.window.add(now);
      }
      service.engine = engine;
      for (const model of engine.models) this.#takeModel(service, model);
      const listed = new Set(engine.models.map(nameOf));
      for (const model of service.models.values())
        if (!listed.has(model.name) && (model.isListed || model.holders.size === 0))
          this.#retire(service, model);
    }
    for (const name of [...this.#services.keys()])
      if (!names.has(name)) this.#services.delete(name);
    // Runners that were listed before their service was known are looked at again.
    for (const runner of [...this.#runners.values()]) {
      if (runner.engine === this.#services.get(runner.service)) continue;
      for (const op of [...runner.queue]) this.#removeOp(runner, op);
      for (const held of [...runner.holds.values()]) this.#unhold(runner, held);
      runner.engine?.runners.delete(runner);
      const anew = this.#newRunner(now, runner.listed);
      this.#suspected.delete(runner);
      anew.isKnown = runner.isKnown && runner.engine === undefined;
      if (anew.engine && !anew.isKnown) this.#suspected.add(anew);
      else this.#suspected.delete(anew);
      anew.coldUntil = runner.coldUntil;
    }
    this.#isFleetOld = true;
  }

  /** What the configuration no longer names is asked for no more, and goes first where somebody still holds it. */
  #retire(service: ServiceState, model: ModelState): void {
    model.isListed = false;
    service.waiting.delete(model);
    for (const word of this.#flows.values())
      word.units = word.units.filter(isOtherModel.bind(undefined, model));
    if (model.holders.size === 0) service.models.delete(model.name);
  }

  #takeModel(service: ServiceState, model: EngineModel): void {
    const state = service.models.get(model.name) ?? new ModelState(service, model.name);
    state.isListed = true;
    state.sizeMb = model.sizeMb;
    state.loadMs = model.loadMs;
    state.adapterMb = model.adapterSizeMb;
    state.mostAdapters = model.adapters;
    service.models.set(model.name, state);
    for (const runner of state.holders.keys()) runner.usedMb = undefined;
  }

  #takeEmptied(now: Moment, emptied: readonly string[]): void {
    const text = [...emptied].sort(byText).join('\n');
    if (text === this.#emptiedText) return;
    this.#emptiedText = text;
    this.#emptied = new Set(emptied);
    for (const runner of this.#runners.values()) {
      this.#noteLost(now, runner);
      this.#touchAll(runner);
    }
  }

  /** Serves on: neither leaving nor in a zone that is to be emptied. */
  #isOpen(runner: RunnerState): boolean {
    return !runner.isLeaving && !this.#emptied.has(runner.listed.zone);
  }

  /** May be ordered to take something. */
  #isUsable(now: number, runner: RunnerState): boolean {
    if (!runner.isKnown || !this.#isOpen(runner)) return false;
    if (runner.suspectUntil > now)
      this.#blockedUntil = Math.min(this.#blockedUntil, runner.suspectUntil);
    return runner.suspectUntil <= now;
  }

  /** Copies that count: ready ones, and all that serve or soon will. */
  #copies(
    now: number,
    model: ModelState,
  ): { ready: number; all: number; zones: Map<string, number> } {
    let ready = 0;
    let all = 0;
    const zones = new Map<string, number>();
    for (const [runner, held] of model.holders) {
      if (held.phase === 'unloading' || held.suspectedUntil > now || !this.#isOpen(runner))
        continue;
      // What comes to a runner out of reach comes late, or not at all.
      if (held.phase === 'coming' && runner.suspectUntil > now) continue;
      all += 1;
      if (held.phase === 'ready') ready += 1;
      zones.set(runner.listed.zone, (zones.get(runner.listed.zone) ?? 0) + 1);
    }
    return { ready, all, zones };
  }

  #planService(now: Moment, service: ServiceState): void {
    this.#dropServed(service);
    const wants: Want[] = [];
    for (const model of service.waiting) {
      const want = this.#waitingWant(now, model);
      if (want) wants.push(want);
    }
    if (now - service.grownAt >= this.#settings.growMs) {
      service.grownAt = now;
      const grown: Want[] = [];
      this.#growWants(now, service, grown);
      service.pressing = grown.filter(isPressing);
      wants.push(...grown);
    } else wants.push(...service.pressing);
    wants.sort(byLevel);
    // A copy that much of the work waits for finds no place while every runner is always loading something rare: what
    // comes after it then takes only runners that are of no use to it.
    const held: ModelState[] = [];
    for (const want of wants) {
      const isPlaced = this.#place(now, service, want, held);
      if (!isPressing(want)) continue;
      if (isPlaced) {
        service.pressing = service.pressing.filter(isOtherWant.bind(undefined, want));
        want.model.pressedAt = -Infinity;
        continue;
      }
      // What finds no place for long is not worth what would have to go for it.
      if (now - want.model.pressedAt > this.#settings.pressMs * 3) want.model.pressedAt = now;
      if (now - want.model.pressedAt <= this.#settings.pressMs) held.push(want.model);
    }
    this.#placeAdapters(now, service);
  }

  /** A model that is waited for and that no runner has, or that none serves though one should. */
  #waitingWant(now: Moment, model: ModelState): Want | undefined {
    const { despiteMs, rankMs } = this.#settings;
    if (model.badUntil > now || this.#restoredComing(now, model)) return undefined;
    let copies = this.#copies(now, model);
    if (copies.all > 0) {
      // Where many copies are ready, what waits waits for a place at one of them.
      if (copies.ready < copies.all || copies.all > 2 || !this.#waitsForModel(model))
        return undefined;
      if (now - model.waitingSince < despiteMs) return undefined;
      for (const held of model.holders.values())
        if (model.waitingToldAt - held.since < despiteMs) return undefined;
      for (const held of model.holders.values()) held.suspectedUntil = now + despiteMs * 5;
      copies = this.#copies(now, model);
    }
    if (copies.all > 0) return undefined;
    model.deprivedSince ??= now;
    const deprived = now - model.deprivedSince;
    // A crowd goes before one who waits, whatever its rank; and who is passed over for long gains rank.
    const level =
      model.priority -
      Math.floor(Math.log2(Math.max(1, model.waiting)) / 2) -
      Math.floor(deprived / rankMs);
    return {
      model,
      kind: 'waiting',
      level,
      since: model.deprivedSince,
      gain:
        1 +
        Math.min(30, model.waiting) * 0.5 +
        (2 * deprived) / rankMs +
        this.#slowRate(now, model),
    };
  }

  /** Some request waits for the model itself, not for an adapter of it. */
  #waitsForModel(model: ModelState): boolean {
    let adapters = 0;
    for (const adapter of model.adapters.values()) adapters += Math.max(0, adapter.waiting);
    return model.waiting > adapters;
  }

  #restoredComing(now: Moment, model: ModelState): boolean {
    if (this.#restored.size === 0 || now - this.#restoredAt > 1500) return false;
    for (const open of this.#restored.values()) {
      for (const { key, intent } of open)
        if (key === model.key && intent.verb === 'load' && intent.adapter === '') return true;
    }
    return false;
  }

  #slowRate(now: number, model: ModelState): number {
    return model.slow.perSecond(now, this.#settings.slowMs, model.service.firstDemandAt ?? now);
  }

  #fastRate(now: number, model: ModelState): number {
    return model.fast.perSecond(now, this.#settings.fastMs, model.service.firstDemandAt ?? now);
  }

  /** How many copies a model's work needs now, as a broken number. */
  #work(now: Moment, model: ModelState, open: number, slots: number): number {
    const { fastMs, spreadShare, slotShare, growMs } = this.#settings;
    const all = model.service.all.weight(now, fastMs);
    // A few requests tell no share.
    const share = all >= 10 ? model.fast.weight(now, fastMs) / all : 0;
    model.runningMean +=
      (Math.max(0, model.running) - model.runningMean) * Math.min(1, growMs / 1000);
    const byRunning = slots > 0 ? model.runningMean / (slots * slotShare) : 0;
    const byShare = share * open * spreadShare;
    // Where answers are slow much runs at once, and more copies than two beyond its share make nothing faster.
    return Math.min(
      open,
      Math.max(byShare, Math.min(byRunning, byShare + 2), this.#byAdapters(now, model, open)),
    );
  }

  /** Copies that a model's adapters need: those asked for within a few seconds should find slots at once. */
  #byAdapters(now: Moment, model: ModelState, open: number): number {
    const { slowMs, adapterSpanMs } = this.#settings;
    const slots = model.service.engine.adapterSlots;
    if (!model.isBusy || model.adapters.size === 0 || slots <= 0) return 0;
    let asked = 0;
    for (const adapter of model.adapters.values())
      asked += Math.min(
        1,
        (adapter.slow.perSecond(now, slowMs, model.service.firstDemandAt ?? now) * adapterSpanMs) /
          1000,
      );
    return Math.min(open / 2, asked / (slots * 0.8));
  }

  #growWants(now: Moment, service: ServiceState, wants: Want[]): void {
    const { slowMs } = this.#settings;
    let open = 0;
    let slots = 0;
    let mostFree = 0;
    let load = 0;
    const zones = new Set<string>();
    for (const runner of service.runners) {
      if (!this.#isOpen(runner)) continue;
      open += 1;
      slots += runner.listed.slots;
      zones.add(runner.listed.zone);
      load += this.#load(runner);
      if (runner.queue.length === 0)
        mostFree = Math.max(mostFree, service.engine.roomMb - this.#used(runner));
    }
    if (open === 0) return;
    service.meanLoad = load / open;
    for (const model of service.models.values()) {
      if (!model.isListed || (now - model.lastAsked > 30_000 && model.running <= 0)) {
        model.need = 1;
        model.isBusy = false;
        continue;
      }
      const work = this.#work(now, model, open, slots / open);
      const rate = this.#fastRate(now, model);
      const slow = this.#slowRate(now, model);
      // It grows at once and shrinks slowly, or copies would come and go.
      const decayed = model.need * Math.exp(-(now - model.neededAt) / this.#settings.shrinkMs);
      const worked = Math.max(work, decayed);
      model.isBusy =
        (model.slow.weight(now, slowMs) >= 6 && (work >= 0.5 || rate >= 4)) ||
        (model.isBusy && (worked >= 0.3 || slow >= 2));
      const most = Math.min(open, Math.max(model.isBusy ? 2 : 1, work));
      model.need = Math.min(open, Math.max(model.isBusy ? 2 : 1, worked));
      model.neededAt = now;
      if (
        model.waiting <= 0 &&
        model.deprivedSince !== undefined &&
        now - model.lastAsked > 10_000
      ) {
        model.deprivedSince = undefined;
        this.#touched.add(model);
      }
      const copies = this.#copies(now, model);
      if (copies.all === 0) {
        if (model.waiting > 0 || this.#restoredComing(now, model)) continue;
        // Lost, not thrown out: whoever asks next need not wait.
        const gain = this.#lossOfLast(now, model);
        const isLost = model.isBusy || now - model.lostAt < 10_000;
        if (slow >= 0.05 && (isLost || mostFree >= model.sizeMb))
          wants.push({
            model,
            kind: isLost ? 'lost' : 'spare',
            level: model.isBusy ? 0 : isLost ? 4 : 5,
            since: 0,
            gain,
          });
        continue;
      }
      const missing = Math.max(0, most - copies.all);
      const isPaired = !model.isBusy || zones.size < 2 || copies.zones.size > 1;
      // Growth waits until half a copy is missing.
      if (missing < 0.5 && isPaired) continue;
      const gain = (rate / (copies.all + 1)) * 0.3 * (isPaired ? Math.min(1, missing) : 1);
      const count = isPaired ? Math.min(3, Math.max(1, Math.round(missing))) : 1;
      for (let index = 0; index < count; index += 1)
        wants.push({
          model,
          kind: 'grow',
          level: gain >= 3 ? 0.5 : 3,
          since: 0,
          gain: gain / (index + 1),
        });
    }
  }

  /** What it costs to lose the last copy: requests that wait, and the next one that comes. */
  #lossOfLast(now: number, model: ModelState): number {
    const rate = this.#slowRate(now, model);
    return rate * (model.loadMs / 1000 + 0.4) + 1 - Math.exp(-3 * rate);
  }

  /** What it costs to take a copy away from a runner. */
  #loss(now: number, model: ModelState): number {
    if (model.lossIn !== this.#planNumber) {
      model.lossIn = this.#planNumber;
      model.loss = this.#lossNow(now, model);
    }
    return model.loss;
  }

  #lossNow(now: number, model: ModelState): number {
    const copies = this.#copies(now, model);
    // The longer nobody asked, the less it is worth, also where rates tell nothing.
    const recency = 0.2 * Math.exp(-(now - model.lastAsked) / 20_000);
    if (copies.ready <= 1) return this.#lossOfLast(now, model) + recency + 0.05;
    const missing = Math.min(1, Math.max(0, model.need - (copies.ready - 1)));
    // A copy that is needed has runs that must end before it goes, and has to be fetched again.
    const needed = model.isBusy ? missing * this.#settings.neededLoss : 0;
    return (
      (this.#fastRate(now, model) / copies.ready) * 0.3 * missing + needed + 0.01 + recency * 0.1
    );
  }

  #used(runner: RunnerState): number {
    if (runner.usedMb !== undefined) return runner.usedMb;
    let mb = 0;
    for (const held of runner.holds.values()) {
      if (held.phase === 'unloading') continue;
      mb += held.model.sizeMb;
      for (const adapter of held.adapters.values())
        if (adapter.phase !== 'unloading') mb += held.model.adapterMb;
    }
    runner.usedMb = mb;
    return mb;
  }

  #adapterCount(runner: RunnerState): number {
    let count = 0;
    for (const held of runner.holds.values()) {
      if (held.phase === 'unloading') continue;
      for (const adapter of held.adapters.values()) if (adapter.phase !== 'unloading') count += 1;
    }
    return count;
  }

  #storeFree(
    now: Moment,
    service: ServiceState,
    model: ModelState,
    kind: WantKind,
    isPressed: boolean,
  ): boolean {
    const budget = this.#budget(service);
    const used = service.window.used(now) + service.storeOps;
    const limit = this.#storeLimit(service, model);
    // What nobody waits for leaves room for what somebody will.
    if (kind === 'spare') return used < budget * 0.6 && service.storeOps < Math.max(1, limit - 1);
    if (used >= budget) {
      this.#blockedUntil = Math.min(this.#blockedUntil, service.window.freeAt(now, budget));
      return false;
    }
    // The store does two more at a somewhat slower pace.
    return service.storeOps < limit + (isPressed ? 1 : 0);
  }

  /** Whether what is wanted is on its way now; runners that could take one of `held` are left to it. */
  #place(now: Moment, service: ServiceState, want: Want, held: readonly ModelState[]): boolean {
    const choice = this.#choose(now, service, want, held);
    if (!choice) {
      if (want.kind === 'waiting') this.#wait(now, service, want.model, '');
      return false;
    }
    for (const victim of choice.way.victims)
      this.#intend(now, choice.runner, 'unload', victim.held.model, victim.adapter);
    this.#intend(now, choice.runner, 'load', want.model, '');
    return true;
  }

  #choose(
    now: Moment,
    service: ServiceState,
    want: Want,
    held: readonly ModelState[],
  ): Choice | undefined {
    const { model } = want;
    const isPressed = isPressing(want);
    const isStoreFree = this.#storeFree(now, service, model, want.kind, isPressed);
    const zones = this.#copies(now, model).zones;
    const most =
      want.kind === 'waiting' || isPressed || (want.kind === 'lost' && model.isBusy)
        ? want.gain
        : want.gain / this.#settings.worthRatio;
    let best: Choice | undefined;
    let bestScore = Infinity;
    for (const runner of service.runners) {
      if (runner.queue.length > 0 || runner.holds.has(model.name) || !this.#isUsable(now, runner))
        continue;
      if (held.some(isMissingAt.bind(undefined, runner))) continue;
      const isDisk = runner.disk.has(model.name);
      if (!isDisk && !isStoreFree) continue;
      const free = service.engine.roomMb - this.#used(runner);
      const way = this.#makeRoom(now, runner, model.sizeMb - free, most, isPressed);
      if (!way || (want.kind === 'spare' && way.victims.length > 0)) continue;
      // A further copy takes its share of a busy model's work: it goes where there is least.
      const crowd = this.#load(runner) / Math.max(0.01, service.meanLoad);
      const score =
        way.loss +
        Math.min(3, crowd) * (want.kind === 'waiting' ? 0.1 : 1) +
        (zones.get(runner.listed.zone) ?? 0) * (want.kind === 'waiting' ? 0 : 2) +
        (runner.coldUntil > now ? 1 : 0) -
        (isDisk ? 0.3 : 0) +
        way.victims.length * 0.05;
      if (score < bestScore) {
        best = { runner, way, isDisk };
        bestScore = score;
      }
    }
    return best;
  }

  /** The part of a runner's slots that runs now, as far as proxies tell by model. */
  #load(runner: RunnerState): number {
    let running = 0;
    for (const held of runner.holds.values())
      if (held.phase === 'ready')
        running += Math.max(0, held.model.running) / Math.max(1, held.model.holders.size);
    return running / Math.max(1, runner.listed.slots);
  }

  /** The models that make way at least cost, if any may. */
  #makeRoom(
    now: Moment,
    runner: RunnerState,
    needMb: number,
    most: number,
    isPressed: boolean,
  ): Way | undefined {
    if (needMb <= 0) return { victims: [], loss: 0 };
    const all: { held: HeldModel; mb: number; loss: number }[] = [];
    for (const held of runner.holds.values()) {
      if (!this.#mayGo(now, held, isPressed)) continue;
      const loss =
        this.#loss(now, held.model) +
        0.3 * Math.min(1, Math.max(0, held.model.running) / held.model.holders.size);
      if (loss < most)
        all.push({ held, mb: held.model.sizeMb + held.adapters.size * held.model.adapterMb, loss });
    }
    let best: { held: HeldModel; mb: number; loss: number } | undefined;
    for (const one of all) if (one.mb >= needMb && (!best || one.loss < best.loss)) best = one;
    if (best) return { victims: [{ held: best.held, adapter: '' }], loss: best.loss };
    // No single one is enough.
    all.sort(byLoss);
    const victims: Victim[] = [];
    let loss = 0;
    let mb = 0;
    for (const one of all) {
      victims.push({ held: one.held, adapter: '' });
      loss += one.loss;
      mb += one.mb;
      if (mb >= needMb) return loss < most ? { victims, loss } : undefined;
    }
    return undefined;
  }

  #mayGo(now: Moment, held: HeldModel, isPressed: boolean): boolean {
    if (held.phase !== 'ready') return false;
    // For a crowd even what has just come makes way, once those who waited for it were served.
    const stays =
      held.since +
      (isPressed && held.model.waiting <= 0 ? this.#settings.stayMs / 4 : this.#settings.stayMs);
    if (stays > now) {
      this.#blockedUntil = Math.min(this.#blockedUntil, stays);
      return false;
    }
    for (const adapter of held.adapters.values()) if (adapter.phase === 'coming') return false;
    return true;
  }

  // ---- adapters

  #placeAdapters(now: Moment, service: ServiceState): void {
    for (const model of service.waiting) {
      for (const adapter of model.adapters.values()) {
        if (adapter.waiting <= 0 || adapter.badUntil > now) continue;
        if (
          this.#adapterCopies(now, model, adapter.name) > 0 &&
          !this.#suspectAdapter(now, model, adapter)
        )
          continue;
        if (!this.#placeAdapter(now, service, model, adapter, true))
          this.#wait(now, service, model, adapter.name);
      }
    }
    if (service.grownAt !== now) return;
    const all = service.all.perSecond(now, this.#settings.fastMs, service.firstDemandAt ?? now);
    for (const model of service.models.values()) {
      if (model.adapters.size === 0 || model.holders.size < 2) continue;
      for (const adapter of model.adapters.values()) {
        const rate = adapter.slow.perSecond(
          now,
          this.#settings.slowMs,
          service.firstDemandAt ?? now,
        );
        if (rate < 1 || adapter.badUntil > now) continue;
        const need = Math.max(
          2,
          all > 0
            ? Math.round((rate / all) * service.runners.size * this.#settings.spreadShare)
            : 2,
        );
        const have = this.#adapterCopies(now, model, adapter.name);
        if (have > 0 && have < Math.min(need, this.#copies(now, model).ready))
          this.#placeAdapter(now, service, model, adapter, false);
      }
    }
  }

  /** An adapter that is ready somewhere, and yet waited for, does not serve there; nor does the model if that is all there is. */
  #suspectAdapter(now: Moment, model: ModelState, adapter: AdapterState): boolean {
    const { despiteMs } = this.#settings;
    if (now - adapter.waitingSince < despiteMs || this.#adapterCopies(now, model, adapter.name) > 2)
      return false;
    let isElsewhere = false;
    for (const held of model.holders.values()) {
      const hold = held.adapters.get(adapter.name);
      if (!hold) isElsewhere = true;
      else if (hold.phase === 'coming' || adapter.waitingToldAt - hold.since < despiteMs)
        return false;
    }
    for (const held of model.holders.values()) {
      const hold = held.adapters.get(adapter.name);
      if (hold) hold.suspectedUntil = now + despiteMs * 5;
      if (hold && !isElsewhere) held.suspectedUntil = now + despiteMs * 5;
    }
    return isElsewhere;
  }

  #adapterCopies(now: number, model: ModelState, name: string): number {
    let count = 0;
    for (const [runner, held] of model.holders) {
      if (held.phase === 'unloading' || held.suspectedUntil > now || !this.#isOpen(runner))
        continue;
      const adapter = held.adapters.get(name);
      if (
        !adapter ||
        adapter.phase === 'unloading' ||
        adapter.suspectedUntil > now ||
        (adapter.phase === 'coming' && runner.suspectUntil > now)
      )
        continue;
      count += 1;
    }
    return count;
  }

  #placeAdapter(
    now: Moment,
    service: ServiceState,
    model: ModelState,
    adapter: AdapterState,
    isWaiting: boolean,
  ): boolean {
    let best: { runner: RunnerState; victims: Victim[] } | undefined;
    let bestScore = Infinity;
    for (const [runner, held] of model.holders) {
      if (
        held.phase === 'unloading' ||
        !this.#isUsable(now, runner) ||
        held.adapters.has(adapter.name) ||
        runner.queue.length >= 8
      )
        continue;
      if (!isWaiting && runner.queue.length > 0) continue;
      const way = this.#makeAdapterRoom(now, service, runner, model, isWaiting);
      if (!way) continue;
      const head = runner.queue[0];
      const delay = head ? Math.max(0, head.isTaken ? head.due - now : head.expectedMs) : 0;
      const score =
        way.loss +
        delay / 200 +
        runner.queue.length * 0.1 +
        this.#load(runner) * 0.5 +
        (held.suspectedUntil > now ? 5 : 0) +
        (runner.coldUntil > now ? 1 : 0);
      if (score < bestScore) {
        best = { runner, victims: [...way.victims] };
        bestScore = score;
      }
    }
    if (!best) return false;
    for (const victim of best.victims)
      this.#intend(now, best.runner, 'unload', victim.held.model, victim.adapter);
    this.#intend(now, best.runner, 'load', model, adapter.name);
    return true;
  }

  #makeAdapterRoom(
    now: Moment,
    service: ServiceState,
    runner: RunnerState,
    model: ModelState,
    mayThrowOut: boolean,
  ): Way | undefined {
    let free = service.engine.roomMb - this.#used(runner);
    let slots = service.engine.adapterSlots - this.#adapterCount(runner);
    if (free >= model.adapterMb && slots > 0) return { victims: [], loss: 0 };
    if (!mayThrowOut || service.engine.adapterSlots <= 0) return undefined;
    const all: { held: HeldModel; adapter: string; mb: number; loss: number }[] = [];
    for (const held of runner.holds.values()) {
      if (held.phase !== 'ready') continue;
      for (const [name, { phase, since }] of held.adapters) {
        if (phase !== 'ready') continue;
        const stays = since + this.#settings.adapterStayMs;
        if (stays > now) {
          this.#blockedUntil = Math.min(this.#blockedUntil, stays);
          continue;
        }
        const state = held.model.adapters.get(name);
        if (state && state.waiting > 0) continue;
        const rate =
          state?.slow.perSecond(now, this.#settings.slowMs, service.firstDemandAt ?? now) ?? 0;
        const others = this.#adapterCopies(now, held.model, name) - 1;
        const recency = Math.exp(-(now - (state?.lastAsked ?? -Infinity)) / 20_000);
        all.push({
          held,
          adapter: name,
          mb: held.model.adapterMb,
          loss: (others > 0 ? rate * 0.2 : rate) + recency + 0.01,
        });
      }
    }
    all.sort(byLoss);
    const victims: Victim[] = [];
    let loss = 0;
    for (const one of all) {
      if (free >= model.adapterMb && slots > 0) break;
      victims.push({ held: one.held, adapter: one.adapter });
      free += one.mb;
      slots += 1;
      loss += one.loss;
    }
    if (free >= model.adapterMb && slots > 0) return { victims, loss };
    // Where weights fill a runner to the brim, a model has to go.
    if (slots <= 0 || runner.queue.length > 0) return undefined;
    let best: { held: HeldModel; loss: number } | undefined;
    for (const held of runner.holds.values()) {
      if (held.model === model || !this.#mayGo(now, held, false)) continue;
      const one = this.#loss(now, held.model);
      if (
        one < 2 &&
        (!best || one < best.loss) &&
        service.engine.roomMb - this.#used(runner) + held.model.sizeMb >= model.adapterMb
      )
        best = { held, loss: one };
    }
    return best ? { victims: [{ held: best.held, adapter: '' }], loss: best.loss } : undefined;
  }

  // ---- documents

  /** The pair is kept as long as it serves; the rest of the holders are further seats. */
  #seat(model: ModelState): void {
    const doc = this.#docs.get(model.key) ?? noDoc(model.key);
    const ready: string[] = [];
    const coming: string[] = [];
    for (const [runner, held] of model.holders) {
      if (held.phase === 'unloading' || !this.#isOpen(runner)) continue;
      (held.phase === 'ready' ? ready : coming).push(runner.id);
    }
    ready.sort(byText);
    coming.sort(byText);
    const all = [...ready, ...coming];
    // A ready understudy takes over at once from a primary that is gone.
    const isReady = ready.includes(doc.primary);
    const primary = isReady
      ? doc.primary
      : ready.includes(doc.understudy)
        ? doc.understudy
        : (ready[0] ?? (all.includes(doc.primary) ? doc.primary : (all[0] ?? '')));
    const zone = this.#runners.get(primary)?.listed.zone;
    let understudy = '';
    if (
      all.includes(doc.understudy) &&
      doc.understudy !== primary &&
      this.#runners.get(doc.understudy)?.listed.zone !== zone
    )
      understudy = doc.understudy;
    for (const id of all)
      if (understudy === '' && id !== primary && this.#runners.get(id)?.listed.zone !== zone)
        understudy = id;
    for (const id of all) if (understudy === '' && id !== primary) understudy = id;
    const seats: string[] = [];
    for (const id of all.sort(byText)) if (id !== primary && id !== understudy) seats.push(id);
    const old = doc.seats ?? [];
    const wait = all.length > 0 || model.deprivedSince === undefined ? '' : doc.wait;
    if (
      doc.primary === primary &&
      doc.understudy === understudy &&
      doc.wait === wait &&
      old.join('\n') === seats.join('\n')
    )
      return;
    this.#put({ ...doc, primary, understudy, seats, wait });
  }

  // ---- what the data plane is told

  #wait(now: Moment, service: ServiceState, model: ModelState, adapter: string): void {
    const ahead = this.#waiting.length;
    const perSecond = service.engine.loadsPerSecond;
    const ms =
      adapter !== '' && model.holders.size > 0
        ? service.adapterMs * 4
        : perSecond > 0
          ? model.loadMs + ((ahead + 1) * 1000) / perSecond
          : 0;
    this.#waiting.push({ model, adapter, dueAt: ms > 0 ? now + ms : 0 });
    // Operators are told of who waits long; what is loaded within a moment is no news.
    if (
      adapter !== '' ||
      model.deprivedSince === undefined ||
      now - model.deprivedSince < this.#settings.tellWaitMs
    )
      return;
    const doc = this.#docs.get(model.key) ?? noDoc(model.key);
    if (doc.wait === '') this.#put({ ...doc, wait: 'waits for a load' });
  }

  /** Who waits is news; when exactly it is due is told along with other news only. */
  #noteWaits(): void {
    const keys: string[] = [];
    for (const { model, adapter } of this.#waiting) keys.push(`${model.key}\n${adapter}`);
    const text = keys.sort(byText).join('\n');
    if (text === this.#waits) return;
    this.#waits = text;
    this.#isFleetOld = true;
  }

  /** What the data plane is told; the same until something happens, so that time alone makes no news. */
  fleet(now: Moment): Fleet {
    if (!this.#isFleetOld) return this.#fleet;
    this.#isFleetOld = false;
    const runners: FleetRunner[] = [];
    for (const runner of this.#runners.values()) runners.push(this.#fleetRunner(now, runner));
    const waits: FleetWait[] = [];
    for (const { model, adapter, dueAt } of this.#waiting)
      waits.push({ model: model.name, adapter, readyMs: dueAt === 0 ? 0 : leftMs(now, dueAt) });
    this.#fleet = { flows: this.#flowCount, runners, waits };
    return this.#fleet;
  }

  #fleetRunner(now: Moment, runner: RunnerState): FleetRunner {
    const { id, address, zone, service, slots } = runner.listed;
    const holds: { model: string; adapters: string[] }[] = [];
    const coming: { model: string; adapter: string; readyMs: number }[] = [];
    for (const held of runner.holds.values()) {
      if (held.phase !== 'ready') continue;
      const adapters: string[] = [];
      for (const [name, adapter] of held.adapters)
        if (adapter.phase === 'ready') adapters.push(name);
      holds.push({ model: held.model.name, adapters });
    }
    // An order out of reach tells nothing of when it is done.
    let ahead = 0;
    for (const op of runner.suspectUntil > now ? [] : runner.queue) {
      if (op.intent.verb === 'unload') continue;
      ahead = op.isTaken ? Math.max(0, op.due - now) : ahead + op.expectedMs;
      coming.push({
        model: op.intent.model,
        adapter: op.intent.adapter,
        readyMs: Math.max(50, Math.round(ahead / 50) * 50),
      });
    }
    for (const { intent } of runner.restored) {
      if (intent.verb === 'load' && intent.adapter === '' && !runner.holds.has(intent.model))
        coming.push({ model: intent.model, adapter: '', readyMs: 500 });
    }
    return {
      id,
      address,
      zone,
      service,
      slots,
      isLeaving: runner.isLeaving,
      coldMs: runner.coldUntil > now ? leftMs(now, runner.coldUntil) : 0,
      holds,
      coming,
    };
  }

  /** When it is worth planning or ordering again without any news. */
  nextAt(now: Moment): Moment | undefined {
    if (this.#changed.size > 0 || this.#touched.size > 0) return now;
    let next = this.#blockedUntil;
    for (const runner of this.#busy) {
      const head = runner.queue[0];
      if (!head || runner.given) continue;
      if (head.isKept) next = Math.min(next, head.due);
    }
    for (const runner of this.#suspected) {
      if (!runner.isAsked && runner.queue.length === 0 && this.#isOpen(runner))
        next = Math.min(next, runner.askAt);
    }
    if (next === Infinity) return undefined;
    return next <= now ? later(now, 1) : moment(next);
  }
}

function byLoss(a: { loss: number }, b: { loss: number }): number {
  return a.loss - b.loss;
}

function leftMs(now: number, at: number): number {
  return Math.max(50, Math.round((at - now) / 50) * 50);
}

/** A fleet with its clients and the planner as its leader, on virtual time. */
import { moment, type Moment } from '../../common/ids.js';
import type { Engine, Routing } from '../../route/routing.js';
import type { FleetDemand, ListedRunner, RunnerStatus } from '../fleet.js';
import { Planner, type OrderOutcome } from '../planner.js';
import type { Intent, ServiceDoc } from '../shapes.js';
import { listedOf, routingOf } from './fleet-documents.js';
import { Dice, FakeRunner, loadMsOf, type RunnerHabits } from './fake-runner.js';

type DemandUnit = FleetDemand['units'][number] & { priority: number };

interface Call {
  model: string;
  adapter: string;
  since: number;
  priority: number;
  until: number;
  runner: FakeRunner | undefined;
}

/** The size and the habits of a fleet. */
export interface WorldOptions extends RunnerHabits {
  readonly engine: Engine;
  readonly zones: readonly string[];
  readonly runnersPerZone: number;
  readonly seed?: number;
  /** Out of a thousand orders, so many get no clear answer. */
  readonly unsure?: number;
  readonly slots?: number;
  readonly serveMs?: number;
  /** Plans only on news or when the planner says so. */
  readonly isLazy?: boolean;
  /** How long loads from a runner's own disk take against those from the store. */
  readonly diskFactor?: number;
  /** How long loads take against what the configuration says. */
  readonly loadFactor?: number;
}

/** How old the list of runners is, ms. */
export const LAG = 800;
/** The step of virtual time, ms. */
export const STEP = 5;

/** Runners, clients and a leader on virtual time, with the never-rules judged at every order. */
export class World {
  now = 1000;
  routing: Routing;
  readonly runners = new Map<string, FakeRunner>();
  planner = new Planner({ lagMs: LAG });
  readonly dice: Dice;
  readonly breaks: string[] = [];
  /** Store loads that began. */
  readonly begun: number[] = [];
  orders: { at: number; intent: Intent; outcome: OrderOutcome }[] = [];
  emptied: string[] = [];
  calls: Call[] = [];
  served = new Map<string, number>();
  missed = new Map<string, number>();
  waitedMs = new Map<string, number[]>();
  #lists: { at: number; list: ListedRunner[] }[] = [];
  #listAt = 0;
  #toldListAt = 0;
  #tellAt = 0;
  #pending: { at: number; intent: Intent; planner: Planner; fence: number; isLate: boolean }[] = [];
  #answers: { at: number; id: string; outcome: OrderOutcome; planner: Planner }[] = [];
  #reports: {
    at: number;
    id: string;
    askedAt: number;
    status: RunnerStatus | undefined;
    planner: Planner;
  }[] = [];
  #keeping: { at: number; ids: string[]; planner: Planner }[] = [];
  asked = 0;
  /** Orders that arrived long after they were given up. */
  late: { at: number; intent: Intent; outcome: OrderOutcome }[] = [];
  plans = 0;
  planMs = 0;
  #isNews = true;
  /** Kept documents, as a new leader would find them. */
  stored = new Map<string, ServiceDoc>();
  #counts = new Map<string, number>();
  #leader = 0;
  #runnerNumber = 0;
  readonly options: WorldOptions;

  constructor(options: WorldOptions) {
    this.options = options;
    this.dice = new Dice(options.seed ?? 1);
    this.routing = routingOf(options.engine);
    for (const zone of options.zones)
      for (let index = 0; index < options.runnersPerZone; index += 1) this.addRunner(zone);
    this.planner.restore(moment(this.now), [], 'l0');
  }

  addRunner(zone: string): FakeRunner {
    this.#runnerNumber += 1;
    const runner = new FakeRunner(`r${this.#runnerNumber}`, zone, this.options.engine);
    this.runners.set(runner.id, runner);
    return runner;
  }

  hold(id: string, ...models: string[]): void {
    for (const model of models) {
      this.runners.get(id)?.holds.set(model, new Set());
      this.runners.get(id)?.disk.add(model);
    }
  }

  at(): Moment {
    return moment(this.now);
  }

  ask(model: string, adapter = '', priority = 0, patienceMs = 5000): void {
    const key = adapter === '' ? model : `${model}/${adapter}`;
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
    this.calls.push({
      model,
      adapter,
      since: this.now,
      priority,
      until: this.now + patienceMs,
      runner: undefined,
    });
  }

  /** The leader is lost at once; another begins from what was kept. */
  changeLeader(): void {
    this.#leader += 1;
    this.planner = new Planner({ lagMs: LAG });
    this.planner.restore(this.at(), [...this.stored.values()], `l${this.#leader}`);
  }

  run(ms: number, each: (world: World) => void = nothing): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now += STEP;
      each(this);
      this.#step();
    }
  }

  #step(): void {
    const { now } = this;
    for (const runner of this.runners.values()) runner.step(now);
    this.#serve();
    this.#list();
    this.#tell();
    for (const answer of this.#take(this.#answers))
      if (answer.planner === this.planner)
        this.planner.ordered(this.at(), answer.id, answer.outcome);
    for (const report of this.#take(this.#reports))
      if (report.planner === this.planner)
        this.planner.status(this.at(), report.id, moment(report.askedAt), report.status);
    for (const { ids, planner } of this.#take(this.#keeping))
      if (planner === this.planner) this.planner.kept(ids);
    for (const { intent, planner, fence, isLate } of this.#take(this.#pending))
      this.#arrive(intent, planner, fence, isLate);
    this.#plan();
  }

  #plan(): void {
    const next = this.planner.nextAt(this.at());
    if (this.options.isLazy && !this.#isNews && (next === undefined || next > this.now)) return;
    this.#isNews = false;
    this.plans += 1;
    const began = performance.now();
    const changed = this.planner.plan(this.at(), {
      routing: this.routing,
      evacuatedZones: this.emptied,
      proxies: 2,
    });
    this.planMs += performance.now() - began;
    if (changed.length > 0) {
      const names = new Set(changed);
      const ids: string[] = [];
      for (const doc of this.planner.docs()) {
        if (!names.has(doc.model)) continue;
        this.stored.set(doc.model, doc);
        for (const intent of doc.intents) ids.push(intent.id);
      }
      this.#keeping.push({ at: this.now + STEP, ids, planner: this.planner });
    }
    for (const intent of this.planner.orders(this.at()))
      this.#pending.push({
        at: this.now + STEP,
        intent,
        planner: this.planner,
        fence: this.#leader,
        isLate: false,
      });
    for (const id of this.planner.asks(this.at())) {
      this.asked += 1;
      const runner = this.runners.get(id);
      this.#reports.push({
        at: this.now + 2 * STEP,
        id,
        askedAt: this.now,
        status: runner && !runner.isDark ? runner.statusBefore(this.now, 200) : undefined,
        planner: this.planner,
      });
    }
  }

  #take<T extends { at: number }>(list: T[]): T[] {
    const due: T[] = [];
    for (let index = 0; index < list.length;) {
      const one = list[index];
      if (one && one.at <= this.now) {
        this.#isNews = true;
        due.push(one);
        list.splice(index, 1);
      } else index += 1;
    }
    return due;
  }

  /** Some orders get no clear answer: never sent, taken without an answer, or held up on the way and taken much later. */
  #arrive(intent: Intent, planner: Planner, fence: number, isLate: boolean): void {
    const runner = this.runners.get(intent.runner);
    const fate =
      !isLate && this.dice.below(1000) < (this.options.unsure ?? 0) ? this.dice.below(3) : 3;
    let outcome: OrderOutcome = 'unsent';
    if (runner?.isDark || (runner && fate === 0)) outcome = 'unsure';
    else if (runner && fate === 1) {
      outcome = 'unsure';
      this.#pending.push({
        at: this.now + 100 + this.dice.below(4000),
        intent,
        planner,
        fence,
        isLate: true,
      });
    } else if (runner) outcome = this.#obey(runner, intent, fence);
    if (isLate) {
      this.late.push({ at: this.now, intent, outcome });
      return;
    }
    this.orders.push({ at: this.now, intent, outcome });
    this.#answers.push({
      at: this.now + STEP,
      id: intent.id,
      outcome: fate === 2 && runner ? 'unsure' : outcome,
      planner,
    });
  }

  #obey(runner: FakeRunner, intent: Intent, fence: number): OrderOutcome {
    const refusal = runner.outcomeWithoutWork(intent, fence, this.options);
    if (refusal) return refusal;
    const { verb, model, adapter } = intent;
    runner.orderCount += 1;
    const isStore = verb === 'load' && adapter === '' && !runner.disk.has(model);
    let tookMs = this.#orderMs(runner, intent, isStore);
    if (isStore) {
      tookMs *= this.#storeSlowdown(model);
      this.#judgeStoreLoads();
    }
    runner.order = { verb, model, adapter, endsAt: this.now + tookMs, isStore };
    this.#judgeRoom(runner, intent);
    return 'taken';
  }

  #orderMs(runner: FakeRunner, { verb, model, adapter }: Intent, isStore: boolean): number {
    if (adapter !== '') return verb === 'unload' ? 2 : 8;
    if (verb === 'unload') return Math.max(2, (runner.busyUntil.get(model) ?? 0) - this.now);
    const { engine, loadFactor = 1, diskFactor = 0.65 } = this.options;
    return loadMsOf(engine, model) * (isStore ? 1.05 : diskFactor) * loadFactor;
  }

  /** Loads beyond what the store does at full speed all take longer. */
  #storeSlowdown(model: string): number {
    const { engine } = this.options;
    let loading = 1;
    for (const other of this.runners.values()) if (other.order?.isStore) loading += 1;
    const atFullSpeed = Math.round((engine.loadsPerSecond * loadMsOf(engine, model)) / 1000);
    return Math.max(1, loading / Math.max(1, atFullSpeed));
  }

  #judgeStoreLoads(): void {
    this.begun.push(this.now);
    let inWindow = 0;
    for (const at of this.begun) if (at > this.now - 5000) inWindow += 1;
    if (inWindow > this.options.engine.loadsPerSecond * 5 * 1.1 + 3)
      this.breaks.push(`${this.now}: ${inWindow} loads in a window`);
  }

  #judgeRoom(runner: FakeRunner, { verb, model }: Intent): void {
    const { engine } = this.options;
    if (runner.usedMb() > engine.capacityMb)
      this.breaks.push(`${this.now}: ${runner.id} beyond its room by ${verb} ${model}`);
    if (runner.adapterCount() > engine.adapterSlots)
      this.breaks.push(`${this.now}: ${runner.id} beyond its adapters`);
  }

  #list(): void {
    if (this.now < this.#listAt) return;
    this.#listAt = this.now + 100;
    const list: ListedRunner[] = [];
    for (const runner of this.runners.values()) {
      const listed = listedOf(runner.id, runner.zone, runner.status().holds);
      list.push({
        ...listed,
        address: `10.0.0.${runner.id.slice(1)}:1`,
        slots: this.options.slots ?? listed.slots,
        isLeaving: runner.isLeaving,
      });
    }
    this.#lists.push({ at: this.now, list });
    if (this.#lists.length > 30) this.#lists.shift();
    if (this.now < this.#toldListAt && this.#lists.length > 1) return;
    this.#toldListAt = this.now + 1000;
    let found = this.#lists[0]?.list ?? [];
    for (const one of this.#lists) if (one.at <= this.now - LAG) found = one.list;
    this.planner.list(this.at(), found);
  }

  /** Two proxies would do the same; one tells for all. */
  #tell(): void {
    if (this.now < this.#tellAt) return;
    this.#tellAt = this.now + 50;
    const units = new Map<string, DemandUnit>();
    for (const [key, count] of this.#counts) unitIn(units, key).count += count;
    for (const call of this.calls) {
      const unit = unitIn(
        units,
        call.adapter === '' ? call.model : `${call.model}/${call.adapter}`,
      );
      if (call.runner) unit.running += 1;
      else {
        unit.waiting += 1;
        unit.priority = Math.min(unit.priority, call.priority);
      }
    }
    this.#counts.clear();
    const report: FleetDemand = { flow: 'f1', units: [...units.values()] };
    if (report.units.length > 0) this.#isNews = true;
    this.planner.demand(this.at(), report);
  }

  #serve(): void {
    const rest: Call[] = [];
    for (const call of this.calls) {
      if (call.runner) {
        if (call.until > this.now) rest.push(call);
        continue;
      }
      const key = call.adapter === '' ? call.model : `${call.model}/${call.adapter}`;
      const able: FakeRunner[] = [];
      for (const runner of this.runners.values())
        if (runner.serves(call.model, call.adapter)) able.push(runner);
      const runner = able[this.dice.below(Math.max(1, able.length))];
      if (runner) {
        call.runner = runner;
        call.until = this.now + (this.options.serveMs ?? 200);
        runner.busyUntil.set(call.model, call.until);
        this.served.set(key, (this.served.get(key) ?? 0) + 1);
        const waits = this.waitedMs.get(key) ?? [];
        waits.push(this.now - call.since);
        this.waitedMs.set(key, waits);
        rest.push(call);
      } else if (call.until <= this.now) this.missed.set(key, (this.missed.get(key) ?? 0) + 1);
      else rest.push(call);
    }
    this.calls = rest;
  }

  copies(model: string): FakeRunner[] {
    const found: FakeRunner[] = [];
    for (const runner of this.runners.values()) if (runner.holds.has(model)) found.push(runner);
    return found;
  }
}

function nothing(): void {
  /* nobody asks */
}

function unitIn(units: Map<string, DemandUnit>, key: string): DemandUnit {
  const known = units.get(key);
  if (known) return known;
  const [model = '', adapter = ''] = key.split('/');
  const unit = { service: 'llm', model, adapter, count: 0, waiting: 0, running: 0, priority: 9 };
  units.set(key, unit);
  return unit;
}

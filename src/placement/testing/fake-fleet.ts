/** A simulated fleet with its clients, led by a real planner, on virtual time. */
import { moment, type Moment } from '../../common/ids.js';
import type { Engine, Routing } from '../../route/routing.js';
import type { FleetDemand, ListedRunner, RunnerStatus } from '../fleet.js';
import { Planner, type OrderOutcome } from '../planner.js';
import type { Intent, ServiceDoc } from '../shapes.js';
import { listedOf, routingOf } from './fleet-documents.js';
import { XorShiftRandom, FakeRunner, loadMsOf, type RunnerBehavior } from './fake-runner.js';

type DemandUnit = FleetDemand['units'][number] & { priority: number };

interface ClientRequest {
  model: string;
  adapter: string;
  sentAt: number;
  priority: number;
  /** The end of the client's patience while it waits, and of the response while it runs. */
  endsAt: number;
  runner: FakeRunner | undefined;
}

/** The size and the behavior of a simulated fleet. */
export interface FakeFleetOptions extends RunnerBehavior {
  readonly engine: Engine;
  readonly zones: readonly string[];
  readonly runnersPerZone: number;
  readonly seed?: number;
  /** How many of a thousand orders get no clear answer. */
  readonly lostOrdersPerThousand?: number;
  readonly slots?: number;
  readonly serveMs?: number;
  /** Plans only after events, or when the planner's `nextPlanAt` is due. */
  readonly plansOnlyWhenDue?: boolean;
  /** The duration of loads from a runner's own disk, relative to the configured load time. */
  readonly diskFactor?: number;
  /** The duration of all loads, relative to the configured load time. */
  readonly loadFactor?: number;
}

/** The age of the list of runners, ms. */
export const LIST_LAG_MS = 800;
/** The step of virtual time, ms. */
export const STEP_MS = 5;

/** Runners, clients and a leader on virtual time; every order is checked against limits that must never be exceeded. */
export class FakeFleet {
  now = 1000;
  routing: Routing;
  readonly runners = new Map<string, FakeRunner>();
  planner = new Planner({ lagMs: LIST_LAG_MS });
  readonly random: XorShiftRandom;
  readonly violations: string[] = [];
  /** The start times of loads from the store. */
  readonly storeLoadStarts: number[] = [];
  orders: { at: number; intent: Intent; outcome: OrderOutcome }[] = [];
  evacuatedZones: string[] = [];
  requests: ClientRequest[] = [];
  servedCounts = new Map<string, number>();
  missedCounts = new Map<string, number>();
  waitedMs = new Map<string, number[]>();
  #lists: { at: number; list: ListedRunner[] }[] = [];
  #nextListAt = 0;
  #nextListDeliveryAt = 0;
  #nextDemandReportAt = 0;
  #inFlight: { at: number; intent: Intent; planner: Planner; fence: number; isLate: boolean }[] =
    [];
  #orderReplies: { at: number; id: string; outcome: OrderOutcome; planner: Planner }[] = [];
  #statusReplies: {
    at: number;
    id: string;
    askedAt: number;
    status: RunnerStatus | undefined;
    planner: Planner;
  }[] = [];
  #pendingWrites: { at: number; ids: string[]; planner: Planner }[] = [];
  reportRequestCount = 0;
  /** Orders that arrived long after they were abandoned. */
  lateOrders: { at: number; intent: Intent; outcome: OrderOutcome }[] = [];
  planCount = 0;
  totalPlanMs = 0;
  #hasEvent = true;
  /** The stored documents, as a new leader would read them. */
  stored = new Map<string, ServiceDoc>();
  #arrivals = new Map<string, number>();
  #term = 0;
  #runnerNumber = 0;
  readonly options: FakeFleetOptions;

  constructor(options: FakeFleetOptions) {
    this.options = options;
    this.random = new XorShiftRandom(options.seed ?? 1);
    this.routing = routingOf(options.engine);
    for (const zone of options.zones)
      for (let index = 0; index < options.runnersPerZone; index += 1) this.addRunner(zone);
    this.planner.restore(moment(this.now), [], 'l0');
  }

  /** Adds a runner without models. */
  addRunner(zone: string): FakeRunner {
    this.#runnerNumber += 1;
    const runner = new FakeRunner(`r${this.#runnerNumber}`, zone, this.options.engine);
    this.runners.set(runner.id, runner);
    return runner;
  }

  /** Loads models into a runner at once. */
  addHolds(id: string, ...models: string[]): void {
    for (const model of models) {
      this.runners.get(id)?.holds.set(model, new Set());
      this.runners.get(id)?.disk.add(model);
    }
  }

  /** The present virtual time. */
  at(): Moment {
    return moment(this.now);
  }

  /** Sends a client request that waits for at most `patienceMs`. */
  request(model: string, adapter = '', priority = 0, patienceMs = 5000): void {
    const key = adapter === '' ? model : `${model}/${adapter}`;
    this.#arrivals.set(key, (this.#arrivals.get(key) ?? 0) + 1);
    this.requests.push({
      model,
      adapter,
      sentAt: this.now,
      priority,
      endsAt: this.now + patienceMs,
      runner: undefined,
    });
  }

  /** Replaces the leader by a new one that starts from the stored documents. */
  changeLeader(): void {
    this.#term += 1;
    this.planner = new Planner({ lagMs: LIST_LAG_MS });
    this.planner.restore(this.at(), [...this.stored.values()], `l${this.#term}`);
  }

  /** Advances the virtual time, calling `each` at every step. */
  run(ms: number, each: (fleet: FakeFleet) => void = noRequests): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now += STEP_MS;
      each(this);
      this.#step();
    }
  }

  #step(): void {
    const { now } = this;
    for (const runner of this.runners.values()) runner.step(now);
    this.#serveRequests();
    this.#updateRunnerList();
    this.#reportDemand();
    for (const answer of this.#takeDue(this.#orderReplies))
      if (answer.planner === this.planner)
        this.planner.onOrderOutcome(this.at(), answer.id, answer.outcome);
    for (const report of this.#takeDue(this.#statusReplies))
      if (report.planner === this.planner)
        this.planner.onRunnerStatus(this.at(), report.id, moment(report.askedAt), report.status);
    for (const { ids, planner } of this.#takeDue(this.#pendingWrites))
      if (planner === this.planner) this.planner.markPersisted(ids);
    for (const { intent, planner, fence, isLate } of this.#takeDue(this.#inFlight))
      this.#deliverOrder(intent, planner, fence, isLate);
    this.#plan();
  }

  #plan(): void {
    const next = this.planner.nextPlanAt(this.at());
    if (this.options.plansOnlyWhenDue && !this.#hasEvent && (next === undefined || next > this.now))
      return;
    this.#hasEvent = false;
    this.planCount += 1;
    const began = performance.now();
    const changed = this.planner.plan(this.at(), {
      routing: this.routing,
      evacuatedZones: this.evacuatedZones,
      proxies: 2,
    });
    this.totalPlanMs += performance.now() - began;
    if (changed.length > 0) {
      const names = new Set(changed);
      const ids: string[] = [];
      for (const doc of this.planner.docs()) {
        if (!names.has(doc.model)) continue;
        this.stored.set(doc.model, doc);
        for (const intent of doc.intents) ids.push(intent.id);
      }
      this.#pendingWrites.push({ at: this.now + STEP_MS, ids, planner: this.planner });
    }
    for (const intent of this.planner.takeDueOrders(this.at()))
      this.#inFlight.push({
        at: this.now + STEP_MS,
        intent,
        planner: this.planner,
        fence: this.#term,
        isLate: false,
      });
    for (const id of this.planner.takeDueReportRequests(this.at())) {
      this.reportRequestCount += 1;
      const runner = this.runners.get(id);
      this.#statusReplies.push({
        at: this.now + 2 * STEP_MS,
        id,
        askedAt: this.now,
        status: runner && !runner.isUnreachable ? runner.statusBefore(this.now, 200) : undefined,
        planner: this.planner,
      });
    }
  }

  #takeDue<T extends { at: number }>(list: T[]): T[] {
    const due: T[] = [];
    for (let index = 0; index < list.length;) {
      const item = list[index];
      if (item && item.at <= this.now) {
        this.#hasEvent = true;
        due.push(item);
        list.splice(index, 1);
      } else index += 1;
    }
    return due;
  }

  /** Delivers an order. Some get no clear answer: they are lost, not answered, or delivered much later. */
  #deliverOrder(intent: Intent, planner: Planner, fence: number, isLate: boolean): void {
    const runner = this.runners.get(intent.runner);
    const failure =
      !isLate && this.random.below(1000) < (this.options.lostOrdersPerThousand ?? 0)
        ? this.random.below(3)
        : 3;
    let outcome: OrderOutcome = 'unsent';
    if (runner?.isUnreachable || (runner && failure === 0)) outcome = 'unsure';
    else if (runner && failure === 1) {
      outcome = 'unsure';
      this.#inFlight.push({
        at: this.now + 100 + this.random.below(4000),
        intent,
        planner,
        fence,
        isLate: true,
      });
    } else if (runner) outcome = this.#execute(runner, intent, fence);
    if (isLate) {
      this.lateOrders.push({ at: this.now, intent, outcome });
      return;
    }
    this.orders.push({ at: this.now, intent, outcome });
    this.#orderReplies.push({
      at: this.now + STEP_MS,
      id: intent.id,
      outcome: failure === 2 && runner ? 'unsure' : outcome,
      planner,
    });
  }

  #execute(runner: FakeRunner, intent: Intent, fence: number): OrderOutcome {
    const reply = runner.replyWithoutExecution(intent, fence, this.options);
    if (reply) return reply;
    const { verb, model, adapter } = intent;
    runner.orderCount += 1;
    const isStore = verb === 'load' && adapter === '' && !runner.disk.has(model);
    let tookMs = this.#orderMs(runner, intent, isStore);
    if (isStore) {
      tookMs *= this.#storeSlowdown(model);
      this.#checkStoreRate();
    }
    runner.order = { verb, model, adapter, endsAt: this.now + tookMs, isStoreLoad: isStore };
    this.#checkRunnerCapacity(runner, intent);
    return 'taken';
  }

  #orderMs(runner: FakeRunner, { verb, model, adapter }: Intent, isStore: boolean): number {
    if (adapter !== '') return verb === 'unload' ? 2 : 8;
    if (verb === 'unload') return Math.max(2, (runner.busyUntil.get(model) ?? 0) - this.now);
    const { engine, loadFactor = 1, diskFactor = 0.65 } = this.options;
    return loadMsOf(engine, model) * (isStore ? 1.05 : diskFactor) * loadFactor;
  }

  /** More concurrent loads than the store serves at full speed slow all of them down. */
  #storeSlowdown(model: string): number {
    const { engine } = this.options;
    let loading = 1;
    for (const other of this.runners.values()) if (other.order?.isStoreLoad) loading += 1;
    const atFullSpeed = Math.round((engine.loadsPerSecond * loadMsOf(engine, model)) / 1000);
    return Math.max(1, loading / Math.max(1, atFullSpeed));
  }

  #checkStoreRate(): void {
    this.storeLoadStarts.push(this.now);
    let inWindow = 0;
    for (const at of this.storeLoadStarts) if (at > this.now - 5000) inWindow += 1;
    if (inWindow > this.options.engine.loadsPerSecond * 5 * 1.1 + 3)
      this.violations.push(`${this.now}: ${inWindow} loads from the store within 5 s`);
  }

  #checkRunnerCapacity(runner: FakeRunner, { verb, model }: Intent): void {
    const { engine } = this.options;
    if (runner.usedMb() > engine.capacityMb)
      this.violations.push(`${this.now}: ${runner.id} exceeds its memory by ${verb} ${model}`);
    if (runner.adapterCount() > engine.adapterSlots)
      this.violations.push(`${this.now}: ${runner.id} exceeds its adapter slots`);
  }

  #updateRunnerList(): void {
    if (this.now < this.#nextListAt) return;
    this.#nextListAt = this.now + 100;
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
    if (this.now < this.#nextListDeliveryAt && this.#lists.length > 1) return;
    this.#nextListDeliveryAt = this.now + 1000;
    let found = this.#lists[0]?.list ?? [];
    for (const entry of this.#lists) if (entry.at <= this.now - LIST_LAG_MS) found = entry.list;
    this.planner.onRunnerList(this.at(), found);
  }

  /** Reports the demand of all requests as one proxy. */
  #reportDemand(): void {
    if (this.now < this.#nextDemandReportAt) return;
    this.#nextDemandReportAt = this.now + 50;
    const units = new Map<string, DemandUnit>();
    for (const [key, count] of this.#arrivals) findOrCreateUnit(units, key).count += count;
    for (const request of this.requests) {
      const unit = findOrCreateUnit(
        units,
        request.adapter === '' ? request.model : `${request.model}/${request.adapter}`,
      );
      if (request.runner) unit.running += 1;
      else {
        unit.waiting += 1;
        unit.priority = Math.min(unit.priority, request.priority);
      }
    }
    this.#arrivals.clear();
    const report: FleetDemand = { flow: 'f1', units: [...units.values()] };
    if (report.units.length > 0) this.#hasEvent = true;
    this.planner.onDemand(this.at(), report);
  }

  #serveRequests(): void {
    const rest: ClientRequest[] = [];
    for (const request of this.requests) {
      if (request.runner) {
        if (request.endsAt > this.now) rest.push(request);
        continue;
      }
      const key = request.adapter === '' ? request.model : `${request.model}/${request.adapter}`;
      const servingRunners: FakeRunner[] = [];
      for (const runner of this.runners.values())
        if (runner.serves(request.model, request.adapter)) servingRunners.push(runner);
      const runner = servingRunners[this.random.below(Math.max(1, servingRunners.length))];
      if (runner) {
        request.runner = runner;
        request.endsAt = this.now + (this.options.serveMs ?? 200);
        runner.busyUntil.set(request.model, request.endsAt);
        this.servedCounts.set(key, (this.servedCounts.get(key) ?? 0) + 1);
        const waits = this.waitedMs.get(key) ?? [];
        waits.push(this.now - request.sentAt);
        this.waitedMs.set(key, waits);
        rest.push(request);
      } else if (request.endsAt <= this.now)
        this.missedCounts.set(key, (this.missedCounts.get(key) ?? 0) + 1);
      else rest.push(request);
    }
    this.requests = rest;
  }

  /** All runners that hold a model. */
  runnersHolding(model: string): FakeRunner[] {
    const found: FakeRunner[] = [];
    for (const runner of this.runners.values()) if (runner.holds.has(model)) found.push(runner);
    return found;
  }
}

function noRequests(): void {
  /* no requests */
}

function findOrCreateUnit(units: Map<string, DemandUnit>, key: string): DemandUnit {
  const known = units.get(key);
  if (known) return known;
  const [model = '', adapter = ''] = key.split('/');
  const unit = { service: 'llm', model, adapter, count: 0, waiting: 0, running: 0, priority: 9 };
  units.set(key, unit);
  return unit;
}

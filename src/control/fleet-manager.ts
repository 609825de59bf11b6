import { CONFIG_PARTITION, servicePartition } from '../state/partition-names.js';
import { later, moment, type Moment, type PartitionName } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import {
  FleetDemandShape,
  type Fleet,
  type FleetDelta,
  type FleetRunner,
  type ListedRunner,
  type RunnerStatus,
} from '../placement/fleet.js';
import type { Intent, ServiceDoc } from '../placement/shapes.js';
import type { Routing } from '../route/routing.js';
import type { ConfigDoc } from './config-shapes.js';
import type { Deployed, ControlEffect, OrderResult } from './control-effect.js';

/** What the fleet manager needs of the node that leads. */
export interface FleetHost {
  readonly addEffect: (effect: ControlEffect) => void;
  readonly write: (now: Moment, partition: PartitionName, body: string) => void;
  /** The fleet whole, and what changed of it since the count before. */
  readonly publish: (count: number, body: string, delta: string) => void;
  readonly mayOrder: (now: Moment) => boolean;
  readonly proxyCount: () => number;
}

const NEVER = moment(-1e12);
const PLAN_INTERVAL_MS = 100;
/** By how much a foretold moment may move before it is news. */
const MOVED_MS = 300;

/** The leader's placement by a planner: what comes in, what is written down, ordered and told. */
export class FleetManager {
  readonly #deployed: Deployed;
  readonly #host: FleetHost;
  readonly #addresses = new Map<string, string>();
  readonly #openOrders = new Set<string>();
  #routingText = '';
  #routing: Routing | undefined;
  #runnerListPolledAt: Moment = NEVER;
  #plannedAt: Moment = NEVER;
  #hasRunnerList = false;
  /** What was told last, by runner. */
  readonly #told = new Map<string, { readonly text: string; readonly times: readonly number[] }>();
  #toldFleet: Fleet | undefined;
  #count = 0;
  #ordersSent = 0;

  constructor(deployed: Deployed, node: FleetHost) {
    this.#deployed = deployed;
    this.#host = node;
  }

  get hasOpenOrders(): boolean {
    return this.#openOrders.size > 0;
  }
  get ordersSent(): number {
    return this.#ordersSent;
  }

  docs(): readonly ServiceDoc[] {
    return this.#deployed.planner.docs();
  }

  /** Begins anew from what the parts hold; nothing is planned before the first list of this reign. */
  beginLeading(now: Moment, docs: readonly ServiceDoc[], label: string): void {
    this.#deployed.planner.restore(now, docs, label);
    const ids: string[] = [];
    for (const doc of docs) for (const intent of doc.intents) ids.push(intent.id);
    this.#deployed.planner.kept(ids);
    this.#openOrders.clear();
    this.#hasRunnerList = false;
    this.#runnerListPolledAt = NEVER;
    this.#told.clear();
    this.#toldFleet = undefined;
    this.#count = 0;
  }

  onDemand(now: Moment, body: string, doc: ConfigDoc): void {
    const report = parseAs(FleetDemandShape, body);
    if (!report) return;
    this.#deployed.planner.demand(now, report);
    // Somebody waits at a proxy: it is not left waiting for the next tick as well.
    if (report.units.some(isWaiting)) this.#plan(now, doc);
  }

  onRunnerList(now: Moment, runners: readonly ListedRunner[], doc: ConfigDoc): void {
    this.#addresses.clear();
    for (const runner of runners) this.#addresses.set(runner.id, runner.address);
    this.#hasRunnerList = true;
    this.#deployed.planner.list(now, runners);
    this.#plan(now, doc);
  }

  onRunnerStatus(
    now: Moment,
    runner: string,
    askedAt: Moment,
    status: RunnerStatus | undefined,
  ): void {
    this.#deployed.planner.status(now, runner, askedAt, status);
  }

  onOrderOutcome(now: Moment, intent: string, outcome: OrderResult, doc: ConfigDoc): void {
    this.#openOrders.delete(intent);
    this.#deployed.planner.ordered(now, intent, outcome);
    this.#plan(now, doc);
  }

  onCommitted(now: Moment, docs: readonly ServiceDoc[]): void {
    const ids: string[] = [];
    for (const doc of docs) for (const intent of doc.intents) ids.push(intent.id);
    if (ids.length === 0) return;
    this.#deployed.planner.kept(ids);
    this.#sendOrders(now);
  }

  tick(now: Moment, doc: ConfigDoc): void {
    if (now >= later(this.#runnerListPolledAt, this.#deployed.listMs)) {
      this.#runnerListPolledAt = now;
      this.#host.addEffect({ do: 'askList' });
    }
    if (!this.#hasRunnerList) return;
    for (const runner of this.#deployed.planner.asks(now)) {
      const address = this.#addresses.get(runner);
      if (address !== undefined) this.#host.addEffect({ do: 'askStatus', runner, address });
    }
    const next = this.#deployed.planner.nextAt(now);
    if (now >= later(this.#plannedAt, PLAN_INTERVAL_MS) || (next !== undefined && now >= next))
      this.#plan(now, doc);
  }

  #routingOf(doc: ConfigDoc): Routing | undefined {
    const text = doc.routing?.text ?? '';
    if (text !== this.#routingText) {
      this.#routingText = text;
      this.#routing = text === '' ? undefined : this.#deployed.dialect.read(text).routing;
    }
    return this.#routing;
  }

  #plan(now: Moment, doc: ConfigDoc): void {
    // A new leader that has no list yet would take all runners for gone.
    if (!this.#hasRunnerList) return;
    this.#plannedAt = now;
    const { planner } = this.#deployed;
    const changed = planner.plan(now, {
      routing: this.#routingOf(doc),
      evacuatedZones: doc.emptied,
      proxies: this.#host.proxyCount(),
    });
    const partitions = new Set<PartitionName>();
    for (const model of changed) partitions.add(servicePartition(model));
    for (const partition of partitions) {
      const services = planner
        .docs()
        .filter(
          (doc) => partition !== CONFIG_PARTITION && servicePartition(doc.model) === partition,
        );
      this.#host.write(now, partition, JSON.stringify({ services }));
    }
    this.#sendOrders(now);
    this.#publish(now);
  }

  #sendOrders(now: Moment): void {
    if (!this.#host.mayOrder(now)) return;
    for (const intent of this.#deployed.planner.orders(now)) this.#sendOrder(now, intent);
  }

  #sendOrder(now: Moment, intent: Intent): void {
    const address = this.#addresses.get(intent.runner);
    if (address === undefined) {
      this.#deployed.planner.ordered(now, intent.id, 'unsent');
      return;
    }
    this.#openOrders.add(intent.id);
    this.#ordersSent += 1;
    this.#host.addEffect({ do: 'order', intent, address });
  }

  /** Only what changed is told, and times that merely count down are no news. */
  #publish(now: Moment): void {
    const fleet = this.#deployed.planner.fleet(now);
    // The same word again is no news, though its spans now seem to end later: who heard it counts them down. It need not
    // be written out to be compared either, which for a large fleet takes longer than the tick.
    if (fleet === this.#toldFleet) return;
    this.#toldFleet = fleet;
    const put: FleetRunner[] = [];
    const seen = new Set<string>();
    for (const runner of fleet.runners) {
      seen.add(runner.id);
      if (this.#isNews(now, runner.id, runner)) put.push(runner);
    }
    const drop: string[] = [];
    for (const id of this.#told.keys()) if (id !== REST && !seen.has(id)) drop.push(id);
    for (const id of drop) this.#told.delete(id);
    const { flows, waits } = fleet;
    const isRestNews = this.#isNews(now, REST, { flows, waits });
    if (put.length === 0 && drop.length === 0 && !isRestNews) return;
    this.#count += 1;
    this.#host.publish(
      this.#count,
      JSON.stringify(fleet satisfies Fleet),
      JSON.stringify({ flows, waits, put, drop } satisfies FleetDelta),
    );
  }

  #isNews(now: Moment, key: string, value: object): boolean {
    const times: number[] = [];
    const text = JSON.stringify(value, (key, value) => stillOf(now, times, key, value));
    const told = this.#told.get(key);
    if (
      told &&
      text === told.text &&
      times.length === told.times.length &&
      times.every((time, index) => Math.abs((told.times[index] ?? -1e12) - time) <= MOVED_MS)
    )
      return false;
    this.#told.set(key, { text, times });
    return true;
  }
}

/** What is told beside the runners; no runner has an empty id. */
const REST = '';

function stillOf(now: Moment, times: number[], key: string, value: unknown): unknown {
  if ((key !== 'readyMs' && key !== 'coldMs') || typeof value !== 'number') return value;
  if (value <= 0) return 0;
  times.push(now + value);
  return 1;
}
function isWaiting(unit: { readonly waiting: number }): boolean {
  return unit.waiting > 0;
}

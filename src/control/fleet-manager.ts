import { CONFIG_PARTITION, servicePartition } from '../state/partition-names.js';
import { later, moment, type Moment, type PartitionName } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import { FleetDemandShape, type ListedRunner, type RunnerStatus } from '../placement/fleet.js';
import type { Intent, ServiceDoc } from '../placement/shapes.js';
import type { Routing } from '../route/routing.js';
import type { ConfigDoc } from './config-shapes.js';
import type { Deployment, ControlEffect, OrderResult } from './control-effect.js';
import { FleetPublisher, type PublishFleet } from './fleet-publisher.js';

/** What the fleet manager needs of the control node that leads. */
export interface FleetHost {
  /** Adds an effect that the process carries out. */
  readonly addEffect: (effect: ControlEffect) => void;
  /** Writes a partition of the replicated state. */
  readonly write: (now: Moment, partition: PartitionName, body: string) => void;
  readonly publish: PublishFleet;
  /** Whether orders may be sent to runners at this moment. */
  readonly mayOrder: (now: Moment) => boolean;
  /** The number of proxies by which fleet-wide limits are divided. */
  readonly proxyCount: (now: Moment) => number;
}

/** Longest interval between plans. */
const PLAN_INTERVAL_MS = 100;
const NEVER = moment(-1e12);

/** The leader's placement by a deployment's planner: polls, demand and outcomes come in, plans are stored, orders go out. */
export class FleetManager {
  readonly #deployed: Deployment;
  readonly #host: FleetHost;
  readonly #publisher: FleetPublisher;
  /** Addresses of the listed runners, by id. */
  readonly #addresses = new Map<string, string>();
  /** Ids of the intents whose order is in flight. */
  readonly #openOrders = new Set<string>();
  #routingText = '';
  #routing: Routing | undefined;
  #runnerListPolledAt: Moment = NEVER;
  #plannedAt: Moment = NEVER;
  #hasRunnerList = false;
  #ordersSent = 0;

  constructor(deployed: Deployment, host: FleetHost) {
    this.#deployed = deployed;
    this.#host = host;
    this.#publisher = new FleetPublisher(host.publish);
  }

  /** Whether some order has no outcome yet. */
  get hasOpenOrders(): boolean {
    return this.#openOrders.size > 0;
  }

  /** Orders sent since the start of the process, repeated ones included. */
  get ordersSent(): number {
    return this.#ordersSent;
  }

  /** The placements and intents as stored. */
  docs(): readonly ServiceDoc[] {
    return this.#deployed.planner.docs();
  }

  /**
   * This node became the leader, with the stored services; `label` is the prefix of the ids of the intents that it decides.
   * Nothing is planned before it has read a list of runners.
   */
  beginLeading(now: Moment, docs: readonly ServiceDoc[], label: string): void {
    this.#deployed.planner.restore(now, docs, label);
    this.#deployed.planner.markPersisted(intentIds(docs));
    this.#openOrders.clear();
    this.#hasRunnerList = false;
    this.#runnerListPolledAt = NEVER;
    this.#publisher.reset();
  }

  /** A proxy reported its demand, as JSON; what is malformed is ignored. */
  onDemand(now: Moment, body: string, doc: ConfigDoc): void {
    const report = parseAs(FleetDemandShape, body);
    if (!report) return;
    this.#deployed.planner.onDemand(now, report);
    // A request that waits at a proxy is not delayed until the next tick.
    if (report.units.some(({ waiting }) => waiting > 0)) this.#plan(now, doc);
  }

  /** The platform's list of runners was read. */
  onRunnerList(now: Moment, runners: readonly ListedRunner[], doc: ConfigDoc): void {
    this.#addresses.clear();
    for (const runner of runners) this.#addresses.set(runner.id, runner.address);
    this.#hasRunnerList = true;
    this.#deployed.planner.onRunnerList(now, runners);
    this.#plan(now, doc);
  }

  /** A poll of a runner that began at `requestedAt` ended; `status` is undefined if it returned none. */
  onRunnerStatus(
    now: Moment,
    runner: string,
    requestedAt: Moment,
    status: RunnerStatus | undefined,
  ): void {
    this.#deployed.planner.onRunnerStatus(now, runner, requestedAt, status);
  }

  /** An order ended. */
  onOrderOutcome(now: Moment, intent: string, outcome: OrderResult, doc: ConfigDoc): void {
    this.#openOrders.delete(intent);
    this.#deployed.planner.onOrderOutcome(now, intent, outcome);
    this.#plan(now, doc);
  }

  /** The intents of these services are stored at a majority: they may be sent. */
  onCommitted(now: Moment, docs: readonly ServiceDoc[]): void {
    const ids = intentIds(docs);
    if (ids.length === 0) return;
    this.#deployed.planner.markPersisted(ids);
    this.#sendOrders(now);
  }

  /** Polls and plans if due. */
  tick(now: Moment, doc: ConfigDoc): void {
    this.#pollRunnerList(now);
    if (!this.#hasRunnerList) return;
    this.#pollRunners(now);
    const next = this.#deployed.planner.nextPlanAt(now);
    if (now >= later(this.#plannedAt, PLAN_INTERVAL_MS) || (next !== undefined && now >= next))
      this.#plan(now, doc);
  }

  #pollRunnerList(now: Moment): void {
    if (now < later(this.#runnerListPolledAt, this.#deployed.listMs)) return;
    this.#runnerListPolledAt = now;
    this.#host.addEffect({ do: 'askList' });
  }

  #pollRunners(now: Moment): void {
    for (const runner of this.#deployed.planner.takeDueReportRequests(now)) {
      const address = this.#addresses.get(runner);
      if (address !== undefined) this.#host.addEffect({ do: 'askStatus', runner, address });
    }
  }

  /** The routing of the document; its text is parsed once. */
  #routingOf(doc: ConfigDoc): Routing | undefined {
    const text = doc.routing?.text ?? '';
    if (text !== this.#routingText) {
      this.#routingText = text;
      this.#routing = text === '' ? undefined : this.#deployed.dialect.read(text).routing;
    }
    return this.#routing;
  }

  #plan(now: Moment, doc: ConfigDoc): void {
    // Without a list of runners a new leader would treat all of them as gone.
    if (!this.#hasRunnerList) return;
    this.#plannedAt = now;
    const { planner } = this.#deployed;
    const changed = planner.plan(now, {
      routing: this.#routingOf(doc),
      evacuatedZones: doc.emptied,
      proxies: this.#host.proxyCount(now),
    });
    this.#writeServices(now, changed);
    this.#sendOrders(now);
    this.#publisher.update(now, planner.fleet(now));
  }

  /** Writes the partitions of the models that changed. */
  #writeServices(now: Moment, models: readonly string[]): void {
    const partitions = new Set<PartitionName>();
    for (const model of models) partitions.add(servicePartition(model));
    for (const partition of partitions) {
      const services = this.docs().filter(
        ({ model }) => partition !== CONFIG_PARTITION && servicePartition(model) === partition,
      );
      this.#host.write(now, partition, JSON.stringify({ services }));
    }
  }

  #sendOrders(now: Moment): void {
    if (!this.#host.mayOrder(now)) return;
    for (const intent of this.#deployed.planner.takeDueOrders(now)) this.#sendOrder(now, intent);
  }

  #sendOrder(now: Moment, intent: Intent): void {
    const address = this.#addresses.get(intent.runner);
    if (address === undefined) {
      this.#deployed.planner.onOrderOutcome(now, intent.id, 'unsent');
      return;
    }
    this.#openOrders.add(intent.id);
    this.#ordersSent += 1;
    this.#host.addEffect({ do: 'order', intent, address });
  }
}

function intentIds(docs: readonly ServiceDoc[]): string[] {
  return docs.flatMap(({ intents }) => intents.map(({ id }) => id));
}

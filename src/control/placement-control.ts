import { later, moment, type Moment, type PartitionName } from '../common/ids.js';
import type { Relay } from '../dissemination/relay.js';
import type { ListedRunner, RunnerStatus } from '../placement/fleet.js';
import type { PlacerSettings } from '../placement/placer-types.js';
import type { ServiceDoc } from '../placement/shapes.js';
import type { ConfigStore } from './config-store.js';
import type { ControlEffect, ControlSettings, OrderResult } from './control-effect.js';
import type { EffectQueue } from './effect-queue.js';
import { FleetManager } from './fleet-manager.js';
import type { KnownMembers } from './known-members.js';
import type { Leadership } from './leadership.js';
import type { PartitionWriter } from './partition-writer.js';
import { ProxyCount } from './proxy-count.js';
import { TableManager } from './table-manager.js';

/** The components that placement uses. */
export interface PlacementDependencies {
  readonly settings: ControlSettings;
  readonly placer: PlacerSettings;
  readonly relay: Relay;
  readonly members: KnownMembers;
  readonly leadership: Leadership;
  readonly writer: PartitionWriter;
  readonly document: ConfigStore;
  readonly effects: EffectQueue;
  /** Whether orders may be sent to runners at this moment. */
  readonly mayOrder: (now: Moment) => boolean;
}

const NEVER = moment(-1e12);

/** Placement at the leader: by the planner of a deployment if there is one, or else by the policy table. */
export class PlacementControl {
  readonly #dependencies: PlacementDependencies;
  readonly #table: TableManager;
  readonly #proxyCount: ProxyCount;
  /** Set if a deployment provides the planner. */
  readonly #fleet: FleetManager | undefined;
  #machineListPolledAt: Moment = NEVER;
  #writes = 0;
  /** The number of proxies that was logged last; 0 if none was since this node became the leader. */
  #loggedProxyCount = 0;

  constructor(dependencies: PlacementDependencies) {
    const { settings, placer, effects, members, relay, mayOrder } = dependencies;
    this.#dependencies = dependencies;
    const write = (now: Moment, partition: PartitionName, body: string) =>
      this.#write(now, partition, body);
    const effect = (added: ControlEffect) => effects.add(added);
    const proxyCount = (now: Moment) => this.#countProxies(now);
    this.#proxyCount = new ProxyCount(members, relay);
    this.#fleet =
      settings.deployed &&
      new FleetManager(settings.deployed, {
        addEffect: effect,
        write,
        publish: (count, body, delta) => this.#publishFleet(count, body, delta),
        mayOrder,
        proxyCount,
      });
    this.#table = new TableManager(
      {
        addEffect: effect,
        write,
        publish: (count, text) => this.#publishPlaces(count, text),
        mayOrder,
        proxyCount,
      },
      placer,
      settings.me,
      settings.reportMs,
    );
  }

  /** Placement by the policy table; it holds the list of machines also in a deployment. */
  get table(): TableManager {
    return this.#table;
  }
  /** Orders sent since the start of the process, repeated ones included. */
  get ordersSent(): number {
    return this.#table.ordersSent + (this.#fleet?.ordersSent ?? 0);
  }
  /** Number of writes of partitions by placement. */
  get writes(): number {
    return this.#writes;
  }
  /** Whether some order has no known outcome: it may still be in flight. */
  get hasOpenOrders(): boolean {
    if (this.#table.hasOpenOrders) return true;
    return this.#dependencies.leadership.isServing && (this.#fleet?.hasOpenOrders ?? false);
  }

  /** The placements and intents as stored. */
  docs(): readonly ServiceDoc[] {
    return (this.#fleet ?? this.#table).docs();
  }

  /** This node began to serve as the leader, with the stored services. */
  beginLeading(now: Moment, docs: readonly ServiceDoc[]): void {
    const { settings, leadership, document } = this.#dependencies;
    const label = `${settings.me}/${leadership.epoch}`;
    this.#loggedProxyCount = 0;
    this.#proxyCount.beginLeading(now);
    if (this.#fleet) {
      this.#fleet.beginLeading(now, docs, label);
      this.#fleet.tick(now, document.newest());
      return;
    }
    this.#table.beginLeading(now, docs, label);
  }

  /** This node no longer leads. */
  endLeading(): void {
    this.#table.endLeading();
  }

  /** A partition with these services was committed. */
  onCommitted(now: Moment, docs: readonly ServiceDoc[]): void {
    if (!this.#fleet) this.#table.onCommitted(docs);
    else if (this.#dependencies.leadership.isServing) this.#fleet.onCommitted(now, docs);
  }

  /** A proxy reported its demand, as JSON. */
  onDemand(now: Moment, body: string): void {
    if (!this.#fleet) this.#table.onDemand(now, body);
    else if (this.#dependencies.leadership.isServing)
      this.#fleet.onDemand(now, body, this.#dependencies.document.newest());
  }

  /** Polls and plans if due; nothing is planned while the configuration is being recovered. */
  tick(now: Moment, isRecovering: boolean): void {
    const { leadership, document } = this.#dependencies;
    if (this.#fleet) {
      if (leadership.isServing && !isRecovering) this.#fleet.tick(now, document.newest());
      return;
    }
    this.#pollMachineList(now);
    if (leadership.isServing) this.#table.tick(now, document.newest(), !isRecovering);
  }

  /** The platform's list of runners was read. */
  onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    const { leadership, document } = this.#dependencies;
    if (leadership.isServing) this.#fleet?.onRunnerList(now, runners, document.newest());
  }

  /** A poll of a runner that began at `requestedAt` ended; `status` is undefined if it returned none. */
  onRunnerStatus(
    now: Moment,
    runner: string,
    requestedAt: Moment,
    status: RunnerStatus | undefined,
  ): void {
    if (this.#dependencies.leadership.isServing)
      this.#fleet?.onRunnerStatus(now, runner, requestedAt, status);
  }

  /** An order ended. */
  onOrderOutcome(now: Moment, intent: string, outcome: OrderResult | 'turnedAway'): void {
    if (!this.#fleet) {
      this.#table.onOrderOutcome(now, intent, outcome);
      return;
    }
    if (!this.#dependencies.leadership.isServing) return;
    const result = outcome === 'turnedAway' ? 'refused' : outcome;
    this.#fleet.onOrderOutcome(now, intent, result, this.#dependencies.document.newest());
  }

  /** The number of proxies by which fleet-wide limits are divided; a change is logged. */
  #countProxies(now: Moment): number {
    const count = this.#proxyCount.current(now);
    if (count !== this.#loggedProxyCount)
      this.#dependencies.effects.log({ event: 'proxy count changed', count });
    this.#loggedProxyCount = count;
    return count;
  }

  #pollMachineList(now: Moment): void {
    if (now < later(this.#machineListPolledAt, this.#dependencies.settings.machinesMs)) return;
    this.#machineListPolledAt = now;
    this.#dependencies.effects.add({ do: 'askMachines' });
  }

  #write(now: Moment, partition: PartitionName, body: string): void {
    this.#writes += 1;
    this.#dependencies.writer.write(now, partition, body, 0);
  }

  #publishFleet(count: number, body: string, delta: string): void {
    const version = { epoch: this.#dependencies.leadership.epoch, count };
    if (!this.#dependencies.relay.offerDelta('fleet', version, count - 1, delta))
      this.#dependencies.relay.offer('fleet', version, body);
  }

  #publishPlaces(count: number, text: string): void {
    this.#dependencies.relay.offer(
      'places',
      { epoch: this.#dependencies.leadership.epoch, count },
      text,
    );
  }
}

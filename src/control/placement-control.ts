import { later, moment, type Moment, type PartName } from '../common/ids.js';
import type { Relay } from '../dissemination/relay.js';
import type { ListedRunner, RunnerStatus } from '../placement/fleet.js';
import type { PlacerSettings } from '../placement/placer-types.js';
import type { ServiceDoc } from '../placement/shapes.js';
import type { ConfigDocument } from './config-document.js';
import type { ControlEffect, ControlSettings, OrderResult } from './control-effect.js';
import type { EffectQueue } from './effect-queue.js';
import { FleetManager } from './fleet-manager.js';
import type { KnownMembers } from './known-members.js';
import type { Leadership } from './leadership.js';
import type { PartWriter } from './part-writer.js';
import { TableManager } from './table-manager.js';

/** What placement reads, writes and tells by. */
export interface PlacementParts {
  readonly settings: ControlSettings;
  readonly placer: PlacerSettings;
  readonly relay: Relay;
  readonly members: KnownMembers;
  readonly leadership: Leadership;
  readonly writer: PartWriter;
  readonly document: ConfigDocument;
  readonly effects: EffectQueue;
  /** Whether orders may be given to runners at this moment. */
  readonly mayOrder: (now: Moment) => boolean;
}

const NEVER = moment(-1e12);

/** Placement at the leader: by the planner that a deployment brings, or else by the operators' own table. */
export class PlacementControl {
  readonly #parts: PlacementParts;
  readonly #table: TableManager;
  /** Set where a deployment brings its own planner. */
  readonly #fleet: FleetManager | undefined;
  #machinesAskedAt: Moment = NEVER;
  #writes = 0;

  constructor(parts: PlacementParts) {
    const { settings, placer, effects, members, mayOrder } = parts;
    this.#parts = parts;
    const write = (now: Moment, part: PartName, body: string) => this.#write(now, part, body);
    const effect = (added: ControlEffect) => effects.add(added);
    const proxies = () => members.count();
    this.#fleet =
      settings.deployed &&
      new FleetManager(settings.deployed, {
        effects: effect,
        write,
        publish: (count, body, delta) => this.#publishFleet(count, body, delta),
        mayOrder,
        flows: proxies,
      });
    this.#table = new TableManager(
      {
        effect,
        write,
        publish: (count, text) => this.#publishPlaces(count, text),
        mayOrder,
        proxies,
      },
      placer,
      settings.me,
      settings.reportMs,
    );
  }

  /** Placement by the operators' own table; it holds the list of machines in any case. */
  get table(): TableManager {
    return this.#table;
  }
  get ordersSent(): number {
    return this.#table.ordersSent + (this.#fleet?.ordersSent ?? 0);
  }
  /** How often a part was written for placement. */
  get writes(): number {
    return this.#writes;
  }
  /** Whether the outcome of some order is open: it may still be under way. */
  get hasOpenOrders(): boolean {
    if (this.#table.hasOpenOrders) return true;
    return this.#parts.leadership.isServing && (this.#fleet?.hasOpenOrders ?? false);
  }

  docs(): readonly ServiceDoc[] {
    return (this.#fleet ?? this.#table).docs();
  }

  /** Begins anew from what the parts hold. */
  begin(now: Moment, docs: readonly ServiceDoc[]): void {
    const { settings, leadership, document } = this.#parts;
    const label = `${settings.me}/${leadership.epoch}`;
    if (this.#fleet) {
      this.#fleet.begin(now, docs, label);
      this.#fleet.tick(now, document.newest());
      return;
    }
    this.#table.begin(now, docs, label);
  }

  /** This node leads no longer. */
  end(): void {
    this.#table.end();
  }

  /** A part was committed, with these services. */
  kept(now: Moment, docs: readonly ServiceDoc[]): void {
    if (!this.#fleet) this.#table.kept(docs);
    else if (this.#parts.leadership.isServing) this.#fleet.kept(now, docs);
  }

  demand(now: Moment, body: string): void {
    if (!this.#fleet) this.#table.demand(now, body);
    else if (this.#parts.leadership.isServing)
      this.#fleet.demand(now, body, this.#parts.document.newest());
  }

  /** While the table is being recovered, nothing is planned. */
  tick(now: Moment, isRecovering: boolean): void {
    const { leadership, document } = this.#parts;
    if (this.#fleet) {
      if (leadership.isServing && !isRecovering) this.#fleet.tick(now, document.newest());
      return;
    }
    this.#askMachines(now);
    if (leadership.isServing) this.#table.tick(now, document.newest(), !isRecovering);
  }

  /** The platform's list of runners. */
  list(now: Moment, runners: readonly ListedRunner[]): void {
    const { leadership, document } = this.#parts;
    if (leadership.isServing) this.#fleet?.list(now, runners, document.newest());
  }

  /** A runner's own report, asked for at that moment; nothing if it gave none. */
  status(now: Moment, runner: string, askedAt: Moment, status: RunnerStatus | undefined): void {
    if (this.#parts.leadership.isServing) this.#fleet?.status(now, runner, askedAt, status);
  }

  /** What became of an order: taken, turned away for good, or unsure. */
  ordered(now: Moment, intent: string, outcome: OrderResult | 'turnedAway'): void {
    if (!this.#fleet) {
      this.#table.ordered(now, intent, outcome);
      return;
    }
    if (!this.#parts.leadership.isServing) return;
    const result = outcome === 'turnedAway' ? 'refused' : outcome;
    this.#fleet.ordered(now, intent, result, this.#parts.document.newest());
  }

  #askMachines(now: Moment): void {
    if (now < later(this.#machinesAskedAt, this.#parts.settings.machinesMs)) return;
    this.#machinesAskedAt = now;
    this.#parts.effects.add({ do: 'askMachines' });
  }

  #write(now: Moment, part: PartName, body: string): void {
    this.#writes += 1;
    this.#parts.writer.write(now, part, body, 0);
  }

  #publishFleet(count: number, body: string, delta: string): void {
    const version = { epoch: this.#parts.leadership.epoch, count };
    if (!this.#parts.relay.offerDelta('fleet', version, count - 1, delta))
      this.#parts.relay.offer('fleet', version, body);
  }

  #publishPlaces(count: number, text: string): void {
    this.#parts.relay.offer('places', { epoch: this.#parts.leadership.epoch, count }, text);
  }
}

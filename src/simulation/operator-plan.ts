import type { Scheduler } from '../rehearsal/scheduler.js';
import type { SeededRandom } from '../rehearsal/seeded-random.js';
import type { Order } from './history/history.js';
import type { OpenOrder } from './history-recorder.js';
import type { OperatorClient, OrderOutcome } from './operator-client.js';

/** The actions of an operator and the weight with which each is drawn. */
const ACTIONS = [
  ['put', 24],
  ['patch', 20],
  ['burst', 4],
  ['evacuate', 18],
  ['restore', 18],
  ['read', 14],
  ['race', 6],
  ['twin', 3],
  ['repeat', 6],
  ['invalid', 8],
  ['stale', 3],
] as const;
type Action = (typeof ACTIONS)[number][0];

/** Ways in which an order is invalid regardless of the configuration in force. */
const INVALID_KINDS = ['unreadable', 'faulty', 'oldVersion', 'sameVersion'] as const;

const MAX_OPEN_CALLS = 8;
const MAX_BURST = 5;
/** Maximum step between versions; the steps are drawn. */
const MAX_VERSION_STEP = 4;
const FIRST_VERSION = 1;

/** What an operator plan is created with. */
export interface OperatorPlanSettings {
  /** The run's virtual time. */
  readonly scheduler: Scheduler;
  /** The operator's own stream of random numbers. */
  readonly random: SeededRandom;
  /** Sends the orders and reads. */
  readonly client: OperatorClient;
  /** The zones that only this operator evacuates and restores. */
  readonly zones: readonly string[];
  /** Mean time between two actions, in milliseconds. */
  readonly paceMs: number;
}

/**
 * Draws what one operator does: changes based on the newest version that it knows, evacuations and restores, reads,
 * invalid orders, and repetitions of accepted ones; occasionally an order at the same time as another operator.
 */
export class OperatorPlan {
  readonly #settings: OperatorPlanSettings;
  #peer: OperatorPlan | undefined;
  #knownVersion = 0;
  #itemCount = 0;
  #isActive = false;
  readonly #accepted: OpenOrder[] = [];
  /** Zones with an order of this operator in progress. */
  readonly #openZones = new Set<string>();

  constructor(settings: OperatorPlanSettings) {
    this.#settings = settings;
  }

  /** The other operator, for orders sent at the same time. */
  set peer(peer: OperatorPlan) {
    this.#peer = peer;
  }

  /** Sends the first configuration until it is accepted; all other actions begin after that. */
  createConfiguration(): void {
    const order = this.#put(0, FIRST_VERSION, this.#newItems(1));
    this.#send(order);
  }

  /** Begins the actions; has no effect if they have begun. */
  begin(): void {
    if (this.#isActive) return;
    this.#isActive = true;
    this.#schedule();
  }

  /** Stops new actions; orders in progress are still sent until their outcome is known. */
  stop(): void {
    this.#isActive = false;
  }

  /** Reads the configuration. */
  readBack(): void {
    this.#settings.client.read((version) => this.#noteVersion(version));
  }

  /** Sends the same order as the other operator, or one with the same base, unless too many calls are in progress. */
  send(order: Order): void {
    if (this.#settings.client.openCalls < MAX_OPEN_CALLS) this.#send(order);
  }

  #schedule(): void {
    const { scheduler, random, paceMs } = this.#settings;
    scheduler.after(random.between(0.1, 1.9) * paceMs, () => this.#step());
  }

  #step(): void {
    if (!this.#isActive) return;
    if (this.#settings.client.openCalls < MAX_OPEN_CALLS) this.#perform(this.#draw());
    this.#schedule();
  }

  #draw(): Action {
    let total = 0;
    for (const [, weight] of ACTIONS) total += weight;
    let remaining = this.#settings.random.between(0, total);
    for (const [action, weight] of ACTIONS) {
      remaining -= weight;
      if (remaining < 0) return action;
    }
    return 'read';
  }

  #perform(action: Action): void {
    switch (action) {
      case 'put':
        this.#send(this.#put(this.#knownVersion, this.#nextVersion(), this.#newItems(2)));
        break;
      case 'patch':
        this.#send(this.#patch());
        break;
      case 'burst':
        this.#sendBurst();
        break;
      case 'evacuate':
      case 'restore':
        this.#sendZoneOrder(action);
        break;
      case 'read':
        this.readBack();
        break;
      case 'race':
        this.#sendRace();
        break;
      case 'twin':
        this.#sendTwins();
        break;
      case 'repeat':
        this.#resendAccepted();
        break;
      case 'invalid':
        this.#send(this.#invalid());
        break;
      case 'stale':
        this.#send(
          this.#put(Math.max(0, this.#knownVersion - 1), this.#nextVersion(), this.#newItems(1)),
        );
        break;
    }
  }

  #send(order: Order): void {
    const orderSettled = (record: OpenOrder, outcome: OrderOutcome) =>
      this.#orderSettled(record, outcome);
    const record = this.#settings.client.order(order, (outcome: OrderOutcome) => {
      orderSettled(record, outcome);
    });
  }

  /**
   * Evacuations have no base version, so that a copy that is sent again cannot be distinguished from a new order.
   * Therefore orders for one zone are sequential: each waits until the outcome of the previous one is known.
   */
  #sendZoneOrder(kind: 'evacuate' | 'restore'): void {
    const zone = this.#settings.random.pick(this.#settings.zones);
    if (zone === undefined || this.#openZones.has(zone)) return;
    this.#openZones.add(zone);
    this.#send({ kind, zone });
  }

  #orderSettled(record: OpenOrder, outcome: OrderOutcome): void {
    const { order } = record;
    if (order.kind !== 'put' && order.kind !== 'patch') {
      this.#openZones.delete(order.zone);
      return;
    }
    if (outcome === 'accepted') {
      this.#noteVersion(order.version);
      this.#accepted.push(record);
    } else if (!order.isInvalid && this.#settings.client.openCalls < MAX_OPEN_CALLS) {
      this.readBack();
    }
  }

  #noteVersion(version: number): void {
    this.#knownVersion = Math.max(this.#knownVersion, version);
  }

  #nextVersion(): number {
    return this.#knownVersion + 1 + this.#settings.random.below(MAX_VERSION_STEP);
  }

  #newItems(count: number): string[] {
    const items: string[] = [];
    for (let index = 0; index < count; index += 1) {
      this.#itemCount += 1;
      items.push(`${this.#settings.client.id}-${this.#itemCount}`);
    }
    return items;
  }

  #put(base: number, version: number, items: readonly string[]): Order {
    const text = JSON.stringify({ version, items });
    return { kind: 'put', base, version, text, isInvalid: version <= base };
  }

  #patch(): Order {
    const base = this.#knownVersion;
    const version = this.#nextVersion();
    const text = JSON.stringify({ version, items: this.#newItems(1) });
    return { kind: 'patch', base, version, text, isInvalid: base === 0 };
  }

  #sendBurst(): void {
    const { random, client } = this.#settings;
    for (let index = 1 + random.below(MAX_BURST); index >= 0; index -= 1) {
      if (client.openCalls >= MAX_OPEN_CALLS) return;
      this.#perform(random.isLikely(0.6) ? 'patch' : 'evacuate');
    }
  }

  /** Two operators use the same base, and often the same version. */
  #sendRace(): void {
    const base = this.#knownVersion;
    const version = this.#nextVersion();
    this.#send(this.#put(base, version, this.#newItems(1)));
    const peerVersion = this.#settings.random.isLikely(0.7) ? version : version + 1;
    this.#peer?.send(this.#put(base, peerVersion, this.#newItems(1)));
  }

  /** Two operators send the same bytes. */
  #sendTwins(): void {
    const order = this.#put(this.#knownVersion, this.#nextVersion(), this.#newItems(1));
    this.#send(order);
    this.#peer?.send(order);
  }

  /** Sends an accepted order again, most often the newest. */
  #resendAccepted(): void {
    const { random, client } = this.#settings;
    const newest = this.#accepted.at(-1);
    const record = random.isLikely(0.6) ? newest : random.pick(this.#accepted);
    if (record) client.resend(record, ignore);
  }

  #invalid(): Order {
    const base = this.#knownVersion;
    const version = this.#nextVersion();
    const [item = ''] = this.#newItems(1);
    const whole = JSON.stringify({ version, items: [item] });
    switch (this.#settings.random.pick(INVALID_KINDS)) {
      case 'faulty': {
        const text = JSON.stringify({ version, items: [item], faulty: true });
        return { kind: 'put', base, version, text, isInvalid: true };
      }
      case 'oldVersion':
        return this.#put(base, Math.max(0, base - 1), [item]);
      case 'sameVersion':
        return this.#put(base, base, [item]);
      default:
        return { kind: 'put', base, version, text: whole.slice(0, -2), isInvalid: true };
    }
  }
}

function ignore(): void {
  /* The outcome of a repeated order is ignored. */
}

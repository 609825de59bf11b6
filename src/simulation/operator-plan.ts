import type { Scheduler } from '../rehearsal/scheduler.js';
import type { Seeded } from '../rehearsal/seeded.js';
import type { Order } from './history/history.js';
import type { OpenOrder } from './history-recorder.js';
import type { OperatorClient, OrderOutcome } from './operator-client.js';

/** Kinds of what an operator does next, with how often each is drawn. */
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

/** Ways in which an order is invalid whatever is in force. */
const INVALID_KINDS = ['unreadable', 'faulty', 'oldVersion', 'sameVersion'] as const;

const MAX_OPEN_CALLS = 8;
const MAX_BURST = 5;
/** Versions go up in uneven steps. */
const MAX_VERSION_STEP = 4;
const FIRST_VERSION = 1;

export interface OperatorPlanSettings {
  readonly scheduler: Scheduler;
  readonly random: Seeded;
  readonly client: OperatorClient;
  /** The zones that this operator alone empties and gives back. */
  readonly zones: readonly string[];
  /** The mean pause between two actions. */
  readonly paceMs: number;
}

/**
 * What one operator wants: changes on the newest version it knows, evacuations and their ends, reads,
 * invalid orders, and old ones once more; now and then the same thing at the same time as another
 * operator.
 */
export class OperatorPlan {
  readonly #settings: OperatorPlanSettings;
  #peer: OperatorPlan | undefined;
  #knownVersion = 0;
  #itemCount = 0;
  #isActive = false;
  readonly #accepted: OpenOrder[] = [];
  /** Zones with an order of ours that is not settled. */
  readonly #openZones = new Set<string>();

  constructor(settings: OperatorPlanSettings) {
    this.#settings = settings;
  }

  set peer(peer: OperatorPlan) {
    this.#peer = peer;
  }

  /** The first configuration, sent until it is taken; then everything else begins. */
  createConfiguration(): void {
    const order = this.#put(0, FIRST_VERSION, this.#newItems(1));
    this.#send(order);
  }

  begin(): void {
    if (this.#isActive) return;
    this.#isActive = true;
    this.#schedule();
  }

  /** Orders under way are still settled. */
  stop(): void {
    this.#isActive = false;
  }

  readBack(): void {
    this.#settings.client.read((version) => this.#noteVersion(version));
  }

  /** Sends an order that another operator sends at this moment as well, or one on the same base. */
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
   * Evacuations build on nothing, so that a copy sent again cannot be told from a new order: whoever wants a zone empty
   * and whoever gives it back must take turns, and each waits until its last word is settled.
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

  /** Two operators pick one base, and often one number. */
  #sendRace(): void {
    const base = this.#knownVersion;
    const version = this.#nextVersion();
    this.#send(this.#put(base, version, this.#newItems(1)));
    const peerVersion = this.#settings.random.isLikely(0.7) ? version : version + 1;
    this.#peer?.send(this.#put(base, peerVersion, this.#newItems(1)));
  }

  /** Two operators send the very same bytes. */
  #sendTwins(): void {
    const order = this.#put(this.#knownVersion, this.#nextVersion(), this.#newItems(1));
    this.#send(order);
    this.#peer?.send(order);
  }

  /** An order that was acknowledged, most often the newest, is sent once more. */
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
  /* Nothing follows from it. */
}

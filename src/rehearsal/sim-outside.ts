import type { Catalog, Hold, RunnerReport } from '../placement/shapes.js';
import type { BackRecord } from './records.js';
import type { Scheduler } from './scheduler.js';
import type { SeededRandom } from './seeded-random.js';
import { SimBackend, type Holder } from './sim-backend.js';
import { SimConnection, type Hear, type SimRequest } from './sim-connection.js';
import { SimOrders } from './sim-orders.js';
import { SimPlatform } from './sim-platform.js';
import { bootOf, newRunner, unitKey, type SimRunner } from './sim-runner.js';

/** A runner of the first list. */
export interface RunnerPlace {
  readonly id: string;
  readonly zone: string;
  readonly room: number;
}

/** A plain back end of the first list. */
export interface PlainPlace {
  readonly id: string;
  readonly zone: string;
}

const SLOTS = 8;
const PLAIN_SLOTS = 64;
const PLAIN_SERVICE = 'kiosk';

/** The simulator's outside: the platform's list, the weight store, runners and plain back ends, which watch the rules about orders. */
export class SimOutside implements Holder {
  readonly records: BackRecord[] = [];
  readonly platform: SimPlatform;
  readonly orders: SimOrders;
  readonly #scheduler: Scheduler;
  readonly #seeded: SeededRandom;
  readonly #runners = new Map<string, SimRunner>();
  readonly #plain = new Map<string, SimBackend>();
  readonly #running = new Map<string, number>();
  #replaced = 0;

  constructor(
    scheduler: Scheduler,
    seeded: SeededRandom,
    catalog: Catalog,
    runners: readonly RunnerPlace[],
    plain: readonly PlainPlace[],
  ) {
    this.#scheduler = scheduler;
    this.#seeded = seeded;
    this.platform = new SimPlatform(scheduler, this.records);
    const found = {
      find: (id: string) => this.#runners.get(id),
      isAnswering: (id: string) => this.isAnswering(id),
      running: (id: string, key: string) => this.#countAt(id, key),
    };
    this.orders = new SimOrders(scheduler, this.records, found, catalog);
    for (const { id, zone, room } of runners) {
      this.#runners.set(id, newRunner(this.#makeBackend(id, false), room, 0));
      this.platform.add({ id, address: id, zone, service: '', leaving: false });
    }
    for (const { id, zone } of plain) {
      this.#plain.set(id, this.#makeBackend(id, true));
      this.platform.add({ id, address: id, zone, service: PLAIN_SERVICE, leaving: false });
    }
  }

  #makeBackend(id: string, isPlain: boolean): SimBackend {
    const slots = isPlain ? PLAIN_SLOTS : SLOTS;
    const place = { id, isPlain, slots };
    return new SimBackend(place, this.#scheduler, this.#seeded, this, this.records);
  }

  back(id: string): SimBackend | undefined {
    return this.#runners.get(id)?.back ?? this.#plain.get(id);
  }

  backs(): SimBackend[] {
    const list = [...this.#plain.values()];
    for (const runner of this.#runners.values()) list.push(runner.back);
    return list;
  }

  open(id: string, isCut: () => boolean, delay: () => number, hear: Hear): SimConnection {
    const back = this.back(id);
    if (!back) throw new Error(`no back end ${id}`);
    return new SimConnection(this.#scheduler, back, isCut, delay, hear);
  }

  /** Taken off the list and ended a little later; another machine, empty and with a name of its own, comes in its place. */
  replace(id: string, span: number): void {
    const runner = this.#runners.get(id);
    if (!runner || !this.platform.list.some((machine) => machine.id === id)) return;
    this.#replaced += 1;
    const fresh = `${id}-${this.#replaced}`;
    const back = this.#makeBackend(fresh, false);
    this.#runners.set(fresh, newRunner(back, runner.room, this.#scheduler.now));
    this.platform.replace(id, fresh);
    this.#scheduler.after(span, () => this.down(id, true));
  }

  isAnswering(id: string): boolean {
    const back = this.#runners.get(id)?.back;
    return back !== undefined && back.isUp && !back.isDark && !back.isGone;
  }

  report(id: string): RunnerReport | undefined {
    const runner = this.#runners.get(id);
    if (!runner || !this.isAnswering(id)) return undefined;
    const holds: Hold[] = [];
    for (const [key, hold] of runner.holds)
      holds.push({ ...hold, running: this.#countAt(id, key) });
    return {
      id,
      boot: bootOf(runner),
      room: runner.room,
      slots: SLOTS,
      upMs: this.#scheduler.now - runner.bornAt,
      holds,
    };
  }

  holds(id: string, request: SimRequest): boolean {
    const runner = this.#runners.get(id);
    if (!runner) return true;
    const isReady = runner.holds.get(unitKey(request.model, ''))?.state === 'ready';
    return (
      isReady &&
      (request.adapter === '' ||
        runner.holds.get(unitKey(request.model, request.adapter))?.state === 'ready')
    );
  }

  began(id: string, request: SimRequest): void {
    this.#count(id, request, 1);
  }

  ended(id: string, request: SimRequest): void {
    this.#count(id, request, -1);
    const runner = this.#runners.get(id);
    for (const [key, hold] of runner?.holds ?? [])
      if (hold.state === 'unloading' && this.#countAt(id, key) === 0) runner?.holds.delete(key);
  }

  #count(id: string, request: SimRequest, change: number): void {
    const keys =
      request.adapter === ''
        ? [unitKey(request.model, '')]
        : [unitKey(request.model, ''), unitKey(request.model, request.adapter)];
    for (const key of keys)
      this.#running.set(`${id}\n${key}`, Math.max(0, this.#countAt(id, key) + change));
  }

  #countAt(id: string, key: string): number {
    return this.#running.get(`${id}\n${key}`) ?? 0;
  }

  /** Ends with all it holds; its fetches under way end with it. */
  down(id: string, isMachineGone: boolean): void {
    const runner = this.#runners.get(id);
    if (runner) this.orders.endFetches(runner);
    for (const key of this.#running.keys())
      if (key.startsWith(`${id}\n`)) this.#running.delete(key);
    const back = this.back(id);
    if (!back) return;
    back.die(isMachineGone);
    back.isUp = false;
    if (!runner) return;
    runner.holds = new Map();
    runner.taken = new Set();
  }

  up(id: string): void {
    const back = this.back(id);
    if (!back || (back.isUp && !back.isGone)) return;
    back.rise();
    const runner = this.#runners.get(id);
    if (runner) runner.bornAt = this.#scheduler.now;
  }

  restart(id: string): void {
    this.down(id, false);
    this.up(id);
  }

  setDark(id: string, isDark: boolean): void {
    this.back(id)?.setDark(isDark);
  }

  setRoom(id: string, room: number): void {
    const runner = this.#runners.get(id);
    // Shrunk again while it is, nothing new is to be heard.
    if (!runner || runner.room === room) return;
    runner.roomBefore = runner.room;
    runner.room = room;
    runner.roomSince = this.#scheduler.now;
  }
}

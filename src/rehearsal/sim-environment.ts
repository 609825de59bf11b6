import type { Catalog, Hold, RunnerReport } from '../placement/shapes.js';
import type { BackRecord } from './records.js';
import type { Scheduler } from './scheduler.js';
import type { SeededRandom } from './seeded-random.js';
import { SimBackend, type BackendHost } from './sim-backend.js';
import { SimConnection, type ConnectionHandler, type SimRequest } from './sim-connection.js';
import { SimOrders } from './sim-orders.js';
import { SimPlatform } from './sim-platform.js';
import { bootOf, newRunner, unitKey, type SimRunner } from './sim-runner.js';

/** A runner of the platform's initial list. */
export interface RunnerSpec {
  readonly id: string;
  readonly zone: string;
  /** Capacity for models, in the unit of their sizes. */
  readonly room: number;
}

/** A plain back end of the platform's initial list. */
export interface PlainBackendSpec {
  readonly id: string;
  readonly zone: string;
}

const SLOTS = 8;
const PLAIN_SLOTS = 64;
const PLAIN_SERVICE = 'kiosk';

/** The environment of the simulated fleet: the platform's list, the weight store, runners and plain back ends. */
export class SimEnvironment implements BackendHost {
  /** Records of the whole environment, which the `Judge` evaluates. */
  readonly records: BackRecord[] = [];
  readonly platform: SimPlatform;
  readonly orders: SimOrders;
  readonly #scheduler: Scheduler;
  readonly #seeded: SeededRandom;
  readonly #runners = new Map<string, SimRunner>();
  readonly #plain = new Map<string, SimBackend>();
  readonly #running = new Map<string, number>();
  #replacementCount = 0;

  constructor(
    scheduler: Scheduler,
    seeded: SeededRandom,
    catalog: Catalog,
    runners: readonly RunnerSpec[],
    plain: readonly PlainBackendSpec[],
  ) {
    this.#scheduler = scheduler;
    this.#seeded = seeded;
    this.platform = new SimPlatform(scheduler, this.records);
    const orderedRunners = {
      find: (id: string) => this.#runners.get(id),
      isAnswering: (id: string) => this.isAnswering(id),
      running: (id: string, key: string) => this.#runCount(id, key),
    };
    this.orders = new SimOrders(scheduler, this.records, orderedRunners, catalog);
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
    const settings = { id, isPlain, slots };
    return new SimBackend(settings, this.#scheduler, this.#seeded, this, this.records);
  }

  /** The serving side of a runner or plain back end. */
  backend(id: string): SimBackend | undefined {
    return this.#runners.get(id)?.back ?? this.#plain.get(id);
  }

  /** The serving sides of all plain back ends and runners. */
  backends(): SimBackend[] {
    const list = [...this.#plain.values()];
    for (const runner of this.#runners.values()) list.push(runner.back);
    return list;
  }

  /** Opens a connection to a back end. Throws if there is no back end with this id. */
  open(
    id: string,
    isCut: () => boolean,
    delay: () => number,
    hear: ConnectionHandler,
  ): SimConnection {
    const back = this.backend(id);
    if (!back) throw new Error(`no back end ${id}`);
    return new SimConnection(this.#scheduler, back, isCut, delay, hear);
  }

  /** Replaces a runner on the list by an empty one with a new id, and removes the old machine after `span` ms. */
  replace(id: string, span: number): void {
    const runner = this.#runners.get(id);
    if (!runner || !this.platform.list.some((machine) => machine.id === id)) return;
    this.#replacementCount += 1;
    const fresh = `${id}-${this.#replacementCount}`;
    const back = this.#makeBackend(fresh, false);
    this.#runners.set(fresh, newRunner(back, runner.room, this.#scheduler.now));
    this.platform.replace(id, fresh);
    this.#scheduler.after(span, () => this.kill(id, true));
  }

  /** Whether a runner's process is up and not frozen, and its machine exists. */
  isAnswering(id: string): boolean {
    const back = this.#runners.get(id)?.back;
    return back !== undefined && back.isUp && !back.isFrozen && !back.isMachineRemoved;
  }

  /** A runner's report to the leader; undefined if it does not respond. */
  report(id: string): RunnerReport | undefined {
    const runner = this.#runners.get(id);
    if (!runner || !this.isAnswering(id)) return undefined;
    const holds: Hold[] = [];
    for (const [key, hold] of runner.holds)
      holds.push({ ...hold, running: this.#runCount(id, key) });
    return {
      id,
      boot: bootOf(runner),
      room: runner.room,
      slots: SLOTS,
      upMs: this.#scheduler.now - runner.bornAt,
      holds,
    };
  }

  /** Whether the model and adapter of a request are ready at a back end; plain back ends hold everything. */
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

  /** Counts the start of a run. */
  onRunStart(id: string, request: SimRequest): void {
    this.#changeRunCount(id, request, 1);
  }

  /** Counts the end of a run, and completes unloads that waited for it. */
  onRunEnd(id: string, request: SimRequest): void {
    this.#changeRunCount(id, request, -1);
    const runner = this.#runners.get(id);
    for (const [key, hold] of runner?.holds ?? [])
      if (hold.state === 'unloading' && this.#runCount(id, key) === 0) runner?.holds.delete(key);
  }

  #changeRunCount(id: string, request: SimRequest, change: number): void {
    const keys =
      request.adapter === ''
        ? [unitKey(request.model, '')]
        : [unitKey(request.model, ''), unitKey(request.model, request.adapter)];
    for (const key of keys)
      this.#running.set(`${id}\n${key}`, Math.max(0, this.#runCount(id, key) + change));
  }

  #runCount(id: string, key: string): number {
    return this.#running.get(`${id}\n${key}`) ?? 0;
  }

  /** Ends a back end's process: its models are lost, and its fetches in progress end. */
  kill(id: string, isMachineGone: boolean): void {
    const runner = this.#runners.get(id);
    if (runner) this.orders.endFetches(runner);
    for (const key of this.#running.keys())
      if (key.startsWith(`${id}\n`)) this.#running.delete(key);
    const back = this.backend(id);
    if (!back) return;
    back.kill(isMachineGone);
    back.isUp = false;
    if (!runner) return;
    runner.holds = new Map();
    runner.taken = new Set();
  }

  /** Starts a back end, unless it is up. */
  start(id: string): void {
    const back = this.backend(id);
    if (!back || (back.isUp && !back.isMachineRemoved)) return;
    back.start();
    const runner = this.#runners.get(id);
    if (runner) runner.bornAt = this.#scheduler.now;
  }

  /** Ends a back end's process and starts a new one at once. */
  restart(id: string): void {
    this.kill(id, false);
    this.start(id);
  }

  /** Freezes or resumes a back end. */
  setFrozen(id: string, isDark: boolean): void {
    this.backend(id)?.setFrozen(isDark);
  }

  /** Changes a runner's capacity. */
  setRoom(id: string, room: number): void {
    const runner = this.#runners.get(id);
    // Setting the same capacity again must not restart the time in which leaders may not know of it.
    if (!runner || runner.room === room) return;
    runner.roomBefore = runner.room;
    runner.room = room;
    runner.roomSince = this.#scheduler.now;
  }
}

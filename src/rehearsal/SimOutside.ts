import { TAKE_WITHIN_MS } from '../control/Orderer.js';
import type {
  Catalog,
  Hold,
  Intent,
  Machine,
  Machines,
  RunnerReport,
} from '../placement/Shapes.js';
import type { Scheduler } from './Scheduler.js';
import type { BackRecord } from './Records.js';
import type { Seeded } from './Seeded.js';
import { SimBackend, type Holder } from './SimBackend.js';
import { SimConnection, type Hear, type SimRequest } from './SimConnection.js';

interface SimRunner {
  readonly back: SimBackend;
  room: number;
  /** The room of before, which may still be counted on by whoever has not heard. */
  roomBefore: number;
  roomSince: number;
  bornAt: number;
  holds: Map<string, Hold>;
  taken: Set<string>;
}

export interface SeenOrder {
  readonly at: number;
  readonly holder: string;
  readonly epoch: number;
  readonly runner: string;
  readonly intent: Intent;
}

const SLOTS = 8;
/** Room that shrank, and a limit that was lowered, are known to nobody before they were asked about. */
const ROOM_TOLD_MS = 2500;
const LIMIT_TOLD_MS = 7000;

function isOf(id: string, machine: Machine): boolean {
  return machine.id === id;
}
function isNotOf(id: string, machine: Machine): boolean {
  return machine.id !== id;
}
function unitKey(model: string, adapter: string): string {
  return `${model}\n${adapter}`;
}

/** The simulator's outside: the platform's list, the weight store, runners and plain back ends, which watch the rules about orders. */
export class SimOutside implements Holder {
  #catalog: Catalog;
  readonly orders: SeenOrder[] = [];
  readonly violations: string[] = [];
  readonly records: BackRecord[] = [];
  readonly #scheduler: Scheduler;
  readonly #runners = new Map<string, SimRunner>();
  readonly #plain = new Map<string, SimBackend>();
  readonly #running = new Map<string, number>();
  #machines: Machine[] = [];
  #revision = 1;
  #fetching = 0;
  #replaced = 0;
  readonly #seeded: Seeded;
  #limitBefore: number;
  #limitSince = -1e9;
  isPlatformUp = true;
  /** What the platform tells instead of its list, for a while. */
  oddList: 'none' | 'empty' | 'old' = 'none';
  readonly #marks = new Map<string, number>();
  /** When a revision was first shown to any control node. */
  readonly shown = new Map<number, number>();

  constructor(
    scheduler: Scheduler,
    seeded: Seeded,
    catalog: Catalog,
    runners: readonly { readonly id: string; readonly zone: string; readonly room: number }[],
    plain: readonly { readonly id: string; readonly zone: string }[],
  ) {
    this.#scheduler = scheduler;
    this.#seeded = seeded;
    this.#catalog = catalog;
    this.#limitBefore = catalog.limit;
    for (const { id, zone, room } of runners) {
      const back = new SimBackend(
        { id, isPlain: false, slots: SLOTS },
        scheduler,
        seeded,
        this,
        this.records,
      );
      this.#runners.set(id, {
        back,
        room,
        roomBefore: room,
        roomSince: -1e9,
        bornAt: 0,
        holds: new Map(),
        taken: new Set(),
      });
      this.#machines.push({ id, address: id, zone, service: '', leaving: false });
    }
    for (const { id, zone } of plain) {
      this.#plain.set(
        id,
        new SimBackend({ id, isPlain: true, slots: 64 }, scheduler, seeded, this, this.records),
      );
      this.#machines.push({ id, address: id, zone, service: 'kiosk', leaving: false });
    }
  }

  get revision(): number {
    return this.#revision;
  }
  get list(): readonly Machine[] {
    return this.#machines;
  }
  get catalog(): Catalog {
    return this.#catalog;
  }
  get fetching(): number {
    return this.#fetching;
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

  // ---- the platform

  machines(_asker: string): Machines | undefined {
    if (!this.isPlatformUp) return undefined;
    if (this.oddList === 'empty') return { revision: this.#revision + 1, machines: [] };
    if (this.oddList === 'old') return { revision: Math.max(0, this.#revision - 1), machines: [] };
    if (!this.shown.has(this.#revision)) {
      this.shown.set(this.#revision, this.#scheduler.now);
      this.records.push({ at: this.#scheduler.now, what: 'shown', revision: this.#revision });
    }
    return { revision: this.#revision, machines: [...this.#machines] };
  }

  /** When any control node first learned of this runner's mark. */
  learned(id: string): number | undefined {
    const revision = this.#marks.get(id);
    if (revision === undefined) return undefined;
    // A later list shows it as well.
    for (const [shown, at] of this.shown) if (shown >= revision) return at;
    return undefined;
  }

  mark(id: string, isLeaving: boolean): void {
    const marked: Machine[] = [];
    for (const machine of this.#machines)
      marked.push(machine.id === id ? { ...machine, leaving: isLeaving } : machine);
    this.#machines = marked;
    this.#revision += 1;
    this.records.push({
      at: this.#scheduler.now,
      what: 'mark',
      id,
      leaving: isLeaving,
      revision: this.#revision,
    });
    if (!isLeaving) this.#marks.delete(id);
    else if (!this.#marks.has(id)) this.#marks.set(id, this.#revision);
  }

  // ---- runners

  /** Taken off the list and ended a little later; another machine, empty and with a name of its own, comes in its place. */
  replace(id: string, span: number): void {
    const runner = this.#runners.get(id);
    const machine = this.#machines.find(isOf.bind(undefined, id));
    if (!runner || !machine) return;
    this.#replaced += 1;
    const fresh = `${id}-${this.#replaced}`;
    const back = new SimBackend(
      { id: fresh, isPlain: false, slots: SLOTS },
      this.#scheduler,
      this.#seeded,
      this,
      this.records,
    );
    this.#runners.set(fresh, {
      back,
      room: runner.room,
      roomBefore: runner.room,
      roomSince: -1e9,
      bornAt: this.#scheduler.now,
      holds: new Map(),
      taken: new Set(),
    });
    this.#machines = [
      ...this.#machines.filter(isNotOf.bind(undefined, id)),
      { ...machine, id: fresh, address: fresh, leaving: false },
    ];
    this.#revision += 1;
    this.#scheduler.after(span, this.down.bind(this, id, true));
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
      holds.push({ ...hold, running: this.#running.get(`${id}\n${key}`) ?? 0 });
    return {
      id,
      boot: `b${runner.back.boot}`,
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
      if (hold.state === 'unloading' && (this.#running.get(`${id}\n${key}`) ?? 0) === 0)
        runner?.holds.delete(key);
  }

  #count(id: string, request: SimRequest, change: number): void {
    const keys =
      request.adapter === ''
        ? [unitKey(request.model, '')]
        : [unitKey(request.model, ''), unitKey(request.model, request.adapter)];
    for (const key of keys)
      this.#running.set(
        `${id}\n${key}`,
        Math.max(0, (this.#running.get(`${id}\n${key}`) ?? 0) + change),
      );
  }

  /** Ends with all it holds; its fetches under way end with it. */
  down(id: string, isMachineGone: boolean): void {
    const runner = this.#runners.get(id);
    for (const hold of runner?.holds.values() ?? [])
      if (hold.state === 'loading') this.#fetching -= 1;
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

  setLimit(limit: number): void {
    if (limit === this.#catalog.limit) return;
    this.#limitBefore = this.#catalog.limit;
    this.#limitSince = this.#scheduler.now;
    this.#catalog = { ...this.#catalog, limit };
  }

  /** Taken only within so long of the runner's word to go on. */
  order(
    holder: string,
    epoch: number,
    intent: Intent,
    continuedAt: number,
  ): 'taken' | 'turnedAway' | 'unsure' {
    const runner = this.#runners.get(intent.runner);
    if (!runner || !this.isAnswering(intent.runner)) return 'unsure';
    const now = this.#scheduler.now;
    if (now - continuedAt > TAKE_WITHIN_MS) return 'turnedAway';
    const last = this.orders[this.orders.length - 1];
    if (last && last.holder !== holder && now - last.at < 3000) {
      this.violations.push(
        `two-holders: ${last.holder} (${last.epoch}) and ${holder} (${epoch}) ordered ${Math.round(now - last.at)} ms apart`,
      );
    }
    this.orders.push({ at: now, holder, epoch, runner: intent.runner, intent });
    const key = unitKey(intent.model, intent.adapter);
    let used = intent.size;
    for (const hold of runner.holds.values()) used += hold.size;
    const isOld =
      intent.boot !== `b${runner.back.boot}` ||
      runner.taken.has(intent.id) ||
      runner.holds.has(key);
    const room =
      now - runner.roomSince < ROOM_TOLD_MS
        ? Math.max(runner.room, runner.roomBefore)
        : runner.room;
    const isOver = intent.verb === 'load' && !isOld && used > room;
    this.records.push({
      at: now,
      what: 'order',
      runner: intent.runner,
      order: intent.id,
      verb: intent.verb,
      model: intent.model,
      adapter: intent.adapter,
      holder,
      epoch,
      overRoom: isOver,
    });
    if (intent.boot !== `b${runner.back.boot}`) return 'turnedAway';
    if (runner.taken.has(intent.id)) return 'taken';
    runner.taken.add(intent.id);
    if (intent.verb === 'unload') {
      const hold = runner.holds.get(key);
      if (hold && (this.#running.get(`${intent.runner}\n${key}`) ?? 0) > 0)
        runner.holds.set(key, { ...hold, state: 'unloading' });
      else runner.holds.delete(key);
      return 'taken';
    }
    if (runner.holds.has(key)) return 'taken';
    if (used > runner.room) return 'turnedAway';
    this.#fetching += 1;
    const limit =
      now - this.#limitSince < LIMIT_TOLD_MS
        ? Math.max(this.#catalog.limit, this.#limitBefore)
        : this.#catalog.limit;
    this.records.push({
      at: now,
      what: 'fetch',
      runner: intent.runner,
      model: intent.model,
      adapter: intent.adapter,
      running: this.#fetching,
      over: this.#fetching > limit,
    });
    const hold: Hold = {
      model: intent.model,
      adapter: intent.adapter,
      size: intent.size,
      state: 'loading',
      running: 0,
    };
    runner.holds.set(key, hold);
    this.#scheduler.after(
      300 + intent.size * 20,
      this.#fetched.bind(this, runner, runner.back.boot, key, hold),
    );
    return 'taken';
  }

  #fetched(runner: SimRunner, boot: number, key: string, hold: Hold): void {
    if (runner.back.boot !== boot) return;
    this.#fetching -= 1;
    runner.holds.set(key, { ...hold, state: 'ready' });
  }
}

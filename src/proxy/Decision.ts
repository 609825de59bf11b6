import { findMapping, findRow, rowKey, type Row, EMPTY_TABLE } from '../policy/Table.js';
import { indexOf } from '../policy/TableIndex.js';
import type { ErrorCode } from '../common/CodedError.js';
import { later, moment, type Moment } from '../common/Ids.js';
import { parseAs } from '../common/Json.js';
import { compareVersions, NO_VERSION, type Version } from '../common/Version.js';
import { ConfigNewsShape, type ConfigNews } from '../control/ConfigDoc.js';
import {
  MachinesShape,
  PlacesShape,
  type Machines,
  type PlacedRunner,
  type Places,
  type Seat,
} from '../placement/Shapes.js';
import { Budget } from './Budget.js';
import { Freshness } from './Freshness.js';
import type { Watched, Watcher } from './ConnectionProbes.js';

/** What a request names, read by the executor. */
export interface Asked {
  readonly id: number;
  readonly method: string;
  readonly path: string;
  readonly model: string;
  readonly adapter: string;
  readonly parts: readonly string[];
}

/** What the executor must do now. */
export type Verdict =
  | {
      readonly do: 'run';
      readonly id: number;
      readonly runner: string;
      readonly address: string;
      readonly isPlain: boolean;
      readonly row: Row;
      readonly limit: Moment;
      readonly table: number;
    }
  /** `retryMs` tells when coming back is worth while, as far as it is known; 0 where nothing is. */
  | {
      readonly do: 'turnAway';
      readonly id: number;
      readonly kind: ErrorCode;
      readonly text: string;
      readonly retryMs: number;
    };

export type RunVerdict = Extract<Verdict, { do: 'run' }>;

export interface DecisionSettings {
  readonly blindMs: number;
  readonly me: string;
  /** A number that no other life of this process has, well apart from others'. */
  readonly incarnation: number;
  /** Most requests pending at once. */
  readonly mostPending: number;
  /** How long a runner that just started is spared. */
  readonly rampMs: number;
  /** Repeats that a service may have, as a share of its requests, and how many more over the whole fleet. */
  readonly repeatShare: number;
  readonly repeatFew: number;
}

export const DECISION_DEFAULTS = {
  incarnation: 0,
  mostPending: 512,
  rampMs: 10_000,
  repeatShare: 0.2,
  repeatFew: 4,
} as const;

interface Work {
  readonly asked: Asked;
  readonly row: Row;
  readonly service: string;
  readonly arrivedAt: Moment;
  readonly limit: Moment;
  runner: string;
  startedAt: Moment;
  readonly tried: Set<string>;
  /** Whether its first sending has been counted for the budget of repeats. */
  isCounted: boolean;
}

interface RunnerState {
  pending: number;
  meanMs: number;
  fullUntil: Moment;
  brokenUntil: Moment;
  /** Starts in the ramp's current second. */
  rampFrom: Moment;
  rampStarts: number;
  firstSeen: Moment;
  /** Seen to be away by its watch, and not yet back. */
  isFallen: boolean;
}

/** Who waits for a place, and when it is due as far as the leader can tell. */
interface Wait {
  readonly text: string;
  readonly toldMs: number;
  readonly readyAt: Moment | undefined;
}

interface Bucket {
  tokens: number;
  at: Moment;
}

/** A row that takes nothing is not opened from one moment to the next. */
const CLOSED_ROW_MS = 60_000;
const BROKEN_MS = 1000;
const FULL_MS = 100;

/**
 * The proxy's decisions, pure: which request runs where, which waits, which is turned away and why.
 * The executor asks and obeys; every request it asks about ends in exactly one of run-and-ended, turned away or gone.
 */
export class Decision implements Watcher {
  readonly #settings: DecisionSettings;
  readonly #freshness: Freshness;
  #config: { readonly version: Version; readonly news: ConfigNews } | undefined;
  #places: { readonly version: Version; readonly news: Places } | undefined;
  #machines: Machines = { revision: 0, machines: [] };
  #barred = new Set<string>();
  readonly #seats = new Map<string, readonly Seat[]>();
  #waits: ReadonlyMap<string, Wait> = new Map();
  readonly #placed = new Map<string, PlacedRunner>();
  readonly #shares = new Map<string, number>();
  readonly #runners = new Map<string, RunnerState>();
  readonly #running = new Map<number, Work>();
  readonly #pending: Work[] = [];
  readonly #buckets = new Map<string, Bucket>();
  readonly #budgets = new Map<string, Budget>();
  readonly #kept = new Map<string, string[]>();
  #units = new Map<string, number>();
  #rows = new Map<string, number>();
  #verdicts: Verdict[] = [];
  #isDraining = false;

  constructor(settings: DecisionSettings) {
    this.#settings = settings;
    this.#freshness = new Freshness(settings.blindMs, settings.incarnation);
  }

  get configVersion(): Version {
    return this.#config?.version ?? NO_VERSION;
  }
  /** The number of the table in force here, as operators count them. */
  get tableNumber(): number {
    return this.#config?.news.number ?? -1;
  }
  get placesVersion(): Version {
    return this.#places?.version ?? NO_VERSION;
  }
  get marks(): number {
    return this.#machines.revision;
  }
  get running(): number {
    return this.#running.size;
  }
  get pending(): number {
    return this.#pending.length;
  }

  /** Whether we may take new work: confirmed fresh lately, and there is a configuration to work by. */
  isFresh(now: Moment): boolean {
    return this.#config !== undefined && this.#freshness.isFresh(now);
  }

  drain(): Verdict[] {
    const verdicts = this.#verdicts;
    this.#verdicts = [];
    return verdicts;
  }

  // ---- news

  /** Takes news; nothing ever steps back a version. */
  news(now: Moment, topic: string, version: Version, body: string): void {
    if (topic === 'config' && compareVersions(version, this.configVersion) > 0) {
      const news = parseAs(ConfigNewsShape, body);
      if (news) this.#config = { version, news };
      // What waits was gated by the table of before; a table is in force for all that has not begun to run.
      this.#regate();
    } else if (topic === 'places' && compareVersions(version, this.placesVersion) > 0) {
      const news = parseAs(PlacesShape, body);
      if (news) {
        this.#takePlaces(now, news, this.#places === undefined);
        this.#places = { version, news };
      }
    } else if (topic === 'machines' && version.count > this.#machines.revision) {
      const news = parseAs(MachinesShape, body);
      if (news) this.#machines = news;
    }
    this.#bar();
    this.#advance(now);
  }

  ask(now: Moment): number {
    return this.#freshness.ask(now);
  }

  confirmFreshness(nonce: number, version: Version, marks: number): void {
    const isHeld =
      compareVersions(this.configVersion, version) >= 0 && this.#machines.revision >= marks;
    this.#freshness.confirmFreshness(nonce, isHeld);
  }

  startDraining(now: Moment): void {
    this.#isDraining = true;
    for (const work of this.#pending.splice(0))
      this.#refuse(work.asked.id, 'draining', 'this proxy is being stopped');
    this.#advance(now);
  }

  /**
   * Asked again once the connection stands, right before the first byte: time may have passed since the draw,
   * and the runner may be leaving, its zone emptied, the row gone, the limit past or this proxy blind.
   */
  mayWrite(now: Moment, id: number): boolean {
    const work = this.#running.get(id);
    if (!work || !this.isFresh(now) || now >= work.limit) return false;
    return (
      this.#rowNow(work) !== undefined &&
      this.#candidates(work).some(isOf.bind(undefined, work.runner))
    );
  }

  /** It was drawn and may no longer be written: it has not run, and is drawn anew or turned away. */
  withdraw(now: Moment, id: number): void {
    const work = this.#end(now, id, false);
    if (!work) return;
    work.tried.delete(work.runner);
    if (now >= work.limit) this.#refuse(id, 'limit-passed', 'its limit passed before it was begun');
    else if (!this.isFresh(now))
      this.#refuse(id, 'blind', 'this proxy has not heard from the control nodes');
    else if (!this.#rowNow(work))
      this.#refuse(id, 'unmapped', 'the table no longer has a row for it');
    else this.#retryOrEnd(now, work, 'waits-for-place', 'its place was lost');
    this.#advance(now);
  }

  #takePlaces(now: Moment, news: Places, isFirst: boolean): void {
    this.#seats.clear();
    const waits = new Map<string, Wait>();
    this.#placed.clear();
    this.#shares.clear();
    for (const place of news.places) {
      this.#seats.set(place.model, place.seats);
      const known = this.#waits.get(place.model);
      const readyMs = place.readyMs ?? 0;
      // Told once when it begins to wait, and counted down here; the same word again is no new beginning.
      const isSame = known !== undefined && known.text === place.wait && known.toldMs === readyMs;
      waits.set(
        place.model,
        isSame
          ? known
          : {
              text: place.wait,
              toldMs: readyMs,
              readyAt: readyMs > 0 ? later(now, readyMs) : undefined,
            },
      );
    }
    this.#waits = waits;
    for (const runner of news.runners) {
      this.#placed.set(runner.id, runner);
      this.#noteRunner(now, runner, isFirst);
    }
    for (const share of news.shares)
      if (share.flow === this.#settings.me) this.#shares.set(share.row, share.share);
    for (const id of this.#runners.keys()) if (!this.#placed.has(id)) this.#runners.delete(id);
  }

  /** Runners that get no new work: marked as leaving, or in an emptied zone. */
  #bar(): void {
    const emptied = new Set(this.#config?.news.emptied ?? []);
    this.#barred = new Set();
    for (const machine of this.#machines.machines)
      if (machine.leaving || emptied.has(machine.zone)) this.#barred.add(machine.id);
    for (const runner of this.#placed.values())
      if (emptied.has(runner.zone)) this.#barred.add(runner.id);
  }

  #regate(): void {
    for (const work of this.#pending.splice(0)) {
      const row = this.#rowNow(work);
      if (row) this.#pending.push({ ...work, row });
      else this.#refuse(work.asked.id, 'unmapped', 'the table no longer has a row for it');
    }
    this.#pending.sort(byWeight);
  }

  /** The row that gated it, as it stands now; nothing if the table leads elsewhere by now. */
  #rowNow(work: Work): Row | undefined {
    const row = this.#rowOf(work.asked);
    return row && rowKey(row) === rowKey(work.row) ? row : undefined;
  }

  #rowOf(asked: Asked): Row | undefined {
    const table = this.#config?.news.table ?? EMPTY_TABLE;
    const mapping = findMapping(table, mappedMethod(asked.method), asked.path);
    return mapping ? findRow(table, mapping.type, asked.model) : undefined;
  }

  // ---- back ends that tell nothing of themselves

  /** Those to be watched: whether they were started anew is told by nobody. */
  silentBacks(): readonly Watched[] {
    const list: Watched[] = [];
    for (const { id, address, service } of this.#placed.values())
      if (service !== '') list.push({ id, address });
    return list;
  }

  fallen(_now: Moment, id: string): void {
    const state = this.#runners.get(id);
    // Until its rising is seen: whoever went there sooner would find it cold and not know.
    if (state) state.isFallen = true;
  }

  risen(now: Moment, id: string): void {
    const state = this.#runners.get(id);
    if (!state) return;
    state.firstSeen = now;
    state.brokenUntil = now;
    state.isFallen = false;
    this.#advance(now);
  }

  // ---- gate

  /** Whether the body names a model, or the request goes to plain back ends as it is. */
  needsModel(method: string, path: string): boolean | undefined {
    const table = this.#config?.news.table ?? EMPTY_TABLE;
    const mapping = findMapping(table, mappedMethod(method), path);
    if (!mapping) return undefined;
    return indexOf(table).firstOf(mapping.type)?.model.startsWith('@') !== true;
  }

  /** Asked once for each request; the verdict is drained, at once or once it has waited. */
  gate(now: Moment, asked: Asked): void {
    if (this.#isDraining) {
      this.#refuse(asked.id, 'draining', 'this proxy is being stopped');
      return;
    }
    if (!this.isFresh(now)) {
      this.#refuse(asked.id, 'blind', 'this proxy has not heard from the control nodes');
      return;
    }
    const table = this.#config?.news.table ?? EMPTY_TABLE;
    const mapping = findMapping(table, mappedMethod(asked.method), asked.path);
    if (!mapping) {
      this.#refuse(asked.id, 'unmapped', `no mapping for ${asked.method} ${asked.path}`);
      return;
    }
    const row = findRow(table, mapping.type, asked.model);
    if (!row) {
      this.#refuse(
        asked.id,
        'unknown-model',
        `no row of type ${mapping.type} for model ${asked.model}`,
      );
      return;
    }
    const service = row.model.startsWith('@') ? row.model : asked.model;
    this.#rows.set(rowKey(row), (this.#rows.get(rowKey(row)) ?? 0) + 1);
    // Demand is counted before the gate: what is turned away for want of a place is what a place is made for.
    if (!service.startsWith('@')) {
      this.#count(`${asked.model}\n`);
      if (asked.adapter !== '') this.#count(`${asked.model}\n${asked.adapter}`);
    }
    const takeMs = this.#take(now, row);
    if (takeMs > 0) {
      this.#refuse(asked.id, 'over-take', `row ${rowKey(row)} takes ${row.take} a second`, takeMs);
      return;
    }
    const limit = later(now, row.lateMs);
    const work: Work = {
      asked,
      row,
      service,
      arrivedAt: now,
      limit,
      runner: '',
      startedAt: now,
      tried: new Set(),
      isCounted: false,
    };
    if (this.#isPlaceless(work)) {
      this.#refuse(
        asked.id,
        'waits-for-place',
        this.#waits.get(service)?.text || `${asked.model} is not placed yet`,
        this.#placeMs(now, service),
      );
      return;
    }
    this.#pend(now, work);
  }

  #count(unit: string): void {
    this.#units.set(unit, (this.#units.get(unit) ?? 0) + 1);
  }

  /** What was asked for since last told, for the placer. */
  takeDemand(): {
    units: { model: string; adapter: string; count: number }[];
    rows: { row: string; count: number }[];
  } {
    const units = [];
    for (const [unit, count] of this.#units) {
      const [model = '', adapter = ''] = unit.split('\n');
      units.push({ model, adapter, count });
    }
    const rows = [];
    for (const [row, count] of this.#rows) rows.push({ row, count });
    this.#units = new Map();
    this.#rows = new Map();
    return { units, rows };
  }

  /** When its place is due, as far as the leader told. */
  #placeMs(now: Moment, service: string): number {
    const readyAt = this.#waits.get(service)?.readyAt;
    return readyAt === undefined ? 0 : Math.max(1000, readyAt - now);
  }

  /** The row's fleet-wide take, of which this proxy has the share it was given: 0, or how long until it allows one more. */
  #take(now: Moment, row: Row): number {
    const key = rowKey(row);
    const flows = this.#places?.news.flows ?? 1;
    const rate = row.take * (this.#shares.get(key) ?? 1 / flows);
    // Callers come in bursts: two seconds' worth may come at once, and a few even where the share is small.
    const most = Math.max(3, rate * 2);
    const bucket = this.#buckets.get(key) ?? { tokens: most, at: now };
    bucket.tokens = Math.min(most, bucket.tokens + (rate * (now - bucket.at)) / 1000);
    bucket.at = now;
    this.#buckets.set(key, bucket);
    if (row.take <= 0) return CLOSED_ROW_MS;
    // A share of nothing lasts until the next word on shares.
    if (bucket.tokens < 1)
      return rate > 0 ? Math.max(1, ((1 - bucket.tokens) * 1000) / rate) : 1000;
    bucket.tokens -= 1;
    return 0;
  }

  #candidates(work: Work): { readonly id: string; readonly isPrimary: boolean }[] {
    const list: { id: string; isPrimary: boolean }[] = [];
    if (work.service.startsWith('@')) {
      const name = work.service.slice(1);
      for (const runner of this.#placed.values())
        if (runner.service === name && !this.#barred.has(runner.id))
          list.push({ id: runner.id, isPrimary: true });
      return list;
    }
    for (const seat of this.#seats.get(work.service) ?? []) {
      if (this.#barred.has(seat.runner)) continue;
      if (work.asked.adapter !== '' && !seat.adapters.includes(work.asked.adapter)) continue;
      list.push({ id: seat.runner, isPrimary: seat.primary });
    }
    return list;
  }

  #isPlaceless(work: Work): boolean {
    return this.#candidates(work).length === 0;
  }

  // ---- pending

  #pend(now: Moment, work: Work): void {
    this.#pending.push(work);
    this.#pending.sort(byWeight);
    if (this.#pending.length > this.#settings.mostPending) {
      const last = this.#pending.pop();
      if (last)
        this.#refuse(
          last.asked.id,
          'crowded',
          'too many wait, of more weight',
          this.#turnMs(now, last, this.#pending.length).waitMs,
        );
    }
    this.#advance(now);
    this.#shed(now);
  }

  tick(now: Moment): void {
    if (!this.isFresh(now)) {
      for (const work of this.#pending.splice(0))
        this.#refuse(work.asked.id, 'blind', 'this proxy has not heard from the control nodes');
    }
    this.#advance(now);
    this.#shed(now);
  }

  /** Starts whatever can start, the weightiest first. */
  #advance(now: Moment): void {
    if (!this.isFresh(now)) return;
    for (const work of [...this.#pending]) {
      const chosen = this.#draw(now, work);
      if (chosen === undefined) continue;
      this.#pending.splice(this.#pending.indexOf(work), 1);
      this.#start(now, work, chosen);
    }
  }

  /**
   * Turns away at once whatever can no longer be served in time, as far as the lengths of runs so far tell.
   * Nothing is held back until near its limit only to be told no then.
   */
  #shed(now: Moment): void {
    const ahead = new Map<string, number>();
    for (const work of [...this.#pending]) {
      const candidates = this.#candidates(work);
      if (candidates.length === 0) {
        this.#remove(
          work,
          'waits-for-place',
          this.#waits.get(work.service)?.text || 'its place was lost',
          this.#placeMs(now, work.service),
        );
        continue;
      }
      const before = ahead.get(work.service) ?? 0;
      ahead.set(work.service, before + 1);
      const { waitMs, mean } = this.#turnMs(now, work, before);
      // Half of the lateness is for the run itself, since runs differ from their mean.
      const isTooLate = later(now, waitMs + mean) > later(work.arrivedAt, work.row.lateMs / 2);
      // Whatever the estimate says, nobody waits for more than a third of the lateness to be told no.
      if (isTooLate || now >= later(work.arrivedAt, work.row.lateMs / 3))
        this.#remove(work, 'crowded', `${before} wait before it`, waitMs);
    }
  }

  /** How long until its turn comes behind so many, and how long a run takes, by the runs so far. */
  #turnMs(
    now: Moment,
    work: Work,
    before: number,
  ): { readonly waitMs: number; readonly mean: number } {
    let capacity = 0;
    let mean = 0;
    for (const candidate of this.#candidates(work)) {
      capacity += this.#capacity(now, candidate.id);
      mean = Math.max(
        mean,
        this.#runners.get(candidate.id)?.meanMs ?? 0,
        this.#longestRun(now, candidate.id),
      );
    }
    return { waitMs: ((before + 1) * mean) / Math.max(1, capacity), mean };
  }

  /** How long the oldest run there goes on already: a bound for runs of which none has ended yet. */
  #longestRun(now: Moment, runner: string): number {
    let longest = 0;
    for (const work of this.#running.values())
      if (work.runner === runner) longest = Math.max(longest, now - work.startedAt);
    return longest;
  }

  #remove(work: Work, kind: ErrorCode, text: string, retryMs: number): void {
    this.#pending.splice(this.#pending.indexOf(work), 1);
    this.#refuse(work.asked.id, kind, text, retryMs);
  }

  #refuse(id: number, kind: ErrorCode, text: string, retryMs = 0): void {
    this.#verdicts.push({ do: 'turnAway', id, kind, text, retryMs });
  }

  // ---- draw

  #noteRunner(now: Moment, runner: PlacedRunner, isFirst: boolean): void {
    const state = this.#runners.get(runner.id);
    // Back ends without a report count as warm only if they stood here before us; and we begin gently with those,
    // since one may have been started together with us.
    const upMs = runner.service !== '' ? (isFirst ? this.#settings.rampMs * 0.8 : 0) : runner.upMs;
    if (!state) {
      const never = moment(-1);
      this.#runners.set(runner.id, {
        pending: 0,
        meanMs: 0,
        fullUntil: never,
        brokenUntil: never,
        rampFrom: now,
        rampStarts: 0,
        firstSeen: moment(now - upMs),
        isFallen: false,
      });
    } else if (
      runner.service === '' &&
      runner.upMs < this.#settings.rampMs &&
      now - upMs > state.firstSeen
    ) {
      // It started anew since we first saw it.
      state.firstSeen = moment(now - upMs);
    }
  }

  /** How many may run there at once for this proxy: its share of the slots, with slack, less while cold. */
  #capacity(now: Moment, id: string): number {
    const placed = this.#placed.get(id);
    const state = this.#runners.get(id);
    if (!placed || !state) return 0;
    const flows = Math.max(1, this.#places?.news.flows ?? 1);
    const slots = placed.slots === 0 ? 64 : placed.slots;
    // Twice an even share, since proxies are not asked evenly, but never more than there is.
    const share = Math.max(1, Math.min(slots, Math.ceil((slots * 2) / flows)));
    const warmth = Math.min(1, Math.max(0.1, (now - state.firstSeen) / this.#settings.rampMs));
    return Math.max(1, Math.floor(share * warmth));
  }

  #mayStart(now: Moment, id: string): boolean {
    const state = this.#runners.get(id);
    if (!state || state.isFallen || now < state.fullUntil || now < state.brokenUntil) return false;
    if (state.pending >= this.#capacity(now, id)) return false;
    const age = now - state.firstSeen;
    if (age >= this.#settings.rampMs) return true;
    // While cold, starts a second are held down too: short runs would else flood it however few are pending.
    if (now - state.rampFrom >= 1000) {
      state.rampFrom = now;
      state.rampStarts = 0;
    }
    return state.rampStarts < 1 + Math.floor((age / this.#settings.rampMs) * 8);
  }

  /** Kept prefixes first, then the primary, then the least pending. */
  #draw(now: Moment, work: Work): string | undefined {
    let best:
      | {
          readonly id: string;
          readonly kept: number;
          readonly isPrimary: boolean;
          readonly pending: number;
        }
      | undefined;
    for (const candidate of this.#candidates(work)) {
      if (work.tried.has(candidate.id) || !this.#mayStart(now, candidate.id)) continue;
      const item = {
        ...candidate,
        kept: this.#keptParts(candidate.id, work),
        pending: this.#runners.get(candidate.id)?.pending ?? 0,
      };
      if (
        !best ||
        item.kept > best.kept ||
        (item.kept === best.kept && item.isPrimary && !best.isPrimary) ||
        (item.kept === best.kept &&
          item.isPrimary === best.isPrimary &&
          item.pending < best.pending)
      )
        best = item;
    }
    return best?.id;
  }

  /** How many of the request's leading parts this runner was last given. */
  #keptParts(runner: string, work: Work): number {
    const kept = this.#kept.get(`${runner}\n${work.service}`) ?? [];
    let count = 0;
    for (const part of work.asked.parts) {
      if (!kept.includes(part)) break;
      count += 1;
    }
    return count;
  }

  #start(now: Moment, work: Work, runner: string): void {
    const placed = this.#placed.get(runner);
    const state = this.#runners.get(runner);
    if (!placed || !state) return;
    work.runner = runner;
    work.startedAt = now;
    work.tried.add(runner);
    state.pending += 1;
    state.rampStarts += 1;
    if (work.asked.parts.length > 0) {
      const key = `${runner}\n${work.service}`;
      const parts = new Set(work.asked.parts);
      const rest = (this.#kept.get(key) ?? []).filter(isNotIn.bind(undefined, parts));
      this.#kept.set(key, [...work.asked.parts, ...rest].slice(0, 32));
    }
    if (!work.isCounted) this.#budget(work.service).earn();
    work.isCounted = true;
    this.#running.set(work.asked.id, work);
    this.#verdicts.push({
      do: 'run',
      id: work.asked.id,
      runner,
      address: placed.address,
      isPlain: work.service.startsWith('@'),
      row: work.row,
      limit: work.limit,
      table: this.tableNumber,
    });
  }

  /** By service, and of the few that all proxies together may have beyond the share, our part. */
  #budget(service: string): Budget {
    const flows = Math.max(1, this.#places?.news.flows ?? 1);
    const budget =
      this.#budgets.get(service) ??
      new Budget(this.#settings.repeatShare, this.#settings.repeatFew / flows);
    this.#budgets.set(service, budget);
    return budget;
  }

  // ---- ends

  /** Only a run that went its way tells how long runs are. */
  #end(now: Moment, id: number, hasRun: boolean): Work | undefined {
    const work = this.#running.get(id);
    if (!work) return undefined;
    this.#running.delete(id);
    const state = this.#runners.get(work.runner);
    if (state) {
      state.pending = Math.max(0, state.pending - 1);
      const span = now - work.startedAt;
      if (hasRun) state.meanMs = state.meanMs === 0 ? span : state.meanMs * 0.8 + span * 0.2;
    }
    return work;
  }

  /** The run ended, whole. */
  done(now: Moment, id: number): void {
    this.#end(now, id, true);
    this.#advance(now);
  }

  /**
   * No byte was written, or the runner said it has not begun: another runner may be drawn.
   * Says whether it is still ours to end; if not, the verdict follows.
   */
  notRun(now: Moment, id: number, why: 'unreached' | 'full'): void {
    const work = this.#end(now, id, false);
    if (!work) return;
    const state = this.#runners.get(work.runner);
    if (state && why === 'unreached') {
      state.brokenUntil = later(now, BROKEN_MS);
      // A back end that tells nothing of itself and was away is taken for one started anew.
      if (work.service.startsWith('@')) state.firstSeen = state.brokenUntil;
    }
    if (state && why === 'full') state.fullUntil = later(now, FULL_MS);
    this.#retryOrEnd(
      now,
      work,
      why === 'unreached' ? 'no-runner' : 'crowded',
      why === 'unreached' ? 'no runner could be reached' : 'its runners are full',
    );
  }

  /** Bytes were written and nothing whole came back. Says whether it runs again; if not, its outcome is unsure. */
  broke(now: Moment, id: number, mayRepeat: boolean, isStale = false): boolean {
    const work = this.#end(now, id, false);
    if (!work) return false;
    const state = this.#runners.get(work.runner);
    // A kept connection that had gone stale says nothing of the runner, which may be drawn again at once.
    if (isStale) work.tried.delete(work.runner);
    else if (state) state.brokenUntil = later(now, BROKEN_MS);
    if (
      !mayRepeat ||
      !work.row.repeatable ||
      this.#isDraining ||
      now >= work.limit ||
      !this.#budget(work.service).spend()
    ) {
      this.#advance(now);
      return false;
    }
    this.#retryOrEnd(now, work, 'no-runner', 'no other runner could be reached');
    return true;
  }

  #retryOrEnd(now: Moment, work: Work, kind: ErrorCode, text: string): void {
    let isOther = false;
    for (const candidate of this.#candidates(work))
      if (!work.tried.has(candidate.id)) isOther = true;
    // A repeat that had bytes written once may have run: it is never told as turned away. See the executor.
    // Whoever is to hear a no hears it early: a third of the lateness is spent on finding a runner, and no more.
    const isSpent = now >= later(work.arrivedAt, work.row.lateMs / 3);
    if (!isOther || this.#isDraining || isSpent) this.#refuse(work.asked.id, kind, text);
    else this.#pending.unshift(work);
    this.#advance(now);
    this.#shed(now);
  }

  /** The client went away while its request was pending or running. */
  gone(now: Moment, id: number): void {
    const index = this.#pending.findIndex(hasAskedId.bind(undefined, id));
    if (index >= 0) this.#pending.splice(index, 1);
    this.#end(now, id, false);
    this.#advance(now);
  }
}

/** Whatever may be got may have its head asked for. */
function mappedMethod(method: string): string {
  return method === 'HEAD' ? 'GET' : method;
}
function isOf(runner: string, candidate: { readonly id: string }): boolean {
  return candidate.id === runner;
}

function hasAskedId(id: number, work: Work): boolean {
  return work.asked.id === id;
}
function isNotIn(parts: ReadonlySet<string>, part: string): boolean {
  return !parts.has(part);
}

function byWeight(a: Work, b: Work): number {
  return b.row.weight - a.row.weight || a.limit - b.limit || a.asked.id - b.asked.id;
}

import type { Moment } from '../common/ids.js';
import type { ResidencyTimes } from './residency-times.js';
import type { IntentLog } from './intent-log.js';
import type { PlacerSettings, RunnerView, PlacementRole, DesiredModel } from './placer-types.js';
import type { CapacityTable } from './capacity-table.js';
import type { Hold, ServiceDoc } from './shapes.js';

/** One plan under way. */
export interface Planning {
  readonly now: Moment;
  readonly ledger: CapacityTable;
  readonly wishes: ReadonlyMap<string, DesiredModel>;
}

/** A runner where room may be made, what makes way there, and the worth that is lost by it. */
interface Eviction {
  readonly view: RunnerView;
  readonly holds: readonly Hold[];
  readonly cost: number;
}

/** A share of the idle rate from which a model counts as asked for at all. */
const ASKED_SHARE = 0.1;
/** What losing an understudy costs, of the worth of its model. */
const UNDERSTUDY_WORTH = 0.1;

/** Gives models their seats: the runner that is primary, and the understudy in another zone. */
export class PlacementAssignment {
  readonly #settings: PlacerSettings;
  readonly #book: IntentLog;
  readonly #times: ResidencyTimes;
  readonly #waitingSince = new Map<string, Moment>();

  constructor(settings: PlacerSettings, book: IntentLog, times: ResidencyTimes) {
    this.#settings = settings;
    this.#book = book;
    this.#times = times;
  }

  /** Since when a model waits for a seat; nothing if it does not. */
  waitingSince(model: string): Moment | undefined {
    return this.#waitingSince.get(model);
  }

  isAskedFor(wish: DesiredModel): boolean {
    return wish.rate > this.#settings.idleRate * ASKED_SHARE;
  }

  /** Seats on runners that no longer serve are given up; an understudy that holds the model takes over at once. */
  keepOrPromote({ model }: DesiredModel, ledger: CapacityTable): void {
    const doc = this.#book.doc(model);
    const primary = keptSeat(ledger, doc.primary, model);
    const understudy = keptSeat(ledger, doc.understudy, model);
    const isReady = primary !== '' && ledger.isReady(primary, model);
    const isUnderstudyReady = understudy !== '' && ledger.isReady(understudy, model);
    let next = { ...doc, primary, understudy };
    if (!isReady && isUnderstudyReady) next = { ...doc, primary: understudy, understudy: primary };
    if (next.primary !== doc.primary || next.understudy !== doc.understudy) this.#book.put(next);
  }

  /** Fills an empty seat: with a runner that holds the model, else by a fetch, else once others have made way. */
  place(planning: Planning, wish: DesiredModel, role: PlacementRole): void {
    const { now, ledger } = planning;
    const { model } = wish;
    const doc = this.#book.doc(model);
    if (doc[role] !== '') {
      if (role === 'primary') this.#setWait(now, model, '');
      return;
    }
    if (role === 'understudy' && doc.primary === '') return;
    const candidates = candidatesFor(ledger, doc, role);
    if (candidates.length === 0) {
      this.#setWait(now, model, `no ${role === 'primary' ? 'runner' : 'second zone'} in reach`);
      return;
    }
    const holder = this.#findHolder(planning, wish, candidates, role);
    if (holder) {
      this.#take(now, model, role, holder);
      return;
    }
    if (!ledger.hasSlot()) {
      this.#setWait(now, model, `${role} waits for a fetch`);
      return;
    }
    const roomy = ledger.withMostCapacity(candidates, wish.size);
    if (roomy) {
      const order = { verb: 'load', model, adapter: '', size: wish.size } as const;
      this.#book.intend(now, roomy, order, ledger);
      this.#take(now, model, role, roomy);
      return;
    }
    this.#setWait(now, model, `${role} waits for room`);
    // A first copy goes before an idle second one. Beyond that only somebody's asking makes others go:
    // weights alone would have idle models chase each other out.
    if (role === 'primary' || this.isAskedFor(wish))
      this.#makeWay(planning, wish, candidates, role);
  }

  /** Models that no row wants any more lose their seats; their room is taken when somebody needs it. */
  removeUnwanted(wishes: ReadonlyMap<string, DesiredModel>): void {
    for (const doc of this.#book.docs()) {
      if (!wishes.has(doc.model) && (doc.primary !== '' || doc.understudy !== ''))
        this.#book.put({ ...doc, primary: '', understudy: '', wait: 'no row asks for it' });
    }
  }

  /** A runner that already holds it costs nothing. */
  #findHolder(
    { now, ledger }: Planning,
    wish: DesiredModel,
    candidates: readonly RunnerView[],
    role: PlacementRole,
  ): RunnerView | undefined {
    const isAskedFor = role === 'primary' && wish.rate >= this.#settings.idleRate;
    for (const view of candidates) {
      const runner = view.machine.id;
      if (!ledger.holdsOrFetches(runner, wish.model) || ledger.isLeavingHold(runner, wish.model))
        continue;
      if (isAskedFor || !this.#times.isMakingWay(now, runner, wish.model)) return view;
    }
    return undefined;
  }

  #take(now: Moment, model: string, role: PlacementRole, view: RunnerView): void {
    this.#book.put({ ...this.#book.doc(model), [role]: view.machine.id });
    if (role === 'primary') this.#setWait(now, model, '');
  }

  #setWait(now: Moment, model: string, wait: string): void {
    const doc = this.#book.doc(model);
    if (doc.wait !== wait) this.#book.put({ ...doc, wait });
    if (wait === '') this.#waitingSince.delete(model);
    else if (!this.#waitingSince.has(model)) this.#waitingSince.set(model, now);
  }

  /** Finds the runner where the least worth makes way; the seats go first, the unloads once every proxy has heard. */
  #makeWay(
    planning: Planning,
    wish: DesiredModel,
    candidates: readonly RunnerView[],
    role: PlacementRole,
  ): void {
    const { ledger } = planning;
    let best: Eviction | undefined;
    for (const view of candidates) {
      const runner = view.machine.id;
      // Room already being made here is for whoever needs it first.
      const free = ledger.free(runner) + ledger.unloading(runner);
      if (free >= wish.size) return;
      const eviction = this.#evictionAt(planning, wish, view, role, wish.size - free);
      if (eviction && (!best || eviction.cost < best.cost)) best = eviction;
    }
    if (!best) return;
    for (const hold of best.holds) this.#unseat(planning, best.view, hold);
  }

  /** The holds of least worth at a runner whose room is enough together; nothing where it is not. */
  #evictionAt(
    planning: Planning,
    wish: DesiredModel,
    view: RunnerView,
    role: PlacementRole,
    missing: number,
  ): Eviction | undefined {
    const { ledger } = planning;
    const runner = view.machine.id;
    const removable: { readonly hold: Hold; readonly cost: number }[] = [];
    for (const hold of view.report?.holds ?? []) {
      if (hold.adapter !== '' || hold.state !== 'ready' || ledger.isLeavingHold(runner, hold.model))
        continue;
      const cost = this.#costOf(planning, view, hold, wish, role);
      if (cost !== undefined) removable.push({ hold, cost });
    }
    removable.sort(byCost);
    const holds: Hold[] = [];
    let cost = 0;
    let room = 0;
    for (const item of removable) {
      if (room >= missing) break;
      holds.push(item.hold);
      cost += item.cost;
      room += ledger.sizeOn(runner, item.hold.model);
    }
    return room >= missing ? { view, holds, cost } : undefined;
  }

  /** What losing this hold would cost, or nothing if it must stay. */
  #costOf(
    { now, wishes }: Planning,
    view: RunnerView,
    hold: Hold,
    wish: DesiredModel,
    role: PlacementRole,
  ): number | undefined {
    const runner = view.machine.id;
    const doc = this.#book.doc(hold.model);
    const other = wishes.get(hold.model);
    const isUnderstudy = doc.understudy === runner;
    if (!other || (doc.primary !== runner && !isUnderstudy)) return 0;
    const readyAt = this.#times.readyAt(runner, hold.model);
    if (readyAt !== undefined && now - readyAt < this.#settings.minResidencyMs) return undefined;
    const isIdle = other.rate < this.#settings.idleRate;
    const isWorthIt = other.worth * this.#settings.worthRatio < wish.worth;
    if (isUnderstudy)
      return isIdle || (isWorthIt && role === 'primary')
        ? other.worth * UNDERSTUDY_WORTH
        : undefined;
    // A model in use never loses its primary; an idle one does, to one that is asked for and worth much more.
    return isIdle && isWorthIt && this.isAskedFor(wish) ? other.worth : undefined;
  }

  #unseat({ now, ledger }: Planning, view: RunnerView, hold: Hold): void {
    const doc = this.#book.doc(hold.model);
    const runner = view.machine.id;
    this.#times.makesWay(now, runner, hold.model);
    const primary = doc.primary === runner ? doc.understudy : doc.primary;
    const understudy = doc.understudy === runner || doc.primary === runner ? '' : doc.understudy;
    if (doc.primary !== primary || doc.understudy !== understudy) {
      this.#book.put({ ...doc, primary, understudy });
      this.#times.unplaced(now, runner, hold.model);
      return;
    }
    if (!this.#isSettled(now, view, hold)) return;
    for (const { model, adapter, size, running } of view.report?.holds ?? []) {
      if (model === hold.model && running === 0)
        this.#book.intend(now, view, { verb: 'unload', model, adapter, size }, ledger);
    }
  }

  /** Whether every proxy has heard that it has no seat, and what still ran there has ended. */
  #isSettled(now: Moment, view: RunnerView, hold: Hold): boolean {
    const unplacedAt = this.#times.unplacedAt(view.machine.id, hold.model);
    if (unplacedAt === undefined || view.requestedAt < unplacedAt) return false;
    return now - unplacedAt >= this.#settings.unloadDelayMs && hold.running === 0;
  }
}

function candidatesFor(ledger: CapacityTable, doc: ServiceDoc, role: PlacementRole): RunnerView[] {
  const barredZone = role === 'understudy' ? ledger.zoneOf(doc.primary) : '';
  const candidates: RunnerView[] = [];
  for (const view of ledger.usable()) if (view.machine.zone !== barredZone) candidates.push(view);
  return candidates;
}

/** The seat as it stands, or none where its runner no longer serves. */
function keptSeat(ledger: CapacityTable, runner: string, model: string): string {
  return ledger.mayStayPlaced(runner) && ledger.holdsOrFetches(runner, model) ? runner : '';
}

function byCost(a: { readonly cost: number }, b: { readonly cost: number }): number {
  return a.cost - b.cost;
}

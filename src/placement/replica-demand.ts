import type { PlacementState } from './placement-state.js';
import type { Eviction } from './eviction.js';
import type { Moment } from '../common/ids.js';
import { spreadShareOf } from './spread-share.js';
import {
  isPressing,
  type ReplicaCounts,
  type ModelState,
  type ServiceState,
  type ReplicaWant,
} from './planner-records.js';

/** Not asked for within so long, a model needs no more than one copy. */
const FORGOTTEN_MS = 30_000;
/** What was lost, or asked for, within so long is likely to be asked for again. */
const LATELY_MS = 10_000;

/** What the runners of a service that serve on have, all together. */
interface Capacity {
  open: number;
  slots: number;
  mostFreeMb: number;
  load: number;
  /** The part of them over which models are spread by their share of requests. */
  readonly spreadShare: number;
  readonly zones: Set<string>;
}

/**
 * Compares the copies of each model with the work there is for it, and says which further copies would be
 * of use.
 */
export class ReplicaDemand {
  readonly #state: PlacementState;
  readonly #eviction: Eviction;

  constructor(state: PlacementState, eviction: Eviction) {
    this.#state = state;
    this.#eviction = eviction;
  }

  /** All further copies that would be of use now, the most urgent first. */
  wantsOf(now: Moment, service: ServiceState): ReplicaWant[] {
    const wants: ReplicaWant[] = [];
    for (const model of service.waiting) {
      const want = this.#waitingWant(now, model);
      if (want) wants.push(want);
    }
    if (now - service.scaledUpAt >= this.#state.settings.growMs) {
      service.scaledUpAt = now;
      const grown: ReplicaWant[] = [];
      this.#growWants(now, service, grown);
      service.pressing = grown.filter(isPressing);
      wants.push(...grown);
    } else wants.push(...service.pressing);
    return wants.sort(byLevel);
  }

  /** A model that is waited for and that no runner has, or that none serves though one should. */
  #waitingWant(now: Moment, model: ModelState): ReplicaWant | undefined {
    const { despiteMs, rankMs } = this.#state.settings;
    if (model.badUntil > now || this.#state.restoredComing(now, model)) return undefined;
    let copies = this.#state.copies(now, model);
    if (copies.all > 0) {
      // Where many copies are ready, what waits waits for a place at one of them.
      if (copies.ready < copies.all || copies.all > 2 || !this.#waitsForModel(model))
        return undefined;
      if (now - model.waitingSince < despiteMs) return undefined;
      for (const held of model.holders.values())
        if (model.waitingReportedAt - held.since < despiteMs) return undefined;
      for (const held of model.holders.values()) held.suspectedUntil = now + despiteMs * 5;
      copies = this.#state.copies(now, model);
    }
    if (copies.all > 0) return undefined;
    model.unservedSince ??= now;
    const deprived = now - model.unservedSince;
    // A crowd goes before one who waits, whatever its rank: a step of priority weighs about as much as twice as many
    // who wait. And who is passed over for long gains rank.
    const level =
      model.priority -
      Math.floor(Math.log2(Math.max(1, model.waiting))) -
      Math.floor(deprived / rankMs);
    return {
      model,
      kind: 'waiting',
      level,
      since: model.unservedSince,
      gain:
        1 +
        Math.min(30, model.waiting) * 0.5 +
        (2 * deprived) / rankMs +
        this.#state.slowRate(now, model),
    };
  }

  /** Some request waits for the model itself, not for an adapter of it. */
  #waitsForModel(model: ModelState): boolean {
    let adapters = 0;
    for (const adapter of model.adapters.values()) adapters += Math.max(0, adapter.waiting);
    return model.waiting > adapters;
  }

  /** How many copies a model's work needs now, as a broken number. */
  #work(now: Moment, model: ModelState, { open, slots, spreadShare }: Capacity): number {
    const { fastMs, slotShare, growMs } = this.#state.settings;
    const all = model.service.all.weight(now, fastMs);
    // A few requests tell no share.
    const share = all >= 10 ? model.fast.weight(now, fastMs) / all : 0;
    model.runningMean +=
      (Math.max(0, model.running) - model.runningMean) * Math.min(1, growMs / 1000);
    const slotsOfRunner = slots / open;
    const byRunning = slotsOfRunner > 0 ? model.runningMean / (slotsOfRunner * slotShare) : 0;
    const byShare = share * open * spreadShare;
    // Where answers are slow much runs at once, and more copies than two beyond its share make nothing faster.
    return Math.min(
      open,
      Math.max(byShare, Math.min(byRunning, byShare + 2), this.#byAdapters(now, model, open)),
    );
  }

  /** Copies that a model's adapters need: those asked for within a few seconds should find slots at once. */
  #byAdapters(now: Moment, model: ModelState, open: number): number {
    const { slowMs, adapterWindowMs: adapterSpanMs } = this.#state.settings;
    const slots = model.service.engine.adapterSlots;
    if (!model.isBusy || model.adapters.size === 0 || slots <= 0) return 0;
    let asked = 0;
    for (const adapter of model.adapters.values())
      asked += Math.min(
        1,
        (adapter.slow.perSecond(now, slowMs, model.service.firstDemandAt ?? now) * adapterSpanMs) /
          1000,
      );
    return Math.min(open / 2, asked / (slots * 0.8));
  }

  #growWants(now: Moment, service: ServiceState, wants: ReplicaWant[]): void {
    const capacity = this.#capacityOf(service);
    if (capacity.open === 0) return;
    service.meanLoad = capacity.load / capacity.open;
    for (const model of service.models.values()) {
      if (!model.isListed || (now - model.lastRequestedAt > FORGOTTEN_MS && model.running <= 0)) {
        model.need = 1;
        model.isBusy = false;
        continue;
      }
      const most = this.#compare(now, model, capacity);
      const copies = this.#state.copies(now, model);
      if (copies.all === 0) this.#wantLast(now, model, capacity, wants);
      else this.#wantMore(now, model, copies, most, capacity, wants);
    }
  }

  #capacityOf(service: ServiceState): Capacity {
    const capacity: Capacity = {
      open: 0,
      slots: 0,
      mostFreeMb: 0,
      load: 0,
      spreadShare: spreadShareOf(service, this.#state.settings),
      zones: new Set(),
    };
    for (const runner of service.runners) {
      if (!this.#state.isOpen(runner)) continue;
      capacity.open += 1;
      capacity.slots += runner.listed.slots;
      capacity.zones.add(runner.listed.zone);
      capacity.load += this.#state.load(runner);
      if (runner.queue.length > 0) continue;
      const free = service.engine.capacityMb - this.#state.used(runner);
      capacity.mostFreeMb = Math.max(capacity.mostFreeMb, free);
    }
    return capacity;
  }

  /** Compares a model with its work, and returns how many copies that is worth now. */
  #compare(now: Moment, model: ModelState, capacity: Capacity): number {
    const { open } = capacity;
    const { slowMs, shrinkMs } = this.#state.settings;
    const work = this.#work(now, model, capacity);
    // It grows at once and shrinks slowly, or copies would come and go.
    const decayed = model.need * Math.exp(-(now - model.neededAt) / shrinkMs);
    const worked = Math.max(work, decayed);
    const becomesBusy =
      model.slow.weight(now, slowMs) >= 6 && (work >= 0.5 || this.#state.fastRate(now, model) >= 4);
    const staysBusy = model.isBusy && (worked >= 0.3 || this.#state.slowRate(now, model) >= 2);
    model.isBusy = becomesBusy || staysBusy;
    const least = model.isBusy ? 2 : 1;
    model.need = Math.min(open, Math.max(least, worked));
    model.neededAt = now;
    this.#endDeprivation(now, model);
    return Math.min(open, Math.max(least, work));
  }

  /** Nobody waits for it any more, and nobody has come back for it. */
  #endDeprivation(now: Moment, model: ModelState): void {
    if (model.waiting > 0 || model.unservedSince === undefined) return;
    if (now - model.lastRequestedAt <= LATELY_MS) return;
    model.unservedSince = undefined;
    this.#state.touched.add(model);
  }

  /** A model without any copy, for which nobody waits yet. */
  #wantLast(now: Moment, model: ModelState, capacity: Capacity, wants: ReplicaWant[]): void {
    if (model.waiting > 0 || this.#state.restoredComing(now, model)) return;
    if (this.#state.slowRate(now, model) < 0.05) return;
    const gain = this.#eviction.lossOfLast(now, model);
    // Lost, not thrown out: whoever asks next need not wait.
    if (model.isBusy) wants.push({ model, kind: 'lost', level: 0, since: 0, gain });
    else if (now - model.lastReplicaLostAt < LATELY_MS)
      wants.push({ model, kind: 'lost', level: 4, since: 0, gain });
    else if (capacity.mostFreeMb >= model.sizeMb)
      wants.push({ model, kind: 'spare', level: 5, since: 0, gain });
  }

  /** A model that has copies, but fewer than its work is worth, or all in one zone. */
  #wantMore(
    now: Moment,
    model: ModelState,
    copies: ReplicaCounts,
    most: number,
    capacity: Capacity,
    wants: ReplicaWant[],
  ): void {
    const missing = Math.max(0, most - copies.all);
    const isPaired = !model.isBusy || capacity.zones.size < 2 || copies.zones.size > 1;
    // Growth waits until half a copy is missing.
    if (missing < 0.5 && isPaired) return;
    const rate = this.#state.fastRate(now, model);
    const gain = (rate / (copies.all + 1)) * 0.3 * (isPaired ? Math.min(1, missing) : 1);
    const count = isPaired ? Math.min(3, Math.max(1, Math.round(missing))) : 1;
    const level = gain >= 3 ? 0.5 : 3;
    for (let index = 0; index < count; index += 1)
      wants.push({ model, kind: 'grow', level, since: 0, gain: gain / (index + 1) });
  }
}

function byLevel(a: ReplicaWant, b: ReplicaWant): number {
  return (
    a.level - b.level ||
    a.since - b.since ||
    b.gain - a.gain ||
    (a.model.key < b.model.key ? -1 : 1)
  );
}

import type { Moment } from '../common/Ids.js';
import type { Routing } from '../route/Routing.js';
import type { Intent, ServiceDoc } from './Shapes.js';
import type { PlannerSettings } from './PlannerSettings.js';
import {
  type HeldModel,
  type Order,
  type RunnerState,
  type OpenIntent,
  type ModelState,
  type ServiceState,
} from './PlannerRecords.js';

/**
 * What the planner knows at a moment: documents, services, runners and open orders, with the questions
 * that all its parts ask of them.
 */
export class PlacementState {
  readonly settings: PlannerSettings;
  readonly docs = new Map<string, ServiceDoc>();
  readonly services = new Map<string, ServiceState>();
  readonly runners = new Map<string, RunnerState>();
  /** Runners whose own report is wanted. */
  readonly suspected = new Set<RunnerState>();
  /** Runners with orders on their way. */
  readonly busy = new Set<RunnerState>();
  readonly ops = new Map<string, RunnerState>();
  /** Intents of an earlier leader, by runner, until that runner is known. */
  readonly restored = new Map<string, OpenIntent[]>();
  readonly changed = new Set<string>();
  /** Models whose copies changed: their documents are looked at again. */
  readonly touched = new Set<ModelState>();
  restoredAt = -Infinity;
  /** Somebody ordered before us: what runners hold is not as the list says for sure. */
  hasPast = false;
  routing: Routing | undefined;
  emptied: ReadonlySet<string> = new Set();
  flowCount = 0;
  hasListed = false;
  isFleetOld = true;
  blockedUntil = Infinity;
  /** Runners count orders that they need not do as well. */
  countsHeld = false;
  /** Documents of an earlier leader are still to be compared with what is there. */
  isSeatingAll = true;
  planNumber = 0;

  constructor(settings: PlannerSettings) {
    this.settings = settings;
  }

  /** Forgets all and begins from the documents; loads that they intend may be under way. */
  restore(now: Moment, docs: readonly ServiceDoc[]): void {
    this.docs.clear();
    this.services.clear();
    this.runners.clear();
    this.busy.clear();
    this.suspected.clear();
    this.ops.clear();
    this.restored.clear();
    this.changed.clear();
    this.touched.clear();
    this.routing = undefined;
    this.hasListed = false;
    this.isSeatingAll = true;
    this.isFleetOld = true;
    this.restoredAt = now;
    this.hasPast = docs.length > 0;
    for (const doc of docs) {
      this.docs.set(doc.model, doc);
      for (const intent of doc.intents) {
        const open = this.restored.get(intent.runner) ?? [];
        open.push({ key: doc.model, intent });
        this.restored.set(intent.runner, open);
      }
    }
  }

  unhold(runner: RunnerState, held: HeldModel): void {
    runner.holds.delete(held.model.name);
    held.model.holders.delete(runner);
    this.touch(runner, held.model);
  }

  touch(runner: RunnerState, model: ModelState): void {
    runner.usedMb = undefined;
    model.lossIn = -1;
    this.touched.add(model);
    this.isFleetOld = true;
  }

  touchAll(runner: RunnerState): void {
    this.isFleetOld = true;
    for (const held of runner.holds.values()) this.touched.add(held.model);
  }

  /** Copies on a runner that is to go are lost at once. */
  noteLost(now: number, runner: RunnerState): void {
    for (const held of runner.holds.values())
      if (this.copies(now, held.model).all === 0) held.model.lostAt = now;
  }

  dropRestored(id: string): void {
    const open = this.restored.get(id) ?? [];
    this.restored.delete(id);
    const runner = this.runners.get(id);
    if (runner) runner.restored = [];
    for (const { key, intent } of open) this.#dropIntent(key, intent.id);
    if (open.length > 0) this.isFleetOld = true;
  }

  #dropIntent(key: string, id: string): void {
    const doc = this.docs.get(key);
    if (doc) this.put({ ...doc, intents: doc.intents.filter(isOtherIntent.bind(undefined, id)) });
  }

  put(doc: ServiceDoc): void {
    this.docs.set(doc.model, doc);
    this.changed.add(doc.model);
  }

  /** What it holds is in doubt: no order goes there before its report has come. */
  suspect(now: Moment, runner: RunnerState): void {
    runner.isKnown = false;
    this.suspected.add(runner);
    runner.isAsked = false;
    runner.counted = runner.count;
    runner.count = undefined;
    runner.idleSince = now;
    runner.askAt = now + this.settings.reportLagMs;
  }

  removeOp(runner: RunnerState, op: Order): void {
    const index = runner.queue.indexOf(op);
    if (index >= 0) runner.queue.splice(index, 1);
    if (runner.given === op) runner.given = undefined;
    if (op.isStore) op.model.service.storeOps -= 1;
    this.ops.delete(op.intent.id);
    if (runner.queue.length === 0) this.busy.delete(runner);
    this.#dropIntent(op.key, op.intent.id);
    this.isFleetOld = true;
  }

  /** Serves on: neither leaving nor in a zone that is to be emptied. */
  isOpen(runner: RunnerState): boolean {
    return !runner.isLeaving && !this.emptied.has(runner.listed.zone);
  }

  /** May be ordered to take something. */
  isUsable(now: number, runner: RunnerState): boolean {
    if (!runner.isKnown || !this.isOpen(runner)) return false;
    if (runner.suspectUntil > now)
      this.blockedUntil = Math.min(this.blockedUntil, runner.suspectUntil);
    return runner.suspectUntil <= now;
  }

  /** Copies that count: ready ones, and all that serve or soon will. */
  copies(
    now: number,
    model: ModelState,
  ): { ready: number; all: number; zones: Map<string, number> } {
    let ready = 0;
    let all = 0;
    const zones = new Map<string, number>();
    for (const [runner, held] of model.holders) {
      if (held.phase === 'unloading' || held.suspectedUntil > now || !this.isOpen(runner)) continue;
      // What comes to a runner out of reach comes late, or not at all.
      if (held.phase === 'coming' && runner.suspectUntil > now) continue;
      all += 1;
      if (held.phase === 'ready') ready += 1;
      zones.set(runner.listed.zone, (zones.get(runner.listed.zone) ?? 0) + 1);
    }
    return { ready, all, zones };
  }

  restoredComing(now: Moment, model: ModelState): boolean {
    if (this.restored.size === 0 || now - this.restoredAt > 1500) return false;
    for (const open of this.restored.values()) {
      for (const { key, intent } of open)
        if (key === model.key && intent.verb === 'load' && intent.adapter === '') return true;
    }
    return false;
  }

  slowRate(now: number, model: ModelState): number {
    return model.slow.perSecond(now, this.settings.slowMs, model.service.firstDemandAt ?? now);
  }

  fastRate(now: number, model: ModelState): number {
    return model.fast.perSecond(now, this.settings.fastMs, model.service.firstDemandAt ?? now);
  }

  used(runner: RunnerState): number {
    if (runner.usedMb !== undefined) return runner.usedMb;
    let mb = 0;
    for (const held of runner.holds.values()) {
      if (held.phase === 'unloading') continue;
      mb += held.model.sizeMb;
      for (const adapter of held.adapters.values())
        if (adapter.phase !== 'unloading') mb += held.model.adapterMb;
    }
    runner.usedMb = mb;
    return mb;
  }

  adapterCount(runner: RunnerState): number {
    let count = 0;
    for (const held of runner.holds.values()) {
      if (held.phase === 'unloading') continue;
      for (const adapter of held.adapters.values()) if (adapter.phase !== 'unloading') count += 1;
    }
    return count;
  }

  /** The part of a runner's slots that runs now, as far as proxies tell by model. */
  load(runner: RunnerState): number {
    let running = 0;
    for (const held of runner.holds.values())
      if (held.phase === 'ready')
        running += Math.max(0, held.model.running) / Math.max(1, held.model.holders.size);
    return running / Math.max(1, runner.listed.slots);
  }

  adapterCopies(now: number, model: ModelState, name: string): number {
    let count = 0;
    for (const [runner, held] of model.holders) {
      if (held.phase === 'unloading' || held.suspectedUntil > now || !this.isOpen(runner)) continue;
      const adapter = held.adapters.get(name);
      if (
        !adapter ||
        adapter.phase === 'unloading' ||
        adapter.suspectedUntil > now ||
        (adapter.phase === 'coming' && runner.suspectUntil > now)
      )
        continue;
      count += 1;
    }
    return count;
  }
}

function isOtherIntent(id: string, intent: Intent): boolean {
  return intent.id !== id;
}

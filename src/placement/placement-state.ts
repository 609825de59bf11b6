import type { Moment } from '../common/ids.js';
import type { Routing } from '../route/routing.js';
import type { ServiceDoc } from './shapes.js';
import type { PlannerSettings } from './planner-settings.js';
import {
  type ReplicaCounts,
  type LoadedModel,
  type Order,
  type RunnerState,
  type OpenIntent,
  type ModelState,
  type ServiceState,
} from './planner-records.js';

/**
 * What the planner knows at a moment: documents, services, runners and open orders, with the questions
 * that all its parts ask of them.
 */
export class PlacementState {
  readonly settings: PlannerSettings;
  /** By the model's key. */
  readonly docs = new Map<string, ServiceDoc>();
  /** By name. */
  readonly services = new Map<string, ServiceState>();
  /** By id. */
  readonly runners = new Map<string, RunnerState>();
  /** Runners whose own report is wanted. */
  readonly suspected = new Set<RunnerState>();
  /** Runners with orders on their way. */
  readonly busy = new Set<RunnerState>();
  /** The runner that each open order goes to, by intent id. */
  readonly runnerOfOrder = new Map<string, RunnerState>();
  /** Intents of an earlier leader, by runner, until that runner is known. */
  readonly restored = new Map<string, OpenIntent[]>();
  /** Keys of documents to be stored. */
  readonly changed = new Set<string>();
  /** Models whose copies changed: their documents are looked at again. */
  readonly touched = new Set<ModelState>();
  /** When this leader began, ms. */
  restoredAt = -Infinity;
  /** Somebody ordered before us: what runners hold is not as the list says for sure. */
  hasPast = false;
  /** The operators' configuration as last taken in. */
  routing: Routing | undefined;
  /** Zones that operators evacuated. */
  evacuatedZones: ReadonlySet<string> = new Set();
  /** Proxies that share what holds over the whole fleet. */
  proxyCount = 0;
  /** The platform's list has come at least once. */
  hasListed = false;
  /** What the data plane was told last no longer holds. */
  isFleetStale = true;
  /** When what held a plan back is over, ms. */
  blockedUntil = Infinity;
  /** Runners count orders that they need not do as well. */
  countsLoadedModels = false;
  /** Documents of an earlier leader are still to be compared with what is there. */
  isRecordingAll = true;
  /** Counts plans; what is counted once a plan is remembered by it. */
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
    this.runnerOfOrder.clear();
    this.restored.clear();
    this.changed.clear();
    this.touched.clear();
    this.routing = undefined;
    this.hasListed = false;
    this.isRecordingAll = true;
    this.isFleetStale = true;
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

  /** A runner no longer holds a model. */
  unhold(runner: RunnerState, held: LoadedModel): void {
    runner.holds.delete(held.model.name);
    held.model.holders.delete(runner);
    this.touch(runner, held.model);
  }

  /** What a runner holds of a model has changed. */
  touch(runner: RunnerState, model: ModelState): void {
    runner.usedMb = undefined;
    model.lossIn = -1;
    this.touched.add(model);
    this.isFleetStale = true;
  }

  /** Whether a runner serves has changed, and so where all its models are served. */
  touchAll(runner: RunnerState): void {
    this.isFleetStale = true;
    for (const held of runner.holds.values()) this.touched.add(held.model);
  }

  /** Copies on a runner that is to go are lost at once. */
  noteLost(now: number, runner: RunnerState): void {
    for (const held of runner.holds.values())
      if (this.copies(now, held.model).all === 0) held.model.lastReplicaLostAt = now;
  }

  /** An earlier leader's intents for a runner are settled. */
  dropRestored(id: string): void {
    const open = this.restored.get(id) ?? [];
    this.restored.delete(id);
    const runner = this.runners.get(id);
    if (runner) runner.restored = [];
    for (const { key, intent } of open) this.#dropIntent(key, intent.id);
    if (open.length > 0) this.isFleetStale = true;
  }

  #dropIntent(key: string, id: string): void {
    const doc = this.docs.get(key);
    if (doc) this.put({ ...doc, intents: doc.intents.filter((intent) => intent.id !== id) });
  }

  /** Changes a document; it is to be stored. */
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

  /** An order is over, whatever became of it: its intent goes from the document. */
  removeOp(runner: RunnerState, op: Order): void {
    const index = runner.queue.indexOf(op);
    if (index >= 0) runner.queue.splice(index, 1);
    if (runner.given === op) runner.given = undefined;
    if (op.isStore) op.model.service.storeOps -= 1;
    this.runnerOfOrder.delete(op.intent.id);
    if (runner.queue.length === 0) this.busy.delete(runner);
    this.#dropIntent(op.key, op.intent.id);
    this.isFleetStale = true;
  }

  /** Serves on: neither leaving nor in a zone that is to be emptied. */
  isOpen(runner: RunnerState): boolean {
    return !runner.isLeaving && !this.evacuatedZones.has(runner.listed.zone);
  }

  /** May be ordered to take something. */
  isUsable(now: number, runner: RunnerState): boolean {
    if (!runner.isKnown || !this.isOpen(runner)) return false;
    if (runner.suspectUntil > now)
      this.blockedUntil = Math.min(this.blockedUntil, runner.suspectUntil);
    return runner.suspectUntil <= now;
  }

  /** Copies that count: ready ones, and all that serve or soon will. */
  copies(now: number, model: ModelState): ReplicaCounts {
    const copies: ReplicaCounts = { ready: 0, all: 0, zones: new Map() };
    for (const [runner, held] of model.holders) {
      if (held.phase === 'unloading' || held.suspectedUntil > now || !this.isOpen(runner)) continue;
      // What comes to a runner out of reach comes late, or not at all.
      if (held.phase === 'coming' && runner.suspectUntil > now) continue;
      copies.all += 1;
      if (held.phase === 'ready') copies.ready += 1;
      const { zone } = runner.listed;
      copies.zones.set(zone, (copies.zones.get(zone) ?? 0) + 1);
    }
    return copies;
  }

  /** Whether an earlier leader may just have ordered a copy of the model. */
  restoredComing(now: Moment, model: ModelState): boolean {
    if (this.restored.size === 0 || now - this.restoredAt > 1500) return false;
    for (const open of this.restored.values()) {
      for (const { key, intent } of open)
        if (key === model.key && intent.verb === 'load' && intent.adapter === '') return true;
    }
    return false;
  }

  /** Requests a second for a model, remembered for long. */
  slowRate(now: number, model: ModelState): number {
    return model.slow.perSecond(now, this.settings.slowMs, model.service.firstDemandAt ?? now);
  }

  /** Requests a second for a model in the last moments. */
  fastRate(now: number, model: ModelState): number {
    return model.fast.perSecond(now, this.settings.fastMs, model.service.firstDemandAt ?? now);
  }

  /** Room taken at a runner, MB, with what is on its way and without what is going. */
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

  /** Adapter slots taken at a runner. */
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

  /** Copies of an adapter that serve or soon will. */
  adapterReplicas(now: number, model: ModelState, name: string): number {
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

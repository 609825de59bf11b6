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
 * The planner's state, shared by its parts: documents, services, runners and open orders, with the queries that several
 * parts need.
 */
export class PlacementState {
  readonly settings: PlannerSettings;
  /** The models' documents by `ModelState.key`. */
  readonly docs = new Map<string, ServiceDoc>();
  /** Services by name. */
  readonly services = new Map<string, ServiceState>();
  /** Runners by id. */
  readonly runners = new Map<string, RunnerState>();
  /** Runners whose own report is needed. */
  readonly runnersNeedingReport = new Set<RunnerState>();
  /** Runners with open orders. */
  readonly runnersWithOrders = new Set<RunnerState>();
  /** The runner of each open order, by intent id. */
  readonly runnerByIntent = new Map<string, RunnerState>();
  /** Intents of an earlier leader by runner id, until the models of that runner are known. */
  readonly restoredIntents = new Map<string, OpenIntent[]>();
  /** Keys of documents to be stored. */
  readonly changedDocKeys = new Set<string>();
  /** Models whose replicas changed: their documents are to be updated. */
  readonly modelsToRecord = new Set<ModelState>();
  /** When this leader's term began, ms. */
  restoredAt = -Infinity;
  /** An earlier leader sent orders: the runners' models may differ from the platform's list. */
  hasEarlierDocs = false;
  /** The operators' configuration as last applied. */
  routing: Routing | undefined;
  /** Zones that operators evacuated. */
  evacuatedZones: ReadonlySet<string> = new Set();
  /** The number of proxies that share fleet-wide budgets. */
  proxyCount = 0;
  /** The platform's list has arrived at least once. */
  hasRunnerList = false;
  /** The fleet last published to the data plane is out of date. */
  isFleetStale = true;
  /** The earliest time at which a condition that blocked a step of the last plan ends, ms. */
  blockedUntil = Infinity;
  /** Whether runners also count orders without effect. */
  countsNoopOrders = false;
  /** Documents of an earlier leader have not been compared with the actual replicas yet. */
  isRecordingAll = true;
  /** The number of the current plan; values computed once per plan are cached with it. */
  planNumber = 0;

  constructor(settings: PlannerSettings) {
    this.settings = settings;
  }

  /** Resets the state to the stored documents, as a new leader does; the loads that they intend may be running. */
  restore(now: Moment, docs: readonly ServiceDoc[]): void {
    this.docs.clear();
    this.services.clear();
    this.runners.clear();
    this.runnersWithOrders.clear();
    this.runnersNeedingReport.clear();
    this.runnerByIntent.clear();
    this.restoredIntents.clear();
    this.changedDocKeys.clear();
    this.modelsToRecord.clear();
    this.routing = undefined;
    this.hasRunnerList = false;
    this.isRecordingAll = true;
    this.isFleetStale = true;
    this.restoredAt = now;
    this.hasEarlierDocs = docs.length > 0;
    for (const doc of docs) {
      this.docs.set(doc.model, doc);
      for (const intent of doc.intents) {
        const openIntents = this.restoredIntents.get(intent.runner) ?? [];
        openIntents.push({ docKey: doc.model, intent });
        this.restoredIntents.set(intent.runner, openIntents);
      }
    }
  }

  /** Removes a model from a runner. */
  removeHold(runner: RunnerState, loadedModel: LoadedModel): void {
    runner.holds.delete(loadedModel.model.name);
    loadedModel.model.holders.delete(runner);
    this.onHoldChanged(runner, loadedModel.model);
  }

  /** A model or an adapter of it changed at a runner: cached values are dropped, and the model is recorded anew. */
  onHoldChanged(runner: RunnerState, model: ModelState): void {
    runner.usedMb = undefined;
    model.lossPlanNumber = -1;
    this.modelsToRecord.add(model);
    this.isFleetStale = true;
  }

  /** The runner's availability changed, and with it the placements of all its models. */
  onRunnerAvailabilityChanged(runner: RunnerState): void {
    this.isFleetStale = true;
    for (const loadedModel of runner.holds.values()) this.modelsToRecord.add(loadedModel.model);
  }

  /**
   * Sets `lastReplicaLostAt` of the runner's models that have no replica left in service, here or elsewhere. Called
   * after a change of the runner's `isLeaving` or of the evacuated zones.
   */
  noteLostReplicas(now: number, runner: RunnerState): void {
    for (const loadedModel of runner.holds.values())
      if (this.replicaCounts(now, loadedModel.model).all === 0)
        loadedModel.model.lastReplicaLostAt = now;
  }

  /** Removes an earlier leader's intents for a runner, once they are settled. */
  dropRestoredIntents(id: string): void {
    const openIntents = this.restoredIntents.get(id) ?? [];
    this.restoredIntents.delete(id);
    const runner = this.runners.get(id);
    if (runner) runner.restoredIntents = [];
    for (const { docKey: key, intent } of openIntents) this.#dropIntent(key, intent.id);
    if (openIntents.length > 0) this.isFleetStale = true;
  }

  #dropIntent(key: string, id: string): void {
    const doc = this.docs.get(key);
    if (doc) this.put({ ...doc, intents: doc.intents.filter((intent) => intent.id !== id) });
  }

  /** Replaces a document and marks it to be stored. */
  put(doc: ServiceDoc): void {
    this.docs.set(doc.model, doc);
    this.changedDocKeys.add(doc.model);
  }

  /** The runner's models are uncertain: it gets no orders until its report has arrived. */
  requireReport(now: Moment, runner: RunnerState): void {
    runner.areHoldsKnown = false;
    this.runnersNeedingReport.add(runner);
    runner.isReportRequested = false;
    runner.lastOrderCount = runner.orderCount;
    runner.orderCount = undefined;
    runner.idleSince = now;
    runner.reportDueAt = now + this.settings.reportLagMs;
  }

  /** Removes an order that ended, with whatever outcome, and its intent from the document. */
  removeOrder(runner: RunnerState, order: Order): void {
    const index = runner.queue.indexOf(order);
    if (index >= 0) runner.queue.splice(index, 1);
    if (runner.sentOrder === order) runner.sentOrder = undefined;
    if (order.isStoreLoad) order.model.service.pendingStoreLoads -= 1;
    this.runnerByIntent.delete(order.intent.id);
    if (runner.queue.length === 0) this.runnersWithOrders.delete(runner);
    this.#dropIntent(order.docKey, order.intent.id);
    this.isFleetStale = true;
  }

  /** Whether the runner stays in service: neither leaving nor in an evacuated zone. */
  isInService(runner: RunnerState): boolean {
    return !runner.isLeaving && !this.evacuatedZones.has(runner.listed.zone);
  }

  /** Whether the runner may be ordered to load something. */
  isUsable(now: number, runner: RunnerState): boolean {
    if (!runner.areHoldsKnown || !this.isInService(runner)) return false;
    if (runner.suspectUntil > now)
      this.blockedUntil = Math.min(this.blockedUntil, runner.suspectUntil);
    return runner.suspectUntil <= now;
  }

  /** Counts a model's replicas that serve or soon will, without suspected ones. */
  replicaCounts(now: number, model: ModelState): ReplicaCounts {
    const counts: ReplicaCounts = { ready: 0, all: 0, zones: new Map() };
    for (const [runner, loadedModel] of model.holders) {
      if (
        loadedModel.phase === 'unloading' ||
        loadedModel.suspectedUntil > now ||
        !this.isInService(runner)
      )
        continue;
      // A load at an unreachable runner ends late, or never.
      if (loadedModel.phase === 'coming' && runner.suspectUntil > now) continue;
      counts.all += 1;
      if (loadedModel.phase === 'ready') counts.ready += 1;
      const { zone } = runner.listed;
      counts.zones.set(zone, (counts.zones.get(zone) ?? 0) + 1);
    }
    return counts;
  }

  /** Whether an earlier leader may have ordered a load of the model shortly before this term. */
  hasRestoredLoad(now: Moment, model: ModelState): boolean {
    if (this.restoredIntents.size === 0 || now - this.restoredAt > 1500) return false;
    for (const openIntents of this.restoredIntents.values()) {
      for (const { docKey: key, intent } of openIntents)
        if (key === model.key && intent.verb === 'load' && intent.adapter === '') return true;
    }
    return false;
  }

  /** Requests per second for a model, averaged over `slowMs`. */
  slowRate(now: number, model: ModelState): number {
    return model.slowRate.perSecond(now, this.settings.slowMs, model.service.firstDemandAt ?? now);
  }

  /** Requests per second for a model, averaged over `fastMs`. */
  fastRate(now: number, model: ModelState): number {
    return model.fastRate.perSecond(now, this.settings.fastMs, model.service.firstDemandAt ?? now);
  }

  /** Memory used at a runner, MB, including loads in progress and without unloads in progress. */
  usedMb(runner: RunnerState): number {
    if (runner.usedMb !== undefined) return runner.usedMb;
    let usedMb = 0;
    for (const loadedModel of runner.holds.values()) {
      if (loadedModel.phase === 'unloading') continue;
      usedMb += loadedModel.model.sizeMb;
      for (const adapter of loadedModel.adapters.values())
        if (adapter.phase !== 'unloading') usedMb += loadedModel.model.adapterMb;
    }
    runner.usedMb = usedMb;
    return usedMb;
  }

  /** The number of adapter slots used at a runner. */
  adapterCount(runner: RunnerState): number {
    let count = 0;
    for (const loadedModel of runner.holds.values()) {
      if (loadedModel.phase === 'unloading') continue;
      for (const adapter of loadedModel.adapters.values())
        if (adapter.phase !== 'unloading') count += 1;
    }
    return count;
  }

  /** The share of a runner's slots in use, estimated from the running requests that proxies report by model. */
  slotUtilization(runner: RunnerState): number {
    let running = 0;
    for (const loadedModel of runner.holds.values())
      if (loadedModel.phase === 'ready')
        running +=
          Math.max(0, loadedModel.model.running) / Math.max(1, loadedModel.model.holders.size);
    return running / Math.max(1, runner.listed.slots);
  }

  /** The number of an adapter's replicas that serve or soon will. */
  adapterReplicas(now: number, model: ModelState, name: string): number {
    let count = 0;
    for (const [runner, loadedModel] of model.holders) {
      if (
        loadedModel.phase === 'unloading' ||
        loadedModel.suspectedUntil > now ||
        !this.isInService(runner)
      )
        continue;
      const adapter = loadedModel.adapters.get(name);
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

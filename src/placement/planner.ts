import { later, moment, type Moment } from '../common/ids.js';
import { AdapterChoice } from './adapter-choice.js';
import { ReplicaChoice } from './replica-choice.js';
import { ReplicaDemand } from './replica-demand.js';
import { DemandTable } from './demand-table.js';
import { Eviction } from './eviction.js';
import type { Fleet, FleetDemand, ListedRunner, RunnerStatus } from './fleet.js';
import { FleetReport } from './fleet-report.js';
import { OrderQueue } from './order-queue.js';
import { PlacementState } from './placement-state.js';
import { PlannerConfiguration } from './planner-configuration.js';
import type { ServiceState } from './planner-records.js';
import {
  PLANNER_DEFAULTS,
  type OrderOutcome,
  type PlannerInput,
  type PlannerSettings,
} from './planner-settings.js';
import { RunnerInventory } from './runner-inventory.js';
import { PlacementRecorder } from './placement-recorder.js';
import type { Intent, ServiceDoc } from './shapes.js';
import { StoreRateLimit } from './store-rate-limit.js';

export type { OrderOutcome, PlannerInput, PlannerSettings } from './planner-settings.js';

/**
 * Decides for the elected leader which runner of a service of many models holds which model and adapter.
 *
 * A runner's models change only by this leader's orders, so their outcomes are authoritative; the platform's list and a
 * runner's own report are used only if they were certainly made after the last order had ended. Every order is written
 * as an intent into a document first, and sent once that is stored by a majority.
 *
 * A facade: it passes events on to the part in charge of them, and plans by calling the parts in turn.
 */
export class Planner {
  readonly #state: PlacementState;
  readonly #demand: DemandTable;
  readonly #inventory: RunnerInventory;
  readonly #configuration: PlannerConfiguration;
  readonly #orders: OrderQueue;
  readonly #replicaDemand: ReplicaDemand;
  readonly #replicaChoice: ReplicaChoice;
  readonly #adapterChoice: AdapterChoice;
  readonly #recorder: PlacementRecorder;
  readonly #fleetReport: FleetReport;

  constructor(settings: Partial<PlannerSettings> = {}) {
    const state = new PlacementState({ ...PLANNER_DEFAULTS, ...settings });
    const store = new StoreRateLimit(state);
    const eviction = new Eviction(state);
    this.#state = state;
    this.#demand = new DemandTable(state);
    this.#inventory = new RunnerInventory(state);
    this.#configuration = new PlannerConfiguration(state, this.#demand, this.#inventory, store);
    this.#orders = new OrderQueue(state, store);
    this.#replicaDemand = new ReplicaDemand(state, eviction);
    this.#fleetReport = new FleetReport(state);
    this.#replicaChoice = new ReplicaChoice(
      state,
      eviction,
      this.#fleetReport,
      this.#orders,
      store,
    );
    this.#adapterChoice = new AdapterChoice(state, eviction, this.#fleetReport, this.#orders);
    this.#recorder = new PlacementRecorder(state);
  }

  /**
   * Starts a term as leader from the stored documents; an earlier leader's intents in them may be executing. `label` is
   * the prefix of this term's intent ids, unique to this leader.
   */
  restore(now: Moment, docs: readonly ServiceDoc[], label: string): void {
    this.#state.restore(now, docs);
    this.#demand.clear();
    this.#orders.startTerm(label);
  }

  /** All documents in their present state. */
  docs(): readonly ServiceDoc[] {
    return [...this.#state.docs.values()];
  }

  /** Applies a proxy's report: arrivals since its previous report, and its current waiting and running requests. */
  onDemand(now: Moment, report: FleetDemand): void {
    this.#demand.onDemand(now, report);
  }

  /**
   * Applies the platform's list: the runners on it at once, their models only if no order can have changed them since
   * the list was made.
   */
  onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    this.#inventory.onRunnerList(now, runners);
  }

  /** Applies a runner's own report, requested at `requestedAt`; `report` is undefined if the request failed. */
  onRunnerStatus(
    now: Moment,
    id: string,
    requestedAt: Moment,
    report: RunnerStatus | undefined,
  ): void {
    this.#inventory.onRunnerStatus(now, id, requestedAt, report);
  }

  /** The runners whose report must be requested now; each is returned again only after `onRunnerStatus`. */
  takeDueReportRequests(now: Moment): readonly string[] {
    return this.#inventory.takeDueReportRequests(now);
  }

  /** These intents are stored by a majority: their orders may be sent. */
  markPersisted(intentIds: Iterable<string>): void {
    this.#orders.markPersisted(intentIds);
  }

  /** Stored intents that are due, marked as sent; each is returned again only after its outcome was reported. */
  takeDueOrders(now: Moment): readonly Intent[] {
    return this.#orders.takeDueOrders(now);
  }

  /** The outcome of a sent order. */
  onOrderOutcome(now: Moment, intentId: string, outcome: OrderOutcome): void {
    this.#orders.onOrderOutcome(now, intentId, outcome);
  }

  /** Runs one plan and returns the keys of the documents that changed. */
  plan(now: Moment, input: PlannerInput): readonly string[] {
    const state = this.#state;
    this.#configuration.apply(now, input);
    this.#demand.expire(now);
    state.planNumber += 1;
    state.blockedUntil = Infinity;
    this.#fleetReport.beginPlan();
    if (state.isRecordingAll) this.#recorder.recordAll();
    for (const runner of state.runnersWithOrders)
      if (!state.isInService(runner)) this.#orders.dropUnsentOrders(runner);
    for (const service of state.services.values()) this.#planService(now, service);
    for (const model of state.modelsToRecord) this.#recorder.record(model);
    state.modelsToRecord.clear();
    this.#fleetReport.updateWaits();
    const changed = [...state.changedDocKeys];
    state.changedDocKeys.clear();
    return changed;
  }

  #planService(now: Moment, service: ServiceState): void {
    this.#demand.dropServedModels(service);
    this.#replicaChoice.placeAll(now, service, this.#replicaDemand.desiredReplicas(now, service));
    this.#adapterChoice.placeAdapters(now, service);
  }

  /** The current fleet for the data plane; the same object until an event changes it. */
  fleet(now: Moment): Fleet {
    return this.#fleetReport.fleet(now);
  }

  /** When to plan or send orders again if no event occurs before; undefined if that is not needed. */
  nextPlanAt(now: Moment): Moment | undefined {
    const state = this.#state;
    if (state.changedDocKeys.size > 0 || state.modelsToRecord.size > 0) return now;
    let next = state.blockedUntil;
    for (const runner of state.runnersWithOrders) {
      const first = runner.queue[0];
      if (!first || runner.sentOrder) continue;
      if (first.isPersisted) next = Math.min(next, first.dueAt);
    }
    for (const runner of state.runnersNeedingReport) {
      if (!runner.isReportRequested && runner.queue.length === 0 && state.isInService(runner))
        next = Math.min(next, runner.reportDueAt);
    }
    if (next === Infinity) return undefined;
    return next <= now ? later(now, 1) : moment(next);
  }
}

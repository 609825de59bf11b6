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
 * What a runner holds changes by our orders alone, so their outcomes are the truth; the platform's list and the
 * runner's own report are believed only where they were surely made after the last order had ended.
 * Every order is an intent in a document first, and is given once it is kept.
 *
 * A facade: it passes what it is told on to the part that keeps it, and plans by asking the parts in turn.
 */
export class Planner {
  readonly #state: PlacementState;
  readonly #demand: DemandTable;
  readonly #inventory: RunnerInventory;
  readonly #configuration: PlannerConfiguration;
  readonly #orders: OrderQueue;
  readonly #wants: ReplicaDemand;
  readonly #copies: ReplicaChoice;
  readonly #adapters: AdapterChoice;
  readonly #seats: PlacementRecorder;
  readonly #report: FleetReport;

  constructor(settings: Partial<PlannerSettings> = {}) {
    const state = new PlacementState({ ...PLANNER_DEFAULTS, ...settings });
    const store = new StoreRateLimit(state);
    const eviction = new Eviction(state);
    this.#state = state;
    this.#demand = new DemandTable(state);
    this.#inventory = new RunnerInventory(state);
    this.#configuration = new PlannerConfiguration(state, this.#demand, this.#inventory, store);
    this.#orders = new OrderQueue(state, store);
    this.#wants = new ReplicaDemand(state, eviction);
    this.#report = new FleetReport(state);
    this.#copies = new ReplicaChoice(state, eviction, this.#report, this.#orders, store);
    this.#adapters = new AdapterChoice(state, eviction, this.#report, this.#orders);
    this.#seats = new PlacementRecorder(state);
  }

  /**
   * A new leader begins from the documents: what an earlier one intended may be under way.
   * `label` begins the ids of its own intents, and is no other leader's.
   */
  restore(now: Moment, docs: readonly ServiceDoc[], label: string): void {
    this.#state.restore(now, docs);
    this.#demand.clear();
    this.#orders.begin(label);
  }

  /** All documents, as they are to be stored. */
  docs(): readonly ServiceDoc[] {
    return [...this.#state.docs.values()];
  }

  /** What one proxy saw since its last word; what waits and runs there is told whole each time. */
  demand(now: Moment, report: FleetDemand): void {
    this.#demand.demand(now, report);
  }

  /** The platform's list: who is there is believed at once, what they hold only where no order could have changed it since. */
  list(now: Moment, runners: readonly ListedRunner[]): void {
    this.#inventory.list(now, runners);
  }

  /** A runner's own report, asked for at `askedAt`; nothing where it could not be had. */
  status(now: Moment, id: string, askedAt: Moment, status: RunnerStatus | undefined): void {
    this.#inventory.status(now, id, askedAt, status);
  }

  /** The runners whose own report is wanted now; each is named once until its report is told. */
  asks(now: Moment): readonly string[] {
    return this.#inventory.asks(now);
  }

  /** These intents are stored by a majority, and may be ordered. */
  kept(intentIds: Iterable<string>): void {
    this.#orders.kept(intentIds);
  }

  /** Kept intents that are due; each is given once until its outcome is told. */
  orders(now: Moment): readonly Intent[] {
    return this.#orders.orders(now);
  }

  /** What became of an order that was given. */
  ordered(now: Moment, intentId: string, outcome: OrderOutcome): void {
    this.#orders.ordered(now, intentId, outcome);
  }

  /** Plans once and returns the models whose documents changed. */
  plan(now: Moment, input: PlannerInput): readonly string[] {
    const state = this.#state;
    this.#configuration.take(now, input);
    this.#demand.expire(now);
    state.planNumber += 1;
    state.blockedUntil = Infinity;
    this.#report.beginPlan();
    if (state.isRecordingAll) this.#seats.recordAll();
    for (const runner of state.busy) if (!state.isOpen(runner)) this.#orders.dropUnsent(runner);
    for (const service of state.services.values()) this.#planService(now, service);
    for (const model of state.touched) this.#seats.record(model);
    state.touched.clear();
    this.#report.reportWaits();
    const changed = [...state.changed];
    state.changed.clear();
    return changed;
  }

  #planService(now: Moment, service: ServiceState): void {
    this.#demand.dropServed(service);
    this.#copies.placeAll(now, service, this.#wants.wantsOf(now, service));
    this.#adapters.placeAdapters(now, service);
  }

  /** What the data plane is told; the same until something happens, so that time alone makes no news. */
  fleet(now: Moment): Fleet {
    return this.#report.fleet(now);
  }

  /** When it is worth planning or ordering again without any news. */
  nextAt(now: Moment): Moment | undefined {
    const state = this.#state;
    if (state.changed.size > 0 || state.touched.size > 0) return now;
    let next = state.blockedUntil;
    for (const runner of state.busy) {
      const head = runner.queue[0];
      if (!head || runner.given) continue;
      if (head.isPersisted) next = Math.min(next, head.due);
    }
    for (const runner of state.suspected) {
      if (!runner.isAsked && runner.queue.length === 0 && state.isOpen(runner))
        next = Math.min(next, runner.askAt);
    }
    if (next === Infinity) return undefined;
    return next <= now ? later(now, 1) : moment(next);
  }
}

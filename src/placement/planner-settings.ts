import type { Routing } from '../route/routing.js';

/** The planner's settings. Durations are in milliseconds on the leader's monotonic clock. */
export interface PlannerSettings {
  /** How old the platform's list is, and by how much its age may exceed that. */
  readonly lagMs: number;
  readonly lagSlackMs: number;
  /**
   * The window over which the store limits the rate of loads, and the factor by which the limit may be exceeded there.
   */
  readonly capWindowMs: number;
  readonly capExcess: number;
  /** How old a runner's own report may be. */
  readonly reportLagMs: number;
  /** How long a model stays once it is ready, and how long an adapter does. */
  readonly minResidencyMs: number;
  readonly adapterStayMs: number;
  /** Time constants of the two request rates: the fast one adds replicas, the slow one retains them. */
  readonly fastMs: number;
  readonly slowMs: number;
  /** The interval at which replicas are compared with demand. */
  readonly growMs: number;
  /** Time constant with which the number of replicas that a model needs decays. */
  readonly shrinkMs: number;
  /**
   * The share of all runners over which models are spread by their share of requests if loads are fast
   * (`spreadShareOf`), and the target utilization of a runner's slots, as a fraction.
   */
  readonly spreadShare: number;
  readonly slotShare: number;
  /** By which factor the worth of a further replica must exceed the loss of what is evicted for it. */
  readonly worthRatio: number;
  /** The waiting time that improves a model's rank by one. */
  readonly rankMs: number;
  /** The initial estimate of an adapter's load time. */
  readonly adapterMs: number;
  /** After this waiting time a model's document shows it as waiting. */
  readonly waitReportIntervalMs: number;
  /** How long an unload may wait for the model's running requests. */
  readonly unloadMs: number;
  /** How long a proxy's last report counts. */
  readonly demandTtlMs: number;
  /** If requests wait at the proxies for this long though a replica is ready, the replica does not serve. */
  readonly despiteMs: number;
  /** The window within which a repeated request for an adapter should find it still loaded. */
  readonly adapterWindowMs: number;
  /** The loss, in requests, of evicting a replica that a busy model needs. */
  readonly neededLoss: number;
  /** How long runners are reserved for an urgently needed replica. */
  readonly pressMs: number;
}

/** The default settings. */
export const PLANNER_DEFAULTS: PlannerSettings = {
  lagMs: 800,
  lagSlackMs: 1000,
  capWindowMs: 5000,
  capExcess: 1.1,
  reportLagMs: 400,
  minResidencyMs: 2000,
  adapterStayMs: 500,
  fastMs: 1000,
  slowMs: 12_000,
  growMs: 200,
  shrinkMs: 3000,
  spreadShare: 0.8,
  slotShare: 0.35,
  worthRatio: 2,
  rankMs: 3000,
  adapterMs: 15,
  waitReportIntervalMs: 1000,
  unloadMs: 3000,
  demandTtlMs: 3000,
  despiteMs: 700,
  pressMs: 1200,
  neededLoss: 4,
  adapterWindowMs: 3000,
};

/** The input of a plan, beside the runners' models and the proxies' demand. */
export interface PlannerInput {
  /** The operators' routes and services; undefined before the first configuration. */
  readonly routing: Routing | undefined;
  /** Zones that operators evacuated. */
  readonly evacuatedZones: readonly string[];
  /** The number of proxies that share fleet-wide budgets. */
  readonly proxies: number;
}

/**
 * The outcome of an order. `taken`: the runner is executing it; `held`: it had no effect, since its result already
 * holds; `busy`: another order is running, or the order count differs; `refused`: the runner rejected it; `unsure`: it
 * may have arrived; `unsent`: it certainly did not arrive.
 */
export type OrderOutcome = 'taken' | 'held' | 'busy' | 'refused' | 'unsure' | 'unsent';

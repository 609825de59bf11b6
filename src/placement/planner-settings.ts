import type { Routing } from '../route/routing.js';

/** What bounds and paces the planner's decisions. Spans are in milliseconds on the leader's monotonic clock. */
export interface PlannerSettings {
  /** How old the platform's list is, and how much older it may be at worst. */
  readonly lagMs: number;
  readonly lagSlackMs: number;
  /** The span over which loads from the store are counted, and what the ceiling may be exceeded by there. */
  readonly capWindowMs: number;
  readonly capExcess: number;
  /** How old a runner's own report may be. */
  readonly reportLagMs: number;
  /** How long a model stays once it is ready, and an adapter. */
  readonly minResidencyMs: number;
  readonly adapterStayMs: number;
  /** Spans of the two rates: the fast one lets copies grow, the slow one keeps them. */
  readonly fastMs: number;
  readonly slowMs: number;
  /** How often copies are compared with demand. */
  readonly growMs: number;
  /** How slowly a model's need is forgotten. */
  readonly shrinkMs: number;
  /**
   * The part of all runners that goes to models by their share of work where loads are quick (`spreadShareOf`), and the
   * part of a runner's slots to be taken.
   */
  readonly spreadShare: number;
  readonly slotShare: number;
  /** How many times more a further copy must be worth than what makes way for it. */
  readonly worthRatio: number;
  /** How long somebody waits for one rank. */
  readonly rankMs: number;
  /** The first guess of how long an adapter takes. */
  readonly adapterMs: number;
  /** Who waits longer than this stands in its document as waiting. */
  readonly waitReportIntervalMs: number;
  /** How long an unload may wait for the model's runs. */
  readonly unloadMs: number;
  /** How long a proxy's last word counts. */
  readonly demandTtlMs: number;
  /** Waiting for so long at the proxies though a copy is ready means that the copy does not serve. */
  readonly despiteMs: number;
  /** The span within which what is asked for again should still find its adapter. */
  readonly adapterWindowMs: number;
  /** What it costs to fetch a copy again that a busy model needs. */
  readonly neededLoss: number;
  /** How long runners are left to a copy that presses. */
  readonly pressMs: number;
}

/** The values that a deployment gets unless it names others. */
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

/** What a plan is made from, beside what runners hold and proxies ask for. */
export interface PlannerInput {
  /** The operators' routes and services, once there are any. */
  readonly routing: Routing | undefined;
  /** Zones that operators evacuated. */
  readonly evacuatedZones: readonly string[];
  /** Proxies that share what holds over the whole fleet. */
  readonly proxies: number;
}

/**
 * What became of an order. `taken`: the runner does it now; `held`: nothing was to be done; `busy`: another order
 * is under way or the count differs; `refused`: the runner will not do it; `unsure`: it may have arrived;
 * `unsent`: it surely did not.
 */
export type OrderOutcome = 'taken' | 'held' | 'busy' | 'refused' | 'unsure' | 'unsent';

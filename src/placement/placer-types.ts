import type { Moment } from '../common/ids.js';
import type { Table } from '../policy/table.js';
import type { Catalog, Machine, RunnerReport } from './shapes.js';

/** A runner as last seen: its entry in the platform's list and its own report, if it returned one. */
export interface RunnerView {
  readonly machine: Machine;
  readonly report: RunnerReport | undefined;
  /** When this report was requested, on the local clock. */
  readonly requestedAt: Moment;
  readonly isReachable: boolean;
  /** Not reachable for so long that its placements are removed. */
  readonly isPresumedLost: boolean;
}

/** The input of a plan of `Placer`, which places by the policy table; `Planner` has another one, `PlannerInput`. */
export interface PlanInput {
  readonly table: Table;
  readonly catalog: Catalog;
  readonly runners: readonly RunnerView[];
  readonly evacuatedZones: readonly string[];
}

/** The placer's settings; durations are in ms. */
export interface PlacerSettings {
  readonly demandWindowMs: number;
  /** Requests per second below which a model counts as idle. */
  readonly idleRate: number;
  /** By which factor a new model's worth (`DesiredModel.worth`) must exceed that of the model evicted for it. */
  readonly worthRatio: number;
  /** How long an unplaced model stays loaded, so that every proxy has received the change. */
  readonly unloadDelayMs: number;
  /** How long a model stays after it was fetched. */
  readonly minResidencyMs: number;
}

/** The default settings. */
export const PLACER_DEFAULTS: PlacerSettings = {
  demandWindowMs: 20_000,
  idleRate: 0.05,
  worthRatio: 2,
  unloadDelayMs: 3500,
  minResidencyMs: 10_000,
};

/** A model that matches a row of the policy table with a positive weight. */
export interface DesiredModel {
  readonly model: string;
  /** Memory that it needs, in the unit of the `Catalog` and of a runner's `room`. */
  readonly size: number;
  readonly weight: number;
  /** Requests per second. */
  readonly rate: number;
  /** Weight multiplied by rate, raised after a long wait; the cost of an eviction is the worth that it loses. */
  readonly worth: number;
}

/** The role of a runner at which a model is placed: the primary, or the understudy, a standby in another zone. */
export type PlacementRole = 'primary' | 'understudy';

/** The key of a model, or of one of its adapters if `adapter` is not empty. */
export function unitKey(model: string, adapter: string): string {
  return `${model}\n${adapter}`;
}

/** The key of a hold: a model at a runner that has loaded it, or is loading or unloading it. */
export function holdKey(runner: string, model: string): string {
  return `${runner}\n${model}`;
}

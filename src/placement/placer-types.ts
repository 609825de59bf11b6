import type { Moment } from '../common/ids.js';
import type { Table } from '../policy/table.js';
import type { Catalog, Machine, RunnerReport } from './shapes.js';

/** A runner as last seen: the platform's word on it and its own report, if it returns one. */
export interface RunnerView {
  readonly machine: Machine;
  readonly report: RunnerReport | undefined;
  /** When we asked for that report, on our clock. */
  readonly requestedAt: Moment;
  readonly isReachable: boolean;
  /** Out of reach for so long that its seats are given up. */
  readonly isUnreachable: boolean;
}

/** What a plan is made from. */
export interface PlanInput {
  readonly table: Table;
  readonly catalog: Catalog;
  readonly runners: readonly RunnerView[];
  readonly evacuatedZones: readonly string[];
}

/** What paces the placer; spans are in ms. */
export interface PlacerSettings {
  readonly demandWindowMs: number;
  /** Requests a second below which a model counts as idle. */
  readonly idleRate: number;
  /** How many times more a newcomer must be worth than what makes way for it. */
  readonly worthRatio: number;
  /** How long a model out of the places is still left in a runner, so that every proxy has heard. */
  readonly unloadDelayMs: number;
  /** How long a model stays once it has been fetched. */
  readonly minResidencyMs: number;
}

/** The values that hold unless a deployment names others. */
export const PLACER_DEFAULTS: PlacerSettings = {
  demandWindowMs: 20_000,
  idleRate: 0.05,
  worthRatio: 2,
  unloadDelayMs: 3500,
  minResidencyMs: 10_000,
};

/** A model that some row wants. */
export interface DesiredModel {
  readonly model: string;
  readonly size: number;
  readonly weight: number;
  /** Requests a second. */
  readonly rate: number;
  readonly worth: number;
}

/** Which of a model's two seats. */
export type PlacementRole = 'primary' | 'understudy';

/** The key of a model, or of an adapter of it where named. */
export function unitOf(model: string, adapter: string): string {
  return `${model}\n${adapter}`;
}

/** The key of a model at a runner. */
export function holdKey(runner: string, model: string): string {
  return `${runner}\n${model}`;
}

import type { FaultCounts } from './fault-driver.js';
import type { FaultKind } from './faults.js';
import {
  noOrders,
  ORDER_KINDS,
  sumOf,
  totalOf,
  type OrderFigures,
  type OutcomeCounts,
  type RunFigures,
} from './run-figures.js';
import type { RunShape } from './run-shape.js';
import { WEIGHTS } from './schedule-draw.js';
import type { SeedResult } from './seed-run.js';

/** The distribution of the values of a figure: their number, and quantiles in milliseconds. */
export interface Distribution {
  /** Number of values. */
  readonly count: number;
  /** The median. */
  readonly median: number;
  /** The 90% quantile. */
  readonly ninety: number;
  /** The 95% quantile. */
  readonly ninetyFive: number;
  /** The 99% quantile. */
  readonly ninetyNine: number;
  /** The maximum. */
  readonly most: number;
}

/** The results of the seeds of one shape. */
export interface ShapeReport {
  /** The shape. */
  readonly shape: RunShape;
  /** Number of seeds. */
  readonly seeds: number;
  /** Number of seeds that violated a rule. */
  readonly failed: number;
}

/** The results of all seeds of one invocation of the command. */
export interface RunReport {
  /** Number of seeds. */
  readonly seeds: number;
  /** The results by shape. */
  readonly shapes: readonly ShapeReport[];
  /** Seeds that violated a rule. */
  readonly failedSeeds: readonly number[];
  /** Number of seeds that violated each rule. */
  readonly rules: Readonly<Record<string, number>>;
  /** Virtual time of all runs together. */
  readonly virtualSeconds: number;
  /** Number of seeds for which no leader is required after all faults, since more disks were lost than is tolerated. */
  readonly recoveryNotOwed: number;
  /** Sums of figures over all seeds. */
  readonly totals: Readonly<Record<TotalName, number>>;
  /** Number of injected faults by kind. */
  readonly faults: Readonly<FaultCounts>;
  /** Outcomes of the orders by kind, and of all together. */
  readonly orders: OrderFigures & { readonly all: OutcomeCounts };
  /** Times from the start of a new or repaired node until it is a sound replica. */
  readonly repairMs: Distribution;
  /** Lengths of the periods without a serving leader. */
  readonly leaderlessMs: Distribution;
  /** The results of the seeds that violated a rule. */
  readonly failures: readonly SeedResult[];
}

const TOTALS = [
  'packets',
  'runnerOrders',
  'reigns',
  'voterChanges',
  'reads',
] as const satisfies readonly (keyof RunFigures)[];
type TotalName = (typeof TOTALS)[number];

const MS_PER_SECOND = 1000;

function ascending(left: number, right: number): number {
  return left - right;
}

/** The distribution of values; all zero if there are none. */
export function distributionOf(values: readonly number[]): Distribution {
  const sorted = [...values].sort(ascending);
  function quantile(share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
  }
  return {
    count: sorted.length,
    median: quantile(0.5),
    ninety: quantile(0.9),
    ninetyFive: quantile(0.95),
    ninetyNine: quantile(0.99),
    most: quantile(1),
  };
}

function isFailed(result: SeedResult): boolean {
  return result.violations.length > 0;
}

function seedOf(result: SeedResult): number {
  return result.seed;
}

function bySeed(left: SeedResult, right: SeedResult): number {
  return left.seed - right.seed;
}

/** The names of the rules that a run violated, each once. */
export function rulesOf(result: SeedResult): readonly string[] {
  const rules = new Set<string>();
  for (const { rule } of result.violations) rules.add(rule);
  return [...rules];
}

function shapesOf(results: readonly SeedResult[]): ShapeReport[] {
  const shapes = new Map<RunShape, ShapeReport>();
  for (const result of results) {
    const { shape } = result;
    const { seeds, failed } = shapes.get(shape) ?? { seeds: 0, failed: 0 };
    shapes.set(shape, { shape, seeds: seeds + 1, failed: failed + (isFailed(result) ? 1 : 0) });
  }
  return [...shapes.values()];
}

/** Includes every kind that can be drawn, also one that was never injected. */
function faultsOf(results: readonly SeedResult[]): FaultCounts {
  const counts: FaultCounts = {};
  function add(kind: FaultKind, result: SeedResult): void {
    counts[kind] = (counts[kind] ?? 0) + (result.figures.faults[kind] ?? 0);
  }
  for (const [kind] of WEIGHTS) {
    for (const result of results) add(kind, result);
  }
  return counts;
}

function ordersOf(results: readonly SeedResult[]): RunReport['orders'] {
  const orders = noOrders();
  for (const { figures } of results) {
    for (const kind of ORDER_KINDS) orders[kind] = sumOf(orders[kind], figures.orders[kind]);
  }
  return { ...orders, all: totalOf(orders) };
}

/** Sums up the results of seeds. */
export function reportOf(results: readonly SeedResult[]): RunReport {
  const failures = results.filter(isFailed).sort(bySeed);
  const rules: Record<string, number> = {};
  for (const failure of failures) {
    for (const rule of rulesOf(failure)) rules[rule] = (rules[rule] ?? 0) + 1;
  }
  const totals = { packets: 0, runnerOrders: 0, reigns: 0, voterChanges: 0, reads: 0 };
  let virtualMs = 0;
  let recoveryNotOwed = 0;
  const repairMs: number[] = [];
  const leaderlessMs: number[] = [];
  for (const { figures } of results) {
    virtualMs += figures.virtualMs;
    if (!figures.isRecoveryOwed) recoveryNotOwed += 1;
    repairMs.push(...figures.repairMs);
    leaderlessMs.push(...figures.leaderlessMs);
    for (const name of TOTALS) totals[name] += figures[name];
  }
  return {
    seeds: results.length,
    shapes: shapesOf(results),
    failedSeeds: failures.map(seedOf),
    rules,
    recoveryNotOwed,
    virtualSeconds: Math.round(virtualMs / MS_PER_SECOND),
    totals,
    faults: faultsOf(results),
    orders: ordersOf(results),
    repairMs: distributionOf(repairMs),
    leaderlessMs: distributionOf(leaderlessMs),
    failures,
  };
}

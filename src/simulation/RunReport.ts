import type { RunFigures } from './RunFigures.js';
import type { SeedResult } from './SeedRun.js';

/** Where the values of a figure lie, ms. */
export interface Spread {
  readonly count: number;
  readonly median: number;
  readonly ninety: number;
  readonly ninetyNine: number;
  readonly most: number;
}

/** All seeds of one call of the command. */
export interface RunReport {
  readonly nodes: number;
  readonly seeds: number;
  readonly failedSeeds: readonly number[];
  readonly rules: Readonly<Record<string, number>>;
  readonly virtualSeconds: number;
  readonly totals: Readonly<Record<TotalName, number>>;
  readonly repairMs: Spread;
  readonly leaderlessMs: Spread;
  readonly failures: readonly SeedResult[];
}

const TOTALS = [
  'faults',
  'packets',
  'runnerOrders',
  'reigns',
  'voterChanges',
  'accepted',
  'refused',
  'unclear',
  'attempts',
  'reads',
] as const satisfies readonly (keyof RunFigures)[];
type TotalName = (typeof TOTALS)[number];

const MS_PER_SECOND = 1000;

function bySize(left: number, right: number): number {
  return left - right;
}

function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort(bySize);
  function quantile(share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
  }
  return {
    count: sorted.length,
    median: quantile(0.5),
    ninety: quantile(0.9),
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

/** The names of the rules that a run broke, each once. */
export function rulesOf(result: SeedResult): readonly string[] {
  const rules = new Set<string>();
  for (const { rule } of result.violations) rules.add(rule);
  return [...rules];
}

export function reportOf(nodes: number, results: readonly SeedResult[]): RunReport {
  const failures = results.filter(isFailed).sort(bySeed);
  const rules: Record<string, number> = {};
  for (const failure of failures) {
    for (const rule of rulesOf(failure)) rules[rule] = (rules[rule] ?? 0) + 1;
  }
  const totals: Record<TotalName, number> = {
    faults: 0,
    packets: 0,
    runnerOrders: 0,
    reigns: 0,
    voterChanges: 0,
    accepted: 0,
    refused: 0,
    unclear: 0,
    attempts: 0,
    reads: 0,
  };
  let virtualMs = 0;
  const repairMs: number[] = [];
  const leaderlessMs: number[] = [];
  for (const { figures } of results) {
    virtualMs += figures.virtualMs;
    repairMs.push(...figures.repairMs);
    leaderlessMs.push(...figures.leaderlessMs);
    for (const name of TOTALS) totals[name] += figures[name];
  }
  return {
    nodes,
    seeds: results.length,
    failedSeeds: failures.map(seedOf),
    rules,
    virtualSeconds: Math.round(virtualMs / MS_PER_SECOND),
    totals,
    repairMs: spreadOf(repairMs),
    leaderlessMs: spreadOf(leaderlessMs),
    failures,
  };
}

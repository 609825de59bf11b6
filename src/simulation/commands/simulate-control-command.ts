import { writeFileSync } from 'node:fs';
import { Command, Flags } from '@oclif/core';
import { is } from 'superstruct';
import { simulate } from '../control-simulation.js';
import { reproductionTest } from '../reproduction-test.js';
import { ORDER_KINDS, totalOf, type OutcomeCounts } from '../run-figures.js';
import { reportOf, rulesOf, type RunReport, type Distribution } from '../run-report.js';
import {
  isRequestedShape,
  optionsOf,
  shapeOf,
  REQUESTED_SHAPES,
  type RequestedShape,
} from '../run-shape.js';
import { drawSchedule } from '../schedule-draw.js';
import { SeedResultShape, type SeedResult } from '../seed-run.js';
import { shrinkRun } from '../shrinker.js';
import { SeedPool } from './seed-pool.js';

const MAX_SHOWN_VIOLATIONS = 3;
const PROGRESS_INTERVAL_SEEDS = 100;
const MAX_SHRINK_RUNS = 150;
const MS_PER_MINUTE = 60_000;

function requestedShapeOf(shape: string | undefined, nodes: string): RequestedShape {
  if (shape !== undefined && isRequestedShape(shape)) return shape;
  return nodes === '5' ? 'five' : 'three';
}

function runRequests(from: number, seeds: number, requested: RequestedShape): readonly object[] {
  const runs: object[] = [];
  for (let seed = from; seed < from + seeds; seed += 1) {
    runs.push({ seed, shape: shapeOf(seed, requested) });
  }
  return runs;
}

function isSeedResult(message: unknown): message is SeedResult {
  return is(message, SeedResultShape);
}

function distributionText(distribution: Distribution): string {
  const { count, median, ninetyFive, ninetyNine, most: max } = distribution;
  return `${count} samples, median ${median}, 95% ${ninetyFive}, 99% ${ninetyNine}, max ${max} ms`;
}

function outcomesText({ accepted, refused, unclear, attempts }: OutcomeCounts): string {
  return `${accepted} acknowledged, ${refused} refused, ${unclear} unclear, in ${attempts} attempts`;
}

/** Runs the deployed control side on virtual time for many seeds, or replays or shrinks one. */
export class SimulateControlCommand extends Command {
  static override description =
    'run the deployed control side on virtual time under seeded faults; a failing seed can be replayed exactly';

  static override flags = {
    seeds: Flags.integer({ default: 100, min: 1, description: 'number of seeds' }),
    from: Flags.integer({ default: 1, description: 'the first seed' }),
    nodes: Flags.string({
      default: '3',
      options: ['3', '5'],
      description: 'number of control nodes',
    }),
    shape: Flags.string({
      options: [...REQUESTED_SHAPES],
      description: 'fleet and length of the runs, instead of --nodes; mixed includes all shapes',
    }),
    jobs: Flags.integer({ default: 2, min: 1, description: 'number of concurrent processes' }),
    minutes: Flags.integer({
      min: 1,
      description: 'start no further seed after this many minutes',
    }),
    report: Flags.string({ description: 'file for the JSON report; also updated during the run' }),
    seed: Flags.integer({ description: 'replay only this seed and print its log' }),
    shrink: Flags.boolean({
      default: false,
      description: 'with --seed: shrink its schedule and print it as a test',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(SimulateControlCommand);
    const shape = requestedShapeOf(flags.shape, flags.nodes);
    if (flags.seed !== undefined) {
      this.#replay(flags.seed, shape, flags.shrink);
      return;
    }
    const { from, seeds, jobs, report: file } = flags;
    const results: SeedResult[] = [];
    const done = (result: SeedResult) => this.#onResult(results, seeds, file, result);
    const limitMs = (flags.minutes ?? Infinity) * MS_PER_MINUTE;
    const worker = new URL('./seed-worker.js', import.meta.url);
    const runs = runRequests(from, seeds, shape);
    const pool = new SeedPool({
      worker,
      runs,
      jobs,
      maxDurationMs: limitMs,
      isResult: isSeedResult,
      onResult: done,
    });
    await pool.run();
    const report = reportOf(results);
    this.#save(report, file);
    this.#print(report);
    if (pool.startedRuns < seeds)
      this.log(`time limit reached: continue with --from ${from + pool.startedRuns}`);
    this.exit(report.failedSeeds.length === 0 ? 0 : 1);
  }

  #onResult(
    results: SeedResult[],
    seeds: number,
    file: string | undefined,
    result: SeedResult,
  ): void {
    results.push(result);
    if (result.violations.length > 0) {
      this.log(`seed ${result.seed} (${result.shape}) violated ${rulesOf(result).join(', ')}`);
      for (const { rule, at, text } of result.violations.slice(0, MAX_SHOWN_VIOLATIONS)) {
        this.log(`  ${at} ms ${rule}: ${text}`);
      }
    }
    if (results.length % PROGRESS_INTERVAL_SEEDS !== 0) return;
    this.log(`${results.length} of ${seeds} seeds`);
    this.#save(reportOf(results), file);
  }

  #save(report: RunReport, file: string | undefined): void {
    if (file !== undefined) writeFileSync(file, JSON.stringify(report, null, 2));
  }

  #print(report: RunReport): void {
    const { seeds, shapes, failedSeeds, virtualSeconds, totals, rules, faults, orders } = report;
    this.log(`${seeds} seeds, ${virtualSeconds} virtual seconds: ${failedSeeds.length} failed`);
    for (const { shape, seeds: shapeSeeds, failed } of shapes) {
      this.log(`  ${shape}: ${shapeSeeds} seeds, ${failed} failed`);
    }
    this.log(`  recovery not required: ${report.recoveryNotOwed} seeds`);
    for (const [rule, count] of Object.entries(rules)) this.log(`  ${rule}: ${count} seeds`);
    this.log(`faults: ${JSON.stringify(faults)}`);
    for (const kind of ORDER_KINDS) this.log(`${kind}: ${outcomesText(orders[kind])}`);
    this.log(`all orders: ${outcomesText(orders.all)}`);
    this.log(JSON.stringify(totals));
    this.log(
      `from start to sound replica, new or repaired nodes: ${distributionText(report.repairMs)}`,
    );
    this.log(`without a leader: ${distributionText(report.leaderlessMs)}`);
  }

  #replay(seed: number, requested: RequestedShape, isShrunk: boolean): void {
    const options = optionsOf(seed, shapeOf(seed, requested));
    const schedule = drawSchedule(options);
    const log = isShrunk ? undefined : this.log.bind(this);
    const { violations, figures } = simulate(options, schedule, log);
    this.log(JSON.stringify({ options, figures, orders: totalOf(figures.orders) }));
    for (const { rule, at, text } of violations) this.log(`${at} ms ${rule}: ${text}`);
    const [first] = violations;
    if (first && isShrunk) {
      const shrunk = shrinkRun(options, schedule, first.rule, MAX_SHRINK_RUNS);
      this.log(`${shrunk.schedule.length} of ${schedule.length} faults, ${shrunk.runs} runs`);
      this.log(reproductionTest(options, shrunk.schedule, first.rule));
    }
    this.exit(violations.length === 0 ? 0 : 1);
  }
}

import { writeFileSync } from 'node:fs';
import { Command, Flags } from '@oclif/core';
import { simulate } from '../ControlSimulation.js';
import { pastedTest } from '../PastedTest.js';
import { reportOf, rulesOf, type RunReport, type Spread } from '../RunReport.js';
import { drawOptions, drawSchedule } from '../ScheduleDraw.js';
import type { SeedResult } from '../SeedRun.js';
import { shrinkRun } from '../Shrinker.js';
import { SeedPool } from './SeedPool.js';

const MOST_SHOWN = 3;
const PROGRESS_EVERY = 25;
const MOST_SHRINK_RUNS = 150;

function nodesOf(text: string): 3 | 5 {
  return text === '5' ? 5 : 3;
}

function spreadText({ count, median, ninety, ninetyNine, most }: Spread): string {
  return `${count} times, median ${median}, 90% ${ninety}, 99% ${ninetyNine}, most ${most} ms`;
}

/** Runs the deployed control side on virtual time over many seeds. */
export class SimulateControlCommand extends Command {
  static override description =
    'run the deployed control side on virtual time under seeded faults; a failing seed replays exactly';

  static override flags = {
    seeds: Flags.integer({ default: 100, min: 1, description: 'how many seeds' }),
    from: Flags.integer({ default: 1, description: 'the first seed' }),
    nodes: Flags.string({ default: '3', options: ['3', '5'], description: 'control nodes' }),
    jobs: Flags.integer({ default: 2, min: 1, description: 'processes at once' }),
    report: Flags.string({ description: 'file for the report as JSON' }),
    seed: Flags.integer({ description: 'replay this seed alone, with its log' }),
    shrink: Flags.boolean({
      default: false,
      description: 'with --seed: cut its schedule to the shortest and print it as a test',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(SimulateControlCommand);
    const nodes = nodesOf(flags.nodes);
    if (flags.seed !== undefined) {
      this.#replay(flags.seed, nodes, flags.shrink);
      return;
    }
    const { from, seeds, jobs } = flags;
    const results: SeedResult[] = [];
    const done = this.#done.bind(this, results, seeds);
    await new SeedPool({ from, seeds, nodes, jobs, done }).run();
    const report = reportOf(nodes, results);
    if (flags.report !== undefined) writeFileSync(flags.report, JSON.stringify(report, null, 2));
    this.#print(report);
    this.exit(report.failedSeeds.length === 0 ? 0 : 1);
  }

  #done(results: SeedResult[], seeds: number, result: SeedResult): void {
    results.push(result);
    if (result.violations.length > 0) {
      this.log(`seed ${result.seed} broke ${rulesOf(result).join(', ')}`);
      for (const { rule, at, text } of result.violations.slice(0, MOST_SHOWN)) {
        this.log(`  ${at} ms ${rule}: ${text}`);
      }
    }
    if (results.length % PROGRESS_EVERY === 0) this.log(`${results.length} of ${seeds} seeds`);
  }

  #print(report: RunReport): void {
    const { seeds, nodes, failedSeeds, virtualSeconds, totals, rules } = report;
    this.log(
      `${seeds} seeds of ${nodes} nodes, ${virtualSeconds} virtual seconds: ${failedSeeds.length} failed`,
    );
    for (const [rule, count] of Object.entries(rules)) this.log(`  ${rule}: ${count} seeds`);
    this.log(JSON.stringify(totals));
    this.log(`from start to counting: ${spreadText(report.repairMs)}`);
    this.log(`without a leader: ${spreadText(report.leaderlessMs)}`);
  }

  #replay(seed: number, nodes: 3 | 5, isShrunk: boolean): void {
    const options = drawOptions(seed, nodes);
    const schedule = drawSchedule(options);
    const log = isShrunk ? undefined : this.log.bind(this);
    const { violations, figures } = simulate(options, schedule, log);
    this.log(JSON.stringify({ options, figures }));
    for (const { rule, at, text } of violations) this.log(`${at} ms ${rule}: ${text}`);
    const [first] = violations;
    if (first && isShrunk) {
      const shrunk = shrinkRun(options, schedule, first.rule, MOST_SHRINK_RUNS);
      this.log(`${shrunk.schedule.length} of ${schedule.length} faults, ${shrunk.runs} runs`);
      this.log(pastedTest(options, shrunk.schedule, first.rule));
    }
    this.exit(violations.length === 0 ? 0 : 1);
  }
}

import { Command, Flags } from '@oclif/core';
import { Simulation } from './simulation.js';
import { CONDITIONS, FAULT_KINDS, type FaultKind } from './fault-kinds.js';

function isFaultKind(text: string): text is FaultKind {
  return FAULT_KINDS.some((kind) => text === kind);
}

function pairText(pair: readonly [string, number]): string {
  return `${pair[0]} ${pair[1]}`;
}
function separatorCell(): string {
  return '---';
}
function byNumber(a: number, b: number): number {
  return a - b;
}

/** Runs the simulator over a range of seeds and prints violations and counters; exits 1 if any seed had a violation. */
export class StormCommand extends Command {
  static override aliases = ['myth:storm'];
  static override deprecateAliases = true;
  static override description =
    'run the simulator over many seeds; a failing seed is printed and replays exactly';
  static override flags = {
    seeds: Flags.integer({ default: 100, description: 'number of seeds' }),
    from: Flags.integer({ default: 1, description: 'first seed' }),
    edges: Flags.integer({ default: 4, description: 'number of edge machines' }),
    seconds: Flags.integer({
      default: 40,
      description: 'virtual seconds during which faults are injected',
    }),
    trouble: Flags.string({
      multiple: true,
      description: 'inject only faults of these kinds',
      options: [...FAULT_KINDS],
    }),
    met: Flags.boolean({
      default: false,
      description: 'print how often each kind of fault was injected, and under which conditions',
    }),
    trace: Flags.boolean({
      default: false,
      description: 'print the events of the run; use with one seed',
    }),
  };

  #printConditionTable(counts: ReadonlyMap<string, number>): void {
    this.log(`| fault | count | ${CONDITIONS.join(' | ')} |`);
    this.log(`| --- | --- | ${CONDITIONS.map(separatorCell).join(' | ')} |`);
    for (const kind of FAULT_KINDS) {
      const cells = [kind, String(counts.get(`${kind}|times`) ?? 0)];
      for (const condition of CONDITIONS)
        cells.push(String(counts.get(`${kind}|${condition}`) ?? 0));
      this.log(`| ${cells.join(' | ')} |`);
    }
  }

  async run(): Promise<void> {
    const { flags } = await this.parse(StormCommand);
    const kinds = (flags.trouble ?? [...FAULT_KINDS]).filter(isFaultKind);
    const leaderlessMs: number[] = [];
    let failed = 0;
    const conditionCounts = new Map<string, number>();
    const calls = new Map<string, number>();
    let [accepted, refused, unsure, orders, messages, runs] = [0, 0, 0, 0, 0, 0];
    const trace = flags.trace ? this.log.bind(this) : undefined;
    for (let seed = flags.from; seed < flags.from + flags.seeds; seed += 1) {
      const result = new Simulation(
        { seed, edges: flags.edges, faultPeriodMs: flags.seconds * 1000, faultKinds: kinds },
        trace,
      ).run();
      leaderlessMs.push(...result.leaderlessMs);
      accepted += result.edits.accepted;
      refused += result.edits.refused;
      unsure += result.edits.unsure;
      orders += result.orders;
      messages += result.messages;
      runs += result.runs;
      for (const [key, count] of result.faultCounts)
        conditionCounts.set(key, (conditionCounts.get(key) ?? 0) + count);
      for (const [key, count] of Object.entries(result.calls))
        calls.set(key, (calls.get(key) ?? 0) + count);
      if (result.violations.length === 0) continue;
      failed += 1;
      this.log(`seed ${seed}: ${result.violations.length} violations`);
      for (const violation of result.violations.slice(0, 6)) this.log(`  ${violation}`);
    }
    leaderlessMs.sort(byNumber);
    function quantile(share: number): number {
      return Math.round(
        leaderlessMs[Math.min(leaderlessMs.length - 1, Math.floor(leaderlessMs.length * share))] ??
          0,
      );
    }
    this.log(
      `${flags.seeds} seeds, ${failed} failed; edits accepted ${accepted}, refused ${refused}, unsure ${unsure}; orders ${orders}; runs ${runs}; messages ${messages}`,
    );
    this.log(
      `time without a leader, ms: ${leaderlessMs.length} periods, median ${quantile(0.5)}, 90% ${quantile(0.9)}, 99% ${quantile(0.99)}, max ${quantile(1)}`,
    );
    this.log(`calls: ${[...calls].map(pairText).join(', ')}`);
    if (flags.met) this.#printConditionTable(conditionCounts);
    this.exit(failed === 0 ? 0 : 1);
  }
}

import { createWriteStream } from 'node:fs';
import { Command, Flags } from '@oclif/core';
import { SeedPool } from '../commands/seed-pool.js';
import { isDigestResult, type DigestResult, type DigestRun } from './digest-run.js';
import {
  isPinnedKind,
  PINNED_KIND_NAMES,
  PINNED_KINDS,
  type PinnedKindName,
} from './pinned-runs.js';
import { RecordedDigests } from './recorded-digests.js';

const WORKER = new URL('./digest-worker.js', import.meta.url);
const RUNS_PER_PROGRESS_LINE = 100;
const MS_PER_SECOND = 1000;

/** Compares seeded runs with the digests that an earlier build recorded. */
export class SameRunsCommand extends Command {
  static override description =
    'compare seeded runs with those of the build that recorded them; exits with 1 and names the seeds that differ';

  static override flags = {
    kind: Flags.string({
      multiple: true,
      options: [...PINNED_KIND_NAMES],
      description: 'run only these kinds',
    }),
    from: Flags.integer({ default: 1, min: 1, description: 'first seed of each kind' }),
    seeds: Flags.integer({ min: 1, description: 'number of seeds of each kind; default: all' }),
    jobs: Flags.integer({ default: 2, min: 1, description: 'number of concurrent processes' }),
    record: Flags.boolean({
      default: false,
      description: 'record the digests instead of comparing them',
    }),
    trace: Flags.string({
      description: 'write the trace of the first seed of one kind to this file, without comparing',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(SameRunsCommand);
    const kinds = (flags.kind ?? PINNED_KIND_NAMES).filter(isPinnedKind);
    if (flags.trace !== undefined) {
      await this.#trace(kinds, flags.from, flags.trace);
      return;
    }
    const startedAt = performance.now();
    const results = await this.#runAll(runsOf(kinds, flags.from, flags.seeds), flags.jobs);
    const seconds = Math.round((performance.now() - startedAt) / MS_PER_SECOND);
    this.log(`${results.length} runs in ${seconds} s`);
    if (flags.record) this.#record(results);
    else this.#compare(results, kinds);
  }

  async #runAll(runs: readonly DigestRun[], jobs: number): Promise<readonly DigestResult[]> {
    const results: DigestResult[] = [];
    const addResult = (result: DigestResult): void => {
      results.push(result);
      if (results.length % RUNS_PER_PROGRESS_LINE === 0)
        this.log(`${results.length} of ${runs.length} runs`);
    };
    const pool = {
      worker: WORKER,
      runs,
      jobs,
      maxDurationMs: Infinity,
      isResult: isDigestResult,
      onResult: addResult,
    };
    await new SeedPool(pool).run();
    return results;
  }

  #record(results: readonly DigestResult[]): void {
    const recorded = new RecordedDigests();
    for (const { kind, seed, digest } of results) recorded.set(kind, seed, digest);
    recorded.save();
  }

  #compare(results: readonly DigestResult[], kinds: readonly PinnedKindName[]): void {
    const recorded = new RecordedDigests();
    let differingCount = 0;
    for (const name of kinds) {
      const ofKind = results.filter(isOfKind, name);
      const seeds: number[] = [];
      for (const { seed, digest } of ofKind) {
        if (recorded.of(name, seed) !== digest) seeds.push(seed);
      }
      seeds.sort(compareNumbers);
      differingCount += seeds.length;
      const seedList = seeds.length > 0 ? `: seeds ${seeds.join(', ')}` : '';
      this.log(`${name}: ${seeds.length} of ${ofKind.length} runs differ${seedList}`);
    }
    this.exit(differingCount === 0 ? 0 : 1);
  }

  /** Writes a seed's trace to a file; `diff` on the traces of two builds shows where they diverge. */
  async #trace(kinds: readonly PinnedKindName[], seed: number, path: string): Promise<void> {
    const [kind] = kinds;
    if (kind === undefined || kinds.length > 1) this.error('--trace requires exactly one --kind');
    const file = createWriteStream(path);
    this.log(
      `${kind} ${seed}: ${PINNED_KINDS[kind].run(seed, (line: string) => {
        file.write(`${line.replaceAll('\n', '\\n')}\n`);
      })}`,
    );
    await new Promise<void>((ended) => file.end(ended));
  }
}

function runsOf(
  kinds: readonly PinnedKindName[],
  from: number,
  maxSeeds: number | undefined,
): readonly DigestRun[] {
  const runs: DigestRun[] = [];
  for (const kind of kinds) {
    const until = maxSeeds === undefined ? PINNED_KINDS[kind].seeds : from + maxSeeds - 1;
    for (let seed = from; seed <= until; seed += 1) runs.push({ kind, seed });
  }
  return runs;
}

function isOfKind(this: PinnedKindName, result: DigestResult): boolean {
  return result.kind === this;
}

function compareNumbers(one: number, two: number): number {
  return one - two;
}

import { Simulation } from './simulation.js';
import type { SimControl } from './sim-control.js';

export interface LossMeasure {
  readonly loss: string;
  readonly runs: number;
  readonly medianMs: number;
  readonly mostMs: number;
}

export interface TakeoverMeasure {
  readonly runs: number;
  /** Calls of the next five seconds for models whose primary went, by what their callers heard. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** The same five seconds for the same models, had nothing happened. */
  readonly undisturbed: Readonly<Record<string, number>>;
}

const LOSSES = ['killed', 'frozen', 'cut off', 'stopped as planned'] as const;
const STEP_MS = 10;

function byValue(a: number, b: number): number {
  return a - b;
}

/** Time in which nobody may order runners after one single loss of the holder, in virtual milliseconds over seeds. */
export async function measureLosses(from: number, seeds: number): Promise<LossMeasure[]> {
  const list: LossMeasure[] = [];
  for (const loss of LOSSES) {
    const gaps: number[] = [];
    for (let seed = from; seed < from + seeds; seed += 1) {
      gaps.push(gapAfter(loss, seed));
      // A seed is real work: whoever else runs here must be heard in between.
      await new Promise(setImmediate);
    }
    gaps.sort(byValue);
    list.push({
      loss,
      runs: gaps.length,
      medianMs: Math.round(gaps[Math.floor(gaps.length / 2)] ?? -1),
      mostMs: Math.round(gaps[gaps.length - 1] ?? -1),
    });
  }
  return list;
}

function gapAfter(loss: (typeof LOSSES)[number], seed: number): number {
  const simulation = new Simulation({ seed, edges: 2, stormMs: 0, troubles: [] });
  const { scheduler, network } = simulation;
  simulation.start();
  scheduler.runUntil(14_000 + ((seed * 97) % 1000));
  const leader = simulation.leader();
  if (!leader) return -1;
  if (loss === 'killed') simulation.kill(leader);
  else if (loss === 'frozen') leader.freeze();
  else if (loss === 'stopped as planned') {
    leader.retire();
    scheduler.after(60, () => simulation.kill(leader));
  } else
    for (const other of simulation.controlNodes)
      if (other !== leader) {
        network.cut(leader.id, other.id);
        network.cut(other.id, leader.id);
      }
  let last = scheduler.now;
  for (let step = 0; step < 3000; step += 1) {
    scheduler.runUntil(scheduler.now + STEP_MS);
    if (loss === 'cut off' && mayOrder(leader)) last = scheduler.now;
    const next = simulation.controlNodes.find(
      (controlNode) => controlNode !== leader && mayOrder(controlNode),
    );
    if (next) return scheduler.now - last;
  }
  return 1e9;
}

function mayOrder(controlNode: SimControl): boolean {
  return (
    controlNode.isUp &&
    !controlNode.isFrozen &&
    controlNode.core?.mayOrder(controlNode.now()) === true
  );
}

/** What callers of a model hear while its primary's machine is gone without a word. */
export async function measureTakeover(from: number, seeds: number): Promise<TakeoverMeasure> {
  const outcomes: Record<string, number> = {};
  const undisturbed: Record<string, number> = {};
  for (let seed = from; seed < from + seeds; seed += 1) {
    for (const isLost of [true, false]) {
      await new Promise(setImmediate);
      const simulation = new Simulation({ seed, edges: 3, stormMs: 0, troubles: [] });
      const { scheduler } = simulation;
      simulation.start();
      scheduler.runUntil(13_000);
      simulation.found();
      scheduler.runUntil(30_000);
      const runner = `r${seed % 4}`;
      const models = simulation.modelsAt(runner);
      if (isLost) simulation.vanish(runner);
      scheduler.runUntil(45_000);
      const into = isLost ? outcomes : undisturbed;
      for (const call of simulation.calls) {
        if (call.sentAt < 30_000 || call.sentAt >= 35_000 || !models.has(call.model)) continue;
        into[call.outcome] = (into[call.outcome] ?? 0) + 1;
      }
    }
  }
  return { runs: seeds, outcomes, undisturbed };
}

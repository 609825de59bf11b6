import { Simulation } from './simulation.js';
import type { SimControl } from './sim-control.js';

/** Time without a control node that may issue orders, after one kind of loss of the leader. */
export interface LossMeasure {
  readonly loss: string;
  readonly runs: number;
  readonly medianMs: number;
  readonly mostMs: number;
}

/** Outcomes of requests after the loss of a runner, and the same without the loss. */
export interface TakeoverMeasure {
  readonly runs: number;
  /** Requests of the five seconds after the loss, for models whose primary runner was lost, by outcome. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Requests of the same five seconds for the same models in a run without the loss, by outcome. */
  readonly undisturbed: Readonly<Record<string, number>>;
}

const LOSSES = ['killed', 'frozen', 'cut off', 'stopped as planned'] as const;
const STEP_MS = 10;

function byValue(a: number, b: number): number {
  return a - b;
}

/**
 * Measures the time in which no control node may issue orders to runners after a single loss of the leader, in virtual
 * milliseconds, over `seeds` seeds starting at `from`.
 */
export async function measureLosses(from: number, seeds: number): Promise<LossMeasure[]> {
  const measures: LossMeasure[] = [];
  for (const loss of LOSSES) {
    const gapsMs: number[] = [];
    for (let seed = from; seed < from + seeds; seed += 1) {
      gapsMs.push(gapAfter(loss, seed));
      // A seed takes real processor time: yields to the event loop in between.
      await new Promise(setImmediate);
    }
    gapsMs.sort(byValue);
    measures.push({
      loss,
      runs: gapsMs.length,
      medianMs: Math.round(gapsMs[Math.floor(gapsMs.length / 2)] ?? -1),
      mostMs: Math.round(gapsMs[gapsMs.length - 1] ?? -1),
    });
  }
  return measures;
}

function gapAfter(loss: (typeof LOSSES)[number], seed: number): number {
  const simulation = new Simulation({ seed, edges: 2, faultPeriodMs: 0, faultKinds: [] });
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
  let lastOrderableAt = scheduler.now;
  for (let step = 0; step < 3000; step += 1) {
    scheduler.runUntil(scheduler.now + STEP_MS);
    if (loss === 'cut off' && mayOrder(leader)) lastOrderableAt = scheduler.now;
    const successor = simulation.controlNodes.find(
      (controlNode) => controlNode !== leader && mayOrder(controlNode),
    );
    if (successor) return scheduler.now - lastOrderableAt;
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

/** Counts the outcomes of a model's requests after the machine of its primary runner vanishes without notice. */
export async function measureTakeover(from: number, seeds: number): Promise<TakeoverMeasure> {
  const outcomes: Record<string, number> = {};
  const undisturbed: Record<string, number> = {};
  for (let seed = from; seed < from + seeds; seed += 1) {
    for (const isLost of [true, false]) {
      await new Promise(setImmediate);
      const simulation = new Simulation({ seed, edges: 3, faultPeriodMs: 0, faultKinds: [] });
      const { scheduler } = simulation;
      simulation.start();
      scheduler.runUntil(13_000);
      simulation.putFirstTable();
      scheduler.runUntil(30_000);
      const runner = `r${seed % 4}`;
      const models = simulation.modelsAt(runner);
      if (isLost) simulation.vanish(runner);
      scheduler.runUntil(45_000);
      const counts = isLost ? outcomes : undisturbed;
      for (const call of simulation.calls) {
        if (call.sentAt < 30_000 || call.sentAt >= 35_000 || !models.has(call.model)) continue;
        counts[call.outcome] = (counts[call.outcome] ?? 0) + 1;
      }
    }
  }
  return { runs: seeds, outcomes, undisturbed };
}

import type { MutationKind } from './mutation.js';
import type { RunTrace } from './run-trace.js';
import type { FaultKind } from './fault-kinds.js';

/** Settings of one simulation run. */
export interface SimulationSettings {
  readonly seed: number;
  /** Number of edge machines, each with one agent and one proxy. */
  readonly edges: number;
  /** How long faults are injected after a fault-free start; then all faults are healed. */
  readonly faultPeriodMs: number;
  /** The kinds of faults to draw from. */
  readonly faultKinds: readonly FaultKind[];
  /** A defect to put into the build, to show that the checks detect it. */
  readonly mutation?: MutationKind;
  /** Records the externally visible behavior of the run. */
  readonly runTrace?: RunTrace;
}

/** Violations and counters of one simulation run. */
export interface SimulationResult {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Each period without a control node that may issue orders, while faults are injected; virtual milliseconds. */
  readonly leaderlessMs: readonly number[];
  /** Virtual time at the end of the fault-free start if a leader serves then, else -1. */
  readonly serveMs: number;
  /** Operators' edits by outcome; `unsure` counts those whose outcome the operator could not learn. */
  readonly edits: {
    readonly accepted: number;
    readonly refused: number;
    readonly unsure: number;
  };
  readonly orders: number;
  readonly runs: number;
  readonly messages: number;
  /** Callers' requests by outcome. */
  readonly calls: Readonly<Record<string, number>>;
  /** How often each kind of fault was injected, and under which conditions. */
  readonly faultCounts: ReadonlyMap<string, number>;
}

import type { MutationKind } from './mutation.js';
import type { RunTrace } from './run-trace.js';
import type { TroubleKind } from './trouble-kinds.js';

/** What one run of the simulation is told. */
export interface SimulationSettings {
  readonly seed: number;
  readonly edges: number;
  /** How long troubles go on, after a quiet beginning; then everything is healed. */
  readonly stormMs: number;
  /** Which troubles are brought about. */
  readonly troubles: readonly TroubleKind[];
  /** One thing wrong with the build, to show that the checks bite. */
  readonly wrong?: MutationKind;
  /** Takes down what the run shows to its outside. */
  readonly runTrace?: RunTrace;
}

/** What one run of the simulation found and counted. */
export interface SimulationResult {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Virtual milliseconds without any control node that may order, in the storm. */
  readonly leaderlessMs: readonly number[];
  readonly serveMs: number;
  readonly edits: {
    readonly accepted: number;
    readonly refused: number;
    readonly unsure: number;
  };
  readonly orders: number;
  readonly runs: number;
  readonly messages: number;
  readonly calls: Readonly<Record<string, number>>;
  /** How often each trouble met what was going on. */
  readonly met: ReadonlyMap<string, number>;
}

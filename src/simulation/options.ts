/** Which losses of machines a run may cause at one time. */
export type LossLimit =
  /** Never more than the contract tolerates: the run also requires that orders are answered in time. */
  | 'tolerated'
  /** Any number of machines, but not of disks: until all faults have ended the run requires only safety. */
  | 'any'
  /** Any number of machines and disks: more than is tolerated, to show that the rules detect it. */
  | 'unlimited';

/** The options of a run, which is a pure function of these and its schedule of faults. */
export interface SimulationOptions {
  /** The seed of all random numbers. */
  readonly seed: number;
  /** Number of voting control nodes at the start. */
  readonly nodes: 3 | 5;
  /** Number of empty control machines that join once the fleet has started. */
  readonly spares: number;
  /** Number of agents. */
  readonly agents: number;
  /** Number of operators. */
  readonly operators: 1 | 2;
  /** Length of the phase with faults in milliseconds; phases without faults precede and follow it. */
  readonly troubleMs: number;
  /** Which losses the run may cause. */
  readonly lossLimit: LossLimit;
  /** Whether runners check fences. */
  readonly isFenced: boolean;
  /** Mean time between two actions of one operator, in milliseconds. */
  readonly paceMs: number;
}

/** Default options. */
export const OPTION_DEFAULTS = {
  nodes: 3,
  spares: 0,
  agents: 3,
  operators: 2,
  troubleMs: 25_000,
  lossLimit: 'tolerated',
  isFenced: false,
  paceMs: 400,
} as const;

/** Number of machines out of `nodes` that may be lost at once. */
export function toleratedLosses(nodes: number): number {
  return Math.floor((nodes - 1) / 2);
}

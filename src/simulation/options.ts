/** Which losses a run may bring about at one time. */
export type LossLimit =
  /** Never more than the contract tolerates: the run also demands that orders are answered in time. */
  | 'tolerated'
  /** Any number, disks apart: the run demands safety alone until all trouble has ended. */
  | 'any'
  /** Disks as well: more than can be borne, to show that the rules bite. */
  | 'unlimited';

/** What a run is made of, beside its schedule of faults; the run is a pure function of both. */
export interface SimulationOptions {
  readonly seed: number;
  readonly nodes: 3 | 5;
  /** Empty control machines that join once the fleet stands. */
  readonly spares: number;
  readonly agents: number;
  readonly operators: 1 | 2;
  /** How long faults go on; a quiet beginning and a calm end come on top. */
  readonly troubleMs: number;
  readonly lossLimit: LossLimit;
  /** Whether runners check fences. */
  readonly isFenced: boolean;
  /** Mean pause between two actions of one operator. */
  readonly paceMs: number;
}

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

/** How many machines of so many may be lost at once. */
export function toleratedLosses(nodes: number): number {
  return Math.floor((nodes - 1) / 2);
}

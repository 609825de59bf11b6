import { Simulation } from '../../rehearsal/simulation.js';
import { TROUBLES } from '../../rehearsal/trouble-kinds.js';
import { simulate } from '../control-simulation.js';
import { MIXED, optionsOf, shapeOf } from '../run-shape.js';
import { drawSchedule } from '../schedule-draw.js';
import { runDispatcher } from './dispatcher-run.js';
import { runOrders } from './orders-run.js';
import { runPlanner } from './planner-run.js';
import { runRelay } from './relay-run.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

/** What is run, and compared, under a seed. */
export interface PinnedKind {
  /** How many seeds, from 1 on, have a recorded digest. */
  readonly seeds: number;
  /** Runs a seed and digests its trace. */
  run(seed: number, log?: TraceLog): string;
}

const MIXED_SEEDS = 500;
const STORM_SEEDS = 100;
const RELAY_SEEDS = 60;
const ORDERS_SEEDS = 60;
const DISPATCHER_SEEDS = 1000;
const PLANNER_SEEDS = 500;
/** Virtual time of troubles in a storm. */
const STORM_MS = 25_000;
const STORM_PROXIES = 3;

function runMixed(seed: number, log?: TraceLog): string {
  const options = optionsOf(seed, shapeOf(seed, MIXED));
  const digest = new TraceDigest(log);
  simulate(options, drawSchedule(options), undefined, undefined, digest);
  return digest.finish();
}

function runStorm(seed: number, log?: TraceLog): string {
  const runTrace = new TraceDigest(log);
  const fixed = { edges: STORM_PROXIES, stormMs: STORM_MS, troubles: TROUBLES };
  new Simulation({ seed, ...fixed, runTrace }).run();
  return runTrace.finish();
}

/** Everything whose behaviour is pinned by digests of seeded runs. */
export const PINNED_KINDS = {
  /** The deployed control side under faults (`haretrack rehearsal control --shape mixed`). */
  mixed: { seeds: MIXED_SEEDS, run: runMixed },
  /** A fleet of the table of policies under all troubles (`haretrack rehearsal storm`). */
  storms: { seeds: STORM_SEEDS, run: runStorm },
  /** The deployed control plane with many agents, a fleet that changes and runners that leave. */
  relay: { seeds: RELAY_SEEDS, run: runRelay },
  /** Operators' commands of every kind, a voter replaced or a new cluster forced, under the policy table. */
  orders: { seeds: ORDERS_SEEDS, run: runOrders },
  /** The proxy's dispatcher alone, under drawn requests, answers, faults and words on the fleet. */
  dispatcher: { seeds: DISPATCHER_SEEDS, run: runDispatcher },
  /** The planner alone, under drawn demand, runners, lost orders, configurations and leaders. */
  planner: { seeds: PLANNER_SEEDS, run: runPlanner },
} as const satisfies Record<string, PinnedKind>;
export type PinnedKindName = keyof typeof PINNED_KINDS;

export function isPinnedKind(text: string): text is PinnedKindName {
  return text in PINNED_KINDS;
}

export const PINNED_KIND_NAMES: readonly PinnedKindName[] =
  Object.keys(PINNED_KINDS).filter(isPinnedKind);

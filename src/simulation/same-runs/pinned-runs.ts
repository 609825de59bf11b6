import { Simulation } from '../../rehearsal/simulation.js';
import { FAULT_KINDS } from '../../rehearsal/fault-kinds.js';
import { simulate } from '../control-simulation.js';
import { MIXED, optionsOf, shapeOf } from '../run-shape.js';
import { drawSchedule } from '../schedule-draw.js';
import { runDispatcher } from './dispatcher-run.js';
import { runOrders } from './orders-run.js';
import { runPlanner } from './planner-run.js';
import { runRelay } from './relay-run.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

/** A kind of run whose traces are compared with recorded digests. */
export interface PinnedKind {
  /** How many seeds, starting with 1, have a recorded digest. */
  readonly seeds: number;
  /** Runs a seed and returns the digest of its trace. */
  run(seed: number, log?: TraceLog): string;
}

const MIXED_SEEDS = 500;
const STORM_SEEDS = 100;
const RELAY_SEEDS = 60;
const ORDERS_SEEDS = 60;
const DISPATCHER_SEEDS = 1000;
const PLANNER_SEEDS = 500;
/** Virtual time during which a storm injects faults. */
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
  const fixed = { edges: STORM_PROXIES, faultPeriodMs: STORM_MS, faultKinds: FAULT_KINDS };
  new Simulation({ seed, ...fixed, runTrace }).run();
  return runTrace.finish();
}

/** All kinds of runs whose behavior is pinned by recorded digests of seeded runs. */
export const PINNED_KINDS = {
  /** The deployed control plane under faults (`haretrack rehearsal control --shape mixed`). */
  mixed: { seeds: MIXED_SEEDS, run: runMixed },
  /** A fleet under the policy table with all kinds of faults (`haretrack rehearsal storm`). */
  storms: { seeds: STORM_SEEDS, run: runStorm },
  /** The deployed control plane with many agents, a changing fleet and draining runners. */
  relay: { seeds: RELAY_SEEDS, run: runRelay },
  /** Operators' commands of every kind under the policy table, then a voter is replaced or a new cluster forced. */
  orders: { seeds: ORDERS_SEEDS, run: runOrders },
  /** The proxy's dispatcher alone, with random requests, responses, faults and fleet updates. */
  dispatcher: { seeds: DISPATCHER_SEEDS, run: runDispatcher },
  /** The planner alone, with random demand, runners, lost orders, configurations and leader changes. */
  planner: { seeds: PLANNER_SEEDS, run: runPlanner },
} as const satisfies Record<string, PinnedKind>;
/** The name of a kind of run. */
export type PinnedKindName = keyof typeof PINNED_KINDS;

/** Whether a text is the name of a kind of run. */
export function isPinnedKind(text: string): text is PinnedKindName {
  return text in PINNED_KINDS;
}

/** The names of all kinds of runs. */
export const PINNED_KIND_NAMES: readonly PinnedKindName[] =
  Object.keys(PINNED_KINDS).filter(isPinnedKind);

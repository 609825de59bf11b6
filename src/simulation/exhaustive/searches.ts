import { Cluster } from './cluster.js';
import { UNUSED_CLASSES } from './control-node.js';
import { BoundedFaults } from './bounded-faults.js';
import { Explorer, type Bounds, type Verdict } from './explorer.js';
import { Interleavings } from './interleavings.js';
import type { Protocol } from './protocol.js';
import {
  election,
  JOINT_VOTERS,
  refusalOnNewerBase,
  refusal,
  repair,
  replication,
  RIVAL_ORDERS,
  SEEDS,
  SHORT_FAULTS,
  voterChangeWithFaults,
  voterChangeWithVoterFaults,
  voterChange,
  voterRestart,
} from './searched-protocols.js';
import { StateDigest } from './state-digest.js';
import { JOINT_SET_ON_TWO, THREE_GENERATIONS } from './voter-restart-protocol.js';

/** The names by which the command selects a model. */
export const MODEL_NAMES = [
  'election',
  'replication',
  'voter-change',
  'repair',
  'refusal',
] as const;
/** The name of a model. */
export type ModelName = (typeof MODEL_NAMES)[number];

/** The extent of a search: every order of steps up to a depth, or long runs with a number of faults. */
export type Extent =
  | { readonly kind: 'every-order'; readonly depth: number }
  | { readonly kind: 'faults'; readonly faults: number };

/** The result of a search, with the number of distinct states of single nodes from which it ran the production code. */
export interface SearchReport extends Verdict {
  readonly nodeStates: number;
}

/** One search that the command or the tests can run. */
export interface Search {
  readonly model: ModelName;
  /** What it explores, as shown by the command. */
  readonly title: string;
  /** Whether it takes up to minutes, so that it is run only manually. */
  readonly isLong: boolean;
  /** The default extent: all short searches together take less than a minute on one processor. */
  readonly usual: Extent;
  /** Runs the search up to this extent and number of states. */
  run(extent: Extent, states: number, progress?: (report: SearchReport) => void): SearchReport;
}

/** Longer than any run with a few faults, so that it does not limit the search. */
const MAX_RUN_STEPS = 2000;

/** Explores one protocol up to an extent and a number of states. */
export function explore<Command, Event, Facts, Ghost>(
  protocol: Protocol<Command, Event, Facts, Ghost>,
  extent: Extent,
  states: number,
  progress?: (report: SearchReport) => void,
): SearchReport {
  const digest = new StateDigest(UNUSED_CLASSES);
  const cluster = new Cluster(protocol, digest);
  function report(verdict: Verdict): SearchReport {
    return { ...verdict, nodeStates: cluster.localStateCount };
  }
  function reportProgress(verdict: Verdict): void {
    progress?.(report(verdict));
  }
  try {
    if (extent.kind === 'faults') {
      const bounds: Bounds = { depth: MAX_RUN_STEPS, states };
      return report(
        new Explorer(new BoundedFaults(cluster, extent.faults)).run(bounds, reportProgress),
      );
    }
    const bounds: Bounds = { depth: extent.depth, states };
    return report(new Explorer(new Interleavings(cluster)).run(bounds, reportProgress));
  } finally {
    digest.close();
  }
}

/** A short search of the protocol that `createProtocol` creates. */
function search<Command, Event, Facts, Ghost>(
  model: ModelName,
  title: string,
  usual: Extent,
  createProtocol: () => Protocol<Command, Event, Facts, Ghost>,
): Search {
  function run(
    extent: Extent,
    states: number,
    progress?: (report: SearchReport) => void,
  ): SearchReport {
    return explore(createProtocol(), extent, states, progress);
  }
  return { model, title, isLong: false, usual, run };
}

function everyOrder(depth: number): Extent {
  return { kind: 'every-order', depth };
}

function withFaults(faults: number): Extent {
  return { kind: 'faults', faults };
}

/** The clock step at which a search with a frozen former leader begins. */
const AFTER_TAKEOVER_CLOCK_STEPS = 9;
/** One more than the clock step at which a search with an order in force begins. */
const AFTER_ORDER_CLOCK_STEPS = 4;
/** A successor begins a second change at step 17 at the earliest; by this step it is over even if it was begun twice. */
const SECOND_CHANGE_CLOCK_STEPS = 23;
/** From the first start of the cluster: until a restarted leader has made the change in its second term. */
const RESTART_CLOCK_STEPS = 14;

/** Run with the tests: together less than half a minute on one processor. */
const SHORT_SEARCHES: readonly Search[] = [
  search('election', 'first', everyOrder(5), () => election('first', false)),
  search('election', 'contested', everyOrder(4), () => election('contested', false)),
  search('election', 'contested, late syncs', everyOrder(3), () => election('contested', true)),
  search('election', 'after a leader', withFaults(1), () => election('after a leader', false)),
  search('replication', 'calm', everyOrder(5), () => replication('calm', true)),
  search('replication', 'takeover', everyOrder(5), () => replication('takeover', false)),
  search('voter-change', 'a failed voter returns', withFaults(0), voterChange),
  search('voter-change', 'a voter restarts during the change', withFaults(1), () =>
    voterChangeWithVoterFaults(RESTART_CLOCK_STEPS, ['restart']),
  ),
  search('voter-change', 'three sets of voters on the disks of a restart', withFaults(1), () =>
    voterRestart(THREE_GENERATIONS, SHORT_FAULTS),
  ),
  search('voter-change', 'a joint set on two of three disks of a restart', withFaults(1), () =>
    voterRestart(JOINT_SET_ON_TWO, ['drop']),
  ),
  search('repair', 'calm', everyOrder(5), () => repair('calm', [SEEDS])),
  search('repair', 'wiped', everyOrder(7), () => repair('wiped', [SEEDS])),
  search('repair', 'wiped after a grant', everyOrder(7), () =>
    repair('wiped after a grant', [SEEDS]),
  ),
  search('repair', 'calm, two sets', everyOrder(4), () => repair('calm', JOINT_VOTERS)),
  search('repair', 'wiped, two sets', everyOrder(6), () => repair('wiped', JOINT_VOTERS)),
  search('refusal', 'two orders at a follower', withFaults(0), refusal),
  search('refusal', 'newer orders at a thawed leader and its successor', withFaults(0), () =>
    refusalOnNewerBase({
      beginning: 'former leader frozen',
      clockSteps: AFTER_TAKEOVER_CLOCK_STEPS,
    }),
  ),
  search('refusal', 'newer orders at the leader and a follower', withFaults(0), () =>
    refusalOnNewerBase({
      beginning: 'after an order',
      clockSteps: AFTER_ORDER_CLOCK_STEPS,
    }),
  ),
];

/** The same search, marked as long. */
function longSearch(found: Search): Search {
  return { ...found, isLong: true };
}

/** Seconds to minutes each. */
const LONG_SEARCHES: readonly Search[] = [
  longSearch(
    search(
      'voter-change',
      'a joint set on two of three disks of a restart, every short fault',
      withFaults(1),
      () => voterRestart(JOINT_SET_ON_TWO, SHORT_FAULTS),
    ),
  ),
  longSearch(
    search('voter-change', 'a node is frozen during the change', withFaults(1), () =>
      voterChangeWithFaults(['freeze']),
    ),
  ),
  longSearch(
    search('voter-change', 'a node is cut off during the change', withFaults(1), () =>
      voterChangeWithFaults(['cut']),
    ),
  ),
  longSearch(
    search('voter-change', 'a disk stalls during the change', withFaults(1), () =>
      voterChangeWithFaults(['stall']),
    ),
  ),
  longSearch(
    search(
      'voter-change',
      'a node restarts, a message is lost or timers are late during the change',
      withFaults(1),
      () => voterChangeWithFaults(['restart', 'drop', 'skip']),
    ),
  ),
  longSearch(
    search('voter-change', 'a message is delivered again during the change', withFaults(1), () =>
      voterChangeWithFaults(['receive']),
    ),
  ),
  longSearch(
    search(
      'voter-change',
      'a voter is frozen during the change, up to the end of a second one',
      withFaults(1),
      () => voterChangeWithVoterFaults(SECOND_CHANGE_CLOCK_STEPS, ['freeze']),
    ),
  ),
  longSearch(
    search(
      'refusal',
      'newer orders at a thawed leader and its successor, longer',
      withFaults(0),
      () =>
        refusalOnNewerBase({
          beginning: 'former leader frozen',
          clockSteps: AFTER_TAKEOVER_CLOCK_STEPS + 2,
        }),
    ),
  ),
  longSearch(
    search('refusal', 'newer orders at the leader and a follower, longer', withFaults(0), () =>
      refusalOnNewerBase({
        beginning: 'after an order',
        clockSteps: AFTER_ORDER_CLOCK_STEPS + 2,
      }),
    ),
  ),
  longSearch(
    search(
      'refusal',
      'two newer orders at a thawed leader and its successor, a message lost, timers late or a restart',
      withFaults(1),
      () =>
        refusalOnNewerBase({
          beginning: 'former leader frozen',
          clockSteps: AFTER_TAKEOVER_CLOCK_STEPS,
          kinds: SHORT_FAULTS,
          orders: RIVAL_ORDERS,
        }),
    ),
  ),
];

/** All searches, the short ones first. */
export const SEARCHES: readonly Search[] = [...SHORT_SEARCHES, ...LONG_SEARCHES];

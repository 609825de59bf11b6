import { Cluster } from './cluster.js';
import { UNUSED_CLASSES } from './control-node.js';
import { Departures } from './departures.js';
import { Explorer, type Bounds, type Verdict } from './explorer.js';
import { Interleavings } from './interleavings.js';
import type { Protocol } from './protocol.js';
import {
  election,
  JOINT,
  newerRefusal,
  refusal,
  repair,
  replication,
  RIVAL_ORDERS,
  SEEDS,
  SHORT_FAULTS,
  troubledChange,
  troubledVoters,
  voterChange,
} from './searched-protocols.js';
import { StateDigest } from './state-digest.js';

export const MODEL_NAMES = [
  'election',
  'replication',
  'voter-change',
  'repair',
  'refusal',
] as const;
export type ModelName = (typeof MODEL_NAMES)[number];

/** How far one search goes: every order of steps to a depth, or a number of faults in an otherwise calm run. */
export type Extent =
  | { readonly kind: 'every-order'; readonly depth: number }
  | { readonly kind: 'faults'; readonly faults: number };

/** What one search found, and how many states of single nodes it ran the real code from. */
export interface SearchReport extends Verdict {
  readonly nodeStates: number;
}

export interface Search {
  readonly model: ModelName;
  /** What it explores, as the command tells it. */
  readonly title: string;
  /** Whether it takes minutes, so that it is run by hand alone. */
  readonly isLong: boolean;
  /** Chosen so that all searches together fit into a minute of one processor. */
  readonly usual: Extent;
  run(extent: Extent, states: number, progress?: (report: SearchReport) => void): SearchReport;
}

/** No calm run with a few faults is as long as this. */
const LONGEST_RUN = 2000;

/** Explores one protocol. */
export function explore<Command, Event, Facts, Ghost>(
  protocol: Protocol<Command, Event, Facts, Ghost>,
  extent: Extent,
  states: number,
  progress?: (report: SearchReport) => void,
): SearchReport {
  const digest = new StateDigest(UNUSED_CLASSES);
  const cluster = new Cluster(protocol, digest);
  function report(verdict: Verdict): SearchReport {
    return { ...verdict, nodeStates: cluster.localStates };
  }
  function tell(verdict: Verdict): void {
    progress?.(report(verdict));
  }
  try {
    if (extent.kind === 'faults') {
      const bounds: Bounds = { depth: LONGEST_RUN, states };
      return report(new Explorer(new Departures(cluster, extent.faults)).run(bounds, tell));
    }
    const bounds: Bounds = { depth: extent.depth, states };
    return report(new Explorer(new Interleavings(cluster)).run(bounds, tell));
  } finally {
    digest.close();
  }
}

/** A search over the protocol that `make` brings. */
function search<Command, Event, Facts, Ghost>(
  model: ModelName,
  title: string,
  usual: Extent,
  make: () => Protocol<Command, Event, Facts, Ghost>,
): Search {
  function run(
    extent: Extent,
    states: number,
    progress?: (report: SearchReport) => void,
  ): SearchReport {
    return explore(make(), extent, states, progress);
  }
  return { model, title, isLong: false, usual, run };
}

function everyOrder(depth: number): Extent {
  return { kind: 'every-order', depth };
}

function withFaults(faults: number): Extent {
  return { kind: 'faults', faults };
}

/** Where the clocks stand when a search begins with a frozen former leader. */
const AFTER_TAKEOVER_CLOCK_STEPS = 9;
/** One step more than where they stand when a search begins with an order in force. */
const AFTER_ORDER_CLOCK_STEPS = 4;
/** A successor begins a second change at step 17 at the earliest; it is over by then also where it was begun anew. */
const SECOND_CHANGE_CLOCK_STEPS = 23;
/** From the start of the founding: up to a leader that has made the change in its second term. */
const RESTART_CLOCK_STEPS = 14;

/** Run with the tests: together within half a minute of one processor. */
const SHORT_SEARCHES: readonly Search[] = [
  search('election', 'first', everyOrder(5), () => election('first', false)),
  search('election', 'contested', everyOrder(4), () => election('contested', false)),
  search('election', 'contested, late syncs', everyOrder(3), () => election('contested', true)),
  search('election', 'after a leader', withFaults(1), () => election('after a leader', false)),
  search('replication', 'calm', everyOrder(5), () => replication('calm', true)),
  search('replication', 'takeover', everyOrder(5), () => replication('takeover', false)),
  search('voter-change', 'the one that is gone returns', withFaults(0), voterChange),
  search('voter-change', 'a voter restarts during the change', withFaults(1), () =>
    troubledVoters(RESTART_CLOCK_STEPS, ['restart']),
  ),
  search('repair', 'calm', everyOrder(5), () => repair('calm', [SEEDS])),
  search('repair', 'wiped', everyOrder(7), () => repair('wiped', [SEEDS])),
  search('repair', 'wiped after a grant', everyOrder(7), () =>
    repair('wiped after a grant', [SEEDS]),
  ),
  search('repair', 'calm, two sets', everyOrder(4), () => repair('calm', JOINT)),
  search('repair', 'wiped, two sets', everyOrder(6), () => repair('wiped', JOINT)),
  search('refusal', 'two orders at a follower', withFaults(0), refusal),
  search('refusal', 'newer orders at a thawed leader and its successor', withFaults(0), () =>
    newerRefusal({
      beginning: 'former leader frozen',
      clockSteps: AFTER_TAKEOVER_CLOCK_STEPS,
    }),
  ),
  search('refusal', 'newer orders at the leader and a follower', withFaults(0), () =>
    newerRefusal({
      beginning: 'after an order',
      clockSteps: AFTER_ORDER_CLOCK_STEPS,
    }),
  ),
];

/** The same search, run by hand alone. */
function long(found: Search): Search {
  return { ...found, isLong: true };
}

/** Seconds to minutes each. */
const LONG_SEARCHES: readonly Search[] = [
  long(
    search('voter-change', 'a node is frozen during the change', withFaults(1), () =>
      troubledChange(['freeze']),
    ),
  ),
  long(
    search('voter-change', 'a node is cut off during the change', withFaults(1), () =>
      troubledChange(['cut']),
    ),
  ),
  long(
    search('voter-change', 'a disk stalls during the change', withFaults(1), () =>
      troubledChange(['stall']),
    ),
  ),
  long(
    search(
      'voter-change',
      'a node restarts, a message is lost or timers are late during the change',
      withFaults(1),
      () => troubledChange(['restart', 'drop', 'skip']),
    ),
  ),
  long(
    search('voter-change', 'a message comes again during the change', withFaults(1), () =>
      troubledChange(['receive']),
    ),
  ),
  long(
    search(
      'voter-change',
      'a voter is frozen during the change, up to the end of a second one',
      withFaults(1),
      () => troubledVoters(SECOND_CHANGE_CLOCK_STEPS, ['freeze']),
    ),
  ),
  long(
    search(
      'refusal',
      'newer orders at a thawed leader and its successor, longer',
      withFaults(0),
      () =>
        newerRefusal({
          beginning: 'former leader frozen',
          clockSteps: AFTER_TAKEOVER_CLOCK_STEPS + 2,
        }),
    ),
  ),
  long(
    search('refusal', 'newer orders at the leader and a follower, longer', withFaults(0), () =>
      newerRefusal({
        beginning: 'after an order',
        clockSteps: AFTER_ORDER_CLOCK_STEPS + 2,
      }),
    ),
  ),
  long(
    search(
      'refusal',
      'two newer orders at a thawed leader and its successor, a message lost, timers late or a restart',
      withFaults(1),
      () =>
        newerRefusal({
          beginning: 'former leader frozen',
          clockSteps: AFTER_TAKEOVER_CLOCK_STEPS,
          kinds: SHORT_FAULTS,
          orders: RIVAL_ORDERS,
        }),
    ),
  ),
];

export const SEARCHES: readonly Search[] = [...SHORT_SEARCHES, ...LONG_SEARCHES];

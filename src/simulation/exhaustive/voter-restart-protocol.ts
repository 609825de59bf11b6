import { CONFIG_PARTITION, VOTE_RECORD } from '../../state/partition-names.js';
import { documentOf } from '../../control/testing/plain-dialect.js';
import type { Message } from '../../common/messages.js';
import {
  CONTROL_STEP_MS,
  ControlNode,
  type ControlCommand,
  type ControlEvent,
  type ControlFacts,
  type ControlMistake,
} from './control-node.js';
import { withLeader, type Leaders } from './leaders.js';
import type { Boot, DiskWrite } from './local-states.js';
import type {
  FaultBounds,
  FaultKind,
  InvariantCheck,
  NodeCommand,
  Protocol,
  StepDetails,
  View,
} from './protocol.js';
import { checkVoterSets } from './quorate-sets.js';

const SEEDS = ['a', 'b', 'c'];
/** The leader `a` of the epoch before the restart is gone for good. */
const NODES = ['b', 'c', 'd'];
/** The epoch in which the disks were written. */
const EPOCH = 2;
const CONFIRMED_VERSION = 7;

/** The configuration on a node's disk: the sets of voters, the count of the version, and the operators' version. */
export interface DiskGeneration {
  readonly sets: readonly (readonly string[])[];
  readonly count: number;
  readonly version: number;
}

/** What the three nodes have on their disks when all of them restart. */
export type DiskGenerations = readonly [DiskGeneration, DiskGeneration, DiskGeneration];

/** `d` replaced `b`, then `b` replaced `c`; `b` has stored neither change, `c` the first, and `d` both. */
export const THREE_GENERATIONS: DiskGenerations = [
  { sets: [SEEDS], count: 3, version: 5 },
  { sets: [['a', 'd', 'c']], count: 6, version: 5 },
  { sets: [['a', 'd', 'b']], count: 9, version: CONFIRMED_VERSION },
];

/** `d` replaces `c`: `b` knows nothing of it, `c` and `d` have the joint set, which is on a majority of both sets. */
export const JOINT_SET_ON_TWO: DiskGenerations = [
  { sets: [SEEDS], count: 3, version: 5 },
  { sets: [SEEDS, ['a', 'b', 'd']], count: 5, version: CONFIRMED_VERSION },
  { sets: [SEEDS, ['a', 'b', 'd']], count: 5, version: CONFIRMED_VERSION },
];

/** Limits of a search of a restart. */
export interface VoterRestartBounds extends FaultBounds {
  readonly kinds: readonly FaultKind[];
  /** The clock step by which a leader must have served, whatever the faults that `kinds` allows. */
  readonly servesBy: number;
}

/** History that the invariants need. */
export interface VoterRestartGhost {
  readonly leaders: Leaders;
  /** Whether a leader has served since the restart. */
  readonly hasServed: boolean;
}

type RestartView = View<ControlFacts, VoterRestartGhost>;

/**
 * All nodes restart with sets of voters on their disks that differ from node to node, and the former leader is gone. A
 * majority of the newest set is up, so that a leader must serve, and it must serve what was confirmed.
 */
export class VoterRestartProtocol implements Protocol<
  ControlCommand,
  ControlEvent,
  ControlFacts,
  VoterRestartGhost
> {
  readonly name = 'voter restart';
  readonly nodes = NODES;
  readonly lastingFaultsEnd = 'when the clocks advance';
  readonly clockStepMs = CONTROL_STEP_MS;
  readonly isBundled = true;
  readonly firstFrozen = 0;
  readonly faults: VoterRestartBounds;
  readonly firstDisks: readonly (readonly DiskWrite[])[];
  readonly firstGhost: VoterRestartGhost = { leaders: {}, hasServed: false };

  readonly #mistake: ControlMistake | undefined;

  constructor(generations: DiskGenerations, faults: VoterRestartBounds, mistake?: ControlMistake) {
    this.faults = faults;
    this.#mistake = mistake;
    this.firstDisks = generations.map(diskOf);
  }

  start(boot: Boot): ControlNode {
    return new ControlNode(NODES[boot.node] ?? '', SEEDS, false, boot, this.#mistake);
  }

  prepare(): void {
    // The search begins with the restart.
  }

  allowsFault(_view: RestartView, kind: FaultKind): boolean {
    return this.faults.kinds.includes(kind);
  }

  mayArriveLate({ kind }: Message): boolean {
    return kind === 'update' || kind === 'victory' || kind === 'granted';
  }

  commands(): readonly NodeCommand<ControlCommand>[] {
    return [];
  }

  checkInvariants(
    before: RestartView,
    after: RestartView,
    details: StepDetails<ControlCommand, ControlEvent>,
  ): InvariantCheck<VoterRestartGhost> {
    const { ghost } = before;
    if (details.node === undefined) return { ghost, violation: this.#checkProgress(after) };
    const facts = after.facts[details.node];
    const { leaders, violation } = facts?.isLeading
      ? withLeader(ghost.leaders, facts.epoch, details.node)
      : { leaders: ghost.leaders, violation: undefined };
    return {
      ghost: { leaders, hasServed: ghost.hasServed || facts?.isServing === true },
      violation:
        violation ?? checkServing(facts) ?? checkVoterSets(NODES, setsOf(after), 'in memory'),
    };
  }

  #checkProgress({ clock, ghost }: RestartView): string | undefined {
    if (clock < this.faults.servesBy || ghost.hasServed) return undefined;
    return `no leader has served by step ${clock}`;
  }
}

function diskOf({ sets, count, version }: DiskGeneration): readonly DiskWrite[] {
  const routing = { version, text: documentOf(version) };
  const config = {
    number: 1,
    table: { mappings: [], rows: [] },
    emptied: [],
    edits: [],
    voters: sets,
    routing,
  };
  const record = { epoch: EPOCH, grantEpoch: EPOCH, grantLeader: 'a', isFree: true };
  return [
    { slot: CONFIG_PARTITION, epoch: EPOCH, count, body: JSON.stringify(config) },
    { slot: VOTE_RECORD, epoch: EPOCH, count: 1, body: JSON.stringify(record) },
  ];
}

/** A leader that serves must know what was confirmed. */
function checkServing(facts: ControlFacts | undefined): string | undefined {
  if (!facts?.isServing || facts.version >= CONFIRMED_VERSION) return undefined;
  return `serves version ${facts.version} though ${CONFIRMED_VERSION} was confirmed`;
}

function setsOf({ facts }: RestartView): readonly ControlFacts['voters'][] {
  return facts.map(({ voters }) => voters);
}

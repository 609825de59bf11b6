import { CONFIG_PARTITION } from '../../state/partition-names.js';
import type { Message } from '../../common/messages.js';
import {
  CONTROL_STEP_MS,
  ControlNode,
  parseConfig,
  type ControlCommand,
  type ControlEvent,
  type ControlFacts,
  type ControlMistake,
} from './control-node.js';
import { isOfSlot } from './disk.js';
import { withLeader, type Leaders } from './leaders.js';
import { checkVoterSets, type VoterSets } from './quorate-sets.js';
import type { Boot, DiskWrite } from './local-states.js';
import type {
  FaultFreeRun,
  FaultBounds,
  FaultKind,
  StepDetails,
  InvariantCheck,
  NodeCommand,
  Protocol,
  View,
} from './protocol.js';

const SEEDS = ['a', 'b', 'c'];
const SPARE = 'd';
const NODES = [...SEEDS, SPARE];
/** The voter that has failed (is frozen) when the search begins. */
const FAILED_VOTER = 2;
/** Clock steps until there is a leader that serves and the spare has read all partitions. */
const FOUNDING_CLOCK_STEPS = 5;
/** Clock steps of the voter's silence up to just before the leader replaces it. */
const SILENT_CLOCK_STEPS = 5;
const FIRST_ORDER = { id: 'first', base: 0, version: 7 };
const SECOND_ORDER = { id: 'second', base: 7, version: 9 };

/** Limits of a search of a change of voters. */
export interface VoterChangeBounds extends FaultBounds {
  /** Whether a second order may be sent during the change of voters. */
  readonly hasSecondOrder: boolean;
  /** The nodes and kinds of the faults that may be injected; only during a change of voters if `isMidChange`. */
  readonly victims: readonly number[];
  readonly kinds: readonly FaultKind[];
  readonly isMidChange: boolean;
  readonly lastingFaultsEnd: 'when no message is in transit' | 'when the clocks advance';
}

/** History that the invariants need. */
export interface VoterChangeGhost {
  readonly leaders: Leaders;
  /** The newest version that was confirmed to an operator. */
  readonly confirmed: number;
  /** Whether the second order was sent. */
  readonly hasOrdered: boolean;
}

type ChangeView = View<ControlFacts, VoterChangeGhost>;

/** A spare replaces a failed voter: no two sets of voters may decide independently, and no confirmed order may be lost. */
export class VoterChangeProtocol implements Protocol<
  ControlCommand,
  ControlEvent,
  ControlFacts,
  VoterChangeGhost
> {
  readonly name = 'voter change';
  readonly nodes = NODES;
  readonly lastingFaultsEnd: VoterChangeBounds['lastingFaultsEnd'];
  readonly clockStepMs = CONTROL_STEP_MS;
  readonly isBundled = true;
  readonly firstFrozen = 1 << FAILED_VOTER;
  readonly faults: VoterChangeBounds;
  readonly firstDisks: readonly (readonly DiskWrite[])[] = [[], [], [], []];
  readonly firstGhost: VoterChangeGhost = { leaders: {}, confirmed: 0, hasOrdered: false };
  readonly #mistake: ControlMistake | undefined;

  constructor(faults: VoterChangeBounds, mistake?: ControlMistake) {
    this.faults = faults;
    this.lastingFaultsEnd = faults.lastingFaultsEnd;
    this.#mistake = mistake;
  }

  start(boot: Boot): ControlNode {
    const me = NODES[boot.node] ?? '';
    return new ControlNode(me, SEEDS, me !== SPARE, boot, this.#mistake);
  }

  prepare(run: FaultFreeRun<ControlCommand>): void {
    for (let step = 0; step < FOUNDING_CLOCK_STEPS; step += 1) {
      for (const node of NODES.keys()) run.tick(node);
      run.advance();
    }
    run.command(0, { call: 1, order: FIRST_ORDER });
    run.freeze(FAILED_VOTER);
    for (let step = 0; step < SILENT_CLOCK_STEPS; step += 1) {
      for (const node of NODES.keys()) if (node !== FAILED_VOTER) run.tick(node);
      run.advance();
    }
    run.discardMessages();
  }

  allowsFault({ facts }: ChangeView, kind: FaultKind, node: number): boolean {
    const { kinds, victims, isMidChange } = this.faults;
    if (!kinds.includes(kind) || !victims.includes(node)) return false;
    return !isMidChange || isChanging(facts);
  }

  mayArriveLate(message: Message): boolean {
    const { kind } = message;
    return kind === 'write' || kind === 'writeReply' || kind === 'granted' || kind === 'victory';
  }

  commands(view: ChangeView): readonly NodeCommand<ControlCommand>[] {
    if (!this.faults.hasSecondOrder || view.ghost.hasOrdered) return [];
    const found: NodeCommand<ControlCommand>[] = [];
    for (const [node, { isServing }] of view.facts.entries()) {
      if (isServing) found.push({ node, command: { call: 2, order: SECOND_ORDER } });
    }
    return found;
  }

  checkInvariants(
    before: ChangeView,
    after: ChangeView,
    details: StepDetails<ControlCommand, ControlEvent>,
  ): InvariantCheck<VoterChangeGhost> {
    if (details.node === undefined) return { ghost: before.ghost, violation: undefined };
    const facts = after.facts[details.node];
    const { leaders: known } = before.ghost;
    const leaderCheck = facts?.isLeading
      ? withLeader(known, facts.epoch, details.node)
      : { leaders: known, violation: undefined };
    const ghost = withOrders({ ...before.ghost, leaders: leaderCheck.leaders }, details);
    const wasServing = before.facts[details.node]?.isServing ?? false;
    const violation =
      leaderCheck.violation ??
      (wasServing ? undefined : checkServing(facts, ghost)) ??
      checkVoterSets(NODES, after.facts.map(votersOf), 'in memory') ??
      checkVoterSets(NODES, after.disks.map(votersOnDisk), 'on disk');
    return { ghost, violation };
  }
}

/** Whether a node knows of a joint set, or some set is known to a majority of its members but not yet to all of them. */
function isChanging(facts: readonly ControlFacts[]): boolean {
  for (const { voters } of facts) {
    const [set, following] = voters;
    if (!set || following) return true;
    const text = JSON.stringify(voters);
    let knowingCount = 0;
    for (const [node, known] of facts.entries()) {
      const isMember = set.includes(NODES[node] ?? '');
      if (isMember && JSON.stringify(known.voters) === text) knowingCount += 1;
    }
    if (knowingCount < set.length && 2 * knowingCount > set.length) return true;
  }
  return false;
}

function withOrders(
  ghost: VoterChangeGhost,
  details: StepDetails<ControlCommand, ControlEvent>,
): VoterChangeGhost {
  const hasOrdered = ghost.hasOrdered || details.command?.order.id === SECOND_ORDER.id;
  let { confirmed } = ghost;
  for (const { status, call } of details.events) {
    const { version } = call === 1 ? FIRST_ORDER : SECOND_ORDER;
    if (status === 200) confirmed = Math.max(confirmed, version);
  }
  return { ...ghost, hasOrdered, confirmed };
}

/** A leader that begins to serve must know every confirmed order. */
function checkServing(
  facts: ControlFacts | undefined,
  { confirmed }: VoterChangeGhost,
): string | undefined {
  if (!facts?.isServing || facts.version >= confirmed) return undefined;
  return `serves version ${facts.version} though ${confirmed} was confirmed`;
}

function votersOf(facts: ControlFacts): VoterSets {
  return facts.voters;
}

function votersOnDisk(disk: readonly DiskWrite[]): VoterSets {
  const write = disk.find((write) => isOfSlot(CONFIG_PARTITION, write));
  return write && parseConfig(write.body)?.voters;
}

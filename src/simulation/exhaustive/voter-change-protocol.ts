import { CONFIG_PARTITION } from '../../state/partition-names.js';
import { nodeId } from '../../common/ids.js';
import type { Message } from '../../common/messages.js';
import { Quorum } from '../../common/quorum.js';
import {
  CONTROL_STEP_MS,
  ControlNode,
  docOf,
  type ControlCommand,
  type ControlEvent,
  type ControlFacts,
  type ControlMistake,
} from './control-node.js';
import { isOfSlot } from './disk.js';
import { withLeader, type Leaders } from './leaders.js';
import type { Boot, DiskWrite } from './local-states.js';
import type {
  CalmRun,
  FaultBounds,
  FaultKind,
  Happening,
  Judgement,
  NodeCommand,
  Protocol,
  View,
} from './protocol.js';

const SEEDS = ['a', 'b', 'c'];
const SPARE = 'd';
const NODES = [...SEEDS, SPARE];
/** The voter that is gone when the search begins. */
const GONE = 2;
/** Steps of the clocks until there is a leader that serves and the spare has read everything. */
const FOUNDING_CLOCK_STEPS = 5;
/** Steps of silence up to just before the leader replaces a voter. */
const SILENT_CLOCK_STEPS = 5;
const FIRST_ORDER = { id: 'first', base: 0, version: 7 };
const SECOND_ORDER = { id: 'second', base: 7, version: 9 };

export interface VoterChangeBounds extends FaultBounds {
  /** Whether a second order may be given while the voters change. */
  readonly hasSecondOrder: boolean;
  /** Faults that may be made, and at which nodes; only while a change is under way if `isMidChange`. */
  readonly victims: readonly number[];
  readonly kinds: readonly FaultKind[];
  readonly isMidChange: boolean;
  readonly troublesEnd: 'at any pause' | 'with the clocks';
}

export interface VoterChangeGhost {
  readonly leaders: Leaders;
  /** The newest version that an operator was told to be in force. */
  readonly confirmed: number;
  readonly hasOrdered: boolean;
}

type ChangeView = View<ControlFacts, VoterChangeGhost>;

/** A spare takes the place of a voter that is gone: no two sets of voters can decide apart, and nothing is forgotten. */
export class VoterChangeProtocol implements Protocol<
  ControlCommand,
  ControlEvent,
  ControlFacts,
  VoterChangeGhost
> {
  readonly name = 'voter change';
  readonly nodes = NODES;
  readonly troublesEnd: VoterChangeBounds['troublesEnd'];
  readonly clockStepMs = CONTROL_STEP_MS;
  readonly isBundled = true;
  readonly firstFrozen = 1 << GONE;
  readonly faults: VoterChangeBounds;
  readonly firstDisks: readonly (readonly DiskWrite[])[] = [[], [], [], []];
  readonly firstGhost: VoterChangeGhost = { leaders: {}, confirmed: 0, hasOrdered: false };
  readonly #mistake: ControlMistake | undefined;

  constructor(faults: VoterChangeBounds, mistake?: ControlMistake) {
    this.faults = faults;
    this.troublesEnd = faults.troublesEnd;
    this.#mistake = mistake;
  }

  start(boot: Boot): ControlNode {
    const me = NODES[boot.node] ?? '';
    return new ControlNode(me, SEEDS, me !== SPARE, boot, this.#mistake);
  }

  prepare(calm: CalmRun<ControlCommand>): void {
    for (let step = 0; step < FOUNDING_CLOCK_STEPS; step += 1) {
      for (const node of NODES.keys()) calm.tick(node);
      calm.advance();
    }
    calm.command(0, { call: 1, order: FIRST_ORDER });
    calm.freeze(GONE);
    for (let step = 0; step < SILENT_CLOCK_STEPS; step += 1) {
      for (const node of NODES.keys()) if (node !== GONE) calm.tick(node);
      calm.advance();
    }
    calm.forget();
  }

  mayFail({ facts }: ChangeView, kind: FaultKind, node: number): boolean {
    const { kinds, victims, isMidChange } = this.faults;
    if (!kinds.includes(kind) || !victims.includes(node)) return false;
    return !isMidChange || isChanging(facts);
  }

  isWatched(message: Message): boolean {
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

  judge(
    before: ChangeView,
    after: ChangeView,
    did: Happening<ControlCommand, ControlEvent>,
  ): Judgement<VoterChangeGhost> {
    if (did.node === undefined) return { ghost: before.ghost, violation: undefined };
    const facts = after.facts[did.node];
    const { leaders: known } = before.ghost;
    const led = facts?.isLeading
      ? withLeader(known, facts.epoch, did.node)
      : { leaders: known, violation: undefined };
    const ghost = withOrders({ ...before.ghost, leaders: led.leaders }, did);
    const wasServing = before.facts[did.node]?.isServing ?? false;
    const violation =
      led.violation ??
      (wasServing ? undefined : judgeServing(facts, ghost)) ??
      judgeSets(after.facts.map(votersOf), 'in memory') ??
      judgeSets(after.disks.map(votersOnDisk), 'on disk');
    return { ghost, violation };
  }
}

/** Whether a node knows of a joint set, or a set that a majority of its members knows is not yet known to all of them. */
function isChanging(facts: readonly ControlFacts[]): boolean {
  for (const { voters } of facts) {
    const [set, following] = voters;
    if (!set || following) return true;
    const text = JSON.stringify(voters);
    let knowing = 0;
    for (const [node, known] of facts.entries()) {
      const isMember = set.includes(NODES[node] ?? '');
      if (isMember && JSON.stringify(known.voters) === text) knowing += 1;
    }
    if (knowing < set.length && 2 * knowing > set.length) return true;
  }
  return false;
}

function withOrders(
  ghost: VoterChangeGhost,
  did: Happening<ControlCommand, ControlEvent>,
): VoterChangeGhost {
  const hasOrdered = ghost.hasOrdered || did.command?.order.id === SECOND_ORDER.id;
  let { confirmed } = ghost;
  for (const { status, call } of did.events) {
    const { version } = call === 1 ? FIRST_ORDER : SECOND_ORDER;
    if (status === 200) confirmed = Math.max(confirmed, version);
  }
  return { ...ghost, hasOrdered, confirmed };
}

/** A leader that begins to serve must know what was confirmed. */
function judgeServing(
  facts: ControlFacts | undefined,
  { confirmed }: VoterChangeGhost,
): string | undefined {
  if (!facts?.isServing || facts.version >= confirmed) return undefined;
  return `serves version ${facts.version} though ${confirmed} was confirmed`;
}

type VoterSets = readonly (readonly string[])[] | undefined;

/** Sets that enough of their own members believe in could elect and commit by themselves: there may be one at most. */
function judgeSets(views: readonly VoterSets[], where: string): string | undefined {
  const believers = new Map<string, string[]>();
  for (const [node, sets] of views.entries()) {
    if (!sets) continue;
    const text = JSON.stringify(sets);
    believers.set(text, [...(believers.get(text) ?? []), NODES[node] ?? '']);
  }
  const able: string[] = [];
  for (const [node, sets] of views.entries()) {
    if (!sets) continue;
    const text = JSON.stringify(sets);
    const by = believers.get(text) ?? [];
    if (by[0] !== NODES[node]) continue;
    const quorum = new Quorum(...sets.map(idsOf));
    if (quorum.isMajority(new Set(by.map(nodeId)))) able.push(`${text} by ${by.join()}`);
  }
  if (able.length < 2) return undefined;
  return `two sets of voters could decide apart, ${where}: ${able.join(' and ')}`;
}

function idsOf(set: readonly string[]): ReturnType<typeof nodeId>[] {
  return set.map(nodeId);
}

function votersOf(facts: ControlFacts): VoterSets {
  return facts.voters;
}

function votersOnDisk(disk: readonly DiskWrite[]): VoterSets {
  const write = disk.find((write) => isOfSlot(CONFIG_PARTITION, write));
  return write && docOf(write.body)?.voters;
}

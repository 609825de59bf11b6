import { nodeId, later, moment, type NodeId, type Moment } from '../../common/ids.js';
import { parseAs } from '../../common/json.js';
import { boolean, number, optional, string, type } from 'superstruct';
import type { Message } from '../../common/messages.js';
import { Quorum } from '../../common/quorum.js';
import { Elector } from '../../election/elector.js';
import type { VoteRecord } from '../../election/vote-effect.js';
import type { VoteSettings } from '../../election/vote-settings.js';
import {
  CLOCK_STEP_MS,
  type FaultFreeRun,
  type FaultBounds,
  type StepDetails,
  type InvariantCheck,
  type NodeCommand,
  type Protocol,
  type View,
} from './protocol.js';
import { withLeader, type LeaderCheck, type Leaders } from './leaders.js';
import type { Boot, DiskWrite, Envelope, Input, Output, Subject } from './local-states.js';

const VOTE_SLOT = 'vote';
const RecordShape = type({
  epoch: number(),
  grantEpoch: number(),
  grantLeader: string(),
  isFree: optional(boolean()),
});

/** Clock steps at which permission to send orders is checked: up to two leases and a handover gap after any search. */
const CHECKED_CLOCK_STEPS = 24;
/** How long no node may send orders between the leases of two leaders. */
const HANDOVER_GAP_CLOCK_STEPS = 2;

/**
 * Roughly the proportions of the default timing, in few clock steps: a lease lasts two steps from its renewal, the handover
 * gap leaves one step between two leaders at which no node sends orders, and a round of proposals takes one step. Clocks do
 * not drift, and links always count as alive.
 */
const SETTINGS: VoteSettings = {
  pingMs: 2 * CLOCK_STEP_MS,
  peerTimeoutMs: 1000 * CLOCK_STEP_MS,
  halfLifeSeconds: 12 * 3600,
  electionMs: CLOCK_STEP_MS,
  renewMs: CLOCK_STEP_MS / 10,
  leaseMs: 2 * CLOCK_STEP_MS,
  handoverGapMs: HANDOVER_GAP_CLOCK_STEPS * CLOCK_STEP_MS,
  drift: 0,
  diskStallMs: 1000 * CLOCK_STEP_MS,
};

/** Deliberate mistakes that the invariants must detect. */
export type ElectionMistake =
  /** Messages are sent before the vote record that they depend on is synced. */
  | 'speaks-unsynced'
  /** A new leader sends orders as soon as the previous leader's lease is over, without the handover gap. */
  | 'no-lease-gap'
  /** The record of a grant is lost at a restart. */
  | 'grant-forgotten';

/** What the invariants need to know of one elector. */
export interface ElectionFacts {
  readonly epoch: number;
  readonly isLeading: boolean;
  /** The clock steps at which it may send orders if its state does not change. */
  readonly orderTimes: readonly number[];
}

/** History that the invariants need. */
export interface ElectionGhost {
  readonly leaders: Leaders;
  /** The last clock step at which each node may have sent orders; -1 once the handover gap has passed. */
  readonly orderedUntil: readonly number[];
}

/** Electors take no commands: they react to messages and timers alone. */
export type ElectionCommand = never;
/** Electors report no events. */
export type ElectionEvent = never;

/** One elector with its vote record on a disk. */
class ElectionNode implements Subject<ElectionCommand, ElectionEvent, ElectionFacts> {
  readonly #elector: Elector;
  readonly #mistake: ElectionMistake | undefined;
  readonly #firstToken: number;

  constructor(
    boot: Boot,
    nodes: readonly NodeId[],
    quorum: Quorum,
    mistake: ElectionMistake | undefined,
  ) {
    const { node, disk, now } = boot;
    this.#mistake = mistake;
    const me = nodes[node];
    if (me === undefined) throw new RangeError(`no node ${node}`);
    const settings = mistake === 'no-lease-gap' ? { ...SETTINGS, handoverGapMs: 0 } : SETTINGS;
    this.#firstToken = disk[0]?.count ?? 0;
    const record = recordOf(disk, mistake);
    this.#elector = new Elector(me, quorum, settings, now, record);
    // All links count as alive from the start: this model does not cover failures of links.
    this.#elector.tick(now);
    for (const peer of nodes) {
      if (peer === me) continue;
      const pong: Message = { kind: 'pong', nonce: now, epoch: 0, reports: [], standing: '' };
      this.#elector.onMessage(now, peer, pong);
    }
    this.#elector.drain();
  }

  get state(): unknown {
    return [this.#elector, this.#firstToken];
  }

  perform(now: Moment, input: Input<ElectionCommand>): Output<ElectionEvent> {
    if (input.kind === 'tick') this.#elector.tick(now);
    else if (input.kind === 'receive') {
      for (const message of input.messages) {
        this.#elector.onMessage(now, nodeId(input.from), message);
      }
    } else if (input.kind === 'stored') {
      this.#elector.onPersisted(input.write.count - this.#firstToken);
    }
    return this.#output();
  }

  #output(): Output<ElectionEvent> {
    const sends = [];
    const writes: DiskWrite[] = [];
    for (let effects = this.#elector.drain(); effects.length > 0; effects = this.#elector.drain()) {
      for (const effect of effects) {
        if (effect.do === 'persistVote') {
          const { record, token } = effect;
          const count = this.#firstToken + token;
          writes.push({ slot: VOTE_SLOT, epoch: 0, count, body: JSON.stringify(record) });
          if (this.#mistake === 'speaks-unsynced') this.#elector.onPersisted(token);
        } else if (effect.message.kind !== 'ping' && effect.message.kind !== 'pong') {
          sends.push({ to: effect.to, message: effect.message });
        }
      }
    }
    return { sends, writes, events: [] };
  }

  facts(): ElectionFacts {
    const orderTimes: number[] = [];
    for (let step = 0; step < CHECKED_CLOCK_STEPS; step += 1) {
      if (this.#elector.mayOrder(later(moment(0), step * CLOCK_STEP_MS))) orderTimes.push(step);
    }
    return { epoch: this.#elector.epoch, isLeading: this.#elector.isLeading(), orderTimes };
  }
}

function recordOf(
  disk: readonly DiskWrite[],
  mistake: ElectionMistake | undefined,
): VoteRecord | undefined {
  const [write] = disk;
  if (!write) return undefined;
  const record = parseAs(RecordShape, write.body);
  if (record && mistake === 'grant-forgotten') {
    return { epoch: Math.max(0, record.epoch - 1), grantEpoch: 0, grantLeader: '' };
  }
  return record;
}

const A = 0;
const B = 1;
const C = 2;

/** The state in which a search begins. */
export type ElectionBeginning =
  /** Three voters have just been started for the first time. */
  | 'first'
  /** The first node has been elected, and no message is in transit. */
  | 'after a leader'
  /** Two winners with overlapping deferrals request the same epoch, and one of them has been granted it. */
  | 'contested';

/** Elections, grants and leases of three voters: only the elector, with its vote record on a disk. */
export class ElectionProtocol implements Protocol<
  ElectionCommand,
  ElectionEvent,
  ElectionFacts,
  ElectionGhost
> {
  readonly name: string;
  readonly firstFrozen = 0;
  readonly lastingFaultsEnd = 'when no message is in transit';
  readonly clockStepMs = CLOCK_STEP_MS;
  readonly isBundled = false;
  readonly nodes: readonly NodeId[] = [nodeId('a'), nodeId('b'), nodeId('c')];
  readonly faults: FaultBounds;
  readonly firstGhost: ElectionGhost = { leaders: {}, orderedUntil: [-1, -1, -1] };
  readonly firstDisks: readonly (readonly DiskWrite[])[] = [[], [], []];
  readonly #quorum = new Quorum(this.nodes);
  readonly #beginning: ElectionBeginning;
  readonly #mistake: ElectionMistake | undefined;

  constructor(beginning: ElectionBeginning, faults: FaultBounds, mistake?: ElectionMistake) {
    this.name = `election, ${beginning}`;
    this.#beginning = beginning;
    this.faults = faults;
    this.#mistake = mistake;
  }

  start(boot: Boot): ElectionNode {
    return new ElectionNode(boot, this.nodes, this.#quorum, this.#mistake);
  }

  prepare(run: FaultFreeRun<ElectionCommand>): void {
    if (this.#beginning === 'after a leader') run.tick(A);
    run.discardMessages();
    if (this.#beginning !== 'contested') return;
    // The two best candidates propose at once; the third voter defers to the worse one first, then to the better one.
    run.holdMessages();
    run.tick(A);
    run.tick(B);
    run.deliver(B, C, 'propose');
    run.deliver(A, C, 'propose');
    run.deliver(C, B, 'defer');
    run.deliver(C, A, 'defer');
    run.advance();
    run.tick(A);
    run.tick(B);
    run.deliver(B, C, 'victory');
    run.deliver(C, B, 'granted');
  }

  allowsFault(): boolean {
    return true;
  }

  mayArriveLate(): boolean {
    return true;
  }

  commands(): readonly NodeCommand<ElectionCommand>[] {
    return [];
  }

  checkInvariants(
    before: View<ElectionFacts, ElectionGhost>,
    after: View<ElectionFacts, ElectionGhost>,
    details: StepDetails<ElectionCommand, ElectionEvent>,
  ): InvariantCheck<ElectionGhost> {
    const unsynced = details.sent.find((envelope) => isUnsynced(after.disks, envelope));
    if (unsynced) {
      const violation = `sent before its record was synced: ${JSON.stringify(unsynced.messages)}`;
      return { ghost: before.ghost, violation };
    }
    const leaderCheck = checkLeaders(after, before.ghost.leaders);
    const orderCheck = checkOrders(before, after, details.isAdvance);
    const isSame = leaderCheck.leaders === before.ghost.leaders && !orderCheck.hasChanged;
    const ghost = isSame
      ? before.ghost
      : { leaders: leaderCheck.leaders, orderedUntil: orderCheck.orderedUntil };
    return { ghost, violation: leaderCheck.violation ?? orderCheck.violation };
  }
}

function checkLeaders(after: View<ElectionFacts, ElectionGhost>, known: Leaders): LeaderCheck {
  let check: LeaderCheck = { leaders: known, violation: undefined };
  for (const [node, { isLeading, epoch }] of after.facts.entries()) {
    if (!isLeading || check.violation !== undefined) continue;
    check = withLeader(check.leaders, epoch, node);
  }
  return check;
}

interface OrderCheck {
  readonly orderedUntil: readonly number[];
  readonly hasChanged: boolean;
  readonly violation: string | undefined;
}

/** A node that may send orders when the clocks advance may have done so at any time up to the new clock step. */
function checkOrders(
  before: View<ElectionFacts, ElectionGhost>,
  after: View<ElectionFacts, ElectionGhost>,
  isAdvance: boolean,
): OrderCheck {
  const { orderedUntil } = before.ghost;
  let next = orderedUntil;
  for (const [node, until] of orderedUntil.entries()) {
    const mayHave = isAdvance && before.facts[node]?.orderTimes.includes(before.clock);
    const may = after.facts[node]?.orderTimes.includes(after.clock) ?? false;
    let last = mayHave || may ? after.clock : until;
    if (last >= 0 && after.clock - last >= HANDOVER_GAP_CLOCK_STEPS) last = -1;
    if (last !== until) next = next.with(node, last);
  }
  const hasConflict = after.facts.some(hasRival.bind(undefined, after.clock, next));
  const violation = hasConflict ? 'two leaders may send orders within the handover gap' : undefined;
  return { orderedUntil: next, hasChanged: next !== orderedUntil, violation };
}

/** Whether a node may send orders now although another one may have done so within the handover gap. */
function hasRival(
  clock: number,
  orderedUntil: readonly number[],
  { orderTimes }: ElectionFacts,
  node: number,
): boolean {
  return (
    orderTimes.includes(clock) && orderedUntil.some((until, other) => other !== node && until >= 0)
  );
}

/** Whether a message contains an epoch or a grant that is not on its sender's disk. */
function isUnsynced(disks: readonly (readonly DiskWrite[])[], envelope: Envelope): boolean {
  const { messages, from, to } = envelope;
  const [message] = messages;
  if (!message) return false;
  if (!('epoch' in message)) return false;
  const [write] = disks[from] ?? [];
  const record = write && parseAs(RecordShape, write.body);
  if ((record?.epoch ?? 0) < message.epoch) return true;
  if (message.kind !== 'granted' && message.kind !== 'renewed') return false;
  const leader = ['a', 'b', 'c'][to];
  // A later grant may have reached the disk in the same step.
  if (record === undefined || record.grantEpoch > message.epoch) return record === undefined;
  return record.grantEpoch !== message.epoch || record.grantLeader !== leader;
}

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
  type CalmRun,
  type FaultBounds,
  type Happening,
  type Judgement,
  type NodeCommand,
  type Protocol,
  type View,
} from './protocol.js';
import { withLeader, type LeaderJudgement, type Leaders } from './leaders.js';
import type { Boot, DiskWrite, Envelope, Input, Output, Subject } from './local-states.js';

const VOTE_SLOT = 'vote';
const RecordShape = type({
  epoch: number(),
  grantEpoch: number(),
  grantLeader: string(),
  isFree: optional(boolean()),
});

/** Moments at which order permissions are looked at: two spans and a lease beyond the last step of any search. */
const WATCHED_CLOCK_STEPS = 24;
/** In steps of the clocks: how long nobody may order between two holders. */
const LEASE_CLOCK_STEPS = 2;

/**
 * The deployed proportions on few moments: a holder may order for two steps of the clocks after a renewal, nobody for one between two
 * holders, a round of proposals takes one. Clocks run alike. Links are always taken for alive.
 */
const SETTINGS: VoteSettings = {
  pingMs: 2 * CLOCK_STEP_MS,
  peerTimeoutMs: 1000 * CLOCK_STEP_MS,
  halfLifeSeconds: 12 * 3600,
  electionMs: CLOCK_STEP_MS,
  renewMs: CLOCK_STEP_MS / 10,
  leaseMs: 2 * CLOCK_STEP_MS,
  handoverGapMs: LEASE_CLOCK_STEPS * CLOCK_STEP_MS,
  drift: 0,
  diskStallMs: 1000 * CLOCK_STEP_MS,
};

/** Deliberate mistakes that the invariants must find. */
export type ElectionMistake =
  /** Messages leave before the record that they rest on is synced. */
  | 'speaks-unsynced'
  /** A successor orders as soon as the former holder's span is over. */
  | 'no-lease-gap'
  /** The record of a grant does not outlast a restart. */
  | 'grant-forgotten';

export interface ElectionFacts {
  readonly epoch: number;
  readonly isLeading: boolean;
  /** The times, in steps of the clocks, at which it may order as things stand. */
  readonly orderTimes: readonly number[];
}

export interface ElectionGhost {
  readonly leaders: Leaders;
  /** Until when each node may have ordered; -1 where that is too long ago to matter. */
  readonly orderedUntil: readonly number[];
}

/** Nothing is asked of an elector but what its messages and timers ask. */
export type ElectionCommand = never;
export type ElectionEvent = never;

/** One elector with its record of votes on a disk. */
class ElectionSubject implements Subject<ElectionCommand, ElectionEvent, ElectionFacts> {
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
    // Links are known to be alive from the start; which of them are is no part of this model.
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
    for (let step = 0; step < WATCHED_CLOCK_STEPS; step += 1) {
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

export type ElectionBeginning =
  /** Three voters that were started for the first time. */
  | 'first'
  | 'after a leader'
  /** Two winners of overlapping deferrals ask for the same epoch, and one of them has it. */
  | 'contested';

/** Election, grants and lease of three voters: the elector alone, with its record on a disk. */
export class ElectionProtocol implements Protocol<
  ElectionCommand,
  ElectionEvent,
  ElectionFacts,
  ElectionGhost
> {
  readonly name: string;
  readonly firstFrozen = 0;
  readonly troublesEnd = 'at any pause';
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

  start(boot: Boot): ElectionSubject {
    return new ElectionSubject(boot, this.nodes, this.#quorum, this.#mistake);
  }

  prepare(calm: CalmRun<ElectionCommand>): void {
    if (this.#beginning === 'after a leader') calm.tick(A);
    calm.forget();
    if (this.#beginning !== 'contested') return;
    // The best two propose at once; the last defers to the worse of them first, and then to the better.
    calm.hold();
    calm.tick(A);
    calm.tick(B);
    calm.deliver(B, C, 'propose');
    calm.deliver(A, C, 'propose');
    calm.deliver(C, B, 'defer');
    calm.deliver(C, A, 'defer');
    calm.advance();
    calm.tick(A);
    calm.tick(B);
    calm.deliver(B, C, 'victory');
    calm.deliver(C, B, 'granted');
  }

  mayFail(): boolean {
    return true;
  }

  isWatched(): boolean {
    return true;
  }

  commands(): readonly NodeCommand<ElectionCommand>[] {
    return [];
  }

  judge(
    before: View<ElectionFacts, ElectionGhost>,
    after: View<ElectionFacts, ElectionGhost>,
    did: Happening<ElectionCommand, ElectionEvent>,
  ): Judgement<ElectionGhost> {
    const unsynced = did.sent.find((envelope) => isUnsynced(after.disks, envelope));
    if (unsynced) {
      const violation = `spoken before it was synced: ${JSON.stringify(unsynced.messages)}`;
      return { ghost: before.ghost, violation };
    }
    const led = judgeLeaders(after, before.ghost.leaders);
    const ordered = judgeOrders(before, after, did.isAdvance);
    const isSame = led.leaders === before.ghost.leaders && !ordered.hasChanged;
    const ghost = isSame
      ? before.ghost
      : { leaders: led.leaders, orderedUntil: ordered.orderedUntil };
    return { ghost, violation: led.violation ?? ordered.violation };
  }
}

function judgeLeaders(after: View<ElectionFacts, ElectionGhost>, known: Leaders): LeaderJudgement {
  let judged: LeaderJudgement = { leaders: known, violation: undefined };
  for (const [node, { isLeading, epoch }] of after.facts.entries()) {
    if (!isLeading || judged.violation !== undefined) continue;
    judged = withLeader(judged.leaders, epoch, node);
  }
  return judged;
}

interface OrderJudgement {
  readonly orderedUntil: readonly number[];
  readonly hasChanged: boolean;
  readonly violation: string | undefined;
}

/** A node that may order at one time and is not touched until the next may have ordered right up to that next one. */
function judgeOrders(
  before: View<ElectionFacts, ElectionGhost>,
  after: View<ElectionFacts, ElectionGhost>,
  isAdvance: boolean,
): OrderJudgement {
  const { orderedUntil } = before.ghost;
  let next = orderedUntil;
  for (const [node, until] of orderedUntil.entries()) {
    const mayHave = isAdvance && before.facts[node]?.orderTimes.includes(before.clock);
    const may = after.facts[node]?.orderTimes.includes(after.clock) ?? false;
    let last = mayHave || may ? after.clock : until;
    if (last >= 0 && after.clock - last >= LEASE_CLOCK_STEPS) last = -1;
    if (last !== until) next = next.with(node, last);
  }
  const isTwo = after.facts.some(hasRival.bind(undefined, after.clock, next));
  const violation = isTwo ? 'two holders may order within the lease' : undefined;
  return { orderedUntil: next, hasChanged: next !== orderedUntil, violation };
}

/** Whether it may order now, though another may have too shortly before. */
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

/** Whether a message tells of an epoch or a grant that its sender's disk does not hold. */
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

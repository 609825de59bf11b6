import {
  moment,
  nodeId,
  partitionName,
  type Moment,
  type NodeId,
  type PartitionName,
} from '../../common/ids.js';
import type { StoredReplica, MemberVersion, Message } from '../../common/messages.js';
import { Quorum } from '../../common/quorum.js';
import { NO_VERSION, type Version } from '../../common/version.js';
import { CONFIG_PARTITION } from '../partition-names.js';
import { ReplicatedState, type ReplicatedStateEffect } from '../replicated-state.js';
import type { StoredPartition } from '../store.js';

/** The voters; the replica is the first. */
export const [A, B, C] = [nodeId('a'), nodeId('b'), nodeId('c')];
/** Two partitions beside the configuration. */
export const [P0, P1] = [partitionName('p0'), partitionName('p1')];
/** All partitions, in the order in which they are told. */
export const PARTITIONS: readonly PartitionName[] = [CONFIG_PARTITION, P0, P1];
/** The epoch that the replica has granted, and in which it leads. */
export const EPOCH = 4;

type Committed = Extract<ReplicatedStateEffect, { do: 'committed' }>;

/** A message and to whom it goes. */
export type Sent = readonly [string, Message];

/** The configuration `voters a b d` names these; any other body names nobody. */
export function votersNamedBy(configBody: string): Quorum | undefined {
  const [word, ...ids] = configBody.split(' ');
  return word === 'voters' ? new Quorum(ids.map(nodeId)) : undefined;
}

/**
 * The replicated state at `a`, one of three voters, whose peers are played by the test. Its disk keeps at once, unless it
 * is stalled; it has granted `EPOCH`.
 */
export class LoneReplica {
  readonly state: ReplicatedState;
  readonly committed: Committed[] = [];
  readonly stored: (readonly [PartitionName, Version, string])[] = [];
  /** Which other effects came, in their order. */
  readonly others: string[] = [];
  granted = EPOCH;
  isDiskStalled = false;
  now: Moment = moment(10_000);
  #sent: Sent[] = [];

  constructor(stored: readonly StoredPartition[] = []) {
    this.state = new ReplicatedState(A, new Quorum([A, B, C]), PARTITIONS, stored, votersNamedBy);
  }

  /** What was sent since the last look. */
  sent(): readonly Sent[] {
    this.drain();
    const sent = this.#sent;
    this.#sent = [];
    return sent;
  }

  tickAfter(millis: number): readonly Sent[] {
    this.now = moment(this.now + millis);
    this.state.tick(this.now);
    return this.sent();
  }

  receive(from: NodeId, message: Message): readonly Sent[] {
    this.state.onMessage(this.now, from, message, this.granted, [], 'sound');
    return this.sent();
  }

  /** Begins to own the parts. */
  lead(epoch = EPOCH): readonly Sent[] {
    this.state.lead(this.now, epoch);
    return this.sent();
  }

  /** Owns all parts, empty, with a copy at everybody. */
  serve(): void {
    this.lead();
    this.receive(B, readReply(PARTITIONS.map((partition) => copyOf(partition))));
    for (const partition of PARTITIONS)
      for (const from of [B, C])
        this.receive(from, acked(partition, this.state.versionOf(partition)));
    if (!this.state.isServing) throw new Error('it does not serve');
    this.committed.length = 0;
    this.others.length = 0;
    this.stored.length = 0;
    this.sent();
  }

  write(partition: PartitionName, body: string, token = 0): number {
    const count = this.state.write(this.now, partition, body, token);
    this.drain();
    return count;
  }

  drain(): void {
    for (let effects = this.state.drain(); effects.length > 0; effects = this.state.drain())
      for (const effect of effects) this.#carryOut(effect);
  }

  #carryOut(effect: ReplicatedStateEffect): void {
    if (effect.do === 'send') this.#sent.push([effect.to, effect.message]);
    else if (effect.do === 'committed') this.committed.push(effect);
    else if (effect.do === 'store') {
      this.stored.push([effect.partition, effect.version, effect.body]);
      if (!this.isDiskStalled)
        this.state.stored(effect.partition, effect.version, this.granted, this.now);
    } else this.others.push(effect.do);
  }
}

/** A copy of a part as a voter tells it; empty where nothing else is said. */
export function copyOf(
  partition: PartitionName,
  version: Version = NO_VERSION,
  body = '',
  sound = true,
): StoredReplica {
  return { part: partition, ...version, body, sound };
}

/** The answer of a voter to a leader that reads. */
export function readReply(copies: readonly StoredReplica[], nonce = 1, epoch = EPOCH): Message {
  return {
    kind: 'readReply',
    epoch,
    nonce,
    sound: true,
    copies: [...copies],
    standing: 'sound',
  };
}

/** The answer of a voter that has a version on its disk, or that rejects it. */
export function acked(
  partition: PartitionName,
  version: Version,
  isGood = true,
  members: MemberVersion[] = [],
): Message {
  return { kind: 'writeReply', part: partition, ...version, good: isGood, members };
}

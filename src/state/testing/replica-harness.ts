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

/** The ids of the voters; the replica under test is the first. */
export const [A, B, C] = [nodeId('a'), nodeId('b'), nodeId('c')];
/** Two partitions in addition to the configuration. */
export const [P0, P1] = [partitionName('p0'), partitionName('p1')];
/** All partitions, in the order in which they are sent. */
export const PARTITIONS: readonly PartitionName[] = [CONFIG_PARTITION, P0, P1];
/** The epoch that the replica has granted and in which it leads. */
export const EPOCH = 4;

type Committed = Extract<ReplicatedStateEffect, { do: 'committed' }>;

/** A message with the id of its receiver. */
export type SentMessage = readonly [string, Message];

/** Parses a configuration such as `voters a b d`; any other body names no voters. */
export function parseVoters(configBody: string): Quorum | undefined {
  const [keyword, ...ids] = configBody.split(' ');
  return keyword === 'voters' ? new Quorum(ids.map(nodeId)) : undefined;
}

/**
 * The replicated state at `a`, one of three voters, without peers: the test inspects the messages that it sends and passes in
 * those of its peers. Versions are persisted immediately, unless the disk is stalled; `EPOCH` is granted.
 */
export class ReplicaHarness {
  /** The state under test. */
  readonly state: ReplicatedState;
  /** The effects `committed`, in order. */
  readonly committed: Committed[] = [];
  /** The effects `store`, in order. */
  readonly stored: (readonly [PartitionName, Version, string])[] = [];
  /** Names of the other effects, in order. */
  readonly otherEffects: string[] = [];
  /** The epoch granted by this voter. */
  grantedEpoch = EPOCH;
  /** Whether writes to the disk stay incomplete until the test completes them. */
  isDiskStalled = false;
  /** The current time. */
  now: Moment = moment(10_000);
  #messages: SentMessage[] = [];

  constructor(stored: readonly StoredPartition[] = []) {
    this.state = new ReplicatedState(A, new Quorum([A, B, C]), PARTITIONS, stored, parseVoters);
  }

  /** Carries out the effects and returns the messages sent since the last call. */
  drainMessages(): readonly SentMessage[] {
    this.carryOutEffects();
    const messages = this.#messages;
    this.#messages = [];
    return messages;
  }

  /** Advances the time, in milliseconds, ticks the state and returns the messages that it sends. */
  tickAfter(millis: number): readonly SentMessage[] {
    this.now = moment(this.now + millis);
    this.state.tick(this.now);
    return this.drainMessages();
  }

  /** Passes a message to the state and returns the messages that it sends. */
  receive(from: NodeId, message: Message): readonly SentMessage[] {
    this.state.onMessage(this.now, from, message, this.grantedEpoch, [], 'sound');
    return this.drainMessages();
  }

  /** Starts to lead and returns the messages that the state sends. */
  lead(epoch = EPOCH): readonly SentMessage[] {
    this.state.lead(this.now, epoch);
    return this.drainMessages();
  }

  /** Leads until the state serves, with empty partitions at every voter. */
  startServing(): void {
    this.lead();
    this.receive(B, readReply(PARTITIONS.map((partition) => storedReplica(partition))));
    for (const partition of PARTITIONS)
      for (const from of [B, C])
        this.receive(from, writeReply(partition, this.state.versionOf(partition)));
    if (!this.state.isServing) throw new Error('the state does not serve');
    this.committed.length = 0;
    this.otherEffects.length = 0;
    this.stored.length = 0;
    this.drainMessages();
  }

  /** Writes a partition as leader, carries out the effects and returns the count of the version. */
  write(partition: PartitionName, body: string, token = 0): number {
    const count = this.state.write(this.now, partition, body, token);
    this.carryOutEffects();
    return count;
  }

  /** Carries out effects until none is left. */
  carryOutEffects(): void {
    for (let effects = this.state.drain(); effects.length > 0; effects = this.state.drain())
      for (const effect of effects) this.#carryOut(effect);
  }

  #carryOut(effect: ReplicatedStateEffect): void {
    if (effect.do === 'send') this.#messages.push([effect.to, effect.message]);
    else if (effect.do === 'committed') this.committed.push(effect);
    else if (effect.do === 'store') {
      this.stored.push([effect.partition, effect.version, effect.body]);
      if (!this.isDiskStalled)
        this.state.onPersisted(effect.partition, effect.version, this.grantedEpoch, this.now);
    } else this.otherEffects.push(effect.do);
  }
}

/** A partition in the form that a voter reports it; empty and valid by default. */
export function storedReplica(
  partition: PartitionName,
  version: Version = NO_VERSION,
  body = '',
  sound = true,
): StoredReplica {
  return { part: partition, ...version, body, sound };
}

/** The reply of a voter to a read of the leader. */
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

/** The reply of a voter that has persisted a version, or that rejects it. */
export function writeReply(
  partition: PartitionName,
  version: Version,
  isAccepted = true,
  members: MemberVersion[] = [],
): Message {
  return { kind: 'writeReply', part: partition, ...version, good: isAccepted, members };
}

import { nodeId, type Moment, type NodeId } from '../common/Ids.js';
import { Quorum } from '../common/Quorum.js';
import { Relay } from '../dissemination/Relay.js';
import { Elector } from '../election/Elector.js';
import type { VoteSettings } from '../election/VoteSettings.js';
import { allParts } from '../state/PartNames.js';
import { ReplicatedState } from '../state/ReplicatedState.js';
import { ReplicaStatus } from '../state/ReplicaStatus.js';
import type { StoredPart } from '../state/Store.js';
import type { ControlSettings } from './ControlEffect.js';
import { ControlCounters } from './ControlMetrics.js';
import { quorumOf } from './ConfigVoters.js';
import { EffectQueue } from './EffectQueue.js';
import { FollowedVoters } from './FollowedVoters.js';
import { Leadership } from './Leadership.js';
import { readVotes, VoteStorage } from './VoteStorage.js';

/** What every control node has, whether it leads or not: its vote, its replica, and what it knows of the voters. */
export interface ControlReplica {
  readonly me: NodeId;
  readonly elector: Elector;
  readonly votes: VoteStorage;
  readonly parts: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly relay: Relay;
  readonly voters: FollowedVoters;
  readonly leadership: Leadership;
  readonly counters: ControlCounters;
  readonly effects: EffectQueue;
}

/** Makes them of what a disk holds. */
export function makeReplica(
  settings: ControlSettings,
  stored: readonly StoredPart[],
  now: Moment,
  vote: VoteSettings,
): ControlReplica {
  const me = nodeId(settings.me);
  const seeds = new Quorum(settings.seeds.map(nodeId));
  const counters = new ControlCounters();
  const effects = new EffectQueue();
  const relay = new Relay();
  const { status, count, record } = readVotes(stored);
  const elector = new Elector(me, seeds, vote, now, record);
  if (status !== 'sound')
    elector.setMayVote(false, { epoch: 0, grantEpoch: 0, grantLeader: '' }, now);
  const parts = new ReplicatedState(me, seeds, allParts(), stored, quorumOf);
  return {
    me,
    elector,
    votes: new VoteStorage(effects, count, record?.grantEpoch ?? 0),
    parts,
    replicaStatus: new ReplicaStatus(
      me,
      status,
      now,
      settings.foundMs,
      settings.incarnation,
      settings.deployed?.isFirstStart ?? true,
      quorumOf,
    ),
    relay,
    // What the leader tells is followed in a deployment alone, where voters change by themselves.
    voters: new FollowedVoters(seeds, {
      elector,
      parts,
      relay: settings.deployed && relay,
      counters,
    }),
    leadership: new Leadership(),
    counters,
    effects,
  };
}

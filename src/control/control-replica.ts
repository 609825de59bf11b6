import { nodeId, type Moment, type NodeId } from '../common/ids.js';
import { Quorum } from '../common/quorum.js';
import { Relay } from '../dissemination/relay.js';
import { Elector } from '../election/elector.js';
import type { VoteSettings } from '../election/vote-settings.js';
import { allPartitions } from '../state/partition-names.js';
import { ReplicatedState } from '../state/replicated-state.js';
import { ReplicaStatus } from '../state/replica-status.js';
import type { StoredPartition } from '../state/store.js';
import type { ControlSettings } from './control-effect.js';
import { ControlCounters } from './control-metrics.js';
import { quorumOf } from './config-voters.js';
import { EffectQueue } from './effect-queue.js';
import { FollowedVoters } from './followed-voters.js';
import { Leadership } from './leadership.js';
import { readVotes, VoteStorage } from './vote-storage.js';

/** The state of a control node, leader or not: its votes, its replica, the voters that it knows, and its pending effects. */
export interface ControlReplica {
  readonly me: NodeId;
  readonly elector: Elector;
  readonly votes: VoteStorage;
  readonly state: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly relay: Relay;
  readonly voters: FollowedVoters;
  readonly leadership: Leadership;
  readonly counters: ControlCounters;
  readonly effects: EffectQueue;
}

/** Creates the state of a control node from the partitions found on its disk. */
export function makeReplica(
  settings: ControlSettings,
  stored: readonly StoredPartition[],
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
  const state = new ReplicatedState(me, seeds, allPartitions(), stored, quorumOf);
  return {
    me,
    elector,
    votes: new VoteStorage(effects, count, record?.grantEpoch ?? 0),
    state,
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
    // Published configurations are followed only in a deployment, where voters are replaced without an operator.
    voters: new FollowedVoters(seeds, {
      elector,
      state,
      relay: settings.deployed && relay,
      counters,
    }),
    leadership: new Leadership(),
    counters,
    effects,
  };
}

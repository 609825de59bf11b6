import type { Moment, NodeId } from '../common/ids.js';
import type { Relay } from '../dissemination/relay.js';
import type { Sessions } from '../dissemination/sessions.js';
import type { Elector } from '../election/elector.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import {
  sessionMetrics,
  type ControlCounters,
  type ControlMetrics,
  type VoterMetrics,
} from './control-metrics.js';
import type { FollowedVoters } from './followed-voters.js';
import type { Leadership } from './leadership.js';
import type { DrainingRunnersReader } from './draining-runners-reader.js';
import type { ReplicaRepair } from './replica-repair.js';

/** The components that the metrics of a control node are read from. */
export interface MetricsSources {
  readonly me: NodeId;
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly repair: ReplicaRepair;
  readonly relay: Relay;
  readonly sessions: Sessions;
  readonly voters: FollowedVoters;
  readonly drainingRunners: DrainingRunnersReader | undefined;
  readonly leadership: Leadership;
  readonly counters: ControlCounters;
  readonly mayOrder: (now: Moment) => boolean;
}

/** Takes a snapshot of a node for its metrics, without side effects. */
export function metricsOf(now: Moment, sources: MetricsSources): ControlMetrics {
  const { elector, state, leadership, counters, repair } = sources;
  const contact = elector.lastMajorityContactAt(now);
  const committed = sources.relay.version('config');
  return {
    epoch: elector.epoch,
    isLeaderKnown: elector.leader !== undefined,
    isLeading: elector.isLeading(),
    isServing: leadership.isServing,
    mayOrder: sources.mayOrder(now),
    leaseLeftMs: Math.max(0, elector.leaseEnd - now),
    majorityContactAgeMs: contact === undefined ? undefined : now - contact,
    voters: voterNumbers(now, sources),
    replica: repair.isInProgress ? 'repairing' : sources.replicaStatus.name,
    corruptPartitions: state.corruptPartitions().length,
    configHeld: state.versionOf(CONFIG_PARTITION),
    configCommitted: committed,
    edits: counters.edits,
    events: counters.eventsWith({
      electionsStarted: elector.electionsStarted,
      votesGranted: elector.votesGranted,
      copiesRepaired: state.repairCount,
      leaderlessListReads: sources.drainingRunners?.reads ?? 0,
    }),
    sessions: sessionMetrics(sources.sessions.connectedMembers(), committed),
  };
}

function voterNumbers(now: Moment, { me, elector, voters }: MetricsSources): VoterMetrics {
  return {
    members: voters.quorum.all.length,
    reachable: elector.countReachableVoters(now),
    isVoter: voters.quorum.includes(me),
    isJoint: voters.quorum.sets > 1,
  };
}

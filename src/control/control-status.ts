import { type } from 'superstruct';
import type { Moment, NodeId } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import { versionText } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import type { Elector } from '../election/elector.js';
import type { Intent, ServiceDoc } from '../placement/shapes.js';
import { allPartitions } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ReplicaStatus, ReplicaStatusName } from '../state/replica-status.js';
import type { FollowedVoters } from './followed-voters.js';
import type { KnownMembers } from './known-members.js';
import type { Leadership } from './leadership.js';
import type { PlacementControl } from './placement-control.js';
import type { RelayTree } from './relay-tree.js';

/** The components that the status of a control node is read from. */
export interface StatusSources {
  readonly me: NodeId;
  readonly zone: string;
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly replicaStatus: ReplicaStatus;
  readonly relay: Relay;
  readonly tree: RelayTree;
  readonly voters: FollowedVoters;
  readonly members: KnownMembers;
  readonly leadership: Leadership;
  readonly mayOrder: (now: Moment) => boolean;
  readonly placement: PlacementControl;
}

/** A member as operators see it. */
export interface MemberStatus {
  readonly id: string;
  readonly zone: string;
  /** The version of the configuration that it acknowledged. */
  readonly acked: string;
  /** Its parent in the relay tree; '' if that is this node. */
  readonly parent: string;
}

/** The status of a control node as operators get it, in JSON. */
export interface ControlStatus {
  readonly me: string;
  readonly zone: string;
  /** The status of this node's replica. */
  readonly standing: ReplicaStatusName;
  /** Whether an agent or proxy is known that has a configuration of an earlier cluster. */
  readonly membersHoldState: boolean;
  readonly role: Elector['role'];
  readonly epoch: number;
  /** The id of the leader; '' if none is known. */
  readonly leader: string;
  readonly serving: boolean;
  readonly mayOrder: boolean;
  readonly leaseLeftMs: number;
  readonly voters: readonly string[];
  /** The election score of each voter, computed from its links; at least 0. */
  readonly scores: Readonly<Record<string, number>>;
  /** The version of each partition in this node's own replica. */
  readonly parts: Readonly<Record<string, string>>;
  /** The partitions that are corrupt on this node's disk. */
  readonly unsound: readonly string[];
  /** How many partitions of other replicas this node has repaired by anti-entropy. */
  readonly mended: number;
  /** The version of the newest published configuration; `none` if there is none. */
  readonly config: string;
  readonly placesVersion: string;
  /** The revision of the list of machines. */
  readonly machines: number;
  readonly members: readonly MemberStatus[];
  readonly places: object | undefined;
  readonly intents: readonly Intent[];
}

/** Takes a snapshot of a node for operators, without side effects. */
export function statusOf(now: Moment, sources: StatusSources): ControlStatus {
  const { elector, state, replicaStatus, relay, leadership, placement } = sources;
  const places = relay.latest('places');
  return {
    me: sources.me,
    zone: sources.zone,
    standing: replicaStatus.name,
    membersHoldState: replicaStatus.hasMemberEpoch,
    role: elector.role,
    epoch: elector.epoch,
    leader: elector.leader ?? '',
    serving: leadership.isServing,
    mayOrder: sources.mayOrder(now),
    leaseLeftMs: Math.max(0, Math.round(elector.leaseEnd - now)),
    voters: sources.voters.quorum.all,
    scores: scoresOf(sources),
    parts: versionsOf(state),
    unsound: state.corruptPartitions(),
    mended: state.repairCount,
    config: versionOfTopic(relay, 'config'),
    placesVersion: versionOfTopic(relay, 'places'),
    machines: placement.table.machines.revision,
    members: membersOf(sources),
    places: places ? parseAs(type({}), places.body) : undefined,
    intents: placement.docs().flatMap(intentsOf),
  };
}

function scoresOf({ elector, voters }: StatusSources): Record<string, number> {
  const scores: Record<string, number> = {};
  const { all } = voters.quorum;
  for (const voter of all) scores[voter] = roundToThousandths(elector.scores.total(voter, all));
  return scores;
}

function roundToThousandths(score: number): number {
  return Math.round(score * 1000) / 1000;
}

function versionsOf(state: ReplicatedState): Record<string, string> {
  const versions: Record<string, string> = {};
  for (const partition of allPartitions())
    versions[partition] = versionText(state.versionOf(partition));
  return versions;
}

function versionOfTopic(relay: Relay, topic: string): string {
  const item = relay.latest(topic);
  return item ? versionText(item.version) : 'none';
}

/** Lists each member once, although several nodes may report it. */
function membersOf({ members, tree }: StatusSources): MemberStatus[] {
  const list: MemberStatus[] = [];
  const seen = new Set<string>();
  for (const member of members.all()) {
    const { id, zone } = member;
    if (seen.has(id)) continue;
    seen.add(id);
    list.push({
      id,
      zone,
      acked: versionText(members.ackedBy(member)),
      parent: tree.parentOf(id),
    });
  }
  return list;
}

function intentsOf(doc: ServiceDoc): readonly Intent[] {
  return doc.intents;
}

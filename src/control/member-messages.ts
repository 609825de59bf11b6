import { later, moment, nodeId, type Moment, type NodeId } from '../common/ids.js';
import type { MemberVersion, Message } from '../common/messages.js';
import type { Relay } from '../dissemination/relay.js';
import type { Sessions } from '../dissemination/sessions.js';
import type { Elector } from '../election/elector.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import type { ControlNodeZones } from './control-node-zones.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { KnownMembers } from './known-members.js';
import type { DrainingRunnersReader } from './draining-runners-reader.js';
import type { PlacementControl } from './placement-control.js';
import type { QuorumReads } from './quorum-reads.js';
import type { RelayTree } from './relay-tree.js';
import type { UpdateExchange } from './update-exchange.js';

/** The components that handle messages from members, and messages from other control nodes about their members. */
export interface MemberMessageDependencies {
  readonly me: NodeId;
  /** Whether this is a deployment, where freshness needs no confirmation and agents are notified of all voters. */
  readonly isDeployed: boolean;
  readonly elector: Elector;
  readonly replicaStatus: ReplicaStatus;
  readonly relay: Relay;
  readonly sessions: Sessions;
  readonly tree: RelayTree;
  readonly members: KnownMembers;
  readonly updates: UpdateExchange;
  readonly reads: QuorumReads;
  readonly placement: PlacementControl;
  readonly voters: FollowedVoters;
  readonly zones: ControlNodeZones;
  readonly drainingRunners: DrainingRunnersReader | undefined;
  readonly effects: EffectQueue;
}

type JoinMessage = Extract<Message, { kind: 'join' }>;
type AckMessage = Extract<Message, { kind: 'ack' }>;
type FreshnessRequest = Extract<Message, { kind: 'freshnessRequest' }>;

/** How often this node reports its members to the leader, and requests updates from it. */
const REPORT_INTERVAL_MS = 250;
const DEPLOYED_REPORT_INTERVAL_MS = 500;
const NEVER = moment(-1e12);

/** Routes messages from agents, and messages from control nodes about the acknowledgements and demand of their agents. */
export class MemberMessages {
  readonly #dependencies: MemberMessageDependencies;
  readonly #reportIntervalMs: number;
  #reportedAt: Moment = NEVER;

  constructor(dependencies: MemberMessageDependencies) {
    this.#dependencies = dependencies;
    this.#reportIntervalMs = dependencies.isDeployed
      ? DEPLOYED_REPORT_INTERVAL_MS
      : REPORT_INTERVAL_MS;
  }

  /** Handles a message; returns false if it is not about members. */
  onMessage(now: Moment, from: string, message: Message): boolean {
    switch (message.kind) {
      case 'join':
        this.#onJoin(now, from, message);
        return true;
      case 'ack':
        this.#onAck(from, message);
        return true;
      case 'acked':
        this.#onAcked(now, from, message.members);
        return true;
      case 'demand':
        this.#onDemand(now, message.body);
        return true;
      case 'freshnessRequest':
        this.#onFreshnessRequest(now, from, message);
        return true;
      case 'quorumRead':
        this.#dependencies.reads.onQuorumRead(now, from, message);
        return true;
      case 'quorumReadReply':
        this.#dependencies.reads.onQuorumReadReply(now, nodeId(from), message);
        return true;
      case 'update':
        this.#dependencies.updates.onUpdate(from, message);
        return true;
      case 'delta':
        this.#dependencies.updates.onDelta(from, message);
        return true;
      default:
        return false;
    }
  }

  /** Expires sessions, repeats quorum reads, and reports to the leader when that is due. */
  tick(now: Moment): void {
    const { sessions, members, reads } = this.#dependencies;
    sessions.tick(now);
    members.tick(now);
    reads.tick(now);
    this.#report(now);
  }

  #report(now: Moment): void {
    if (now < later(this.#reportedAt, this.#reportIntervalMs)) return;
    this.#reportedAt = now;
    const { tree, sessions, updates, effects } = this.#dependencies;
    tree.reassignParents();
    const leader = this.#otherLeader();
    if (leader === undefined) return;
    effects.send(leader, { kind: 'acked', members: [...sessions.connectedMembers()] });
    updates.request(leader);
  }

  #onJoin(now: Moment, from: string, message: JoinMessage): void {
    const { tree, replicaStatus, members, isDeployed } = this.#dependencies;
    tree.onJoin(now, from, message);
    replicaStatus.onMemberEpoch(message.epoch);
    members.onAck(from, message);
    if (isDeployed) this.#sendControlNodes(now, from);
  }

  #sendControlNodes(now: Moment, to: string): void {
    const { zones, voters, elector, relay, effects } = this.#dependencies;
    effects.send(to, {
      kind: 'controlNodes',
      controlNodes: zones.describe(now, voters.quorum.all),
      leader: elector.leader ?? '',
      ...relay.version('config'),
    });
  }

  #onAck(from: string, message: AckMessage): void {
    this.#dependencies.sessions.onAck(from, message);
    this.#dependencies.members.onAck(from, message);
  }

  #onAcked(now: Moment, from: string, acknowledged: readonly MemberVersion[]): void {
    const { members, isDeployed } = this.#dependencies;
    for (const member of acknowledged) members.onAck(member.id, member);
    // Otherwise quorum reads report the members that are alive.
    if (isDeployed) members.onMembersReported(now, from, acknowledged);
  }

  /**
   * From a child in the relay tree, from an agent that cannot reach its parent, or, with a negative nonce, from a peer that
   * requests only updates.
   */
  #onFreshnessRequest(now: Moment, from: string, message: FreshnessRequest): void {
    const { relay, updates, reads, drainingRunners, isDeployed } = this.#dependencies;
    const { nonce, members, have } = message;
    relay.onKnownVersions(from, have);
    drainingRunners?.onUpdateRequest(from, have);
    if (nonce < 0) updates.onUpdateRequest(from);
    else if (isDeployed) this.#replyWithoutConfirmation(from, nonce);
    else reads.confirmFreshness(now, { child: from, nonce, members });
  }

  /** Freshness needs no confirmation in a deployment: the request was for updates, and the reply shows that this node is alive. */
  #replyWithoutConfirmation(to: string, nonce: number): void {
    const version = this.#dependencies.relay.version('config');
    this.#dependencies.effects.send(to, { kind: 'freshnessReply', nonce, ...version, marks: 0 });
  }

  #onDemand(now: Moment, body: string): void {
    const leader = this.#otherLeader();
    if (leader === undefined) this.#dependencies.placement.onDemand(now, body);
    else this.#dependencies.effects.send(leader, { kind: 'demand', body });
  }

  #otherLeader(): string | undefined {
    const { leader } = this.#dependencies.elector;
    return leader === this.#dependencies.me ? undefined : leader;
  }
}

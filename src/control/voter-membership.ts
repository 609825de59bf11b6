import { later, moment, nodeId, type Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import type { Relay } from '../dissemination/relay.js';
import type { Elector } from '../election/elector.js';
import { allPartitions, CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import type { ConfigDoc } from './config-shapes.js';
import { DepartingVoters } from './departing-voters.js';
import type { UpdateExchange } from './update-exchange.js';
import { VoterHandover } from './voter-handover.js';
import { PeerIdleClock } from './peer-idle-clock.js';
import {
  VoterPlan,
  type AnnouncedNode,
  type VoterSetChange,
  type VoterView,
} from './voter-plan.js';

/** The parts of the control node that the membership uses. */
export interface MembershipHost {
  readonly me: string;
  readonly zone: string;
  /** Whether this node was started with the cluster, and not as a later replacement. */
  readonly isFirstStart: boolean;
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly relay: Relay;
  readonly replicaStatus: ReplicaStatus;
  /** The voters by the newest configuration known here. */
  readonly voters: { readonly quorum: Quorum };
  /** The ids of all nodes that this node needs a connection to. */
  peers(): readonly string[];
  /** Sends newer configurations, and the voters that they name, to other control nodes. */
  readonly updates: Pick<UpdateExchange, 'onAnnounce' | 'reportUnpublishedVoters'>;
  /** Whether this node leads and has taken over the state. */
  readonly leadership: { readonly isServing: boolean };
  /** The configuration as last written by this leader, committed or not. */
  document(): ConfigDoc;
  /** The zone of a control node; '' if unknown. */
  zoneOf(id: string): string;
  /** Sends a message to another node. */
  send(to: string, message: Message): void;
  /** Rewrites all partitions except the configuration, so that they are stored at a majority of each set. */
  rewritePartitions(now: Moment): void;
  /** Writes a new set of voters, or two sets that form a joint configuration. */
  writeVoters(now: Moment, change: VoterSetChange): void;
}

type AnnounceMessage = Extract<Message, { kind: 'announce' }>;
type LeaveMessage = Extract<Message, { kind: 'leave' }>;
type LeaveReply = Extract<Message, { kind: 'leaveReply' }>;

/** How often a spare announces itself, and how long an announcement is valid. */
const ANNOUNCE_INTERVAL_MS = 500;
const ANNOUNCEMENT_TIMEOUT_MS = 1500;
/** A voter without a leader for this long announces itself as well: it may have been removed. */
const LEADERLESS_MS = 1000;
const NEVER = moment(-1e12);

/**
 * Manages the voters of a deployment: spares announce themselves, voters in a planned stop announce their departure, and
 * the leader changes the set of voters accordingly.
 */
export class VoterMembership implements VoterView {
  readonly #host: MembershipHost;
  readonly #plan = new VoterPlan();
  readonly #announced = new Map<string, AnnouncedNode>();
  readonly #departing = new DepartingVoters();
  readonly #idleClock: PeerIdleClock;
  #handover: VoterHandover | undefined;
  #announcedAt: Moment = NEVER;
  #leaderSeenAt: Moment;
  #wasVoter = false;
  #now: Moment;

  constructor(host: MembershipHost, now: Moment) {
    this.#host = host;
    this.#idleClock = new PeerIdleClock(now);
    this.#leaderSeenAt = now;
    this.#now = now;
  }

  // ---- `VoterView`, the input of the plan

  /** The id of this node. */
  get me(): string {
    return this.#host.me;
  }
  /** The voters of the configuration as last written by this leader. */
  get voters(): readonly (readonly string[])[] {
    return this.#host.document().voters;
  }
  /** The wanted number of voters, if departed ones were removed. */
  get voterCount(): number | undefined {
    return this.#host.document().seats;
  }
  /** The nodes whose announcements are valid, in the order in which they first announced themselves. */
  get announced(): readonly AnnouncedNode[] {
    return [...this.#announced.values()];
  }

  /** Milliseconds since the voter was last heard, from the end of this process's last stall at the earliest. */
  idleMs(voter: string): number {
    return this.#idleClock.idleMs(this.#now, this.#host.elector.lastHeardAt(nodeId(voter)));
  }

  /** Whether the node is in a planned stop; it may be this node. */
  isLeaving(id: string): boolean {
    return this.#departing.has(id) || (id === this.me && this.#handover !== undefined);
  }

  /** The zone of a voter; '' if unknown. */
  zoneOf(voter: string): string {
    return voter === this.me ? this.#host.zone : this.#host.zoneOf(voter);
  }

  // ---- inputs

  /** This node has taken over the leadership. It does not know how far its predecessor got with a change, so it starts over. */
  onTakeover(): void {
    this.#plan.reset();
  }

  /** Announces this node if that is due, and at the leader continues or begins a change of voters. */
  tick(now: Moment): void {
    this.#now = now;
    this.#idleClock.tick(now);
    this.#departing.tick(now);
    if (!this.#isWithoutLeader()) this.#leaderSeenAt = now;
    this.#announce(now);
    for (const [id, announced] of this.#announced)
      if (now - announced.at > ANNOUNCEMENT_TIMEOUT_MS) this.#announced.delete(id);
    this.#changeVoters(now);
  }

  /**
   * A spare announced itself: records it, sends it a newer configuration and newer voters, and forwards the announcement
   * to the leader.
   */
  onAnnounce(now: Moment, from: string, message: AnnounceMessage): void {
    const { id, zone, isFirst, isSound } = message;
    const host = this.#host;
    if (id === host.me) return;
    this.#announced.set(id, { id, zone, isFirst, isHealthy: isSound, at: now });
    if (from === id) host.updates.onAnnounce(id, message);
    // An announcement that another node forwarded is not forwarded again.
    const leader = host.elector.leader;
    if (leader !== undefined && leader !== host.me && from === id) host.send(leader, message);
  }

  /** A voter announced its planned stop; the leader replies whether it may stop. */
  onLeave(now: Moment, from: string, message: LeaveMessage): void {
    if (!this.#host.leadership.isServing) return;
    this.#departing.onDeparture(now, message.id);
    this.#now = now;
    this.#changeVoters(now);
    this.#host.send(from, { kind: 'leaveReply', mayStop: this.#mayStop(message.id) });
  }

  /** The leader replied to the planned stop of this node. */
  onLeaveReply(message: LeaveReply): void {
    this.#handover?.onReply(message.mayStop);
  }

  /** Whether a planned stop of this node is waiting for a replacement. */
  get isHandingOver(): boolean {
    return this.#handover !== undefined && !this.#handover.isOver;
  }

  /** Begins or continues a planned stop; returns whether this node has to wait until it is replaced. */
  mustStayVoter(now: Moment): boolean {
    const host = this.#host;
    if (!this.#handover) {
      if (!this.#isHealthy() || !host.voters.quorum.includes(nodeId(host.me))) return false;
      this.#handover = new VoterHandover(now);
    }
    const handover = this.#handover;
    if (host.leadership.isServing) {
      this.#now = now;
      this.#changeVoters(now);
      handover.onReply(this.#mayStop(host.me));
    } else {
      const leader = host.elector.leader;
      if (leader !== undefined && leader !== host.me && handover.isNotifyDue(now)) {
        handover.onNotified(now);
        host.send(leader, { kind: 'leave', id: host.me });
      }
    }
    handover.tick(now, this.#hasSpare(host.voters.quorum.all));
    return !handover.isOver;
  }

  /** Whether this node knows no leader, or is not a voter in the configuration that it knows. */
  #isWithoutLeader(): boolean {
    const { me } = this.#host;
    return (
      !this.#host.voters.quorum.includes(nodeId(me)) || this.#host.elector.leader === undefined
    );
  }

  #isHealthy(): boolean {
    return this.#host.replicaStatus.name === 'sound';
  }

  #announce(now: Moment): void {
    const host = this.#host;
    const isVoter = host.voters.quorum.includes(nodeId(host.me));
    if (isVoter) this.#wasVoter = true;
    // A node in a planned stop must not become a voter again.
    if (this.#handover || now < later(this.#announcedAt, ANNOUNCE_INTERVAL_MS)) return;
    if (isVoter && now < later(this.#leaderSeenAt, LEADERLESS_MS)) return;
    this.#announcedAt = now;
    const { epoch, count } = host.relay.version('config');
    const message = {
      kind: 'announce',
      id: host.me,
      zone: host.zone,
      epoch,
      count,
      // A node that was a voter before may have been replaced while it was down or isolated.
      isFirst: host.isFirstStart && !this.#wasVoter,
      isSound: this.#isHealthy(),
    } as const;
    const peers = host.peers();
    for (const peer of peers) host.send(peer, message);
    host.updates.reportUnpublishedVoters(peers);
  }

  #changeVoters(now: Moment): void {
    const host = this.#host;
    if (!host.leadership.isServing || host.state.isWriting(CONFIG_PARTITION)) return;
    // The state must be stored at a majority of the new voters before the new set alone decides.
    const isRewriting =
      this.voters.length === 2 &&
      allPartitions().some((partition) => host.state.isWriting(partition));
    const change = this.#plan.next(this);
    if (change.do === 'rewrite') host.rewritePartitions(now);
    else if (change.do === 'voters' && !isRewriting) host.writeVoters(now, change);
  }

  /** Whether a voter in a planned stop is replaced, or no spare can replace it. */
  #mayStop(id: string): boolean {
    const [current, next] = this.voters;
    if (!current || next || this.#host.state.isWriting(CONFIG_PARTITION)) return false;
    return !current.includes(id) || !this.#hasSpare(current);
  }

  /** Whether some announced node could become a voter, possibly after a repair. */
  #hasSpare(voters: readonly string[]): boolean {
    for (const id of this.#announced.keys()) {
      if (!voters.includes(id) && !this.isLeaving(id)) return true;
    }
    return false;
  }
}

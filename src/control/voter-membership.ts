import { later, moment, nodeId, type Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { isNewer } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import type { Elector } from '../election/elector.js';
import { allPartitions, CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import type { ConfigDoc } from './config-shapes.js';
import { DepartingVoters } from './departing-voters.js';
import { VoterHandover } from './voter-handover.js';
import { PeerIdleClock } from './peer-idle-clock.js';
import { VoterPlan, type AnnouncedNode, type VotersChange, type VoterView } from './voter-plan.js';

/** What membership needs of the control node that it belongs to. */
export interface MembershipHost {
  readonly me: string;
  readonly zone: string;
  readonly isFirstStart: boolean;
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly relay: Relay;
  readonly replicaStatus: ReplicaStatus;
  /** Who votes, by the newest configuration known here. */
  readonly voters: { readonly quorum: Quorum };
  /** Everybody to whom this node keeps a connection. */
  peers(): readonly string[];
  /** Whether this node leads and has taken over the state. */
  readonly leadership: { readonly isServing: boolean };
  /** The configuration as last written by this leader, committed or not. */
  document(): ConfigDoc;
  zoneOf(id: string): string;
  send(to: string, message: Message): void;
  /** Writes all parts but the configuration anew, so that a majority of each set holds them. */
  rewritePartitions(now: Moment): void;
  writeVoters(now: Moment, change: VotersChange): void;
}

type AnnounceMessage = Extract<Message, { kind: 'announce' }>;
type LeaveMessage = Extract<Message, { kind: 'leave' }>;
type LeaveReply = Extract<Message, { kind: 'leaveReply' }>;

/** How often a node that is no voter announces itself, and for how long that is remembered. */
const ANNOUNCE_INTERVAL_MS = 500;
const ANNOUNCEMENT_TIMEOUT_MS = 1500;
/** A voter without a leader for so long announces itself as well: it may be one no longer. */
const LEADERLESS_MS = 1000;
const NEVER = moment(-1e12);

/**
 * Who votes in a deployment: nodes that are no voters announce themselves, voters that are told to stop say so, and the
 * leader changes the set of voters accordingly.
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
  #hasVoted = false;
  #now: Moment;

  constructor(host: MembershipHost, now: Moment) {
    this.#host = host;
    this.#idleClock = new PeerIdleClock(now);
    this.#leaderSeenAt = now;
    this.#now = now;
  }

  // ---- what the plan is told

  get me(): string {
    return this.#host.me;
  }
  get voters(): readonly (readonly string[])[] {
    return this.#host.document().voters;
  }
  get voterCount(): number | undefined {
    return this.#host.document().seats;
  }
  get announced(): readonly AnnouncedNode[] {
    return [...this.#announced.values()];
  }

  idleMs(voter: string): number {
    return this.#idleClock.idleMs(this.#now, this.#host.elector.lastHeardAt(nodeId(voter)));
  }

  isLeaving(id: string): boolean {
    return this.#departing.has(id) || (id === this.me && this.#handover !== undefined);
  }

  zoneOf(voter: string): string {
    return voter === this.me ? this.#host.zone : this.#host.zoneOf(voter);
  }

  // ---- inputs

  /** A new leader knows nothing of how far the former one came with a change. */
  onTakeover(): void {
    this.#plan.reset();
  }

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

  onAnnounce(now: Moment, from: string, message: AnnounceMessage): void {
    const { id, zone, isFirst, isSound } = message;
    const host = this.#host;
    if (id === host.me) return;
    this.#announced.set(id, { id, zone, isFirst, isHealthy: isSound, at: now });
    const config = host.relay.latest('config');
    if (config && from === id && isNewer(config.version, message))
      host.send(id, { kind: 'update', topic: 'config', ...config.version, body: config.body });
    // Passed on once: whoever came to us by another is not passed on again.
    const leader = host.elector.leader;
    if (leader !== undefined && leader !== host.me && from === id) host.send(leader, message);
  }

  onLeave(now: Moment, from: string, message: LeaveMessage): void {
    if (!this.#host.leadership.isServing) return;
    this.#departing.add(now, message.id);
    this.#now = now;
    this.#changeVoters(now);
    this.#host.send(from, { kind: 'leaveReply', mayStop: this.#mayStop(message.id) });
  }

  onLeaveReply(message: LeaveReply): void {
    this.#handover?.onReply(message.mayStop);
  }

  get isHandingOver(): boolean {
    return this.#handover !== undefined && !this.#handover.isOver;
  }

  /** For a planned stop: whether this node has to stay, since its seat is being taken over. */
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
      if (leader !== undefined && leader !== host.me && handover.isNotifyDue(now))
        host.send(leader, { kind: 'leave', id: host.me });
    }
    handover.tick(now, this.#hasSpare(host.voters.quorum.all));
    return !handover.isOver;
  }

  // ---- parts

  /** No voter as far as we know, or without a leader. */
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
    if (isVoter) this.#hasVoted = true;
    // One that is told to stop must not be taken in again.
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
      // One that voted before has had its seat: while it was away somebody else may have taken that.
      isFirst: host.isFirstStart && !this.#hasVoted,
      isSound: this.#isHealthy(),
    } as const;
    for (const peer of host.peers()) host.send(peer, message);
  }

  #changeVoters(now: Moment): void {
    const host = this.#host;
    if (!host.leadership.isServing || host.state.isWriting(CONFIG_PARTITION)) return;
    // What the old voters hold must be on a majority of the new ones too before those stand alone.
    const isRewriting =
      this.voters.length === 2 && allPartitions().some(host.state.isWriting, host.state);
    const change = this.#plan.next(this);
    if (change.do === 'rewrite') host.rewritePartitions(now);
    else if (change.do === 'voters' && !isRewriting) host.writeVoters(now, change);
  }

  /** Whether the seat of a voter that leaves is taken over, or nobody is there to take it. */
  #mayStop(id: string): boolean {
    const [current, following] = this.voters;
    if (!current || following || this.#host.state.isWriting(CONFIG_PARTITION)) return false;
    return !current.includes(id) || !this.#hasSpare(current);
  }

  /** Whether somebody announced itself that could take a seat, if not yet, then once it is repaired. */
  #hasSpare(voters: readonly string[]): boolean {
    for (const id of this.#announced.keys()) {
      if (!voters.includes(id) && !this.isLeaving(id)) return true;
    }
    return false;
  }
}

import { epochOf, later, moment, type Epoch, type Moment, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { CandidateRanking } from './candidate-ranking.js';
import { Lease } from './lease.js';
import { VoteGrants } from './vote-grants.js';
import { SyncedOutbox } from './synced-outbox.js';
import type { VoteRecord } from './vote-effect.js';
import { PeerMonitor } from './peer-monitor.js';
import type { VoteSettings } from './vote-settings.js';

/** What the elector is doing: waiting for a majority to be in reach, proposing itself, having deferred, or knowing a leader. */
export type Role = 'looking' | 'proposing' | 'deferred' | 'won' | 'leading' | 'following';

/** What the parts of one voter's election share: epoch and role, and the few steps that change them together. */
export class VoterState {
  readonly me: NodeId;
  readonly settings: VoteSettings;
  readonly outbox: SyncedOutbox;
  readonly peerMonitor: PeerMonitor;
  readonly ranking: CandidateRanking;
  readonly lease: Lease;
  readonly grants: VoteGrants;
  quorum: Quorum;
  epoch: Epoch;
  role: Role = 'looking';
  mayVote = true;
  /** Set by a planned stop: this voter neither proposes nor leads any more. */
  isRetired = false;
  leader: NodeId | undefined;
  /** Who takes part in the present epoch, as far as this voter knows. */
  quorumMembers = new Set<NodeId>();
  /** When waiting in the present role is given up. */
  roleDeadline: Moment = moment(0);
  /** Terms that this node granted to a leader, itself included. */
  votesGranted = 0;

  constructor(me: NodeId, quorum: Quorum, settings: VoteSettings, now: Moment, record: VoteRecord) {
    this.me = me;
    this.quorum = quorum;
    this.settings = settings;
    this.epoch = epochOf(record.epoch);
    this.outbox = new SyncedOutbox(now);
    this.peerMonitor = new PeerMonitor(me, settings, this.outbox, now);
    this.ranking = new CandidateRanking(me, settings, this.peerMonitor);
    this.lease = new Lease(settings);
    this.grants = new VoteGrants(settings, now, record);
  }

  /** What must be on disk before anything of the present epoch is said. */
  get record(): VoteRecord {
    return this.grants.record(this.epoch);
  }

  /** All voters but this node. */
  get others(): readonly NodeId[] {
    const { me } = this;
    return this.quorum.all.filter((peer) => peer !== me);
  }

  get isVoter(): boolean {
    return this.quorum.includes(this.me);
  }

  /** Whether this node leads an epoch, or has won one and waits for its grants. */
  get hasWonEpoch(): boolean {
    return this.role === 'leading' || this.role === 'won';
  }

  /** Our exception: a node that cannot reach a majority, or whose disk stalls, could only run the epoch up for the others. */
  canCampaign(now: Moment): boolean {
    const { diskStallMs } = this.settings;
    return (
      this.peerMonitor.reachesMajority(this.quorum) && !this.outbox.isStalled(now, diskStallMs)
    );
  }

  /** Waits in the present role for so many rounds of the election, and for what slow links need. */
  startElectionTimeout(now: Moment, rounds: number): void {
    const { electionMs } = this.settings;
    this.roleDeadline = later(
      now,
      electionMs * rounds + this.peerMonitor.extraRoundTripMs(this.quorum),
    );
  }

  /** Gives up what the present role had, and takes on another. */
  abandonRole(role: Role): void {
    this.role = role;
    this.leader = undefined;
    this.quorumMembers = new Set();
    this.ranking.clearDeferrals();
    this.lease.clear();
  }

  /** Takes on an epoch: scores are frozen anew, and nothing is said in it before it is on disk. */
  adoptEpoch(epoch: Epoch, now: Moment): void {
    if (epoch !== this.epoch) {
      this.epoch = epoch;
      this.persist(now);
    }
    this.ranking.freezeScores();
  }

  /** Grants the present epoch and promises the span; returns how long promises to others bind, in milliseconds. */
  grant(now: Moment, leader: NodeId): number {
    const waitMs = this.grants.remainingLeaseMs(now, leader);
    if (this.grants.epoch !== this.epoch) {
      this.votesGranted += 1;
      this.grants.grant(now, leader, this.epoch, waitMs);
      this.persist(now);
    }
    this.grants.extendLease(now, leader);
    return waitMs;
  }

  persist(now: Moment): void {
    this.outbox.persist(this.record, now);
  }

  send(to: NodeId, message: Message): void {
    this.outbox.send(to, message);
  }

  /** Tells a sender of an older epoch the present one. */
  sendBehind(to: NodeId): void {
    const reports = this.peerMonitor.scores.reports();
    this.send(to, { kind: 'behind', epoch: this.epoch, reports });
  }
}

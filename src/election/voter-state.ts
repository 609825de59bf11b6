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

/**
 * What a voter does in the election: look for a leader or a majority, propose itself, wait for the proposer that it
 * deferred to, wait for the grants of an epoch that it has won, lead, or follow a leader.
 */
export type Role = 'looking' | 'proposing' | 'deferred' | 'won' | 'leading' | 'following';

/** State shared by the modules of one voter's election: epoch, role, and the operations that change them together. */
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
  /** Whether this voter may propose and grant; false while a lost disk is not repaired. */
  mayVote = true;
  /** Set before a planned stop: this voter no longer proposes or leads. */
  isRetired = false;
  /** The leader of the current epoch, this voter included; undefined if none is known. */
  leader: NodeId | undefined;
  /** The nodes that take part in the current epoch, as far as this voter knows. */
  quorumMembers = new Set<NodeId>();
  /** When this voter stops waiting in its current role. */
  roleDeadline: Moment = moment(0);
  /** Number of epochs that this node has granted to a leader, itself included, since its process started. */
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

  /** What must be on disk before any message of the current epoch is sent. */
  get record(): VoteRecord {
    return this.grants.record(this.epoch);
  }

  /** All voters but this node. */
  get others(): readonly NodeId[] {
    const { me } = this;
    return this.quorum.all.filter((peer) => peer !== me);
  }

  /** Whether this node is in the voter set. */
  get isVoter(): boolean {
    return this.quorum.includes(this.me);
  }

  /** Whether this node leads, or has won its epoch and waits for the grants. */
  get hasWonEpoch(): boolean {
    return this.role === 'leading' || this.role === 'won';
  }

  /**
   * Whether this node could win an election. The design has no such condition, but a node that cannot reach a majority,
   * or whose disk stalls, would only increase the epoch for the others.
   */
  canCampaign(now: Moment): boolean {
    const { diskStallMs } = this.settings;
    return (
      this.peerMonitor.reachesMajority(this.quorum) && !this.outbox.isStalled(now, diskStallMs)
    );
  }

  /** Sets the deadline of the current role to `rounds` election rounds from now, plus the extra time for slow links. */
  startElectionTimeout(now: Moment, rounds: number): void {
    const { electionMs } = this.settings;
    this.roleDeadline = later(
      now,
      electionMs * rounds + this.peerMonitor.extraRoundTripMs(this.quorum),
    );
  }

  /** Clears the state of the current role and enters another. */
  resetToRole(role: Role): void {
    this.role = role;
    this.leader = undefined;
    this.quorumMembers = new Set();
    this.ranking.clearDeferrals();
    this.lease.clear();
  }

  /** Enters an epoch: freezes the scores again, and holds its messages back until the epoch is on disk. */
  adoptEpoch(epoch: Epoch, now: Moment): void {
    if (epoch !== this.epoch) {
      this.epoch = epoch;
      this.persist(now);
    }
    this.ranking.freezeScores();
  }

  /** Grants the current epoch and a lease to `leader`; returns how long other leases still bind, in milliseconds. */
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

  /** Writes the current record; messages sent from now on wait until it is on disk. */
  persist(now: Moment): void {
    this.outbox.persist(this.record, now);
  }

  /** Sends a message once every record written so far is on disk. */
  send(to: NodeId, message: Message): void {
    this.outbox.send(to, message);
  }

  /** Reports the current epoch to the sender of a message with an earlier one. */
  sendBehind(to: NodeId): void {
    const reports = this.peerMonitor.scores.reports();
    this.send(to, { kind: 'behind', epoch: this.epoch, reports });
  }
}

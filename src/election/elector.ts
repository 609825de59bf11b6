import { epochOf, nextElectionEpoch, type Epoch, type Moment, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { Candidacy } from './candidacy.js';
import { FollowerRole } from './follower-role.js';
import { LeaderRole } from './leader-role.js';
import { ProposalTiming } from './proposal-timing.js';
import type { Scores } from './scores.js';
import type { VoteEffect, VoteRecord } from './vote-effect.js';
import { VoterState, type Role } from './voter-state.js';
import type { VoteSettings } from './vote-settings.js';

const EMPTY_RECORD: VoteRecord = { epoch: 0, grantEpoch: 0, grantLeader: '' };

/**
 * The election state machine of one voter: the proposals and deferrals of the design, with epoch grants and a leader
 * lease added. It does no I/O and reads no clock: it queues effects, which `drain` returns, and callers pass the time.
 */
export class Elector {
  readonly #state: VoterState;
  readonly #timing: ProposalTiming;
  readonly #candidacy: Candidacy;
  readonly #leaderRole: LeaderRole;
  readonly #followerRole: FollowerRole;

  constructor(
    me: NodeId,
    quorum: Quorum,
    settings: VoteSettings,
    now: Moment,
    record: VoteRecord = EMPTY_RECORD,
  ) {
    this.#state = new VoterState(me, quorum, settings, now, record);
    this.#timing = new ProposalTiming(me, settings, this.#state.peerMonitor, now);
    this.#leaderRole = new LeaderRole(this.#state);
    this.#candidacy = new Candidacy(this.#state, this.#timing, this.#leaderRole);
    this.#followerRole = new FollowerRole(this.#state, this.#candidacy);
    if (record.epoch > 0) this.#timing.beginStartupDelay(now);
  }

  /** The epoch that this voter is in; odd while an election is under way. */
  get epoch(): Epoch {
    return this.#state.epoch;
  }
  /** What this voter currently does in the election. */
  get role(): Role {
    return this.#state.role;
  }
  /** The leader of the current epoch as far as this voter knows, itself included; undefined if it knows none. */
  get leader(): NodeId | undefined {
    return this.#state.leader;
  }
  /** When the last victory or renewal of a followed leader arrived; 0 if none has. */
  get leaderLastHeardAt(): Moment {
    return this.#followerRole.leaderLastHeardAt;
  }
  /** The nodes that take part in the current epoch, as far as this voter knows. */
  get quorumMembers(): ReadonlySet<NodeId> {
    return this.#state.quorumMembers;
  }
  /** The connection scores that this voter knows. */
  get scores(): Scores {
    return this.#state.peerMonitor.scores;
  }
  /** The current state of the record that must survive a crash. */
  get record(): VoteRecord {
    return this.#state.record;
  }

  /** Whether a majority has granted this node the epoch, so that it may write the state, fenced by the epoch. */
  isLeading(): boolean {
    return this.#state.role === 'leading';
  }

  /** The end of this node's lease; orders may be in flight only before it. */
  get leaseEnd(): Moment {
    return this.#state.lease.end;
  }

  /** Whether this node may send an order at `now`; must be checked right before each order is written. */
  mayOrder(now: Moment): boolean {
    return this.isLeading() && this.#state.lease.mayOrder(now, this.#state.quorum);
  }

  /**
   * Permanently stops proposing and leading, before a planned stop. Must be called with no order in flight: it releases
   * the lease, so that the next leader waits only for the handover gap.
   */
  retire(now: Moment): void {
    const state = this.#state;
    state.isRetired = true;
    // No orders follow, so the lease that this node granted itself need not delay a successor.
    state.grants.releaseLease(now, state.me);
    if (this.isLeading()) this.#leaderRole.release();
    state.resetToRole('looking');
  }

  /** Stops leading after removal from the voters. The lease is not released: it delays a successor until it expires. */
  stepDown(): void {
    if (this.isLeading()) this.#state.resetToRole('looking');
  }

  /**
   * Sets whether this node may propose and grant: a node that lost its disk may not until it has been repaired. If the
   * epoch of `record` is above 0, a repaired node takes part again from the next electing epoch after it.
   */
  setMayVote(mayVote: boolean, record: VoteRecord, now: Moment): void {
    const state = this.#state;
    if (mayVote && !state.mayVote && record.epoch > 0) {
      // This node may have granted that epoch before it lost its disk, so it must not grant it again.
      state.epoch = nextElectionEpoch(epochOf(Math.max(record.epoch, state.epoch)));
      state.grants.assumeUnknownLease(now);
      // The current leader learns from the reply to its renewal that it must move to this node's epoch. If this node
      // led instead, no orders could be sent until the lease of that leader has expired.
      this.#timing.beginStartupDelay(now);
    }
    if (!mayVote) state.resetToRole('looking');
    if (mayVote === state.mayVote) return;
    state.mayVote = mayVote;
    state.persist(now);
  }

  /** Replaces the voter set; a leader still waits out the lease of its predecessor. */
  setQuorum(quorum: Quorum): void {
    const state = this.#state;
    if (this.isLeading() && quorum.text !== state.quorum.text) state.lease.retainHandoverWait();
    state.quorum = quorum;
    if (state.hasWonEpoch) state.lease.updateOrderStart(quorum);
  }

  /** When a voter last returned a ping, or was first pinged if it never has; undefined if it was never pinged. */
  lastHeardAt(peer: NodeId): Moment | undefined {
    return this.#state.peerMonitor.lastHeardAt(peer);
  }

  /** Number of elections that this node has started since its process started. */
  get electionsStarted(): number {
    return this.#candidacy.electionsStarted;
  }

  /** Number of epochs that this node has granted to a leader, itself included, since its process started. */
  get votesGranted(): number {
    return this.#state.votesGranted;
  }

  /** Number of voters that returned a ping sent within the peer timeout, including this node if it votes. */
  countReachableVoters(now: Moment): number {
    return this.#state.peerMonitor.countReachableVoters(now, this.#state.quorum);
  }

  /**
   * The latest time at which this node had two-way contact with a majority of the voters: each of them has returned a
   * ping sent at that time or later. Undefined if there was none since the process started.
   */
  lastMajorityContactAt(now: Moment): Moment | undefined {
    return this.#state.peerMonitor.lastMajorityContactAt(now, this.#state.quorum);
  }

  /** The additional time that an exchange with a majority of the voters takes over slow links, in milliseconds. */
  get extraRoundTripMs(): number {
    return this.#state.peerMonitor.extraRoundTripMs(this.#state.quorum);
  }

  /** The additional time that an exchange with this voter takes over a slow link, in milliseconds. */
  extraRoundTripMsOf(peer: NodeId): number {
    return this.#state.peerMonitor.extraRoundTripMsOf(peer);
  }

  /** Returns the queued effects in order, and clears the queue. */
  drain(): VoteEffect[] {
    return this.#state.outbox.drain();
  }

  /** Must be called when the record with this token is on disk; queues the messages that waited for it. */
  onPersisted(token: number): void {
    this.#state.outbox.onPersisted(token);
  }

  /** Sends pings and renewals that are due and handles timeouts; must be called periodically. */
  tick(now: Moment): void {
    const state = this.#state;
    state.peerMonitor.tick(now, state.quorum, state.leader);
    if (!state.mayVote || state.isRetired) return;
    // Records that the leases granted to other leaders have expired; no message has to wait for this write.
    if (state.grants.expireLeases(now)) state.outbox.persistInBackground(state.record);
    if (!state.isVoter) {
      this.#tickAsNonVoter(now);
      return;
    }
    if (state.hasWonEpoch) this.#leaderRole.tick(now);
    if (state.role === 'following') this.#followerRole.tick(now);
    else this.#candidacy.tick(now);
  }

  /** A leader that leaves the voter set leads on until the others have stored the new set, or its lease expires. */
  #tickAsNonVoter(now: Moment): void {
    const { role } = this.#state;
    if (role === 'leading') this.#leaderRole.tick(now);
    else if (role !== 'looking' && role !== 'following') this.#state.resetToRole('looking');
  }

  /** Handles a message of the election; ignores all other kinds. */
  onMessage(now: Moment, from: NodeId, message: Message): void {
    switch (message.kind) {
      case 'ping':
        this.#state.peerMonitor.onPing(from, message);
        break;
      case 'pong':
        this.#state.peerMonitor.onPong(now, from, message);
        break;
      case 'propose':
        this.#candidacy.onPropose(now, from, epochOf(message.epoch), message.reports);
        break;
      case 'defer':
        this.#candidacy.onDefer(now, from, epochOf(message.epoch), message.reports);
        break;
      case 'victory':
        this.#followerRole.onVictory(now, from, epochOf(message.epoch), message);
        break;
      case 'granted':
        this.#leaderRole.onGranted(now, from, epochOf(message.epoch), message);
        break;
      case 'behind':
        this.#followerRole.onBehind(now, epochOf(message.epoch), message.reports);
        break;
      case 'renew':
        this.#followerRole.onRenew(now, from, epochOf(message.epoch), message);
        break;
      case 'released':
        this.#followerRole.onReleased(now, from, epochOf(message.epoch));
        break;
      case 'renewed':
        this.#leaderRole.onRenewed(from, message);
        break;
      default:
        break;
    }
  }
}

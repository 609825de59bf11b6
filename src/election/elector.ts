import { epochOf, nextElecting, type Epoch, type Moment, type NodeId } from '../common/ids.js';
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
 * One voter of the election: the design's proposals and deferrals, then our grant and lease on top.
 * Pure: everything it wants done is drained as effects, and it is told the moment with each call.
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

  get epoch(): Epoch {
    return this.#state.epoch;
  }
  get role(): Role {
    return this.#state.role;
  }
  get leader(): NodeId | undefined {
    return this.#state.leader;
  }
  /** When the leader that is followed was heard last, by its victory or a renewal. */
  get leaderLastHeardAt(): Moment {
    return this.#followerRole.leaderLastHeardAt;
  }
  get quorumMembers(): ReadonlySet<NodeId> {
    return this.#state.quorumMembers;
  }
  get scores(): Scores {
    return this.#state.peerMonitor.scores;
  }
  get record(): VoteRecord {
    return this.#state.record;
  }

  /** Whether a majority has granted us this epoch: we hold the state and may write it, fenced by the epoch. */
  isLeading(): boolean {
    return this.#state.role === 'leading';
  }

  /** The end of our lease; orders may be under way only before it. */
  get leaseEnd(): Moment {
    return this.#state.lease.end;
  }

  /** Asked right before each order's write. */
  mayOrder(now: Moment): boolean {
    return this.isLeading() && this.#state.lease.mayOrder(now, this.#state.quorum);
  }

  /**
   * Stops leading and voting for good, as before a planned stop. Only to be called with no order under way:
   * the others then need not wait for our lease, only for the span in which nobody orders.
   */
  retire(now: Moment): void {
    const state = this.#state;
    state.isRetired = true;
    // We order nobody from here on: what we promised ourselves binds no successor any longer than this.
    state.grants.releaseLease(now, state.me);
    if (this.isLeading()) this.#leaderRole.release();
    state.abandonRole('looking');
  }

  /** Stops leading, as one that is no voter any more; what was promised to it binds until it runs out. */
  stepDown(): void {
    if (this.isLeading()) this.#state.abandonRole('looking');
  }

  /** A node that lost its disk neither proposes nor grants until it has been repaired. */
  setMayVote(mayVote: boolean, record: VoteRecord, now: Moment): void {
    const state = this.#state;
    if (mayVote && !state.mayVote && record.epoch > 0) {
      // We may have granted that epoch to somebody and forgotten it: we take part again from the next one on.
      state.epoch = nextElecting(epochOf(Math.max(record.epoch, state.epoch)));
      state.grants.assumeUnknownLease(now);
      // Whoever leads hears by our return to its renewal that it must come to our epoch. Were we to lead, having lost
      // nothing but our disk, nobody could order until the former lease has run out.
      this.#timing.beginStartupDelay(now);
    }
    if (!mayVote) state.abandonRole('looking');
    if (mayVote === state.mayVote) return;
    state.mayVote = mayVote;
    state.persist(now);
  }

  setQuorum(quorum: Quorum): void {
    const state = this.#state;
    if (this.isLeading() && quorum.text !== state.quorum.text) state.lease.retainHandoverWait();
    state.quorum = quorum;
    if (state.hasWonEpoch) state.lease.updateOrderStart(quorum);
  }

  /** When a voter last returned a ping; nothing for one never pinged. */
  lastHeardAt(peer: NodeId): Moment | undefined {
    return this.#state.peerMonitor.lastHeardAt(peer);
  }

  /** Elections that this node started since its process began. */
  get electionsStarted(): number {
    return this.#candidacy.electionsStarted;
  }

  /** Terms that this node granted to a leader, itself included. */
  get votesGranted(): number {
    return this.#state.votesGranted;
  }

  /** Voters that have lately returned a ping, this node included if it votes. */
  reachableVoters(now: Moment): number {
    return this.#state.peerMonitor.reachableVoters(now, this.#state.quorum);
  }

  /**
   * The newest moment at which a majority of the voters was in contact both ways: each of it has returned a ping that we
   * sent no earlier. Nothing if there was none since the process began.
   */
  majorityContact(now: Moment): Moment | undefined {
    return this.#state.peerMonitor.majorityContact(now, this.#state.quorum);
  }

  /** By how much longer than on ordinary links an exchange with a majority of the voters takes, in milliseconds. */
  get extraRoundTripMs(): number {
    return this.#state.peerMonitor.extraRoundTripMs(this.#state.quorum);
  }

  /** By how much longer than on an ordinary link an exchange with that voter takes, in milliseconds. */
  extraRoundTripMsOf(peer: NodeId): number {
    return this.#state.peerMonitor.extraRoundTripMsOf(peer);
  }

  drain(): VoteEffect[] {
    return this.#state.outbox.drain();
  }

  /** Told when the record with that token is on disk. */
  onPersisted(token: number): void {
    this.#state.outbox.onPersisted(token);
  }

  tick(now: Moment): void {
    const state = this.#state;
    state.peerMonitor.tick(now, state.quorum, state.leader);
    if (!state.mayVote || state.isRetired) return;
    // Once what was promised to others has run out, the record says so; nothing said meanwhile waits for that.
    if (state.grants.onLeasesExpired(now)) state.outbox.persistInBackground(state.record);
    if (!state.isVoter) {
      this.#tickAsNonVoter(now);
      return;
    }
    if (state.hasWonEpoch) this.#leaderRole.tick(now);
    if (state.role === 'following') this.#followerRole.tick(now);
    else this.#candidacy.tick(now);
  }

  /** One that leaves its seat leads until the others hold that: they renew it meanwhile, or its lease runs out. */
  #tickAsNonVoter(now: Moment): void {
    const { role } = this.#state;
    if (role === 'leading') this.#leaderRole.tick(now);
    else if (role !== 'looking' && role !== 'following') this.#state.abandonRole('looking');
  }

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

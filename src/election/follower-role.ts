import {
  isElectionEpoch,
  later,
  moment,
  nodeId,
  type Epoch,
  type Moment,
  type NodeId,
} from '../common/ids.js';
import type { Message, ScoreReport } from '../common/messages.js';
import type { Candidacy } from './candidacy.js';
import type { VoterState } from './voter-state.js';

type VictoryMessage = Extract<Message, { kind: 'victory' }>;
type RenewMessage = Extract<Message, { kind: 'renew' }>;

/** The follower's part: grants an epoch to its winner, acknowledges the leader's renewals, and detects its loss. */
export class FollowerRole {
  readonly #state: VoterState;
  readonly #candidacy: Candidacy;
  #leaderLastHeardAt: Moment = moment(0);

  constructor(state: VoterState, candidacy: Candidacy) {
    this.#state = state;
    this.#candidacy = candidacy;
  }

  /** When the last victory or renewal of a followed leader arrived; 0 if none has. */
  get leaderLastHeardAt(): Moment {
    return this.#leaderLastHeardAt;
  }

  /** Starts an election if the followed leader has sent nothing for `leaseMs`. */
  tick(now: Moment): void {
    const { role, settings } = this.#state;
    if (role === 'following' && now >= later(this.#leaderLastHeardAt, settings.leaseMs))
      this.#startElection(now);
  }

  /** Grants the epoch to its winner and follows it, or reports the current epoch if that one is later. */
  onVictory(now: Moment, from: NodeId, epoch: Epoch, message: VictoryMessage): void {
    const state = this.#state;
    state.peerMonitor.scores.merge(message.reports);
    if (!this.#isWinner(from, epoch)) return;
    if (epoch >= state.epoch) {
      this.#follow(now, from, epoch, message);
      return;
    }
    state.ranking.onOvertakenLeader(from, state.quorum);
    state.sendBehind(from);
  }

  /** Acknowledges a renewal of the followed leader; for any other winner it counts as a missed victory. */
  onRenew(now: Moment, from: NodeId, epoch: Epoch, message: RenewMessage): void {
    const state = this.#state;
    if (!this.#isWinner(from, epoch)) return;
    if (epoch < state.epoch) {
      state.ranking.onOvertakenLeader(from, state.quorum);
      state.send(from, { kind: 'behind', epoch: state.epoch, reports: [] });
      return;
    }
    const isGranted = state.grants.isGrantedTo(from, epoch);
    if (!isGranted || state.epoch !== epoch || state.leader !== from) {
      // The victory was missed, or this process has restarted since: joining late is a grant like any other.
      this.#follow(now, from, epoch, message);
      return;
    }
    this.#onLeaderHeard(now, from, message.quorum);
    state.grants.extendLease(now, from);
    state.send(from, { kind: 'renewed', epoch, nonce: message.nonce });
  }

  /** The leader stops as planned and sends no more orders: its lease ends, and an election starts immediately. */
  onReleased(now: Moment, from: NodeId, epoch: Epoch): void {
    const { epoch: currentEpoch, leader, grants } = this.#state;
    if (epoch !== currentEpoch || leader !== from) return;
    grants.releaseLease(now, from);
    this.#startElection(now);
  }

  /** A peer reported a later epoch: unless this voter follows a leader, it enters that epoch and may propose itself. */
  onBehind(now: Moment, epoch: Epoch, reports: readonly ScoreReport[]): void {
    const state = this.#state;
    state.peerMonitor.scores.merge(reports);
    if (epoch <= state.epoch || !state.mayVote || state.role === 'following') return;
    state.resetToRole('looking');
    state.adoptEpoch(epoch, now);
    this.#candidacy.startIfReachable(now);
  }

  #isWinner(from: NodeId, epoch: Epoch): boolean {
    const { mayVote, quorum } = this.#state;
    return mayVote && quorum.includes(from) && !isElectionEpoch(epoch);
  }

  #follow(now: Moment, from: NodeId, epoch: Epoch, message: VictoryMessage | RenewMessage): void {
    const state = this.#state;
    if (!state.grants.mayGrant(from, epoch)) return;
    if (epoch > state.epoch || state.leader !== from) {
      state.resetToRole('following');
      state.adoptEpoch(epoch, now);
    }
    state.role = 'following';
    state.leader = from;
    state.ranking.onLeaderKnown();
    this.#onLeaderHeard(now, from, message.quorum);
    const waitMs = state.grant(now, from);
    const reports = state.peerMonitor.scores.reports();
    state.send(from, {
      kind: 'granted',
      epoch: state.epoch,
      wait: waitMs,
      nonce: message.nonce,
      reports,
    });
  }

  #onLeaderHeard(now: Moment, leader: NodeId, quorum: readonly string[]): void {
    this.#leaderLastHeardAt = now;
    this.#state.quorumMembers = new Set([this.#state.me, leader, ...quorum.map(nodeId)]);
  }

  #startElection(now: Moment): void {
    this.#state.resetToRole('looking');
    this.#candidacy.startIfReachable(now);
  }
}

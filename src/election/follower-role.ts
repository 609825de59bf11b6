import {
  isElecting,
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

/** A follower's side: grants an epoch to the one that has won it, and returns its renewals. */
export class FollowerRole {
  readonly #state: VoterState;
  readonly #candidacy: Candidacy;
  #leaderLastHeardAt: Moment = moment(0);

  constructor(state: VoterState, candidacy: Candidacy) {
    this.#state = state;
    this.#candidacy = candidacy;
  }

  /** When the leader that is followed was heard last, by its victory or a renewal. */
  get leaderLastHeardAt(): Moment {
    return this.#leaderLastHeardAt;
  }

  /** Gives up a leader that was not heard for the span. */
  tick(now: Moment): void {
    const { role, settings } = this.#state;
    if (role === 'following' && now >= later(this.#leaderLastHeardAt, settings.leaseMs))
      this.#startOver(now);
  }

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
      // We missed the victory (or restarted): joining late is a grant like any other.
      this.#follow(now, from, epoch, message);
      return;
    }
    this.#onLeaderHeard(now, from, message.quorum);
    state.grants.extendLease(now, from);
    state.send(from, { kind: 'renewed', epoch, nonce: message.nonce });
  }

  /** The leader stops as planned and orders nobody any more. */
  onReleased(now: Moment, from: NodeId, epoch: Epoch): void {
    const { epoch: present, leader, grants } = this.#state;
    if (epoch !== present || leader !== from) return;
    grants.releaseLease(now, from);
    this.#startOver(now);
  }

  /** Somebody that we spoke to is in a newer epoch. */
  onBehind(now: Moment, epoch: Epoch, reports: readonly ScoreReport[]): void {
    const state = this.#state;
    state.peerMonitor.scores.merge(reports);
    if (epoch <= state.epoch || !state.mayVote || state.role === 'following') return;
    state.abandonRole('looking');
    state.adoptEpoch(epoch, now);
    this.#candidacy.startIfReachable(now);
  }

  #isWinner(from: NodeId, epoch: Epoch): boolean {
    const { mayVote, quorum } = this.#state;
    return mayVote && quorum.includes(from) && !isElecting(epoch);
  }

  #follow(now: Moment, from: NodeId, epoch: Epoch, message: VictoryMessage | RenewMessage): void {
    const state = this.#state;
    if (!state.grants.mayGrant(from, epoch)) return;
    if (epoch > state.epoch || state.leader !== from) {
      state.abandonRole('following');
      state.adoptEpoch(epoch, now);
    }
    state.role = 'following';
    state.leader = from;
    state.ranking.onLeaderKnown();
    this.#onLeaderHeard(now, from, message.quorum);
    const wait = state.grant(now, from);
    const reports = state.peerMonitor.scores.reports();
    state.send(from, { kind: 'granted', epoch: state.epoch, wait, nonce: message.nonce, reports });
  }

  #onLeaderHeard(now: Moment, leader: NodeId, quorum: readonly string[]): void {
    this.#leaderLastHeardAt = now;
    this.#state.quorumMembers = new Set([this.#state.me, leader, ...quorum.map(nodeId)]);
  }

  #startOver(now: Moment): void {
    this.#state.abandonRole('looking');
    this.#candidacy.startIfReachable(now);
  }
}

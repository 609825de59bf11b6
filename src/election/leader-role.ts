import { nextLeaderEpoch, type Epoch, type Moment, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { VoterState } from './voter-state.js';

type GrantedMessage = Extract<Message, { kind: 'granted' }>;
type RenewedMessage = Extract<Message, { kind: 'renewed' }>;

/** The leader's part: requests grants of the epoch that it has won, and renews its lease. */
export class LeaderRole {
  readonly #state: VoterState;

  constructor(state: VoterState) {
    this.#state = state;
  }

  /** Enters the epoch after the one in which a majority deferred to this voter, and asks all voters to grant it. */
  begin(now: Moment): void {
    const state = this.#state;
    const { me } = state;
    const members = new Set(state.ranking.deferrals);
    state.adoptEpoch(nextLeaderEpoch(state.epoch), now);
    state.role = 'won';
    state.leader = me;
    state.quorumMembers = members;
    state.startElectionTimeout(now, 2);
    const nonce = state.lease.begin(now);
    const { epoch } = state;
    const waitMs = state.grant(now, me);
    state.outbox.whenPersisted(() => this.#countGrant(now, me, epoch, waitMs, nonce));
    const reports = state.peerMonitor.scores.reports();
    const quorum = [...members];
    for (const peer of state.others)
      state.send(peer, { kind: 'victory', epoch, reports, nonce, quorum, sentAt: now });
  }

  /** Renews the lease if that is due, or stops leading at its end. */
  tick(now: Moment): void {
    const state = this.#state;
    if (state.role === 'leading' && now >= state.lease.end) {
      // No majority acknowledges the renewals any more.
      state.resetToRole('looking');
      return;
    }
    const nonce = state.lease.renew(now);
    if (nonce === undefined) return;
    state.grants.extendLease(now, state.me);
    // This node's own acknowledgement counts only once its own grant of the epoch is on disk.
    state.outbox.whenPersisted(() => this.#countRenewal(state.me, nonce));
    const { epoch } = state;
    const quorum = [...state.quorumMembers];
    for (const peer of state.others)
      state.send(peer, { kind: 'renew', epoch, nonce, quorum, sentAt: now });
  }

  /** Announces a planned stop, so that the other voters need not wait for the end of the lease. */
  release(): void {
    const { epoch, others } = this.#state;
    for (const peer of others) this.#state.send(peer, { kind: 'released', epoch });
  }

  /** Counts a voter's grant of the current epoch; this node leads once a majority has granted it. */
  onGranted(now: Moment, from: NodeId, epoch: Epoch, message: GrantedMessage): void {
    this.#state.peerMonitor.scores.merge(message.reports);
    this.#countGrant(now, from, epoch, message.wait, message.nonce);
  }

  /** Counts a voter's acknowledgement of a renewal in the current epoch. */
  onRenewed(from: NodeId, message: RenewedMessage): void {
    if (message.epoch === this.#state.epoch) this.#countRenewal(from, message.nonce);
  }

  #countGrant(now: Moment, from: NodeId, epoch: Epoch, waitMs: number, nonce: number): void {
    const state = this.#state;
    if (epoch !== state.epoch || !state.hasWonEpoch) return;
    state.quorumMembers.add(from);
    state.lease.countGrant(now, from, waitMs, state.quorum);
    state.lease.countRenewal(from, nonce, state.quorum);
    if (state.role !== 'won' || !state.lease.isGranted(state.quorum)) return;
    state.role = 'leading';
    state.ranking.onLeaderKnown();
  }

  #countRenewal(from: NodeId, nonce: number): void {
    const state = this.#state;
    if (state.hasWonEpoch) state.lease.countRenewal(from, nonce, state.quorum);
  }
}

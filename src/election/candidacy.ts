import {
  isElectionEpoch,
  nextElectionEpoch,
  type Epoch,
  type Moment,
  type NodeId,
} from '../common/ids.js';
import type { ScoreReport } from '../common/messages.js';
import type { LeaderRole } from './leader-role.js';
import type { ProposalTiming } from './proposal-timing.js';
import type { Role, VoterState } from './voter-state.js';

type Reports = readonly ScoreReport[];

/** Roles that a voter leaves if they lead to no result before the deadline. */
const ROLES_WITH_DEADLINE: ReadonlySet<Role> = new Set<Role>(['proposing', 'deferred', 'won']);

/** The election rounds of one voter: its own proposals, the deferrals to them, and its deferrals to other proposers. */
export class Candidacy {
  readonly #state: VoterState;
  readonly #timing: ProposalTiming;
  readonly #leaderRole: LeaderRole;
  #electionsStarted = 0;

  constructor(state: VoterState, timing: ProposalTiming, leaderRole: LeaderRole) {
    this.#state = state;
    this.#timing = timing;
    this.#leaderRole = leaderRole;
  }

  /** Number of elections that this node has started since its process started. */
  get electionsStarted(): number {
    return this.#electionsStarted;
  }

  /** Starts an election if it is time to, or ends the current round at its deadline. */
  tick(now: Moment): void {
    const { role, roleDeadline, quorum, grants, ranking } = this.#state;
    if (role === 'looking') {
      if (this.#timing.isTimeToPropose(now, quorum, grants.leader)) this.startIfReachable(now);
      return;
    }
    if (!ROLES_WITH_DEADLINE.has(role) || now < roleDeadline) return;
    if (role === 'proposing' && quorum.isMajority(ranking.deferrals)) this.#leaderRole.begin(now);
    else this.startIfReachable(now);
  }

  /** Starts an election: moves to the next electing epoch and proposes this voter to all others. */
  start(now: Moment): void {
    const state = this.#state;
    this.#electionsStarted += 1;
    state.resetToRole('proposing');
    state.adoptEpoch(nextElectionEpoch(state.epoch), now);
    state.ranking.propose();
    state.startElectionTimeout(now, 1);
    for (const peer of state.others) this.#propose(peer);
    if (state.quorum.all.length === 1) this.#leaderRole.begin(now);
  }

  /** Starts an election if this voter can win one, else looks for a leader. */
  startIfReachable(now: Moment): void {
    const state = this.#state;
    // The others may already count this node as a voter while its own voter set does not include it.
    if (state.isRetired || !state.isVoter) return;
    if (state.canCampaign(now)) this.start(now);
    else if (state.role !== 'looking') state.resetToRole('looking');
  }

  /** Handles the proposal of another voter: defers to it, supersedes it, ignores it or reports the current epoch. */
  onPropose(now: Moment, from: NodeId, epoch: Epoch, reports: Reports): void {
    const state = this.#state;
    state.peerMonitor.scores.merge(reports);
    if (!state.mayVote || !state.quorum.includes(from)) return;
    const isLeaderElected = state.leader !== undefined && !isElectionEpoch(state.epoch);
    if (isLeaderElected && !state.quorumMembers.has(from)) this.#onOutsiderProposal(now, epoch);
    else if (epoch < state.epoch) this.#onOlderProposal(from, isLeaderElected);
    else if (epoch > state.epoch) this.#onNewerProposal(now, from, epoch, reports);
    else if (isElectionEpoch(epoch)) this.#onRivalProposal(now, from, reports);
  }

  /** Counts a deferral to this voter's proposal; it wins immediately when all live voters have deferred. */
  onDefer(now: Moment, from: NodeId, epoch: Epoch, reports: Reports): void {
    const { peerMonitor, role, epoch: currentEpoch, quorum, ranking, others } = this.#state;
    peerMonitor.scores.merge(reports);
    if (role !== 'proposing' || epoch !== currentEpoch || !quorum.includes(from)) return;
    ranking.addDeferral(from);
    // All live voters have deferred, so waiting for the deadline would gain nothing.
    if (quorum.isMajority(ranking.deferrals) && others.every(this.#hasDeferredOrIsDead, this))
      this.#leaderRole.begin(now);
  }

  /**
   * A proposal from a voter outside the current quorum. It justifies an election only if another leader would win, or
   * if this node leads and the proposer is in a later epoch, since it could then never accept this leader's renewals.
   */
  #onOutsiderProposal(now: Moment, epoch: Epoch): void {
    const state = this.#state;
    if (state.ranking.isOutscored(state.leader, state.quorum)) {
      this.startIfReachable(now);
    } else if (state.leader === state.me && epoch > state.epoch) {
      state.adoptEpoch(epoch, now);
      this.startIfReachable(now);
    }
  }

  /**
   * A proposal of an earlier epoch. Its sender may have just started and must learn the current epoch to take part; a
   * voter that proposes itself answers with its own proposal.
   */
  #onOlderProposal(from: NodeId, isLeaderElected: boolean): void {
    if (!isLeaderElected && this.#state.role === 'proposing') this.#propose(from);
    else this.#state.sendBehind(from);
  }

  #onNewerProposal(now: Moment, from: NodeId, epoch: Epoch, reports: Reports): void {
    const state = this.#state;
    const { ranking, quorum } = state;
    // The current leader may move to a higher epoch so that a repaired voter can rejoin. The tie-break alone is no
    // reason to supersede it, since another leader could send orders only after its lease expires.
    const isInStartupDelay = this.#timing.isInStartupDelay(now, quorum);
    const needsHigherScore =
      state.leader === from || ranking.wasOvertaken(from) || isInStartupDelay;
    state.resetToRole('looking');
    state.adoptEpoch(epoch, now);
    // Shortly after startup not all scores are known, so the known ones must not supersede the previous leader.
    const isFormerLeader = isInStartupDelay && state.grants.leader === from;
    const isBetter = needsHigherScore
      ? ranking.outscores(from, quorum)
      : ranking.isPreferred(state.me, from, quorum);
    const mayPropose = !state.isRetired && state.isVoter && state.canCampaign(now);
    if (!isFormerLeader && isBetter && mayPropose) this.start(now);
    else this.#deferTo(now, from, reports);
  }

  /** Another proposal in the epoch in which this voter proposes itself or has deferred. */
  #onRivalProposal(now: Moment, from: NodeId, reports: Reports): void {
    const { ranking, role, me, quorum } = this.#state;
    const current = ranking.deferredTo ?? (role === 'proposing' ? me : undefined);
    if (current === from) return;
    if (current === undefined) {
      this.#deferTo(now, from, reports);
      return;
    }
    if (!ranking.isPreferred(from, current, quorum)) return;
    // Deferral is transitive: unless the proposer deferred to would itself defer here, a new election must start.
    if (ranking.isPreferredByDeferredProposer(from, current, quorum))
      this.#deferTo(now, from, reports);
    else this.startIfReachable(now);
  }

  #deferTo(now: Moment, from: NodeId, reports: Reports): void {
    const state = this.#state;
    state.role = 'deferred';
    state.ranking.deferTo(from, reports);
    state.startElectionTimeout(now, 2);
    state.send(from, { kind: 'defer', epoch: state.epoch, reports: state.ranking.reports() });
  }

  #propose(to: NodeId): void {
    const { epoch, ranking } = this.#state;
    this.#state.send(to, { kind: 'propose', epoch, reports: ranking.reports() });
  }

  #hasDeferredOrIsDead(peer: NodeId): boolean {
    const { ranking, peerMonitor } = this.#state;
    return ranking.deferrals.has(peer) || !peerMonitor.scores.isAlive(peer);
  }
}

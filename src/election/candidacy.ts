import { isElecting, nextElecting, type Epoch, type Moment, type NodeId } from '../common/ids.js';
import type { ScoreReport } from '../common/messages.js';
import type { LeaderRole } from './leader-role.js';
import type { ProposalTiming } from './proposal-timing.js';
import type { Role, VoterState } from './voter-state.js';

type Reports = readonly ScoreReport[];

/** Roles that are given up where nothing came of them in time. */
const WAITING_ROLES: ReadonlySet<Role> = new Set<Role>(['proposing', 'deferred', 'won']);

/** The rounds of an election: proposals of this voter and deferrals to it, and to whom it defers itself. */
export class Candidacy {
  readonly #state: VoterState;
  readonly #timing: ProposalTiming;
  readonly #leaderRole: LeaderRole;
  #electionsStarted = 0;

  constructor(state: VoterState, timing: ProposalTiming, leadership: LeaderRole) {
    this.#state = state;
    this.#timing = timing;
    this.#leaderRole = leadership;
  }

  /** Elections that this node started since its process began. */
  get electionsStarted(): number {
    return this.#electionsStarted;
  }

  tick(now: Moment): void {
    const { role, roleDeadline, quorum, grants, ranking } = this.#state;
    if (role === 'looking') {
      if (this.#timing.isTimeToPropose(now, quorum, grants.leader)) this.startIfReachable(now);
      return;
    }
    if (!WAITING_ROLES.has(role) || now < roleDeadline) return;
    if (role === 'proposing' && quorum.isMajority(ranking.deferrals)) this.#leaderRole.begin(now);
    else this.startIfReachable(now);
  }

  /** Bumps the epoch and proposes ourselves. */
  start(now: Moment): void {
    const state = this.#state;
    this.#electionsStarted += 1;
    state.abandonRole('proposing');
    state.adoptEpoch(nextElecting(state.epoch), now);
    state.ranking.propose();
    state.startElectionTimeout(now, 1);
    for (const peer of state.others) this.#propose(peer);
    if (state.quorum.all.length === 1) this.#leaderRole.begin(now);
  }

  startIfReachable(now: Moment): void {
    const state = this.#state;
    // A node that is no voter yet, as far as it knows, would be counted by everyone but itself.
    if (state.isRetired || !state.isVoter) return;
    if (state.canCampaign(now)) this.start(now);
    else if (state.role !== 'looking') state.abandonRole('looking');
  }

  onPropose(now: Moment, from: NodeId, epoch: Epoch, reports: Reports): void {
    const state = this.#state;
    state.peerMonitor.scores.merge(reports);
    if (!state.mayVote || !state.quorum.includes(from)) return;
    const isSettled = state.leader !== undefined && !isElecting(state.epoch);
    if (isSettled && !state.quorumMembers.has(from)) this.#onOutsiderProposal(now, epoch);
    else if (epoch < state.epoch) this.#onOlderProposal(from, isSettled);
    else if (epoch > state.epoch) this.#onNewerProposal(now, from, epoch, reports);
    else if (isElecting(epoch)) this.#onRivalProposal(now, from, reports);
  }

  onDefer(now: Moment, from: NodeId, epoch: Epoch, reports: Reports): void {
    const { peerMonitor, role, epoch: present, quorum, ranking, others } = this.#state;
    peerMonitor.scores.merge(reports);
    if (role !== 'proposing' || epoch !== present || !quorum.includes(from)) return;
    ranking.addDeferral(from);
    // Everyone in reach has deferred: nothing is gained by waiting for the limit.
    if (quorum.isMajority(ranking.deferrals) && others.every(this.#hasDeferredOrIsDead, this))
      this.#leaderRole.begin(now);
  }

  /**
   * From outside the quorum: only worth an election if another than the present leader would come out of it, or if we lead
   * ourselves and the newcomer has run ahead, since it could then never accept our renewals.
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

  /** An old message. A sender that looks newly booted must learn the epoch to take part; while electing, start anew for it. */
  #onOlderProposal(from: NodeId, isSettled: boolean): void {
    if (!isSettled && this.#state.role === 'proposing') this.#propose(from);
    else this.#state.sendBehind(from);
  }

  #onNewerProposal(now: Moment, from: NodeId, epoch: Epoch, reports: Reports): void {
    const state = this.#state;
    const { ranking, quorum } = state;
    // Our leader may come to a higher epoch for the sake of one that was repaired: by the tie-break alone it is not
    // outbid, since another could order only after its lease.
    const isListening = this.#timing.isInStartupDelay(now, quorum);
    const isKept = state.leader === from || ranking.wasOvertaken(from) || isListening;
    state.abandonRole('looking');
    state.adoptEpoch(epoch, now);
    // In the first moments after a start not all scores are known: whoever led before is not outbid by what is.
    const isFormer = isListening && state.grants.leader === from;
    const isBetter = isKept
      ? ranking.outscores(from, quorum)
      : ranking.isPreferred(state.me, from, quorum);
    const isCandidate = !state.isRetired && state.isVoter && state.canCampaign(now);
    if (!isFormer && isBetter && isCandidate) this.start(now);
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
    // Deferral is transitive: where the one we chose before would not defer here, everyone starts over.
    if (ranking.isPreferredByDeferred(from, current, quorum)) this.#deferTo(now, from, reports);
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

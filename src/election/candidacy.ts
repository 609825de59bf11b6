import { isElecting, nextElecting, type Epoch, type Moment, type NodeId } from '../common/ids.js';
import type { ScoreReport } from '../common/messages.js';
import type { Leadership } from './leadership.js';
import type { ProposalTiming } from './proposal-timing.js';
import type { Role, VoterState } from './voter-state.js';

type Reports = readonly ScoreReport[];

/** Roles that are given up where nothing came of them in time. */
const WAITING_ROLES: ReadonlySet<Role> = new Set<Role>(['proposing', 'deferred', 'won']);

/** The rounds of an election: proposals of this voter and deferrals to it, and to whom it defers itself. */
export class Candidacy {
  readonly #state: VoterState;
  readonly #timing: ProposalTiming;
  readonly #leadership: Leadership;
  #started = 0;

  constructor(state: VoterState, timing: ProposalTiming, leadership: Leadership) {
    this.#state = state;
    this.#timing = timing;
    this.#leadership = leadership;
  }

  /** Elections that this node started since its process began. */
  get started(): number {
    return this.#started;
  }

  tick(now: Moment): void {
    const { role, limit, quorum, promises, ballot } = this.#state;
    if (role === 'looking') {
      if (this.#timing.isTimeToPropose(now, quorum, promises.leader)) this.startIfReachable(now);
      return;
    }
    if (!WAITING_ROLES.has(role) || now < limit) return;
    if (role === 'proposing' && quorum.isMajority(ballot.deferrals)) this.#leadership.begin(now);
    else this.startIfReachable(now);
  }

  /** Bumps the epoch and proposes ourselves. */
  start(now: Moment): void {
    const state = this.#state;
    this.#started += 1;
    state.lose('proposing');
    state.adopt(nextElecting(state.epoch), now);
    state.ballot.propose();
    state.waitRounds(now, 1);
    for (const peer of state.others) this.#propose(peer);
    if (state.quorum.all.length === 1) this.#leadership.begin(now);
  }

  startIfReachable(now: Moment): void {
    const state = this.#state;
    // A node that is no voter yet, as far as it knows, would be counted by everyone but itself.
    if (state.isRetired || !state.isVoter) return;
    if (state.isAble(now)) this.start(now);
    else if (state.role !== 'looking') state.lose('looking');
  }

  receivePropose(now: Moment, from: NodeId, epoch: Epoch, reports: Reports): void {
    const state = this.#state;
    state.links.scores.merge(reports);
    if (!state.mayVote || !state.quorum.includes(from)) return;
    const isSettled = state.leader !== undefined && !isElecting(state.epoch);
    if (isSettled && !state.quorumMembers.has(from)) this.#hearOutsider(now, epoch);
    else if (epoch < state.epoch) this.#answerOlder(from, isSettled);
    else if (epoch > state.epoch) this.#hearNewer(now, from, epoch, reports);
    else if (isElecting(epoch)) this.#hearRival(now, from, reports);
  }

  receiveDefer(now: Moment, from: NodeId, epoch: Epoch, reports: Reports): void {
    const { links, role, epoch: present, quorum, ballot, others } = this.#state;
    links.scores.merge(reports);
    if (role !== 'proposing' || epoch !== present || !quorum.includes(from)) return;
    ballot.addDeferral(from);
    // Everyone in reach has deferred: nothing is gained by waiting for the limit.
    if (quorum.isMajority(ballot.deferrals) && others.every(this.#hasDeferredOrIsDead, this))
      this.#leadership.begin(now);
  }

  /**
   * From outside the quorum: only worth an election if another than the present leader would come out of it, or if we lead
   * ourselves and the newcomer has run ahead, since it could then never accept our renewals.
   */
  #hearOutsider(now: Moment, epoch: Epoch): void {
    const state = this.#state;
    if (state.ballot.isOutscored(state.leader, state.quorum)) {
      this.startIfReachable(now);
    } else if (state.leader === state.me && epoch > state.epoch) {
      state.adopt(epoch, now);
      this.startIfReachable(now);
    }
  }

  /** An old message. A sender that looks newly booted must learn the epoch to take part; while electing, start anew for it. */
  #answerOlder(from: NodeId, isSettled: boolean): void {
    if (!isSettled && this.#state.role === 'proposing') this.#propose(from);
    else this.#state.sendBehind(from);
  }

  #hearNewer(now: Moment, from: NodeId, epoch: Epoch, reports: Reports): void {
    const state = this.#state;
    const { ballot, quorum } = state;
    // Our leader may come to a higher epoch for the sake of one that was repaired: by the tie-break alone it is not
    // outbid, since another could order only after its lease.
    const isListening = this.#timing.isListening(now, quorum);
    const isKept = state.leader === from || ballot.hasOutrun(from) || isListening;
    state.lose('looking');
    state.adopt(epoch, now);
    // In the first moments after a start not all scores are known: whoever led before is not outbid by what is.
    const isFormer = isListening && state.promises.leader === from;
    const isBetter = isKept ? ballot.isAbove(from, quorum) : ballot.outbids(state.me, from, quorum);
    const isCandidate = !state.isRetired && state.isVoter && state.isAble(now);
    if (!isFormer && isBetter && isCandidate) this.start(now);
    else this.#deferTo(now, from, reports);
  }

  /** Another proposal in the epoch in which this voter proposes itself or has deferred. */
  #hearRival(now: Moment, from: NodeId, reports: Reports): void {
    const { ballot, role, me, quorum } = this.#state;
    const current = ballot.deferredTo ?? (role === 'proposing' ? me : undefined);
    if (current === from) return;
    if (current === undefined) {
      this.#deferTo(now, from, reports);
      return;
    }
    if (!ballot.outbids(from, current, quorum)) return;
    // Deferral is transitive: where the one we chose before would not defer here, everyone starts over.
    if (ballot.outbidsByDeferred(from, current, quorum)) this.#deferTo(now, from, reports);
    else this.startIfReachable(now);
  }

  #deferTo(now: Moment, from: NodeId, reports: Reports): void {
    const state = this.#state;
    state.role = 'deferred';
    state.ballot.deferTo(from, reports);
    state.waitRounds(now, 2);
    state.send(from, { kind: 'defer', epoch: state.epoch, reports: state.ballot.reports() });
  }

  #propose(to: NodeId): void {
    const { epoch, ballot } = this.#state;
    this.#state.send(to, { kind: 'propose', epoch, reports: ballot.reports() });
  }

  #hasDeferredOrIsDead(peer: NodeId): boolean {
    const { ballot, links } = this.#state;
    return ballot.deferrals.has(peer) || !links.scores.isAlive(peer);
  }
}

import type { NodeId } from '../common/ids.js';
import type { ScoreReport } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { Scores } from './scores.js';
import type { PeerMonitor } from './peer-monitor.js';
import type { VoteSettings } from './vote-settings.js';

/** How one voter ranks candidates, by scores frozen when an epoch starts, and the deferrals of the current round. */
export class CandidateRanking {
  readonly #me: NodeId;
  readonly #settings: VoteSettings;
  readonly #peerMonitor: PeerMonitor;
  #frozenScores: Scores;
  #deferrals = new Set<NodeId>();
  #deferredTo: NodeId | undefined;
  /** The scores that came with the proposal that this voter has deferred to. */
  #deferredScores: Scores | undefined;
  /** Whether this process has followed a leader or led. */
  #hasKnownLeader = false;
  /** The leader of an epoch below this voter's, heard of over slow links. */
  #overtakenLeader: NodeId | undefined;

  constructor(me: NodeId, settings: VoteSettings, peerMonitor: PeerMonitor) {
    this.#me = me;
    this.#settings = settings;
    this.#peerMonitor = peerMonitor;
    this.#frozenScores = peerMonitor.scores.freeze();
  }

  /** The proposer that this voter has deferred to in the current round. */
  get deferredTo(): NodeId | undefined {
    return this.#deferredTo;
  }

  /** The voters that have deferred to this one in the current round, itself included. */
  get deferrals(): ReadonlySet<NodeId> {
    return this.#deferrals;
  }

  /** Freezes the scores for a new epoch: later pings and merges do not change how its candidates are ranked. */
  freezeScores(): void {
    this.#frozenScores = this.#peerMonitor.scores.freeze();
  }

  /** The frozen scores, as sent with proposals and deferrals. */
  reports(): ScoreReport[] {
    return this.#frozenScores.reports();
  }

  /** Ends the current round. */
  clearDeferrals(): void {
    this.#deferredTo = undefined;
    this.#deferredScores = undefined;
    this.#deferrals = new Set();
  }

  /** Starts a round in which this voter proposes itself. */
  propose(): void {
    this.#deferrals = new Set([this.#me]);
  }

  /** Counts the deferral of a voter to this one. */
  addDeferral(from: NodeId): void {
    this.#deferrals.add(from);
  }

  /** Defers to `proposer`; `reports` are the scores that came with its proposal. */
  deferTo(proposer: NodeId, reports: readonly ScoreReport[]): void {
    const scores = new Scores(this.#me, this.#settings.halfLifeSeconds);
    scores.merge(reports);
    this.#deferredTo = proposer;
    this.#deferredScores = scores;
  }

  /** Notes that this voter now leads or follows a leader. */
  onLeaderKnown(): void {
    this.#hasKnownLeader = true;
    this.#overtakenLeader = undefined;
  }

  /**
   * Notes the leader of an epoch that this voter's own proposals have overtaken. Over slow links the tie-break alone is
   * no reason to supersede it again.
   */
  onOvertakenLeader(leader: NodeId, quorum: Quorum): void {
    if (this.#peerMonitor.extraRoundTripMs(quorum) > 0) this.#overtakenLeader = leader;
  }

  /** Whether this node was the last leader noted as overtaken, with no leader known since. */
  wasOvertaken(leader: NodeId): boolean {
    return this.#overtakenLeader === leader;
  }

  /** Whether `candidate` is to lead rather than `rival`, by this voter's frozen scores. */
  isPreferred(candidate: NodeId, rival: NodeId, quorum: Quorum): boolean {
    return this.#isPreferredBy(this.#frozenScores, candidate, rival, quorum);
  }

  /** The same by the scores of the proposer that this voter has deferred to, if any. */
  isPreferredByDeferredProposer(candidate: NodeId, rival: NodeId, quorum: Quorum): boolean {
    return this.#isPreferredBy(
      this.#deferredScores ?? this.#frozenScores,
      candidate,
      rival,
      quorum,
    );
  }

  /** Whether this voter's total score is above that of `peer`, without the tie-break. */
  outscores(peer: NodeId, quorum: Quorum): boolean {
    return this.#frozenScores.hasHigherTotal(this.#me, peer, quorum.all);
  }

  /** Whether any voter's total score is above the leader's; the tie-break alone is no reason to change the leader. */
  isOutscored(leader: NodeId | undefined, quorum: Quorum): boolean {
    const { scores } = this.#peerMonitor;
    const highestRanked = scores.highestRanked(quorum.all);
    if (leader === undefined || highestRanked === undefined) return true;
    return scores.hasHigherTotal(highestRanked, leader, quorum.all);
  }

  /**
   * Over slow links few scores are known in the first election after startup, and each voter knows different ones: by
   * these, voters would defer to each other in a cycle. The order of ids decides there until a leader has been known.
   */
  #isPreferredBy(scores: Scores, candidate: NodeId, rival: NodeId, quorum: Quorum): boolean {
    if (!this.#hasKnownLeader && this.#peerMonitor.extraRoundTripMs(quorum) > 0)
      return candidate < rival;
    return scores.ranksAbove(candidate, rival, quorum.all);
  }
}

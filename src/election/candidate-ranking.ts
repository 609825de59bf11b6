import type { NodeId } from '../common/ids.js';
import type { ScoreReport } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { Scores } from './scores.js';
import type { PeerMonitor } from './peer-monitor.js';
import type { VoteSettings } from './vote-settings.js';

/** How one voter judges proposals: by scores frozen at each epoch's start, with the deferrals of the present round. */
export class CandidateRanking {
  readonly #me: NodeId;
  readonly #settings: VoteSettings;
  readonly #peerMonitor: PeerMonitor;
  #frozenScores: Scores;
  #deferrals = new Set<NodeId>();
  #deferredTo: NodeId | undefined;
  /** The scores that came with the proposal deferred to. */
  #deferredScores: Scores | undefined;
  /** Whether this process has followed somebody or led. */
  #hasKnownLeader = false;
  /** Who told us that it had won an epoch below ours, over slow links. */
  #overtakenLeader: NodeId | undefined;

  constructor(me: NodeId, settings: VoteSettings, links: PeerMonitor) {
    this.#me = me;
    this.#settings = settings;
    this.#peerMonitor = links;
    this.#frozenScores = links.scores.freeze();
  }

  /** Whom this voter has deferred to in the present round. */
  get deferredTo(): NodeId | undefined {
    return this.#deferredTo;
  }

  /** Who has deferred to this voter in the present round, itself included. */
  get deferrals(): ReadonlySet<NodeId> {
    return this.#deferrals;
  }

  /** Begins an epoch: later pings and merges do not change how its proposals are judged. */
  freezeScores(): void {
    this.#frozenScores = this.#peerMonitor.scores.freeze();
  }

  reports(): ScoreReport[] {
    return this.#frozenScores.reports();
  }

  clearDeferrals(): void {
    this.#deferredTo = undefined;
    this.#deferredScores = undefined;
    this.#deferrals = new Set();
  }

  /** Begins a round in which this voter proposes itself. */
  propose(): void {
    this.#deferrals = new Set([this.#me]);
  }

  addDeferral(from: NodeId): void {
    this.#deferrals.add(from);
  }

  deferTo(proposer: NodeId, reports: readonly ScoreReport[]): void {
    const scores = new Scores(this.#me, this.#settings.halfLifeSeconds);
    scores.merge(reports);
    this.#deferredTo = proposer;
    this.#deferredScores = scores;
  }

  onLeaderKnown(): void {
    this.#hasKnownLeader = true;
    this.#overtakenLeader = undefined;
  }

  /** Somebody leads an epoch that our own proposals have passed: by the tie-break alone it is not to be outbid again. */
  onOvertakenLeader(leader: NodeId, quorum: Quorum): void {
    if (this.#peerMonitor.extraRoundTripMs(quorum) > 0) this.#overtakenLeader = leader;
  }

  wasOvertaken(leader: NodeId): boolean {
    return this.#overtakenLeader === leader;
  }

  /** Whether one is to lead rather than the other, by this voter's frozen scores. */
  isPreferred(one: NodeId, other: NodeId, quorum: Quorum): boolean {
    return this.#isPreferredBy(this.#frozenScores, one, other, quorum);
  }

  /** The same by the scores of the one that this voter has deferred to, if any. */
  isPreferredByDeferred(one: NodeId, other: NodeId, quorum: Quorum): boolean {
    return this.#isPreferredBy(this.#deferredScores ?? this.#frozenScores, one, other, quorum);
  }

  /** Whether this voter's total is above the other's, leaving the tie-break aside. */
  outscores(peer: NodeId, quorum: Quorum): boolean {
    return this.#frozenScores.hasHigherTotal(this.#me, peer, quorum.all);
  }

  /** Whether somebody's total is above the leader's; the tie-break alone is no reason to change a leader. */
  isOutscored(leader: NodeId | undefined, quorum: Quorum): boolean {
    const { scores } = this.#peerMonitor;
    const top = scores.highestRanked(quorum.all);
    if (leader === undefined || top === undefined) return true;
    return scores.hasHigherTotal(top, leader, quorum.all);
  }

  /**
   * Over slow links few scores are known in the first election after a start, and each voter knows others: by these they
   * would defer to each other in a ring. Until a leader has been known the place among the voters decides there.
   */
  #isPreferredBy(scores: Scores, one: NodeId, other: NodeId, quorum: Quorum): boolean {
    if (!this.#hasKnownLeader && this.#peerMonitor.extraRoundTripMs(quorum) > 0) return one < other;
    return scores.ranksAbove(one, other, quorum.all);
  }
}

import { later, type Moment, type NodeId } from '../common/ids.js';
import type { Quorum } from '../common/quorum.js';
import type { VoterLinks } from './voter-links.js';
import type { VoteSettings } from './vote-settings.js';

/** Long enough for a proposal to reach the next in turn, on ordinary links. */
const TURN_MS = 100;

/** When a voter that knows no leader proposes itself: after a start it listens first, or waits its turn. */
export class ProposalTiming {
  readonly #me: NodeId;
  readonly #settings: VoteSettings;
  readonly #links: VoterLinks;
  /** Newly booted or repaired, we first listen whether somebody leads: our Propose would only disturb. */
  #listenUntil: Moment;
  /** Since when a majority follows nobody. */
  #leaderlessAt: Moment | undefined;
  /** Since when a majority is in reach over slow links; nothing on ordinary ones. */
  #reachedAt: Moment | undefined;

  constructor(me: NodeId, settings: VoteSettings, links: VoterLinks, now: Moment) {
    this.#me = me;
    this.#settings = settings;
    this.#links = links;
    this.#listenUntil = now;
  }

  /** Listens from now on, for two renewals and a ping. */
  listen(now: Moment): void {
    this.#listenUntil = later(now, this.#settings.renewMs * 2 + this.#settings.pingMs);
  }

  isListening(now: Moment, quorum: Quorum): boolean {
    return now < later(this.#listenUntil, this.#links.slowMs(quorum));
  }

  /** `formerLeader` is whom this voter granted the lead last. */
  isTimeToPropose(now: Moment, quorum: Quorum, formerLeader: string): boolean {
    if (this.#isOurTurn(now, quorum, formerLeader)) return true;
    return !this.isListening(now, quorum) && !this.#isTurnOfOthers(now, quorum);
  }

  /**
   * When all have restarted together nobody knows the others' scores yet, and proposals at one moment would be deferred to
   * in a ring: each waits its turn by its place among the voters, so that the first is deferred to by all.
   */
  #isOurTurn(now: Moment, quorum: Quorum, formerLeader: string): boolean {
    if (!this.#links.isLeaderless(quorum)) {
      this.#leaderlessAt = undefined;
      return false;
    }
    this.#leaderlessAt ??= now;
    // Whoever led before goes first: it alone need not wait for its own lease before it orders.
    const turn = formerLeader === this.#me ? 0 : 1 + quorum.all.indexOf(this.#me);
    return now >= later(this.#leaderlessAt, turn * this.#turnMs(quorum));
  }

  /**
   * Over slow links proposals made at one moment cross, and are deferred to in a ring where the others' scores are not
   * known yet: from when a majority is in reach each waits its turn by its place among the voters.
   */
  #isTurnOfOthers(now: Moment, quorum: Quorum): boolean {
    if (this.#links.slowMs(quorum) === 0 || !this.#links.reachesMajority(quorum)) {
      this.#reachedAt = undefined;
      return false;
    }
    this.#reachedAt ??= now;
    const place = quorum.all.indexOf(this.#me);
    return now < later(this.#reachedAt, place * this.#turnMs(quorum));
  }

  #turnMs(quorum: Quorum): number {
    return TURN_MS + this.#links.slowMs(quorum);
  }
}

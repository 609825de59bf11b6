import { later, type Moment, type NodeId } from '../common/ids.js';
import type { Quorum } from '../common/quorum.js';
import type { PeerMonitor } from './peer-monitor.js';
import type { VoteSettings } from './vote-settings.js';

/** Long enough for a proposal to reach the next in turn, on ordinary links. */
const STAGGER_MS = 100;

/** When a voter that knows no leader proposes itself: after a start it listens first, or waits its turn. */
export class ProposalTiming {
  readonly #me: NodeId;
  readonly #settings: VoteSettings;
  readonly #peerMonitor: PeerMonitor;
  /** Newly booted or repaired, we first listen whether somebody leads: our Propose would only disturb. */
  #startupDelayEnd: Moment;
  /** Since when a majority follows nobody. */
  #leaderlessSince: Moment | undefined;
  /** Since when a majority is in reach over slow links; nothing on ordinary ones. */
  #majorityReachedAt: Moment | undefined;

  constructor(me: NodeId, settings: VoteSettings, links: PeerMonitor, now: Moment) {
    this.#me = me;
    this.#settings = settings;
    this.#peerMonitor = links;
    this.#startupDelayEnd = now;
  }

  /** Listens from now on, for two renewals and a ping. */
  beginStartupDelay(now: Moment): void {
    this.#startupDelayEnd = later(now, this.#settings.renewMs * 2 + this.#settings.pingMs);
  }

  isInStartupDelay(now: Moment, quorum: Quorum): boolean {
    return now < later(this.#startupDelayEnd, this.#peerMonitor.extraRoundTripMs(quorum));
  }

  /** `formerLeader` is whom this voter granted the lead last. */
  isTimeToPropose(now: Moment, quorum: Quorum, formerLeader: string): boolean {
    if (this.#isStaggerElapsed(now, quorum, formerLeader)) return true;
    return !this.isInStartupDelay(now, quorum) && !this.#isStaggeredBehindOthers(now, quorum);
  }

  /**
   * When all have restarted together nobody knows the others' scores yet, and proposals at one moment would be deferred to
   * in a ring: each waits its turn by its place among the voters, so that the first is deferred to by all.
   */
  #isStaggerElapsed(now: Moment, quorum: Quorum, formerLeader: string): boolean {
    if (!this.#peerMonitor.isMajorityLeaderless(quorum)) {
      this.#leaderlessSince = undefined;
      return false;
    }
    this.#leaderlessSince ??= now;
    // Whoever led before goes first: it alone need not wait for its own lease before it orders.
    const steps = formerLeader === this.#me ? 0 : 1 + quorum.all.indexOf(this.#me);
    return now >= later(this.#leaderlessSince, steps * this.#staggerMs(quorum));
  }

  /**
   * Over slow links proposals made at one moment cross, and are deferred to in a ring where the others' scores are not
   * known yet: from when a majority is in reach each waits its turn by its place among the voters.
   */
  #isStaggeredBehindOthers(now: Moment, quorum: Quorum): boolean {
    if (
      this.#peerMonitor.extraRoundTripMs(quorum) === 0 ||
      !this.#peerMonitor.reachesMajority(quorum)
    ) {
      this.#majorityReachedAt = undefined;
      return false;
    }
    this.#majorityReachedAt ??= now;
    const seat = quorum.all.indexOf(this.#me);
    return now < later(this.#majorityReachedAt, seat * this.#staggerMs(quorum));
  }

  #staggerMs(quorum: Quorum): number {
    return STAGGER_MS + this.#peerMonitor.extraRoundTripMs(quorum);
  }
}

import { later, type Moment, type NodeId } from '../common/ids.js';
import type { Quorum } from '../common/quorum.js';
import type { PeerMonitor } from './peer-monitor.js';
import type { VoteSettings } from './vote-settings.js';

/** Long enough on ordinary links for a proposal to reach the voter whose turn is next. */
const STAGGER_STEP_MS = 100;

/** When a voter that knows no leader proposes itself: after a startup delay, or after a delay staggered by position. */
export class ProposalTiming {
  readonly #me: NodeId;
  readonly #settings: VoteSettings;
  readonly #peerMonitor: PeerMonitor;
  /** A started or repaired voter first listens for a leader until then: its proposal would only disturb one. */
  #startupDelayEnd: Moment;
  /** Since when a majority has known no leader. */
  #leaderlessSince: Moment | undefined;
  /** Since when a majority has been reachable over slow links; undefined over ordinary ones. */
  #majorityReachedAt: Moment | undefined;

  constructor(me: NodeId, settings: VoteSettings, peerMonitor: PeerMonitor, now: Moment) {
    this.#me = me;
    this.#settings = settings;
    this.#peerMonitor = peerMonitor;
    this.#startupDelayEnd = now;
  }

  /** Starts the startup delay: two renewal intervals and a ping interval. */
  beginStartupDelay(now: Moment): void {
    this.#startupDelayEnd = later(now, this.#settings.renewMs * 2 + this.#settings.pingMs);
  }

  /** Whether this voter still listens for a leader; slow links prolong the delay. */
  isInStartupDelay(now: Moment, quorum: Quorum): boolean {
    return now < later(this.#startupDelayEnd, this.#peerMonitor.extraRoundTripMs(quorum));
  }

  /** Whether this voter should propose itself; `formerLeader` is the leader that it granted an epoch to last. */
  isTimeToPropose(now: Moment, quorum: Quorum, formerLeader: string): boolean {
    if (this.#isLeaderlessStaggerElapsed(now, quorum, formerLeader)) return true;
    return !this.isInStartupDelay(now, quorum) && !this.#isSlowLinkStaggerPending(now, quorum);
  }

  /**
   * When all voters restart together, none knows the others' scores yet, and voters that propose at the same time would
   * defer to each other in a cycle. Each waits by its position among the voters, so that all defer to the first.
   */
  #isLeaderlessStaggerElapsed(now: Moment, quorum: Quorum, formerLeader: string): boolean {
    if (!this.#peerMonitor.isMajorityLeaderless(quorum)) {
      this.#leaderlessSince = undefined;
      return false;
    }
    this.#leaderlessSince ??= now;
    // The former leader goes first: it alone need not wait for its own lease before it sends orders.
    const staggerSteps = formerLeader === this.#me ? 0 : 1 + quorum.all.indexOf(this.#me);
    return now >= later(this.#leaderlessSince, staggerSteps * this.#staggerStepMs(quorum));
  }

  /**
   * Over slow links proposals made at the same time cross, and voters that do not know the others' scores yet defer to
   * each other in a cycle. From when a majority is reachable, each waits by its position among the voters.
   */
  #isSlowLinkStaggerPending(now: Moment, quorum: Quorum): boolean {
    if (
      this.#peerMonitor.extraRoundTripMs(quorum) === 0 ||
      !this.#peerMonitor.reachesMajority(quorum)
    ) {
      this.#majorityReachedAt = undefined;
      return false;
    }
    this.#majorityReachedAt ??= now;
    const position = quorum.all.indexOf(this.#me);
    return now < later(this.#majorityReachedAt, position * this.#staggerStepMs(quorum));
  }

  #staggerStepMs(quorum: Quorum): number {
    return STAGGER_STEP_MS + this.#peerMonitor.extraRoundTripMs(quorum);
  }
}

import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { RoundTrips } from './round-trips.js';
import { Scores } from './scores.js';
import type { SyncedOutbox } from './synced-outbox.js';
import type { VoteSettings } from './vote-settings.js';

type PingMessage = Extract<Message, { kind: 'ping' }>;
type PongMessage = Extract<Message, { kind: 'pong' }>;

/** State of the link to a peer that has been pinged. */
interface PeerState {
  lastHeardAt: Moment;
  lastScoredAt: Moment;
}

/** The timeouts of the settings, and those of other modules, allow for round trips of up to this time. */
const MAX_ORDINARY_ROUND_TRIP_MS = 100;
/** `RoundTrips` gives the shortest round trip; single messages take up to about twice as long on links with jitter. */
const JITTER_FACTOR = 2;

/** Pings the other voters to find which are alive, how reliable each link is, and how long its round trip takes. */
export class PeerMonitor {
  readonly #me: NodeId;
  readonly #settings: VoteSettings;
  readonly #outbox: SyncedOutbox;
  readonly #scores: Scores;
  readonly #roundTrips = new RoundTrips();
  readonly #peers = new Map<NodeId, PeerState>();
  #lastPingAt: Moment;
  /** When the last ping that each voter returned was sent. */
  readonly #returnedPingSentAt = new Map<NodeId, Moment>();
  /** Voters whose last ping said that they know no leader. */
  readonly #leaderlessPeers = new Set<NodeId>();

  constructor(me: NodeId, settings: VoteSettings, outbox: SyncedOutbox, now: Moment) {
    this.#me = me;
    this.#settings = settings;
    this.#outbox = outbox;
    this.#scores = new Scores(me, settings.halfLifeSeconds);
    this.#lastPingAt = moment(now - settings.pingMs);
  }

  /** The connection scores that this voter knows. */
  get scores(): Scores {
    return this.#scores;
  }

  /** Pings every other voter if that is due, and records those that have not answered within the timeout as dead. */
  tick(now: Moment, quorum: Quorum, leader: NodeId | undefined): void {
    if (now < later(this.#lastPingAt, this.#settings.pingMs)) return;
    this.#lastPingAt = now;
    for (const peer of quorum.all) if (peer !== this.#me) this.#ping(now, peer, leader ?? '');
  }

  #ping(now: Moment, peer: NodeId, leader: string): void {
    const state = this.#peers.get(peer) ?? { lastHeardAt: now, lastScoredAt: now };
    this.#peers.set(peer, state);
    if (now - state.lastHeardAt >= this.#settings.peerTimeoutMs) {
      this.#scores.recordDead(peer, (now - state.lastScoredAt) / 1000);
      state.lastScoredAt = now;
    }
    const reports = this.#scores.reports();
    // Pings carry no epoch, so they need not wait for the disk.
    this.#outbox.sendImmediately(peer, { kind: 'ping', nonce: now, epoch: 0, reports, leader });
  }

  /** Merges the scores of a ping and answers it. */
  onPing(from: NodeId, message: PingMessage): void {
    this.#scores.merge(message.reports);
    if (message.leader === '') this.#leaderlessPeers.add(from);
    else this.#leaderlessPeers.delete(from);
    const reports = this.#scores.reports();
    const { nonce } = message;
    this.#outbox.sendImmediately(from, { kind: 'pong', nonce, epoch: 0, reports, standing: '' });
  }

  /** Merges the scores of a returned ping, and measures the link by it. */
  onPong(now: Moment, from: NodeId, message: PongMessage): void {
    this.#scores.merge(message.reports);
    const sentAt = message.nonce;
    const state = this.#peers.get(from);
    // The nonce is the time at which the ping was sent: a pong delayed by the peer timeout or more proves no contact.
    if (!state || now - sentAt >= this.#settings.peerTimeoutMs) return;
    state.lastHeardAt = now;
    // A pong to a previous incarnation of this process may carry a time that is still ahead on the current clock.
    if (sentAt <= now) {
      this.#returnedPingSentAt.set(from, moment(sentAt));
      this.#roundTrips.add(from, now - sentAt);
    }
    this.#scores.recordAlive(from, (now - state.lastScoredAt) / 1000);
    state.lastScoredAt = now;
  }

  /** When a voter last returned a ping, or was first pinged if it never has; undefined if it was never pinged. */
  lastHeardAt(peer: NodeId): Moment | undefined {
    return this.#peers.get(peer)?.lastHeardAt;
  }

  /** Number of voters that returned a ping sent within the peer timeout, including this node if it votes. */
  countReachableVoters(now: Moment, quorum: Quorum): number {
    let count = 0;
    for (const voter of quorum.all) {
      const sentAt = voter === this.#me ? now : this.#returnedPingSentAt.get(voter);
      if (sentAt !== undefined && now - sentAt < this.#settings.peerTimeoutMs) count += 1;
    }
    return count;
  }

  /**
   * The latest time at which this node had two-way contact with a majority of the voters: each of them has returned a
   * ping sent at that time or later. Undefined if there was none since the process started.
   */
  lastMajorityContactAt(now: Moment, quorum: Quorum): Moment | undefined {
    const reached = new Set<NodeId>([this.#me]);
    if (quorum.isMajority(reached)) return now;
    for (const [voter, sentAt] of [...this.#returnedPingSentAt].sort(byNewest)) {
      reached.add(voter);
      if (quorum.isMajority(reached)) return sentAt;
    }
    return undefined;
  }

  /** Whether a majority of the voters is alive, by this node's own pings. */
  reachesMajority(quorum: Quorum): boolean {
    return quorum.isMajority(new Set(quorum.all.filter(this.#scores.isAlive, this.#scores)));
  }

  /** Whether a majority knows no leader. Then none exists: after all voters restart there is none to listen for. */
  isMajorityLeaderless(quorum: Quorum): boolean {
    if (this.#leaderlessPeers.size === 0) return false;
    return quorum.isMajority(new Set([this.#me, ...this.#leaderlessPeers]));
  }

  /** The additional time that an exchange with a peer takes over a slow link, in milliseconds; 0 if it is not known. */
  extraRoundTripMsOf(peer: NodeId): number {
    return (
      JITTER_FACTOR *
      Math.max(0, (this.#roundTrips.shortestMs(peer) ?? 0) - MAX_ORDINARY_ROUND_TRIP_MS)
    );
  }

  /** The time that an exchange with a majority may take beyond what the settings allow for, in milliseconds. */
  extraRoundTripMs(quorum: Quorum): number {
    const isAlive = (peer: NodeId) => this.#scores.isAlive(peer);
    const roundTripMs = this.#roundTrips.majorityMs(this.#me, quorum, isAlive);
    return JITTER_FACTOR * Math.max(0, roundTripMs - MAX_ORDINARY_ROUND_TRIP_MS);
  }
}

function byNewest(a: readonly [NodeId, Moment], b: readonly [NodeId, Moment]): number {
  return b[1] - a[1];
}

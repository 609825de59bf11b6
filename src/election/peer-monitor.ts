import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Quorum } from '../common/quorum.js';
import { RoundTrips } from './round-trips.js';
import { Scores } from './scores.js';
import type { SyncedOutbox } from './synced-outbox.js';
import type { VoteSettings } from './vote-settings.js';

type PingMessage = Extract<Message, { kind: 'ping' }>;
type PongMessage = Extract<Message, { kind: 'pong' }>;

/** What is known of the link to one peer that has been pinged. */
interface PeerState {
  lastHeardAt: Moment;
  scoredAt: Moment;
}

/** The spans of the settings, and those of other parts, allow for links whose round trip takes no longer. */
const USUAL_ROUND_TRIP_MS = 100;
/** The shortest round trip is measured; single messages take up to about twice as long on links that vary. */
const VARIATION_FACTOR = 2;

/** Pings to the other voters, and what they show: who is alive, how good each link is, and how long it takes. */
export class PeerMonitor {
  readonly #me: NodeId;
  readonly #settings: VoteSettings;
  readonly #outbox: SyncedOutbox;
  readonly #scores: Scores;
  readonly #roundTrips = new RoundTrips();
  readonly #peers = new Map<NodeId, PeerState>();
  #lastPingAt: Moment;
  /** When we sent the newest of our pings that each voter returned. */
  readonly #returnedPingSentAt = new Map<NodeId, Moment>();
  /** Voters whose last ping said that they follow nobody. */
  readonly #leaderlessPeers = new Set<NodeId>();

  constructor(me: NodeId, settings: VoteSettings, outbox: SyncedOutbox, now: Moment) {
    this.#me = me;
    this.#settings = settings;
    this.#outbox = outbox;
    this.#scores = new Scores(me, settings.halfLifeSeconds);
    this.#lastPingAt = moment(now - settings.pingMs);
  }

  get scores(): Scores {
    return this.#scores;
  }

  /** Pings every other voter where that is due, and notes who has not answered for too long. */
  tick(now: Moment, quorum: Quorum, leader: NodeId | undefined): void {
    if (now < later(this.#lastPingAt, this.#settings.pingMs)) return;
    this.#lastPingAt = now;
    for (const peer of quorum.all) if (peer !== this.#me) this.#ping(now, peer, leader ?? '');
  }

  #ping(now: Moment, peer: NodeId, leader: string): void {
    const state = this.#peers.get(peer) ?? { lastHeardAt: now, scoredAt: now };
    this.#peers.set(peer, state);
    if (now - state.lastHeardAt >= this.#settings.peerTimeoutMs) {
      this.#scores.recordDead(peer, (now - state.scoredAt) / 1000);
      state.scoredAt = now;
    }
    const reports = this.#scores.reports();
    // Pings carry no epoch, so they need not wait for the disk.
    this.#outbox.sendImmediately(peer, { kind: 'ping', nonce: now, epoch: 0, reports, leader });
  }

  onPing(from: NodeId, message: PingMessage): void {
    this.#scores.merge(message.reports);
    if (message.leader === '') this.#leaderlessPeers.add(from);
    else this.#leaderlessPeers.delete(from);
    const reports = this.#scores.reports();
    const { nonce } = message;
    this.#outbox.sendImmediately(from, { kind: 'pong', nonce, epoch: 0, reports, standing: '' });
  }

  onPong(now: Moment, from: NodeId, message: PongMessage): void {
    this.#scores.merge(message.reports);
    const sentAt = message.nonce;
    const state = this.#peers.get(from);
    // The nonce is our own moment of sending: a pong held up for longer than a link counts as dead proves nothing.
    if (!state || now - sentAt >= this.#settings.peerTimeoutMs) return;
    state.lastHeardAt = now;
    // One that came back to a former incarnation of ours names a moment that we have not had yet.
    if (sentAt <= now) {
      this.#returnedPingSentAt.set(from, moment(sentAt));
      this.#roundTrips.add(from, now - sentAt);
    }
    this.#scores.recordAlive(from, (now - state.scoredAt) / 1000);
    state.scoredAt = now;
  }

  /** When a voter last returned a ping; nothing for one never pinged. */
  lastHeardAt(peer: NodeId): Moment | undefined {
    return this.#peers.get(peer)?.lastHeardAt;
  }

  /** Voters that have lately returned a ping, this node included if it votes. */
  reachableVoters(now: Moment, quorum: Quorum): number {
    let count = 0;
    for (const voter of quorum.all) {
      const at = voter === this.#me ? now : this.#returnedPingSentAt.get(voter);
      if (at !== undefined && now - at < this.#settings.peerTimeoutMs) count += 1;
    }
    return count;
  }

  /**
   * The newest moment at which a majority of the voters was in contact both ways: each of it has returned a ping that we
   * sent no earlier. Nothing if there was none since the process began.
   */
  majorityContact(now: Moment, quorum: Quorum): Moment | undefined {
    const majority = new Set<NodeId>([this.#me]);
    if (quorum.isMajority(majority)) return now;
    for (const [voter, at] of [...this.#returnedPingSentAt].sort(byNewest)) {
      majority.add(voter);
      if (quorum.isMajority(majority)) return at;
    }
    return undefined;
  }

  /** Whether a majority of the voters is alive, by our own pings. */
  reachesMajority(quorum: Quorum): boolean {
    return quorum.isMajority(new Set(quorum.all.filter(this.#scores.isAlive, this.#scores)));
  }

  /** A majority that follows nobody shows that nobody leads: after all have restarted there is nothing to listen for. */
  isMajorityLeaderless(quorum: Quorum): boolean {
    if (this.#leaderlessPeers.size === 0) return false;
    return quorum.isMajority(new Set([this.#me, ...this.#leaderlessPeers]));
  }

  /** By how much longer than on an ordinary link one exchange with a peer takes, in milliseconds; 0 where it is not known. */
  extraRoundTripMsOf(peer: NodeId): number {
    return (
      VARIATION_FACTOR * Math.max(0, (this.#roundTrips.shortestMs(peer) ?? 0) - USUAL_ROUND_TRIP_MS)
    );
  }

  /** By how much longer an exchange with a majority may take than the settings allow for, in milliseconds. */
  extraRoundTripMs(quorum: Quorum): number {
    const isAlive = (peer: NodeId) => this.#scores.isAlive(peer);
    const millis = this.#roundTrips.majorityMs(this.#me, quorum, isAlive);
    return VARIATION_FACTOR * Math.max(0, millis - USUAL_ROUND_TRIP_MS);
  }
}

function byNewest(a: readonly [NodeId, Moment], b: readonly [NodeId, Moment]): number {
  return b[1] - a[1];
}

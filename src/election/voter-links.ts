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
interface PeerLink {
  heard: Moment;
  scored: Moment;
}

/** The spans of the settings, and those of other parts, allow for links whose round trip takes no longer. */
const ORDINARY_ROUND_TRIP_MS = 100;
/** The shortest round trip is measured; single messages take up to about twice as long on links that vary. */
const VARIATION = 2;

/** Pings to the other voters, and what they show: who is alive, how good each link is, and how long it takes. */
export class VoterLinks {
  readonly #me: NodeId;
  readonly #settings: VoteSettings;
  readonly #outbox: SyncedOutbox;
  readonly #scores: Scores;
  readonly #roundTrips = new RoundTrips();
  readonly #pinged = new Map<NodeId, PeerLink>();
  #pingedAt: Moment;
  /** When we sent the newest of our pings that each voter returned. */
  readonly #provenAt = new Map<NodeId, Moment>();
  /** Voters whose last ping said that they follow nobody. */
  readonly #leaderless = new Set<NodeId>();

  constructor(me: NodeId, settings: VoteSettings, outbox: SyncedOutbox, now: Moment) {
    this.#me = me;
    this.#settings = settings;
    this.#outbox = outbox;
    this.#scores = new Scores(me, settings.halfLifeSeconds);
    this.#pingedAt = moment(now - settings.pingMs);
  }

  get scores(): Scores {
    return this.#scores;
  }

  /** Pings every other voter where that is due, and notes who has not answered for too long. */
  tick(now: Moment, quorum: Quorum, leader: NodeId | undefined): void {
    if (now < later(this.#pingedAt, this.#settings.pingMs)) return;
    this.#pingedAt = now;
    for (const peer of quorum.all) if (peer !== this.#me) this.#ping(now, peer, leader ?? '');
  }

  #ping(now: Moment, peer: NodeId, leader: string): void {
    const link = this.#pinged.get(peer) ?? { heard: now, scored: now };
    this.#pinged.set(peer, link);
    if (now - link.heard >= this.#settings.deadMs) {
      this.#scores.reportDead(peer, (now - link.scored) / 1000);
      link.scored = now;
    }
    const reports = this.#scores.reports();
    // Pings carry no epoch, so they need not wait for the disk.
    this.#outbox.sendUnsynced(peer, { kind: 'ping', nonce: now, epoch: 0, reports, leader });
  }

  receivePing(from: NodeId, message: PingMessage): void {
    this.#scores.merge(message.reports);
    if (message.leader === '') this.#leaderless.add(from);
    else this.#leaderless.delete(from);
    const reports = this.#scores.reports();
    const { nonce } = message;
    this.#outbox.sendUnsynced(from, { kind: 'pong', nonce, epoch: 0, reports, standing: '' });
  }

  receivePong(now: Moment, from: NodeId, message: PongMessage): void {
    this.#scores.merge(message.reports);
    const sent = message.nonce;
    const link = this.#pinged.get(from);
    // The nonce is our own moment of sending: a pong held up for longer than a link counts as dead proves nothing.
    if (!link || now - sent >= this.#settings.deadMs) return;
    link.heard = now;
    // One that came back to a former incarnation of ours names a moment that we have not had yet.
    if (sent <= now) {
      this.#provenAt.set(from, moment(sent));
      this.#roundTrips.add(from, now - sent);
    }
    this.#scores.reportLive(from, (now - link.scored) / 1000);
    link.scored = now;
  }

  /** When a voter last returned a ping; nothing for one never pinged. */
  heardAt(peer: NodeId): Moment | undefined {
    return this.#pinged.get(peer)?.heard;
  }

  /** Voters that have lately returned a ping, this node included if it votes. */
  reachableVoters(now: Moment, quorum: Quorum): number {
    let count = 0;
    for (const voter of quorum.all) {
      const at = voter === this.#me ? now : this.#provenAt.get(voter);
      if (at !== undefined && now - at < this.#settings.deadMs) count += 1;
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
    for (const [voter, at] of [...this.#provenAt].sort(byNewest)) {
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
  isLeaderless(quorum: Quorum): boolean {
    if (this.#leaderless.size === 0) return false;
    return quorum.isMajority(new Set([this.#me, ...this.#leaderless]));
  }

  /** By how much longer than on an ordinary link one exchange with a peer takes, in milliseconds; 0 where it is not known. */
  slowMsOf(peer: NodeId): number {
    return VARIATION * Math.max(0, (this.#roundTrips.of(peer) ?? 0) - ORDINARY_ROUND_TRIP_MS);
  }

  /** By how much longer an exchange with a majority may take than the settings allow for, in milliseconds. */
  slowMs(quorum: Quorum): number {
    const isAlive = (peer: NodeId) => this.#scores.isAlive(peer);
    const millis = this.#roundTrips.majorityMs(this.#me, quorum, isAlive);
    return VARIATION * Math.max(0, millis - ORDINARY_ROUND_TRIP_MS);
  }
}

function byNewest(a: readonly [NodeId, Moment], b: readonly [NodeId, Moment]): number {
  return b[1] - a[1];
}

import { moment, nodeId, type Moment, type NodeId } from '../../common/ids.js';
import type { Message, ScoreReport } from '../../common/messages.js';
import { Quorum } from '../../common/quorum.js';
import { Elector } from '../elector.js';
import type { VoteRecord } from '../vote-effect.js';
import { VOTE_DEFAULTS, type VoteSettings } from '../vote-settings.js';

/** A message of the election with the id of its receiver. */
export type SentMessage = readonly [string, Message];

/** The ids of the voters. */
export const [A, B, C] = [nodeId('a'), nodeId('b'), nodeId('c')];
/** A voter set of all three. */
export const THREE_VOTERS = new Quorum([A, B, C]);

/** What differs from the first start of one of three voters. */
export interface VoterHarnessOptions {
  readonly quorum?: Quorum;
  readonly record?: VoteRecord;
  readonly settings?: VoteSettings;
}

/**
 * Runs one elector without peers: the test inspects the messages that it sends and passes in those of its peers.
 * Records are persisted immediately, unless the disk is stalled.
 */
export class VoterHarness {
  readonly elector: Elector;
  /** The records that the elector has written, oldest first. */
  readonly records: VoteRecord[] = [];
  /** Whether records stay unpersisted until `persistAll` is called. */
  isDiskStalled = false;
  #now: Moment = moment(0);
  readonly #unpersistedTokens: number[] = [];
  #reportVersion = 0;

  constructor(me: NodeId, options: VoterHarnessOptions = {}) {
    const { quorum = THREE_VOTERS, settings = VOTE_DEFAULTS, record } = options;
    this.elector = new Elector(me, quorum, settings, this.#now, record);
  }

  /** The current time. */
  get now(): Moment {
    return this.#now;
  }

  /** Sets the time, in milliseconds, without a tick. */
  setTime(millis: number): void {
    this.#now = moment(millis);
  }

  /** Sets the time, in milliseconds, ticks the elector and returns the messages that it sends. */
  tickAt(millis: number): readonly SentMessage[] {
    this.setTime(millis);
    this.elector.tick(this.#now);
    return this.drainMessages();
  }

  /** Passes a message to the elector and returns the messages that it sends. */
  receive(from: NodeId, message: Message): readonly SentMessage[] {
    this.elector.onMessage(this.#now, from, message);
    return this.drainMessages();
  }

  /** Makes `peers` return the ping sent `roundTripMs` ago, with the reports in `scores`. */
  answerPings(peers: readonly NodeId[], roundTripMs = 0, scores = fullScoreReports(peers)): void {
    const nonce = this.#now - roundTripMs;
    this.#reportVersion += 1;
    const reports = scores.map((report) => ({ ...report, version: this.#reportVersion }));
    for (const peer of peers)
      this.receive(peer, { kind: 'pong', nonce, epoch: 0, reports, standing: '' });
  }

  /** Returns the messages sent since the last call except pings and pongs; persists records unless the disk stalls. */
  drainMessages(): readonly SentMessage[] {
    const sent: SentMessage[] = [];
    for (let effects = this.elector.drain(); effects.length > 0; effects = this.elector.drain()) {
      for (const effect of effects) {
        if (effect.do === 'persistVote') {
          this.records.push(effect.record);
          this.#unpersistedTokens.push(effect.token);
        } else if (effect.message.kind !== 'ping' && effect.message.kind !== 'pong')
          sent.push([effect.to, effect.message]);
      }
      if (!this.isDiskStalled) this.persistAll();
    }
    return sent;
  }

  /** Reports all records written so far as persisted. */
  persistAll(): void {
    for (const token of this.#unpersistedTokens.splice(0)) this.elector.onPersisted(token);
  }
}

/** The report of one voter on its links to the others, all with the same score. */
export function reportOf(owner: NodeId, score = 1, alive = true): ScoreReport {
  const links = [A, B, C].filter((peer) => peer !== owner);
  return { owner, version: 1, links: links.map((peer) => ({ peer, score, alive })) };
}

/** Reports of all peers with the full score for each link. */
function fullScoreReports(peers: readonly NodeId[]): ScoreReport[] {
  return peers.map((peer) => reportOf(peer));
}

/** Kind and receiver of each message, for short assertions. */
export function kindsOf(sent: readonly SentMessage[]): readonly string[] {
  return sent.map(([to, message]) => `${message.kind} to ${to}`);
}

import { moment, nodeId, type Moment, type NodeId } from '../../common/ids.js';
import type { Message, ScoreReport } from '../../common/messages.js';
import { Quorum } from '../../common/quorum.js';
import { Elector } from '../elector.js';
import type { VoteRecord } from '../vote-effect.js';
import { VOTE_DEFAULTS, type VoteSettings } from '../vote-settings.js';

/** A message of the election and to whom it goes. */
export type Sent = readonly [string, Message];

/** The voters. */
export const [A, B, C] = [nodeId('a'), nodeId('b'), nodeId('c')];
/** All of them as one set. */
export const THREE = new Quorum([A, B, C]);

/** What is not as in a first start of three voters. */
export interface LoneVoterOptions {
  readonly quorum?: Quorum;
  readonly record?: VoteRecord;
  readonly settings?: VoteSettings;
}

/**
 * One elector whose peers are played by the test: what it sends is looked at, and what they would send is handed in. Its
 * disk keeps records at once, unless it is stalled.
 */
export class LoneVoter {
  readonly elector: Elector;
  /** The records that it wrote. */
  readonly records: VoteRecord[] = [];
  isDiskStalled = false;
  #now: Moment = moment(0);
  readonly #unsynced: number[] = [];
  #version = 0;

  constructor(me: NodeId, options: LoneVoterOptions = {}) {
    const { quorum = THREE, settings = VOTE_DEFAULTS, record } = options;
    this.elector = new Elector(me, quorum, settings, this.#now, record);
  }

  get now(): Moment {
    return this.#now;
  }

  /** Moves on to that moment, in milliseconds, without a tick. */
  moveTo(millis: number): void {
    this.#now = moment(millis);
  }

  /** What it does at that moment, in milliseconds, when its clock ticks. */
  tickAt(millis: number): readonly Sent[] {
    this.moveTo(millis);
    this.elector.tick(this.#now);
    return this.drain();
  }

  /** What it does on a message. */
  receive(from: NodeId, message: Message): readonly Sent[] {
    this.elector.onMessage(this.#now, from, message);
    return this.drain();
  }

  /** These peers return the newest ping, with the scores that they give to everybody. */
  answerPings(peers: readonly NodeId[], roundTripMs = 0, scores = everybodyFull(peers)): void {
    const nonce = this.#now - roundTripMs;
    this.#version += 1;
    const reports = scores.map((report) => ({ ...report, version: this.#version }));
    for (const peer of peers)
      this.receive(peer, { kind: 'pong', nonce, epoch: 0, reports, standing: '' });
  }

  /** What it sent since the last look, pings and their answers aside; records are kept on the way. */
  drain(): readonly Sent[] {
    const sent: Sent[] = [];
    for (let effects = this.elector.drain(); effects.length > 0; effects = this.elector.drain()) {
      for (const effect of effects) {
        if (effect.do === 'persistVote') {
          this.records.push(effect.record);
          this.#unsynced.push(effect.token);
        } else if (effect.message.kind !== 'ping' && effect.message.kind !== 'pong')
          sent.push([effect.to, effect.message]);
      }
      if (!this.isDiskStalled) this.sync();
    }
    return sent;
  }

  /** All records written so far reach the disk. */
  sync(): void {
    for (const token of this.#unsynced.splice(0)) this.elector.onPersisted(token);
  }
}

/** A report of one owner on its links to all others, each with the same score. */
export function reportOf(owner: NodeId, score = 1, alive = true): ScoreReport {
  const links = [A, B, C].filter((peer) => peer !== owner);
  return { owner, version: 1, links: links.map((peer) => ({ peer, score, alive })) };
}

/** Every peer reports a full score of every link that it has. */
function everybodyFull(peers: readonly NodeId[]): ScoreReport[] {
  return peers.map((peer) => reportOf(peer));
}

/** Kind and addressee of each message, for a short look. */
export function kindsOf(sent: readonly Sent[]): readonly string[] {
  return sent.map(([to, message]) => `${message.kind} to ${to}`);
}

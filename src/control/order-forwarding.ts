import { NoLeaderError } from '../common/errors.js';
import { later, moment, type Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { Message } from '../common/messages.js';
import { EditShapes } from './config-doc.js';
import type { ControlCounters, UnclearReason } from './control-metrics.js';
import { leaderLostAnswer, type CommandAnswer, type Origin } from './order-answers.js';

/** A moment of the leader's own clock, as it told it in an epoch. */
export interface LeaderTime {
  readonly epoch: number;
  readonly at: number;
}

export interface ForwardingHost {
  /** Whom this node follows; nothing while nobody leads. */
  leader(): string | undefined;
  /** By how much longer than on an ordinary link an exchange with that node takes, in milliseconds. */
  slowMsOf(id: string): number;
  send(to: string, message: Message): void;
  answer(origin: Origin, answer: CommandAnswer): void;
}

interface Forwarded {
  readonly origin: Origin;
  readonly to: string;
  readonly at: Moment;
  readonly editId: string;
}

type CommandMessage = Extract<Message, { kind: 'command' }>;
type CommandReply = Extract<Message, { kind: 'commandReply' }>;

const FORWARD_MS = 9000;
/** A read may be asked again at once, so it is not waited for long. */
const FORWARD_READ_MS = 1500;
/** Callers wait a second for an answer; what is older may have been sent again, and something else since. */
const MOST_AGE_MS = 1500;
/** A process that did not tick for so long stood still: what it reads next may be as old as that. */
const STANDSTILL_MS = 1000;
/** After a standstill everything that waited has been read by then. */
const BACKLOG_MS = 300;
const NO_TIME: LeaderTime = { epoch: 0, at: 0 };
const READS = new Set(['read', 'fleet', 'live']);
/** Orders that build on no version: only their age tells a late copy from a new order. */
const UNVERSIONED = new Set(['zone']);

/**
 * Commands that this node passes on to the leader, and the age of orders.
 *
 * An order that builds on no version could be carried out long after it was sent again and taken back. Its age is
 * therefore bounded, without comparing clocks: the node that takes it adds the last moment that the leader told of its own
 * clock, which is earlier than the order came; the leader refuses what may be older than a caller waits, by that clock.
 * A node that stood still itself cannot tell how old its input is, and takes no such order until it has read its backlog.
 */
export class OrderForwarding {
  readonly #host: ForwardingHost;
  readonly #counters: ControlCounters;
  readonly #forwards = new Map<number, Forwarded>();
  /** Nodes whose line closed and from which nothing came since: what is sent there now is lost. */
  readonly #closed = new Set<string>();
  #forwardId: number;
  #leaderTime = NO_TIME;
  #tickedAt: Moment;
  #backlogUntil: Moment;

  /** Ids begin at a number of this life's own, so that no answer to a former incarnation is taken for one of ours. */
  constructor(host: ForwardingHost, counters: ControlCounters, incarnation: number, now: Moment) {
    this.#host = host;
    this.#counters = counters;
    this.#forwardId = incarnation;
    this.#tickedAt = now;
    this.#backlogUntil = now;
  }

  /** The leader told its clock with a renewal of its lease. */
  noteLeaderTime(time: LeaderTime): void {
    this.#leaderTime = time;
  }

  heard(from: string): void {
    this.#closed.delete(from);
  }

  tick(now: Moment): void {
    if (now - this.#tickedAt > STANDSTILL_MS) this.#backlogUntil = later(now, BACKLOG_MS);
    this.#tickedAt = now;
    for (const [id, forwarded] of this.#forwards) {
      if (now < this.#limitOf(forwarded)) continue;
      this.#forwards.delete(id);
      this.#giveUp(forwarded, 'timeout');
    }
  }

  #limitOf(forwarded: Forwarded): Moment {
    if (forwarded.editId !== '') return later(forwarded.at, FORWARD_MS);
    // There and back, and at the leader up to two quorum reads, which take about as long each.
    return later(forwarded.at, FORWARD_READ_MS + 2 * this.#host.slowMsOf(forwarded.to));
  }

  /** Throws where an order without a version may be a late copy, as far as this node can tell. */
  checkAge(now: Moment, verb: string): void {
    if (!UNVERSIONED.has(verb)) return;
    if (now < this.#backlogUntil || now - this.#tickedAt > STANDSTILL_MS) {
      this.#counters.countRefused('too-old');
      throw new NoLeaderError(
        'this node stood still and cannot tell how old the order is; nothing was done',
      );
    }
  }

  /** Throws where a command that another node passed on may not be carried out here any more. */
  checkForwarded(now: Moment, epoch: number, message: CommandMessage): void {
    if (!UNVERSIONED.has(message.verb)) return;
    if (message.epoch !== epoch || now - message.leaderTime > MOST_AGE_MS) {
      this.#counters.countRefused('too-old');
      throw new NoLeaderError(
        'the order took too long on its way, or came for another leader; nothing was done',
      );
    }
  }

  forward(now: Moment, origin: Origin, verb: string, body: string): void {
    const leader = this.#host.leader();
    // Passed on once at most: two nodes that take each other for leader must not play ball with it.
    if (leader === undefined || origin.from !== '' || this.#closed.has(leader)) {
      if (!READS.has(verb)) this.#counters.countUnserved();
      throw new NoLeaderError('no leader is known; nothing was done');
    }
    if (!READS.has(verb)) this.#counters.countForwarded();
    this.#forwardId += 1;
    const edit = READS.has(verb) ? undefined : parseAs(EditShapes.edit, body);
    this.#forwards.set(this.#forwardId, { origin, to: leader, at: now, editId: edit?.id ?? '' });
    const { epoch, at } = this.#leaderTime;
    this.#host.send(leader, {
      kind: 'command',
      id: this.#forwardId,
      verb,
      body,
      epoch,
      leaderTime: at,
    });
  }

  answered(from: string, message: CommandReply): void {
    const forwarded = this.#forwards.get(message.id);
    if (!forwarded || forwarded.to !== from) return;
    this.#forwards.delete(message.id);
    this.#host.answer(forwarded.origin, { status: message.status, body: message.body });
  }

  /** The line to a node closed: what was passed on to it may or may not have been done. */
  gone(from: string): void {
    this.#closed.add(from);
    for (const [id, forwarded] of this.#forwards) {
      if (forwarded.to !== from) continue;
      this.#forwards.delete(id);
      this.#giveUp(forwarded, 'leader-lost');
    }
  }

  /** Nobody here can tell what became of a command that was passed on. */
  #giveUp(forwarded: Forwarded, reason: UnclearReason): void {
    if (forwarded.editId !== '') this.#counters.countUnclear(reason);
    this.#host.answer(forwarded.origin, leaderLostAnswer(forwarded.editId));
  }
}

/** The leader's clock as a message of its own told it. */
export function leaderTimeOf(message: {
  readonly epoch: number;
  readonly sentAt: number;
}): LeaderTime {
  return { epoch: message.epoch, at: moment(message.sentAt) };
}

import { NoLeaderError } from '../common/errors.js';
import { later, moment, type Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { Message } from '../common/messages.js';
import { EditShapes } from './config-shapes.js';
import type { ControlCounters, UnclearReason } from './control-metrics.js';
import { leaderLostAnswer, type CommandAnswer, type Origin } from './command-answers.js';

/** A moment of the leader's own clock, as it told it in an epoch. */
export interface LeaderClock {
  readonly epoch: number;
  readonly at: number;
}

export interface ForwardingHost {
  /** Whom this node follows; nothing while nobody leads. */
  leader(): string | undefined;
  /** By how much longer than on an ordinary link an exchange with that node takes, in milliseconds. */
  extraRoundTripMs(id: string): number;
  send(to: string, message: Message): void;
  answer(origin: Origin, answer: CommandAnswer): void;
}

interface ForwardedCommand {
  readonly origin: Origin;
  readonly to: string;
  readonly at: Moment;
  readonly editId: string;
}

type CommandMessage = Extract<Message, { kind: 'command' }>;
type CommandReply = Extract<Message, { kind: 'commandReply' }>;

const EDIT_TIMEOUT_MS = 9000;
/** A read may be asked again at once, so it is not waited for long. */
const READ_TIMEOUT_MS = 1500;
/** Callers wait a second for an answer; what is older may have been sent again, and something else since. */
const MAX_COMMAND_AGE_MS = 1500;
/** A process that did not tick for so long stood still: what it reads next may be as old as that. */
const EVENT_LOOP_STALL_MS = 1000;
/** After a standstill everything that waited has been read by then. */
const BACKLOG_DRAIN_MS = 300;
const UNKNOWN_CLOCK: LeaderClock = { epoch: 0, at: 0 };
const READ_VERBS = new Set(['read', 'fleet', 'live']);
/** Orders that build on no version: only their age tells a late copy from a new order. */
const UNVERSIONED_VERBS = new Set(['zone']);

/**
 * Commands that this node passes on to the leader, and the age of orders.
 *
 * An order that builds on no version could be carried out long after it was sent again and taken back. Its age is
 * therefore bounded, without comparing clocks: the node that takes it adds the last moment that the leader told of its own
 * clock, which is earlier than the order came; the leader refuses what may be older than a caller waits, by that clock.
 * A node that stood still itself cannot tell how old its input is, and takes no such order until it has read its backlog.
 */
export class CommandForwarding {
  readonly #host: ForwardingHost;
  readonly #counters: ControlCounters;
  readonly #forwards = new Map<number, ForwardedCommand>();
  /** Nodes whose line closed and from which nothing came since: what is sent there now is lost. */
  readonly #closed = new Set<string>();
  #forwardId: number;
  #leaderClock = UNKNOWN_CLOCK;
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
  onLeaderClock(time: LeaderClock): void {
    this.#leaderClock = time;
  }

  onHeard(from: string): void {
    this.#closed.delete(from);
  }

  tick(now: Moment): void {
    if (now - this.#tickedAt > EVENT_LOOP_STALL_MS)
      this.#backlogUntil = later(now, BACKLOG_DRAIN_MS);
    this.#tickedAt = now;
    for (const [id, forwarded] of this.#forwards) {
      if (now < this.#deadlineOf(forwarded)) continue;
      this.#forwards.delete(id);
      this.#answerUnclear(forwarded, 'timeout');
    }
  }

  #deadlineOf(forwarded: ForwardedCommand): Moment {
    if (forwarded.editId !== '') return later(forwarded.at, EDIT_TIMEOUT_MS);
    // There and back, and at the leader up to two quorum reads, which take about as long each.
    return later(forwarded.at, READ_TIMEOUT_MS + 2 * this.#host.extraRoundTripMs(forwarded.to));
  }

  /** Throws where an order without a version may be a late copy, as far as this node can tell. */
  checkAge(now: Moment, verb: string): void {
    if (!UNVERSIONED_VERBS.has(verb)) return;
    if (now < this.#backlogUntil || now - this.#tickedAt > EVENT_LOOP_STALL_MS) {
      this.#counters.countRefused('too-old');
      throw new NoLeaderError(
        'this node stood still and cannot tell how old the order is; nothing was done',
      );
    }
  }

  /** Throws where a command that another node passed on may not be carried out here any more. */
  checkForwarded(now: Moment, epoch: number, message: CommandMessage): void {
    if (!UNVERSIONED_VERBS.has(message.verb)) return;
    if (message.epoch !== epoch || now - message.leaderTime > MAX_COMMAND_AGE_MS) {
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
      if (!READ_VERBS.has(verb)) this.#counters.countUnserved();
      throw new NoLeaderError('no leader is known; nothing was done');
    }
    if (!READ_VERBS.has(verb)) this.#counters.countForwarded();
    this.#forwardId += 1;
    const edit = READ_VERBS.has(verb) ? undefined : parseAs(EditShapes.edit, body);
    this.#forwards.set(this.#forwardId, { origin, to: leader, at: now, editId: edit?.id ?? '' });
    const { epoch, at } = this.#leaderClock;
    this.#host.send(leader, {
      kind: 'command',
      id: this.#forwardId,
      verb,
      body,
      epoch,
      leaderTime: at,
    });
  }

  onReply(from: string, message: CommandReply): void {
    const forwarded = this.#forwards.get(message.id);
    if (!forwarded || forwarded.to !== from) return;
    this.#forwards.delete(message.id);
    this.#host.answer(forwarded.origin, { status: message.status, body: message.body });
  }

  /** The line to a node closed: what was passed on to it may or may not have been done. */
  onDisconnect(from: string): void {
    this.#closed.add(from);
    for (const [id, forwarded] of this.#forwards) {
      if (forwarded.to !== from) continue;
      this.#forwards.delete(id);
      this.#answerUnclear(forwarded, 'leader-lost');
    }
  }

  /** Nobody here can tell what became of a command that was passed on. */
  #answerUnclear(forwarded: ForwardedCommand, reason: UnclearReason): void {
    if (forwarded.editId !== '') this.#counters.countUnclear(reason);
    this.#host.answer(forwarded.origin, leaderLostAnswer(forwarded.editId));
  }
}

/** The leader's clock as a message of its own told it. */
export function leaderClockOf(message: {
  readonly epoch: number;
  readonly sentAt: number;
}): LeaderClock {
  return { epoch: message.epoch, at: moment(message.sentAt) };
}

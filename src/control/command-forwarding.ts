import { NoLeaderError } from '../common/errors.js';
import { later, moment, type Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { Message } from '../common/messages.js';
import { EditShapes } from './config-shapes.js';
import type { ControlCounters, UnclearReason } from './control-metrics.js';
import { leaderLostAnswer, type CommandAnswer, type Origin } from './command-answers.js';

/** A moment of the leader's own monotonic clock, taken from a message of that epoch; milliseconds. */
export interface LeaderClock {
  readonly epoch: number;
  readonly at: number;
}

/** What forwarding needs of the control node. */
export interface ForwardingHost {
  /** The leader that this node follows; `undefined` without one, or if this node itself leads. */
  leader(): string | undefined;
  /** How much longer a round trip to that node takes than one over an ordinary link, in milliseconds. */
  extraRoundTripMs(id: string): number;
  send(to: string, message: Message): void;
  answer(origin: Origin, answer: CommandAnswer): void;
}

interface ForwardedCommand {
  readonly origin: Origin;
  readonly to: string;
  readonly at: Moment;
  /** The id of the edit; empty for a read. */
  readonly editId: string;
}

type CommandMessage = Extract<Message, { kind: 'command' }>;
type CommandReply = Extract<Message, { kind: 'commandReply' }>;

/** Timeout of the reply to a forwarded edit. */
const EDIT_TIMEOUT_MS = 9000;
/** Timeout of the reply to a forwarded read; a client can retry a read at once. */
const READ_TIMEOUT_MS = 1500;
/** Clients wait one second for an answer; an older command may have been retried and its effect overridden since. */
const MAX_COMMAND_AGE_MS = 1500;
/** A longer gap between ticks means that the process was stalled: the input that it reads next may be as old as the gap. */
const EVENT_LOOP_STALL_MS = 1000;
/** Time within which the backlog of input is read after a stall. */
const BACKLOG_DRAIN_MS = 300;
const UNKNOWN_CLOCK: LeaderClock = { epoch: 0, at: 0 };
const READ_VERBS = new Set(['read', 'fleet', 'live']);
/** Commands without a base version: a late duplicate of one can be recognized only by its age. */
const UNVERSIONED_VERBS = new Set(['zone']);

/**
 * Forwards commands to the leader, and bounds the age of commands.
 *
 * A command without a base version could be executed long after it was retried and reverted. Its age is therefore bounded,
 * without comparing clocks of two nodes: the node that accepts it adds the last moment of the leader's clock that it
 * received, which is earlier than the arrival of the command; the leader rejects commands that, by that clock, may be older
 * than clients wait. A node that was stalled cannot tell how old its input is, and rejects such commands until it has read its
 * backlog.
 */
export class CommandForwarding {
  readonly #host: ForwardingHost;
  readonly #counters: ControlCounters;
  readonly #forwards = new Map<number, ForwardedCommand>();
  /** Nodes whose connection closed and from which no message arrived since: a message sent there would be lost. */
  readonly #closed = new Set<string>();
  #forwardId: number;
  #leaderClock = UNKNOWN_CLOCK;
  #lastTickAt: Moment;
  #backlogUntil: Moment;

  /** Ids begin at the incarnation's number, so that a reply to an earlier incarnation is not taken for one to this one. */
  constructor(host: ForwardingHost, counters: ControlCounters, incarnation: number, now: Moment) {
    this.#host = host;
    this.#counters = counters;
    this.#forwardId = incarnation;
    this.#lastTickAt = now;
    this.#backlogUntil = now;
  }

  /** The leader sent its clock, with the announcement that it was elected or a renewal of its lease. */
  onLeaderClock(clock: LeaderClock): void {
    this.#leaderClock = clock;
  }

  /** A message from that node arrived. */
  onHeard(from: string): void {
    this.#closed.delete(from);
  }

  /** Detects a stall of this process, and answers forwarded commands whose reply timed out. */
  tick(now: Moment): void {
    if (now - this.#lastTickAt > EVENT_LOOP_STALL_MS)
      this.#backlogUntil = later(now, BACKLOG_DRAIN_MS);
    this.#lastTickAt = now;
    for (const [id, forwarded] of this.#forwards) {
      if (now < this.#deadlineOf(forwarded)) continue;
      this.#forwards.delete(id);
      this.#answerUnclear(forwarded, 'timeout');
    }
  }

  #deadlineOf(forwarded: ForwardedCommand): Moment {
    if (forwarded.editId !== '') return later(forwarded.at, EDIT_TIMEOUT_MS);
    // A round trip, and up to two quorum reads of the leader, which take about as long each.
    return later(forwarded.at, READ_TIMEOUT_MS + 2 * this.#host.extraRoundTripMs(forwarded.to));
  }

  /** Throws a `NoLeaderError` if a command without a base version may be a late duplicate, as far as this node can tell. */
  checkAge(now: Moment, verb: string): void {
    if (!UNVERSIONED_VERBS.has(verb)) return;
    if (now < this.#backlogUntil || now - this.#lastTickAt > EVENT_LOOP_STALL_MS) {
      this.#counters.countRefused('too-old');
      throw new NoLeaderError(
        'this node stood still and cannot tell how old the order is; nothing was done',
      );
    }
  }

  /** Throws a `NoLeaderError` if a forwarded command is too old, or was forwarded to the leader of another epoch. */
  checkForwarded(now: Moment, epoch: number, message: CommandMessage): void {
    if (!UNVERSIONED_VERBS.has(message.verb)) return;
    if (message.epoch !== epoch || now - message.leaderTime > MAX_COMMAND_AGE_MS) {
      this.#counters.countRefused('too-old');
      throw new NoLeaderError(
        'the order took too long on its way, or came for another leader; nothing was done',
      );
    }
  }

  /** Forwards a command to the leader; throws a `NoLeaderError` if there is none to forward it to. */
  forward(now: Moment, origin: Origin, verb: string, body: string): void {
    const leader = this.#host.leader();
    // Forwarded at most once, since two nodes that consider each other the leader would forward it back and forth.
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

  /** The leader's reply to a forwarded command; a reply from another node is ignored. */
  onReply(from: string, message: CommandReply): void {
    const forwarded = this.#forwards.get(message.id);
    if (!forwarded || forwarded.to !== from) return;
    this.#forwards.delete(message.id);
    this.#host.answer(forwarded.origin, { status: message.status, body: message.body });
  }

  /** The connection to a node closed: commands forwarded to it may or may not have been executed. */
  onDisconnect(from: string): void {
    this.#closed.add(from);
    for (const [id, forwarded] of this.#forwards) {
      if (forwarded.to !== from) continue;
      this.#forwards.delete(id);
      this.#answerUnclear(forwarded, 'leader-lost');
    }
  }

  /** Answers that the outcome of a forwarded command is unknown to this node. */
  #answerUnclear(forwarded: ForwardedCommand, reason: UnclearReason): void {
    if (forwarded.editId !== '') this.#counters.countUnclear(reason);
    this.#host.answer(forwarded.origin, leaderLostAnswer(forwarded.editId));
  }
}

/** Reads the leader's clock from one of its messages. */
export function leaderClockOf(message: {
  readonly epoch: number;
  readonly sentAt: number;
}): LeaderClock {
  return { epoch: message.epoch, at: moment(message.sentAt) };
}

import { NoLeaderError, toHaretrackError } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Elector } from '../election/elector.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import type { ConfigDocument } from './config-document.js';
import type { ControlStatus } from './control-status.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { Leadership } from './leadership.js';
import { errorAnswer, type Origin } from './order-answers.js';
import type { OperatorOrders } from './operator-orders.js';
import type { OrderForwarding } from './order-forwarding.js';
import type { QuorumReads } from './quorum-reads.js';
import type { ReplicaRepair } from './replica-repair.js';
import type { TableManager } from './table-manager.js';
import type { Takeover } from './takeover.js';

/** Who carries out commands. */
export interface CommandParts {
  readonly elector: Elector;
  readonly leadership: Leadership;
  readonly replicaStatus: ReplicaStatus;
  readonly repair: ReplicaRepair;
  readonly voters: FollowedVoters;
  readonly takeover: Takeover;
  readonly forwarding: OrderForwarding;
  readonly orders: OperatorOrders;
  readonly reads: QuorumReads;
  readonly document: ConfigDocument;
  readonly table: TableManager;
  readonly effects: EffectQueue;
  readonly status: (now: Moment) => ControlStatus;
}

type CommandMessage = Extract<Message, { kind: 'command' }>;

/** Commands of operators, at this node's own API or passed on by another: carried out, passed on, or refused. */
export class CommandHandler {
  readonly #parts: CommandParts;

  constructor(parts: CommandParts) {
    this.#parts = parts;
  }

  /** A command that another node passed on. */
  receive(now: Moment, from: string, message: CommandMessage): void {
    const origin = { from, id: message.id };
    try {
      this.#parts.forwarding.checkForwarded(now, this.#parts.leadership.epoch, message);
      this.#carryOut(now, origin, message.verb, message.body);
    } catch (thrown) {
      this.#refuse(origin, thrown);
    }
  }

  /** A command at this node's own API. */
  take(now: Moment, id: number, verb: string, body: string): void {
    const origin = { from: '', id };
    try {
      this.#carryOut(now, origin, verb, body);
    } catch (thrown) {
      this.#refuse(origin, thrown);
    }
  }

  #carryOut(now: Moment, origin: Origin, verb: string, body: string): void {
    if (verb === 'status') this.#answer(origin, this.#parts.status(now));
    else if (verb === 'found') this.#found(now, origin);
    else this.#order(now, origin, verb, body);
  }

  /** What the leader alone can do. */
  #order(now: Moment, origin: Origin, verb: string, body: string): void {
    const { forwarding, takeover, elector, leadership } = this.#parts;
    forwarding.checkAge(now, verb);
    if (takeover.isRecovering)
      throw new NoLeaderError('the table is being recovered from the members');
    if (elector.isLeading() && leadership.isServing) this.#lead(now, origin, verb, body);
    else forwarding.forward(now, origin, verb, body);
  }

  #lead(now: Moment, origin: Origin, verb: string, body: string): void {
    const { reads, table, document, orders } = this.#parts;
    if (verb === 'read') reads.read(origin);
    else if (verb === 'live') this.#answer(origin, table.live(now, document.newest()));
    else if (verb === 'fleet') this.#answer(origin, table.fleet(now, document.newest()));
    else orders.submit(now, origin, verb, body);
  }

  /** An operator's word that nothing better is left than what this node can find. */
  #found(now: Moment, origin: Origin): void {
    const { replicaStatus, takeover, repair, voters } = this.#parts;
    if (replicaStatus.name === 'sound') {
      this.#answer(origin, { outcome: 'already', standing: 'sound' });
      return;
    }
    replicaStatus.force();
    takeover.expectLoss();
    repair.settle(now, replicaStatus.outcome(now, voters.quorum));
    this.#answer(origin, { outcome: 'forced', standing: replicaStatus.name });
  }

  #answer(origin: Origin, result: object): void {
    this.#parts.effects.answer(origin, { status: 200, body: JSON.stringify(result) });
  }

  #refuse(origin: Origin, thrown: unknown): void {
    this.#parts.effects.answer(origin, errorAnswer(toHaretrackError(thrown)));
  }
}

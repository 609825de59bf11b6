import type { Scheduler } from '../rehearsal/scheduler.js';
import type { Seeded } from '../rehearsal/seeded.js';
import { CallAttempt } from './call-attempt.js';
import { ACK_MS } from './contract-bounds.js';
import type { AttemptOutcome, Order } from './history/history.js';
import type { HistoryRecorder, OpenOrder } from './history-recorder.js';
import { decodeRead, type OperatorAnswer, type OperatorCall } from './operator-call.js';
import type { Host, SimNetwork } from './sim-network.js';
import { SimProcess } from './sim-process.js';

export interface OperatorSurroundings {
  readonly scheduler: Scheduler;
  readonly random: Seeded;
  readonly network: SimNetwork;
  readonly recorder: HistoryRecorder;
  /** The nodes that serve operators, as the lagging list has them. */
  readonly nodes: () => readonly string[];
  readonly isAnswerLost: () => boolean;
  /** Told right before each attempt of an order. */
  readonly sending: (record: OpenOrder) => void;
}

export type OrderOutcome = 'accepted' | 'refused' | 'gaveUp';
export type OrderDone = (outcome: OrderOutcome) => void;

/** The configuration's version that a read brought; 0 where there was none yet. */
export type ReadDone = (version: number) => void;

interface Calling {
  readonly call: OperatorCall;
  /** True time after which it is not sent again. */
  readonly until: number;
  last: string;
  failures: number;
}

const FIRST_PAUSE_MS = 50;
const MOST_PAUSE_MS = 1000;
/** The third other 4xx ends a call; these end it at once. */
const MOST_OTHER_FAULTS = 3;
const ENDING: ReadonlySet<number> = new Set([400, 409, 412, 413, 422]);
const UNCLEAR: ReadonlySet<number> = new Set([408, 429]);
const NOT_FOUND = 404;

/** The call that carries an order. */
export function callOf(order: Order): OperatorCall {
  switch (order.kind) {
    case 'put':
      return { method: 'PUT', base: order.base, text: order.text };
    case 'patch':
      return { method: 'PATCH', base: order.base, text: order.text };
    case 'evacuate':
      return { method: 'POST', zone: order.zone };
    case 'restore':
      return { method: 'DELETE', zone: order.zone };
  }
}

function outcomeOf(status: number): AttemptOutcome {
  if (status >= 200 && status < 300) return 'accepted';
  const isFault = status >= 400 && status < 500 && !UNCLEAR.has(status);
  return isFault ? 'refused' : 'unclear';
}

/**
 * An operator: calls any node of a lagging list, leaves one that fails or is silent for another with a
 * growing pause, and sends the same bytes again until the answer is clear. Evacuations are sent again
 * for a limited time alone. The platform adapter answers no redirects, so none are followed.
 */
export class OperatorClient implements Host {
  readonly id: string;
  readonly process: SimProcess;
  readonly isPowered = true;
  readonly isListening = false;
  readonly #around: OperatorSurroundings;
  #open = 0;

  constructor(id: string, around: OperatorSurroundings) {
    this.id = id;
    this.#around = around;
    this.process = new SimProcess(around.scheduler, around.random, 0);
    this.process.begin();
  }

  /** How many calls are under way. */
  get open(): number {
    return this.#open;
  }

  accept(): void {
    /* Nobody calls an operator. */
  }

  /** Sends a new order until it is settled. */
  order(order: Order, done: OrderDone): OpenOrder {
    const record = this.#around.recorder.open(this.id, order);
    this.again(record, done);
    return record;
  }

  /** Sends an order once more, byte for byte. */
  again(record: OpenOrder, done: OrderDone): void {
    const { order } = record;
    const isConfiguration = order.kind === 'put' || order.kind === 'patch';
    const until = isConfiguration ? Infinity : this.#around.scheduler.now + ACK_MS;
    const calling = { call: callOf(order), until, last: '', failures: 0 };
    this.#open += 1;
    this.#tryOrder(record, calling, done);
  }

  read(done: ReadDone): void {
    const call: OperatorCall = { method: 'GET' };
    this.#open += 1;
    this.#tryRead({ call, until: Infinity, last: '', failures: 0 }, done);
  }

  #tryOrder(record: OpenOrder, calling: Calling, done: OrderDone): void {
    const { scheduler } = this.#around;
    const node = this.#nextNode(calling);
    const attempt = record.begin(node, scheduler.now);
    this.#around.sending(record);
    const settle = (outcome: OrderOutcome) => this.#settle(done, outcome);
    const again = () => this.#again(calling, () => this.#tryOrder(record, calling, done));
    function ended(answer: OperatorAnswer | undefined): void {
      const outcome = answer ? outcomeOf(answer.status) : 'unclear';
      if (answer) attempt.end(scheduler.now, outcome);
      if (outcome === 'accepted') settle('accepted');
      else if (outcome === 'refused' && isEnding(calling, answer?.status ?? 0)) settle('refused');
      else if (!again()) settle('gaveUp');
    }
    function takenLate(waitedMs: number): void {
      attempt.takeLate(scheduler.now, waitedMs);
    }
    this.#call(node, calling, ended, takenLate);
  }

  #tryRead(calling: Calling, done: ReadDone): void {
    const { scheduler, recorder } = this.#around;
    const node = this.#nextNode(calling);
    const sentAt = scheduler.now;
    const operator = this.id;
    const settle = (version: number) => this.#settleRead(done, version);
    const again = () => this.#again(calling, () => this.#tryRead(calling, done));
    function ended(answer: OperatorAnswer | undefined): void {
      const read = answer && isRead(answer) ? decodeRead(answer.body) : undefined;
      if (!read) {
        again();
        return;
      }
      const { document, evacuated } = read;
      recorder.read({ operator, node, sentAt, endedAt: scheduler.now, document, evacuated });
      settle(document?.version ?? 0);
    }
    this.#call(node, calling, ended, ignore);
  }

  #call(
    node: string,
    calling: Calling,
    ended: (answer: OperatorAnswer | undefined) => void,
    takenLate: (waitedMs: number) => void,
  ): void {
    const { network, isAnswerLost } = this.#around;
    const { call } = calling;
    new CallAttempt({ network, caller: this, node, call, isAnswerLost, ended, takenLate }).send();
  }

  /** Goes on to another node after a pause; says whether it may. */
  #again(calling: Calling, next: () => void): boolean {
    const { scheduler, random } = this.#around;
    const pause = Math.min(MOST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** calling.failures);
    calling.failures += 1;
    const delay = pause * random.between(0.8, 1.2);
    if (scheduler.now + delay > calling.until) return false;
    scheduler.after(delay, next);
    return true;
  }

  #nextNode(calling: Calling): string {
    const nodes = this.#around.nodes();
    const others = nodes.filter((other) => calling.last !== other);
    const node = this.#around.random.pick(others.length > 0 ? others : nodes) ?? '';
    calling.last = node;
    return node;
  }

  #settle(done: OrderDone, outcome: OrderOutcome): void {
    this.#open -= 1;
    done(outcome);
  }

  #settleRead(done: ReadDone, version: number): void {
    this.#open -= 1;
    done(version);
  }
}

function isEnding(calling: Calling, status: number): boolean {
  return ENDING.has(status) || calling.failures + 1 >= MOST_OTHER_FAULTS;
}

function isRead(answer: OperatorAnswer): boolean {
  return answer.status === 200 || answer.status === NOT_FOUND;
}

function ignore(): void {
  /* A read changes nothing, whenever it is begun. */
}

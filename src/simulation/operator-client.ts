import type { Scheduler } from '../rehearsal/scheduler.js';
import type { SeededRandom } from '../rehearsal/seeded-random.js';
import { CallAttempt } from './call-attempt.js';
import { ACK_BOUND_MS } from './contract-bounds.js';
import type { AttemptOutcome, Order } from './history/history.js';
import type { HistoryRecorder, OpenOrder } from './history-recorder.js';
import { decodeRead, type OperatorAnswer, type OperatorCall } from './operator-call.js';
import type { Host, SimNetwork } from './sim-network.js';
import { SimProcess } from './sim-process.js';

/** What an operator is created with. */
export interface OperatorClientSettings {
  /** The run's virtual time. */
  readonly scheduler: Scheduler;
  /** The operator's own stream of random numbers. */
  readonly random: SeededRandom;
  /** The network that calls are sent over. */
  readonly network: SimNetwork;
  /** Records orders and reads. */
  readonly recorder: HistoryRecorder;
  /** The control nodes on the operators' list, which lags. */
  readonly nodes: () => readonly string[];
  /** Whether a fault drops the answer that has just arrived. */
  readonly isAnswerLost: () => boolean;
  /** Called right before each attempt of an order is sent. */
  readonly sending: (record: OpenOrder) => void;
}

/** The final outcome of an order: answered definitely, or not sent again after its deadline. */
export type OrderOutcome = 'accepted' | 'refused' | 'gaveUp';
/** Called with the outcome of an order. */
export type OrderDone = (outcome: OrderOutcome) => void;

/** Called with the version of the configuration that was read; 0 if there is none yet. */
export type ReadDone = (version: number) => void;

interface CallState {
  readonly call: OperatorCall;
  /** True time after which the call is not sent again. */
  readonly deadline: number;
  lastNode: string;
  failures: number;
}

const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1000;
/** Another 4xx status ends a call at the third attempt; earlier failures of any kind are counted. */
const MAX_CLIENT_ERRORS = 3;
/** 4xx statuses that end a call at once. */
const FINAL_STATUSES: ReadonlySet<number> = new Set([400, 409, 412, 413, 422]);
const UNCLEAR_STATUSES: ReadonlySet<number> = new Set([408, 429]);
const NOT_FOUND = 404;

/** The call that transmits an order. */
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
  const isClientError = status >= 400 && status < 500 && !UNCLEAR_STATUSES.has(status);
  return isClientError ? 'refused' : 'unclear';
}

/**
 * An operator: calls any node of a lagging list, tries another one after a failure or a timeout with a growing delay,
 * and sends the same bytes again until the answer is definite. Evacuations and restores are sent again only for a limited
 * time. The platform adapter returns no redirects, so none are followed.
 */
export class OperatorClient implements Host {
  /** The name of the operator, which is also its address. */
  readonly id: string;
  /** The process of the operator, which never ends. */
  readonly process: SimProcess;
  /** Operators never lose power. */
  readonly isPowered = true;
  /** Operators accept no connections. */
  readonly isListening = false;
  readonly #settings: OperatorClientSettings;
  #openCalls = 0;

  constructor(id: string, settings: OperatorClientSettings) {
    this.id = id;
    this.#settings = settings;
    this.process = new SimProcess(settings.scheduler, settings.random, 0);
    this.process.begin();
  }

  /** Number of calls in progress. */
  get openCalls(): number {
    return this.#openCalls;
  }

  /** Never called: operators accept no connections. */
  accept(): void {
    /* Operators accept no connections. */
  }

  /** Sends a new order until its outcome is known or its deadline has passed. */
  order(order: Order, done: OrderDone): OpenOrder {
    const record = this.#settings.recorder.openOrder(this.id, order);
    this.resend(record, done);
    return record;
  }

  /** Sends the same bytes of an earlier order again, as new attempts. */
  resend(record: OpenOrder, done: OrderDone): void {
    const { order } = record;
    const isConfiguration = order.kind === 'put' || order.kind === 'patch';
    const deadline = isConfiguration ? Infinity : this.#settings.scheduler.now + ACK_BOUND_MS;
    const state = { call: callOf(order), deadline, lastNode: '', failures: 0 };
    this.#openCalls += 1;
    this.#tryOrder(record, state, done);
  }

  /** Reads the configuration, retrying until a read is answered. */
  read(done: ReadDone): void {
    const call: OperatorCall = { method: 'GET' };
    this.#openCalls += 1;
    this.#tryRead({ call, deadline: Infinity, lastNode: '', failures: 0 }, done);
  }

  #tryOrder(record: OpenOrder, state: CallState, done: OrderDone): void {
    const { scheduler } = this.#settings;
    const node = this.#nextNode(state);
    const attempt = record.beginAttempt(node, scheduler.now);
    this.#settings.sending(record);
    const settle = (outcome: OrderOutcome) => this.#settle(done, outcome);
    const retry = () => this.#retry(state, () => this.#tryOrder(record, state, done));
    function ended(answer: OperatorAnswer | undefined): void {
      const outcome = answer ? outcomeOf(answer.status) : 'unclear';
      if (answer) attempt.end(scheduler.now, outcome);
      if (outcome === 'accepted') settle('accepted');
      else if (outcome === 'refused' && isFinal(state, answer?.status ?? 0)) settle('refused');
      else if (!retry()) settle('gaveUp');
    }
    function takenLate(waitedMs: number): void {
      attempt.takeLate(scheduler.now, waitedMs);
    }
    this.#call(node, state, ended, takenLate);
  }

  #tryRead(state: CallState, done: ReadDone): void {
    const { scheduler, recorder } = this.#settings;
    const node = this.#nextNode(state);
    const sentAt = scheduler.now;
    const operator = this.id;
    const settle = (version: number) => this.#settleRead(done, version);
    const retry = () => this.#retry(state, () => this.#tryRead(state, done));
    function ended(answer: OperatorAnswer | undefined): void {
      const read = answer && isRead(answer) ? decodeRead(answer.body) : undefined;
      if (!read) {
        retry();
        return;
      }
      const { document, evacuated } = read;
      recorder.addRead({ operator, node, sentAt, endedAt: scheduler.now, document, evacuated });
      settle(document?.version ?? 0);
    }
    this.#call(node, state, ended, ignore);
  }

  #call(
    node: string,
    state: CallState,
    ended: (answer: OperatorAnswer | undefined) => void,
    takenLate: (waitedMs: number) => void,
  ): void {
    const { network, isAnswerLost } = this.#settings;
    const { call } = state;
    new CallAttempt({ network, caller: this, node, call, isAnswerLost, ended, takenLate }).send();
  }

  /** Schedules the next attempt after a delay; returns false if it would be after the deadline. */
  #retry(state: CallState, next: () => void): boolean {
    const { scheduler, random } = this.#settings;
    const pause = Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** state.failures);
    state.failures += 1;
    const delay = pause * random.between(0.8, 1.2);
    if (scheduler.now + delay > state.deadline) return false;
    scheduler.after(delay, next);
    return true;
  }

  #nextNode(state: CallState): string {
    const nodes = this.#settings.nodes();
    const others = nodes.filter((other) => state.lastNode !== other);
    const node = this.#settings.random.pick(others.length > 0 ? others : nodes) ?? '';
    state.lastNode = node;
    return node;
  }

  #settle(done: OrderDone, outcome: OrderOutcome): void {
    this.#openCalls -= 1;
    done(outcome);
  }

  #settleRead(done: ReadDone, version: number): void {
    this.#openCalls -= 1;
    done(version);
  }
}

function isFinal(state: CallState, status: number): boolean {
  return FINAL_STATUSES.has(status) || state.failures + 1 >= MAX_CLIENT_ERRORS;
}

function isRead(answer: OperatorAnswer): boolean {
  return answer.status === 200 || answer.status === NOT_FOUND;
}

function ignore(): void {
  /* A late read changes nothing. */
}

import type {
  Attempt,
  AttemptOutcome,
  History,
  Order,
  OrderRecord,
  PatchOrder,
  PutOrder,
  ReadRecord,
} from './history.js';

/**
 * Legal histories for the tests of the checker: concurrent operators send orders, with delayed copies and lost
 * answers, to a server that is the sequential model itself.
 */

export interface AttemptPlan {
  /** From its sending until the server carries it out. */
  readonly lagMs: number;
  /** From there until the answer is back. */
  readonly answerMs: number;
  readonly isAnswerLost: boolean;
  /** The attempt never reaches the server. */
  readonly isLost: boolean;
}

export interface StepPlan {
  readonly operator: number;
  readonly thinkMs: number;
  readonly kind: 'put' | 'patch' | 'evacuate' | 'restore' | 'read';
  readonly zone: string;
  readonly versionStep: number;
  readonly isInvalid: boolean;
  /** Repeats the operator's last change of the register instead of a new one. */
  readonly isRepeat: boolean;
  readonly attempts: readonly AttemptPlan[];
}

export const MODEL_SILENCE_MS = 1000;
const EMPTY = '';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

interface MutableRecord {
  readonly id: number;
  readonly operator: string;
  readonly order: Order;
  readonly attempts: Attempt[];
}

interface Operator {
  readonly name: string;
  readonly plans: StepPlan[];
  knownVersion: number;
  last: PutOrder | PatchOrder | undefined;
}

/** How the model's documents change. */
export function amendModel(document: string, change: string): string {
  return `${document}+${change}`;
}

/** The sequential model itself: what the checker compares with. */
class Model {
  version = 0;
  text: string | undefined;
  readonly zones = new Set<string>();
  readonly #carriedOut = new Set<string>();
  readonly #settled = new Set<MutableRecord>();

  take(record: MutableRecord): AttemptOutcome {
    const { order } = record;
    if (order.kind === 'put' || order.kind === 'patch') return this.#change(order);
    // Each copy does its work, as nothing tells copies apart; none is under way after the operator knows.
    if (this.#settled.has(record)) return 'accepted';
    if (order.kind === 'evacuate') this.zones.add(order.zone);
    else this.zones.delete(order.zone);
    return 'accepted';
  }

  settle(record: MutableRecord): void {
    this.#settled.add(record);
  }

  #change(order: PutOrder | PatchOrder): AttemptOutcome {
    const identity = `${order.kind} ${order.base} ${order.text}`;
    if (this.#carriedOut.has(identity)) return 'accepted';
    if (order.isInvalid || order.base !== this.version) return 'refused';
    this.#carriedOut.add(identity);
    this.version = order.version;
    this.text = order.kind === 'put' ? order.text : amendModel(this.text ?? EMPTY, order.text);
    return 'accepted';
  }
}

/** Plays the plans of all operators against the model and records what they saw. */
class ModelRun {
  readonly #model = new Model();
  readonly #events: Event[] = [];
  readonly #records: MutableRecord[] = [];
  readonly #reads: ReadRecord[] = [];
  #now = 0;
  #count = 0;

  play(plans: readonly StepPlan[]): History {
    const operators = new Map<number, Operator>();
    for (const plan of plans) {
      const operator = operators.get(plan.operator) ?? newOperator(plan.operator);
      operators.set(plan.operator, operator);
      operator.plans.push(plan);
    }
    for (const operator of operators.values()) this.#next(operator);
    for (let event = this.#events.shift(); event; event = this.#events.shift()) {
      this.#now = event.at;
      event.run();
    }
    this.#now += 1;
    this.#reads.push(this.#read('last', this.#now, this.#now));
    return { orders: this.#records, reads: this.#reads };
  }

  #at(at: number, run: () => void): void {
    this.#count += 1;
    this.#events.push({ at, order: this.#count, run });
    this.#events.sort(byMoment);
  }

  #read(operator: string, sentAt: number, endedAt: number): ReadRecord {
    const { version, text, zones } = this.#model;
    const document = text === undefined ? undefined : { version, text };
    this.#count += 1;
    return {
      id: this.#count,
      operator,
      node: 'model',
      sentAt,
      endedAt,
      document,
      evacuated: [...zones],
    };
  }

  #next(operator: Operator): void {
    const plan = operator.plans.shift();
    if (plan) this.#at(this.#now + plan.thinkMs, () => this.#begin(operator, plan));
  }

  #begin(operator: Operator, plan: StepPlan): void {
    const order = this.#orderOf(operator, plan);
    if (!order) {
      this.#beginRead(operator, plan);
      return;
    }
    this.#count += 1;
    const record: MutableRecord = { id: this.#count, operator: operator.name, order, attempts: [] };
    this.#records.push(record);
    this.#attempt(operator, plan, record, 0);
  }

  #orderOf(operator: Operator, plan: StepPlan): Order | undefined {
    const { kind, zone, isInvalid } = plan;
    if (kind === 'read') return undefined;
    if (kind === 'evacuate' || kind === 'restore') return { kind, zone };
    if (plan.isRepeat && operator.last) return operator.last;
    this.#count += 1;
    const base = operator.knownVersion;
    const version = base + plan.versionStep;
    operator.last = { kind, base, version, text: `text ${this.#count}`, isInvalid };
    return operator.last;
  }

  #beginRead(operator: Operator, plan: StepPlan): void {
    const [attempt] = plan.attempts;
    const sentAt = this.#now;
    this.#at(sentAt + (attempt?.lagMs ?? 0), () => this.#takeRead(operator, sentAt, attempt));
  }

  #takeRead(operator: Operator, sentAt: number, attempt: AttemptPlan | undefined): void {
    const endedAt = this.#now + (attempt?.answerMs ?? 0);
    const read = this.#read(operator.name, sentAt, endedAt);
    this.#at(endedAt, () => this.#endRead(operator, read));
  }

  #endRead(operator: Operator, read: ReadRecord): void {
    this.#reads.push(read);
    operator.knownVersion = read.document?.version ?? 0;
    this.#next(operator);
  }

  #attempt(operator: Operator, plan: StepPlan, record: MutableRecord, index: number): void {
    const attempt = plan.attempts[index];
    if (!attempt) {
      this.#next(operator);
      return;
    }
    const sentAt = this.#now;
    const carriedOutAt = sentAt + attempt.lagMs;
    const answeredAt = carriedOutAt + attempt.answerMs;
    const isInTime = answeredAt <= sentAt + MODEL_SILENCE_MS;
    if (!attempt.isLost) this.#at(carriedOutAt, () => this.#carryOut(record, carriedOutAt));
    if (attempt.isLost || attempt.isAnswerLost || !isInTime) {
      this.#at(sentAt + MODEL_SILENCE_MS, () =>
        this.#giveUp(operator, plan, record, index, sentAt),
      );
      return;
    }
    // Carried out before it is answered: events of one moment run in the order in which they were made.
    this.#at(answeredAt, () => this.#answer(operator, record, sentAt, carriedOutAt));
  }

  readonly #outcomes = new Map<string, AttemptOutcome>();

  #carryOut(record: MutableRecord, at: number): void {
    this.#outcomes.set(`${record.id} ${at}`, this.#model.take(record));
  }

  #giveUp(
    operator: Operator,
    plan: StepPlan,
    record: MutableRecord,
    index: number,
    sentAt: number,
  ): void {
    record.attempts.push({ node: 'model', sentAt, endedAt: undefined, outcome: 'unclear' });
    this.#attempt(operator, plan, record, index + 1);
  }

  #answer(operator: Operator, record: MutableRecord, sentAt: number, carriedOutAt: number): void {
    const outcome = this.#outcomes.get(`${record.id} ${carriedOutAt}`) ?? 'unclear';
    record.attempts.push({ node: 'model', sentAt, endedAt: this.#now, outcome });
    const { order } = record;
    if (outcome === 'accepted') this.#model.settle(record);
    if (outcome === 'accepted' && (order.kind === 'put' || order.kind === 'patch')) {
      operator.knownVersion = order.version;
    }
    this.#next(operator);
  }
}

function newOperator(number: number): Operator {
  return { name: `operator ${number}`, plans: [], knownVersion: 0, last: undefined };
}

function byMoment(left: Event, right: Event): number {
  return left.at - right.at || left.order - right.order;
}

export function playModel(plans: readonly StepPlan[]): History {
  return new ModelRun().play(plans);
}

/** The records of a history with one more order. */
export function withOrder(history: History, record: OrderRecord): History {
  return { ...history, orders: [...history.orders, record] };
}

/** The records of a history with one more read. */
export function withRead(history: History, read: ReadRecord): History {
  return { ...history, reads: [...history.reads, read] };
}

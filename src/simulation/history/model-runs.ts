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
 * Generates legal histories for tests of the checker: concurrent operators send orders, with delayed copies and lost
 * replies, to a server that implements the sequential model itself.
 */

/** What happens to one attempt of a step. */
export interface AttemptPlan {
  /** From sending the attempt until the server applies it. */
  readonly deliveryDelayMs: number;
  /** From applying the attempt until the reply reaches the operator. */
  readonly replyDelayMs: number;
  readonly isReplyLost: boolean;
  /** The attempt never reaches the server. */
  readonly isLost: boolean;
}

/** One order or read of an operator. */
export interface StepPlan {
  readonly operator: number;
  readonly thinkMs: number;
  readonly kind: 'put' | 'patch' | 'evacuate' | 'restore' | 'read';
  readonly zone: string;
  readonly versionStep: number;
  readonly isInvalid: boolean;
  /** Whether the step repeats the operator's last change of the register instead of sending a new one. */
  readonly isRepeat: boolean;
  readonly attempts: readonly AttemptPlan[];
}

/** How long an operator of the model waits for a reply. */
export const MODEL_TIMEOUT_MS = 1000;
const EMPTY_DOCUMENT = '';

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

/** Applies a patch to a document of the model. */
export function amendModel(document: string, change: string): string {
  return `${document}+${change}`;
}

/** The sequential model that the checker compares histories with. */
class Model {
  version = 0;
  text: string | undefined;
  readonly zones = new Set<string>();
  readonly #applied = new Set<string>();
  readonly #acknowledged = new Set<MutableRecord>();

  /** Applies one copy of an order and returns the outcome. */
  apply(record: MutableRecord): AttemptOutcome {
    const { order } = record;
    if (order.kind === 'put' || order.kind === 'patch') return this.#change(order);
    // Each copy takes effect, because copies can't be distinguished; none does after the operator got the acceptance.
    if (this.#acknowledged.has(record)) return 'accepted';
    if (order.kind === 'evacuate') this.zones.add(order.zone);
    else this.zones.delete(order.zone);
    return 'accepted';
  }

  /** Notes that the operator got an acceptance, after which no copy of the order takes effect. */
  markAcknowledged(record: MutableRecord): void {
    this.#acknowledged.add(record);
  }

  #change(order: PutOrder | PatchOrder): AttemptOutcome {
    const identity = `${order.kind} ${order.base} ${order.text}`;
    if (this.#applied.has(identity)) return 'accepted';
    if (order.isInvalid || order.base !== this.version) return 'refused';
    this.#applied.add(identity);
    this.version = order.version;
    this.text =
      order.kind === 'put' ? order.text : amendModel(this.text ?? EMPTY_DOCUMENT, order.text);
    return 'accepted';
  }
}

/** Runs the plans of all operators against the model and records the history that they observe. */
class ModelRun {
  readonly #model = new Model();
  readonly #events: Event[] = [];
  readonly #records: MutableRecord[] = [];
  readonly #reads: ReadRecord[] = [];
  #now = 0;
  #lastId = 0;

  /** Runs all plans to their end and returns the history. */
  execute(plans: readonly StepPlan[]): History {
    const operators = new Map<number, Operator>();
    for (const plan of plans) {
      const operator = operators.get(plan.operator) ?? newOperator(plan.operator);
      operators.set(plan.operator, operator);
      operator.plans.push(plan);
    }
    for (const operator of operators.values()) this.#startNextStep(operator);
    for (let event = this.#events.shift(); event; event = this.#events.shift()) {
      this.#now = event.at;
      event.run();
    }
    this.#now += 1;
    this.#reads.push(this.#read('last', this.#now, this.#now));
    return { orders: this.#records, reads: this.#reads };
  }

  #schedule(at: number, run: () => void): void {
    this.#lastId += 1;
    this.#events.push({ at, order: this.#lastId, run });
    this.#events.sort(compareEvents);
  }

  #read(operator: string, sentAt: number, endedAt: number): ReadRecord {
    const { version, text, zones } = this.#model;
    const document = text === undefined ? undefined : { version, text };
    this.#lastId += 1;
    return {
      id: this.#lastId,
      operator,
      node: 'model',
      sentAt,
      endedAt,
      document,
      evacuated: [...zones],
    };
  }

  #startNextStep(operator: Operator): void {
    const plan = operator.plans.shift();
    if (plan) this.#schedule(this.#now + plan.thinkMs, () => this.#startStep(operator, plan));
  }

  #startStep(operator: Operator, plan: StepPlan): void {
    const order = this.#orderOf(operator, plan);
    if (!order) {
      this.#startRead(operator, plan);
      return;
    }
    this.#lastId += 1;
    const record: MutableRecord = {
      id: this.#lastId,
      operator: operator.name,
      order,
      attempts: [],
    };
    this.#records.push(record);
    this.#sendAttempt(operator, plan, record, 0);
  }

  #orderOf(operator: Operator, plan: StepPlan): Order | undefined {
    const { kind, zone, isInvalid } = plan;
    if (kind === 'read') return undefined;
    if (kind === 'evacuate' || kind === 'restore') return { kind, zone };
    if (plan.isRepeat && operator.last) return operator.last;
    this.#lastId += 1;
    const base = operator.knownVersion;
    const version = base + plan.versionStep;
    operator.last = { kind, base, version, text: `text ${this.#lastId}`, isInvalid };
    return operator.last;
  }

  #startRead(operator: Operator, plan: StepPlan): void {
    const [attempt] = plan.attempts;
    const sentAt = this.#now;
    this.#schedule(sentAt + (attempt?.deliveryDelayMs ?? 0), () =>
      this.#performRead(operator, sentAt, attempt),
    );
  }

  #performRead(operator: Operator, sentAt: number, attempt: AttemptPlan | undefined): void {
    const endedAt = this.#now + (attempt?.replyDelayMs ?? 0);
    const read = this.#read(operator.name, sentAt, endedAt);
    this.#schedule(endedAt, () => this.#completeRead(operator, read));
  }

  #completeRead(operator: Operator, read: ReadRecord): void {
    this.#reads.push(read);
    operator.knownVersion = read.document?.version ?? 0;
    this.#startNextStep(operator);
  }

  #sendAttempt(operator: Operator, plan: StepPlan, record: MutableRecord, index: number): void {
    const attempt = plan.attempts[index];
    if (!attempt) {
      this.#startNextStep(operator);
      return;
    }
    const sentAt = this.#now;
    const appliedAt = sentAt + attempt.deliveryDelayMs;
    const answeredAt = appliedAt + attempt.replyDelayMs;
    const isInTime = answeredAt <= sentAt + MODEL_TIMEOUT_MS;
    if (!attempt.isLost) this.#schedule(appliedAt, () => this.#applyAttempt(record, appliedAt));
    if (attempt.isLost || attempt.isReplyLost || !isInTime) {
      this.#schedule(sentAt + MODEL_TIMEOUT_MS, () =>
        this.#timeOutAttempt(operator, plan, record, index, sentAt),
      );
      return;
    }
    // Applied before it is answered: events with equal times run in the order in which they were scheduled.
    this.#schedule(answeredAt, () => this.#completeAttempt(operator, record, sentAt, appliedAt));
  }

  readonly #outcomes = new Map<string, AttemptOutcome>();

  #applyAttempt(record: MutableRecord, at: number): void {
    this.#outcomes.set(`${record.id} ${at}`, this.#model.apply(record));
  }

  #timeOutAttempt(
    operator: Operator,
    plan: StepPlan,
    record: MutableRecord,
    index: number,
    sentAt: number,
  ): void {
    record.attempts.push({ node: 'model', sentAt, endedAt: undefined, outcome: 'unclear' });
    this.#sendAttempt(operator, plan, record, index + 1);
  }

  #completeAttempt(
    operator: Operator,
    record: MutableRecord,
    sentAt: number,
    appliedAt: number,
  ): void {
    const outcome = this.#outcomes.get(`${record.id} ${appliedAt}`) ?? 'unclear';
    record.attempts.push({ node: 'model', sentAt, endedAt: this.#now, outcome });
    const { order } = record;
    if (outcome === 'accepted') this.#model.markAcknowledged(record);
    if (outcome === 'accepted' && (order.kind === 'put' || order.kind === 'patch')) {
      operator.knownVersion = order.version;
    }
    this.#startNextStep(operator);
  }
}

function newOperator(number: number): Operator {
  return { name: `operator ${number}`, plans: [], knownVersion: 0, last: undefined };
}

function compareEvents(left: Event, right: Event): number {
  return left.at - right.at || left.order - right.order;
}

/** Runs plans against the sequential model and returns the history, which is legal and ends with a read. */
export function runModel(plans: readonly StepPlan[]): History {
  return new ModelRun().execute(plans);
}

/** Returns a history with one additional order. */
export function withOrder(history: History, record: OrderRecord): History {
  return { ...history, orders: [...history.orders, record] };
}

/** Returns a history with one additional read. */
export function withRead(history: History, read: ReadRecord): History {
  return { ...history, reads: [...history.reads, read] };
}

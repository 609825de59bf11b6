import type {
  Attempt,
  AttemptOutcome,
  History,
  Order,
  OrderRecord,
  ReadRecord,
} from './history/history.js';

/**
 * Maximum time for which a call that is processed late was unread. A node that stalled for a second or more knows that its
 * input may be late and rejects evacuations in it; the margin covers a slow clock that is read only at each tick.
 */
const MAX_UNREAD_MS = 1100;

/** An attempt that may still be in progress; its outcome is unclear until an answer arrives. */
export class OpenAttempt implements Attempt {
  /** The control node that is called. */
  readonly node: string;
  /** True time at which the attempt was sent. */
  readonly sentAt: number;
  #endedAt: number | undefined;
  #outcome: AttemptOutcome = 'unclear';
  #takenLateAt: number | undefined;

  constructor(node: string, sentAt: number) {
    this.node = node;
    this.sentAt = sentAt;
  }

  /** When the answer arrived; `undefined` if none did. */
  get endedAt(): number | undefined {
    return this.#endedAt;
  }

  /** The outcome so far. */
  get outcome(): AttemptOutcome {
    return this.#outcome;
  }

  /** When a node began to process a copy that it could not know to be late; `undefined` otherwise. */
  get takenLateAt(): number | undefined {
    return this.#takenLateAt;
  }

  /** Records that a node began to process the attempt after its caller gave up, unless the node could know that. */
  takeLate(at: number, waitedMs: number): void {
    if (waitedMs <= MAX_UNREAD_MS) this.#takenLateAt = at;
  }

  /** Records the answer of the attempt. */
  end(at: number, outcome: AttemptOutcome): void {
    this.#endedAt = at;
    this.#outcome = outcome;
  }
}

/** An order of an operator and the attempts made for it so far. */
export class OpenOrder implements OrderRecord {
  /** The number of the order in its history. */
  readonly id: number;
  /** The operator that sends the order. */
  readonly operator: string;
  /** The order itself. */
  readonly order: Order;
  /** The attempts so far, in the order in which they were sent. */
  readonly attempts: OpenAttempt[] = [];

  constructor(id: number, operator: string, order: Order) {
    this.id = id;
    this.operator = operator;
    this.order = order;
  }

  /** Adds an attempt to send the order to a node. */
  beginAttempt(node: string, at: number): OpenAttempt {
    const attempt = new OpenAttempt(node, at);
    this.attempts.push(attempt);
    return attempt;
  }

  /** Whether any attempt was accepted. */
  get isAccepted(): boolean {
    return this.attempts.some(isAccepted);
  }

  /** Whether any attempt was answered definitely. */
  get isDefinite(): boolean {
    return this.attempts.some(isDefinite);
  }
}

function isAccepted(attempt: Attempt): boolean {
  return attempt.outcome === 'accepted';
}

function isDefinite(attempt: Attempt): boolean {
  return attempt.outcome !== 'unclear';
}

function plainAttempt({ node, sentAt, endedAt, outcome, takenLateAt }: Attempt): Attempt {
  const plain = { node, sentAt, endedAt, outcome };
  return takenLateAt === undefined ? plain : { ...plain, takenLateAt };
}

/** Records what the operators of one run observed, in the form that the history checker reads. */
export class HistoryRecorder {
  readonly #orders: OpenOrder[] = [];
  readonly #reads: ReadRecord[] = [];
  #lastId = 0;

  /** All orders so far. */
  get orders(): readonly OpenOrder[] {
    return this.#orders;
  }

  /** All answered reads so far. */
  get reads(): readonly ReadRecord[] {
    return this.#reads;
  }

  /** Adds an order with a new id. */
  openOrder(operator: string, order: Order): OpenOrder {
    this.#lastId += 1;
    const record = new OpenOrder(this.#lastId, operator, order);
    this.#orders.push(record);
    return record;
  }

  /** Adds an answered read with a new id. */
  addRead(record: Omit<ReadRecord, 'id'>): void {
    this.#lastId += 1;
    this.#reads.push({ id: this.#lastId, ...record });
  }

  /** A plain copy of everything recorded so far. */
  history(): History {
    const orders: OrderRecord[] = [];
    for (const { id, operator, order, attempts } of this.#orders) {
      orders.push({ id, operator, order, attempts: attempts.map(plainAttempt) });
    }
    return { orders, reads: [...this.#reads] };
  }
}

import type {
  Attempt,
  AttemptOutcome,
  History,
  Order,
  OrderRecord,
  ReadRecord,
} from './history/history.js';

/**
 * A node that stood still for a second or more knows that its input may be late, and takes no evacuation from it. Its clock
 * may be slow, and it looks at it with each tick.
 */
const MAX_UNREAD_MS = 1100;

/** An attempt that may still be under way; it counts as unclear until an answer says otherwise. */
export class OpenAttempt implements Attempt {
  readonly node: string;
  readonly sentAt: number;
  #endedAt: number | undefined;
  #outcome: AttemptOutcome = 'unclear';
  #takenLateAt: number | undefined;

  constructor(node: string, sentAt: number) {
    this.node = node;
    this.sentAt = sentAt;
  }

  get endedAt(): number | undefined {
    return this.#endedAt;
  }

  get outcome(): AttemptOutcome {
    return this.#outcome;
  }

  get takenLateAt(): number | undefined {
    return this.#takenLateAt;
  }

  /** A node began it at that moment, after it had lain there for so long, and could not know that nobody waits. */
  takeLate(at: number, waitedMs: number): void {
    if (waitedMs <= MAX_UNREAD_MS) this.#takenLateAt = at;
  }

  end(at: number, outcome: AttemptOutcome): void {
    this.#endedAt = at;
    this.#outcome = outcome;
  }
}

/** An order of an operator, with the attempts made for it so far. */
export class OpenOrder implements OrderRecord {
  readonly id: number;
  readonly operator: string;
  readonly order: Order;
  readonly attempts: OpenAttempt[] = [];

  constructor(id: number, operator: string, order: Order) {
    this.id = id;
    this.operator = operator;
    this.order = order;
  }

  beginAttempt(node: string, at: number): OpenAttempt {
    const attempt = new OpenAttempt(node, at);
    this.attempts.push(attempt);
    return attempt;
  }

  get isAccepted(): boolean {
    return this.attempts.some(isAccepted);
  }

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

/** Everything the operators of one run saw, in the form that the history checker judges. */
export class HistoryRecorder {
  readonly #orders: OpenOrder[] = [];
  readonly #reads: ReadRecord[] = [];
  #lastId = 0;

  get orders(): readonly OpenOrder[] {
    return this.#orders;
  }

  get reads(): readonly ReadRecord[] {
    return this.#reads;
  }

  openOrder(operator: string, order: Order): OpenOrder {
    this.#lastId += 1;
    const record = new OpenOrder(this.#lastId, operator, order);
    this.#orders.push(record);
    return record;
  }

  addRead(record: Omit<ReadRecord, 'id'>): void {
    this.#lastId += 1;
    this.#reads.push({ id: this.#lastId, ...record });
  }

  history(): History {
    const orders: OrderRecord[] = [];
    for (const { id, operator, order, attempts } of this.#orders) {
      orders.push({ id, operator, order, attempts: attempts.map(plainAttempt) });
    }
    return { orders, reads: [...this.#reads] };
  }
}

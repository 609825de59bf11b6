import type { FaultCounts } from './fault-driver.js';
import type { Order } from './history/history.js';
import type { OpenOrder } from './history-recorder.js';

/** The outcomes of the orders of one kind, as observed by their operators. */
export interface OutcomeCounts {
  /** Orders that were accepted. */
  readonly accepted: number;
  /** Orders that were refused definitely. */
  readonly refused: number;
  /** Orders without a definite answer at the end of the run. */
  readonly unclear: number;
  /** All attempts made for these orders. */
  readonly attempts: number;
}

/** Kinds of orders; those that are invalid regardless of the configuration in force are counted separately. */
export const ORDER_KINDS = ['put', 'patch', 'invalid', 'evacuate', 'restore'] as const;
/** A kind of order in the figures. */
export type OrderKind = (typeof ORDER_KINDS)[number];
/** Outcomes by kind of order. */
export type OrderFigures = Readonly<Record<OrderKind, OutcomeCounts>>;

/** The measured figures of a run. */
export interface RunFigures {
  /** Number of voting control nodes at the start. */
  readonly nodes: number;
  /** Length of the run in virtual time. */
  readonly virtualMs: number;
  /** Whether a leader must be elected after all faults: not if too many disks were lost within the time to catch up. */
  readonly isRecoveryOwed: boolean;
  /** Number of injected faults by kind. */
  readonly faults: Readonly<FaultCounts>;
  /** Number of writes to connections. */
  readonly packets: number;
  /** Number of orders that arrived at runners. */
  readonly runnerOrders: number;
  /** How often a node began to lead and serve. */
  readonly reigns: number;
  /** Number of completed changes of the voters. */
  readonly voterChanges: number;
  /** Times from the start of a node that is new or lost its disk until it is a sound replica, including the first start. */
  readonly repairMs: readonly number[];
  /** Lengths of the periods without a node that leads and serves, including the first start. */
  readonly leaderlessMs: readonly number[];
  /** Number of answered reads. */
  readonly reads: number;
  /** Outcomes of the orders. */
  readonly orders: OrderFigures;
}

const NO_OUTCOMES: OutcomeCounts = { accepted: 0, refused: 0, unclear: 0, attempts: 0 };

/** Zero outcomes for each kind of order. */
export function noOrders(): Record<OrderKind, OutcomeCounts> {
  return {
    put: NO_OUTCOMES,
    patch: NO_OUTCOMES,
    invalid: NO_OUTCOMES,
    evacuate: NO_OUTCOMES,
    restore: NO_OUTCOMES,
  };
}

/** The sum of two counts. */
export function sumOf(left: OutcomeCounts, right: OutcomeCounts): OutcomeCounts {
  return {
    accepted: left.accepted + right.accepted,
    refused: left.refused + right.refused,
    unclear: left.unclear + right.unclear,
    attempts: left.attempts + right.attempts,
  };
}

function kindOf(order: Order): OrderKind {
  return 'isInvalid' in order && order.isInvalid ? 'invalid' : order.kind;
}

function outcomeOf(order: OpenOrder): OutcomeCounts {
  const attempts = order.attempts.length;
  if (order.isAccepted) return { ...NO_OUTCOMES, attempts, accepted: 1 };
  if (order.isDefinite) return { ...NO_OUTCOMES, attempts, refused: 1 };
  return { ...NO_OUTCOMES, attempts, unclear: 1 };
}

/** Counts the outcomes of orders by kind. */
export function countOutcomes(orders: readonly OpenOrder[]): OrderFigures {
  const counts = noOrders();
  for (const order of orders) {
    const kind = kindOf(order.order);
    counts[kind] = sumOf(counts[kind], outcomeOf(order));
  }
  return counts;
}

/** The outcomes of all kinds of orders together. */
export function totalOf(orders: OrderFigures): OutcomeCounts {
  let total = NO_OUTCOMES;
  for (const kind of ORDER_KINDS) total = sumOf(total, orders[kind]);
  return total;
}

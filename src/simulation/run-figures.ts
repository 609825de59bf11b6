import type { FaultCounts } from './fault-driver.js';
import type { Order } from './history/history.js';
import type { OpenOrder } from './history-recorder.js';

/** What became of the orders of one kind, as their operator saw it. */
export interface OutcomeCounts {
  readonly accepted: number;
  readonly refused: number;
  /** Without a clear answer at the end of the run. */
  readonly unclear: number;
  readonly attempts: number;
}

/** Kinds of orders, those apart that no configuration in force could make acceptable. */
export const ORDER_KINDS = ['put', 'patch', 'invalid', 'evacuate', 'restore'] as const;
export type OrderKind = (typeof ORDER_KINDS)[number];
export type OrderFigures = Readonly<Record<OrderKind, OutcomeCounts>>;

/** What a run was like, beside whether it broke a rule. */
export interface RunFigures {
  readonly nodes: number;
  readonly virtualMs: number;
  /** Whether somebody must lead after all trouble: not where too many disks were lost one right after the other. */
  readonly isRecoveryOwed: boolean;
  readonly faults: Readonly<FaultCounts>;
  readonly packets: number;
  readonly runnerOrders: number;
  /** How often a node began to lead and serve. */
  readonly reigns: number;
  readonly voterChanges: number;
  /** From the start of a node that is new or lost its disk until it counts, the fleet's first start among them. */
  readonly repairMs: readonly number[];
  /** Spans without any node that leads and serves, the first start's among them. */
  readonly leaderlessMs: readonly number[];
  readonly reads: number;
  readonly orders: OrderFigures;
}

const NO_OUTCOMES: OutcomeCounts = { accepted: 0, refused: 0, unclear: 0, attempts: 0 };

export function noOrders(): Record<OrderKind, OutcomeCounts> {
  return {
    put: NO_OUTCOMES,
    patch: NO_OUTCOMES,
    invalid: NO_OUTCOMES,
    evacuate: NO_OUTCOMES,
    restore: NO_OUTCOMES,
  };
}

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

export function countOutcomes(orders: readonly OpenOrder[]): OrderFigures {
  const counts = noOrders();
  for (const order of orders) {
    const kind = kindOf(order.order);
    counts[kind] = sumOf(counts[kind], outcomeOf(order));
  }
  return counts;
}

/** All kinds of orders together. */
export function totalOf(orders: OrderFigures): OutcomeCounts {
  let total = NO_OUTCOMES;
  for (const kind of ORDER_KINDS) total = sumOf(total, orders[kind]);
  return total;
}

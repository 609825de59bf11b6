import type { OpenOrder } from './HistoryRecorder.js';

export interface OrderFigures {
  readonly accepted: number;
  readonly refused: number;
  /** Without a clear answer at the end of the run. */
  readonly unclear: number;
  readonly attempts: number;
}

/** What a run was like, beside whether it broke a rule. */
export interface RunFigures extends OrderFigures {
  readonly nodes: number;
  readonly virtualMs: number;
  readonly faults: number;
  readonly packets: number;
  readonly runnerOrders: number;
  /** How often a node began to lead and serve. */
  readonly reigns: number;
  readonly voterChanges: number;
  /** From the start of a node with a lost disk until it counts again. */
  readonly repairMs: readonly number[];
  /** Spans without any node that leads and serves. */
  readonly leaderlessMs: readonly number[];
  readonly reads: number;
}

export function countOutcomes(orders: readonly OpenOrder[]): OrderFigures {
  let [accepted, refused, unclear, attempts] = [0, 0, 0, 0];
  for (const order of orders) {
    attempts += order.attempts.length;
    if (order.isAccepted) accepted += 1;
    else if (order.isDefinite) refused += 1;
    else unclear += 1;
  }
  return { accepted, refused, unclear, attempts };
}

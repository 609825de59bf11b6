import type { ErrorCode } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import { rowKey } from '../policy/table.js';
import {
  isPlainService,
  newRequest,
  type AdmittedRequest,
  type RequestInfo,
} from './policy-router-types.js';
import { DemandCounter, type RowDemandCount, type ModelDemandCount } from './demand-counter.js';
import { PolicyRateLimits } from './policy-rate-limits.js';
import type { PolicyView } from './policy-view.js';

/** Why a request is rejected. `retryMs`: after how long a retry is worthwhile; 0 where that is unknown. */
export interface Rejection {
  readonly kind: ErrorCode;
  readonly text: string;
  readonly retryMs: number;
}

/** Admits requests by the rows of the table: each row matches a type and a model, and limits the rate over the whole fleet. */
export class PolicyAdmission {
  readonly #view: PolicyView;
  readonly #rates = new PolicyRateLimits();
  readonly #demand = new DemandCounter();

  constructor(view: PolicyView) {
    this.#view = view;
  }

  /** Admits a request by its row, or returns why it is rejected. */
  admit(now: Moment, info: RequestInfo): { readonly request: AdmittedRequest } | Rejection {
    const mapping = this.#view.mappingOf(info.method, info.path);
    if (!mapping) return rejection('unmapped', `no mapping for ${info.method} ${info.path}`);
    const row = this.#view.rowOf(info);
    if (!row)
      return rejection('unknown-model', `no row of type ${mapping.type} for model ${info.model}`);
    const service = isPlainService(row.model) ? row.model : info.model;
    // Demand is counted before admission: requests that are rejected because their model is not placed lead to its placement.
    const model = isPlainService(service) ? undefined : info.model;
    this.#demand.count(rowKey(row), model, info.adapter);
    const waitMs = this.#rates.take(now, row, this.#view.shareOf(now, row));
    if (waitMs > 0)
      return rejection('over-take', `row ${rowKey(row)} takes ${row.take} a second`, waitMs);
    const request = newRequest(now, info, row, service);
    if (!this.#view.isUnplaced(request)) return { request };
    const text = this.#view.waitReason(service) || `${info.model} is not placed yet`;
    return rejection('waits-for-place', text, this.#view.placementDelayMs(now, service));
  }

  /** The demand since the last call, for the placer; starts a new count. */
  takeDemand(): { units: ModelDemandCount[]; rows: RowDemandCount[] } {
    return this.#demand.take();
  }
}

function rejection(kind: ErrorCode, text: string, retryMs = 0): Rejection {
  return { kind, text, retryMs };
}

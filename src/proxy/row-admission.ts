import type { ErrorCode } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import { rowKey } from '../policy/table.js';
import { isPlainService, newRequest, type AdmittedRequest, type Asked } from './decision-types.js';
import { DemandCounter, type RowDemandCount, type UnitDemandCount } from './demand-counter.js';
import { RowRates } from './row-rates.js';
import type { TableView } from './table-view.js';

/** Why a request is refused, and when coming back is worth while; 0 ms where nothing is known. */
export interface Refusal {
  readonly kind: ErrorCode;
  readonly text: string;
  readonly retryMs: number;
}

/** Admission by the rows of the table: each names a type and a model, and takes so much over the whole fleet. */
export class RowAdmission {
  readonly #view: TableView;
  readonly #rates = new RowRates();
  readonly #demand = new DemandCounter();

  constructor(view: TableView) {
    this.#view = view;
  }

  /** Admits a request by its row, or says why not. */
  admit(now: Moment, asked: Asked): { readonly request: AdmittedRequest } | Refusal {
    const mapping = this.#view.mappingOf(asked.method, asked.path);
    if (!mapping) return refusal('unmapped', `no mapping for ${asked.method} ${asked.path}`);
    const row = this.#view.rowOf(asked);
    if (!row)
      return refusal('unknown-model', `no row of type ${mapping.type} for model ${asked.model}`);
    const service = isPlainService(row.model) ? row.model : asked.model;
    // Demand is counted before the gate: what is refused for want of a place is what a place is made for.
    const model = isPlainService(service) ? undefined : asked.model;
    this.#demand.count(rowKey(row), model, asked.adapter);
    const takeMs = this.#rates.take(now, row, this.#view.shareOf(row));
    if (takeMs > 0)
      return refusal('over-take', `row ${rowKey(row)} takes ${row.take} a second`, takeMs);
    const request = newRequest(now, asked, row, service);
    if (!this.#view.isPlaceless(request)) return { request };
    const text = this.#view.waitText(service) || `${asked.model} is not placed yet`;
    return refusal('waits-for-place', text, this.#view.placeMs(now, service));
  }

  /** What was asked for since last told, for the placer. */
  takeDemand(): { units: UnitDemandCount[]; rows: RowDemandCount[] } {
    return this.#demand.take();
  }
}

function refusal(kind: ErrorCode, text: string, retryMs = 0): Refusal {
  return { kind, text, retryMs };
}

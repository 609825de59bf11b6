import type { ErrorCode } from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import type { Row } from '../policy/table.js';

/** What a request names, read by the executor. */
export interface Asked {
  readonly id: number;
  readonly method: string;
  readonly path: string;
  readonly model: string;
  readonly adapter: string;
  readonly parts: readonly string[];
}

/** What the executor must do now. */
export type Verdict =
  | {
      readonly do: 'run';
      readonly id: number;
      readonly runner: string;
      readonly address: string;
      readonly isPlain: boolean;
      readonly row: Row;
      readonly limit: Moment;
      readonly table: number;
    }
  /** `retryMs` tells when coming back is worth while, as far as it is known; 0 where nothing is. */
  | {
      readonly do: 'turnAway';
      readonly id: number;
      readonly kind: ErrorCode;
      readonly text: string;
      readonly retryMs: number;
    };

/** The order to run a request. */
export type RunVerdict = Extract<Verdict, { do: 'run' }>;

/** Settings of a proxy's decisions. */
export interface DecisionSettings {
  readonly blindMs: number;
  readonly me: string;
  /** A number that no other life of this process has, well apart from others'. */
  readonly incarnation: number;
  /** Most requests pending at once. */
  readonly mostPending: number;
  /** How long a runner that just started is spared. */
  readonly rampMs: number;
  /** Repeats that a service may have, as a share of its requests, and how many more over the whole fleet. */
  readonly repeatShare: number;
  readonly repeatFew: number;
}

export const DECISION_DEFAULTS = {
  incarnation: 0,
  mostPending: 512,
  rampMs: 10_000,
  repeatShare: 0.2,
  repeatFew: 4,
} as const;

/** A request that was admitted by a row of the table. */
export interface AdmittedRequest {
  readonly asked: Asked;
  readonly row: Row;
  readonly service: string;
  readonly arrivedAt: Moment;
  readonly limit: Moment;
  /** The runner that it was given last; empty before. */
  runner: string;
  startedAt: Moment;
  readonly tried: Set<string>;
  /** Whether its first sending has been counted for the budget of repeats. */
  isCounted: boolean;
}

/** A runner that holds what a request needs. */
export interface Candidate {
  readonly id: string;
  readonly isPrimary: boolean;
}

/** Whether a service is one of plain back ends, which hold no models. */
export function isPlainService(service: string): boolean {
  return service.startsWith('@');
}

/** A request that a row admits now. */
export function newRequest(now: Moment, asked: Asked, row: Row, service: string): AdmittedRequest {
  return {
    asked,
    row,
    service,
    arrivedAt: now,
    limit: later(now, row.lateMs),
    runner: '',
    startedAt: now,
    tried: new Set(),
    isCounted: false,
  };
}

import type { ErrorCode } from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import type { Row } from '../policy/table.js';

/** What a request names, read by the executor. */
export interface RequestInfo {
  readonly id: number;
  readonly method: string;
  readonly path: string;
  readonly model: string;
  readonly adapter: string;
  readonly prefixBlocks: readonly string[];
}

/** What the executor must do now. */
export type RoutingVerdict =
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
      readonly do: 'reject';
      readonly id: number;
      readonly kind: ErrorCode;
      readonly text: string;
      readonly retryMs: number;
    };

/** The order to run a request. */
export type RunVerdict = Extract<RoutingVerdict, { do: 'run' }>;

/** Settings of a proxy's decisions. */
export interface PolicyRouterSettings {
  readonly freshnessBoundMs: number;
  readonly me: string;
  /** A number that no other life of this process has, well apart from others'. */
  readonly incarnation: number;
  /** Most requests pending at once. */
  readonly maxPending: number;
  /** How long a runner that just started is spared. */
  readonly slowStartMs: number;
  /** Repeats that a service may have, as a share of its requests, and how many more over the whole fleet. */
  readonly retryShare: number;
  readonly extraRetries: number;
}

export const POLICY_ROUTER_DEFAULTS = {
  incarnation: 0,
  maxPending: 512,
  slowStartMs: 10_000,
  retryShare: 0.2,
  extraRetries: 4,
} as const;

/** A request that was admitted by a row of the table. */
export interface AdmittedRequest {
  readonly info: RequestInfo;
  readonly row: Row;
  readonly service: string;
  readonly arrivedAt: Moment;
  readonly limit: Moment;
  /** The runner that it was given last; empty before. */
  runner: string;
  startedAt: Moment;
  readonly triedRunners: Set<string>;
  /** Whether its first sending has been counted for the budget of repeats. */
  isBudgetCredited: boolean;
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
export function newRequest(
  now: Moment,
  info: RequestInfo,
  row: Row,
  service: string,
): AdmittedRequest {
  return {
    info: info,
    row,
    service,
    arrivedAt: now,
    limit: later(now, row.lateMs),
    runner: '',
    startedAt: now,
    triedRunners: new Set(),
    isBudgetCredited: false,
  };
}

import type { ErrorCode } from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import type { Row } from '../policy/table.js';

/** What the router needs to know of a request; the forwarder reads it from the HTTP request. */
export interface RequestInfo {
  readonly id: number;
  readonly method: string;
  readonly path: string;
  readonly model: string;
  readonly adapter: string;
  readonly prefixBlocks: readonly string[];
}

/** What the forwarder must do with a request. */
export type RoutingVerdict =
  | {
      readonly do: 'run';
      readonly id: number;
      readonly runner: string;
      readonly address: string;
      readonly isPlain: boolean;
      readonly row: Row;
      readonly deadline: Moment;
      readonly table: number;
    }
  /** `retryMs`: after how long a retry is worthwhile; 0 where that is unknown. */
  | {
      readonly do: 'reject';
      readonly id: number;
      readonly kind: ErrorCode;
      readonly text: string;
      readonly retryMs: number;
    };

/** The verdict that a request is to be run at a runner. */
export type RunVerdict = Extract<RoutingVerdict, { do: 'run' }>;

/** Settings of the router. */
export interface PolicyRouterSettings {
  /** How long a freshness confirmation is valid, from its request on. */
  readonly freshnessBoundMs: number;
  /** The id of this proxy. */
  readonly proxyId: string;
  /** A number that is unique to this run of the process, and far from the numbers of its other runs. */
  readonly incarnation: number;
  /** The maximum number of requests that are pending at once. */
  readonly maxPending: number;
  /** How long a runner that has just started is given less load. */
  readonly slowStartMs: number;
  /** The retries that a service may have, as a share of its requests. */
  readonly retryShare: number;
  /** The retries that a service may have beyond that share, over the whole fleet. */
  readonly extraRetries: number;
}

/** Default settings of the router; the others have no default. */
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
  readonly deadline: Moment;
  /** The runner that it was last sent to; empty before the first. */
  runner: string;
  startedAt: Moment;
  readonly triedRunners: Set<string>;
  /** Whether its first attempt has been credited to the retry budget. */
  isBudgetCredited: boolean;
}

/** A runner that can serve a request. */
export interface Candidate {
  readonly id: string;
  readonly isPrimary: boolean;
}

/** Whether a service consists of plain back ends, which hold no models. */
export function isPlainService(service: string): boolean {
  return service.startsWith('@');
}

/** Creates the state of a request that a row admits now. */
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
    deadline: later(now, row.lateMs),
    runner: '',
    startedAt: now,
    triedRunners: new Set(),
    isBudgetCredited: false,
  };
}

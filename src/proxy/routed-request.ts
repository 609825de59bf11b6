import type { Moment } from '../common/ids.js';
import type { Route, Service } from '../route/routing.js';
import type { RequestHead } from './dispatch-types.js';

/** What is left of a request's time must still let a runner answer. */
export const LEAST_LEFT_MS = 60;

/** Whether it waits for a runner, its connection is being made, it was written, or its answer is passed on. */
export type RequestPhase = 'waiting' | 'connecting' | 'sent' | 'answering';

/** A request whose route and service are known, and how far it has come. */
export interface RoutedRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: Service;
  /** Service, model and adapter that it needs; empty for a plain service. */
  readonly unit: string;
  readonly arrivedAt: Moment;
  readonly deadline: Moment;
  /** Whether it is its client's first try, as its time left suggests. */
  readonly isFirstTry: boolean;
  /** Tokens of the prompt that others may have had read before. */
  readonly sharedTokens: number;
  /** Names those shared parts, with their model and adapter. */
  readonly sharedKey: string;
  phase: RequestPhase;
  /** Counts the runners it was given to; what is heard of an earlier attempt is void. */
  attempt: number;
  /** The runner of the last attempt. */
  runner: string;
  sentAt: Moment;
  /** Runners that are not to be chosen again for it. */
  readonly tried: Set<string>;
  /** Arrivals at runners so far. */
  sends: number;
  /** Whether a runner may have run it in an attempt that is over. */
  mayHaveRun: boolean;
  /** Whether the next attempt must go on a new connection. */
  needsFresh: boolean;
  /** Whether anything of an answer was passed on to the client. */
  isBegun: boolean;
  /** While it waits: when it is placed again. */
  waitUntil: Moment;
}

/** Whether another run of it does no harm, and its client could still be given that run's answer. */
export function isRepeatable(request: RoutedRequest): boolean {
  return request.route.kind === 'safe'
    ? !request.isBegun
    : request.route.kind === 'stream' && request.route.isResumable;
}

/** Whether it may still be told as refused: once it may have run, or an answer was begun, nothing claims that it was. */
export function isRefusable(request: RoutedRequest): boolean {
  return !request.mayHaveRun && !request.isBegun;
}

/** The most urgent goes first, then who came first. */
export function byUrgency(a: RoutedRequest, b: RoutedRequest): number {
  return a.route.priority - b.route.priority || a.arrivedAt - b.arrivedAt;
}

import type { Moment } from '../common/ids.js';
import type { Route, Service } from '../route/routing.js';
import type { RequestHead } from './dispatch-types.js';

/** What is left of a request's time must still let a runner answer. */
export const MIN_TIME_LEFT_MS = 60;

/** Whether it waits for a runner, its connection is being made, it was written, or its answer is passed on. */
export type RequestPhase = 'waiting' | 'connecting' | 'sent' | 'responding';

/** A request whose route and service are known, and how far it has come. */
export interface RoutedRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: Service;
  /** Service, model and adapter that it needs; empty for a plain service. */
  readonly modelUnit: string;
  readonly arrivedAt: Moment;
  readonly deadline: Moment;
  /** Whether it is its client's first try, as its time left suggests. */
  readonly isFirstAttempt: boolean;
  /** Tokens of the prompt that others may have had read before. */
  readonly sharedPrefixTokens: number;
  /** Names those shared parts, with their model and adapter. */
  readonly sharedPrefixKey: string;
  phase: RequestPhase;
  /** Counts the runners it was given to; what is heard of an earlier attempt is void. */
  attempt: number;
  /** The runner of the last attempt. */
  runner: string;
  sentAt: Moment;
  /** Runners that are not to be chosen again for it. */
  readonly triedRunners: Set<string>;
  /** Arrivals at runners so far. */
  attemptsSent: number;
  /** Whether a runner may have run it in an attempt that is over. */
  mayHaveRun: boolean;
  /** Whether the next attempt must go on a new connection. */
  needsNewConnection: boolean;
  /** Whether anything of an answer was passed on to the client. */
  isResponseStarted: boolean;
  /** While it waits: when it is placed again. */
  placeAgainAt: Moment;
}

/** Whether another run of it does no harm, and its client could still be given that run's answer. */
export function isRetryable(request: RoutedRequest): boolean {
  return request.route.kind === 'safe'
    ? !request.isResponseStarted
    : request.route.kind === 'stream' && request.route.isResumable;
}

/** Whether it may still be told as refused: once it may have run, or an answer was begun, nothing claims that it was. */
export function isRejectable(request: RoutedRequest): boolean {
  return !request.mayHaveRun && !request.isResponseStarted;
}

/** The most urgent goes first, then who came first. */
export function byUrgency(a: RoutedRequest, b: RoutedRequest): number {
  return a.route.priority - b.route.priority || a.arrivedAt - b.arrivedAt;
}

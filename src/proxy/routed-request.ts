import type { Moment } from '../common/ids.js';
import type { Route, Service } from '../route/routing.js';
import type { RequestHead, ResponseHead } from './dispatch-types.js';

/** The least time to its deadline, ms, with which a request is still worth sending: a runner must be able to answer. */
export const MIN_TIME_LEFT_MS = 60;

/** Whether it waits for a runner, is connecting, was written, or its response is being forwarded. */
export type RequestPhase = 'waiting' | 'connecting' | 'sent' | 'responding';

/** A request with its route and service, and its progress. */
export interface RoutedRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: Service;
  /** Key of the service, model and adapter that it needs; empty for a plain service. */
  readonly modelUnit: string;
  readonly arrivedAt: Moment;
  readonly deadline: Moment;
  /** When its client gives it up unless a response has begun; the deadline at the latest. */
  readonly patienceEnd: Moment;
  /** Whether it is its client's first attempt, as its remaining time suggests. */
  readonly isFirstAttempt: boolean;
  /** Prompt tokens of the blocks that other requests may share. */
  readonly sharedPrefixTokens: number;
  /** Key of those shared blocks, with model and adapter. */
  readonly sharedPrefixKey: string;
  phase: RequestPhase;
  /** Number of the current attempt; events of an earlier one are void. */
  attempt: number;
  /** The runner of the last attempt. */
  runner: string;
  sentAt: Moment;
  /** Runners that are not to be chosen again for it. */
  readonly triedRunners: Set<string>;
  /** Attempts that were written to a runner so far. */
  attemptsSent: number;
  /** Whether a runner may have processed it in an attempt that is over. */
  mayHaveRun: boolean;
  /** Whether the next attempt must use a new connection. */
  needsNewConnection: boolean;
  /** Whether any byte of a response was forwarded to the client. */
  isResponseStarted: boolean;
  /** The head of the response that was forwarded last; undefined before the first. */
  forwardedHead: ResponseHead | undefined;
  /** While it waits: when it is placed again. */
  placeAgainAt: Moment;
}

/** Whether another run of it does no harm, and its client can still be given that run's response. */
export function isRetryable(request: RoutedRequest): boolean {
  return isRepeatable(request) && (!request.isResponseStarted || isResponseContinuable(request));
}

/** Whether the response may be forwarded as the rest of the one that has begun, or none has begun. */
export function mayFollow(request: RoutedRequest, head: ResponseHead): boolean {
  if (!request.isResponseStarted) return true;
  const isSameKind = head.isEventStream && head.status === request.forwardedHead?.status;
  return isSameKind && isResponseContinuable(request);
}

/** Whether its route lets it be processed more than once. */
function isRepeatable({ route }: RoutedRequest): boolean {
  return route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);
}

/** Whether another run can go on with the response that has begun: only an event stream of a success has a rest to ask for. */
function isResponseContinuable({ route, forwardedHead }: RoutedRequest): boolean {
  return (
    route.kind === 'stream' &&
    forwardedHead !== undefined &&
    forwardedHead.isEventStream &&
    isSuccess(forwardedHead.status)
  );
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Whether it may be rejected, which promises that it was not processed: not once it may have been, or a response has begun. */
export function isRejectable(request: RoutedRequest): boolean {
  return !request.mayHaveRun && !request.isResponseStarted;
}

/** Orders by priority, then by arrival. */
export function byUrgency(a: RoutedRequest, b: RoutedRequest): number {
  return a.route.priority - b.route.priority || a.arrivedAt - b.arrivedAt;
}

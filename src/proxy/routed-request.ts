import type { Moment } from '../common/ids.js';
import type { Route, Service } from '../route/routing.js';
import type { RequestHead, ResponseHead } from './dispatch-types.js';

/** Phase of a request: waiting for a runner, connecting, written to a runner, or its response being forwarded. */
export type RequestPhase = 'waiting' | 'connecting' | 'sent' | 'responding';

/** A request with its route and service, and its progress. */
export interface RoutedRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: Service;
  /** Key of the service, model and adapter that the request needs; empty for a plain service. */
  readonly modelUnit: string;
  readonly arrivedAt: Moment;
  readonly deadline: Moment;
  /** Prompt tokens of the blocks that other requests may share. */
  readonly sharedPrefixTokens: number;
  /** Key of those shared blocks, with model and adapter. */
  readonly sharedPrefixKey: string;
  phase: RequestPhase;
  /** Number of the current attempt; events of an earlier one are ignored. */
  attempt: number;
  /** The runner of the last attempt. */
  runner: string;
  /** When the current attempt started to connect, or, once it was written, when that happened. */
  sentAt: Moment;
  /** Runners that must not be picked again for it. */
  readonly triedRunners: Set<string>;
  /** Attempts that were written to a runner so far. */
  attemptsSent: number;
  /** Whether a runner may have processed it in an earlier attempt. */
  mayHaveRun: boolean;
  /** Whether the next attempt must use a new connection. */
  needsNewConnection: boolean;
  /** Since when the client has received nothing: since the request arrived, or since the last data of a response. */
  clientSilentSince: Moment;
  /** Whether any byte of a response was forwarded to the client. */
  isResponseStarted: boolean;
  /** The head of the response that was forwarded last; undefined before the first. */
  forwardedHead: ResponseHead | undefined;
}

/** Whether the request was not offered to any runner yet, so that all runners are open to it. */
export function isUntried({ triedRunners, attemptsSent }: RoutedRequest): boolean {
  return triedRunners.size === 0 && attemptsSent === 0;
}

/** Whether processing the request again does no harm, and the client can still be given the new response. */
export function isRetryable(request: RoutedRequest): boolean {
  return isRepeatable(request) && (!request.isResponseStarted || isResponseContinuable(request));
}

/** Whether the response may be forwarded: as the first one, or as the continuation of the one that has started. */
export function canContinueWith(request: RoutedRequest, head: ResponseHead): boolean {
  if (!request.isResponseStarted) return true;
  const isSameKind = head.isEventStream && head.status === request.forwardedHead?.status;
  return isSameKind && isResponseContinuable(request);
}

/** Whether the route permits that the request is processed more than once. */
function isRepeatable({ route }: RoutedRequest): boolean {
  return route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);
}

/** Whether another attempt can continue the response that has started: only a successful event stream can be resumed. */
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

/** Whether it may be rejected, which states that it was not processed: not once it may have been, or a response started. */
export function isRejectable(request: RoutedRequest): boolean {
  return !request.mayHaveRun && !request.isResponseStarted;
}

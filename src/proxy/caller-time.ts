import { later, type Moment } from '../common/ids.js';
import { clientTimeoutAt } from './client-timeout.js';
import type { RoutedRequest } from './routed-request.js';

/** A refusal leaves this long before its client gives up, ms: the interval of two ticks, in which it is noticed and sent. */
export const REFUSAL_LEAD_MS = 100;

/** With less time than this no runner responds before the client gives up: a round trip and a step of its engine. */
const MIN_RUN_MS = 60;

/**
 * When the client of a request gives up: at the deadline that it stated, at its route's timeout, or, for a stream, once it
 * has received nothing for too long, whichever comes first.
 */
export function clientGivesUpAt({ route, clientSilentSince, deadline }: RoutedRequest): Moment {
  return clientTimeoutAt(route, clientSilentSince, deadline);
}

/** Whether the client waits long enough for a runner to respond, however fast it is. */
export function hasTimeToRun(now: Moment, request: RoutedRequest): boolean {
  return clientGivesUpAt(request) - now >= MIN_RUN_MS;
}

/** The latest moment at which a request that needs `neededMs` at a runner can start there, or be refused in time. */
export function latestStartAt(request: RoutedRequest, neededMs: number): Moment {
  return later(clientGivesUpAt(request), -Math.max(REFUSAL_LEAD_MS, neededMs));
}

import type { Moment } from '../common/ids.js';
import { latestStartAt } from './caller-time.js';
import type { ResponseTimes } from './response-times.js';
import type { RoutedRequest } from './routed-request.js';

interface RankedRequest {
  readonly request: RoutedRequest;
  readonly latestStartAt: Moment;
}

/**
 * The order in which waiting requests are served: by the priority of their routes; within a priority by the latest moment
 * at which they can start, so that the client with the least time to spare is served first. The time to spare of a request
 * that waits shrinks, while that of new ones begins in full: none is passed over without end.
 */
export function inServingOrder(
  requests: Iterable<RoutedRequest>,
  responseTimes: ResponseTimes,
): RoutedRequest[] {
  const ranked: RankedRequest[] = [];
  for (const request of requests) {
    const neededMs = responseTimes.neededMs(request.route);
    ranked.push({ request, latestStartAt: latestStartAt(request, neededMs) });
  }
  return ranked.sort(compare).map(({ request }) => request);
}

function compare(a: RankedRequest, b: RankedRequest): number {
  return (
    a.request.route.priority - b.request.route.priority ||
    a.latestStartAt - b.latestStartAt ||
    a.request.arrivedAt - b.request.arrivedAt
  );
}

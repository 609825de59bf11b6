import type { Moment } from '../common/ids.js';
import type { RoutedRequest } from './routed-request.js';

/** A request with the latest moment at which it can start so that its client is still served. */
export interface RankedRequest {
  readonly request: RoutedRequest;
  readonly latestStartAt: Moment;
}

/**
 * Whether a waiting request is served before another: by the priority of their routes; within a priority by the latest
 * moment at which they can start, so that the client with the least time to spare is served first. The time to spare of a
 * request that waits shrinks, while that of new ones begins in full: none is passed over without end.
 */
export function precedes(a: RankedRequest, b: RankedRequest): boolean {
  const { request: requestA } = a;
  const { request: requestB } = b;
  return (
    (requestA.route.priority - requestB.route.priority ||
      a.latestStartAt - b.latestStartAt ||
      requestA.arrivedAt - requestB.arrivedAt) < 0
  );
}

import { later, type Moment } from '../common/ids.js';
import type { Route } from '../route/routing.js';

/**
 * The client of an event stream aborts its request when it receives nothing, before the first event as well as between
 * events, for the longest of these: a fixed time, a multiple of the route's latency target, and a multiple of its target
 * for the gap between events. The protocol defines all three (docs/platform.md).
 */
const MIN_SILENCE_MS = 2000;
const LATENCY_TARGET_FACTOR = 4;
const GAP_TARGET_FACTOR = 8;

/** How long a client of the route waits without receiving anything, ms; Infinity where it waits until its deadline. */
export function silenceTimeoutMs(route: Route): number {
  if (route.kind !== 'stream') return Infinity;
  return Math.max(
    MIN_SILENCE_MS,
    route.latencyTargetMs * LATENCY_TARGET_FACTOR,
    route.gapTargetMs * GAP_TARGET_FACTOR,
  );
}

/** When the client of a request that arrived at `arrivedAt` aborts it if nothing has been sent by then. */
export function clientTimeoutAt(route: Route, arrivedAt: Moment, deadline: Moment): Moment {
  const silenceMs = silenceTimeoutMs(route);
  return silenceMs < deadline - arrivedAt ? later(arrivedAt, silenceMs) : deadline;
}

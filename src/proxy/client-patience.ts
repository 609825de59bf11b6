import { later, type Moment } from '../common/ids.js';
import type { Route } from '../route/routing.js';

/**
 * How long clients of streams put up with silence before they give a request up, its first event included: the longest
 * of a fixed time, a multiple of the latency target and a multiple of the longest pause between events. All three are
 * the protocol's (docs/platform.md).
 */
const MIN_SILENCE_MS = 2000;
const TARGETS_OF_SILENCE = 4;
const GAPS_OF_SILENCE = 8;

/** How long a client of the route waits in silence before it gives up, ms; Infinity where it waits until its deadline. */
export function silenceLimitMs(route: Route): number {
  if (route.kind !== 'stream') return Infinity;
  return Math.max(
    MIN_SILENCE_MS,
    route.latencyTargetMs * TARGETS_OF_SILENCE,
    route.gapTargetMs * GAPS_OF_SILENCE,
  );
}

/** When the client of a request that arrived at `arrivedAt` gives it up unless something was answered. */
export function patienceEnd(route: Route, arrivedAt: Moment, deadline: Moment): Moment {
  const silenceMs = silenceLimitMs(route);
  return silenceMs < deadline - arrivedAt ? later(arrivedAt, silenceMs) : deadline;
}

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

/**
 * The shortest time that a client waits on any route, ms. `timeLeftMs`: the time that its request states; undefined if it
 * states none.
 */
export function shortestClientTimeMs(timeLeftMs: number | undefined): number {
  return Math.min(timeLeftMs ?? MIN_SILENCE_MS, MIN_SILENCE_MS);
}

/** When a client that has received nothing since `silentSince` aborts its request if nothing is sent until then. */
export function clientTimeoutAt(route: Route, silentSince: Moment, deadline: Moment): Moment {
  const silenceMs = silenceTimeoutMs(route);
  return silenceMs < deadline - silentSince ? later(silentSince, silenceMs) : deadline;
}

import type { Scheduler } from './scheduler.js';
import type { SeededRandom } from './seeded-random.js';
import type { CallerRequest } from './sim-clients.js';

const MODEL_COUNT = 8;
/** Interval at which the busiest model changes, ms. */
const SHIFT_MS = 8000;
const LOOKUP_PROBABILITY = 0.3;
const STREAM_PROBABILITY = 0.75;
const ADAPTER_PROBABILITY = 0.5;
const MAX_TOKENS = 12;

/** Returns a request for a plain back end. */
export function lookupTraffic(): CallerRequest {
  return {
    type: 'lookup',
    method: 'GET',
    path: '/v1/lookups/1',
    model: '',
    adapter: '',
    once: false,
    tokens: 0,
  };
}

/** Draws a caller's next request; the popular models change with time, so that the placement has to follow. */
export function drawTraffic(scheduler: Scheduler, seeded: SeededRandom): CallerRequest {
  if (seeded.isLikely(LOOKUP_PROBABILITY)) return lookupTraffic();
  const shift = Math.floor(scheduler.now / SHIFT_MS);
  const model = `m-${(shift + Math.floor(3 * seeded.next() ** 2)) % MODEL_COUNT}`;
  const adapter = model === 'm-0' && seeded.isLikely(ADAPTER_PROBABILITY) ? 'm-0-a' : '';
  const isStream = seeded.isLikely(STREAM_PROBABILITY);
  return {
    type: isStream ? 'check' : 'sum',
    method: 'POST',
    path: isStream ? '/v1/checks' : '/v1/sums',
    model,
    adapter,
    once: true,
    tokens: 1 + seeded.below(MAX_TOKENS),
  };
}

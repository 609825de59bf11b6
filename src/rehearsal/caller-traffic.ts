import type { Scheduler } from './scheduler.js';
import type { Seeded } from './seeded.js';
import type { Traffic } from './sim-clients.js';

const MODELS = 8;
/** How long it takes for the busiest model to change, ms. */
const SHIFT_MS = 8000;
const LOOKUP_CHANCE = 0.3;
const STREAM_CHANCE = 0.75;
const ADAPTER_CHANCE = 0.5;
const MOST_TOKENS = 12;

/** A lookup at a plain back end. */
export function lookup(): Traffic {
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

/** What a caller asks for next; it shifts with time, so that places have to follow. */
export function drawTraffic(scheduler: Scheduler, seeded: Seeded): Traffic {
  if (seeded.isLikely(LOOKUP_CHANCE)) return lookup();
  const shift = Math.floor(scheduler.now / SHIFT_MS);
  const model = `m-${(shift + Math.floor(3 * seeded.next() ** 2)) % MODELS}`;
  const adapter = model === 'm-0' && seeded.isLikely(ADAPTER_CHANCE) ? 'm-0-a' : '';
  const isStream = seeded.isLikely(STREAM_CHANCE);
  return {
    type: isStream ? 'check' : 'sum',
    method: 'POST',
    path: isStream ? '/v1/checks' : '/v1/sums',
    model,
    adapter,
    once: true,
    tokens: 1 + seeded.below(MOST_TOKENS),
  };
}

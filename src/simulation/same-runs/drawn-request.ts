import type { PrefixBlock, RequestHead } from '../../proxy/dispatcher.js';
import type { SeededRandom } from '../../rehearsal/seeded-random.js';
import { ADAPTERS, adapterName, HOST, modelName, PATHS } from './drawn-routing.js';

/** The number of texts from which shared parts of prompts are drawn. */
const SHARED_PREFIXES = 5;
const MAX_PROMPT_TOKENS = 4000;

/**
 * Draws a request for one of `models` models, most often for the first ones. Now and then it names a model that no
 * runner has.
 */
export function drawHead(random: SeededRandom, id: number, models: number): RequestHead {
  const index = Math.floor((models + 1) * random.next() ** 2);
  const adapter = index === 0 && random.isLikely(0.5) ? adapterName(random.below(ADAPTERS)) : '';
  return {
    id,
    host: random.isLikely(0.98) ? HOST : 'other.example',
    path: random.pick(PATHS) ?? '',
    model: modelName(index),
    adapter,
    promptTokens: 1 + random.below(MAX_PROMPT_TOKENS),
    prefix: drawPrefix(random, id),
    timeLeftMs: random.isLikely(0.7) ? 50 + random.below(5000) : undefined,
  };
}

function drawPrefix(random: SeededRandom, id: number): readonly PrefixBlock[] {
  if (random.isLikely(0.4)) return [];
  const prefix: PrefixBlock[] = [];
  const partCount = random.below(3);
  for (let index = 0; index < partCount; index += 1) {
    prefix.push({ id: `p${random.below(SHARED_PREFIXES)}`, tokens: 200 + random.below(900) });
  }
  return [...prefix, { id: `own-${id}`, tokens: 100 }];
}

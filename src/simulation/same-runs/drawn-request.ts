import type { PrefixBlock, RequestHead } from '../../proxy/dispatcher.js';
import type { Seeded } from '../../rehearsal/seeded.js';
import { ADAPTERS, adapterName, HOST, modelName, PATHS } from './drawn-routing.js';

/** Shared parts of prompts come from so many texts. */
const PARTS = 5;
const MOST_PROMPT_TOKENS = 4000;

/** A request for one of so many models; the first models are asked for most. One more is named that nobody has. */
export function drawHead(random: Seeded, id: number, models: number): RequestHead {
  const place = Math.floor((models + 1) * random.next() ** 2);
  const adapter = place === 0 && random.isLikely(0.5) ? adapterName(random.below(ADAPTERS)) : '';
  return {
    id,
    host: random.isLikely(0.98) ? HOST : 'other.example',
    path: random.pick(PATHS) ?? '',
    model: modelName(place),
    adapter,
    promptTokens: 1 + random.below(MOST_PROMPT_TOKENS),
    prefix: drawPrefix(random, id),
    timeLeftMs: random.isLikely(0.7) ? 50 + random.below(5000) : undefined,
  };
}

function drawPrefix(random: Seeded, id: number): readonly PrefixBlock[] {
  if (random.isLikely(0.4)) return [];
  const prefix: PrefixBlock[] = [];
  const parts = random.below(3);
  for (let place = 0; place < parts; place += 1) {
    prefix.push({ id: `p${random.below(PARTS)}`, tokens: 200 + random.below(900) });
  }
  return [...prefix, { id: `own-${id}`, tokens: 100 }];
}

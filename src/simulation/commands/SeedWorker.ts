import { enums, is, number, type } from 'superstruct';
import { SHAPE_NAMES } from '../RunShape.js';
import { runSeed } from '../SeedRun.js';

/** What the pool asks of a worker process: one seed. */
const AskShape = type({ seed: number(), shape: enums([...SHAPE_NAMES]) });

function work(message: unknown): void {
  if (is(message, AskShape)) process.send?.(runSeed(message.seed, message.shape));
}

process.on('message', work);

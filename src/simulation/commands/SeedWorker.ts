import { enums, is, number, type } from 'superstruct';
import { runSeed } from '../SeedRun.js';

/** What the pool asks of a worker process: one seed. */
const AskShape = type({ seed: number(), nodes: enums([3, 5]) });

function work(message: unknown): void {
  if (is(message, AskShape)) process.send?.(runSeed(message.seed, message.nodes));
}

process.on('message', work);

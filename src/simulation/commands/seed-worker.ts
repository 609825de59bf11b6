import { enums, is, number, type } from 'superstruct';
import { SHAPE_NAMES } from '../run-shape.js';
import { runSeed } from '../seed-run.js';

/** What the pool asks of a worker process: one seed. */
const RunRequestShape = type({ seed: number(), shape: enums([...SHAPE_NAMES]) });

function handleRequest(message: unknown): void {
  if (is(message, RunRequestShape)) process.send?.(runSeed(message.seed, message.shape));
}

process.on('message', handleRequest);

import { enums, is, number, type } from 'superstruct';
import { SHAPE_NAMES } from '../run-shape.js';
import { runSeed } from '../seed-run.js';

/** A request of the pool to a worker process: one seed and its shape. */
const RunRequestShape = type({ seed: number(), shape: enums([...SHAPE_NAMES]) });

function handleRequest(message: unknown): void {
  if (is(message, RunRequestShape)) process.send?.(runSeed(message.seed, message.shape));
}

process.on('message', handleRequest);

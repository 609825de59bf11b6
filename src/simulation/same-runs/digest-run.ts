import { is, number, string, type, type Infer } from 'superstruct';

/** One run requested from a worker process: a pinned kind and a seed. */
export const DigestRunShape = type({ kind: string(), seed: number() });
/** One run requested from a worker process. */
export type DigestRun = Infer<typeof DigestRunShape>;

const DigestResultShape = type({ kind: string(), seed: number(), digest: string() });
/** The digest of a run, sent by a worker process. */
export type DigestResult = Infer<typeof DigestResultShape>;

/** Whether a worker's message is a result. */
export function isDigestResult(message: unknown): message is DigestResult {
  return is(message, DigestResultShape);
}

import { is, number, string, type, type Infer } from 'superstruct';

/** One run that a worker process is asked for. */
export const DigestRunShape = type({ kind: string(), seed: number() });
export type DigestRun = Infer<typeof DigestRunShape>;

const DigestResultShape = type({ kind: string(), seed: number(), digest: string() });
export type DigestResult = Infer<typeof DigestResultShape>;

export function isDigestResult(message: unknown): message is DigestResult {
  return is(message, DigestResultShape);
}

import { is } from 'superstruct';
import { DigestRunShape, type DigestResult } from './digest-run.js';
import { isPinnedKind, PINNED_KINDS } from './pinned-runs.js';

function runDigest(message: unknown): void {
  if (!is(message, DigestRunShape) || !isPinnedKind(message.kind)) return;
  const { kind, seed } = message;
  const result: DigestResult = { kind, seed, digest: PINNED_KINDS[kind].run(seed) };
  process.send?.(result);
}

process.on('message', runDigest);

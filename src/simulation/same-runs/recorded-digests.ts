import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { assert, record, string } from 'superstruct';

/** The committed digests; the path is correct both from the sources and from the compiled code. */
const FILE = fileURLToPath(new URL('../../../test-data/same-runs/digests.json', import.meta.url));

const DigestsShape = record(string(), record(string(), string()));
const JSON_INDENT = 2;

/** The digests that were recorded by an earlier build: by kind of run, then by seed. */
export class RecordedDigests {
  readonly #byKind: Record<string, Record<string, string>>;

  /** Reads the committed file; a missing file counts as no recorded digests. Throws if its format is invalid. */
  constructor() {
    const value: unknown = existsSync(FILE) ? JSON.parse(readFileSync(FILE, 'utf8')) : {};
    assert(value, DigestsShape);
    this.#byKind = value;
  }

  /** Returns the digest recorded for a seed; undefined if there is none. */
  of(kind: string, seed: number): string | undefined {
    return this.#byKind[kind]?.[String(seed)];
  }

  /** Sets the digest of a seed in memory. */
  set(kind: string, seed: number, digest: string): void {
    const bySeed = (this.#byKind[kind] ??= {});
    bySeed[String(seed)] = digest;
  }

  /** Writes all digests to the committed file. */
  save(): void {
    writeFileSync(FILE, `${JSON.stringify(this.#byKind, undefined, JSON_INDENT)}\n`);
  }
}

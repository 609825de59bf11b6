import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { assert, record, string } from 'superstruct';

/** The committed digests, found from the sources and from the compiled code alike. */
const FILE = fileURLToPath(new URL('../../../test-data/same-runs/digests.json', import.meta.url));

const DigestsShape = record(string(), record(string(), string()));
const INDENT = 2;

/** The digests that were recorded by an earlier build: by kind of run, then by seed. */
export class RecordedDigests {
  readonly #byKind: Record<string, Record<string, string>>;

  /** Reads the committed file; where there is none, nothing is recorded. */
  constructor() {
    const value: unknown = existsSync(FILE) ? JSON.parse(readFileSync(FILE, 'utf8')) : {};
    assert(value, DigestsShape);
    this.#byKind = value;
  }

  /** The digest recorded for a seed; nothing if it was never run. */
  of(kind: string, seed: number): string | undefined {
    return this.#byKind[kind]?.[String(seed)];
  }

  set(kind: string, seed: number, digest: string): void {
    const bySeed = (this.#byKind[kind] ??= {});
    bySeed[String(seed)] = digest;
  }

  save(): void {
    writeFileSync(FILE, `${JSON.stringify(this.#byKind, undefined, INDENT)}\n`);
  }
}

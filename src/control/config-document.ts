import type { Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { Version } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import { CONFIG_PART } from '../state/part-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { decodeConfigDoc, encodeConfigDoc, mustDecodeConfigDoc } from './config-codec.js';
import { ConfigNewsShape, firstDoc, type ConfigDoc, type ConfigNews } from './config-doc.js';
import type { PartWriter } from './part-writer.js';

/** Where the configuration is kept and told. */
export interface ConfigDocumentParts {
  readonly seeds: readonly string[];
  readonly parts: ReplicatedState;
  readonly writer: PartWriter;
  readonly relay: Relay;
}

/** The configuration at the leader: as last written, and as last committed. */
export class ConfigDocument {
  readonly #parts: ConfigDocumentParts;
  #newest: ConfigDoc;
  #committed: ConfigDoc;

  constructor(parts: ConfigDocumentParts) {
    this.#parts = parts;
    this.#newest = firstDoc(parts.seeds);
    this.#committed = this.#newest;
  }

  /** As last written here, committed or not. */
  newest(): ConfigDoc {
    return this.#newest;
  }

  /** The newest that is known to be on a majority; the same object as `newest()` where nothing else is written. */
  committed(): ConfigDoc {
    return this.#committed;
  }

  /** Whether a write of it is still without its majority. */
  get isWriting(): boolean {
    return this.#parts.parts.isWriting(CONFIG_PART);
  }

  /** Takes what was read while beginning to lead; says whether there was any. */
  load(): boolean {
    const body = this.#parts.parts.body(CONFIG_PART);
    this.#newest = body === '' ? firstDoc(this.#parts.seeds) : mustDecodeConfigDoc(body);
    // It was rewritten by a majority in our epoch before we serve.
    this.#committed = this.#newest;
    return body !== '';
  }

  /** Writes a configuration; `token` comes back with its commit. */
  write(now: Moment, doc: ConfigDoc, token: number): void {
    this.#newest = doc;
    this.#parts.writer.write(now, CONFIG_PART, encodeConfigDoc(doc), token);
  }

  /** A write was committed as this version: it is told to every node. */
  commit(version: Version): void {
    const doc = decodeConfigDoc(this.#parts.writer.take(CONFIG_PART, version));
    if (!doc) return;
    this.#publish(version, doc);
    this.#committed = this.isWriting ? doc : this.#newest;
  }

  /** Tells every node what was loaded. */
  publishLoaded(): void {
    this.#publish(this.#parts.parts.versionOf(CONFIG_PART), this.#newest);
  }

  /** A configuration told here that is newer than the one held: no majority has it any more. */
  lostNews(): ConfigNews | undefined {
    const told = parseAs(ConfigNewsShape, this.#parts.relay.item('config')?.body ?? '');
    return told && told.number > this.#newest.number ? told : undefined;
  }

  /** Writes what is held anew, with what was told and lost laid over it. */
  recover(now: Moment, lost: ConfigNews | undefined): void {
    this.write(now, lost ? withNews(this.#newest, lost) : this.#newest, 0);
  }

  #publish(version: Version, doc: ConfigDoc): void {
    const { number: count, table, emptied, voters, routing } = doc;
    const body = JSON.stringify({ number: count, table, emptied, voters, routing });
    this.#parts.relay.offer('config', version, body);
  }
}

/** The voters stay: who votes is not for members to tell. */
function withNews(doc: ConfigDoc, news: ConfigNews): ConfigDoc {
  const { number: count, table, emptied, routing } = news;
  return { ...doc, number: count, table, emptied, ...(routing ? { routing } : {}) };
}

import type { Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { Version } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { decodeConfigDoc, encodeConfigDoc, mustDecodeConfigDoc } from './config-codec.js';
import {
  ConfigUpdateShape,
  initialDoc,
  type ConfigDoc,
  type ConfigUpdate,
} from './config-shapes.js';
import type { PartitionWriter } from './partition-writer.js';

/** Where the configuration is kept and told. */
export interface ConfigStoreDependencies {
  readonly seeds: readonly string[];
  readonly state: ReplicatedState;
  readonly writer: PartitionWriter;
  readonly relay: Relay;
}

/** The configuration at the leader: as last written, and as last committed. */
export class ConfigStore {
  readonly #dependencies: ConfigStoreDependencies;
  #newest: ConfigDoc;
  #committed: ConfigDoc;

  constructor(parts: ConfigStoreDependencies) {
    this.#dependencies = parts;
    this.#newest = initialDoc(parts.seeds);
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
    return this.#dependencies.state.isWriting(CONFIG_PARTITION);
  }

  /** Takes what was read while beginning to lead; says whether there was any. */
  load(): boolean {
    const body = this.#dependencies.state.body(CONFIG_PARTITION);
    this.#newest = body === '' ? initialDoc(this.#dependencies.seeds) : mustDecodeConfigDoc(body);
    // It was rewritten by a majority in our epoch before we serve.
    this.#committed = this.#newest;
    return body !== '';
  }

  /** Writes a configuration; `token` comes back with its commit. */
  write(now: Moment, doc: ConfigDoc, token: number): void {
    this.#newest = doc;
    this.#dependencies.writer.write(now, CONFIG_PARTITION, encodeConfigDoc(doc), token);
  }

  /** A write was committed as this version: it is told to every node. */
  onCommitted(version: Version): void {
    const doc = decodeConfigDoc(this.#dependencies.writer.takeCommitted(CONFIG_PARTITION, version));
    if (!doc) return;
    this.#publish(version, doc);
    this.#committed = this.isWriting ? doc : this.#newest;
  }

  /** Tells every node what was loaded. */
  publishLoaded(): void {
    this.#publish(this.#dependencies.state.versionOf(CONFIG_PARTITION), this.#newest);
  }

  /** A configuration told here that is newer than the one held: no majority has it any more. */
  unstoredUpdate(): ConfigUpdate | undefined {
    const told = parseAs(ConfigUpdateShape, this.#dependencies.relay.latest('config')?.body ?? '');
    return told && told.number > this.#newest.number ? told : undefined;
  }

  /** Writes what is held anew, with what was told and lost laid over it. */
  recover(now: Moment, lost: ConfigUpdate | undefined): void {
    this.write(now, lost ? withUpdate(this.#newest, lost) : this.#newest, 0);
  }

  #publish(version: Version, doc: ConfigDoc): void {
    const { number: count, table, emptied, voters, routing } = doc;
    const body = JSON.stringify({ number: count, table, emptied, voters, routing });
    this.#dependencies.relay.offer('config', version, body);
  }
}

/** The voters stay: who votes is not for members to tell. */
function withUpdate(doc: ConfigDoc, news: ConfigUpdate): ConfigDoc {
  const { number: count, table, emptied, routing } = news;
  return { ...doc, number: count, table, emptied, ...(routing ? { routing } : {}) };
}

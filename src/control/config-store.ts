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

/** The components by which the configuration is stored and published. */
export interface ConfigStoreDependencies {
  readonly seeds: readonly string[];
  readonly state: ReplicatedState;
  readonly writer: PartitionWriter;
  readonly relay: Relay;
}

/** The configuration document at the leader: as last written, and as last committed. */
export class ConfigStore {
  readonly #dependencies: ConfigStoreDependencies;
  #newest: ConfigDoc;
  #committed: ConfigDoc;

  constructor(dependencies: ConfigStoreDependencies) {
    this.#dependencies = dependencies;
    this.#newest = initialDoc(dependencies.seeds);
    this.#committed = this.#newest;
  }

  /** The document as last written by this leader, committed or not. */
  newest(): ConfigDoc {
    return this.#newest;
  }

  /** The newest document known to be stored at a majority; the same object as `newest()` if no write is in flight. */
  committed(): ConfigDoc {
    return this.#committed;
  }

  /** Whether a write is not yet stored at a majority. */
  get isWriting(): boolean {
    return this.#dependencies.state.isWriting(CONFIG_PARTITION);
  }

  /**
   * Loads the document that was read during the takeover; returns whether there was one. Throws a `MalformedRequestError` if
   * it is malformed.
   */
  load(): boolean {
    const body = this.#dependencies.state.body(CONFIG_PARTITION);
    this.#newest = body === '' ? initialDoc(this.#dependencies.seeds) : mustDecodeConfigDoc(body);
    // Before this node serves, it was rewritten at a majority in this node's epoch.
    this.#committed = this.#newest;
    return body !== '';
  }

  /** Writes a document; `token` is returned with its commit, 0 if no edit waits for the commit. */
  write(now: Moment, doc: ConfigDoc, token: number): void {
    this.#newest = doc;
    this.#dependencies.writer.write(now, CONFIG_PARTITION, encodeConfigDoc(doc), token);
  }

  /** A write was committed as this version: it is published to every node. */
  onCommitted(version: Version): void {
    const doc = decodeConfigDoc(this.#dependencies.writer.takeCommitted(CONFIG_PARTITION, version));
    if (!doc) return;
    this.#publish(version, doc);
    this.#committed = this.isWriting ? doc : this.#newest;
  }

  /** Publishes the loaded document to every node. */
  publishLoaded(): void {
    this.#publish(this.#dependencies.state.versionOf(CONFIG_PARTITION), this.#newest);
  }

  /** A published configuration that is newer than the stored document: it is no longer stored at a majority. */
  unstoredUpdate(): ConfigUpdate | undefined {
    const published = parseAs(
      ConfigUpdateShape,
      this.#dependencies.relay.latest('config')?.body ?? '',
    );
    return published && published.number > this.#newest.number ? published : undefined;
  }

  /** Rewrites the document, merged with a published configuration that the replicas have lost. */
  recover(now: Moment, update: ConfigUpdate | undefined): void {
    this.write(now, update ? withUpdate(this.#newest, update) : this.#newest, 0);
  }

  #publish(version: Version, doc: ConfigDoc): void {
    const { number: count, table, emptied, voters, routing } = doc;
    const body = JSON.stringify({ number: count, table, emptied, voters, routing });
    this.#dependencies.relay.offer('config', version, body);
  }
}

/** Keeps the document's voters, since the voter set is not taken from members. */
function withUpdate(doc: ConfigDoc, update: ConfigUpdate): ConfigDoc {
  const { number: count, table, emptied, routing } = update;
  return { ...doc, number: count, table, emptied, ...(routing ? { routing } : {}) };
}

import type { Quorum } from '../common/quorum.js';
import { isNewer, type Version } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import type { Elector } from '../election/elector.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { quorumOf } from './config-voters.js';
import type { ControlCounters } from './control-metrics.js';

/** A configuration as it is stored or told. */
export interface VersionedConfig {
  readonly version: Version;
  readonly body: string;
}

/** Where configurations are found, and who has to know the voters that they name. */
export interface VoterSources {
  readonly elector: Elector;
  readonly state: ReplicatedState;
  /** What the leader told as committed; nothing where a node follows the voters of its own copy alone. */
  readonly relay: Relay | undefined;
  readonly counters: ControlCounters;
}

/** Who votes, by the newest configuration known to this node. */
export class FollowedVoters {
  readonly #sources: VoterSources;
  #quorum: Quorum;
  /** The configuration whose voters are followed. */
  #followed = '';
  /** The newest configuration read while beginning to lead, where it names other voters. */
  #read: VersionedConfig | undefined;

  constructor(seeds: Quorum, sources: VoterSources) {
    this.#quorum = seeds;
    this.#sources = sources;
  }

  get quorum(): Quorum {
    return this.#quorum;
  }

  /** Takes up the voters of the newest configuration, if it is another one than before. */
  follow(): void {
    const body = this.#newestConfig();
    if (body === this.#followed) return;
    this.#followed = body;
    const quorum = quorumOf(body);
    if (quorum) this.useQuorum(quorum);
  }

  /** From here on these decide. */
  useQuorum(quorum: Quorum): void {
    if (quorum.text === this.#quorum.text) return;
    this.#quorum = quorum;
    this.#sources.counters.countVoterChange();
    this.#sources.elector.setQuorum(quorum);
    this.#sources.state.setQuorum(quorum);
  }

  /** A configuration was read from a majority while beginning to lead. */
  onConfigRead(config: VersionedConfig): void {
    this.#read = config;
  }

  /** This node no longer begins to lead. */
  clearConfigRead(): void {
    this.#read = undefined;
  }

  /** Our own copy, one told as committed, or one read while beginning to lead. */
  #newestConfig(): string {
    let version = this.#sources.state.versionOf(CONFIG_PARTITION);
    let body = this.#sources.state.replicaBody(CONFIG_PARTITION);
    for (const other of [this.#sources.relay?.latest('config'), this.#read]) {
      if (!other || !isNewer(other.version, version)) continue;
      version = other.version;
      body = other.body;
    }
    return body;
  }
}

import type { Quorum } from '../common/quorum.js';
import { isNewer, type Version } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import type { Elector } from '../election/elector.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { quorumOf } from './config-voters.js';
import type { ControlCounters } from './control-metrics.js';

/** The text of a stored or published configuration, with its version. */
export interface VersionedConfig {
  readonly version: Version;
  readonly body: string;
}

/** The sources of configurations, and the components that use the voters named in them. */
export interface VoterSources {
  readonly elector: Elector;
  readonly state: ReplicatedState;
  /** Committed configurations that the leader published; `undefined` where only the local replica is followed. */
  readonly relay: Relay | undefined;
  readonly counters: ControlCounters;
}

/** The quorum of voters by the newest configuration that this node knows, as joint consensus requires. */
export class FollowedVoters {
  readonly #sources: VoterSources;
  #quorum: Quorum;
  /** The text of the configuration that was applied last. */
  #appliedConfig = '';
  /** The newest configuration read while taking over the leadership, if it names other voters. */
  #configRead: VersionedConfig | undefined;

  constructor(seeds: Quorum, sources: VoterSources) {
    this.#quorum = seeds;
    this.#sources = sources;
  }

  /** The voters in effect, in one set or in the two sets of a joint configuration. */
  get quorum(): Quorum {
    return this.#quorum;
  }

  /** Applies the voters of the newest configuration, if it changed. */
  follow(): void {
    const body = this.#newestConfig();
    if (body === this.#appliedConfig) return;
    this.#appliedConfig = body;
    const quorum = quorumOf(body);
    if (quorum) this.useQuorum(quorum);
  }

  /** Puts these voters into effect, for elections and for the replicated state. */
  useQuorum(quorum: Quorum): void {
    if (quorum.text === this.#quorum.text) return;
    this.#quorum = quorum;
    this.#sources.counters.countVoterChange();
    this.#sources.elector.setQuorum(quorum);
    this.#sources.state.setQuorum(quorum);
  }

  /** A configuration was read from a majority while taking over the leadership. */
  onConfigRead(config: VersionedConfig): void {
    this.#configRead = config;
  }

  /** This node no longer takes over: the configuration that it read is ignored from now on. */
  clearConfigRead(): void {
    this.#configRead = undefined;
  }

  /** The newest of three configurations: in the local replica, published, and read while taking over. */
  #newestConfig(): string {
    let version = this.#sources.state.versionOf(CONFIG_PARTITION);
    let body = this.#sources.state.replicaBody(CONFIG_PARTITION);
    for (const other of [this.#sources.relay?.latest('config'), this.#configRead]) {
      if (!other || !isNewer(other.version, version)) continue;
      version = other.version;
      body = other.body;
    }
    return body;
  }
}

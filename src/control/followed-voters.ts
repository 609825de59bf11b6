import type { Quorum } from '../common/quorum.js';
import { isNewer, type Version } from '../common/version.js';
import type { Relay } from '../dissemination/relay.js';
import type { Elector } from '../election/elector.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { quorumOf, votersOnly } from './config-voters.js';
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
  /** The newest voters that another control node sent from its replica, as a configuration without its other fields. */
  #reported: VersionedConfig | undefined;

  constructor(seeds: Quorum, sources: VoterSources) {
    this.#quorum = seeds;
    this.#sources = sources;
  }

  /** The voters in effect, in one set or in the two sets of a joint configuration. */
  get quorum(): Quorum {
    return this.#quorum;
  }

  /**
   * The voters of the newest configuration that this node knows, committed or not, as a configuration without its other
   * fields; `undefined` if that configuration is not newer than this version.
   */
  newerThan(version: Version): VersionedConfig | undefined {
    const newest = this.#newestConfig();
    if (!isNewer(newest.version, version)) return undefined;
    const voters = votersOnly(newest.body);
    return voters === undefined ? undefined : { version: newest.version, body: voters };
  }

  /** Applies the voters of the newest configuration, if it changed. */
  follow(): void {
    const { body } = this.#newestConfig();
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

  /**
   * Another control node sent the newest voters that it knows. They apply here if they are newer, but are not stored: what
   * this node has on disk is decided by leaders alone. Returns whether they apply.
   */
  onVotersReported(reported: VersionedConfig): boolean {
    if (quorumOf(reported.body) === undefined) return false;
    if (!isNewer(reported.version, this.#newestConfig().version)) return false;
    this.#reported = reported;
    this.follow();
    return true;
  }

  /** The newest of four configurations: in the local replica, published, read while taking over, and reported. */
  #newestConfig(): VersionedConfig {
    let newest: VersionedConfig = {
      version: this.#sources.state.versionOf(CONFIG_PARTITION),
      body: this.#sources.state.replicaBody(CONFIG_PARTITION),
    };
    const published = this.#sources.relay?.latest('config');
    for (const other of [published, this.#configRead, this.#reported])
      if (other && isNewer(other.version, newest.version)) newest = other;
    return newest;
  }
}

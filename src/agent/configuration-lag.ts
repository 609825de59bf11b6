import type { Moment } from '../common/ids.js';
import { compareVersions, NO_VERSION, versionsBetween, type Version } from '../common/version.js';

/** Tracks how far the configuration of an agent is behind that of the control nodes. */
export class ConfigurationLag {
  #newest: Version = NO_VERSION;
  #behindSince: Moment | undefined;

  /** A control node announced the version of its configuration; the agent has version `known`. */
  onAnnounced(now: Moment, { epoch, count }: Version, known: Version): void {
    const wasBehind = this.versions(known) > 0;
    if (compareVersions({ epoch, count }, this.#newest) > 0) this.#newest = { epoch, count };
    if (!wasBehind) this.#behindSince = now;
  }

  /** How many versions `known` is behind the newest one announced. */
  versions(known: Version): number {
    return versionsBetween(known, this.#newest);
  }

  /** How long the agent has been behind, in milliseconds; 0 if it is not. */
  durationMs(now: Moment, known: Version): number {
    const since = this.versions(known) > 0 ? this.#behindSince : undefined;
    return since === undefined ? 0 : now - since;
  }
}

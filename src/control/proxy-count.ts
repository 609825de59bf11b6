import type { Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import { SlidingMaximum } from '../common/sliding-maximum.js';
import type { Relay } from '../dissemination/relay.js';
import { PROXY_COUNT_RETENTION_MS, ProxyCountShape } from '../placement/fleet.js';
import type { KnownMembers } from './known-members.js';

/** Topics whose updates carry the number of proxies. */
const TOPICS = ['fleet', 'places'] as const;

/**
 * The number of proxies by which the leader divides fleet-wide limits. An increase takes effect at once; a decrease only
 * `PROXY_COUNT_RETENTION_MS` after the larger number was last seen, since proxies that are not known at the moment may
 * still be serving.
 */
export class ProxyCount {
  readonly #members: KnownMembers;
  readonly #relay: Relay;
  #recent = new SlidingMaximum(PROXY_COUNT_RETENTION_MS);

  constructor(members: KnownMembers, relay: Relay) {
    this.#members = members;
    this.#relay = relay;
  }

  /** This node became the leader: the number that the previous leader published holds until the members had time to become known. */
  beginLeading(now: Moment): void {
    this.#recent = new SlidingMaximum(PROXY_COUNT_RETENTION_MS);
    for (const topic of TOPICS) {
      const update = this.#relay.latest(topic);
      const published = update && parseAs(ProxyCountShape, update.body);
      if (published) this.#recent.set(now, published.flows);
    }
  }

  /** The number in effect; at least one. */
  current(now: Moment): number {
    this.#recent.set(now, this.#members.count());
    return this.#recent.value(now);
  }
}

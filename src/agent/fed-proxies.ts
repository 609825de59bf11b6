import type { Moment } from '../common/ids.js';
import type { KnownVersion } from '../common/messages.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';

/** By how much of itself a clock may be fast or slow. A disconnected proxy may work by a slower one than ours. */
const CLOCK_DRIFT = 0.01;

interface ProxyState {
  /** The configuration by which it works. */
  acked: Version;
  disconnectedAt: Moment | undefined;
}

/** The proxies that an agent feeds, with the configuration by which each works. */
export class FedProxies {
  readonly #proxies = new Map<string, ProxyState>();
  readonly #retentionMs: number;

  /** A proxy may be fresh through an earlier incarnation of this agent: one such counts until its bound has passed. */
  constructor(freshnessBoundMs: number, now: Moment) {
    this.#retentionMs = freshnessBoundMs * (1 + 2 * CLOCK_DRIFT);
    this.#proxies.set('', { acked: NO_VERSION, disconnectedAt: now });
  }

  /** How many are connected. */
  get connected(): number {
    return [...this.#proxies.values()].filter((proxy) => proxy.disconnectedAt === undefined).length;
  }

  /** A proxy sent a request. One that comes back starts anew. */
  onRequest(id: string): void {
    if (this.#proxies.get(id)?.disconnectedAt !== undefined) this.#proxies.delete(id);
    if (!this.#proxies.has(id))
      this.#proxies.set(id, { acked: NO_VERSION, disconnectedAt: undefined });
  }

  /** A node named its versions. A proxy applies a configuration as it receives it, so that naming it acknowledges it. */
  onKnownVersions(id: string, have: readonly KnownVersion[]): void {
    const config = have.find(({ topic }) => topic === 'config');
    if (config) this.onAck(id, config);
  }

  /** A proxy acknowledged a configuration. */
  onAck(id: string, { epoch, count }: Version): void {
    const proxy = this.#proxies.get(id);
    if (proxy) proxy.acked = { epoch, count };
  }

  /** A connection closed. The proxy may still be fresh, and counts until its bound has surely passed. */
  onDisconnect(now: Moment, id: string): void {
    const proxy = this.#proxies.get(id);
    if (proxy) proxy.disconnectedAt = now;
  }

  /** Forgets proxies that were disconnected for longer than the freshness bound, by any clock. */
  tick(now: Moment): void {
    for (const [id, { disconnectedAt }] of this.#proxies)
      if (disconnectedAt !== undefined && now - disconnectedAt > this.#retentionMs)
        this.#proxies.delete(id);
  }

  /** The newest configuration, at most `known`, by which every proxy works. */
  acked(known: Version): Version {
    let oldest = known;
    for (const { acked } of this.#proxies.values())
      if (compareVersions(acked, oldest) < 0) oldest = acked;
    return oldest;
  }
}

import type { Moment } from '../common/ids.js';
import type { KnownVersion } from '../common/messages.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';

/**
 * Maximum rate error of a clock, fast or slow, as a fraction. The clock of a disconnected proxy may run slower than that of
 * this agent.
 */
const CLOCK_DRIFT = 0.01;

interface ProxyState {
  /** The configuration that it has applied. */
  acked: Version;
  disconnectedAt: Moment | undefined;
}

/** The proxies that get updates from an agent, with the configuration that each has applied. */
export class FedProxies {
  readonly #proxies = new Map<string, ProxyState>();
  readonly #retentionMs: number;

  /**
   * A proxy may still be fresh because of a confirmation from an earlier incarnation of this agent. One such unknown proxy
   * is assumed until the freshness bound has passed.
   */
  constructor(freshnessBoundMs: number, now: Moment) {
    this.#retentionMs = freshnessBoundMs * (1 + 2 * CLOCK_DRIFT);
    this.#proxies.set('', { acked: NO_VERSION, disconnectedAt: now });
  }

  /** Number of connected proxies. */
  get connected(): number {
    return [...this.#proxies.values()].filter((proxy) => proxy.disconnectedAt === undefined).length;
  }

  /** A proxy sent a request. One that had disconnected starts without an acknowledged configuration. */
  onRequest(id: string): void {
    if (this.#proxies.get(id)?.disconnectedAt !== undefined) this.#proxies.delete(id);
    if (!this.#proxies.has(id))
      this.#proxies.set(id, { acked: NO_VERSION, disconnectedAt: undefined });
  }

  /** A node reported its versions. A proxy applies a configuration on receipt, so reporting it acknowledges it. */
  onKnownVersions(id: string, have: readonly KnownVersion[]): void {
    const config = have.find(({ topic }) => topic === 'config');
    if (config) this.onAck(id, config);
  }

  /** A proxy acknowledged a configuration. */
  onAck(id: string, { epoch, count }: Version): void {
    const proxy = this.#proxies.get(id);
    if (proxy) proxy.acked = { epoch, count };
  }

  /** A connection closed. The proxy may still be fresh, so it counts until its bound has passed by any clock. */
  onDisconnect(now: Moment, id: string): void {
    const proxy = this.#proxies.get(id);
    if (proxy) proxy.disconnectedAt = now;
  }

  /** Removes proxies that have been disconnected for longer than the freshness bound by any clock. */
  tick(now: Moment): void {
    for (const [id, { disconnectedAt }] of this.#proxies)
      if (disconnectedAt !== undefined && now - disconnectedAt > this.#retentionMs)
        this.#proxies.delete(id);
  }

  /** The newest configuration, at most `known`, that every proxy has applied. */
  acked(known: Version): Version {
    let oldest = known;
    for (const { acked } of this.#proxies.values())
      if (compareVersions(acked, oldest) < 0) oldest = acked;
    return oldest;
  }
}

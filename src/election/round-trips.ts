import type { NodeId } from '../common/ids.js';
import type { Quorum } from '../common/quorum.js';

/** The newest round trips retained for each peer: two seconds' worth in a deployment. */
const MAX_SAMPLES_PER_PEER = 8;

/** Recent round-trip times of pings by peer, in milliseconds on this node's monotonic clock. */
export class RoundTrips {
  readonly #samples = new Map<NodeId, number[]>();

  /** Adds the round trip of one returned ping. */
  add(peer: NodeId, millis: number): void {
    const samples = this.#samples.get(peer) ?? [];
    samples.push(millis);
    if (samples.length > MAX_SAMPLES_PER_PEER) samples.shift();
    this.#samples.set(peer, samples);
  }

  /**
   * The shortest recent round trip; undefined for a peer that never answered. A suspended process or a busy machine
   * delays only single answers, so the shortest one reflects the link.
   */
  shortestMs(peer: NodeId): number | undefined {
    const samples = this.#samples.get(peer);
    return samples && Math.min(...samples);
  }

  /**
   * The round trip within which a majority answers `me`, among the peers that `isCounted` selects; 0 if these make no
   * majority. Voters beyond the fastest majority do not count, since nothing has to wait for them.
   */
  majorityMs(me: NodeId, quorum: Quorum, isCounted: (peer: NodeId) => boolean): number {
    const measured: { readonly peer: NodeId; readonly millis: number }[] = [];
    for (const peer of quorum.all) {
      const millis = peer === me || !isCounted(peer) ? undefined : this.shortestMs(peer);
      if (millis !== undefined) measured.push({ peer, millis });
    }
    measured.sort(byMillis);
    const reached = new Set<NodeId>([me]);
    for (const { peer, millis } of measured) {
      reached.add(peer);
      if (quorum.isMajority(reached)) return millis;
    }
    return 0;
  }
}

function byMillis(a: { readonly millis: number }, b: { readonly millis: number }): number {
  return a.millis - b.millis;
}

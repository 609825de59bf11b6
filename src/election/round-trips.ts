import type { NodeId } from '../common/ids.js';
import type { Quorum } from '../common/quorum.js';

/** Pings of so many last answers are kept for each peer: two seconds' worth in a deployment. */
const MAX_SAMPLES = 8;

/** How long pings took to come back, by peer, in milliseconds on this node's monotonic clock. */
export class RoundTrips {
  readonly #samples = new Map<NodeId, number[]>();

  add(peer: NodeId, millis: number): void {
    const samples = this.#samples.get(peer) ?? [];
    samples.push(millis);
    if (samples.length > MAX_SAMPLES) samples.shift();
    this.#samples.set(peer, samples);
  }

  /**
   * The shortest recent round trip; nothing for a peer that never answered. A process that stands still and a busy machine
   * only make single answers later, so that the shortest one shows the link.
   */
  shortestMs(peer: NodeId): number | undefined {
    const samples = this.#samples.get(peer);
    return samples && Math.min(...samples);
  }

  /**
   * The round trip within which a majority answers `me`, of those that `isCounted` names; 0 where they are no majority.
   * Voters beyond the fastest majority do not count: nothing has to wait for them.
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

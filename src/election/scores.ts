import type { ScoreReport } from '../common/messages.js';
import { nodeId, type NodeId } from '../common/ids.js';

/** The score of the link from a report's owner to one peer. */
interface PeerScore {
  readonly score: number;
  readonly isAlive: boolean;
}
/** What one node reports of its links. */
interface OwnerReport {
  readonly version: number;
  readonly peers: ReadonlyMap<NodeId, PeerScore>;
}

const NO_REPORT: OwnerReport = { version: 0, peers: new Map() };

/**
 * Connection scores: one report per owner, versioned by that owner and merged so that no version goes backward.
 * A link's score, from 0 to 1, changes by new = current * (1 - units / (2 * halfLife)) +/- units / (2 * halfLife),
 * where `units` and `halfLife` are in seconds, and the sign is plus while the peer is alive.
 */
export class Scores {
  readonly #me: NodeId;
  readonly #halfLifeSeconds: number;
  readonly #reports: Map<NodeId, OwnerReport>;

  constructor(
    me: NodeId,
    halfLifeSeconds: number,
    reports: ReadonlyMap<NodeId, OwnerReport> = new Map(),
  ) {
    this.#me = me;
    this.#halfLifeSeconds = halfLifeSeconds;
    this.#reports = new Map(reports);
  }

  /** Returns a copy that later pings and merges do not change. */
  freeze(): Scores {
    return new Scores(this.#me, this.#halfLifeSeconds, this.#reports);
  }

  /** Raises the score of this node's link to a peer that was alive for `elapsedSeconds`. */
  recordAlive(peer: NodeId, elapsedSeconds: number): void {
    // A new link starts at the full score: the design gives no initial value, and a new node must be electable.
    const current = this.#ownScoreOf(peer)?.score ?? 1;
    const step = this.#scoreStep(elapsedSeconds);
    this.#setOwnScore(peer, { score: Math.min(1, current * (1 - step) + step), isAlive: true });
  }

  /** Lowers the score of this node's link to a peer that did not answer for `elapsedSeconds`. */
  recordDead(peer: NodeId, elapsedSeconds: number): void {
    const current = this.#ownScoreOf(peer)?.score ?? 1;
    const step = this.#scoreStep(elapsedSeconds);
    this.#setOwnScore(peer, { score: Math.max(0, current * (1 - step) - step), isAlive: false });
  }

  /** Whether a peer is alive by this node's own pings; this node itself always is. */
  isAlive(peer: NodeId): boolean {
    return peer === this.#me || this.#ownScoreOf(peer)?.isAlive === true;
  }

  /** Takes over reports of a newer version than the known ones. */
  merge(reports: readonly ScoreReport[]): void {
    for (const report of reports) {
      const owner = nodeId(report.owner);
      const known = this.#reports.get(owner) ?? NO_REPORT;
      if (report.version <= known.version) continue;
      const links = new Map<NodeId, PeerScore>();
      for (const link of report.links)
        links.set(nodeId(link.peer), { score: link.score, isAlive: link.alive });
      if (owner === this.#me) {
        // This node's own report from before a restart: its version and scores continue, but only pings of the current
        // process tell which peers are alive.
        for (const [peer, link] of links)
          links.set(peer, {
            score: link.score,
            isAlive: known.peers.get(peer)?.isAlive ?? false,
          });
        this.#reports.set(owner, { version: report.version + 1, peers: links });
      } else {
        this.#reports.set(owner, { version: report.version, peers: links });
      }
    }
  }

  /** All known reports, as they are sent to peers. */
  reports(): ScoreReport[] {
    const list: ScoreReport[] = [];
    for (const [owner, report] of this.#reports) {
      const links = [];
      for (const [peer, link] of report.peers)
        links.push({ peer, score: link.score, alive: link.isAlive });
      list.push({ owner, version: report.version, links });
    }
    return list;
  }

  /** The sum of the scores that the other voters report for their links to `peer`; a dead link counts 0. */
  total(peer: NodeId, voters: readonly NodeId[]): number {
    let sum = 0;
    for (const owner of voters) {
      const link = owner === peer ? undefined : this.#reports.get(owner)?.peers.get(peer);
      if (link?.isAlive) sum += link.score;
    }
    return sum;
  }

  /**
   * Whether `a` ranks above `b`. Totals are compared in thousandths, so that voters whose scores differ by the last
   * ping alone still agree; between equal totals the lower id ranks higher.
   */
  ranksAbove(a: NodeId, b: NodeId, voters: readonly NodeId[]): boolean {
    const difference =
      Math.round(this.total(a, voters) * 1000) - Math.round(this.total(b, voters) * 1000);
    return difference > 0 || (difference === 0 && a < b);
  }

  /** Whether the total of `a` is above that of `b`, compared in thousandths and without the tie-break. */
  hasHigherTotal(a: NodeId, b: NodeId, voters: readonly NodeId[]): boolean {
    return Math.round(this.total(a, voters) * 1000) > Math.round(this.total(b, voters) * 1000);
  }

  /** The voter that ranks above all others; undefined if there are no voters. */
  highestRanked(voters: readonly NodeId[]): NodeId | undefined {
    let best: NodeId | undefined;
    for (const voter of voters)
      if (best === undefined || this.ranksAbove(voter, best, voters)) best = voter;
    return best;
  }

  #ownScoreOf(peer: NodeId): PeerScore | undefined {
    return this.#reports.get(this.#me)?.peers.get(peer);
  }

  #scoreStep(elapsedSeconds: number): number {
    return Math.min(1, Math.max(0, elapsedSeconds) / (2 * this.#halfLifeSeconds));
  }

  #setOwnScore(peer: NodeId, link: PeerScore): void {
    const known = this.#reports.get(this.#me) ?? NO_REPORT;
    const links = new Map(known.peers);
    links.set(peer, link);
    this.#reports.set(this.#me, { version: known.version + 1, peers: links });
  }
}

import type { ScoreReport } from '../common/messages.js';
import { nodeId, type NodeId } from '../common/ids.js';

interface PeerScore {
  readonly score: number;
  readonly isAlive: boolean;
}
interface OwnerReport {
  readonly version: number;
  readonly peers: ReadonlyMap<NodeId, PeerScore>;
}

const NO_REPORT: OwnerReport = { version: 0, peers: new Map() };

/**
 * Connection scores: one report an owner, versioned by that owner, merged so that none goes backward.
 * A link's score moves by new = current * (1 - units / (2 * halfLife)) +/- units / (2 * halfLife).
 */
export class Scores {
  readonly #me: NodeId;
  readonly #halfLifeSeconds: number;
  readonly #reports: Map<NodeId, OwnerReport>;

  constructor(me: NodeId, halfLife: number, reports: ReadonlyMap<NodeId, OwnerReport> = new Map()) {
    this.#me = me;
    this.#halfLifeSeconds = halfLife;
    this.#reports = new Map(reports);
  }

  /** A copy that later pings and merges do not touch. */
  freeze(): Scores {
    return new Scores(this.#me, this.#halfLifeSeconds, this.#reports);
  }

  recordAlive(peer: NodeId, elapsedSeconds: number): void {
    // A link first heard of starts at full score: the design gives no start, and a newcomer must be electable.
    const current = this.#ownScoreOf(peer)?.score ?? 1;
    const step = this.#stepOf(elapsedSeconds);
    this.#putOwnScore(peer, { score: Math.min(1, current * (1 - step) + step), isAlive: true });
  }

  recordDead(peer: NodeId, elapsedSeconds: number): void {
    const current = this.#ownScoreOf(peer)?.score ?? 1;
    const step = this.#stepOf(elapsedSeconds);
    this.#putOwnScore(peer, { score: Math.max(0, current * (1 - step) - step), isAlive: false });
  }

  isAlive(peer: NodeId): boolean {
    return peer === this.#me || this.#ownScoreOf(peer)?.isAlive === true;
  }

  merge(reports: readonly ScoreReport[]): void {
    for (const report of reports) {
      const owner = nodeId(report.owner);
      const known = this.#reports.get(owner) ?? NO_REPORT;
      if (report.version <= known.version) continue;
      const links = new Map<NodeId, PeerScore>();
      for (const link of report.links)
        links.set(nodeId(link.peer), { score: link.score, isAlive: link.alive });
      if (owner === this.#me) {
        // Our own report, from before a restart: go on from its version and scores, but trust only our own pings for liveness.
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

  /** The sum of the scores that the others give their links to this node; a down link counts 0. */
  total(peer: NodeId, voters: readonly NodeId[]): number {
    let sum = 0;
    for (const owner of voters) {
      const link = owner === peer ? undefined : this.#reports.get(owner)?.peers.get(peer);
      if (link?.isAlive) sum += link.score;
    }
    return sum;
  }

  // Totals are compared in thousandths: views that differ by the last ping alone must still agree, then the lower id leads.
  ranksAbove(a: NodeId, b: NodeId, voters: readonly NodeId[]): boolean {
    const difference =
      Math.round(this.total(a, voters) * 1000) - Math.round(this.total(b, voters) * 1000);
    return difference > 0 || (difference === 0 && a < b);
  }

  /** Whether one's total is above another's, in thousandths, leaving the tie-break aside. */
  hasHigherTotal(a: NodeId, b: NodeId, voters: readonly NodeId[]): boolean {
    return Math.round(this.total(a, voters) * 1000) > Math.round(this.total(b, voters) * 1000);
  }

  highestRanked(voters: readonly NodeId[]): NodeId | undefined {
    let best: NodeId | undefined;
    for (const voter of voters)
      if (best === undefined || this.ranksAbove(voter, best, voters)) best = voter;
    return best;
  }

  #ownScoreOf(peer: NodeId): PeerScore | undefined {
    return this.#reports.get(this.#me)?.peers.get(peer);
  }

  #stepOf(elapsedSeconds: number): number {
    return Math.min(1, Math.max(0, elapsedSeconds) / (2 * this.#halfLifeSeconds));
  }

  #putOwnScore(peer: NodeId, link: PeerScore): void {
    const known = this.#reports.get(this.#me) ?? NO_REPORT;
    const links = new Map(known.peers);
    links.set(peer, link);
    this.#reports.set(this.#me, { version: known.version + 1, peers: links });
  }
}

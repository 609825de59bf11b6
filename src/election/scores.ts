import type { ScoreReport } from '../common/messages.js';
import { nodeId, type NodeId } from '../common/ids.js';

interface LinkScore {
  readonly score: number;
  readonly isAlive: boolean;
}
interface OwnerReport {
  readonly version: number;
  readonly links: ReadonlyMap<NodeId, LinkScore>;
}

const NO_REPORT: OwnerReport = { version: 0, links: new Map() };

/**
 * Connection scores: one report an owner, versioned by that owner, merged so that none goes backward.
 * A link's score moves by new = current * (1 - units / (2 * halfLife)) +/- units / (2 * halfLife).
 */
export class Scores {
  readonly #me: NodeId;
  readonly #halfLife: number;
  readonly #reports: Map<NodeId, OwnerReport>;

  constructor(me: NodeId, halfLife: number, reports: ReadonlyMap<NodeId, OwnerReport> = new Map()) {
    this.#me = me;
    this.#halfLife = halfLife;
    this.#reports = new Map(reports);
  }

  /** A copy that later pings and merges do not touch. */
  freeze(): Scores {
    return new Scores(this.#me, this.#halfLife, this.#reports);
  }

  reportLive(peer: NodeId, units: number): void {
    // A link first heard of starts at full score: the design gives no start, and a newcomer must be electable.
    const current = this.#own(peer)?.score ?? 1;
    const step = this.#step(units);
    this.#put(peer, { score: Math.min(1, current * (1 - step) + step), isAlive: true });
  }

  reportDead(peer: NodeId, units: number): void {
    const current = this.#own(peer)?.score ?? 1;
    const step = this.#step(units);
    this.#put(peer, { score: Math.max(0, current * (1 - step) - step), isAlive: false });
  }

  isAlive(peer: NodeId): boolean {
    return peer === this.#me || this.#own(peer)?.isAlive === true;
  }

  merge(reports: readonly ScoreReport[]): void {
    for (const report of reports) {
      const owner = nodeId(report.owner);
      const known = this.#reports.get(owner) ?? NO_REPORT;
      if (report.version <= known.version) continue;
      const links = new Map<NodeId, LinkScore>();
      for (const link of report.links)
        links.set(nodeId(link.peer), { score: link.score, isAlive: link.alive });
      if (owner === this.#me) {
        // Our own report, from before a restart: go on from its version and scores, but trust only our own pings for liveness.
        for (const [peer, link] of links)
          links.set(peer, {
            score: link.score,
            isAlive: known.links.get(peer)?.isAlive ?? false,
          });
        this.#reports.set(owner, { version: report.version + 1, links });
      } else {
        this.#reports.set(owner, { version: report.version, links });
      }
    }
  }

  reports(): ScoreReport[] {
    const list: ScoreReport[] = [];
    for (const [owner, report] of this.#reports) {
      const links = [];
      for (const [peer, link] of report.links)
        links.push({ peer, score: link.score, alive: link.isAlive });
      list.push({ owner, version: report.version, links });
    }
    return list;
  }

  /** The sum of the scores that the others give their links to this node; a down link counts 0. */
  total(peer: NodeId, voters: readonly NodeId[]): number {
    let sum = 0;
    for (const owner of voters) {
      const link = owner === peer ? undefined : this.#reports.get(owner)?.links.get(peer);
      if (link?.isAlive) sum += link.score;
    }
    return sum;
  }

  // Totals are compared in thousandths: views that differ by the last ping alone must still agree, then the lower id leads.
  isBetter(a: NodeId, b: NodeId, voters: readonly NodeId[]): boolean {
    const difference =
      Math.round(this.total(a, voters) * 1000) - Math.round(this.total(b, voters) * 1000);
    return difference > 0 || (difference === 0 && a < b);
  }

  /** Whether one's total is above another's, in thousandths, leaving the tie-break aside. */
  isAbove(a: NodeId, b: NodeId, voters: readonly NodeId[]): boolean {
    return Math.round(this.total(a, voters) * 1000) > Math.round(this.total(b, voters) * 1000);
  }

  top(voters: readonly NodeId[]): NodeId | undefined {
    let best: NodeId | undefined;
    for (const voter of voters)
      if (best === undefined || this.isBetter(voter, best, voters)) best = voter;
    return best;
  }

  #own(peer: NodeId): LinkScore | undefined {
    return this.#reports.get(this.#me)?.links.get(peer);
  }

  #step(units: number): number {
    return Math.min(1, Math.max(0, units) / (2 * this.#halfLife));
  }

  #put(peer: NodeId, link: LinkScore): void {
    const known = this.#reports.get(this.#me) ?? NO_REPORT;
    const links = new Map(known.links);
    links.set(peer, link);
    this.#reports.set(this.#me, { version: known.version + 1, links });
  }
}

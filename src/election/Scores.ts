import type { ReportMessage } from '../common/Messages.js';
import { fellowId, type FellowId } from '../common/Ids.js';

interface LinkScore {
  readonly score: number;
  readonly isAlive: boolean;
}
interface OwnerReport {
  readonly version: number;
  readonly links: ReadonlyMap<FellowId, LinkScore>;
}

const NO_REPORT: OwnerReport = { version: 0, links: new Map() };

/**
 * Connection scores: one report an owner, versioned by that owner, merged so that none goes backward.
 * A link's score moves by new = current * (1 - units / (2 * halfLife)) +/- units / (2 * halfLife).
 */
export class Scores {
  readonly #me: FellowId;
  readonly #halfLife: number;
  readonly #reports: Map<FellowId, OwnerReport>;

  constructor(
    me: FellowId,
    halfLife: number,
    reports: ReadonlyMap<FellowId, OwnerReport> = new Map(),
  ) {
    this.#me = me;
    this.#halfLife = halfLife;
    this.#reports = new Map(reports);
  }

  /** A copy that later pings and merges do not touch. */
  freeze(): Scores {
    return new Scores(this.#me, this.#halfLife, this.#reports);
  }

  reportLive(fellow: FellowId, units: number): void {
    // A link first heard of starts at full score: the design gives no start, and a newcomer must be electable.
    const current = this.#own(fellow)?.score ?? 1;
    const step = this.#step(units);
    this.#put(fellow, { score: Math.min(1, current * (1 - step) + step), isAlive: true });
  }

  reportDead(fellow: FellowId, units: number): void {
    const current = this.#own(fellow)?.score ?? 1;
    const step = this.#step(units);
    this.#put(fellow, { score: Math.max(0, current * (1 - step) - step), isAlive: false });
  }

  isAlive(fellow: FellowId): boolean {
    return fellow === this.#me || this.#own(fellow)?.isAlive === true;
  }

  merge(reports: readonly ReportMessage[]): void {
    for (const report of reports) {
      const owner = fellowId(report.owner);
      const known = this.#reports.get(owner) ?? NO_REPORT;
      if (report.version <= known.version) continue;
      const links = new Map<FellowId, LinkScore>();
      for (const link of report.links)
        links.set(fellowId(link.fellow), { score: link.score, isAlive: link.alive });
      if (owner === this.#me) {
        // Our own report, from before a restart: go on from its version and scores, but trust only our own pings for liveness.
        for (const [fellow, link] of links)
          links.set(fellow, {
            score: link.score,
            isAlive: known.links.get(fellow)?.isAlive ?? false,
          });
        this.#reports.set(owner, { version: report.version + 1, links });
      } else {
        this.#reports.set(owner, { version: report.version, links });
      }
    }
  }

  reports(): ReportMessage[] {
    const list: ReportMessage[] = [];
    for (const [owner, report] of this.#reports) {
      const links = [];
      for (const [fellow, link] of report.links)
        links.push({ fellow, score: link.score, alive: link.isAlive });
      list.push({ owner, version: report.version, links });
    }
    return list;
  }

  /** The sum of the scores that the others give their links to this node; a down link counts 0. */
  total(fellow: FellowId, voters: readonly FellowId[]): number {
    let sum = 0;
    for (const owner of voters) {
      const link = owner === fellow ? undefined : this.#reports.get(owner)?.links.get(fellow);
      if (link?.isAlive) sum += link.score;
    }
    return sum;
  }

  // Totals are compared in thousandths: views that differ by the last ping alone must still agree, then the lower id leads.
  isBetter(a: FellowId, b: FellowId, voters: readonly FellowId[]): boolean {
    const difference =
      Math.round(this.total(a, voters) * 1000) - Math.round(this.total(b, voters) * 1000);
    return difference > 0 || (difference === 0 && a < b);
  }

  top(voters: readonly FellowId[]): FellowId | undefined {
    let best: FellowId | undefined;
    for (const voter of voters)
      if (best === undefined || this.isBetter(voter, best, voters)) best = voter;
    return best;
  }

  #own(fellow: FellowId): LinkScore | undefined {
    return this.#reports.get(this.#me)?.links.get(fellow);
  }

  #step(units: number): number {
    return Math.min(1, Math.max(0, units) / (2 * this.#halfLife));
  }

  #put(fellow: FellowId, link: LinkScore): void {
    const known = this.#reports.get(this.#me) ?? NO_REPORT;
    const links = new Map(known.links);
    links.set(fellow, link);
    this.#reports.set(this.#me, { version: known.version + 1, links });
  }
}

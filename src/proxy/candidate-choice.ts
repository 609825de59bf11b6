import type { Moment } from '../common/ids.js';
import type { AdmittedRequest, Candidate } from './decision-types.js';
import { PrefixMemory } from './prefix-memory.js';
import type { RunnerPool } from './runner-pool.js';
import type { TableView } from './table-view.js';

/** How long until a request's turn comes, and how long a run takes, by the runs so far; ms. */
export interface Turn {
  readonly waitMs: number;
  readonly meanMs: number;
}

/** A candidate, and what speaks for it. */
interface RankedCandidate extends Candidate {
  readonly keptParts: number;
  readonly running: number;
}

/** Which runner a request is given, and how long it has to wait for one. */
export class CandidateChoice {
  readonly #view: TableView;
  readonly #runners: RunnerPool;
  readonly #prefixes = new PrefixMemory();

  constructor(view: TableView, runners: RunnerPool) {
    this.#view = view;
    this.#runners = runners;
  }

  /** Kept prefixes first, then the primary, then the one that runs the least. */
  choose(now: Moment, request: AdmittedRequest): string | undefined {
    let best: RankedCandidate | undefined;
    for (const candidate of this.#view.candidates(request)) {
      const { id } = candidate;
      if (request.tried.has(id) || !this.#runners.mayStart(now, id, this.#capacity(now, id)))
        continue;
      const ranked = {
        ...candidate,
        keptParts: this.#prefixes.leadingParts(id, request.service, request.asked.parts),
        running: this.#runners.running(id),
      };
      if (!best || isBetter(ranked, best)) best = ranked;
    }
    return best?.id;
  }

  /** Notes that a runner was given a request, and so keeps the parts of its prompt. */
  given(runner: string, request: AdmittedRequest): void {
    this.#prefixes.given(runner, request.service, request.asked.parts);
  }

  /** The turn of a request behind so many of its service, by what runs now. */
  turn(
    now: Moment,
    request: AdmittedRequest,
    before: number,
    running: Iterable<AdmittedRequest>,
  ): Turn {
    const longest = longestRuns(now, running);
    let capacity = 0;
    let meanMs = 0;
    for (const { id } of this.#view.candidates(request)) {
      capacity += this.#capacity(now, id);
      meanMs = Math.max(meanMs, this.#runners.meanMs(id), longest.get(id) ?? 0);
    }
    return { waitMs: ((before + 1) * meanMs) / Math.max(1, capacity), meanMs };
  }

  #capacity(now: Moment, id: string): number {
    return this.#runners.capacity(now, this.#view.placed.get(id), this.#view.proxies);
  }
}

/** How long the oldest run at each runner goes on already, ms: a bound for runs of which none has ended yet. */
function longestRuns(now: Moment, running: Iterable<AdmittedRequest>): ReadonlyMap<string, number> {
  const longest = new Map<string, number>();
  for (const { runner, startedAt } of running)
    longest.set(runner, Math.max(longest.get(runner) ?? 0, now - startedAt));
  return longest;
}

function isBetter(item: RankedCandidate, best: RankedCandidate): boolean {
  if (item.keptParts !== best.keptParts) return item.keptParts > best.keptParts;
  if (item.isPrimary !== best.isPrimary) return item.isPrimary;
  return item.running < best.running;
}

import type { Moment } from '../common/ids.js';
import type { AdmittedRequest, Candidate } from './policy-router-types.js';
import { PrefixCache } from './prefix-cache.js';
import type { RunnerPool } from './runner-pool.js';
import type { PolicyView } from './policy-view.js';

/** How long until a request's turn comes, and how long a run takes, by the runs so far; ms. */
export interface WaitEstimate {
  readonly waitMs: number;
  readonly meanMs: number;
}

/** A candidate, and what speaks for it. */
interface RankedCandidate extends Candidate {
  readonly cachedBlocks: number;
  readonly running: number;
}

/** Which runner a request is given, and how long it has to wait for one. */
export class PolicyPicker {
  readonly #view: PolicyView;
  readonly #runners: RunnerPool;
  readonly #prefixes = new PrefixCache();

  constructor(view: PolicyView, runners: RunnerPool) {
    this.#view = view;
    this.#runners = runners;
  }

  /** Kept prefixes first, then the primary, then the one that runs the least. */
  pick(now: Moment, request: AdmittedRequest): string | undefined {
    let best: RankedCandidate | undefined;
    for (const candidate of this.#view.candidates(request)) {
      const { id } = candidate;
      if (request.triedRunners.has(id) || !this.#runners.mayStart(now, id, this.#capacity(now, id)))
        continue;
      const ranked = {
        ...candidate,
        cachedBlocks: this.#prefixes.cachedBlocks(id, request.service, request.info.prefixBlocks),
        running: this.#runners.running(id),
      };
      if (!best || isBetter(ranked, best)) best = ranked;
    }
    return best?.id;
  }

  /** Notes that a runner was given a request, and so keeps the parts of its prompt. */
  onStarted(runner: string, request: AdmittedRequest): void {
    this.#prefixes.record(runner, request.service, request.info.prefixBlocks);
  }

  /** The turn of a request behind so many of its service, by what runs now. */
  estimateWait(
    now: Moment,
    request: AdmittedRequest,
    before: number,
    running: Iterable<AdmittedRequest>,
  ): WaitEstimate {
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
    return this.#runners.capacity(now, this.#view.placed.get(id), this.#view.proxyCount(now));
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
  if (item.cachedBlocks !== best.cachedBlocks) return item.cachedBlocks > best.cachedBlocks;
  if (item.isPrimary !== best.isPrimary) return item.isPrimary;
  return item.running < best.running;
}

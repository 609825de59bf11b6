import type { Moment } from '../common/ids.js';
import type { AdmittedRequest, Candidate } from './policy-router-types.js';
import { PrefixCache } from './prefix-cache.js';
import type { RunnerPool } from './runner-pool.js';
import type { PolicyView } from './policy-view.js';

/** Estimates how long a request waits until it starts, and how long its run takes, from the runs so far; ms. */
export interface WaitEstimate {
  readonly waitMs: number;
  readonly meanMs: number;
}

/** A candidate with the values that it is ranked by. */
interface RankedCandidate extends Candidate {
  readonly cachedBlocks: number;
  readonly running: number;
}

/** Picks the runner for a request, and estimates how long the request has to wait for one. */
export class PolicyPicker {
  readonly #view: PolicyView;
  readonly #runners: RunnerPool;
  readonly #prefixes = new PrefixCache();

  constructor(view: PolicyView, runners: RunnerPool) {
    this.#view = view;
    this.#runners = runners;
  }

  /**
   * The runner to send a request to, or undefined if none can take it now. Prefers the runner with the most cached blocks
   * of the request's prefix, then the primary, then the runner with the fewest running requests.
   */
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

  /** Records that a runner was given a request, and so caches the blocks of its prefix. */
  onStarted(runner: string, request: AdmittedRequest): void {
    this.#prefixes.record(runner, request.service, request.info.prefixBlocks);
  }

  /** Estimates the wait of a request behind `aheadCount` others of its service, given the requests that run now. */
  estimateWait(
    now: Moment,
    request: AdmittedRequest,
    aheadCount: number,
    running: Iterable<AdmittedRequest>,
  ): WaitEstimate {
    const longest = longestRuns(now, running);
    let capacity = 0;
    let meanMs = 0;
    for (const { id } of this.#view.candidates(request)) {
      capacity += this.#capacity(now, id);
      meanMs = Math.max(meanMs, this.#runners.meanDurationMs(id), longest.get(id) ?? 0);
    }
    return { waitMs: ((aheadCount + 1) * meanMs) / Math.max(1, capacity), meanMs };
  }

  #capacity(now: Moment, id: string): number {
    return this.#runners.capacity(now, this.#view.placed.get(id), this.#view.proxyCount(now));
  }
}

/** For how long the oldest run at each runner has been running, ms: a lower bound for the length of runs before any has ended. */
function longestRuns(now: Moment, running: Iterable<AdmittedRequest>): ReadonlyMap<string, number> {
  const longest = new Map<string, number>();
  for (const { runner, startedAt } of running)
    longest.set(runner, Math.max(longest.get(runner) ?? 0, now - startedAt));
  return longest;
}

function isBetter(candidate: RankedCandidate, best: RankedCandidate): boolean {
  if (candidate.cachedBlocks !== best.cachedBlocks)
    return candidate.cachedBlocks > best.cachedBlocks;
  if (candidate.isPrimary !== best.isPrimary) return candidate.isPrimary;
  return candidate.running < best.running;
}

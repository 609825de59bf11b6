import { simulate } from './control-simulation.js';
import type { Fault, Schedule } from './faults.js';
import type { SimulationOptions } from './options.js';

/** Whether a schedule still causes the failure. */
export type StillFails = (schedule: Schedule) => boolean;

/** The result of shrinking. */
export interface Shrunk {
  /** The shortest failing schedule found. */
  readonly schedule: Schedule;
  /** Number of runs that were made. */
  readonly runs: number;
}

/** Durations are not shortened below this. */
const MIN_DURATION_MS = 50;

/**
 * Shrinks a failing schedule: first by delta debugging, which leaves out smaller and smaller pieces until no single fault
 * can be removed, then by shortening the durations of the remaining faults.
 */
export class Shrinker {
  readonly #stillFails: StillFails;
  readonly #maxRuns: number;
  #runs = 0;

  constructor(stillFails: StillFails, maxRuns: number) {
    this.#stillFails = stillFails;
    this.#maxRuns = maxRuns;
  }

  /** Shrinks a failing schedule; stops at the maximum number of runs. */
  shrink(schedule: Schedule): Shrunk {
    const shortest = this.#shortenDurations(this.#leaveOut(schedule));
    return { schedule: shortest, runs: this.#runs };
  }

  #fails(schedule: Schedule): boolean {
    if (this.#runs >= this.#maxRuns) return false;
    this.#runs += 1;
    return this.#stillFails(schedule);
  }

  #leaveOut(schedule: Schedule): Schedule {
    let remaining = schedule;
    for (let pieces = 2; remaining.length > 0;) {
      const smaller = this.#withoutOnePiece(remaining, pieces);
      if (smaller) {
        remaining = smaller;
        pieces = Math.max(2, pieces - 1);
      } else if (pieces >= remaining.length) {
        return remaining;
      } else {
        pieces = Math.min(remaining.length, pieces * 2);
      }
    }
    return remaining;
  }

  #withoutOnePiece(schedule: Schedule, pieces: number): Schedule | undefined {
    const size = Math.ceil(schedule.length / pieces);
    for (let start = 0; start < schedule.length; start += size) {
      const rest = [...schedule.slice(0, start), ...schedule.slice(start + size)];
      if (this.#fails(rest)) return rest;
    }
    return undefined;
  }

  #shortenDurations(schedule: Schedule): Schedule {
    let remaining = schedule;
    for (let index = 0; index < remaining.length; index += 1) {
      for (let next = shorter(remaining[index]); next; next = shorter(remaining[index])) {
        const changed = remaining.with(index, next);
        if (!this.#fails(changed)) break;
        remaining = changed;
      }
    }
    return remaining;
  }
}

function shorter(fault: Fault | undefined): Fault | undefined {
  if (!fault || !('forMs' in fault) || fault.forMs <= MIN_DURATION_MS) return undefined;
  return { ...fault, forMs: Math.max(MIN_DURATION_MS, Math.round(fault.forMs / 2)) };
}

/** The shortest schedule found that still violates the rule under these options. */
export function shrinkRun(
  options: SimulationOptions,
  schedule: Schedule,
  rule: string,
  maxRuns: number,
): Shrunk {
  function isOfRule(violation: { readonly rule: string }): boolean {
    return violation.rule === rule;
  }
  return new Shrinker(
    (smaller: Schedule): boolean => simulate(options, smaller).violations.some(isOfRule),
    maxRuns,
  ).shrink(schedule);
}

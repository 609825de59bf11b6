import { simulate } from './control-simulation.js';
import type { Fault, Schedule } from './faults.js';
import type { SimulationOptions } from './options.js';

/** Whether a schedule still brings about what is looked for. */
export type StillFails = (schedule: Schedule) => boolean;

export interface Shrunk {
  readonly schedule: Schedule;
  readonly runs: number;
}

/** Spans are shortened down to this. */
const LEAST_SPAN_MS = 50;

/**
 * Cuts a failing schedule down: first by delta debugging, which leaves out ever smaller pieces until
 * no single fault can go, then by shortening the spans of those that are left.
 */
export class Shrinker {
  readonly #stillFails: StillFails;
  readonly #mostRuns: number;
  #runs = 0;

  constructor(stillFails: StillFails, mostRuns: number) {
    this.#stillFails = stillFails;
    this.#mostRuns = mostRuns;
  }

  shrink(schedule: Schedule): Shrunk {
    const shortest = this.#shorten(this.#leaveOut(schedule));
    return { schedule: shortest, runs: this.#runs };
  }

  #fails(schedule: Schedule): boolean {
    if (this.#runs >= this.#mostRuns) return false;
    this.#runs += 1;
    return this.#stillFails(schedule);
  }

  #leaveOut(schedule: Schedule): Schedule {
    let left = schedule;
    for (let pieces = 2; left.length > 0;) {
      const smaller = this.#withoutOnePiece(left, pieces);
      if (smaller) {
        left = smaller;
        pieces = Math.max(2, pieces - 1);
      } else if (pieces >= left.length) {
        return left;
      } else {
        pieces = Math.min(left.length, pieces * 2);
      }
    }
    return left;
  }

  #withoutOnePiece(schedule: Schedule, pieces: number): Schedule | undefined {
    const size = Math.ceil(schedule.length / pieces);
    for (let start = 0; start < schedule.length; start += size) {
      const rest = [...schedule.slice(0, start), ...schedule.slice(start + size)];
      if (this.#fails(rest)) return rest;
    }
    return undefined;
  }

  #shorten(schedule: Schedule): Schedule {
    let left = schedule;
    for (let index = 0; index < left.length; index += 1) {
      for (let next = shorter(left[index]); next; next = shorter(left[index])) {
        const changed = left.with(index, next);
        if (!this.#fails(changed)) break;
        left = changed;
      }
    }
    return left;
  }
}

function shorter(fault: Fault | undefined): Fault | undefined {
  if (!fault || !('forMs' in fault) || fault.forMs <= LEAST_SPAN_MS) return undefined;
  return { ...fault, forMs: Math.max(LEAST_SPAN_MS, Math.round(fault.forMs / 2)) };
}

/** The shortest schedule found that still breaks a rule under these options. */
export function shrinkRun(
  options: SimulationOptions,
  schedule: Schedule,
  rule: string,
  mostRuns: number,
): Shrunk {
  function isOfRule(violation: { readonly rule: string }): boolean {
    return violation.rule === rule;
  }
  return new Shrinker(
    (smaller: Schedule): boolean => simulate(options, smaller).violations.some(isOfRule),
    mostRuns,
  ).shrink(schedule);
}

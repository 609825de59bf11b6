import type { BackRecord, CallerRecord, EventRecord } from './records.js';

/** A broken rule. */
export interface Violation {
  /** One of `RULES`. */
  readonly rule: string;
  /** Which request, runner or order broke it, and how. */
  readonly text: string;
}

interface Work {
  readonly at: number;
  readonly runner: string;
  readonly text: string;
}

/** What the `Judge` evaluates; `at` of all records is on the same clock, ms. */
export interface Evidence {
  readonly callers: readonly CallerRecord[];
  readonly backs: readonly BackRecord[];
  readonly events: readonly EventRecord[];
  /** The zone of each runner and back end. */
  readonly zones: ReadonlyMap<string, string>;
  /** The maximum latency of each type of request, ms. */
  readonly lateness: ReadonlyMap<string, number>;
}

/** The names of the rules that the `Judge` checks. */
export const RULES = [
  'run-twice',
  'ran-though-turned-away',
  'not-whole',
  'stitched',
  'leaving-got-work',
  'emptied-got-work',
  'old-table',
  'lost-table',
  'two-holders',
  'over-room',
  'over-store',
  'cold-flooded',
  'too-many-repeats',
  'cut-by-plan',
  'held-back',
] as const;

/** How long after its mark was learned a leaving runner may still get new work, ms. */
const LEAVING_MS = 3000;
/** Maximum time until a mark is learned, as the platform's list is polled every half second; ms. */
const LEARN_MS = 700;
/** How long after the acknowledgment of its evacuation a zone may still get new work, ms. */
const EVACUATED_MS = 5000;
/** How long after the acknowledgment of a table a proxy may still use an older one, ms. */
const TABLE_MS = 2000;
/** Minimum time between the orders of two successive leaders, ms. */
const LEADER_GAP_MS = 2900;
/** A rejection may follow a wait in the queue, but only of this share of the latency limit. */
const MAX_REJECTION_SHARE = 0.5;
/** Retries allowed besides the retry budget, over the whole fleet for one service. */
const EXTRA_RETRIES = 6;
/** The window in which the budget must hold too, ms. */
const RETRY_WINDOW_MS = 5000;
/** Extra retries in one window: each proxy may have accrued one that it has not used. */
const EXTRA_RETRIES_PER_WINDOW = 12;
/** A back end that started at most this long ago is cold, ms. */
const COLD_MS = 1000;
/** Number of runs at a cold back end that breaks the rule. */
const COLD_RUNS = 30;

/**
 * Checks the system's guarantees on the joined records of callers, back ends and the rehearsal, without knowledge of its
 * implementation.
 */
export class Judge {
  readonly #evidence: Evidence;
  readonly #violations: Violation[] = [];
  readonly #runsById = new Map<string, BackRecord[]>();

  constructor(evidence: Evidence) {
    this.#evidence = evidence;
    for (const back of evidence.backs) {
      if (back.what !== 'run' || back.id === undefined) continue;
      this.#runsById.set(back.id, [...(this.#runsById.get(back.id) ?? []), back]);
    }
  }

  /** Checks all rules and returns the violations. Call it once. */
  judge(): readonly Violation[] {
    this.#checkCallers();
    this.#checkLeavingRunners();
    this.#checkEvacuatedZones();
    this.#checkTables();
    this.#checkOrders();
    this.#checkColdBackends();
    this.#checkPlannedStops();
    return this.#violations;
  }

  #addViolation(rule: (typeof RULES)[number], text: string): void {
    this.#violations.push({ rule, text });
  }

  #checkCallers(): void {
    const services = new Map<string, { retries: number[]; sent: number[] }>();
    for (const caller of this.#evidence.callers) {
      const runs = this.#runsById.get(caller.id) ?? [];
      if (caller.once && runs.length > 1)
        this.#addViolation('run-twice', `${caller.id} (${caller.type}) ran ${runs.length} times`);
      if (!caller.once) {
        const service = services.get(caller.model) ?? { retries: [], sent: [] };
        services.set(caller.model, service);
        service.sent.push(caller.sentAt);
        for (const run of runs.slice(1)) service.retries.push(run.at);
      }
      if (caller.outcome === 'turned-away' && runs.length > 0)
        this.#addViolation(
          'ran-though-turned-away',
          `${caller.id} was rejected with ${caller.status} and ran at ${runs[0]?.runner}`,
        );
      if (caller.isWhole && caller.fault !== '')
        this.#addViolation(
          caller.fault.startsWith('stitched') ? 'stitched' : 'not-whole',
          `${caller.id}: ${caller.fault}`,
        );
      if (caller.isWhole && caller.status === 200 && !runs.some((back) => back.run === caller.run))
        this.#addViolation(
          'not-whole',
          `${caller.id}: its response is of run ${caller.run}, which belongs to another request`,
        );
      if (caller.outcome === 'turned-away' && (caller.status === 503 || caller.status === 429)) {
        const late = this.#evidence.lateness.get(caller.type);
        // A frozen process cannot respond; it must once it is resumed.
        const isLate =
          late !== undefined && caller.endedAt - caller.sentAt > late * MAX_REJECTION_SHARE;
        // Searching the records is slow, so it is done only for late responses.
        if (
          isLate &&
          !this.#wasProxyFrozen(caller) &&
          !this.#wasRefusedLate(caller) &&
          !this.#wasPathDisturbed(caller)
        )
          this.#addViolation(
            'held-back',
            `${caller.id} was rejected after ${caller.endedAt - caller.sentAt} of ${late} ms`,
          );
        if (caller.retryAfter <= 0)
          this.#addViolation('held-back', `${caller.id} was rejected without a Retry-After header`);
      }
    }
    for (const [service, { retries, sent }] of services) {
      if (retries.length > sent.length / 5 + EXTRA_RETRIES)
        this.#addViolation(
          'too-many-repeats',
          `${retries.length} retries of ${sent.length} requests at ${service}`,
        );
      // Checked per window too: a long time with few retries must not make up for a burst of them.
      for (const at of sent) {
        const [retryCount, sentCount] = [
          countIn(retries, at, at + RETRY_WINDOW_MS),
          countIn(sent, at, at + RETRY_WINDOW_MS),
        ];
        if (retryCount <= sentCount / 5 + EXTRA_RETRIES_PER_WINDOW) continue;
        this.#addViolation(
          'too-many-repeats',
          `${retryCount} retries of ${sentCount} requests at ${service} within ${RETRY_WINDOW_MS} ms`,
        );
        break;
      }
    }
  }

  /** Whether a back end's response that it did not begin the run came less than a second before the rejection. */
  #wasRefusedLate(caller: CallerRecord): boolean {
    for (const back of this.#evidence.backs)
      if (back.what === 'none' && back.id === caller.id && caller.endedAt - back.at < 1000)
        return true;
    return false;
  }

  /** Whether the request's back end was frozen or cut off, or its proxy was, so that the proxy got the response late. */
  #wasPathDisturbed(caller: CallerRecord): boolean {
    for (const back of this.#evidence.backs) {
      if ((back.what !== 'none' && back.what !== 'run') || back.id !== caller.id) continue;
      for (const event of this.#evidence.events) {
        const isOnPath =
          (event.what === 'cut' && (event.node === back.runner || event.node === caller.flow)) ||
          (event.what === 'frozen' && event.node === back.runner);
        if (isOnPath && event.at < caller.endedAt && event.at + (event.number ?? 0) > caller.sentAt)
          return true;
      }
    }
    return false;
  }

  /** Checks that requests in progress at a planned stop of their proxy were completed. */
  #checkPlannedStops(): void {
    for (const event of this.#evidence.events) {
      if (event.what !== 'planned-stop') continue;
      for (const caller of this.#evidence.callers) {
        const wasInProgress =
          caller.flow === event.node && caller.sentAt < event.at - 100 && caller.endedAt > event.at;
        if (
          wasInProgress &&
          (caller.outcome === 'broken' || caller.outcome === 'unreached') &&
          !this.#evidence.backs.some((back) => back.what === 'fault' && back.id === caller.id) &&
          !this.#wasPathDisturbed(caller)
        )
          this.#addViolation(
            'cut-by-plan',
            `${caller.id} was ${caller.outcome} as ${caller.flow} was stopped`,
          );
      }
    }
  }

  #wasProxyFrozen(caller: CallerRecord): boolean {
    for (const event of this.#evidence.events) {
      if (
        event.what === 'frozen' &&
        event.node === caller.flow &&
        caller.sentAt < event.at + (event.number ?? 0) &&
        caller.endedAt > event.at
      )
        return true;
    }
    return false;
  }

  /** All new work that runners got: runs and orders to load. */
  #work(): readonly Work[] {
    const list: Work[] = [];
    for (const back of this.#evidence.backs) {
      const runner = back.runner ?? '';
      if (back.what === 'run') list.push({ at: back.at, runner, text: `run ${back.id}` });
      if (back.what === 'order' && back.verb === 'load')
        list.push({ at: back.at, runner, text: `the order to load ${back.model} ${back.adapter}` });
    }
    return list;
  }

  /** When a list with the mark was first read by the platform's record; without such records, the latest allowed time. */
  #learnedAt(mark: BackRecord): number | undefined {
    let isShownRecorded = false;
    for (const back of this.#evidence.backs) {
      if (back.what !== 'shown') continue;
      isShownRecorded = true;
      if (
        back.revision !== undefined &&
        mark.revision !== undefined &&
        back.revision >= mark.revision
      )
        return back.at;
    }
    return isShownRecorded ? undefined : mark.at + LEARN_MS;
  }

  #checkLeavingRunners(): void {
    const marks = new Map<string, { from: number; until: number }[]>();
    for (const back of this.#evidence.backs) {
      if (back.what !== 'mark' || back.id === undefined) continue;
      const list = marks.get(back.id) ?? [];
      marks.set(back.id, list);
      const learned = back.leaving === true ? this.#learnedAt(back) : undefined;
      if (learned !== undefined) list.push({ from: learned + LEAVING_MS, until: Infinity });
      // One removal ends all marks that were set before it.
      else if (back.leaving !== true)
        for (const span of list) span.until = Math.min(span.until, back.at);
    }
    for (const work of this.#work()) {
      for (const mark of marks.get(work.runner) ?? []) {
        // Requests queued in a frozen runner's socket were sent before they were recorded.
        if (work.at > mark.from && work.at < mark.until && !this.#wasRunnerFrozen(work))
          this.#addViolation(
            'leaving-got-work',
            `${work.runner} got ${work.text} ${Math.round(work.at - mark.from)} ms too late`,
          );
      }
    }
  }

  #wasRunnerFrozen(work: Work): boolean {
    for (const event of this.#evidence.events) {
      if (
        event.what === 'frozen' &&
        event.node === work.runner &&
        work.at >= event.at &&
        work.at < event.at + (event.number ?? 0) + 500
      )
        return true;
    }
    return false;
  }

  #checkEvacuatedZones(): void {
    const spans: { zone: string; from: number; until: number }[] = [];
    for (const event of this.#evidence.events) {
      if (event.what === 'zone-emptied')
        spans.push({ zone: event.zone ?? '', from: event.at + EVACUATED_MS, until: Infinity });
      if (event.what === 'zone-filling')
        for (const span of spans)
          if (span.zone === event.zone && span.until === Infinity) span.until = event.at;
    }
    for (const work of this.#work()) {
      const zone = this.#evidence.zones.get(work.runner);
      for (const span of spans) {
        if (
          span.zone === zone &&
          work.at > span.from &&
          work.at < span.until &&
          !this.#wasRunnerFrozen(work)
        )
          this.#addViolation('emptied-got-work', `${work.runner} in ${zone} got ${work.text}`);
      }
    }
  }

  #checkTables(): void {
    let newest = 0;
    for (const event of this.#evidence.events) {
      if (event.what === 'table-accepted') newest = Math.max(newest, event.number ?? 0);
      // A newer table than the last accepted one is allowed: an edit with an unknown outcome may have taken effect.
      if (event.what === 'table-read' && (event.number ?? 0) < newest)
        this.#addViolation(
          'lost-table',
          `table ${event.number} was read back after ${newest} was accepted`,
        );
    }
    for (const event of this.#evidence.events) {
      if (event.what !== 'table-accepted' || event.number === undefined) continue;
      for (const caller of this.#evidence.callers) {
        if (
          caller.table >= 0 &&
          caller.sentAt > event.at + TABLE_MS &&
          caller.table < event.number
        ) {
          this.#addViolation(
            'old-table',
            `${caller.flow} admitted ${caller.id} by table ${caller.table}, ${caller.sentAt - event.at} ms after ${event.number} was accepted`,
          );
        }
      }
    }
  }

  #checkOrders(): void {
    let last: BackRecord | undefined;
    for (const back of this.#evidence.backs) {
      if (back.what === 'fetch' && back.over === true)
        this.#addViolation(
          'over-store',
          `fetch of ${back.model} by ${back.runner} exceeded the store's limit`,
        );
      if (back.what !== 'order') continue;
      if (back.overRoom === true)
        this.#addViolation(
          'over-room',
          `${back.runner} was ordered beyond its capacity to load ${back.model} ${back.adapter} by ${back.order}`,
        );
      if (last && last.holder !== back.holder && back.at - last.at < LEADER_GAP_MS) {
        this.#addViolation(
          'two-holders',
          `${last.holder} ordered ${last.runner} and ${back.holder} ordered ${back.runner} ${back.at - last.at} ms later`,
        );
      }
      last = back;
    }
  }

  #checkColdBackends(): void {
    const boots = new Map<string, number>();
    const earlyRuns = new Map<string, number>();
    for (const back of this.#evidence.backs) {
      const runner = back.runner ?? '';
      if (back.what === 'boot') {
        boots.set(runner, back.at);
        earlyRuns.set(runner, 0);
      }
      const boot = boots.get(runner);
      if (back.what !== 'run' || boot === undefined || back.at - boot > COLD_MS) continue;
      const count = (earlyRuns.get(runner) ?? 0) + 1;
      earlyRuns.set(runner, count);
      if (count === COLD_RUNS)
        this.#addViolation(
          'cold-flooded',
          `${runner} got ${count} requests within ${back.at - boot} ms of its start`,
        );
    }
  }
}

function countIn(list: readonly number[], from: number, until: number): number {
  return list.filter((at) => at >= from && at < until).length;
}

import type { BackRecord, CallerRecord, EventRecord } from './records.js';

export interface Violation {
  readonly rule: string;
  readonly text: string;
}

interface Work {
  readonly at: number;
  readonly runner: string;
  readonly text: string;
}

export interface Evidence {
  readonly callers: readonly CallerRecord[];
  readonly backs: readonly BackRecord[];
  readonly events: readonly EventRecord[];
  /** The zone of each runner and back end. */
  readonly zones: ReadonlyMap<string, string>;
  /** How late each type's returns may be, in milliseconds. */
  readonly lateness: ReadonlyMap<string, number>;
}

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

const LEAVING_MS = 3000;
/** The platform's list is asked for every half second: that long until we learn. */
const LEARN_MS = 700;
const EMPTY_MS = 5000;
const TABLE_MS = 2000;
const HAND_OVER_MS = 2900;
/** A no may come after waiting, but not near the limit. */
const HELD_SHARE = 0.5;
/** Over the whole fleet, for one service. */
const FEW_REPEATS = 6;
const REPEATS_MS = 5000;
/** Each proxy may have earned one that it has not spent yet. */
const FEW_AT_ONCE = 12;
const COLD_MS = 1000;
const COLD_RUNS = 30;

/** Knows nothing of the product but its promises: joins what callers, runners and the rehearsal recorded. */
export class Judge {
  readonly #evidence: Evidence;
  readonly #found: Violation[] = [];
  readonly #runsById = new Map<string, BackRecord[]>();

  constructor(evidence: Evidence) {
    this.#evidence = evidence;
    for (const back of evidence.backs) {
      if (back.what !== 'run' || back.id === undefined) continue;
      this.#runsById.set(back.id, [...(this.#runsById.get(back.id) ?? []), back]);
    }
  }

  judge(): readonly Violation[] {
    this.#callers();
    this.#leaving();
    this.#emptied();
    this.#tables();
    this.#orders();
    this.#cold();
    this.#planned();
    return this.#found;
  }

  #find(rule: (typeof RULES)[number], text: string): void {
    this.#found.push({ rule, text });
  }

  #callers(): void {
    const services = new Map<string, { repeats: number[]; sent: number[] }>();
    for (const caller of this.#evidence.callers) {
      const runs = this.#runsById.get(caller.id) ?? [];
      if (caller.once && runs.length > 1)
        this.#find('run-twice', `${caller.id} (${caller.type}) ran ${runs.length} times`);
      if (!caller.once) {
        const service = services.get(caller.model) ?? { repeats: [], sent: [] };
        services.set(caller.model, service);
        service.sent.push(caller.sentAt);
        for (const run of runs.slice(1)) service.repeats.push(run.at);
      }
      if (caller.outcome === 'turned-away' && runs.length > 0)
        this.#find(
          'ran-though-turned-away',
          `${caller.id} was turned away with ${caller.status} and ran at ${runs[0]?.runner}`,
        );
      if (caller.isWhole && caller.fault !== '')
        this.#find(
          caller.fault.startsWith('stitched') ? 'stitched' : 'not-whole',
          `${caller.id}: ${caller.fault}`,
        );
      if (caller.isWhole && caller.status === 200 && !runs.some((back) => back.run === caller.run))
        this.#find(
          'not-whole',
          `${caller.id}: its return is of run ${caller.run}, which is not its own`,
        );
      if (caller.outcome === 'turned-away' && (caller.status === 503 || caller.status === 429)) {
        const late = this.#evidence.lateness.get(caller.type);
        // A process that is frozen cannot say anything; it must once it is awake.
        const isLate = late !== undefined && caller.endedAt - caller.sentAt > late * HELD_SHARE;
        // The records are searched for the few that were late alone.
        if (
          isLate &&
          !this.#wasFrozen(caller) &&
          !this.#isNoneLate(caller) &&
          !this.#wasHampered(caller)
        )
          this.#find(
            'held-back',
            `${caller.id} heard its no after ${caller.endedAt - caller.sentAt} of ${late} ms`,
          );
        if (caller.retryAfter <= 0)
          this.#find(
            'held-back',
            `${caller.id} was turned away without a word on when to come back`,
          );
      }
    }
    for (const [service, { repeats, sent }] of services) {
      if (repeats.length > sent.length / 5 + FEW_REPEATS)
        this.#find('too-many-repeats', `${repeats.length} repeats of ${sent.length} at ${service}`);
      // A quiet hour must not pay for a minute in which nothing but repeats arrives.
      for (const at of sent) {
        const [some, all] = [
          countIn(repeats, at, at + REPEATS_MS),
          countIn(sent, at, at + REPEATS_MS),
        ];
        if (some <= all / 5 + FEW_AT_ONCE) continue;
        this.#find(
          'too-many-repeats',
          `${some} repeats of ${all} at ${service} within ${REPEATS_MS} ms`,
        );
        break;
      }
    }
  }

  /** A runner may take its time to say that it has not begun; its word is passed on at once. */
  #isNoneLate(caller: CallerRecord): boolean {
    for (const back of this.#evidence.backs)
      if (back.what === 'none' && back.id === caller.id && caller.endedAt - back.at < 1000)
        return true;
    return false;
  }

  /** It was with a runner, and that runner stood still or was cut off meanwhile: what the proxy heard, it heard late. */
  #wasHampered(caller: CallerRecord): boolean {
    for (const back of this.#evidence.backs) {
      if ((back.what !== 'none' && back.what !== 'run') || back.id !== caller.id) continue;
      for (const event of this.#evidence.events) {
        const isTheirs =
          (event.what === 'cut' && (event.node === back.runner || event.node === caller.flow)) ||
          (event.what === 'frozen' && event.node === back.runner);
        if (isTheirs && event.at < caller.endedAt && event.at + (event.number ?? 0) > caller.sentAt)
          return true;
      }
    }
    return false;
  }

  /** A proxy told to stop lets what it had begun end. */
  #planned(): void {
    for (const event of this.#evidence.events) {
      if (event.what !== 'planned-stop') continue;
      for (const caller of this.#evidence.callers) {
        const isBegun =
          caller.flow === event.node && caller.sentAt < event.at - 100 && caller.endedAt > event.at;
        if (
          isBegun &&
          (caller.outcome === 'broken' || caller.outcome === 'unreached') &&
          !this.#evidence.backs.some((back) => back.what === 'fault' && back.id === caller.id) &&
          !this.#wasHampered(caller)
        )
          this.#find(
            'cut-by-plan',
            `${caller.id} was ${caller.outcome} as ${caller.flow} was stopped`,
          );
      }
    }
  }

  #wasFrozen(caller: CallerRecord): boolean {
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

  /** Runs and fetches that a runner was given: all of it is new work. */
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

  /** When the list that shows a mark was first read, by the platform's own record; else when it must have been. */
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

  #leaving(): void {
    const marks = new Map<string, { from: number; until: number }[]>();
    for (const back of this.#evidence.backs) {
      if (back.what !== 'mark' || back.id === undefined) continue;
      const list = marks.get(back.id) ?? [];
      marks.set(back.id, list);
      const learned = back.leaving === true ? this.#learnedAt(back) : undefined;
      if (learned !== undefined) list.push({ from: learned + LEAVING_MS, until: Infinity });
      // Marked twice, it is unmarked once.
      else if (back.leaving !== true)
        for (const span of list) span.until = Math.min(span.until, back.at);
    }
    for (const work of this.#work()) {
      for (const mark of marks.get(work.runner) ?? []) {
        // What lay in a frozen runner's socket was given to it before.
        if (work.at > mark.from && work.at < mark.until && !this.#wasAsleep(work))
          this.#find(
            'leaving-got-work',
            `${work.runner} got ${work.text} ${Math.round(work.at - mark.from)} ms too late`,
          );
      }
    }
  }

  #wasAsleep(work: Work): boolean {
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

  #emptied(): void {
    const spans: { zone: string; from: number; until: number }[] = [];
    for (const event of this.#evidence.events) {
      if (event.what === 'zone-emptied')
        spans.push({ zone: event.zone ?? '', from: event.at + EMPTY_MS, until: Infinity });
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
          !this.#wasAsleep(work)
        )
          this.#find('emptied-got-work', `${work.runner} in ${zone} got ${work.text}`);
      }
    }
  }

  #tables(): void {
    let newest = 0;
    for (const event of this.#evidence.events) {
      if (event.what === 'table-accepted') newest = Math.max(newest, event.number ?? 0);
      // Newer than the newest accepted is an edit whose outcome nobody was told: it may stand.
      if (event.what === 'table-read' && (event.number ?? 0) < newest)
        this.#find(
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
          this.#find(
            'old-table',
            `${caller.flow} gated ${caller.id} by table ${caller.table}, ${caller.sentAt - event.at} ms after ${event.number} was accepted`,
          );
        }
      }
    }
  }

  #orders(): void {
    let last: BackRecord | undefined;
    for (const back of this.#evidence.backs) {
      if (back.what === 'fetch' && back.over === true)
        this.#find('over-store', `fetch of ${back.model} by ${back.runner} was one too many`);
      if (back.what !== 'order') continue;
      if (back.overRoom === true)
        this.#find(
          'over-room',
          `${back.runner} was told to load ${back.model} ${back.adapter} by ${back.order}`,
        );
      if (last && last.holder !== back.holder && back.at - last.at < HAND_OVER_MS) {
        this.#find(
          'two-holders',
          `${last.holder} ordered ${last.runner} and ${back.holder} ordered ${back.runner} ${back.at - last.at} ms later`,
        );
      }
      last = back;
    }
  }

  #cold(): void {
    const boots = new Map<string, number>();
    const early = new Map<string, number>();
    for (const back of this.#evidence.backs) {
      const runner = back.runner ?? '';
      if (back.what === 'boot') {
        boots.set(runner, back.at);
        early.set(runner, 0);
      }
      const boot = boots.get(runner);
      if (back.what !== 'run' || boot === undefined || back.at - boot > COLD_MS) continue;
      const count = (early.get(runner) ?? 0) + 1;
      early.set(runner, count);
      if (count === COLD_RUNS)
        this.#find(
          'cold-flooded',
          `${runner} got ${count} requests within ${back.at - boot} ms of its start`,
        );
    }
  }
}

function countIn(list: readonly number[], from: number, until: number): number {
  return list.filter((at) => at >= from && at < until).length;
}

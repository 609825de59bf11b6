import type { Counters } from '../common/counters.js';
import { ERROR_RESPONSES, type ErrorCode } from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import type { Decision } from './decision.js';
import type { Asked, RunVerdict } from './decision-types.js';

/** What whoever has the connections must do now. */
export type Step =
  /** Connect to that runner, and write nothing yet. */
  | {
      readonly do: 'connect';
      readonly id: number;
      readonly attempt: number;
      readonly verdict: RunVerdict;
    }
  | { readonly do: 'write'; readonly id: number; readonly attempt: number }
  /** Pass on to the client the head that came, and what follows. */
  | { readonly do: 'pass'; readonly id: number; readonly attempt: number; readonly table: number }
  /** All was passed on, and the runner said so itself: end the client's return properly. */
  | { readonly do: 'finish'; readonly id: number; readonly attempt: number }
  /** End the client's return so that it is seen to be broken. */
  | { readonly do: 'breakOff'; readonly id: number }
  /** Drop the connection to the runner. */
  | { readonly do: 'cancel'; readonly id: number; readonly attempt: number }
  /** The final word on a request that got none from a runner. */
  | {
      readonly do: 'tell';
      readonly id: number;
      readonly kind: ErrorCode;
      readonly text: string;
      readonly retryMs: number;
    };

export interface InFlightSettings {
  /** The most; of a short lateness no more than an eighth. */
  readonly connectMs: number;
  /** How long a return that has begun may stand still, for the runner's sake or the client's. */
  readonly silentMs: number;
}

/** How a head that came back ends, if it does, and whether the runner has begun the request at all. */
export interface Head {
  readonly isBegun: boolean;
  readonly isBounded: boolean;
}

interface InFlightRequest {
  readonly asked: Asked;
  stage: 'pending' | 'connecting' | 'written' | 'returning';
  /** Counts the runners it was drawn to; what is heard of an earlier one is void. */
  attempt: number;
  verdict: RunVerdict | undefined;
  /** Whether bytes of it may have reached a runner at some time: it is then never told as turned away. */
  isWritten: boolean;
  wasWrittenBefore: boolean;
  isBounded: boolean;
  movedAt: Moment;
}

/** A tick that comes so late shows that this process stood still, not the runners. */
const STALL_MS = 1000;
/** A return that stood still for long may not be cut at the very tick after our own stall. */
const AFTER_STALL_MS = 1000;

/**
 * What is known of each request on its way, pure: it hears what happens on the connections and says what to do.
 * The HTTP executor and the simulator both drive it, so that the rules on data are tried on virtual time.
 */
export class InFlightRequests {
  readonly #decision: Decision;
  readonly #settings: InFlightSettings;
  readonly #counters: Counters;
  readonly #inFlightRequests = new Map<number, InFlightRequest>();
  #steps: Step[] = [];
  #tickAt: Moment | undefined;

  constructor(decision: Decision, settings: InFlightSettings, counters: Counters) {
    this.#decision = decision;
    this.#settings = settings;
    this.#counters = counters;
  }

  get size(): number {
    return this.#inFlightRequests.size;
  }

  drain(): Step[] {
    const steps = this.#steps;
    this.#steps = [];
    return steps;
  }

  /** A request has come whole. */
  take(now: Moment, asked: Asked): void {
    this.#inFlightRequests.set(asked.id, {
      asked,
      stage: 'pending',
      attempt: 0,
      verdict: undefined,
      isWritten: false,
      wasWrittenBefore: false,
      isBounded: false,
      movedAt: now,
    });
    this.#decision.gate(now, asked);
    this.settle(now);
  }

  startDraining(now: Moment): void {
    this.#decision.startDraining(now);
    this.settle(now);
  }

  tick(now: Moment): void {
    this.#decision.tick(now);
    const gap = this.#tickAt === undefined ? 0 : now - this.#tickAt;
    this.#tickAt = now;
    for (const passage of [...this.#inFlightRequests.values()]) {
      // What came in while we stood still is read only after this tick.
      if (gap > STALL_MS) passage.movedAt = later(passage.movedAt, gap + AFTER_STALL_MS);
      this.#check(now, passage);
    }
    this.settle(now);
  }

  #check(now: Moment, passage: InFlightRequest): void {
    const { verdict, stage } = passage;
    if (!verdict || stage === 'pending') return;
    // A stream that has begun in time goes on; anything else ends with its limit.
    const isLate = now >= verdict.limit && !(stage === 'returning' && verdict.row.stream);
    if (isLate) this.#late(now, passage);
    else if (
      stage === 'connecting' &&
      now >= later(passage.movedAt, Math.min(this.#settings.connectMs, verdict.row.lateMs / 8))
    ) {
      this.#cancel(passage);
      this.#unreached(now, passage);
    } else if (stage === 'returning' && now >= later(passage.movedAt, this.#settings.silentMs)) {
      this.#counters.add('returns.silent');
      this.#cancel(passage);
      this.#breakOff(now, passage);
    }
  }

  #late(now: Moment, passage: InFlightRequest): void {
    this.#counters.add('runs.late');
    this.#cancel(passage);
    const { id } = passage.asked;
    if (passage.stage === 'returning') {
      this.#breakOff(now, passage);
      return;
    }
    // How long it has gone on already says how long runs are, at the least.
    if (passage.stage === 'written') this.#decision.done(now, id);
    else this.#decision.gone(now, id);
    this.#end(passage);
    this.#steps.push({
      do: 'tell',
      id,
      kind: passage.isWritten ? 'unsure-late' : 'limit-passed',
      text: 'its limit passed',
      retryMs: 0,
    });
  }

  // ---- what is heard of the connections

  /** The connection stands, new or kept. Only now is it known when the first byte would go. */
  connected(now: Moment, id: number, attempt: number): void {
    const passage = this.#current(id, attempt, 'connecting');
    if (!passage) return;
    if (this.#decision.mayWrite(now, id)) {
      passage.stage = 'written';
      passage.isWritten = true;
      this.#steps.push({ do: 'write', id, attempt });
    } else {
      this.#counters.add('runs.withdrawn');
      this.#cancel(passage);
      passage.stage = 'pending';
      this.#decision.withdraw(now, id);
    }
    this.settle(now);
  }

  head(now: Moment, id: number, attempt: number, head: Head): void {
    const passage = this.#current(id, attempt, 'written');
    if (!passage?.verdict) return;
    if (!head.isBegun) {
      // The runner's own word that it has not begun this request and will not.
      this.#counters.add('runs.full');
      passage.isWritten = passage.wasWrittenBefore;
      passage.stage = 'pending';
      this.#decision.notRun(now, id, 'full');
    } else {
      passage.stage = 'returning';
      passage.isBounded = head.isBounded;
      passage.movedAt = now;
      this.#steps.push({ do: 'pass', id, attempt, table: passage.verdict.table });
    }
    this.settle(now);
  }

  bytes(now: Moment, id: number, attempt: number): void {
    const passage = this.#current(id, attempt, 'returning');
    if (passage) passage.movedAt = now;
  }

  /** The runner's return came to its end. */
  ended(now: Moment, id: number, attempt: number): void {
    const passage = this.#current(id, attempt, 'returning');
    if (!passage) return;
    // One that has neither length nor chunks ends alike whether it is whole or its runner crashed.
    if (!passage.isBounded) {
      this.broke(now, id, attempt, false);
      return;
    }
    this.#counters.add('returns');
    this.#end(passage);
    this.#steps.push({ do: 'finish', id, attempt });
    this.#decision.done(now, id);
    this.settle(now);
  }

  /** The connection to the runner failed or closed before its return's end. */
  broke(now: Moment, id: number, attempt: number, isStale: boolean): void {
    const passage = this.#inFlightRequests.get(id);
    if (!passage || passage.attempt !== attempt || passage.stage === 'pending') return;
    if (passage.stage === 'connecting') this.#unreached(now, passage);
    else if (passage.stage === 'returning') {
      this.#cancel(passage);
      this.#breakOff(now, passage);
    } else {
      this.#counters.add(isStale ? 'runs.stale' : 'runs.broke');
      passage.stage = 'pending';
      if (this.#decision.broke(now, id, true, isStale)) this.#counters.add('repeats');
      else {
        this.#end(passage);
        this.#steps.push({
          do: 'tell',
          id,
          kind: 'unsure-run',
          text: 'the runner broke off; it may have run',
          retryMs: 0,
        });
      }
    }
    this.settle(now);
  }

  /** The client went away: its run is cancelled. */
  gone(now: Moment, id: number): void {
    const passage = this.#inFlightRequests.get(id);
    if (!passage) return;
    this.#counters.add('clients.gone');
    if (passage.stage !== 'pending') this.#cancel(passage);
    this.#end(passage);
    this.#decision.gone(now, id);
    this.settle(now);
  }

  // ---- what follows

  #current(
    id: number,
    attempt: number,
    stage: InFlightRequest['stage'],
  ): InFlightRequest | undefined {
    const passage = this.#inFlightRequests.get(id);
    return passage && passage.attempt === attempt && passage.stage === stage ? passage : undefined;
  }

  #cancel(passage: InFlightRequest): void {
    this.#steps.push({ do: 'cancel', id: passage.asked.id, attempt: passage.attempt });
  }

  #end(passage: InFlightRequest): void {
    this.#inFlightRequests.delete(passage.asked.id);
  }

  #unreached(now: Moment, passage: InFlightRequest): void {
    this.#counters.add('runs.unreached');
    passage.stage = 'pending';
    this.#decision.notRun(now, passage.asked.id, 'unreached');
  }

  #breakOff(now: Moment, passage: InFlightRequest): void {
    this.#counters.add('streams.broken');
    this.#end(passage);
    this.#steps.push({ do: 'breakOff', id: passage.asked.id });
    this.#decision.broke(now, passage.asked.id, false);
  }

  /** Takes up the verdicts that have come about. */
  settle(now: Moment): void {
    for (
      let verdicts = this.#decision.drain();
      verdicts.length > 0;
      verdicts = this.#decision.drain()
    ) {
      for (const verdict of verdicts) {
        const passage = this.#inFlightRequests.get(verdict.id);
        if (!passage) continue;
        if (verdict.do === 'run') this.#connect(now, passage, verdict);
        else {
          this.#end(passage);
          // Once bytes were written, no return ever claims that it was turned away.
          if (passage.isWritten)
            this.#steps.push({
              do: 'tell',
              id: verdict.id,
              kind: 'unsure-run',
              text: 'a runner was reached and broke off; it may have run',
              retryMs: 0,
            });
          else
            this.#steps.push({
              do: 'tell',
              id: verdict.id,
              kind: verdict.kind,
              text: verdict.text,
              retryMs: verdict.retryMs,
            });
        }
      }
    }
  }

  #connect(now: Moment, passage: InFlightRequest, verdict: RunVerdict): void {
    passage.attempt += 1;
    passage.stage = 'connecting';
    passage.verdict = verdict;
    passage.wasWrittenBefore = passage.isWritten;
    passage.movedAt = now;
    this.#counters.add('runs');
    this.#steps.push({ do: 'connect', id: verdict.id, attempt: passage.attempt, verdict });
  }
}

/** Seconds after which coming back is worth while: from what is known, else the kind's own. */
export function retryAfterOf(kind: ErrorCode, retryMs: number): number {
  const { retryAfterSeconds: retryAfter } = ERROR_RESPONSES[kind];
  return retryAfter === 0 || retryMs === 0
    ? retryAfter
    : Math.min(120, Math.max(1, Math.ceil(retryMs / 1000)));
}

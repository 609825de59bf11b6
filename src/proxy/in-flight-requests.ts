import type { Counters } from '../common/counters.js';
import { ERROR_RESPONSES, type ErrorCode } from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import type { PolicyRouter } from './policy-router.js';
import type { RequestInfo, RunVerdict } from './policy-router-types.js';

/** What whoever has the connections must do now. */
export type ForwardStep =
  /** Connect to that runner, and write nothing yet. */
  | {
      readonly do: 'connect';
      readonly id: number;
      readonly attempt: number;
      readonly verdict: RunVerdict;
    }
  | { readonly do: 'write'; readonly id: number; readonly attempt: number }
  /** Pass on to the client the head that came, and what follows. */
  | {
      readonly do: 'forward';
      readonly id: number;
      readonly attempt: number;
      readonly table: number;
    }
  /** All was passed on, and the runner said so itself: end the client's return properly. */
  | { readonly do: 'complete'; readonly id: number; readonly attempt: number }
  /** End the client's return so that it is seen to be broken. */
  | { readonly do: 'abort'; readonly id: number }
  /** Drop the connection to the runner. */
  | { readonly do: 'cancel'; readonly id: number; readonly attempt: number }
  /** The final word on a request that got none from a runner. */
  | {
      readonly do: 'respondError';
      readonly id: number;
      readonly kind: ErrorCode;
      readonly text: string;
      readonly retryMs: number;
    };

export interface InFlightSettings {
  /** The most; of a short lateness no more than an eighth. */
  readonly connectTimeoutMs: number;
  /** How long a return that has begun may stand still, for the runner's sake or the client's. */
  readonly idleTimeoutMs: number;
}

/** How a head that came back ends, if it does, and whether the runner has begun the request at all. */
export interface RunnerResponseHead {
  readonly isStarted: boolean;
  readonly isBounded: boolean;
}

interface InFlightRequest {
  readonly info: RequestInfo;
  stage: 'pending' | 'connecting' | 'written' | 'returning';
  /** Counts the runners it was drawn to; what is heard of an earlier one is void. */
  attempt: number;
  verdict: RunVerdict | undefined;
  /** Whether bytes of it may have reached a runner at some time: it is then never told as turned away. */
  isWritten: boolean;
  wasWrittenBefore: boolean;
  isBounded: boolean;
  lastActivityAt: Moment;
}

/** A tick that comes so late shows that this process stood still, not the runners. */
const EVENT_LOOP_STALL_MS = 1000;
/** A return that stood still for long may not be cut at the very tick after our own stall. */
const STALL_RECOVERY_MS = 1000;

/**
 * What is known of each request on its way, pure: it hears what happens on the connections and says what to do.
 * The HTTP executor and the simulator both drive it, so that the rules on data are tried on virtual time.
 */
export class InFlightRequests {
  readonly #router: PolicyRouter;
  readonly #settings: InFlightSettings;
  readonly #counters: Counters;
  readonly #inFlightRequests = new Map<number, InFlightRequest>();
  #steps: ForwardStep[] = [];
  #lastTickAt: Moment | undefined;

  constructor(router: PolicyRouter, settings: InFlightSettings, counters: Counters) {
    this.#router = router;
    this.#settings = settings;
    this.#counters = counters;
  }

  get size(): number {
    return this.#inFlightRequests.size;
  }

  drainSteps(): ForwardStep[] {
    const steps = this.#steps;
    this.#steps = [];
    return steps;
  }

  /** A request has come whole. */
  onRequest(now: Moment, info: RequestInfo): void {
    this.#inFlightRequests.set(info.id, {
      info,
      stage: 'pending',
      attempt: 0,
      verdict: undefined,
      isWritten: false,
      wasWrittenBefore: false,
      isBounded: false,
      lastActivityAt: now,
    });
    this.#router.onRequest(now, info);
    this.applyVerdicts(now);
  }

  startDraining(now: Moment): void {
    this.#router.startDraining(now);
    this.applyVerdicts(now);
  }

  tick(now: Moment): void {
    this.#router.tick(now);
    const gap = this.#lastTickAt === undefined ? 0 : now - this.#lastTickAt;
    this.#lastTickAt = now;
    for (const request of [...this.#inFlightRequests.values()]) {
      // What came in while we stood still is read only after this tick.
      if (gap > EVENT_LOOP_STALL_MS)
        request.lastActivityAt = later(request.lastActivityAt, gap + STALL_RECOVERY_MS);
      this.#check(now, request);
    }
    this.applyVerdicts(now);
  }

  #check(now: Moment, request: InFlightRequest): void {
    const { verdict, stage } = request;
    if (!verdict || stage === 'pending') return;
    // A stream that has begun in time goes on; anything else ends with its limit.
    const isLate = now >= verdict.deadline && !(stage === 'returning' && verdict.row.stream);
    if (isLate) this.#onDeadline(now, request);
    else if (
      stage === 'connecting' &&
      now >=
        later(
          request.lastActivityAt,
          Math.min(this.#settings.connectTimeoutMs, verdict.row.lateMs / 8),
        )
    ) {
      this.#cancel(request);
      this.#onConnectFailed(now, request);
    } else if (
      stage === 'returning' &&
      now >= later(request.lastActivityAt, this.#settings.idleTimeoutMs)
    ) {
      this.#counters.add('returns.silent');
      this.#cancel(request);
      this.#abortResponse(now, request);
    }
  }

  #onDeadline(now: Moment, request: InFlightRequest): void {
    this.#counters.add('runs.late');
    this.#cancel(request);
    const { id } = request.info;
    if (request.stage === 'returning') {
      this.#abortResponse(now, request);
      return;
    }
    // How long it has gone on already says how long runs are, at the least.
    if (request.stage === 'written') this.#router.onRunCompleted(now, id);
    else this.#router.onClientDisconnect(now, id);
    this.#end(request);
    this.#steps.push({
      do: 'respondError',
      id,
      kind: request.isWritten ? 'unsure-late' : 'limit-passed',
      text: 'its limit passed',
      retryMs: 0,
    });
  }

  // ---- what is heard of the connections

  /** The connection stands, new or kept. Only now is it known when the first byte would go. */
  onConnect(now: Moment, id: number, attempt: number): void {
    const request = this.#current(id, attempt, 'connecting');
    if (!request) return;
    if (this.#router.mayWrite(now, id)) {
      request.stage = 'written';
      request.isWritten = true;
      this.#steps.push({ do: 'write', id, attempt });
    } else {
      this.#counters.add('runs.withdrawn');
      this.#cancel(request);
      request.stage = 'pending';
      this.#router.rerouteUnwritten(now, id);
    }
    this.applyVerdicts(now);
  }

  onHeaders(now: Moment, id: number, attempt: number, head: RunnerResponseHead): void {
    const request = this.#current(id, attempt, 'written');
    if (!request?.verdict) return;
    if (!head.isStarted) {
      // The runner's own word that it has not begun this request and will not.
      this.#counters.add('runs.full');
      request.isWritten = request.wasWrittenBefore;
      request.stage = 'pending';
      this.#router.onUnprocessed(now, id, 'full');
    } else {
      request.stage = 'returning';
      request.isBounded = head.isBounded;
      request.lastActivityAt = now;
      this.#steps.push({ do: 'forward', id, attempt, table: request.verdict.table });
    }
    this.applyVerdicts(now);
  }

  onData(now: Moment, id: number, attempt: number): void {
    const request = this.#current(id, attempt, 'returning');
    if (request) request.lastActivityAt = now;
  }

  /** The runner's return came to its end. */
  onComplete(now: Moment, id: number, attempt: number): void {
    const request = this.#current(id, attempt, 'returning');
    if (!request) return;
    // One that has neither length nor chunks ends alike whether it is whole or its runner crashed.
    if (!request.isBounded) {
      this.onDisconnect(now, id, attempt, false);
      return;
    }
    this.#counters.add('returns');
    this.#end(request);
    this.#steps.push({ do: 'complete', id, attempt });
    this.#router.onRunCompleted(now, id);
    this.applyVerdicts(now);
  }

  /** The connection to the runner failed or closed before its return's end. */
  onDisconnect(now: Moment, id: number, attempt: number, isStale: boolean): void {
    const request = this.#inFlightRequests.get(id);
    if (!request || request.attempt !== attempt || request.stage === 'pending') return;
    if (request.stage === 'connecting') this.#onConnectFailed(now, request);
    else if (request.stage === 'returning') {
      this.#cancel(request);
      this.#abortResponse(now, request);
    } else {
      this.#counters.add(isStale ? 'runs.stale' : 'runs.broke');
      request.stage = 'pending';
      if (this.#router.onRunFailed(now, id, true, isStale)) this.#counters.add('repeats');
      else {
        this.#end(request);
        this.#steps.push({
          do: 'respondError',
          id,
          kind: 'unsure-run',
          text: 'the runner broke off; it may have run',
          retryMs: 0,
        });
      }
    }
    this.applyVerdicts(now);
  }

  /** The client went away: its run is cancelled. */
  onClientDisconnect(now: Moment, id: number): void {
    const request = this.#inFlightRequests.get(id);
    if (!request) return;
    this.#counters.add('clients.gone');
    if (request.stage !== 'pending') this.#cancel(request);
    this.#end(request);
    this.#router.onClientDisconnect(now, id);
    this.applyVerdicts(now);
  }

  // ---- what follows

  #current(
    id: number,
    attempt: number,
    stage: InFlightRequest['stage'],
  ): InFlightRequest | undefined {
    const request = this.#inFlightRequests.get(id);
    return request && request.attempt === attempt && request.stage === stage ? request : undefined;
  }

  #cancel(request: InFlightRequest): void {
    this.#steps.push({ do: 'cancel', id: request.info.id, attempt: request.attempt });
  }

  #end(request: InFlightRequest): void {
    this.#inFlightRequests.delete(request.info.id);
  }

  #onConnectFailed(now: Moment, request: InFlightRequest): void {
    this.#counters.add('runs.unreached');
    request.stage = 'pending';
    this.#router.onUnprocessed(now, request.info.id, 'unreached');
  }

  #abortResponse(now: Moment, request: InFlightRequest): void {
    this.#counters.add('streams.broken');
    this.#end(request);
    this.#steps.push({ do: 'abort', id: request.info.id });
    this.#router.onRunFailed(now, request.info.id, false);
  }

  /** Takes up the verdicts that have come about. */
  applyVerdicts(now: Moment): void {
    for (
      let verdicts = this.#router.drainVerdicts();
      verdicts.length > 0;
      verdicts = this.#router.drainVerdicts()
    ) {
      for (const verdict of verdicts) {
        const request = this.#inFlightRequests.get(verdict.id);
        if (!request) continue;
        if (verdict.do === 'run') this.#connect(now, request, verdict);
        else {
          this.#end(request);
          // Once bytes were written, no return ever claims that it was turned away.
          if (request.isWritten)
            this.#steps.push({
              do: 'respondError',
              id: verdict.id,
              kind: 'unsure-run',
              text: 'a runner was reached and broke off; it may have run',
              retryMs: 0,
            });
          else
            this.#steps.push({
              do: 'respondError',
              id: verdict.id,
              kind: verdict.kind,
              text: verdict.text,
              retryMs: verdict.retryMs,
            });
        }
      }
    }
  }

  #connect(now: Moment, request: InFlightRequest, verdict: RunVerdict): void {
    request.attempt += 1;
    request.stage = 'connecting';
    request.verdict = verdict;
    request.wasWrittenBefore = request.isWritten;
    request.lastActivityAt = now;
    this.#counters.add('runs');
    this.#steps.push({ do: 'connect', id: verdict.id, attempt: request.attempt, verdict });
  }
}

/** Seconds after which coming back is worth while: from what is known, else the kind's own. */
export function retryAfterSeconds(kind: ErrorCode, retryMs: number): number {
  const { retryAfterSeconds: retryAfter } = ERROR_RESPONSES[kind];
  return retryAfter === 0 || retryMs === 0
    ? retryAfter
    : Math.min(120, Math.max(1, Math.ceil(retryMs / 1000)));
}

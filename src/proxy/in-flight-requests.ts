import type { Counters } from '../common/counters.js';
import { ERROR_RESPONSES, type ErrorCode } from '../common/errors.js';
import { later, type Moment } from '../common/ids.js';
import type { PolicyRouter } from './policy-router.js';
import type { RequestInfo, RunVerdict } from './policy-router-types.js';

/** What the owner of the connections has to do next. */
export type ForwardStep =
  /** Connect to the runner, but write nothing yet. */
  | {
      readonly do: 'connect';
      readonly id: number;
      readonly attempt: number;
      readonly verdict: RunVerdict;
    }
  /** Write the request to the runner. */
  | { readonly do: 'write'; readonly id: number; readonly attempt: number }
  /** Forward the response, whose head has arrived, to the client. `table`: number of the policy table that was used. */
  | {
      readonly do: 'forward';
      readonly id: number;
      readonly attempt: number;
      readonly table: number;
    }
  /** The runner's response is complete: end the client's response normally. */
  | { readonly do: 'complete'; readonly id: number; readonly attempt: number }
  /** End the client's response in a way that shows the client that it is incomplete. */
  | { readonly do: 'abort'; readonly id: number }
  /** Close the connection to the runner. */
  | { readonly do: 'cancel'; readonly id: number; readonly attempt: number }
  /** Respond to the client with an error instead of a runner's response. `retryMs`: when to retry; 0 if unknown. */
  | {
      readonly do: 'respondError';
      readonly id: number;
      readonly kind: ErrorCode;
      readonly text: string;
      readonly retryMs: number;
    };

/** Timeouts of requests at runners. */
export interface InFlightSettings {
  /** Timeout of connecting, ms; at most an eighth of the time limit (`lateMs`) of the request's policy table row. */
  readonly connectTimeoutMs: number;
  /** How long a response may make no progress, whether because of the runner or of the client, ms. */
  readonly idleTimeoutMs: number;
}

/** What `InFlightRequests` needs to know of the head of a runner's response. */
export interface RunnerResponseHead {
  /** Whether the runner has started to process the request; false if it states that it has not and will not. */
  readonly isStarted: boolean;
  /** Whether the message states its own length (Content-Length or chunks), so that a cut-off response is recognized. */
  readonly hasSelfDefinedLength: boolean;
}

interface InFlightRequest {
  readonly info: RequestInfo;
  stage: 'pending' | 'connecting' | 'written' | 'responding';
  /** Number of the current attempt; events of an earlier one are ignored. */
  attempt: number;
  verdict: RunVerdict | undefined;
  /** Whether bytes of it may have reached a runner: then no response may claim that it was not processed. */
  isWritten: boolean;
  /** The value of `isWritten` before the current attempt. */
  wasWrittenBefore: boolean;
  hasSelfDefinedLength: boolean;
  lastActivityAt: Moment;
}

/** A longer gap between ticks means that this process was stalled, not the runners. */
const EVENT_LOOP_STALL_MS = 1000;
/** Additional time after a stall of this process before a response that makes no progress is aborted. */
const STALL_RECOVERY_MS = 1000;

/**
 * The state of each request in flight. Does no I/O: events of the connections are passed in, and the resulting steps are
 * drained. Both the HTTP forwarder and the simulator drive it, so that its rules are also tested on virtual time.
 *
 * Each `run` verdict of the router starts an attempt here: a run and an attempt are the same thing. The deadline of a
 * request is its arrival plus the time limit of its row.
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

  /** The number of requests in flight. */
  get size(): number {
    return this.#inFlightRequests.size;
  }

  /** Removes and returns the steps since the last call; they must be carried out in this order. */
  drainSteps(): ForwardStep[] {
    const steps = this.#steps;
    this.#steps = [];
    return steps;
  }

  /** A request was read completely. */
  onRequest(now: Moment, info: RequestInfo): void {
    this.#inFlightRequests.set(info.id, {
      info,
      stage: 'pending',
      attempt: 0,
      verdict: undefined,
      isWritten: false,
      wasWrittenBefore: false,
      hasSelfDefinedLength: false,
      lastActivityAt: now,
    });
    this.#router.onRequest(now, info);
    this.applyVerdicts(now);
  }

  /** Begins a graceful shutdown. */
  startDraining(now: Moment): void {
    this.#router.startDraining(now);
    this.applyVerdicts(now);
  }

  /** Periodic tick: applies deadlines and timeouts. */
  tick(now: Moment): void {
    this.#router.tick(now);
    const gap = this.#lastTickAt === undefined ? 0 : now - this.#lastTickAt;
    this.#lastTickAt = now;
    for (const request of [...this.#inFlightRequests.values()]) {
      // Data that arrived during a stall of this process is read only after this tick.
      if (gap > EVENT_LOOP_STALL_MS)
        request.lastActivityAt = later(request.lastActivityAt, gap + STALL_RECOVERY_MS);
      this.#applyTimeouts(now, request);
    }
    this.applyVerdicts(now);
  }

  /** Ends a request whose deadline has passed, and an attempt that exceeds the connect timeout or the idle timeout. */
  #applyTimeouts(now: Moment, request: InFlightRequest): void {
    const { verdict, stage } = request;
    if (!verdict || stage === 'pending') return;
    // A stream that has started before the deadline continues; any other request ends there.
    const isExpired = now >= verdict.deadline && !(stage === 'responding' && verdict.row.stream);
    if (isExpired) this.#onDeadline(now, request);
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
      stage === 'responding' &&
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
    if (request.stage === 'responding') {
      this.#abortResponse(now, request);
      return;
    }
    // Once written, recorded as a completed run: the time that it took so far is a lower bound of a run's duration.
    // Before that, the router only removes the request, as it does for a client that disconnects.
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

  // ---- events of the connections

  /** The connection is established, new or reused. Whether the request may still be written is decided only now. */
  onConnect(now: Moment, id: number, attempt: number): void {
    const request = this.#findInStage(id, attempt, 'connecting');
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

  /** The head of a response arrived. */
  onHeaders(now: Moment, id: number, attempt: number, head: RunnerResponseHead): void {
    const request = this.#findInStage(id, attempt, 'written');
    if (!request?.verdict) return;
    if (!head.isStarted) {
      // The runner states that it has not started to process this request and will not.
      this.#counters.add('runs.full');
      request.isWritten = request.wasWrittenBefore;
      request.stage = 'pending';
      this.#router.onUnprocessed(now, id, 'full');
    } else {
      request.stage = 'responding';
      request.hasSelfDefinedLength = head.hasSelfDefinedLength;
      request.lastActivityAt = now;
      this.#steps.push({ do: 'forward', id, attempt, table: request.verdict.table });
    }
    this.applyVerdicts(now);
  }

  /** Bytes of the response arrived. */
  onData(now: Moment, id: number, attempt: number): void {
    const request = this.#findInStage(id, attempt, 'responding');
    if (request) request.lastActivityAt = now;
  }

  /** The runner's response ended. */
  onComplete(now: Moment, id: number, attempt: number): void {
    const request = this.#findInStage(id, attempt, 'responding');
    if (!request) return;
    // Without a length or chunks, a complete response ends in the same way as one whose runner crashed.
    if (!request.hasSelfDefinedLength) {
      this.onDisconnect(now, id, attempt, false);
      return;
    }
    this.#counters.add('returns');
    this.#end(request);
    this.#steps.push({ do: 'complete', id, attempt });
    this.#router.onRunCompleted(now, id);
    this.applyVerdicts(now);
  }

  /**
   * The connection to the runner failed, or closed before the response was complete. `isStale`: it was an idle
   * connection that closed as it was reused, before any response arrived.
   */
  onDisconnect(now: Moment, id: number, attempt: number, isStale: boolean): void {
    const request = this.#inFlightRequests.get(id);
    if (!request || request.attempt !== attempt || request.stage === 'pending') return;
    if (request.stage === 'connecting') this.#onConnectFailed(now, request);
    else if (request.stage === 'responding') {
      this.#cancel(request);
      this.#abortResponse(now, request);
    } else {
      this.#counters.add(isStale ? 'runs.stale' : 'runs.broke');
      request.stage = 'pending';
      // No response has started, so the router may retry the request; the result is whether it does.
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

  /** The client disconnected: cancels its request. */
  onClientDisconnect(now: Moment, id: number): void {
    const request = this.#inFlightRequests.get(id);
    if (!request) return;
    this.#counters.add('clients.gone');
    if (request.stage !== 'pending') this.#cancel(request);
    this.#end(request);
    this.#router.onClientDisconnect(now, id);
    this.applyVerdicts(now);
  }

  // ---- transitions

  /** The request, if this attempt is its current one and is in this stage. */
  #findInStage(
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
    // Part of the response was forwarded: the router must not retry the request.
    this.#router.onRunFailed(now, request.info.id, false);
  }

  /** Applies the router's verdicts since the last call. */
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
          // Once bytes were written, no response may claim that the request was not processed.
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

/**
 * The value of Retry-After, in seconds; 0 for no header. An error whose default is 0 never has one; for others it is
 * `retryMs` rounded up and limited to 1 to 120 s, or the default if `retryMs` is 0 (unknown).
 */
export function retryAfterSeconds(kind: ErrorCode, retryMs: number): number {
  const { retryAfterSeconds: retryAfter } = ERROR_RESPONSES[kind];
  return retryAfter === 0 || retryMs === 0
    ? retryAfter
    : Math.min(120, Math.max(1, Math.ceil(retryMs / 1000)));
}

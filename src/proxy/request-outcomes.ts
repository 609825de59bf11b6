import type { DispatchCounts } from './dispatch-counts.js';
import type { RejectReason } from './dispatch-types.js';
import type { EffectQueue } from './effect-queue.js';
import type { OpenRequests } from './open-requests.js';
import { isRejectable, type RoutedRequest } from './routed-request.js';

/** A request whose time is over is told to come back after so long. */
const EXPIRED_RETRY_AFTER_MS = 100;

/** The last word on requests that get none from a runner: refused where it is proven that they never ran, else failed. */
export class RequestOutcomes {
  readonly #requests: OpenRequests;
  readonly #effects: EffectQueue;
  readonly #counts: DispatchCounts;

  constructor(requests: OpenRequests, effects: EffectQueue, counts: DispatchCounts) {
    this.#requests = requests;
    this.#effects = effects;
    this.#counts = counts;
  }

  /** Refuses a request that was given to no runner, since no route was sought or found for it. */
  rejectUnrouted(id: number, reason: RejectReason, retryAfterMs: number): void {
    this.#counts.refused += 1;
    this.#effects.push({ do: 'reject', id, reason, retryAfterMs });
  }

  /** Ends a request as refused; where it may have run, as failed. */
  reject(request: RoutedRequest, reason: RejectReason, retryAfterMs: number): void {
    if (!isRejectable(request)) {
      this.fail(request);
      return;
    }
    this.#requests.remove(request);
    this.rejectUnrouted(request.head.id, reason, retryAfterMs);
  }

  /** Ends a request as failed: no promise is made. */
  fail(request: RoutedRequest): void {
    this.#end(request, false);
  }

  /** Ends a request whose time is over. */
  expire(request: RoutedRequest): void {
    if (isRejectable(request)) this.reject(request, 'late', EXPIRED_RETRY_AFTER_MS);
    else this.#end(request, true);
  }

  #end(request: RoutedRequest, isTimeout: boolean): void {
    this.#requests.remove(request);
    this.#counts.failed += 1;
    this.#effects.push({ do: 'fail', id: request.head.id, isTimeout });
  }
}

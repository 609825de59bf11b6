import type { DispatchCounts } from './dispatch-counts.js';
import type { RejectReason } from './dispatch-types.js';
import type { EffectQueue } from './effect-queue.js';
import type { OpenRequests } from './open-requests.js';
import { isRejectable, type RoutedRequest } from './routed-request.js';

/** The retry delay given to a client whose request expired. */
const EXPIRED_RETRY_AFTER_MS = 100;

/** Ends requests that get no runner's response: as rejected if certainly no runner has processed them, else as failed. */
export class RequestOutcomes {
  readonly #requests: OpenRequests;
  readonly #effects: EffectQueue;
  readonly #counts: DispatchCounts;

  constructor(requests: OpenRequests, effects: EffectQueue, counts: DispatchCounts) {
    this.#requests = requests;
    this.#effects = effects;
    this.#counts = counts;
  }

  /** Rejects a request that was never admitted. */
  rejectUnrouted(id: number, reason: RejectReason, retryAfterMs: number): void {
    this.#counts.refused += 1;
    this.#effects.push({ do: 'reject', id, reason, retryAfterMs });
  }

  /** Ends a request as rejected, or as failed if it may have been processed. */
  reject(request: RoutedRequest, reason: RejectReason, retryAfterMs: number): void {
    if (!isRejectable(request)) {
      this.fail(request);
      return;
    }
    this.#requests.remove(request);
    this.rejectUnrouted(request.head.id, reason, retryAfterMs);
  }

  /** Ends a request as failed: it may have been processed. */
  fail(request: RoutedRequest): void {
    this.#end(request, false);
  }

  /** Ends a request whose deadline has passed. */
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

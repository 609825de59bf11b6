import type { Moment } from '../common/ids.js';
import type { RoutedRequest } from './routed-request.js';
import type { ModelDemand } from './model-demand.js';
import { WaitingRequests } from './waiting-requests.js';

/** Requests that were accepted and have not ended, in order of arrival. */
export class OpenRequests {
  readonly #requests = new Map<number, RoutedRequest>();
  readonly #waiting = new WaitingRequests();
  readonly #demand: ModelDemand;

  constructor(demand: ModelDemand) {
    this.#demand = demand;
  }

  /** The number of open requests. */
  get size(): number {
    return this.#requests.size;
  }

  /** The requests that wait for a load or for a place. */
  get waiting(): WaitingRequests {
    return this.#waiting;
  }

  /** Adds a request that was accepted. */
  add(request: RoutedRequest): void {
    this.#requests.set(request.head.id, request);
    this.#demand.onRequest(request);
  }

  /** The request with this id, if it has not ended. */
  get(id: number): RoutedRequest | undefined {
    return this.#requests.get(id);
  }

  /** The request with this id if this attempt of it is in progress; events of earlier attempts are to be ignored. */
  withCurrentAttempt(id: number, attempt: number): RoutedRequest | undefined {
    const request = this.#requests.get(id);
    return request && request.attempt === attempt && request.phase !== 'waiting'
      ? request
      : undefined;
  }

  /** All open requests. */
  all(): IterableIterator<RoutedRequest> {
    return this.#requests.values();
  }

  /** The request waits from now on; it can start at `latestStartAt` at the latest. */
  startWaiting(request: RoutedRequest, latestStartAt: Moment): void {
    request.phase = 'waiting';
    this.#waiting.add(request, latestStartAt);
    this.#demand.onWaitStart(request);
  }

  /** The request no longer waits; no effect if it did not. */
  endWaiting(request: RoutedRequest): void {
    this.#waiting.delete(request);
    this.#demand.onWaitEnd(request);
  }

  /** Removes a request that has ended, with whatever outcome. */
  remove(request: RoutedRequest): void {
    this.endWaiting(request);
    this.#requests.delete(request.head.id);
  }
}

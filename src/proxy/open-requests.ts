import type { RoutedRequest } from './routed-request.js';
import type { ModelDemand } from './model-demand.js';

/** Requests that were taken and have not ended, in the order in which they came. */
export class OpenRequests {
  readonly #requests = new Map<number, RoutedRequest>();
  readonly #demand: ModelDemand;

  constructor(demand: ModelDemand) {
    this.#demand = demand;
  }

  get size(): number {
    return this.#requests.size;
  }

  /** A request was taken. */
  add(request: RoutedRequest): void {
    this.#requests.set(request.head.id, request);
    this.#demand.onRequest(request);
  }

  /** The request of that id, if it has not ended. */
  get(id: number): RoutedRequest | undefined {
    return this.#requests.get(id);
  }

  /** The same, if that attempt of it is under way; what is heard of an earlier one is void. */
  withCurrentAttempt(id: number, attempt: number): RoutedRequest | undefined {
    const request = this.#requests.get(id);
    return request && request.attempt === attempt && request.phase !== 'waiting'
      ? request
      : undefined;
  }

  /** All of them. */
  all(): IterableIterator<RoutedRequest> {
    return this.#requests.values();
  }

  /** The request has ended, whichever way. */
  remove(request: RoutedRequest): void {
    this.#demand.onWaitEnd(request);
    this.#requests.delete(request.head.id);
  }
}

import type { RoutedRequest } from './routed-request.js';
import type { UnitDemand } from './unit-demand.js';

/** Requests that were taken and have not ended, in the order in which they came. */
export class OpenRequests {
  readonly #requests = new Map<number, RoutedRequest>();
  readonly #demand: UnitDemand;

  constructor(demand: UnitDemand) {
    this.#demand = demand;
  }

  get size(): number {
    return this.#requests.size;
  }

  /** A request was taken. */
  add(request: RoutedRequest): void {
    this.#requests.set(request.head.id, request);
    this.#demand.add(request);
  }

  /** The request of that id, if it has not ended. */
  get(id: number): RoutedRequest | undefined {
    return this.#requests.get(id);
  }

  /** The same, if that attempt of it is under way; what is heard of an earlier one is void. */
  current(id: number, attempt: number): RoutedRequest | undefined {
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
  end(request: RoutedRequest): void {
    this.#demand.leave(request);
    this.#requests.delete(request.head.id);
  }
}

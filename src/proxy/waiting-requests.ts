import type { Moment } from '../common/ids.js';
import type { RoutedRequest } from './routed-request.js';
import { precedes, type RankedRequest } from './serving-order.js';

const EMPTY: readonly RoutedRequest[] = [];

/** Requests that wait for the same runners, in the order in which they are served. */
class WaitingQueue {
  readonly #ranked: RankedRequest[] = [];
  readonly #requests: RoutedRequest[] = [];

  get requests(): readonly RoutedRequest[] {
    return this.#requests;
  }

  rankedAt(index: number): RankedRequest | undefined {
    return this.#ranked[index];
  }

  insert(ranked: RankedRequest): void {
    const index = this.#firstAfter(ranked);
    this.#ranked.splice(index, 0, ranked);
    this.#requests.splice(index, 0, ranked.request);
  }

  remove(request: RoutedRequest): void {
    const index = this.#requests.indexOf(request);
    this.#ranked.splice(index, 1);
    this.#requests.splice(index, 1);
  }

  /** Binary search for the index of the first request that the given one precedes. */
  #firstAfter(ranked: RankedRequest): number {
    let low = 0;
    let high = this.#ranked.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#ranked[middle];
      if (other && precedes(ranked, other)) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

/** Requests that wait for a load or for a place, by what they wait for. */
export class WaitingRequests {
  readonly #queues = new Map<string, WaitingQueue>();
  readonly #waiting = new Set<RoutedRequest>();

  /** Whether no request waits. */
  get isEmpty(): boolean {
    return this.#waiting.size === 0;
  }

  /** Adds a request that can start at `latestStartAt` at the latest; no effect if it waits already. */
  add(request: RoutedRequest, latestStartAt: Moment): void {
    if (this.#waiting.has(request)) return;
    this.#waiting.add(request);
    const key = queueKeyOf(request);
    const queue = this.#queues.get(key) ?? new WaitingQueue();
    this.#queues.set(key, queue);
    queue.insert({ request, latestStartAt });
  }

  /** Removes a request; no effect if it does not wait. */
  delete(request: RoutedRequest): void {
    if (!this.#waiting.delete(request)) return;
    const key = queueKeyOf(request);
    const queue = this.#queues.get(key);
    queue?.remove(request);
    if (queue?.requests.length === 0) this.#queues.delete(key);
  }

  /** Whether the request waits. */
  has(request: RoutedRequest): boolean {
    return this.#waiting.has(request);
  }

  /** The requests that wait for the same as this one, in serving order. */
  inQueueOf(request: RoutedRequest): readonly RoutedRequest[] {
    return this.#queues.get(queueKeyOf(request))?.requests ?? EMPTY;
  }

  /** The requests of each queue, in serving order. */
  queues(): (readonly RoutedRequest[])[] {
    return [...this.#queues.values()].map(({ requests }) => requests);
  }

  /**
   * Offers the waiting requests to `tryStart` in serving order over all queues, until it has failed for one that stands for
   * the rest of its queue. `tryStart` removes each request that it starts, and returns `blocked` for such a failure.
   */
  offer(tryStart: (request: RoutedRequest) => OfferOutcome): void {
    const cursors = [...this.#queues.values()].map((queue) => ({ queue, index: 0 }));
    for (let best = bestOf(cursors); best; best = bestOf(cursors)) {
      const request = best.queue.rankedAt(best.index)?.request;
      const outcome = request ? tryStart(request) : 'blocked';
      if (outcome === 'blocked') cursors.splice(cursors.indexOf(best), 1);
      else if (outcome === 'skipped') best.index += 1;
    }
  }
}

/** The outcome of offering a request: started; not started, unlike others of its queue perhaps; or none of them can. */
export type OfferOutcome = 'started' | 'skipped' | 'blocked';

interface QueueCursor {
  readonly queue: WaitingQueue;
  index: number;
}

/** The cursor at the request that is served first; undefined if all are at the end of their queues. */
function bestOf(cursors: readonly QueueCursor[]): QueueCursor | undefined {
  let best: QueueCursor | undefined;
  let bestRanked: RankedRequest | undefined;
  for (const cursor of cursors) {
    const ranked = cursor.queue.rankedAt(cursor.index);
    if (!ranked || (bestRanked && !precedes(ranked, bestRanked))) continue;
    best = cursor;
    bestRanked = ranked;
  }
  return best;
}

/** Requests with the same key wait for the same runners: those of a service, or those that have a model and adapter. */
function queueKeyOf({ modelUnit, service }: RoutedRequest): string {
  return modelUnit === '' ? service.name : modelUnit;
}

import type { RoutedRequest } from './routed-request.js';

/** Requests that wait for a load or for a place, by what they wait for. */
export class WaitingRequests {
  readonly #byQueue = new Map<string, Set<RoutedRequest>>();

  /** Whether no request waits. */
  get isEmpty(): boolean {
    return this.#byQueue.size === 0;
  }

  /** Adds a request; no effect if it waits already. */
  add(request: RoutedRequest): void {
    const key = queueKeyOf(request);
    const queue = this.#byQueue.get(key);
    if (queue) queue.add(request);
    else this.#byQueue.set(key, new Set([request]));
  }

  /** Removes a request; no effect if it does not wait. */
  delete(request: RoutedRequest): void {
    const key = queueKeyOf(request);
    const queue = this.#byQueue.get(key);
    if (queue?.delete(request) && queue.size === 0) this.#byQueue.delete(key);
  }

  /** Whether the request waits. */
  has(request: RoutedRequest): boolean {
    return this.#byQueue.get(queueKeyOf(request))?.has(request) ?? false;
  }

  /** The requests that wait for the same as this one, in no particular order. */
  inQueueOf(request: RoutedRequest): RoutedRequest[] {
    return [...(this.#byQueue.get(queueKeyOf(request)) ?? [])];
  }

  /** All requests that wait, in no particular order. */
  all(): RoutedRequest[] {
    const all: RoutedRequest[] = [];
    for (const queue of this.#byQueue.values()) all.push(...queue);
    return all;
  }
}

/** Requests with the same key wait for the same runners: those of a service, or those that have a model and adapter. */
export function queueKeyOf({ modelUnit, service }: RoutedRequest): string {
  return modelUnit === '' ? service.name : modelUnit;
}

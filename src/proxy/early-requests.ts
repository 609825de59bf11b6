import { later, type Moment } from '../common/ids.js';
import { REFUSAL_LEAD_MS } from './caller-time.js';
import { shortestClientTimeMs } from './client-timeout.js';
import type { RequestOutcomes } from './request-outcomes.js';
import type { RequestHead } from './dispatch-types.js';

/** How long after its first request a proxy that has just started usually knows its configuration. */
const USUAL_STARTUP_MS = 800;
/** After this time the configuration is overdue: nothing is known about when it will arrive. */
const OVERDUE_MS = USUAL_STARTUP_MS * 2;
/** Maximum number of queued requests. */
const MAX_EARLY_REQUESTS = 500;
/** Retry delay given to clients when it is unknown when this proxy can serve them; other proxies may be able to. */
const UNKNOWN_RETRY_AFTER_MS = 400;
/** Retry delay given to clients when this process stops: other proxies can serve the request at once. */
const STOPPED_RETRY_AFTER_MS = 100;

interface EarlyRequest {
  readonly head: RequestHead;
  readonly rejectAt: Moment;
}

/**
 * Requests that arrived before this proxy had a configuration. They are queued while it is expected within the time of
 * their clients. As long as no route is known, that is the shortest time that the clients of any route wait.
 */
export class EarlyRequests {
  readonly #outcomes: RequestOutcomes;
  readonly #requests = new Map<number, EarlyRequest>();
  #startedAt: Moment | undefined;

  constructor(outcomes: RequestOutcomes) {
    this.#outcomes = outcomes;
  }

  /** A request arrived: queues or rejects it. */
  add(now: Moment, head: RequestHead): void {
    this.#startedAt ??= now;
    const rejectAt = later(now, shortestClientTimeMs(head.timeLeftMs) - REFUSAL_LEAD_MS);
    const isFull = this.#requests.size >= MAX_EARLY_REQUESTS;
    if (isFull || this.#isOverdue(now) || later(now, this.#expectedMs(now)) > rejectAt)
      this.#reject(now, head.id);
    else this.#requests.set(head.id, { head, rejectAt });
  }

  /** Removes and returns the queued requests, in order of arrival. */
  release(): RequestHead[] {
    const heads: RequestHead[] = [];
    for (const { head } of this.#requests.values()) heads.push(head);
    this.#requests.clear();
    return heads;
  }

  /** Rejects all queued requests, because this process is stopping. */
  rejectAll(): void {
    for (const { id } of this.release())
      this.#outcomes.rejectUnrouted(id, 'no-config', STOPPED_RETRY_AFTER_MS);
  }

  /** The client disconnected, or its response is complete. */
  remove(id: number): void {
    this.#requests.delete(id);
  }

  /** Rejects requests whose time is used up, and all of them once the configuration is overdue. */
  tick(now: Moment): void {
    for (const [id, { rejectAt }] of this.#requests) {
      if (now < rejectAt && !this.#isOverdue(now)) continue;
      this.#requests.delete(id);
      this.#reject(now, id);
    }
  }

  /** Time until the configuration is expected, ms; 0 if it is late. */
  #expectedMs(now: Moment): number {
    return Math.max(0, USUAL_STARTUP_MS - this.#ageMs(now));
  }

  #isOverdue(now: Moment): boolean {
    return this.#ageMs(now) > OVERDUE_MS;
  }

  /** Time since the first request, ms. */
  #ageMs(now: Moment): number {
    return now - (this.#startedAt ?? now);
  }

  #reject(now: Moment, id: number): void {
    const expectedMs = this.#expectedMs(now);
    const retryAfterMs = expectedMs > 0 ? expectedMs : UNKNOWN_RETRY_AFTER_MS;
    this.#outcomes.rejectUnrouted(id, 'no-config', retryAfterMs);
  }
}

import { later, type Moment } from '../common/ids.js';
import type { RequestOutcomes } from './request-outcomes.js';
import type { RequestHead } from './dispatch-types.js';

/** How long after its start a proxy usually knows its configuration. */
const USUAL_STARTUP_MS = 800;
/** Requests are queued only within this time before the configuration is expected. */
const EARLY_QUEUE_WINDOW_MS = 450;
/** Maximum number of queued requests. */
const MAX_EARLY_REQUESTS = 500;
/** Minimum retry delay given to the client of a rejected request. */
const MIN_RETRY_AFTER_MS = 400;
/** Retry delay given to clients when this process stops: other proxies can serve the request at once. */
const STOPPED_RETRY_AFTER_MS = 100;

interface EarlyRequest {
  readonly head: RequestHead;
  readonly rejectAt: Moment;
}

/**
 * Requests that arrived before this proxy had a configuration. Those that arrive shortly before it is expected are queued
 * until then; earlier ones are rejected, with a retry delay.
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
    const expectedMs = USUAL_STARTUP_MS - (now - this.#startedAt);
    if (
      expectedMs > EARLY_QUEUE_WINDOW_MS ||
      this.#requests.size >= MAX_EARLY_REQUESTS ||
      expectedMs < -USUAL_STARTUP_MS
    ) {
      this.#outcomes.rejectUnrouted(head.id, 'no-config', Math.max(MIN_RETRY_AFTER_MS, expectedMs));
      return;
    }
    const timeoutMs = Math.min(USUAL_STARTUP_MS, (head.timeLeftMs ?? USUAL_STARTUP_MS) / 2);
    this.#requests.set(head.id, { head, rejectAt: later(now, timeoutMs) });
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

  /** Rejects requests that were queued for too long. */
  tick(now: Moment): void {
    for (const [id, { rejectAt }] of this.#requests) {
      if (now < rejectAt) continue;
      this.#requests.delete(id);
      this.#outcomes.rejectUnrouted(id, 'no-config', MIN_RETRY_AFTER_MS);
    }
  }
}

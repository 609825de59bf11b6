import { later, type Moment } from '../common/ids.js';
import type { RequestOutcomes } from './request-outcomes.js';
import type { RequestHead } from './dispatch-types.js';

/** How long after its start a proxy usually knows its configuration. */
const USUAL_STARTUP_MS = 800;
/** How long before that a request is held for it, and how many are. */
const EARLY_QUEUE_WINDOW_MS = 450;
const MAX_EARLY_REQUESTS = 500;
/** The least time after which one that is refused is told to come back. */
const MIN_RETRY_AFTER_MS = 400;
/** When a client may come back whose request this process has no time left for: others serve at once. */
const STOPPED_RETRY_AFTER_MS = 100;

interface EarlyRequest {
  readonly head: RequestHead;
  readonly rejectAt: Moment;
}

/**
 * Requests that came before we had any configuration. Whoever comes shortly before it is due is held until then; who
 * comes sooner is told when to come back.
 */
export class EarlyRequests {
  readonly #outcomes: RequestOutcomes;
  readonly #requests = new Map<number, EarlyRequest>();
  #startedAt: Moment | undefined;

  constructor(answers: RequestOutcomes) {
    this.#outcomes = answers;
  }

  /** A request came: it is held or refused. */
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

  /** Hands over what was held, in the order in which it came. */
  release(): RequestHead[] {
    const heads: RequestHead[] = [];
    for (const { head } of this.#requests.values()) heads.push(head);
    this.#requests.clear();
    return heads;
  }

  /** Refuses all that is held, since this process ends. */
  rejectAll(): void {
    for (const { id } of this.release())
      this.#outcomes.rejectUnrouted(id, 'no-config', STOPPED_RETRY_AFTER_MS);
  }

  /** The client disconnected, or its response is complete. */
  remove(id: number): void {
    this.#requests.delete(id);
  }

  /** Refuses what was held for long enough. */
  tick(now: Moment): void {
    for (const [id, { rejectAt: until }] of this.#requests) {
      if (now < until) continue;
      this.#requests.delete(id);
      this.#outcomes.rejectUnrouted(id, 'no-config', MIN_RETRY_AFTER_MS);
    }
  }
}

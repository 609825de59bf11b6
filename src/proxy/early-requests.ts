import { later, type Moment } from '../common/ids.js';
import type { ClientAnswers } from './client-answers.js';
import type { RequestHead } from './dispatch-types.js';

/** How long after its start a proxy usually knows its configuration. */
const START_MS = 800;
/** How long before that a request is held for it, and how many are. */
const HOLD_EARLY_MS = 450;
const MOST_EARLY = 500;
/** The least time after which one that is refused is told to come back. */
const LEAST_RETRY_MS = 400;
/** When a client may come back whose request this process has no time left for: others serve at once. */
const STOPPED_RETRY_MS = 100;

interface EarlyRequest {
  readonly head: RequestHead;
  readonly until: Moment;
}

/**
 * Requests that came before we had any configuration. Whoever comes shortly before it is due is held until then; who
 * comes sooner is told when to come back.
 */
export class EarlyRequests {
  readonly #answers: ClientAnswers;
  readonly #requests = new Map<number, EarlyRequest>();
  #startedAt: Moment | undefined;

  constructor(answers: ClientAnswers) {
    this.#answers = answers;
  }

  /** A request came: it is held or refused. */
  take(now: Moment, head: RequestHead): void {
    this.#startedAt ??= now;
    const dueMs = START_MS - (now - this.#startedAt);
    if (dueMs > HOLD_EARLY_MS || this.#requests.size >= MOST_EARLY || dueMs < -START_MS) {
      this.#answers.refuseUnrouted(head.id, 'no-config', Math.max(LEAST_RETRY_MS, dueMs));
      return;
    }
    const holdMs = Math.min(START_MS, (head.timeLeftMs ?? START_MS) / 2);
    this.#requests.set(head.id, { head, until: later(now, holdMs) });
  }

  /** Hands over what was held, in the order in which it came. */
  release(): RequestHead[] {
    const heads: RequestHead[] = [];
    for (const { head } of this.#requests.values()) heads.push(head);
    this.#requests.clear();
    return heads;
  }

  /** Refuses all that is held, since this process ends. */
  refuseAll(): void {
    for (const { id } of this.release())
      this.#answers.refuseUnrouted(id, 'no-config', STOPPED_RETRY_MS);
  }

  /** The client went away. */
  drop(id: number): void {
    this.#requests.delete(id);
  }

  /** Refuses what was held for long enough. */
  tick(now: Moment): void {
    for (const [id, { until }] of this.#requests) {
      if (now < until) continue;
      this.#requests.delete(id);
      this.#answers.refuseUnrouted(id, 'no-config', LEAST_RETRY_MS);
    }
  }
}

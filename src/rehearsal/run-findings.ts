import type { EventRecord } from './records.js';
import type { Scheduler } from './scheduler.js';

/** What a simulated run found broken, and what it noted on its way for the judge. */
export class RunFindings {
  readonly #scheduler: Scheduler;
  readonly #trace: ((line: string) => void) | undefined;
  readonly #violations = new Set<string>();
  readonly #events: EventRecord[] = [];

  constructor(scheduler: Scheduler, trace: ((line: string) => void) | undefined) {
    this.#scheduler = scheduler;
    this.#trace = trace;
  }

  /** Each violation once, in the order in which they were found. */
  get violations(): ReadonlySet<string> {
    return this.#violations;
  }

  get events(): readonly EventRecord[] {
    return this.#events;
  }

  /** Notes a violation; its text begins with the name of the rule and a colon. */
  find(text: string): void {
    this.#violations.add(text);
    this.say(`VIOLATION ${text}`);
  }

  /** Notes an event of the run, now, for the judge. */
  note(event: Omit<EventRecord, 'at'>): void {
    this.#events.push({ at: this.#scheduler.now, ...event });
  }

  /** Writes a line to the trace, if there is one. */
  say(text: string): void {
    this.#trace?.(`${Math.round(this.#scheduler.now)} ${text}`);
  }
}

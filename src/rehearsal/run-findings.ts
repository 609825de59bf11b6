import type { EventRecord } from './records.js';
import type { Scheduler } from './scheduler.js';

/** The violations found in a simulated run, and its events, which the `Judge` evaluates. */
export class RunFindings {
  readonly #scheduler: Scheduler;
  readonly #trace: ((line: string) => void) | undefined;
  readonly #violations = new Set<string>();
  readonly #events: EventRecord[] = [];

  constructor(scheduler: Scheduler, trace: ((line: string) => void) | undefined) {
    this.#scheduler = scheduler;
    this.#trace = trace;
  }

  /** Distinct violations, in the order in which they were found. */
  get violations(): ReadonlySet<string> {
    return this.#violations;
  }

  /** The events of the run, in order of time. */
  get events(): readonly EventRecord[] {
    return this.#events;
  }

  /** Records a violation. A text that begins with a rule's name and a colon counts for that rule. */
  addViolation(text: string): void {
    this.#violations.add(text);
    this.log(`VIOLATION ${text}`);
  }

  /** Records an event with the current virtual time. */
  addEvent(event: Omit<EventRecord, 'at'>): void {
    this.#events.push({ at: this.#scheduler.now, ...event });
  }

  /** Writes a line with the current virtual time to the trace, if there is one. */
  log(text: string): void {
    this.#trace?.(`${Math.round(this.#scheduler.now)} ${text}`);
  }
}

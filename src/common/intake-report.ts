/** Logs that clients met limits, at a bounded rate: a line for each refusal would itself be a way to overload a process. */
import type { Logger } from 'pino';
import type { Counters } from './counters.js';

/** The interval between two log lines at least, ms. */
const REPORT_INTERVAL_MS = 10_000;
/** Counters of requests and connections that met a limit begin so. */
const INTAKE_PREFIX = 'intake.';

/** Logs the counters of limits that clients met, whenever they have changed. */
export class IntakeReport {
  readonly #counters: Counters;
  readonly #log: Logger;
  #reportedTotal = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(counters: Counters, log: Logger) {
    this.#counters = counters;
    this.#log = log;
  }

  /** Starts to report. */
  start(): void {
    this.#timer = setInterval(() => this.report(), REPORT_INTERVAL_MS).unref();
  }

  /** Stops reporting. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Logs one line if a counter has changed since the last one. */
  report(): void {
    const met = Object.entries(this.#counters.all()).filter(([name]) =>
      name.startsWith(INTAKE_PREFIX),
    );
    const total = met.reduce((sum, [, count]) => sum + count, 0);
    if (total === this.#reportedTotal) return;
    this.#reportedTotal = total;
    this.#log.warn(Object.fromEntries(met), 'clients met limits');
  }
}

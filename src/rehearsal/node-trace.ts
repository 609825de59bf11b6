import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { Intent } from '../placement/shapes.js';
import type { RunTrace, TraceValue } from './run-trace.js';
import type { Scheduler } from './scheduler.js';

/** The part of a run's trace that one node writes, at the moment of the scheduler. */
export class NodeTrace {
  readonly #node: string;
  readonly #scheduler: Scheduler;
  readonly #trace: RunTrace;

  constructor(node: string, scheduler: Scheduler, trace: RunTrace) {
    this.#node = node;
    this.#scheduler = scheduler;
    this.#trace = trace;
  }

  message(to: string, message: Message): void {
    this.#trace.message(this.#scheduler.now, this.#node, to, message);
  }

  write(partition: string, version: Version, body: string): void {
    this.#trace.write(this.#scheduler.now, this.#node, partition, version, body);
  }

  answer(status: number, body: string): void {
    this.#trace.answer(this.#scheduler.now, this.#node, status, body);
  }

  /** An order to a runner leaves the core. */
  order(intent: Intent): void {
    const { id, runner, boot, verb, model, adapter, size, count } = intent;
    this.record('order', [id, runner, boot, verb, model, adapter, size, count]);
  }

  record(topic: string, values: readonly TraceValue[]): void {
    this.#trace.record(this.#scheduler.now, this.#node, topic, values);
  }
}

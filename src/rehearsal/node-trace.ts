import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { Intent } from '../placement/shapes.js';
import type { RunTrace, TraceValue } from './run-trace.js';
import type { Scheduler } from './scheduler.js';

/** Records one node's events in the trace of a run, with the scheduler's time. */
export class NodeTrace {
  readonly #node: string;
  readonly #scheduler: Scheduler;
  readonly #trace: RunTrace;

  constructor(node: string, scheduler: Scheduler, trace: RunTrace) {
    this.#node = node;
    this.#scheduler = scheduler;
    this.#trace = trace;
  }

  /** Records a message that the node sends. */
  message(to: string, message: Message): void {
    this.#trace.message(this.#scheduler.now, this.#node, to, message);
  }

  /** Records a write to the node's storage. */
  write(partition: string, version: Version, body: string): void {
    this.#trace.write(this.#scheduler.now, this.#node, partition, version, body);
  }

  /** Records a response to an operator's command. */
  answer(status: number, body: string): void {
    this.#trace.answer(this.#scheduler.now, this.#node, status, body);
  }

  /** Records an order to a runner that the node's core issues. */
  order(intent: Intent): void {
    const { id, runner, boot, verb, model, adapter, size, count } = intent;
    this.record('order', [id, runner, boot, verb, model, adapter, size, count]);
  }

  /** Records an event of another kind. */
  record(topic: string, values: readonly TraceValue[]): void {
    this.#trace.record(this.#scheduler.now, this.#node, topic, values);
  }
}

import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';

/**
 * Receives the externally visible behavior of a simulated run, in order, so that two builds can be compared.
 * Every `at` is the scheduler's virtual time in milliseconds, not a node's own clock.
 */
export interface RunTrace {
  /** A node hands a message for another node to its transport, or the transport writes it to a connection. */
  message(at: number, from: string, to: string, message: Message): void;
  /** A text is written to a connection: an operator's request, an order to a runner, or the response to one. */
  text(at: number, from: string, to: string, text: string): void;
  /** A node begins to write a version of a partition to its disk. */
  write(at: number, node: string, partition: string, version: Version, body: string): void;
  /** A node responds to an operator's command. */
  answer(at: number, node: string, status: number, body: string): void;
  /** Any other external effect of a node: a topic that the simulator defines, and values in a fixed order. */
  record(at: number, node: string, topic: string, values: readonly TraceValue[]): void;
}

/** A value that a trace can hold exactly. */
export type TraceValue = string | number | boolean | undefined;

/** A trace that discards everything. */
export const UNTRACED: RunTrace = {
  message: ignore,
  text: ignore,
  write: ignore,
  answer: ignore,
  record: ignore,
};

function ignore(): void {
  /* discards the entry */
}

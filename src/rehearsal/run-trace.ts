import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';

/**
 * What a simulated run shows to its outside, in order: the record by which two builds are compared.
 * Every `at` is true virtual time in milliseconds.
 */
export interface RunTrace {
  /** A node hands a message for another node to its transport, or the transport writes it to a connection. */
  message(at: number, from: string, to: string, message: Message): void;
  /** A text is written to a connection: an operator's call, an order to a runner, or the answer to one. */
  text(at: number, from: string, to: string, text: string): void;
  /** A node begins to write a version of a part to its disk. */
  write(at: number, node: string, partition: string, version: Version, body: string): void;
  /** A node answers a command of an operator. */
  answer(at: number, node: string, status: number, body: string): void;
  /** Anything else that a node does to its surroundings: a topic of the simulator's own, and values in a fixed order. */
  record(at: number, node: string, topic: string, values: readonly TraceValue[]): void;
}

/** A value that a trace can hold exactly. */
export type TraceValue = string | number | boolean | undefined;

/** The trace of a run that nobody compares. */
export const UNTRACED: RunTrace = {
  message: ignore,
  text: ignore,
  write: ignore,
  answer: ignore,
  record: ignore,
};

function ignore(): void {
  /* Nobody reads it. */
}

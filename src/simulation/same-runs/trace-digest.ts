import { createHash } from 'node:crypto';
import { encodeMessage, type Message } from '../../common/messages.js';
import type { Version } from '../../common/version.js';
import type { RunTrace, TraceValue } from '../../rehearsal/run-trace.js';

/** Hexadecimal digits of a digest: enough that different runs have different digests. */
const DIGEST_LENGTH = 32;
/** How many characters of text may be pending before they are hashed. */
const MAX_PENDING_CHARS = 2 ** 16;

/** Receives the trace as text, one line per event, so that the traces of two builds can be compared. */
export type TraceLog = (line: string) => void;

/**
 * Computes the digest of a run's trace. Only bytes and texts that leave a core enter it, never the name of a field, a
 * method or an effect: a rename doesn't change the digest, a change of behavior does.
 */
export class TraceDigest implements RunTrace {
  readonly #hash = createHash('sha256');
  /** Text that isn't hashed yet: hashing each event separately takes several times as long. */
  #pending = '';
  readonly #log: TraceLog | undefined;

  constructor(log?: TraceLog) {
    this.#log = log;
  }

  message(at: number, from: string, to: string, message: Message): void {
    const bytes = encodeMessage(message);
    this.#add(`${at} message ${from} ${to} ${bytes.length} `, bytes);
  }

  text(at: number, from: string, to: string, text: string): void {
    this.#add(`${at} text ${from} ${to} ${text.length} `, text);
  }

  write(
    at: number,
    node: string,
    partition: string,
    { epoch, count }: Version,
    body: string,
  ): void {
    this.#add(`${at} write ${node} ${partition}/${epoch}.${count}.json ${body.length} `, body);
  }

  answer(at: number, node: string, status: number, body: string): void {
    this.#add(`${at} answer ${node} ${status} ${body.length} `, body);
  }

  record(at: number, node: string, topic: string, values: readonly TraceValue[]): void {
    this.#add(`${at} record ${node} ${topic} `, JSON.stringify(values));
  }

  /** Returns the digest of the whole trace; no more events can be recorded afterwards. */
  finish(): string {
    this.#flush();
    return this.#hash.digest('hex').slice(0, DIGEST_LENGTH);
  }

  #add(head: string, body: string | Uint8Array): void {
    const text = typeof body === 'string' ? body : Buffer.from(body).toString('latin1');
    this.#pending += `${head}${text}\n`;
    if (this.#pending.length > MAX_PENDING_CHARS) this.#flush();
    this.#log?.(head + text);
  }

  #flush(): void {
    this.#hash.update(this.#pending);
    this.#pending = '';
  }
}

import { createHash } from 'node:crypto';
import { encodeMessage, type Message } from '../../common/messages.js';
import type { Version } from '../../common/version.js';
import type { RunTrace, TraceValue } from '../../rehearsal/run-trace.js';

/** Hexadecimal digits of a digest: enough that two different runs never share one. */
const DIGEST_LENGTH = 32;
/** So much text, in characters, is hashed at once. */
const MOST_PENDING = 2 ** 16;

/** Receives the trace as text, one line an event, so that two builds can be compared line by line. */
export type TraceLog = (line: string) => void;

/**
 * Digests a run's trace. Only bytes and texts that leave a core enter it, never the name of a field, a
 * method or an effect: a rename leaves the digest as it is, a change of behaviour does not.
 */
export class TraceDigest implements RunTrace {
  readonly #hash = createHash('sha256');
  /** Text that is not hashed yet: hashing each event by itself takes several times as long. */
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

  /** The digest of all that was traced; nothing can be traced after it. */
  finish(): string {
    this.#flush();
    return this.#hash.digest('hex').slice(0, DIGEST_LENGTH);
  }

  #add(head: string, body: string | Uint8Array): void {
    const text = typeof body === 'string' ? body : Buffer.from(body).toString('latin1');
    this.#pending += `${head}${text}\n`;
    if (this.#pending.length > MOST_PENDING) this.#flush();
    this.#log?.(head + text);
  }

  #flush(): void {
    this.#hash.update(this.#pending);
    this.#pending = '';
  }
}

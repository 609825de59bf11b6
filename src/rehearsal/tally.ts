import { number, record, string, type, type Infer } from 'superstruct';
import { encodeMessage, type Message } from '../common/messages.js';
import type { Exchange, Incoming } from '../dissemination/exchange.js';
import type { Observable } from 'rxjs';

const CountShape = type({ messages: number(), bytes: number() });
/** Schema of `TallyFigures`. */
export const TallyShape = type({
  sent: record(string(), CountShape),
  received: record(string(), CountShape),
});
/** Messages sent and received, by message kind. */
export type TallyFigures = Infer<typeof TallyShape>;
/** A number of messages and their total size in bytes. */
export interface Count {
  messages: number;
  bytes: number;
}

const LENGTH_BYTES = 4;
/** Size of an update's frame with an empty body, in bytes, by topic. */
const UPDATE_HEAD_BYTES = new Map<string, number>();

/** Returns the bytes that a message takes on a connection, including its length field; excludes hellos and empty frames. */
export function frameBytes(message: Message): number {
  // Updates are large and sent to many nodes, so their size is computed from one with an empty body. Bodies are ASCII here.
  if (message.kind !== 'update' || message.body.length < 256)
    return LENGTH_BYTES + encodeMessage(message).length;
  let headBytes = UPDATE_HEAD_BYTES.get(message.topic);
  if (headBytes === undefined) {
    headBytes = LENGTH_BYTES + encodeMessage({ ...message, body: '' }).length;
    UPDATE_HEAD_BYTES.set(message.topic, headBytes);
  }
  // The length of a string is a varint of seven bits a byte; the length of an empty string already takes one byte.
  return headBytes + message.body.length + Math.floor(Math.log2(message.body.length) / 7);
}

/** Counts messages and bytes by message kind, those of updates and deltas by topic as well. */
export class Tally {
  readonly #sent = new Map<string, Count>();
  readonly #received = new Map<string, Count>();
  /** Time spent on the counting itself, ms. */
  countingMs = 0;

  /** Counts a message that was sent. */
  sent(message: Message): void {
    this.#add(this.#sent, message);
  }
  /** Counts a message that was received. */
  received(message: Message): void {
    this.#add(this.#received, message);
  }

  #add(counts: Map<string, Count>, message: Message): void {
    const start = performance.now();
    const key =
      message.kind === 'update' || message.kind === 'delta'
        ? `${message.kind} ${message.topic}`
        : message.kind;
    const count = counts.get(key) ?? { messages: 0, bytes: 0 };
    count.messages += 1;
    count.bytes += frameBytes(message);
    counts.set(key, count);
    this.countingMs += performance.now() - start;
  }

  /** Returns a copy of the counts so far. */
  figures(): TallyFigures {
    return { sent: Object.fromEntries(this.#sent), received: Object.fromEntries(this.#received) };
  }
}

/** Wraps an exchange and counts the messages that it sends and receives. */
export class CountedExchange {
  readonly #exchange: Exchange;
  readonly #tally: Tally;

  constructor(exchange: Exchange, tally: Tally) {
    this.#exchange = exchange;
    this.#tally = tally;
  }

  /** Messages received, not yet counted. */
  get incoming$(): Observable<Incoming> {
    return this.#exchange.incoming$;
  }
  /** Ids of peers whose connection ended. */
  get disconnected$(): Observable<string> {
    return this.#exchange.disconnected$;
  }

  /** Counts a received message; the subscriber of `incoming$` calls it once for each message. */
  countReceived(message: Message): void {
    this.#tally.received(message);
  }

  /** Counts a message and sends it. */
  send(to: string, message: Message): void {
    this.#tally.sent(message);
    this.#exchange.send(to, message);
  }

  /** Opens a connection to a peer. */
  dial(id: string): void {
    this.#exchange.dial(id);
  }
  /** Starts to listen; resolves with the port. */
  open(): Promise<number> {
    return this.#exchange.open();
  }
  /** Closes the exchange and its connections. */
  close(): void {
    this.#exchange.close();
  }
}

/** Returns the sum over all message kinds. */
export function total(counts: Readonly<Record<string, Count>>): Count {
  const sum = { messages: 0, bytes: 0 };
  for (const { messages, bytes } of Object.values(counts)) {
    sum.messages += messages;
    sum.bytes += bytes;
  }
  return sum;
}

function subtract(
  after: Readonly<Record<string, Count>>,
  before: Readonly<Record<string, Count>>,
): Record<string, Count> {
  const remaining: Record<string, Count> = {};
  for (const [kind, { messages, bytes }] of Object.entries(after)) {
    const previous = before[kind] ?? { messages: 0, bytes: 0 };
    if (messages > previous.messages)
      remaining[kind] = { messages: messages - previous.messages, bytes: bytes - previous.bytes };
  }
  return remaining;
}

/** Returns what was counted between two readings, without kinds of which no more messages were counted. */
export function difference(after: TallyFigures, before: TallyFigures): TallyFigures {
  return {
    sent: subtract(after.sent, before.sent),
    received: subtract(after.received, before.received),
  };
}

import { number, record, string, type, type Infer } from 'superstruct';
import { encodeMessage, type Message } from '../common/messages.js';
import type { Exchange, Incoming } from '../dissemination/exchange.js';
import type { Observable } from 'rxjs';

const CountShape = type({ messages: number(), bytes: number() });
export const TallyShape = type({
  sent: record(string(), CountShape),
  received: record(string(), CountShape),
});
export type TallyFigures = Infer<typeof TallyShape>;
export interface Count {
  messages: number;
  bytes: number;
}

const LENGTH_BYTES = 4;
const NEWS_HEAD = new Map<string, number>();

/** What a message takes on a line, its length field with it; hellos and empty frames are not counted. */
export function frameBytes(message: Message): number {
  // News are large and come to many: their size is worked out from one with an empty body. Bodies are plain ASCII here.
  if (message.kind !== 'update' || message.body.length < 256)
    return LENGTH_BYTES + encodeMessage(message).length;
  let head = NEWS_HEAD.get(message.topic);
  if (head === undefined) {
    head = LENGTH_BYTES + encodeMessage({ ...message, body: '' }).length;
    NEWS_HEAD.set(message.topic, head);
  }
  // The length of a text is written in groups of seven bits; an empty one has one group already.
  return head + message.body.length + Math.floor(Math.log2(message.body.length) / 7);
}

/** Messages and bytes by kind, and the time the counting itself took. */
export class Tally {
  readonly #sent = new Map<string, Count>();
  readonly #received = new Map<string, Count>();
  countingMs = 0;

  sent(message: Message): void {
    this.#add(this.#sent, message);
  }
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

  figures(): TallyFigures {
    return { sent: Object.fromEntries(this.#sent), received: Object.fromEntries(this.#received) };
  }
}

/** An exchange whose messages are counted as they go and come. */
export class CountedExchange {
  readonly #exchange: Exchange;
  readonly #tally: Tally;

  constructor(exchange: Exchange, tally: Tally) {
    this.#exchange = exchange;
    this.#tally = tally;
  }

  get incoming$(): Observable<Incoming> {
    return this.#exchange.incoming$;
  }
  get disconnected$(): Observable<string> {
    return this.#exchange.disconnected$;
  }

  /** Called by whoever takes what came in, once for each message. */
  took(message: Message): void {
    this.#tally.received(message);
  }

  send(to: string, message: Message): void {
    this.#tally.sent(message);
    this.#exchange.send(to, message);
  }

  dial(id: string): void {
    this.#exchange.dial(id);
  }
  open(): Promise<number> {
    return this.#exchange.open();
  }
  close(): void {
    this.#exchange.close();
  }
}

export function total(counts: Readonly<Record<string, Count>>): Count {
  const sum = { messages: 0, bytes: 0 };
  for (const { messages, bytes } of Object.values(counts)) {
    sum.messages += messages;
    sum.bytes += bytes;
  }
  return sum;
}

function less(
  after: Readonly<Record<string, Count>>,
  before: Readonly<Record<string, Count>>,
): Record<string, Count> {
  const left: Record<string, Count> = {};
  for (const [kind, { messages, bytes }] of Object.entries(after)) {
    const was = before[kind] ?? { messages: 0, bytes: 0 };
    if (messages > was.messages)
      left[kind] = { messages: messages - was.messages, bytes: bytes - was.bytes };
  }
  return left;
}

/** What was counted between two readings. */
export function difference(after: TallyFigures, before: TallyFigures): TallyFigures {
  return { sent: less(after.sent, before.sent), received: less(after.received, before.received) };
}

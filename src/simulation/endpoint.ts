import type { Message } from '../common/messages.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { SimProcess } from './sim-process.js';

/** Where a host listens: for other nodes, or for operators' and runners' calls. */
export type Port = 'nodes' | 'calls';

/** A machine on the network with the one process that is reached there. */
export interface Host {
  readonly id: string;
  readonly isPowered: boolean;
  readonly isListening: boolean;
  readonly process: SimProcess;
  accept(endpoint: Endpoint, port: Port): void;
}

/** What an end of a connection needs of the network. */
export interface EndpointNetwork {
  readonly scheduler: Scheduler;
  /** The delay of one packet on a link, in milliseconds. */
  delay(from: string, to: string): number;
  isOpen(from: string, to: string): boolean;
  /** Takes down a write of a host, also one to a connection that is closed. */
  traceWrite(from: string, to: string, payload: Payload): void;
  countPacket(): void;
  forget(endpoint: Endpoint): void;
}

/** What one write carries: a message of a node, or the text of a call, an answer or an order. */
export type Payload = string | Message;

/** What a caller wrote, or was answered: always a text. */
export function textOf(payload: Payload): string {
  if (typeof payload !== 'string') throw new TypeError(`${payload.kind} where a text is due`);
  return payload;
}

/** What the owner of an endpoint hears. */
export interface EndpointHandler {
  data(payload: Payload): void;
  /** The other side closed or reset the connection; not told of one's own close. */
  closed(): void;
  /**
   * What was written here was begun by the other side after this end had closed, the close still being on its way;
   * `waitedMs`: how long it had lain unread there.
   */
  takenLate?(waitedMs: number): void;
}

interface Packet {
  readonly arriveAt: number;
  /** Nothing for the end of the stream. */
  readonly payload: Payload | undefined;
}

/**
 * One end of a simulated connection. Payloads to the other end keep their order; while the link is
 * cut, or the other machine is without power, they wait here as in a kernel's send buffer.
 */
export class Endpoint {
  readonly #network: EndpointNetwork;
  readonly #host: Host;
  readonly #stream: string;
  #other: Endpoint | undefined;
  #queue: Packet[] = [];
  #isPumping = false;
  #isOpen = true;
  #isClosing = false;
  #handler: EndpointHandler | undefined;
  /** When what was read last had arrived here. */
  #arrivedAt = 0;

  constructor(network: EndpointNetwork, host: Host, stream: string) {
    this.#network = network;
    this.#host = host;
    this.#stream = stream;
  }

  get host(): Host {
    return this.#host;
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Whether something written here has not left yet. */
  get isHeldUp(): boolean {
    return this.#queue.length > 0 && !this.#isPumping;
  }

  set handler(handler: EndpointHandler) {
    this.#handler = handler;
  }

  connectTo(other: Endpoint): void {
    this.#other = other;
    other.#other = this;
  }

  isFromTo(from: string, to: string): boolean {
    return this.#host.id === from && this.#other?.host.id === to;
  }

  isBetween(one: string, two: string): boolean {
    return this.isFromTo(one, two) || this.isFromTo(two, one);
  }

  send(payload: Payload): void {
    this.#network.traceWrite(this.#host.id, this.#other?.host.id ?? '', payload);
    if (!this.#isOpen) return;
    this.#network.countPacket();
    this.#enqueue(payload);
  }

  /**
   * Closes this end. What was written still goes out, unless something unread was waiting here: then the
   * kernel resets the connection, and what had not left is lost.
   */
  close(): void {
    if (!this.#isOpen) return;
    if (this.#host.process.hasUnread) {
      this.#dropSilently();
      this.#sendReset();
      return;
    }
    this.#isOpen = false;
    this.#isClosing = true;
    this.#enqueue(undefined);
  }

  /** Resets the connection from outside: both owners hear that it closed. */
  abort(): void {
    this.#reset();
    const other = this.#other;
    if (other) other.#reset();
  }

  /** The machine lost power: nothing is said. */
  losePower(): void {
    this.#dropSilently();
  }

  /** Goes on sending what a cut held up. */
  pump(): void {
    const [first] = this.#queue;
    if (!first || this.#isPumping) return;
    this.#isPumping = true;
    this.#network.scheduler.at(first.arriveAt, () => this.#deliverFirst());
  }

  #enqueue(payload: Payload | undefined): void {
    const { scheduler } = this.#network;
    const target = this.#other?.host.id ?? '';
    const last = this.#queue.at(-1)?.arriveAt ?? 0;
    const arriveAt = Math.max(last, scheduler.now + this.#network.delay(this.#host.id, target));
    this.#queue.push({ arriveAt, payload });
    this.pump();
  }

  #deliverFirst(): void {
    this.#isPumping = false;
    const other = this.#other;
    const [first] = this.#queue;
    if (!other || !first) return;
    if (!this.#network.isOpen(this.#host.id, other.host.id)) return;
    this.#queue.shift();
    other.#receive(first.payload);
    if (first.payload === undefined) this.#network.forget(this);
    else this.pump();
  }

  /** The owner begins what it read last; its writer is told if it has left, and we could not know. */
  reportStarted(): void {
    const other = this.#other;
    if (!this.#isOpen || !other || other.isOpen) return;
    other.#handler?.takenLate?.(this.#network.scheduler.now - this.#arrivedAt);
  }

  #receive(payload: Payload | undefined): void {
    if (this.#isOpen) {
      const { now } = this.#network.scheduler;
      this.#host.process.submit(this.#stream, () => this.#deliver(payload, now));
      return;
    }
    // A closed port answers data with a reset.
    if (payload !== undefined) this.#sendReset();
  }

  #deliver(payload: Payload | undefined, arrivedAt: number): void {
    // Closed by its owner since: nobody reads any more.
    if (!this.#isOpen) return;
    this.#arrivedAt = arrivedAt;
    if (payload !== undefined) {
      this.#handler?.data(payload);
      return;
    }
    this.close();
    this.#handler?.closed();
  }

  #sendReset(): void {
    const other = this.#other;
    if (!other || !this.#network.isOpen(this.#host.id, other.host.id)) return;
    const delay = this.#network.delay(this.#host.id, other.host.id);
    this.#network.scheduler.after(delay, () => other.#reset());
  }

  #reset(): void {
    if (!this.#isOpen && !this.#isClosing) return;
    const wasOpen = this.#isOpen;
    this.#queue = [];
    this.#isClosing = false;
    this.#network.forget(this);
    if (!wasOpen) return;
    // Read first is what had arrived before the reset.
    this.#host.process.submit(this.#stream, () => this.#resetReceived());
  }

  #resetReceived(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#handler?.closed();
  }

  #dropSilently(): void {
    this.#isOpen = false;
    this.#isClosing = false;
    this.#queue = [];
    this.#network.forget(this);
  }
}

import type { Message } from '../common/messages.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { SimProcess } from './sim-process.js';

/** The ports of a host: for other nodes, and for the calls of operators and orders to runners. */
export type Port = 'nodes' | 'calls';

/** A machine on the network and the one process that it runs. */
export interface Host {
  /** The address of the machine. */
  readonly id: string;
  /** Whether the machine has power. */
  readonly isPowered: boolean;
  /** Whether the process accepts connections; otherwise they are refused. */
  readonly isListening: boolean;
  /** The process that receives the input of connections. */
  readonly process: SimProcess;
  /** Accepts a connection on a port. */
  accept(endpoint: Endpoint, port: Port): void;
}

/** The part of the network that an endpoint uses. */
export interface EndpointNetwork {
  /** The run's virtual time. */
  readonly scheduler: Scheduler;
  /** The delay of one packet on a link, in milliseconds. */
  delay(from: string, to: string): number;
  /** Whether a packet sent from one host would reach a powered machine now. */
  isOpen(from: string, to: string): boolean;
  /** Records a write of a host in the trace, also a write to a closed connection. */
  traceWrite(from: string, to: string, payload: Payload): void;
  /** Counts a packet that was sent. */
  countPacket(): void;
  /** Removes an endpoint that has closed. */
  forget(endpoint: Endpoint): void;
}

/** The payload of one write: a message of a node, or the text of a call, an answer or an order. */
export type Payload = string | Message;

/** The payload of a call, an order or an answer, which is always text. Throws a `TypeError` for a message. */
export function textOf(payload: Payload): string {
  if (typeof payload !== 'string')
    throw new TypeError(`expected a text payload, got a ${payload.kind} message`);
  return payload;
}

/** Callbacks of the owner of an endpoint. */
export interface EndpointHandler {
  /** A payload was read. */
  data(payload: Payload): void;
  /** The other side closed or reset the connection; not called for the owner's own close. */
  closed(): void;
  /**
   * The other side began to process a write of this end after this end had closed, while the close was still in
   * transit. `waitedMs` is how long the write was unread at the other side.
   */
  takenLate?(waitedMs: number): void;
}

interface Packet {
  readonly arriveAt: number;
  /** `undefined` for the end of the stream. */
  readonly payload: Payload | undefined;
}

/**
 * One end of a simulated connection. Payloads to the other end arrive in order. While the link is cut or the other
 * machine has no power, they stay here as in a kernel's send buffer.
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
  /** When the payload that was read last had arrived at this host. */
  #arrivedAt = 0;

  constructor(network: EndpointNetwork, host: Host, stream: string) {
    this.#network = network;
    this.#host = host;
    this.#stream = stream;
  }

  /** The host of this end. */
  get host(): Host {
    return this.#host;
  }

  /** Whether this end has neither closed nor been reset. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Whether written payloads are held up by a cut link or a machine without power. */
  get isHeldUp(): boolean {
    return this.#queue.length > 0 && !this.#isPumping;
  }

  /** Sets the callbacks of the owner. */
  set handler(handler: EndpointHandler) {
    this.#handler = handler;
  }

  /** Joins the two ends of a connection. */
  connectTo(other: Endpoint): void {
    this.#other = other;
    other.#other = this;
  }

  /** Whether this end sends from one host to the other. */
  isFromTo(from: string, to: string): boolean {
    return this.#host.id === from && this.#other?.host.id === to;
  }

  /** Whether the connection is between two hosts, in either direction. */
  isBetween(one: string, two: string): boolean {
    return this.isFromTo(one, two) || this.isFromTo(two, one);
  }

  /** Writes a payload; a write to a closed end is traced and dropped. */
  send(payload: Payload): void {
    this.#network.traceWrite(this.#host.id, this.#other?.host.id ?? '', payload);
    if (!this.#isOpen) return;
    this.#network.countPacket();
    this.#enqueue(payload);
  }

  /**
   * Closes this end. Written payloads are still sent, unless the process has unread input: then the kernel resets the
   * connection, and payloads that had not left are lost.
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

  /** Resets the connection from outside: both owners are notified that it closed. */
  abort(): void {
    this.#reset();
    const other = this.#other;
    if (other) other.#reset();
  }

  /** The machine lost power: this end is dropped without notifying the other one. */
  losePower(): void {
    this.#dropSilently();
  }

  /** Resumes sending payloads that were held up. */
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

  /**
   * The owner reports that it begins to process the payload that it read last. The writer is notified if it has closed
   * its end and the close has not arrived here.
   */
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
    // The owner has closed this end since: the payload is not read.
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
    // Payloads that had arrived before the reset are read first.
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

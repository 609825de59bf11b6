import { createServer, connect, type Server, type Socket } from 'node:net';
import { Subject, type Observable } from 'rxjs';
import { HaretrackError, MalformedFrameError, reasonOf } from '../common/errors.js';
import type { Message } from '../common/messages.js';
import { monotonicNow } from '../common/clock.js';
import type { Moment } from '../common/ids.js';
import { bindServer, parseAddress } from '../common/listen.js';
import { Connection } from './connection.js';

export { KEEPALIVE_INTERVAL_MS } from './connection.js';

/** A received message, with the sender's id, role and zone from its `hello`. */
export interface Incoming {
  /** The sender's node id. */
  readonly from: string;
  /** The sender's role on the wire: `mind`, `link` or `flow` (control node, agent or proxy). */
  readonly role: string;
  /** The sender's zone. */
  readonly zone: string;
  /** The message itself. */
  readonly message: Message;
}

/** Transport of messages between processes. Messages may be dropped but are never altered; each connection preserves order. */
export interface Transport {
  /** Received messages. */
  readonly incoming$: Observable<Incoming>;
  /** Node ids whose last connection has closed. */
  readonly disconnected$: Observable<string>;
  /** Sends without waiting for delivery. */
  send(to: string, message: Message): void;
}

/** The identity of this node and the addresses of its peers. */
export interface ExchangeSettings {
  /** The id of this node: the address at which peers dial it, or a name if it only dials. */
  readonly id: string;
  /** The role that this node reports in its `hello`. */
  readonly role: string;
  /** The zone that this node reports in its `hello`. */
  readonly zone: string;
  /** The address to listen on; empty for a node that only dials. */
  readonly listen: string;
  /** Addresses to dial by node id, for nodes whose address differs from their id. */
  readonly reach: Readonly<Record<string, string>>;
}

/** Delay between a failed dial and the next one, so that a node that is down is not dialed in a tight loop. */
export const REDIAL_DELAY_MS = 100;
/** A dial that takes longer fails. */
export const CONNECT_TIMEOUT_MS = 500;
/** A connection on which nothing was received for this long is closed. */
export const PEER_TIMEOUT_MS = 1500;
/** Interval of the check for idle connections. */
export const CHECK_INTERVAL_MS = 250;
/** Maximum number of messages queued for a node while it is dialed; beyond this the oldest is dropped. */
export const MAX_QUEUED_MESSAGES = 32;

/** The TCP transport between haretrack's own processes. */
export class Exchange implements Transport {
  readonly #settings: ExchangeSettings;
  readonly #incoming = new Subject<Incoming>();
  readonly #disconnected = new Subject<string>();
  readonly #connectionsByNode = new Map<string, Connection[]>();
  readonly #connections = new Set<Connection>();
  readonly #dialing = new Set<string>();
  /** Messages for nodes that are being dialed; they are dropped if the dial fails. */
  readonly #queued = new Map<string, Message[]>();
  readonly #onError: (error: HaretrackError) => void;
  #server: Server | undefined;
  #isClosed = false;
  #checkedAt: Moment = monotonicNow();
  readonly #checkTimer: NodeJS.Timeout;

  /** `onError` is called for each malformed frame; the connection that sent it is closed. */
  constructor(settings: ExchangeSettings, onError: (error: HaretrackError) => void) {
    this.#settings = settings;
    this.#onError = onError;
    this.#checkTimer = setInterval(() => this.#checkConnections(), CHECK_INTERVAL_MS).unref();
  }

  /** Received messages, except `hello`. */
  get incoming$(): Observable<Incoming> {
    return this.#incoming;
  }

  /** Node ids whose last connection has closed. */
  get disconnected$(): Observable<string> {
    return this.#disconnected;
  }

  /** Starts to listen and returns the port, or 0 for a node that only dials. Rejects with the system error. */
  async open(): Promise<number> {
    if (this.#settings.listen === '') return 0;
    this.#server = createServer((socket) => this.#onConnection(socket));
    return bindServer(this.#server, this.#settings.listen);
  }

  /** Closes all connections and stops listening and dialing. */
  close(): void {
    this.#isClosed = true;
    clearInterval(this.#checkTimer);
    this.#server?.close();
    for (const connection of this.#connections) connection.socket.destroy();
  }

  /** Whether a connection to this node is open. */
  isConnected(id: string): boolean {
    return this.#connectionsByNode.has(id);
  }

  /** Sends on the newest connection to a node; without a connection, dials the node and queues the message. */
  send(to: string, message: Message): void {
    const connections = this.#connectionsByNode.get(to);
    const connection = connections?.[connections.length - 1];
    if (connection) {
      connection.write(message);
      return;
    }
    this.dial(to);
    if (this.#dialing.has(to)) this.#enqueue(to, message);
  }

  /** Opens a connection to a node that listens, unless one is open or being opened. */
  dial(id: string): void {
    if (this.#isClosed || this.#dialing.has(id) || this.#connectionsByNode.has(id)) return;
    // An id that is not an address belongs to a node that only dials.
    if (!id.includes(':')) return;
    this.#dialing.add(id);
    const { host, port } = parseAddress(this.#settings.reach[id] ?? id);
    const socket = connect({ host, port });
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy(undefined));
    const connection = new Connection(socket);
    connection.nodeId = id;
    socket.once('connect', () => this.#onConnected(connection, id));
    this.#attach(connection);
    socket.once('close', () => this.#onDialClosed(id));
  }

  /** Closes idle connections, so that they are dialed again: after a network partition TCP would retransmit with growing delays. */
  #checkConnections(): void {
    const now = monotonicNow();
    // After a stall of this process the sockets may hold unread bytes; these are read before a peer is considered unreachable.
    const stallMs = now - this.#checkedAt - CHECK_INTERVAL_MS;
    this.#checkedAt = now;
    for (const connection of this.#connections) {
      if (stallMs > CHECK_INTERVAL_MS) connection.lastHeardAt = now;
      if (now - connection.lastHeardAt > PEER_TIMEOUT_MS) connection.socket.destroy();
      else connection.keepAlive(now);
    }
  }

  /** Queues a message until the dial completes. Without the queue the first messages of a session would wait for its next tick. */
  #enqueue(to: string, message: Message): void {
    const queued = this.#queued.get(to) ?? [];
    queued.push(message);
    if (queued.length > MAX_QUEUED_MESSAGES) queued.shift();
    this.#queued.set(to, queued);
  }

  #onConnected(connection: Connection, id: string): void {
    connection.socket.setTimeout(0);
    this.#dialing.delete(id);
    this.#sendHello(connection);
    this.#register(connection, id);
    for (const message of this.#queued.get(id) ?? []) connection.write(message);
    this.#queued.delete(id);
  }

  #onDialClosed(id: string): void {
    if (!this.#dialing.has(id)) return;
    this.#queued.delete(id);
    setTimeout(() => this.#dialing.delete(id), REDIAL_DELAY_MS).unref();
  }

  #onConnection(socket: Socket): void {
    const connection = new Connection(socket);
    this.#attach(connection);
    this.#sendHello(connection);
  }

  #sendHello(connection: Connection): void {
    const { id, role, zone } = this.#settings;
    connection.write({ kind: 'hello', id, role, zone });
  }

  #attach(connection: Connection): void {
    this.#connections.add(connection);
    connection.socket.on('data', (chunk) => this.#onData(connection, chunk));
    connection.socket.on('error', () => {
      /* the 'close' event that follows is handled */
    });
    connection.socket.on('close', () => this.#onClose(connection));
  }

  #register(connection: Connection, id: string): void {
    connection.nodeId = id;
    const connections = this.#connectionsByNode.get(id) ?? [];
    if (!connections.includes(connection))
      this.#connectionsByNode.set(id, [...connections, connection]);
  }

  #onData(connection: Connection, chunk: Buffer): void {
    let messages: Message[];
    try {
      messages = connection.onData(chunk);
    } catch (thrown) {
      this.#onError(
        thrown instanceof HaretrackError ? thrown : new MalformedFrameError(reasonOf(thrown)),
      );
      connection.socket.destroy();
      return;
    }
    for (const message of messages) this.#onMessage(connection, message);
  }

  #onMessage(connection: Connection, message: Message): void {
    if (message.kind === 'hello') {
      connection.role = message.role;
      connection.zone = message.zone;
      this.#register(connection, message.id);
      return;
    }
    const { nodeId: from, role, zone } = connection;
    // Messages received before the peer's `hello` are ignored.
    if (from !== '') this.#incoming.next({ from, role, zone, message });
  }

  #onClose(connection: Connection): void {
    this.#connections.delete(connection);
    const { nodeId } = connection;
    const known = this.#connectionsByNode.get(nodeId);
    if (!known) return;
    const open = known.filter((other) => connection !== other);
    if (open.length > 0) {
      this.#connectionsByNode.set(nodeId, open);
      return;
    }
    this.#connectionsByNode.delete(nodeId);
    this.#disconnected.next(nodeId);
  }
}

import { createServer, connect, type Server, type Socket } from 'node:net';
import { Subject, type Observable } from 'rxjs';
import { HaretrackError, MalformedFrameError, reasonOf } from '../common/errors.js';
import { decodeMessage, encodeMessage, type Message } from '../common/messages.js';
import { monotonicNow } from '../common/clock.js';
import type { Moment } from '../common/ids.js';
import { bindServer, parseAddress } from '../common/listen.js';

export interface Incoming {
  readonly from: string;
  readonly role: string;
  readonly zone: string;
  readonly message: Message;
}

/** How the processes reach each other. Messages may be lost, never altered; those on one line keep their order. */
export interface Transport {
  readonly incoming$: Observable<Incoming>;
  readonly disconnected$: Observable<string>;
  send(to: string, message: Message): void;
}

export interface ExchangeSettings {
  readonly id: string;
  readonly role: string;
  readonly zone: string;
  /** Where to listen; nothing for a node that only dials. */
  readonly listen: string;
  /** Where to dial a node whose own address is not reached directly. */
  readonly reach: Readonly<Record<string, string>>;
}

const MAX_FRAME_BYTES = 64 * 1024 * 1024;
const MAX_UNSENT_BYTES = 32 * 1024 * 1024;
export const REDIAL_DELAY_MS = 100;
export const CONNECT_TIMEOUT_MS = 500;
/** A line on which nothing was written for so long carries an empty frame; one from which nothing came for longer is dead. */
export const KEEPALIVE_INTERVAL_MS = 500;
export const PEER_TIMEOUT_MS = 1500;
export const CHECK_INTERVAL_MS = 250;
export const MAX_QUEUED_MESSAGES = 32;
const EMPTY_FRAME = Buffer.alloc(4);

/** One TCP connection: frames of a length and a message, a hello first each way. */
class Connection {
  readonly #socket: Socket;
  #parts: Buffer[] = [];
  #size = 0;
  #need = 4;
  nodeId = '';
  role = '';
  zone = '';
  wroteAt: Moment = monotonicNow();
  heardAt: Moment = monotonicNow();

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
  }

  get socket(): Socket {
    return this.#socket;
  }

  write(message: Message): void {
    const body = encodeMessage(message);
    const head = Buffer.allocUnsafe(4);
    head.writeUInt32BE(body.length);
    // A peer that no longer reads must not make us hold ever more for it: what it misses it asks for again.
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.#socket.destroy();
      return;
    }
    this.wroteAt = monotonicNow();
    this.#socket.write(Buffer.concat([head, body]));
  }

  keepAlive(now: Moment): void {
    // What is still unsent says as much.
    if (
      now - this.wroteAt < KEEPALIVE_INTERVAL_MS ||
      this.#socket.connecting ||
      this.#socket.writableLength > 0
    )
      return;
    this.wroteAt = now;
    this.#socket.write(EMPTY_FRAME);
  }

  /** Takes what came in and returns the whole messages in it. */
  take(chunk: Buffer): Message[] {
    this.heardAt = monotonicNow();
    this.#parts.push(chunk);
    this.#size += chunk.length;
    const messages: Message[] = [];
    // A large frame is put together once, when it is all there.
    if (this.#size < this.#need) return messages;
    let all = this.#parts.length === 1 ? chunk : Buffer.concat(this.#parts);
    while (all.length >= 4) {
      const length = all.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) throw new MalformedFrameError(`a frame of ${length} bytes`);
      if (all.length < 4 + length) break;
      if (length > 0) messages.push(decodeMessage(all.subarray(4, 4 + length)));
      all = all.subarray(4 + length);
    }
    this.#parts = all.length > 0 ? [all] : [];
    this.#size = all.length;
    this.#need = all.length >= 4 ? 4 + all.readUInt32BE(0) : 4;
    return messages;
  }
}

/** The TCP transport between haretrack's own processes. */
export class Exchange implements Transport {
  readonly #settings: ExchangeSettings;
  readonly #incoming = new Subject<Incoming>();
  readonly #disconnected = new Subject<string>();
  readonly #connectionsByNode = new Map<string, Connection[]>();
  readonly #connections = new Set<Connection>();
  readonly #dialing = new Set<string>();
  /** The newest messages for a node that is being dialled; they are lost with a dial that fails. */
  readonly #queued = new Map<string, Message[]>();
  readonly #onError: (defect: HaretrackError) => void;
  #server: Server | undefined;
  #isClosed = false;
  #checkedAt: Moment = monotonicNow();
  readonly #checkTimer: NodeJS.Timeout;

  constructor(settings: ExchangeSettings, tell: (defect: HaretrackError) => void) {
    this.#settings = settings;
    this.#onError = tell;
    this.#checkTimer = setInterval(() => this.#checkConnections(), CHECK_INTERVAL_MS).unref();
  }

  get incoming$(): Observable<Incoming> {
    return this.#incoming;
  }
  get disconnected$(): Observable<string> {
    return this.#disconnected;
  }

  /** Listens, if this node does; returns the port. */
  async open(): Promise<number> {
    if (this.#settings.listen === '') return 0;
    this.#server = createServer((socket) => this.#onConnection(socket));
    return bindServer(this.#server, this.#settings.listen);
  }

  close(): void {
    this.#isClosed = true;
    clearInterval(this.#checkTimer);
    this.#server?.close();
    for (const line of this.#connections) line.socket.destroy();
  }

  /** After a cut TCP sends again with growing pauses: a silent line is given up, to be dialled anew. */
  #checkConnections(): void {
    const now = monotonicNow();
    // Frozen or starved ourselves, we have heard nobody: what waits in the sockets is read first.
    const own = now - this.#checkedAt - CHECK_INTERVAL_MS;
    this.#checkedAt = now;
    for (const line of this.#connections) {
      if (own > CHECK_INTERVAL_MS) line.heardAt = now;
      if (now - line.heardAt > PEER_TIMEOUT_MS) line.socket.destroy();
      else line.keepAlive(now);
    }
  }

  isConnected(id: string): boolean {
    return this.#connectionsByNode.has(id);
  }

  send(to: string, message: Message): void {
    const lines = this.#connectionsByNode.get(to);
    const line = lines?.[lines.length - 1];
    if (line) {
      line.write(message);
      return;
    }
    this.dial(to);
    if (!this.#dialing.has(to)) return;
    // The first words of a session would else wait for its next tick.
    const queued = this.#queued.get(to) ?? [];
    queued.push(message);
    if (queued.length > MAX_QUEUED_MESSAGES) queued.shift();
    this.#queued.set(to, queued);
  }

  /** Opens a line to a node that listens. */
  dial(id: string): void {
    if (
      this.#isClosed ||
      this.#dialing.has(id) ||
      this.#connectionsByNode.has(id) ||
      !id.includes(':')
    )
      return;
    this.#dialing.add(id);
    const { host, port } = parseAddress(this.#settings.reach[id] ?? id);
    const socket = connect({ host, port });
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy(undefined));
    const line = new Connection(socket);
    line.nodeId = id;
    socket.once('connect', () => this.#onConnected(line, id));
    this.#attach(line);
    socket.once('close', () => this.#allowRedial(id));
  }

  #onConnected(line: Connection, id: string): void {
    line.socket.setTimeout(0);
    this.#dialing.delete(id);
    this.#sendHello(line);
    this.#register(line, id);
    for (const message of this.#queued.get(id) ?? []) line.write(message);
    this.#queued.delete(id);
  }

  #allowRedial(id: string): void {
    if (!this.#dialing.has(id)) return;
    this.#queued.delete(id);
    // A short pause, so that a node that is down is not dialled in a tight loop.
    setTimeout(() => this.#dialing.delete(id), REDIAL_DELAY_MS).unref();
  }

  #onConnection(socket: Socket): void {
    const line = new Connection(socket);
    this.#attach(line);
    this.#sendHello(line);
  }

  #sendHello(line: Connection): void {
    line.write({
      kind: 'hello',
      id: this.#settings.id,
      role: this.#settings.role,
      zone: this.#settings.zone,
    });
  }

  #attach(line: Connection): void {
    this.#connections.add(line);
    line.socket.on('data', (chunk) => this.#onData(line, chunk));
    // The close that follows says all there is to know.
    line.socket.on('error', ignore);
    line.socket.on('close', () => this.#onClose(line));
  }

  #register(line: Connection, id: string): void {
    line.nodeId = id;
    const lines = this.#connectionsByNode.get(id) ?? [];
    if (!lines.includes(line)) this.#connectionsByNode.set(id, [...lines, line]);
  }

  #onData(line: Connection, chunk: Buffer): void {
    let messages: Message[];
    try {
      messages = line.take(chunk);
    } catch (thrown) {
      this.#onError(
        thrown instanceof HaretrackError ? thrown : new MalformedFrameError(reasonOf(thrown)),
      );
      line.socket.destroy();
      return;
    }
    for (const message of messages) {
      if (message.kind === 'hello') {
        line.role = message.role;
        line.zone = message.zone;
        this.#register(line, message.id);
      } else if (line.nodeId !== '') {
        this.#incoming.next({ from: line.nodeId, role: line.role, zone: line.zone, message });
      }
    }
  }

  #onClose(line: Connection): void {
    this.#connections.delete(line);
    const left = (this.#connectionsByNode.get(line.nodeId) ?? []).filter((other) => line !== other);
    if (!this.#connectionsByNode.has(line.nodeId)) return;
    if (left.length > 0) {
      this.#connectionsByNode.set(line.nodeId, left);
      return;
    }
    this.#connectionsByNode.delete(line.nodeId);
    this.#disconnected.next(line.nodeId);
  }
}
function ignore(): void {
  /* told by the close */
}

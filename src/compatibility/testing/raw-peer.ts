import { connect, createServer, type Server, type Socket } from 'node:net';
import { bindServer, parseAddress } from '../../common/listen.js';
import { decodeMessage, encodeMessage, type Message } from '../../common/messages.js';

const LENGTH_BYTES = 4;
/** Below the 1500 ms without data after which a process closes a connection. */
const KEEPALIVE_INTERVAL_MS = 400;
const POLL_INTERVAL_MS = 10;
const WAIT_TIMEOUT_MS = 20_000;

/** Encodes a message as a frame: its length as four bytes, big-endian, then its bytes. */
export function frameOf(message: Message): Buffer {
  const body = encodeMessage(message);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

/** Waits until `condition` is true; throws an error with `description` if that takes too long. */
export async function waitFor(description: string, condition: () => boolean): Promise<void> {
  for (let waitedMs = 0; !condition(); waitedMs += POLL_INTERVAL_MS) {
    if (waitedMs > WAIT_TIMEOUT_MS) throw new Error(`timed out waiting for ${description}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** One end of a connection between processes, independent of the product's transport code. */
export class RawPeer {
  readonly #socket: Socket;
  #bytes = Buffer.alloc(0);
  #isClosed = false;
  #keepalives: NodeJS.Timeout | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('data', (chunk) => {
      this.#bytes = Buffer.concat([this.#bytes, chunk]);
    });
    socket.on('error', () => {
      this.#isClosed = true;
    });
    socket.on('close', () => {
      this.#isClosed = true;
      clearInterval(this.#keepalives);
    });
  }

  /** Connects to a listening process; rejects if the connection fails. */
  static async dial(address: string): Promise<RawPeer> {
    const peer = new RawPeer(connect(parseAddress(address)));
    await new Promise<void>((resolve, reject) => {
      peer.#socket.once('connect', resolve);
      peer.#socket.once('error', reject);
    });
    return peer;
  }

  /** Whether the connection has been closed or has failed. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** All bytes received so far. */
  get bytes(): Buffer {
    return this.#bytes;
  }

  /** The messages received so far, without keepalives. */
  get messages(): Message[] {
    const messages: Message[] = [];
    for (let rest = this.#bytes; rest.length >= LENGTH_BYTES;) {
      const end = LENGTH_BYTES + rest.readUInt32BE(0);
      if (rest.length < end) break;
      if (end > LENGTH_BYTES) messages.push(decodeMessage(rest.subarray(LENGTH_BYTES, end)));
      rest = rest.subarray(end);
    }
    return messages;
  }

  /** Sends raw bytes. */
  write(bytes: Uint8Array): void {
    this.#socket.write(bytes);
  }

  /** Sends a message as a frame. */
  send(message: Message): void {
    this.write(frameOf(message));
  }

  /** Sends a hello message, then sends keepalives until the connection is closed. */
  sendHello(id: string, role: string, zone: string): void {
    this.send({ kind: 'hello', id, role, zone });
    this.#keepalives = setInterval(() => {
      this.write(Buffer.alloc(LENGTH_BYTES));
    }, KEEPALIVE_INTERVAL_MS);
  }

  /** Waits for a message of `kind` and returns the first one received; throws if none arrives in time. */
  async receive<K extends Message['kind']>(kind: K): Promise<Extract<Message, { kind: K }>> {
    const isOfKind = (message: Message): message is Extract<Message, { kind: K }> =>
      message.kind === kind;
    await waitFor(`a message ${kind}`, () => this.messages.some(isOfKind));
    const received = this.messages.find(isOfKind);
    if (!received) throw new Error(`no message ${kind}`);
    return received;
  }

  /** Closes the connection at once. */
  close(): void {
    this.#socket.destroy();
  }
}

/** Listens for connections of processes; sends nothing on them by itself. */
export class RawListener {
  /** The accepted connections, in order. */
  readonly peers: RawPeer[] = [];
  readonly #server: Server;

  constructor() {
    this.#server = createServer((socket) => {
      this.peers.push(new RawPeer(socket));
    });
  }

  /** Listens at `address` and returns the port. */
  async listen(address: string): Promise<number> {
    return bindServer(this.#server, address);
  }

  /** Waits for a connection and returns the first one; throws if there is none in time. */
  async accept(): Promise<RawPeer> {
    await waitFor('a connection', () => this.peers.length > 0);
    const [peer] = this.peers;
    if (!peer) throw new Error('no connection');
    return peer;
  }

  /** Closes all connections and stops listening. */
  close(): void {
    for (const peer of this.peers) peer.close();
    this.#server.close();
  }
}

import { connect, createServer, type Server, type Socket } from 'node:net';
import { bindServer, parseAddress } from '../../common/listen.js';
import { decodeMessage, encodeMessage, type Message } from '../../common/messages.js';

const LENGTH_BYTES = 4;
/** A process gives a connection up on which nothing came for 1500 ms. */
const KEEPALIVE_MS = 400;
const POLL_MS = 10;
const LIMIT_MS = 20_000;

/** A message as a frame: its length in four bytes, the highest first, then its bytes. */
export function frameOf(message: Message): Buffer {
  const body = encodeMessage(message);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

/** Waits for something to hold; throws if it does not in time. */
export async function waitFor(what: string, holds: () => boolean): Promise<void> {
  for (let waitedMs = 0; !holds(); waitedMs += POLL_MS) {
    if (waitedMs > LIMIT_MS) throw new Error(`waited in vain: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** One end of a connection between processes, without any of the product's transport. */
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

  /** Connects to a process that listens. */
  static async dial(address: string): Promise<RawPeer> {
    const peer = new RawPeer(connect(parseAddress(address)));
    await new Promise<void>((resolve, reject) => {
      peer.#socket.once('connect', resolve);
      peer.#socket.once('error', reject);
    });
    return peer;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** All bytes received so far. */
  get bytes(): Buffer {
    return this.#bytes;
  }

  /** The messages received so far, keepalives left out. */
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

  write(bytes: Uint8Array): void {
    this.#socket.write(bytes);
  }

  send(message: Message): void {
    this.write(frameOf(message));
  }

  /** Says who this end is, and keeps the connection alive from here on. */
  greet(id: string, role: string, zone: string): void {
    this.send({ kind: 'hello', id, role, zone });
    this.#keepalives = setInterval(() => {
      this.write(Buffer.alloc(LENGTH_BYTES));
    }, KEEPALIVE_MS);
  }

  /** Waits for a message of that kind and returns the first one. */
  async receive<K extends Message['kind']>(kind: K): Promise<Extract<Message, { kind: K }>> {
    const isOfKind = (message: Message): message is Extract<Message, { kind: K }> =>
      message.kind === kind;
    await waitFor(`a message ${kind}`, () => this.messages.some(isOfKind));
    const found = this.messages.find(isOfKind);
    if (!found) throw new Error(`no message ${kind}`);
    return found;
  }

  close(): void {
    this.#socket.destroy();
  }
}

/** A port at which processes call; it greets none of them by itself. */
export class RawListener {
  readonly peers: RawPeer[] = [];
  readonly #server: Server;

  constructor() {
    this.#server = createServer((socket) => {
      this.peers.push(new RawPeer(socket));
    });
  }

  async listen(address: string): Promise<number> {
    return bindServer(this.#server, address);
  }

  /** Waits for the first process that calls. */
  async accept(): Promise<RawPeer> {
    await waitFor('a connection', () => this.peers.length > 0);
    const [peer] = this.peers;
    if (!peer) throw new Error('no connection');
    return peer;
  }

  close(): void {
    for (const peer of this.peers) peer.close();
    this.#server.close();
  }
}

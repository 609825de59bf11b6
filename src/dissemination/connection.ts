import type { Socket } from 'node:net';
import { monotonicNow } from '../common/clock.js';
import { MalformedFrameError } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import { decodeMessage, encodeMessage, type Message } from '../common/messages.js';

const MAX_FRAME_BYTES = 64 * 1024 * 1024;
const MAX_UNSENT_BYTES = 32 * 1024 * 1024;
/** A frame begins with the length of its message in bytes, an unsigned 32-bit big-endian integer. */
const HEADER_BYTES = 4;
const EMPTY_FRAME = Buffer.alloc(HEADER_BYTES);

/** A connection on which nothing was written for this long sends an empty frame as a heartbeat. */
export const KEEPALIVE_INTERVAL_MS = 500;

/** A TCP connection between two nodes. A frame is a length and a message; the first message in each direction is a `hello`. */
export class Connection {
  readonly #socket: Socket;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #neededBytes = HEADER_BYTES;
  #lastWriteAt: Moment = monotonicNow();
  /** Id of the peer; empty until its `hello` is received, except that the id of a dialed peer is known in advance. */
  nodeId = '';
  /** Role of the peer; empty until its `hello` is received. */
  role = '';
  /** Zone of the peer; empty until its `hello` is received. */
  zone = '';
  /** When bytes were last received from the peer. */
  lastHeardAt: Moment = monotonicNow();

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
  }

  /** The socket, for its events and for closing the connection. */
  get socket(): Socket {
    return this.#socket;
  }

  /** Sends a message, or destroys the connection if more than `MAX_UNSENT_BYTES` are unsent. */
  write(message: Message): void {
    const body = encodeMessage(message);
    const header = Buffer.allocUnsafe(HEADER_BYTES);
    header.writeUInt32BE(body.length);
    // Bounds the memory used for a peer that has stopped reading; the peer later requests the updates that it missed.
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.#socket.destroy();
      return;
    }
    this.#lastWriteAt = monotonicNow();
    this.#socket.write(Buffer.concat([header, body]));
  }

  /** Sends a heartbeat if the connection has been idle for `KEEPALIVE_INTERVAL_MS`. */
  keepAlive(now: Moment): void {
    if (now - this.#lastWriteAt < KEEPALIVE_INTERVAL_MS || this.#socket.connecting) return;
    // Unsent bytes serve as a heartbeat.
    if (this.#socket.writableLength > 0) return;
    this.#lastWriteAt = now;
    this.#socket.write(EMPTY_FRAME);
  }

  /**
   * Processes received bytes and returns the messages that are now complete.
   *
   * @throws MalformedFrameError if a frame is too large or its message cannot be decoded.
   */
  onData(chunk: Buffer): Message[] {
    this.lastHeardAt = monotonicNow();
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    const messages: Message[] = [];
    // The chunks of a large frame are concatenated only once, after the last has been received.
    if (this.#bufferedBytes < this.#neededBytes) return messages;
    let unparsed = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks);
    while (unparsed.length >= HEADER_BYTES) {
      const length = unparsed.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES)
        throw new MalformedFrameError(`frame of ${length} bytes exceeds the maximum`);
      const end = HEADER_BYTES + length;
      if (unparsed.length < end) break;
      if (length > 0) messages.push(decodeMessage(unparsed.subarray(HEADER_BYTES, end)));
      unparsed = unparsed.subarray(end);
    }
    this.#buffer(unparsed);
    return messages;
  }

  /** Buffers the start of an incomplete frame until its remaining bytes are received. */
  #buffer(unparsed: Buffer): void {
    this.#chunks = unparsed.length > 0 ? [unparsed] : [];
    this.#bufferedBytes = unparsed.length;
    this.#neededBytes =
      unparsed.length >= HEADER_BYTES ? HEADER_BYTES + unparsed.readUInt32BE(0) : HEADER_BYTES;
  }
}

import type { Socket } from 'node:net';
import { monotonicNow } from '../common/clock.js';
import { MalformedFrameError } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import { decodeMessage, encodeMessage, type Message } from '../common/messages.js';

const MAX_FRAME_BYTES = 64 * 1024 * 1024;
const MAX_UNSENT_BYTES = 32 * 1024 * 1024;
/** A frame begins with the length of its message in bytes, as an unsigned 32-bit big-endian number. */
const HEADER_BYTES = 4;
const EMPTY_FRAME = Buffer.alloc(HEADER_BYTES);

/** A connection on which nothing was written for this long carries an empty frame as a heartbeat. */
export const KEEPALIVE_INTERVAL_MS = 500;

/** One TCP connection between two nodes. Each frame is a length and a message; the first message each way is a `hello`. */
export class Connection {
  readonly #socket: Socket;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #neededBytes = HEADER_BYTES;
  #wroteAt: Moment = monotonicNow();
  /** Id, role and zone of the peer; empty until its `hello` has come (the id of a dialled peer is known before). */
  nodeId = '';
  role = '';
  zone = '';
  /** When bytes came from the peer last. */
  lastHeardAt: Moment = monotonicNow();

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
  }

  get socket(): Socket {
    return this.#socket;
  }

  /** Sends a message, or destroys the connection if its peer has stopped reading. */
  write(message: Message): void {
    const body = encodeMessage(message);
    const header = Buffer.allocUnsafe(HEADER_BYTES);
    header.writeUInt32BE(body.length);
    // Bounds the memory that a peer which reads nothing costs; it requests again what it missed.
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.#socket.destroy();
      return;
    }
    this.#wroteAt = monotonicNow();
    this.#socket.write(Buffer.concat([header, body]));
  }

  /** Sends a heartbeat if the connection has been idle for `KEEPALIVE_INTERVAL_MS`. */
  keepAlive(now: Moment): void {
    if (now - this.#wroteAt < KEEPALIVE_INTERVAL_MS || this.#socket.connecting) return;
    // Bytes that wait to be sent serve as a heartbeat.
    if (this.#socket.writableLength > 0) return;
    this.#wroteAt = now;
    this.#socket.write(EMPTY_FRAME);
  }

  /**
   * Takes received bytes and returns the messages that they complete.
   *
   * @throws MalformedFrameError if a frame is too large or its message cannot be decoded.
   */
  onData(chunk: Buffer): Message[] {
    this.lastHeardAt = monotonicNow();
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    const messages: Message[] = [];
    // The chunks of a large frame are concatenated once, when the last has come.
    if (this.#bufferedBytes < this.#neededBytes) return messages;
    let rest = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks);
    while (rest.length >= HEADER_BYTES) {
      const length = rest.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) throw new MalformedFrameError(`a frame of ${length} bytes`);
      const end = HEADER_BYTES + length;
      if (rest.length < end) break;
      if (length > 0) messages.push(decodeMessage(rest.subarray(HEADER_BYTES, end)));
      rest = rest.subarray(end);
    }
    this.#buffer(rest);
    return messages;
  }

  #buffer(rest: Buffer): void {
    this.#chunks = rest.length > 0 ? [rest] : [];
    this.#bufferedBytes = rest.length;
    this.#neededBytes =
      rest.length >= HEADER_BYTES ? HEADER_BYTES + rest.readUInt32BE(0) : HEADER_BYTES;
  }
}

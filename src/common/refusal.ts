/** Answers a request before its body was read, and closes its connection without reading on for long. */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { isBodyPending } from './request-body.js';

/** What is still read of a refused body, so that a client that sends it first can read the response, bytes. */
const LINGER_BYTES = 256 * 1024;
/** For how long a refused body is still read, ms. */
const LINGER_MS = 1000;
/** What reading a chunk costs besides its bytes, in bytes: small chunks end the reading sooner. */
const CHUNK_COST_BYTES = 64;

/** Reads what is left of a refused body, up to a number of bytes and a time; then calls `onEnd` once. */
class DiscardedBody {
  readonly #request: IncomingMessage;
  readonly #onEnd: () => void;
  readonly #timer: NodeJS.Timeout;
  #leftBytes = LINGER_BYTES;
  #hasEnded = false;

  constructor(request: IncomingMessage, onEnd: () => void) {
    this.#request = request;
    this.#onEnd = onEnd;
    this.#timer = setTimeout(this.#end, LINGER_MS).unref();
    request.on('data', this.#onData);
    request.once('end', this.#end);
    request.once('close', this.#end);
    request.on('error', this.#end);
    request.resume();
  }

  readonly #onData = (chunk: Buffer): void => {
    this.#leftBytes -= chunk.length + CHUNK_COST_BYTES;
    if (this.#leftBytes <= 0) this.#end();
  };

  readonly #end = (): void => {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    clearTimeout(this.#timer);
    this.#request.off('data', this.#onData);
    this.#request.pause();
    this.#onEnd();
  };
}

/** The complete response to a request whose body isn't read. */
export interface EarlyReply {
  readonly status: number;
  /** Headers, with the length of the body. */
  readonly headers: OutgoingHttpHeaders;
  readonly body: string;
}

/** Answers before the request was read, and closes the connection once no more than a bounded part of its body was read. */
export function replyAndDiscard(
  request: IncomingMessage,
  response: ServerResponse,
  { status, headers, body }: EarlyReply,
): void {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(status, { ...headers, connection: 'close' });
  if (!isBodyPending(request)) {
    response.end(body);
    return;
  }
  // Closing now would reset the connection, and the client might lose the response while it still sends.
  if (body === '') response.flushHeaders();
  else response.write(body);
  new DiscardedBody(request, () => response.end());
}

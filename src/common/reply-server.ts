/** An HTTP server that answers each request with one complete response. */

import type { BoundedRequest } from './bounded-request.js';
import { BoundedServer } from './bounded-server.js';
import { Counters } from './counters.js';
import { DEFAULT_INTAKE_LIMITS, type IntakeLimits } from './intake-limits.js';
import { bindServer } from './listen.js';
import { replyAndDiscard } from './refusal.js';
import { isBodyPending, UnreadableBodyError } from './request-body.js';

const JSON_TYPE = 'application/json';

/** A complete response. */
export interface HttpReply {
  readonly status: number;
  readonly body: string;
  /** JSON if left out. */
  readonly contentType?: string;
}

/** Handles one request; if it rejects, the client gets the server's response to failures. */
export type RequestHandler = (request: BoundedRequest) => Promise<HttpReply>;

/** Settings of a `ReplyServer`. */
export interface ReplyServerSettings {
  readonly handle: RequestHandler;
  /** The response if the handler fails. */
  readonly onFailure: HttpReply;
  /** The header `retry-after` of responses with status 503, in seconds; left out if undefined. */
  readonly retryAfterSeconds?: number;
  /** What clients may occupy. */
  readonly limits?: IntakeLimits;
  /** Counts what is refused for the limits. */
  readonly counters?: Counters;
}

/** An HTTP server that passes each request to a handler and sends the response that it returns. */
export class ReplyServer {
  readonly #settings: ReplyServerSettings;
  readonly #server: BoundedServer;

  constructor(settings: ReplyServerSettings) {
    this.#settings = settings;
    const { limits = DEFAULT_INTAKE_LIMITS, counters = new Counters() } = settings;
    this.#server = new BoundedServer({
      limits,
      counters,
      onRequest: (request) => this.#handle(request),
      overloadHeaders: this.#retryHeaders(),
    });
  }

  /** Opens the port and returns its number; rejects if it cannot be opened. */
  async listen(address: string): Promise<number> {
    return bindServer(this.#server.http, address);
  }

  /** Accepts no new connections; requests in progress get their responses. */
  close(): void {
    this.#server.http.close();
    this.#server.http.closeIdleConnections();
  }

  /** Closes all connections, whatever is in progress on them. */
  closeAllConnections(): void {
    this.#server.http.closeAllConnections();
  }

  async #handle(bounded: BoundedRequest): Promise<void> {
    const { handle, onFailure } = this.#settings;
    let reply: HttpReply;
    try {
      reply = await handle(bounded);
    } catch (thrown) {
      if (thrown instanceof UnreadableBodyError && thrown.outcome.kind === 'revoked') {
        this.#server.refuseRevoked(bounded, thrown.outcome.reason);
        return;
      }
      reply = onFailure;
    }
    const headers = {
      'content-type': reply.contentType ?? JSON_TYPE,
      'content-length': Buffer.byteLength(reply.body),
      ...(reply.status === 503 ? this.#retryHeaders() : {}),
    };
    const { request, response } = bounded;
    if (isBodyPending(request)) {
      replyAndDiscard(request, response, { status: reply.status, headers, body: reply.body });
      return;
    }
    response.writeHead(reply.status, headers);
    response.end(reply.body);
  }

  #retryHeaders(): Record<string, string | number> {
    const { retryAfterSeconds } = this.#settings;
    return retryAfterSeconds === undefined ? {} : { 'retry-after': retryAfterSeconds };
  }
}

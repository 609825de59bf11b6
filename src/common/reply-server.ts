/** An HTTP server that answers each request with one complete response. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { bindServer } from './listen.js';

const JSON_TYPE = 'application/json';

/** A complete response. */
export interface HttpReply {
  readonly status: number;
  readonly body: string;
  /** JSON if left out. */
  readonly contentType?: string;
}

/** Handles one request; if it rejects, the client gets the server's response to failures. */
export type RequestHandler = (request: IncomingMessage) => Promise<HttpReply>;

/** Settings of a `ReplyServer`. */
export interface ReplyServerSettings {
  readonly handle: RequestHandler;
  /** The response if the handler fails. */
  readonly onFailure: HttpReply;
  /** The header `retry-after` of responses with status 503, in seconds; left out if undefined. */
  readonly retryAfterSeconds?: number;
}

/** An HTTP server that passes each request to a handler and sends the response that it returns. */
export class ReplyServer {
  readonly #settings: ReplyServerSettings;
  readonly #server: Server;

  constructor(settings: ReplyServerSettings) {
    this.#settings = settings;
    this.#server = createServer((request, response) => this.#handle(request, response));
  }

  /** Opens the port and returns its number; rejects if it cannot be opened. */
  async listen(address: string): Promise<number> {
    return bindServer(this.#server, address);
  }

  /** Accepts no new connections; requests in progress get their responses. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { handle: serve, onFailure, retryAfterSeconds: retryAfterS } = this.#settings;
    let reply: HttpReply;
    try {
      reply = await serve(request);
    } catch {
      reply = onFailure;
    }
    const headers: Record<string, string | number> = {
      'content-type': reply.contentType ?? JSON_TYPE,
      'content-length': Buffer.byteLength(reply.body),
    };
    if (reply.status === 503 && retryAfterS !== undefined) headers['retry-after'] = retryAfterS;
    response.writeHead(reply.status, headers);
    response.end(reply.body);
  }
}

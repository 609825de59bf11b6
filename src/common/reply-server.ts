/** An HTTP server that gives one whole reply to each call. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { bindServer } from './listen.js';

const JSON_TYPE = 'application/json';

export interface HttpReply {
  readonly status: number;
  readonly body: string;
  /** JSON where it says nothing else. */
  readonly contentType?: string;
}

/** Serves one call; where it fails, the caller gets the server's reply to failures. */
export type RequestHandler = (asked: IncomingMessage) => Promise<HttpReply>;

export interface ReplyServerSettings {
  readonly handle: RequestHandler;
  readonly onFailure: HttpReply;
  /** What a reply with status 503 tells as `retry-after`, in seconds; nothing where it tells none. */
  readonly retryAfterSeconds?: number;
}

export class ReplyServer {
  readonly #settings: ReplyServerSettings;
  readonly #server: Server;

  constructor(settings: ReplyServerSettings) {
    this.#settings = settings;
    this.#server = createServer((asked, returned) => this.#take(asked, returned));
  }

  /** Opens the port and returns its number. */
  async listen(address: string): Promise<number> {
    return bindServer(this.#server, address);
  }

  /** Takes no new calls; those under way get their replies. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #take(asked: IncomingMessage, returned: ServerResponse): Promise<void> {
    const { handle: serve, onFailure, retryAfterSeconds: retryAfterS } = this.#settings;
    let reply: HttpReply;
    try {
      reply = await serve(asked);
    } catch {
      reply = onFailure;
    }
    const headers: Record<string, string | number> = {
      'content-type': reply.contentType ?? JSON_TYPE,
      'content-length': Buffer.byteLength(reply.body),
    };
    if (reply.status === 503 && retryAfterS !== undefined) headers['retry-after'] = retryAfterS;
    returned.writeHead(reply.status, headers);
    returned.end(reply.body);
  }
}

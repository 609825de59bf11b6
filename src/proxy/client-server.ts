import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { readBytes } from '../common/call.js';
import type { Counters } from '../common/counters.js';
import { bindServer } from '../common/listen.js';
import type { Limits } from '../route/routing.js';
import type { ClientConnections } from './client-connections.js';
import type { ClientExchange } from './client-exchange.js';
import type { RequestDialect } from './request-dialect.js';
import type { EventLoopGuard } from './event-loop-guard.js';

/** The limits that apply until a configuration has arrived. */
const INITIAL_LIMITS: Limits = {
  maxHeaderBytes: 64 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerWaitMs: 5000,
  idleMs: 15_000,
};

/** Provides the operators' limits; `routing` is undefined until a configuration has arrived. */
export interface LimitSource {
  readonly routing: { readonly limits: Limits } | undefined;
}

/** The HTTP server for clients: reads each request completely, within the operators' limits, and passes it on. */
export class ClientServer {
  readonly #source: LimitSource;
  readonly #dialect: RequestDialect;
  readonly #counters: Counters;
  readonly #connections: ClientConnections<ClientExchange>;
  readonly #eventLoopGuard: EventLoopGuard;
  /** Called with each request that was read completely and whose client is still connected. */
  readonly #onRequest: (exchange: ClientExchange) => void;
  readonly #server: Server;
  #lastExchangeId = 0;

  constructor(
    source: LimitSource,
    dialect: RequestDialect,
    counters: Counters,
    connections: ClientConnections<ClientExchange>,
    eventLoopGuard: EventLoopGuard,
    onRequest: (exchange: ClientExchange) => void,
  ) {
    this.#source = source;
    this.#dialect = dialect;
    this.#counters = counters;
    this.#connections = connections;
    this.#eventLoopGuard = eventLoopGuard;
    this.#onRequest = onRequest;
    this.#server = createServer(
      {
        maxHeaderSize: INITIAL_LIMITS.maxHeaderBytes,
        requestTimeout: 0,
        headersTimeout: INITIAL_LIMITS.headerWaitMs,
        keepAliveTimeout: INITIAL_LIMITS.idleMs,
        connectionsCheckingInterval: 1000,
        noDelay: true,
      },
      (request, response) => this.#onRequestHead(request, response),
    );
    this.#server.on('clientError', (error, socket) => this.#onClientError(error, socket));
  }

  /** Listens at the address; resolves with the port. */
  listen(address: string): Promise<number> {
    return bindServer(this.#server, address);
  }

  /** Applies the operators' limits on the size and pace of requests. */
  applyLimits(): void {
    const limits = this.#source.routing?.limits;
    if (!limits) return;
    this.#server.headersTimeout = limits.headerWaitMs;
    if (limits.idleMs !== this.#server.keepAliveTimeout)
      this.#connections.setIdleTimeout(limits.idleMs);
    this.#server.keepAliveTimeout = limits.idleMs;
    // Node reads this property for each new connection, although its type declarations don't list it.
    Reflect.set(this.#server, 'maxHeaderSize', limits.maxHeaderBytes);
  }

  /** Stops accepting connections, and closes idle ones. */
  close(): void {
    this.#server.close();
    this.closeIdle();
  }

  /** Closes idle connections. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  #onClientError(error: Error & { code?: string }, socket: Duplex): void {
    this.#counters.add('requests.malformed');
    // The client would take an error response for the response to an earlier request that is still due.
    const isResponseDue = socket instanceof Socket && this.#connections.isResponseDue(socket);
    if (!socket.writable || error.code === 'ECONNRESET' || isResponseDue) {
      socket.destroy();
      return;
    }
    const status = statusLineOf(error.code);
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
  }

  async #onRequestHead(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#counters.add('requests');
    const { maxBodyBytes } = this.#source.routing?.limits ?? INITIAL_LIMITS;
    this.#connections.onRequestHead(request);
    let body: Buffer;
    try {
      if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
        this.#rejectTooLarge(request, response);
        return;
      }
      body = await readBytes(request, maxBodyBytes);
    } catch {
      if (!response.destroyed) this.#rejectTooLarge(request, response);
      return;
    }
    // The client may have disconnected during an event loop stall. Pending socket events are read first, so that no
    // request is run whose client is gone.
    if (this.#eventLoopGuard.isRecovering) await this.#eventLoopGuard.drainSockets();
    const exchange = this.#exchangeOf(request, response, body);
    if (this.#connections.onRequestRead(request, exchange)) this.#onRequest(exchange);
    else this.#counters.add('clients.gone');
  }

  #exchangeOf(request: IncomingMessage, response: ServerResponse, body: Buffer): ClientExchange {
    this.#lastExchangeId += 1;
    const annotations = this.#dialect.readRequest(request.headers);
    return {
      id: this.#lastExchangeId,
      clientRequest: request,
      clientResponse: response,
      body,
      annotations,
      attempt: undefined,
      lastEventId: annotations.lastEventId,
      isHeadForwarded: false,
      hasEventWithoutId: false,
    };
  }

  #rejectTooLarge(request: IncomingMessage, response: ServerResponse): void {
    this.#connections.onRequestAborted(request);
    request.resume();
    response.writeHead(413, { connection: 'close', 'content-length': 0 }).end();
  }
}

/** The status code and reason phrase for a request that Node could not parse, or that arrived too slowly. */
function statusLineOf(code: string | undefined): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return '431 Request Header Fields Too Large';
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return '408 Request Timeout';
    default:
      return '400 Bad Request';
  }
}

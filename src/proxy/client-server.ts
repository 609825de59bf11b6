import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { BoundedRequest } from '../common/bounded-request.js';
import { BoundedServer } from '../common/bounded-server.js';
import type { Counters } from '../common/counters.js';
import type { IntakeLimits } from '../common/intake-limits.js';
import { bindServer } from '../common/listen.js';
import { announcedBodyBytes, type UnreadOutcome } from '../common/request-body.js';
import type { Limits } from '../route/routing.js';
import type { ClientConnections } from './client-connections.js';
import type { ClientExchange } from './client-exchange.js';
import type { RequestDialect } from './request-dialect.js';
import type { EventLoopGuard } from './event-loop-guard.js';

const STATUS_TOO_LARGE = 413;
/** The limits that apply until a configuration has arrived. */
const INITIAL_LIMITS: Limits = {
  maxHeaderBytes: 64 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerWaitMs: 5000,
  idleMs: 15_000,
};

/** When a client that was refused for want of memory may come back, ms. */
const OVERLOAD_RETRY_AFTER_MS = 1000;

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
  readonly #server: BoundedServer;
  #lastExchangeId = 0;

  constructor(
    source: LimitSource,
    dialect: RequestDialect,
    counters: Counters,
    connections: ClientConnections<ClientExchange>,
    eventLoopGuard: EventLoopGuard,
    onRequest: (exchange: ClientExchange) => void,
    limits: IntakeLimits,
  ) {
    this.#source = source;
    this.#dialect = dialect;
    this.#counters = counters;
    this.#connections = connections;
    this.#eventLoopGuard = eventLoopGuard;
    this.#onRequest = onRequest;
    this.#server = new BoundedServer({
      limits,
      counters,
      options: {
        maxHeaderSize: INITIAL_LIMITS.maxHeaderBytes,
        requestTimeout: 0,
        headersTimeout: INITIAL_LIMITS.headerWaitMs,
        keepAliveTimeout: INITIAL_LIMITS.idleMs,
        connectionsCheckingInterval: 1000,
        noDelay: true,
      },
      onRequest: (request) => this.#onRequestHead(request),
      overloadHeaders: dialect.rejection('full', OVERLOAD_RETRY_AFTER_MS).headers,
    });
    this.#server.http.on('clientError', (error, socket) => this.#onClientError(error, socket));
  }

  /** Listens at the address; resolves with the port. */
  listen(address: string): Promise<number> {
    return bindServer(this.#server.http, address);
  }

  /** Applies the operators' limits on the size and pace of requests. */
  applyLimits(): void {
    const limits = this.#source.routing?.limits;
    if (!limits) return;
    this.#server.http.headersTimeout = limits.headerWaitMs;
    if (limits.idleMs !== this.#server.http.keepAliveTimeout)
      this.#connections.setIdleTimeout(limits.idleMs);
    this.#server.http.keepAliveTimeout = limits.idleMs;
    this.#server.setIdleTimeout(limits.idleMs);
    // Node reads this property for each new connection, although its type declarations don't list it.
    Reflect.set(this.#server.http, 'maxHeaderSize', limits.maxHeaderBytes);
  }

  /** Stops accepting connections, and closes idle ones. */
  close(): void {
    this.#server.http.close();
    this.closeIdle();
  }

  /** Closes idle connections. */
  closeIdle(): void {
    this.#server.http.closeIdleConnections();
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

  async #onRequestHead(bounded: BoundedRequest): Promise<void> {
    this.#counters.add('requests');
    const { request } = bounded;
    const { maxBodyBytes } = this.#source.routing?.limits ?? INITIAL_LIMITS;
    this.#connections.onRequestHead(request);
    if ((announcedBodyBytes(request) ?? 0) > maxBodyBytes) {
      this.#onUnreadable(bounded, { kind: 'too-large' });
      return;
    }
    const outcome = await bounded.readBody(maxBodyBytes);
    if (outcome.kind === 'complete') await this.#onBody(bounded, outcome.body);
    else this.#onUnreadable(bounded, outcome);
  }

  async #onBody(bounded: BoundedRequest, body: Buffer): Promise<void> {
    // The client may have disconnected during an event loop stall. Pending socket events are read first, so that no
    // request is run whose client is gone.
    if (this.#eventLoopGuard.isRecovering) await this.#eventLoopGuard.drainSockets();
    const exchange = this.#exchangeOf(bounded, body);
    if (this.#connections.onRequestRead(bounded.request, exchange)) this.#onRequest(exchange);
    else this.#counters.add('clients.gone');
  }

  /** The request can't be read completely: it isn't run, and its client is told why. */
  #onUnreadable(bounded: BoundedRequest, outcome: UnreadOutcome): void {
    const { request, response } = bounded;
    switch (outcome.kind) {
      case 'too-large':
        this.#connections.onRequestAborted(request);
        this.#counters.add('intake.too-large');
        this.#server.refuse(request, response, STATUS_TOO_LARGE);
        break;
      case 'revoked':
        this.#connections.onRequestAborted(request);
        this.#server.refuseRevoked(bounded, outcome.reason);
        break;
      case 'aborted':
        break;
    }
  }

  #exchangeOf(bounded: BoundedRequest, body: Buffer): ClientExchange {
    const { request: clientRequest, response: clientResponse } = bounded;
    this.#lastExchangeId += 1;
    const annotations = this.#dialect.readRequest(clientRequest.headers);
    return {
      id: this.#lastExchangeId,
      clientRequest,
      clientResponse,
      body,
      memory: bounded,
      annotations,
      attempt: undefined,
      lastEventId: annotations.lastEventId,
      isHeadForwarded: false,
      hasEventWithoutId: false,
      isEventIncomplete: false,
    };
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

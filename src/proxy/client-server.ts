import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { readBytes } from '../common/call.js';
import type { Counters } from '../common/counters.js';
import { listenOn } from '../common/listen.js';
import type { Limits } from '../route/routing.js';
import type { ClientConnections } from './client-connections.js';
import type { ClientExchange } from './client-exchange.js';
import type { RequestDialect } from './request-dialect.js';
import type { StallGuard } from './stall-guard.js';

/** Until operators have set their limits. */
const FIRST_LIMITS: Limits = {
  maxHeaderBytes: 64 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerWaitMs: 5000,
  idleMs: 15_000,
};

/** Knows the operators' limits, once there is a configuration. */
export interface LimitSource {
  readonly routing: { readonly limits: Limits } | undefined;
}

/** Reads requests of clients whole, within the operators' limits, and hands them over. */
export class ClientServer {
  readonly #source: LimitSource;
  readonly #dialect: RequestDialect;
  readonly #counters: Counters;
  readonly #connections: ClientConnections<ClientExchange>;
  readonly #stallGuard: StallGuard;
  /** Takes a request that was read whole and whose client still waits. */
  readonly #handOver: (exchange: ClientExchange) => void;
  readonly #server: Server;
  #count = 0;

  constructor(
    source: LimitSource,
    dialect: RequestDialect,
    counters: Counters,
    connections: ClientConnections<ClientExchange>,
    stallGuard: StallGuard,
    handOver: (exchange: ClientExchange) => void,
  ) {
    this.#source = source;
    this.#dialect = dialect;
    this.#counters = counters;
    this.#connections = connections;
    this.#stallGuard = stallGuard;
    this.#handOver = handOver;
    this.#server = createServer(
      {
        maxHeaderSize: FIRST_LIMITS.maxHeaderBytes,
        requestTimeout: 0,
        headersTimeout: FIRST_LIMITS.headerWaitMs,
        keepAliveTimeout: FIRST_LIMITS.idleMs,
        connectionsCheckingInterval: 1000,
        noDelay: true,
      },
      (asked, answer) => this.#accept(asked, answer),
    );
    this.#server.on('clientError', (thrown, socket) => this.#clientError(thrown, socket));
  }

  /** Listens at the address; resolves with the port. */
  listen(address: string): Promise<number> {
    return listenOn(this.#server, address);
  }

  /** Takes up the operators' limits on what a client may send, and how slowly. */
  limit(): void {
    const limits = this.#source.routing?.limits;
    if (!limits) return;
    this.#server.headersTimeout = limits.headerWaitMs;
    if (limits.idleMs !== this.#server.keepAliveTimeout) this.#connections.rest(limits.idleMs);
    this.#server.keepAliveTimeout = limits.idleMs;
    // Node takes it for each new connection from here, though its types do not say so.
    Reflect.set(this.#server, 'maxHeaderSize', limits.maxHeaderBytes);
  }

  /** Takes no new connection, and closes those that rest. */
  close(): void {
    this.#server.close();
    this.closeIdle();
  }

  /** Closes connections that rest. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  #clientError(thrown: Error & { code?: string }, socket: Duplex): void {
    this.#counters.add('requests.malformed');
    // A word on what came last would stand where the answer to an earlier request is due.
    const isAnswerDue = socket instanceof Socket && this.#connections.isAnswerDue(socket);
    if (!socket.writable || thrown.code === 'ECONNRESET' || isAnswerDue) {
      socket.destroy();
      return;
    }
    const status = statusLineOf(thrown.code);
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
  }

  async #accept(asked: IncomingMessage, answer: ServerResponse): Promise<void> {
    this.#counters.add('requests');
    const { maxBodyBytes } = this.#source.routing?.limits ?? FIRST_LIMITS;
    this.#connections.begin(asked);
    let body: Buffer;
    try {
      if (Number(asked.headers['content-length'] ?? 0) > maxBodyBytes) {
        this.#tooLarge(asked, answer);
        return;
      }
      body = await readBytes(asked, maxBodyBytes);
    } catch {
      if (!answer.destroyed) this.#tooLarge(asked, answer);
      return;
    }
    // Its client may have left while we stood still: that is read first, so that nothing runs for nobody.
    if (this.#stallGuard.isWaking) await this.#stallGuard.settle();
    const exchange = this.#exchangeOf(asked, answer, body);
    if (this.#connections.open(asked, exchange)) this.#handOver(exchange);
    else this.#counters.add('clients.gone');
  }

  #exchangeOf(asked: IncomingMessage, answer: ServerResponse, body: Buffer): ClientExchange {
    this.#count += 1;
    const said = this.#dialect.readRequest(asked.headers);
    return {
      id: this.#count,
      asked,
      answer,
      body,
      said,
      attempt: undefined,
      lastEventId: said.lastEventId,
      isHeadPassed: false,
      isUnnumbered: false,
    };
  }

  #tooLarge(asked: IncomingMessage, answer: ServerResponse): void {
    this.#connections.drop(asked);
    asked.resume();
    answer.writeHead(413, { connection: 'close', 'content-length': 0 }).end();
  }
}

/** What is told of bytes that Node did not take for a request. */
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

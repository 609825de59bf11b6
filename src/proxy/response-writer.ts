import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import type { Counters } from '../common/counters.js';
import type { ClientConnections } from './client-connections.js';
import { abortResponse, type ClientExchange, type RejectEffect } from './client-exchange.js';
import { forwardedHeaders, REFRAMED_HEADERS } from './http-messages.js';
import type { RequestDialect } from './request-dialect.js';

/** Writes heads of responses to clients: rejections, failures, and those of runners' responses. */
export class ResponseWriter {
  readonly #connections: ClientConnections<ClientExchange>;
  readonly #dialect: RequestDialect;
  readonly #counters: Counters;
  #isDraining = false;

  constructor(
    connections: ClientConnections<ClientExchange>,
    dialect: RequestDialect,
    counters: Counters,
  ) {
    this.#connections = connections;
    this.#dialect = dialect;
    this.#counters = counters;
  }

  /** From now on the last response due on each connection carries `connection: close`. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Rejects a request that was not processed, and tells the client when to retry. */
  reject(exchange: ClientExchange, effect: RejectEffect): void {
    this.#counters.add(`refused.${effect.reason}`);
    const { clientResponse } = exchange;
    if (clientResponse.headersSent || clientResponse.destroyed) {
      abortResponse(exchange);
      return;
    }
    const { status, headers } = this.#dialect.rejection(effect.reason, effect.retryAfterMs);
    if (this.#shouldClose(exchange)) headers['connection'] = 'close';
    clientResponse.writeHead(status, { ...headers, 'content-length': 0 }).end();
  }

  /** Ends a request that failed and may have been processed. */
  fail(exchange: ClientExchange, status: number): void {
    this.#counters.add(`failed.${status}`);
    const { clientResponse } = exchange;
    // A response that has started must be visibly truncated.
    if (exchange.isHeadForwarded || clientResponse.headersSent) {
      abortResponse(exchange);
      return;
    }
    if (clientResponse.destroyed) return;
    const headers: OutgoingHttpHeaders = { 'content-length': 0 };
    if (this.#shouldClose(exchange)) headers['connection'] = 'close';
    clientResponse.writeHead(status, headers).end();
  }

  /** Forwards the head of a runner's response; `length` is its content length, undefined where there is none. */
  writeHead(
    exchange: ClientExchange,
    runnerResponse: IncomingMessage,
    length: string | number | undefined,
  ): void {
    exchange.isHeadForwarded = true;
    const headers = forwardedHeaders(runnerResponse, REFRAMED_HEADERS);
    if (length !== undefined) headers['content-length'] = length;
    if (this.#shouldClose(exchange)) headers['connection'] = 'close';
    exchange.clientResponse.writeHead(runnerResponse.statusCode ?? 502, headers);
  }

  /** While draining, the last response that is due on a connection tells the client to close it. */
  #shouldClose(exchange: ClientExchange): boolean {
    return (
      this.#isDraining && this.#connections.closeAfter(exchange.clientRequest.socket, exchange)
    );
  }
}

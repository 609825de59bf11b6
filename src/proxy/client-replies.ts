import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import type { Counters } from '../common/counters.js';
import type { ClientConnections } from './client-connections.js';
import { breakOff, type ClientExchange, type RefuseEffect } from './client-exchange.js';
import { passedOn, REFRAMED_HEADERS } from './http-messages.js';
import type { RequestDialect } from './request-dialect.js';

/** Writes heads of answers to clients: refusals, failures, and those of runners' answers. */
export class ClientReplies {
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

  /** From here on every answer asks its client to go elsewhere. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Tells that the request has not run and when to come back. */
  refuse(exchange: ClientExchange, effect: RefuseEffect): void {
    this.#counters.add(`refused.${effect.reason}`);
    const { answer } = exchange;
    if (answer.headersSent || answer.destroyed) {
      breakOff(exchange);
      return;
    }
    const { status, headers } = this.#dialect.refusal(effect.reason, effect.retryAfterMs);
    if (this.#closesAfter(exchange)) headers['connection'] = 'close';
    answer.writeHead(status, { ...headers, 'content-length': 0 }).end();
  }

  /** Tells that the request failed and may have run. */
  fail(exchange: ClientExchange, status: number): void {
    this.#counters.add(`failed.${status}`);
    const { answer } = exchange;
    // An answer that has begun must be seen to be broken.
    if (exchange.isHeadPassed || answer.headersSent) {
      breakOff(exchange);
      return;
    }
    if (answer.destroyed) return;
    const headers: OutgoingHttpHeaders = { 'content-length': 0 };
    if (this.#closesAfter(exchange)) headers['connection'] = 'close';
    answer.writeHead(status, headers).end();
  }

  /** Passes on the head of a runner's answer, with that length where it has one. */
  passHead(
    exchange: ClientExchange,
    back: IncomingMessage,
    length: string | number | undefined,
  ): void {
    exchange.isHeadPassed = true;
    const headers = passedOn(back, REFRAMED_HEADERS);
    if (length !== undefined) headers['content-length'] = length;
    if (this.#closesAfter(exchange)) headers['connection'] = 'close';
    exchange.answer.writeHead(back.statusCode ?? 502, headers);
  }

  /** While draining, a client is told to go elsewhere with the last answer that is due on its connection. */
  #closesAfter(exchange: ClientExchange): boolean {
    return this.#isDraining && this.#connections.closeAfter(exchange.asked.socket, exchange);
  }
}

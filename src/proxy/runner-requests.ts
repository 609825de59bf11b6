import { request, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Counters } from '../common/counters.js';
import { parseAddress } from '../common/listen.js';
import type { AttemptHandler } from './attempt-handler.js';
import {
  Attempt,
  abortResponse,
  isContinuable,
  type ClientExchange,
  type SendEffect,
} from './client-exchange.js';
import type { ResponseHead } from './dispatch-types.js';
import {
  hasSelfDefinedLength,
  forwardedHeaders,
  isEventStream,
  isFinalResponse,
  REFRAMED_HEADERS,
} from './http-messages.js';
import type { RequestDialect } from './request-dialect.js';
import type { RunnerAgent } from './runner-agent.js';

/** Methods whose requests have a length even where they have no body. */
const BODY_METHODS: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH']);

/** Sends requests to runners over HTTP, and reports the events of each attempt up to the head of its response. */
export class RunnerRequests {
  readonly #agent: RunnerAgent;
  readonly #dialect: RequestDialect;
  readonly #counters: Counters;
  readonly #handler: AttemptHandler;

  constructor(
    agent: RunnerAgent,
    dialect: RequestDialect,
    counters: Counters,
    handler: AttemptHandler,
  ) {
    this.#agent = agent;
    this.#dialect = dialect;
    this.#counters = counters;
    this.#handler = handler;
  }

  /** Starts an attempt. */
  send(exchange: ClientExchange, send: SendEffect): void {
    // Another run can't be asked to skip events without ids, or a part of an event: the client would receive them twice.
    if (!isContinuable(exchange)) {
      abortResponse(exchange);
      return;
    }
    const { host, port } = parseAddress(send.address);
    // The pool is last in, first out: its other connections to this runner have been idle for longer than the stale one.
    if (send.needsNewConnection) this.#agent.closeIdle(host, port);
    const headers = forwardedHeaders(exchange.clientRequest, REFRAMED_HEADERS);
    this.#dialect.annotateRunnerRequest(headers, {
      runner: send.runner,
      timeLeftMs: send.timeLeftMs,
      urgency: send.urgency,
      lastEventId: exchange.lastEventId,
    });
    const method = exchange.clientRequest.method ?? 'GET';
    if (exchange.body.length > 0 || BODY_METHODS.has(method))
      headers['content-length'] = exchange.body.length;
    const runnerRequest = request({
      host,
      port,
      method,
      path: exchange.clientRequest.url ?? '/',
      headers,
      agent: this.#agent,
      setHost: false,
    });
    const attempt = new Attempt(exchange, send, runnerRequest);
    exchange.attempt = attempt;
    runnerRequest.once('socket', (socket) => this.#onSocket(attempt, socket));
    runnerRequest.once('response', (runnerResponse) => this.#onResponse(attempt, runnerResponse));
    runnerRequest.on('error', () => this.#onError(attempt));
  }

  #onSocket(attempt: Attempt, socket: Socket): void {
    if (!socket.connecting) {
      this.#onConnect(attempt);
      return;
    }
    this.#counters.add('connections');
    socket.setNoDelay(true);
    socket.once('connect', () => this.#onConnect(attempt));
  }

  /** Nothing is written before the connection is established and the dispatcher has agreed once more. */
  #onConnect(attempt: Attempt): void {
    if (attempt.isDone) return;
    const { exchange, runnerRequest } = attempt;
    const { socket } = runnerRequest;
    // An idle connection may have closed since it was taken from the pool: nothing was written, so nothing is lost.
    if (runnerRequest.reusedSocket && (!socket?.writable || socket.readableEnded)) {
      this.#handler.onIdleConnectionClosed(attempt);
      return;
    }
    if (this.#handler.onConnect(attempt))
      runnerRequest.end(exchange.body.length > 0 ? exchange.body : undefined);
  }

  /** The connection failed, or its data is not HTTP. */
  #onError(attempt: Attempt): void {
    // Data after a complete response belongs to no request: the response is valid, and its `end` event follows.
    if (attempt.runnerResponse?.complete) return;
    this.#handler.onDisconnect(attempt);
  }

  #onResponse(attempt: Attempt, runnerResponse: IncomingMessage): void {
    if (attempt.isDone) {
      runnerResponse.resume();
      return;
    }
    attempt.runnerResponse = runnerResponse;
    this.#agent.recordKeepAlive(runnerResponse);
    runnerResponse.on('error', ignore);
    if (!isFinalResponse(runnerResponse)) {
      this.#counters.add('answers.not-final');
      this.#handler.abort(attempt);
      return;
    }
    const head = this.#readHead(attempt, runnerResponse);
    if (head.isUnprocessed) {
      this.#onUnprocessedHead(attempt, runnerResponse, head);
      return;
    }
    if (!head.isGenuine) this.#counters.add('answers.foreign');
    this.#handler.onHeaders(attempt, head);
  }

  #readHead(attempt: Attempt, runnerResponse: IncomingMessage): ResponseHead {
    const status = this.#dialect.readResponse(
      runnerResponse.statusCode ?? 0,
      runnerResponse.headers,
      attempt.exchange.annotations.attemptId,
      !attempt.runnerRequest.reusedSocket,
    );
    return { ...status, isEventStream: isEventStream(runnerResponse) };
  }

  /** A response that proves that the runner has not processed the request counts only once it is complete. */
  #onUnprocessedHead(attempt: Attempt, runnerResponse: IncomingMessage, head: ResponseHead): void {
    if (!hasSelfDefinedLength(attempt.exchange.clientRequest.method ?? 'GET', runnerResponse)) {
      this.#handler.abort(attempt);
      return;
    }
    runnerResponse.once('end', () => this.#onUnprocessed(attempt, head));
    runnerResponse.once('close', () => this.#handler.onDisconnect(attempt));
    runnerResponse.resume();
  }

  #onUnprocessed(attempt: Attempt, head: ResponseHead): void {
    if (attempt.isDone) return;
    attempt.complete();
    this.#counters.add(`runs.not-run.${head.status}`);
    this.#handler.onHeaders(attempt, head);
  }
}

function ignore(): void {
  /* the `close` event that follows is handled */
}

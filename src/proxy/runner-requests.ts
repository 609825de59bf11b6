import { request, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Counters } from '../common/counters.js';
import { splitAddress } from '../common/listen.js';
import type { AttemptReports } from './attempt-reports.js';
import { Attempt, breakOff, type ClientExchange, type SendEffect } from './client-exchange.js';
import type { AnswerHead } from './dispatch-types.js';
import { isBounded, passedOn, REFRAMED_HEADERS } from './http-messages.js';
import type { RequestDialect } from './request-dialect.js';
import type { RunnerAgent } from './runner-agent.js';

/** Methods whose requests have a length even where they have no body. */
const BODY_METHODS: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH']);

/** Sends requests to runners over HTTP and reports what comes of each attempt, up to the head of its answer. */
export class RunnerRequests {
  readonly #agent: RunnerAgent;
  readonly #dialect: RequestDialect;
  readonly #counters: Counters;
  readonly #reports: AttemptReports;

  constructor(
    agent: RunnerAgent,
    dialect: RequestDialect,
    counters: Counters,
    reports: AttemptReports,
  ) {
    this.#agent = agent;
    this.#dialect = dialect;
    this.#counters = counters;
    this.#reports = reports;
  }

  /** Begins an attempt. */
  send(exchange: ClientExchange, send: SendEffect): void {
    // Events without ids cannot be left out by another run: they would come twice.
    if (exchange.isHeadPassed && exchange.isUnnumbered) {
      breakOff(exchange);
      return;
    }
    const { host, port } = splitAddress(send.address);
    // The kept connection that just broke was the one used last: what else is kept there has rested for longer.
    if (send.isFresh) this.#agent.dropIdle(host, port);
    const headers = passedOn(exchange.asked, REFRAMED_HEADERS);
    this.#dialect.tellRunner(headers, {
      runner: send.runner,
      timeLeftMs: send.timeLeftMs,
      urgency: send.urgency,
      lastEventId: exchange.lastEventId,
    });
    const method = exchange.asked.method ?? 'GET';
    if (exchange.body.length > 0 || BODY_METHODS.has(method))
      headers['content-length'] = exchange.body.length;
    const sent = request({
      host,
      port,
      method,
      path: exchange.asked.url ?? '/',
      headers,
      agent: this.#agent,
      setHost: false,
    });
    const attempt = new Attempt(exchange, send, sent);
    exchange.attempt = attempt;
    sent.once('socket', (socket) => this.#socket(attempt, socket));
    sent.once('response', (back) => this.#receive(attempt, back));
    sent.on('error', () => this.#sendFailed(attempt));
  }

  #socket(attempt: Attempt, socket: Socket): void {
    if (!socket.connecting) {
      this.#write(attempt);
      return;
    }
    this.#counters.add('connections');
    socket.setNoDelay(true);
    socket.once('connect', () => this.#write(attempt));
  }

  /** Nothing is handed to Node before the connection stands and the dispatcher was asked again. */
  #write(attempt: Attempt): void {
    if (attempt.isOver) return;
    const { exchange, sent } = attempt;
    const { socket } = sent;
    // A kept connection may have ended since it was chosen: as nothing was written, that costs nothing.
    if (sent.reusedSocket && (!socket?.writable || socket.readableEnded)) {
      this.#reports.unwritten(attempt);
      return;
    }
    if (this.#reports.mayWrite(attempt))
      sent.end(exchange.body.length > 0 ? exchange.body : undefined);
  }

  /** The connection failed, or what came on it is no HTTP. */
  #sendFailed(attempt: Attempt): void {
    // What follows a whole answer belongs to no request: the answer stands, and its end is told next.
    if (attempt.back?.complete) return;
    this.#reports.broke(attempt);
  }

  #receive(attempt: Attempt, back: IncomingMessage): void {
    if (attempt.isOver) {
      back.resume();
      return;
    }
    attempt.back = back;
    this.#agent.note(back);
    back.on('error', ignore);
    const head = this.#dialect.readAnswer(
      back.statusCode ?? 0,
      back.headers,
      attempt.exchange.said.attemptId,
      !attempt.sent.reusedSocket,
    );
    if (head.isNotRun) {
      this.#receiveNotRun(attempt, back, head);
      return;
    }
    if (!head.isGenuine) this.#counters.add('answers.foreign');
    this.#reports.head(attempt, head);
  }

  /** The runner's word that it has not run the request counts once that answer is whole. */
  #receiveNotRun(attempt: Attempt, back: IncomingMessage, head: AnswerHead): void {
    if (!isBounded(attempt.exchange.asked.method ?? 'GET', back)) {
      this.#reports.breakOff(attempt);
      return;
    }
    back.once('end', () => this.#notRun(attempt, head));
    back.once('close', () => this.#reports.broke(attempt));
    back.resume();
  }

  #notRun(attempt: Attempt, head: AnswerHead): void {
    if (attempt.isOver) return;
    attempt.finish();
    this.#counters.add(`runs.not-run.${head.status}`);
    this.#reports.head(attempt, head);
  }
}

function ignore(): void {
  /* the close that follows tells */
}

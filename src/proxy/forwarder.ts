import type { Counters } from '../common/counters.js';
import type { Moment } from '../common/ids.js';
import { DEFAULT_INTAKE_LIMITS, type IntakeLimits } from '../common/intake-limits.js';
import { ResponseRelay } from './response-relay.js';
import { AttemptHandler } from './attempt-handler.js';
import { ClientConnections } from './client-connections.js';
import { abortResponse, type ClientExchange } from './client-exchange.js';
import { ResponseWriter } from './response-writer.js';
import { ClientServer } from './client-server.js';
import type { Dispatcher } from './dispatcher.js';
import type { DispatchEffect } from './dispatch-types.js';
import type { RequestDialect } from './request-dialect.js';
import { RunnerAgent } from './runner-agent.js';
import { RunnerRequests } from './runner-requests.js';
import { EventLoopGuard } from './event-loop-guard.js';

/** Statuses of requests that failed and may have been processed: the deadline passed, or the runner disconnected. */
const STATUS_TIMED_OUT = 504;
const STATUS_DISCONNECTED = 502;

/** How long a graceful shutdown waits for the last responses to be written, ms. */
const LAST_RESPONSES_MS = 200;

/**
 * Carries out the dispatcher's decisions over HTTP/1.1: reads requests, sends them to the runners it chooses, and forwards
 * responses, either completely or visibly truncated.
 */
export class Forwarder {
  readonly #dispatcher: Dispatcher;
  readonly #counters: Counters;
  readonly #now: () => Moment;
  /** Called after effects were applied, to send urgent demand to the agent. */
  readonly #afterEffects: () => void;
  readonly #agent: RunnerAgent;
  readonly #exchanges = new Map<number, ClientExchange>();
  readonly #connections = new ClientConnections<ClientExchange>((exchange) =>
    this.#onClosed(exchange),
  );
  readonly #eventLoopGuard: EventLoopGuard;
  readonly #server: ClientServer;
  readonly #responseWriter: ResponseWriter;
  readonly #runnerRequests: RunnerRequests;
  readonly #responseRelay: ResponseRelay;
  #isApplyingEffects = false;
  #isDraining = false;
  #onIdle: (() => void) | undefined;

  constructor(
    dispatcher: Dispatcher,
    dialect: RequestDialect,
    counters: Counters,
    now: () => Moment,
    afterEffects: () => void,
    agent: RunnerAgent = new RunnerAgent(),
    limits: IntakeLimits = DEFAULT_INTAKE_LIMITS,
  ) {
    this.#agent = agent;
    this.#dispatcher = dispatcher;
    this.#counters = counters;
    this.#now = now;
    this.#afterEffects = afterEffects;
    this.#eventLoopGuard = new EventLoopGuard(now);
    this.#server = new ClientServer(
      dispatcher,
      dialect,
      counters,
      this.#connections,
      this.#eventLoopGuard,
      (exchange) => this.#onRequest(exchange),
      limits,
    );
    const attemptHandler = new AttemptHandler(dispatcher, counters, now, () => this.applyEffects());
    this.#responseWriter = new ResponseWriter(this.#connections, dialect, counters);
    this.#runnerRequests = new RunnerRequests(agent, dialect, counters, attemptHandler);
    this.#responseRelay = new ResponseRelay(attemptHandler, this.#responseWriter, counters);
  }

  /** The number of requests that were read and have not ended. */
  get size(): number {
    return this.#exchanges.size;
  }

  /** Listens for clients at the address (`host:port`); resolves with the port. */
  listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /** Applies the operators' limits on the size and pace of requests. */
  applyLimits(): void {
    this.#server.applyLimits();
  }

  /** Periodic tick: applies deadlines and timeouts. */
  tick(): void {
    this.#eventLoopGuard.tick();
    if (this.#exchanges.size === 0) return;
    this.#dispatcher.tick(this.#now());
    this.applyEffects();
  }

  /**
   * From now on the last response due on each connection carries `connection: close`. A connection whose response had begun
   * before is closed when that is complete.
   */
  startDraining(): void {
    this.#isDraining = true;
    this.#responseWriter.startDraining();
  }

  /** Stops listening and waits for requests in flight, up to `limitMs`; then ends those that are left, and resolves. */
  async close(limitMs: number): Promise<void> {
    this.startDraining();
    this.#server.close();
    await this.#waitIdle(limitMs);
    // Closing the connections alone would leave clients not knowing whether their requests were processed.
    this.#dispatcher.abortAll();
    this.applyEffects();
    await this.#waitIdle(LAST_RESPONSES_MS);
    this.#server.closeIdle();
    this.#agent.destroy();
  }

  /** Resolves when no request is in flight, or at the limit. */
  async #waitIdle(limitMs: number): Promise<void> {
    if (this.#exchanges.size > 0) await new Promise<void>((done) => this.#awaitIdle(limitMs, done));
  }

  #awaitIdle(limitMs: number, done: () => void): void {
    this.#onIdle = done;
    setTimeout(done, limitMs);
  }

  /** A request was read completely, and its client waits. */
  #onRequest(exchange: ClientExchange): void {
    const { id, clientRequest, clientResponse, annotations } = exchange;
    this.#exchanges.set(id, exchange);
    clientResponse.once('close', () => this.#onClosed(exchange));
    const { model, adapter, promptTokens, prefix, timeLeftMs } = annotations;
    this.#dispatcher.onRequest(this.#now(), {
      id,
      host: clientRequest.headers.host ?? '',
      path: (clientRequest.url ?? '/').split('?', 1)[0] ?? '/',
      model,
      adapter,
      promptTokens,
      prefix,
      timeLeftMs,
    });
    this.applyEffects();
  }

  /** Applies the dispatcher's effects in order; applying one may cause others. */
  applyEffects(): void {
    if (this.#isApplyingEffects) return;
    this.#isApplyingEffects = true;
    for (
      let effects = this.#dispatcher.drainEffects();
      effects.length > 0;
      effects = this.#dispatcher.drainEffects()
    ) {
      for (const effect of effects) {
        const exchange = this.#exchanges.get(effect.id);
        if (exchange) this.#tryApply(exchange, effect);
      }
    }
    this.#isApplyingEffects = false;
    this.#afterEffects();
  }

  /** Applies an effect; an exception aborts only the response of its own request, visibly to the client. */
  #tryApply(exchange: ClientExchange, effect: DispatchEffect): void {
    try {
      this.#apply(exchange, effect);
    } catch {
      this.#counters.add('faults');
      abortResponse(exchange);
    }
  }

  #apply(exchange: ClientExchange, effect: DispatchEffect): void {
    const { attempt } = exchange;
    switch (effect.do) {
      case 'send':
        this.#runnerRequests.send(exchange, effect);
        break;
      case 'forward':
        if (attempt?.send.attempt === effect.attempt) this.#responseRelay.forward(attempt);
        break;
      case 'cancel':
        if (attempt?.send.attempt === effect.attempt) attempt.abort();
        break;
      case 'reject':
        this.#responseWriter.reject(exchange, effect);
        break;
      case 'fail':
        this.#responseWriter.fail(
          exchange,
          effect.isTimeout ? STATUS_TIMED_OUT : STATUS_DISCONNECTED,
        );
        break;
    }
  }

  /** The client's connection closed, or its response is complete. */
  #onClosed(exchange: ClientExchange): void {
    if (!this.#exchanges.delete(exchange.id)) return;
    this.#connections.onResponseEnd(exchange.clientRequest.socket, exchange);
    if (!exchange.clientResponse.writableFinished) {
      this.#counters.add('clients.gone');
      if (exchange.attempt && !exchange.attempt.isDone) exchange.attempt.abort();
    }
    this.#dispatcher.onClientDisconnect(this.#now(), exchange.id);
    this.applyEffects();
    if (this.#isDraining) this.#connections.closeIfIdle(exchange.clientRequest.socket);
    if (this.#exchanges.size === 0) this.#onIdle?.();
  }
}

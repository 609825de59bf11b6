import type { Counters } from '../common/counters.js';
import type { Moment } from '../common/ids.js';
import { AnswerRelay } from './answer-relay.js';
import { AttemptReports } from './attempt-reports.js';
import { ClientConnections } from './client-connections.js';
import { breakOff, type ClientExchange } from './client-exchange.js';
import { ClientReplies } from './client-replies.js';
import { ClientServer } from './client-server.js';
import type { Dispatcher } from './dispatcher.js';
import type { DispatchEffect } from './dispatch-types.js';
import type { RequestDialect } from './request-dialect.js';
import { RunnerAgent } from './runner-agent.js';
import { RunnerRequests } from './runner-requests.js';
import { StallGuard } from './stall-guard.js';

/** Statuses of requests that failed and may have run: their time ran out, or their runner broke off. */
const TIMED_OUT = 504;
const BROKE_OFF = 502;

/** How long a planned stop waits for its last answers to be written, ms. */
const LAST_ANSWERS_MS = 200;

/** Obeys the dispatcher over HTTP: reads requests, sends them where it says, passes answers on whole or visibly broken. */
export class Forwarder {
  readonly #dispatcher: Dispatcher;
  readonly #counters: Counters;
  readonly #now: () => Moment;
  /** Asked to carry what is urgent to the agent beside us. */
  readonly #afterWork: () => void;
  readonly #agent: RunnerAgent;
  readonly #exchanges = new Map<number, ClientExchange>();
  readonly #connections = new ClientConnections<ClientExchange>((exchange) =>
    this.#closed(exchange),
  );
  readonly #stallGuard: StallGuard;
  readonly #server: ClientServer;
  readonly #replies: ClientReplies;
  readonly #runnerRequests: RunnerRequests;
  readonly #answerRelay: AnswerRelay;
  #isObeying = false;
  #onIdle: (() => void) | undefined;

  constructor(
    dispatcher: Dispatcher,
    dialect: RequestDialect,
    counters: Counters,
    now: () => Moment,
    afterWork: () => void,
    agent: RunnerAgent = new RunnerAgent(),
  ) {
    this.#agent = agent;
    this.#dispatcher = dispatcher;
    this.#counters = counters;
    this.#now = now;
    this.#afterWork = afterWork;
    this.#stallGuard = new StallGuard(now);
    this.#server = new ClientServer(
      dispatcher,
      dialect,
      counters,
      this.#connections,
      this.#stallGuard,
      (exchange) => this.#take(exchange),
    );
    const reports = new AttemptReports(dispatcher, counters, now, () => this.obey());
    this.#replies = new ClientReplies(this.#connections, dialect, counters);
    this.#runnerRequests = new RunnerRequests(agent, dialect, counters, reports);
    this.#answerRelay = new AnswerRelay(reports, this.#replies, counters);
  }

  /** How many requests were read and have not ended. */
  get size(): number {
    return this.#exchanges.size;
  }

  /** Listens for clients at the address; resolves with the port. */
  listen(address: string): Promise<number> {
    return this.#server.listen(address);
  }

  /** Operators' limits on what a client may send, and how slowly. */
  limit(): void {
    this.#server.limit();
  }

  /** Time passed. */
  tick(): void {
    this.#stallGuard.tick();
    if (this.#exchanges.size === 0) return;
    this.#dispatcher.tick(this.#now());
    this.obey();
  }

  /** From here on every answer asks its client to go elsewhere. */
  startDraining(): void {
    this.#replies.startDraining();
  }

  /** Takes no new connection and lets what runs end; what is left at the limit is answered, and this resolves. */
  async close(limitMs: number): Promise<void> {
    this.startDraining();
    this.#server.close();
    await this.#waitIdle(limitMs);
    // A connection that just closed would leave its client without knowing whether its request ran.
    this.#dispatcher.endAll();
    this.obey();
    await this.#waitIdle(LAST_ANSWERS_MS);
    this.#server.closeIdle();
    this.#agent.destroy();
  }

  /** Resolves when nothing is under way, or at the limit. */
  async #waitIdle(limitMs: number): Promise<void> {
    if (this.#exchanges.size > 0) await new Promise<void>((done) => this.#awaitIdle(limitMs, done));
  }

  #awaitIdle(limitMs: number, done: () => void): void {
    this.#onIdle = done;
    setTimeout(done, limitMs);
  }

  /** A request was read whole, and its client waits. */
  #take(exchange: ClientExchange): void {
    const { id, asked, answer, said } = exchange;
    this.#exchanges.set(id, exchange);
    answer.once('close', () => this.#closed(exchange));
    const { model, adapter, promptTokens, prefix, timeLeftMs } = said;
    this.#dispatcher.take(this.#now(), {
      id,
      host: asked.headers.host ?? '',
      path: (asked.url ?? '/').split('?', 1)[0] ?? '/',
      model,
      adapter,
      promptTokens,
      prefix,
      timeLeftMs,
    });
    this.obey();
  }

  /** Carries out what the dispatcher decided; one effect may bring about others. */
  obey(): void {
    if (this.#isObeying) return;
    this.#isObeying = true;
    for (
      let effects = this.#dispatcher.drain();
      effects.length > 0;
      effects = this.#dispatcher.drain()
    ) {
      for (const effect of effects) {
        const exchange = this.#exchanges.get(effect.id);
        if (exchange) this.#tryCarryOut(exchange, effect);
      }
    }
    this.#isObeying = false;
    this.#afterWork();
  }

  /** What goes wrong with one request ends that one alone, visibly. */
  #tryCarryOut(exchange: ClientExchange, effect: DispatchEffect): void {
    try {
      this.#carryOut(exchange, effect);
    } catch {
      this.#counters.add('faults');
      breakOff(exchange);
    }
  }

  #carryOut(exchange: ClientExchange, effect: DispatchEffect): void {
    const { attempt } = exchange;
    switch (effect.do) {
      case 'send':
        this.#runnerRequests.send(exchange, effect);
        break;
      case 'pass':
        if (attempt?.send.attempt === effect.attempt) this.#answerRelay.pass(attempt);
        break;
      case 'cancel':
        if (attempt?.send.attempt === effect.attempt) attempt.abandon();
        break;
      case 'refuse':
        this.#replies.refuse(exchange, effect);
        break;
      case 'fail':
        this.#replies.fail(exchange, effect.isTimeout ? TIMED_OUT : BROKE_OFF);
        break;
    }
  }

  /** The client's connection closed, or all was answered. */
  #closed(exchange: ClientExchange): void {
    if (!this.#exchanges.delete(exchange.id)) return;
    this.#connections.end(exchange.asked.socket, exchange);
    if (!exchange.answer.writableFinished) {
      this.#counters.add('clients.gone');
      if (exchange.attempt && !exchange.attempt.isOver) exchange.attempt.abandon();
    }
    this.#dispatcher.gone(this.#now(), exchange.id);
    this.obey();
    if (this.#exchanges.size === 0) this.#onIdle?.();
  }
}

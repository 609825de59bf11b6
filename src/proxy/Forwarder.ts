import {
  createServer,
  request,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http';
import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { readBytes } from '../common/Call.js';
import type { Counters } from '../common/Counters.js';
import type { Moment } from '../common/Ids.js';
import { listenOn, splitAddress } from '../common/Listen.js';
import { ClientConnections } from './ClientConnections.js';
import type { AnswerHead, DispatchEffect, Dispatcher } from './Dispatcher.js';
import { EventStream } from './EventStream.js';
import { hopHeaders, isBounded, passedOn } from './HttpMessages.js';
import type { RequestDialect, SaidByRequest } from './RequestDialect.js';
import { RunnerAgent } from './RunnerAgent.js';
import { StallGuard } from './StallGuard.js';

/** The length is set anew where a message is passed on, and trailers are not passed on. */
const HOP_HEADERS = hopHeaders('proxy-connection', 'content-length', 'trailer');
/** An answer larger than this is passed on as it comes, even where it could be kept for a retry. */
const MOST_BUFFERED = 1024 * 1024;
/** Until operators have set their limits. */
const FIRST_LIMITS = {
  maxHeaderBytes: 64 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerWaitMs: 5000,
  idleMs: 15_000,
} as const;

interface Exchange {
  readonly id: number;
  readonly asked: IncomingMessage;
  readonly answer: ServerResponse;
  readonly body: Buffer;
  readonly said: SaidByRequest;
  attempt: Attempt | undefined;
  /** The id of the last event passed on, ours or, before that, the client's. */
  lastEventId: number | undefined;
  isHeadPassed: boolean;
  /** Whether something was passed on that no further run could be told to leave out. */
  isUnnumbered: boolean;
}

interface Attempt {
  readonly number: number;
  readonly send: Extract<DispatchEffect, { do: 'send' }>;
  readonly sent: ClientRequest;
  back: IncomingMessage | undefined;
  isOver: boolean;
}

/** Obeys the dispatcher over HTTP: reads requests, sends them where it says, passes answers on whole or visibly broken. */
export class Forwarder {
  readonly #dispatcher: Dispatcher;
  readonly #dialect: RequestDialect;
  readonly #counters: Counters;
  readonly #now: () => Moment;
  /** Asked to carry what is urgent to the agent beside us. */
  readonly #afterWork: () => void;
  readonly #exchanges = new Map<number, Exchange>();
  readonly #connections = new ClientConnections<Exchange>(this.#closed.bind(this));
  readonly #stallGuard: StallGuard;
  readonly #agent: RunnerAgent;
  readonly #server: Server;
  #count = 0;
  #isObeying = false;
  #isDraining = false;
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
    this.#dialect = dialect;
    this.#counters = counters;
    this.#now = now;
    this.#afterWork = afterWork;
    this.#stallGuard = new StallGuard(now);
    this.#server = createServer(
      {
        maxHeaderSize: FIRST_LIMITS.maxHeaderBytes,
        requestTimeout: 0,
        headersTimeout: FIRST_LIMITS.headerWaitMs,
        keepAliveTimeout: FIRST_LIMITS.idleMs,
        connectionsCheckingInterval: 1000,
        noDelay: true,
      },
      this.#accept.bind(this),
    );
    this.#server.on('clientError', this.#clientError.bind(this));
  }

  get size(): number {
    return this.#exchanges.size;
  }

  listen(address: string): Promise<number> {
    return listenOn(this.#server, address);
  }

  /** Operators' limits on what a client may send, and how slowly. */
  limit(): void {
    const limits = this.#dispatcher.routing?.limits;
    if (!limits) return;
    this.#server.headersTimeout = limits.headerWaitMs;
    if (limits.idleMs !== this.#server.keepAliveTimeout) this.#connections.rest(limits.idleMs);
    this.#server.keepAliveTimeout = limits.idleMs;
    // Node takes it for each new connection from here, though its types do not say so.
    Reflect.set(this.#server, 'maxHeaderSize', limits.maxHeaderBytes);
  }

  tick(): void {
    this.#stallGuard.tick();
    if (this.#exchanges.size === 0) return;
    this.#dispatcher.tick(this.#now());
    this.obey();
  }

  /** From here on every answer asks its client to go elsewhere. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Takes no new connection, lets what runs end, and resolves then or at the limit. */
  async close(limitMs: number): Promise<void> {
    this.#isDraining = true;
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#exchanges.size > 0) await new Promise<void>(this.#waitIdle.bind(this, limitMs));
    this.#server.closeIdleConnections();
    this.#agent.destroy();
  }

  #waitIdle(limitMs: number, done: () => void): void {
    this.#onIdle = done;
    setTimeout(done, limitMs);
  }

  #clientError(thrown: Error & { code?: string }, socket: Duplex): void {
    this.#counters.add('requests.malformed');
    // A word on what came last would stand where the answer to an earlier request is due.
    const isAnswerDue = socket instanceof Socket && this.#connections.isAnswerDue(socket);
    if (!socket.writable || thrown.code === 'ECONNRESET' || isAnswerDue) {
      socket.destroy();
      return;
    }
    const status =
      thrown.code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : thrown.code === 'ERR_HTTP_REQUEST_TIMEOUT'
          ? '408 Request Timeout'
          : '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
  }

  async #accept(asked: IncomingMessage, answer: ServerResponse): Promise<void> {
    this.#counters.add('requests');
    const limits = this.#dispatcher.routing?.limits ?? FIRST_LIMITS;
    this.#connections.begin(asked);
    let body: Buffer;
    try {
      if (Number(asked.headers['content-length'] ?? 0) > limits.maxBodyBytes) {
        this.#tooLarge(asked, answer);
        return;
      }
      body = await readBytes(asked, limits.maxBodyBytes);
    } catch {
      if (!answer.destroyed) this.#tooLarge(asked, answer);
      return;
    }
    // Its client may have left while we stood still: that is read first, so that nothing runs for nobody.
    if (this.#stallGuard.isWaking) await this.#stallGuard.settle();
    this.#count += 1;
    const id = this.#count;
    const said = this.#dialect.readRequest(asked.headers);
    const exchange: Exchange = {
      id,
      asked,
      answer,
      body,
      said,
      attempt: undefined,
      lastEventId: said.lastEventId,
      isHeadPassed: false,
      isUnnumbered: false,
    };
    if (!this.#connections.open(asked, exchange)) {
      this.#counters.add('clients.gone');
      return;
    }
    this.#exchanges.set(id, exchange);
    answer.once('close', this.#closed.bind(this, exchange));
    const path = (asked.url ?? '/').split('?', 1)[0] ?? '/';
    const { model, adapter, promptTokens, prefix, timeLeftMs } = said;
    this.#dispatcher.take(this.#now(), {
      id,
      host: asked.headers.host ?? '',
      path,
      model,
      adapter,
      promptTokens,
      prefix,
      timeLeftMs,
    });
    this.obey();
  }

  #tooLarge(asked: IncomingMessage, answer: ServerResponse): void {
    this.#connections.drop(asked);
    asked.resume();
    answer.writeHead(413, { connection: 'close', 'content-length': 0 }).end();
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
  #tryCarryOut(exchange: Exchange, effect: DispatchEffect): void {
    try {
      this.#carryOut(exchange, effect);
    } catch {
      this.#counters.add('faults');
      breakOff(exchange);
    }
  }

  #carryOut(exchange: Exchange, effect: DispatchEffect): void {
    const { attempt } = exchange;
    switch (effect.do) {
      case 'send':
        this.#send(exchange, effect);
        break;
      case 'pass':
        if (attempt?.number === effect.attempt) this.#pass(exchange, attempt);
        break;
      case 'cancel':
        if (attempt?.number === effect.attempt) {
          attempt.isOver = true;
          attempt.sent.destroy();
        }
        break;
      case 'refuse':
        this.#refuse(exchange, effect);
        break;
      case 'fail':
        this.#fail(exchange, effect.isTimeout ? 504 : 502);
        break;
    }
  }

  #refuse(exchange: Exchange, effect: Extract<DispatchEffect, { do: 'refuse' }>): void {
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

  #fail(exchange: Exchange, status: number): void {
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

  /** While draining, a client is told to go elsewhere with the last answer that is due on its connection. */
  #closesAfter(exchange: Exchange): boolean {
    return this.#isDraining && this.#connections.closeAfter(exchange.asked.socket, exchange);
  }

  /** The client's connection closed, or all was answered. */
  #closed(exchange: Exchange): void {
    if (!this.#exchanges.delete(exchange.id)) return;
    this.#connections.end(exchange.asked.socket, exchange);
    if (!exchange.answer.writableFinished) {
      this.#counters.add('clients.gone');
      if (exchange.attempt && !exchange.attempt.isOver) {
        exchange.attempt.isOver = true;
        exchange.attempt.sent.destroy();
      }
    }
    this.#dispatcher.gone(this.#now(), exchange.id);
    this.obey();
    if (this.#exchanges.size === 0) this.#onIdle?.();
  }

  // ---- towards the runner

  #send(exchange: Exchange, send: Extract<DispatchEffect, { do: 'send' }>): void {
    // Events without ids cannot be left out by another run: they would come twice.
    if (exchange.isHeadPassed && exchange.isUnnumbered) {
      breakOff(exchange);
      return;
    }
    const { host, port } = splitAddress(send.address);
    // The kept connection that just broke was the one used last: what else is kept there has rested for longer.
    if (send.isFresh) this.#agent.dropIdle(host, port);
    const headers = passedOn(exchange.asked, HOP_HEADERS);
    this.#dialect.tellRunner(headers, {
      runner: send.runner,
      timeLeftMs: send.timeLeftMs,
      urgency: send.urgency,
      lastEventId: exchange.lastEventId,
    });
    const method = exchange.asked.method ?? 'GET';
    if (exchange.body.length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH')
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
    const attempt: Attempt = { number: send.attempt, send, sent, back: undefined, isOver: false };
    exchange.attempt = attempt;
    sent.once('socket', this.#socket.bind(this, exchange, attempt));
    sent.once('response', this.#receive.bind(this, exchange, attempt));
    sent.on('error', this.#sendFailed.bind(this, exchange, attempt));
  }

  #socket(exchange: Exchange, attempt: Attempt, socket: Socket): void {
    if (!socket.connecting) {
      this.#write(exchange, attempt);
      return;
    }
    this.#counters.add('connections');
    socket.setNoDelay(true);
    socket.once('connect', this.#write.bind(this, exchange, attempt));
  }

  /** Nothing is handed to Node before the connection stands and the dispatcher was asked again. */
  #write(exchange: Exchange, attempt: Attempt): void {
    if (attempt.isOver) return;
    const { socket } = attempt.sent;
    // A kept connection may have ended since it was chosen: as nothing was written, that costs nothing.
    if (attempt.sent.reusedSocket && (!socket?.writable || socket.readableEnded)) {
      attempt.isOver = true;
      attempt.sent.destroy();
      this.#dispatcher.unwritten(this.#now(), exchange.id, attempt.number);
      this.obey();
      return;
    }
    if (this.#dispatcher.mayWrite(this.#now(), exchange.id, attempt.number)) {
      attempt.sent.end(exchange.body.length > 0 ? exchange.body : undefined);
      return;
    }
    attempt.isOver = true;
    attempt.sent.destroy();
    this.obey();
  }

  /** The connection failed, or what came on it is no HTTP. */
  #sendFailed(exchange: Exchange, attempt: Attempt): void {
    // What follows a whole answer belongs to no request: the answer stands, and its end is told next.
    if (attempt.back?.complete) return;
    this.#broke(exchange, attempt);
  }

  #broke(exchange: Exchange, attempt: Attempt): void {
    if (attempt.isOver) return;
    attempt.isOver = true;
    this.#counters.add('runs.broke');
    this.#dispatcher.broke(
      this.#now(),
      exchange.id,
      attempt.number,
      attempt.sent.reusedSocket && attempt.back === undefined,
    );
    this.obey();
  }

  #receive(exchange: Exchange, attempt: Attempt, back: IncomingMessage): void {
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
      exchange.said.attemptId,
      !attempt.sent.reusedSocket,
    );
    if (head.isNotRun) {
      this.#receiveNotRun(exchange, attempt, back, head);
      return;
    }
    if (!head.isGenuine) this.#counters.add('answers.foreign');
    this.#dispatcher.head(this.#now(), exchange.id, attempt.number, head);
    this.obey();
  }

  /** The runner's word that it has not run the request counts once that answer is whole. */
  #receiveNotRun(
    exchange: Exchange,
    attempt: Attempt,
    back: IncomingMessage,
    head: AnswerHead,
  ): void {
    const forwarder = {
      dispatcher: this.#dispatcher,
      now: this.#now,
      obey: this.obey.bind(this),
      counters: this.#counters,
    };
    function end(): void {
      if (attempt.isOver) return;
      finish(attempt);
      forwarder.counters.add(`runs.not-run.${head.status}`);
      forwarder.dispatcher.head(forwarder.now(), exchange.id, attempt.number, head);
      forwarder.obey();
    }
    if (!isBounded(exchange.asked.method ?? 'GET', back)) {
      attempt.sent.destroy();
      this.#broke(exchange, attempt);
      return;
    }
    back.once('end', end);
    back.once('close', this.#broke.bind(this, exchange, attempt));
    back.resume();
  }

  // ---- towards the client

  #pass(exchange: Exchange, attempt: Attempt): void {
    const { back } = attempt;
    if (!back) return;
    if (!isBounded(exchange.asked.method ?? 'GET', back)) {
      attempt.sent.destroy();
      this.#broke(exchange, attempt);
      return;
    }
    const isStream = (back.headers['content-type'] ?? '').startsWith('text/event-stream');
    // What was begun as a stream can only go on as one: any other answer of a further runner is none to this client.
    if (exchange.isHeadPassed && !isStream) {
      attempt.sent.destroy();
      this.#broke(exchange, attempt);
      return;
    }
    if (isStream) this.#passStream(exchange, attempt, back);
    else if (
      attempt.send.isBuffered &&
      Number(back.headers['content-length'] ?? 0) <= MOST_BUFFERED
    )
      this.#passWhole(exchange, attempt, back);
    else this.#passBytes(exchange, attempt, back);
  }

  #writeHead(exchange: Exchange, back: IncomingMessage, length: string | number | undefined): void {
    exchange.isHeadPassed = true;
    const headers = passedOn(back, HOP_HEADERS);
    if (length !== undefined) headers['content-length'] = length;
    if (this.#closesAfter(exchange)) headers['connection'] = 'close';
    exchange.answer.writeHead(back.statusCode ?? 502, headers);
  }

  /** A small answer that may be asked for again is passed on once it is whole. */
  #passWhole(exchange: Exchange, attempt: Attempt, back: IncomingMessage): void {
    const chunks: Buffer[] = [];
    const forwarder = {
      dispatcher: this.#dispatcher,
      now: this.#now,
      obey: this.obey.bind(this),
      writeHead: this.#writeHead.bind(this),
    };
    function take(chunk: Buffer): void {
      chunks.push(chunk);
    }
    function end(): void {
      if (attempt.isOver) return;
      finish(attempt);
      forwarder.dispatcher.moved(forwarder.now(), exchange.id, attempt.number);
      const body = Buffer.concat(chunks);
      forwarder.writeHead(
        exchange,
        back,
        exchange.asked.method === 'HEAD' ? back.headers['content-length'] : body.length,
      );
      exchange.answer.end(body);
      forwarder.dispatcher.ended(forwarder.now(), exchange.id, attempt.number);
      forwarder.obey();
    }
    back.on('data', take);
    back.once('end', end);
    back.once('close', this.#broke.bind(this, exchange, attempt));
  }

  #passBytes(exchange: Exchange, attempt: Attempt, back: IncomingMessage): void {
    const { answer } = exchange;
    const forwarder = { dispatcher: this.#dispatcher, now: this.#now, obey: this.obey.bind(this) };
    this.#writeHead(exchange, back, back.headers['content-length']);
    // From its head on the client has begun to get this run's answer, and no other run's can follow.
    this.#dispatcher.moved(this.#now(), exchange.id, attempt.number);
    function take(chunk: Buffer): void {
      if (attempt.isOver) return;
      forwarder.dispatcher.moved(forwarder.now(), exchange.id, attempt.number);
      if (!answer.write(chunk)) {
        back.pause();
        answer.once('drain', back.resume.bind(back));
      }
    }
    function end(): void {
      if (attempt.isOver) return;
      finish(attempt);
      answer.end();
      forwarder.dispatcher.ended(forwarder.now(), exchange.id, attempt.number);
      forwarder.obey();
    }
    back.on('data', take);
    back.once('end', end);
    back.once('close', this.#broke.bind(this, exchange, attempt));
  }

  /** Only whole events are passed on, so that a run that breaks can be gone on with after the last of them. */
  #passStream(exchange: Exchange, attempt: Attempt, back: IncomingMessage): void {
    const { answer } = exchange;
    const stream = new EventStream();
    const forwarder = {
      dispatcher: this.#dispatcher,
      now: this.#now,
      obey: this.obey.bind(this),
      counters: this.#counters,
      writeHead: this.#writeHead.bind(this, exchange, back, undefined),
      broke: this.#broke.bind(this, exchange, attempt),
    };
    const isResumption = exchange.isHeadPassed;
    function begin(): void {
      if (!exchange.isHeadPassed) forwarder.writeHead();
    }
    function take(chunk: Buffer): void {
      if (attempt.isOver) return;
      const passed: Buffer[] = [];
      for (const { bytes, id, isComment } of stream.take(chunk)) {
        if (id !== undefined) {
          const { lastEventId } = exchange;
          // What was passed on before is not passed on twice, and a gap is never hidden.
          if (lastEventId !== undefined && id <= lastEventId) continue;
          if (isResumption && lastEventId !== undefined && id > lastEventId + 1) {
            forwarder.counters.add('streams.gap');
            attempt.sent.destroy();
            forwarder.broke();
            return;
          }
          exchange.lastEventId = id;
        } else if (!isComment) {
          exchange.isUnnumbered = true;
        }
        passed.push(bytes);
      }
      forwarder.dispatcher.moved(forwarder.now(), exchange.id, attempt.number);
      if (passed.length === 0) return;
      begin();
      const isTaken = answer.write(passed.length === 1 ? passed[0] : Buffer.concat(passed));
      if (!isTaken) {
        back.pause();
        answer.once('drain', back.resume.bind(back));
      }
    }
    function end(): void {
      if (attempt.isOver) return;
      finish(attempt);
      begin();
      answer.end(stream.rest);
      forwarder.dispatcher.ended(forwarder.now(), exchange.id, attempt.number);
      forwarder.obey();
    }
    back.on('data', take);
    back.once('end', end);
    back.once('close', forwarder.broke);
  }
}

/** The answer is whole. An answer that came before all of its request was written ends the writing too. */
function finish(attempt: Attempt): void {
  attempt.isOver = true;
  if (!attempt.sent.writableFinished) attempt.sent.destroy();
}

/** Ends an answer so that no client takes it for whole. */
function breakOff({ asked, answer }: Exchange): void {
  // To a client of HTTP/1.0 an orderly end of the connection would be the end of the answer.
  if (asked.httpVersion === '1.0') asked.socket.resetAndDestroy();
  answer.destroy();
}

function ignore(): void {
  /* the close that follows tells */
}

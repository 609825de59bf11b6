import {
  Agent,
  request,
  type ClientRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { BoundedRequest } from '../common/bounded-request.js';
import { BoundedServer } from '../common/bounded-server.js';
import type { Counters } from '../common/counters.js';
import { ERROR_RESPONSES } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import { DEFAULT_INTAKE_LIMITS, type IntakeLimits } from '../common/intake-limits.js';
import { announcedBodyBytes, type UnreadOutcome } from '../common/request-body.js';
import type { PolicyRouter } from './policy-router.js';
import type { RunVerdict } from './policy-router-types.js';
import { bindServer, parseAddress } from '../common/listen.js';
import { abortResponse } from './client-exchange.js';
import { ConnectionProbes } from './connection-probes.js';
import { ErrorResponses } from './error-responses.js';
import {
  hopByHopHeaders,
  hasSelfDefinedLength,
  forwardedHeaders,
  isFinalResponse,
  trailersOf,
} from './http-messages.js';
import { InFlightRequests, type InFlightSettings, type ForwardStep } from './in-flight-requests.js';
import { NO_NAMES, readNames, requestIdOf, type RequestNames } from './policy-request-names.js';
import { ProbeConnections } from './probe-connections.js';

/** A request that was read completely, and the state of its response. */
interface ClientExchange {
  readonly id: number;
  readonly clientRequest: IncomingMessage;
  readonly clientResponse: ServerResponse;
  readonly body: Buffer;
  readonly requestId: string;
  /** The latest attempt at a runner. */
  attempt: Attempt | undefined;
}

/** One attempt of a request at a runner. */
interface Attempt {
  readonly number: number;
  readonly runnerRequest: ClientRequest;
  runnerResponse: IncomingMessage | undefined;
}

/** The steps that apply to the attempt in progress. */
type AttemptStep = Extract<ForwardStep, { do: 'write' | 'forward' | 'cancel' }>;

/** Settings of the forwarder. */
export interface PolicyForwarderSettings extends InFlightSettings {
  readonly maxBodyBytes: number;
  /** What clients may occupy of the process. */
  readonly intake?: IntakeLimits;
}

/** How long an idle connection of a client is kept, ms. */
const KEEP_ALIVE_MS = 65_000;
/** Headers that are not forwarded; `Host` is set to the runner's address. */
const HOP_HEADERS = hopByHopHeaders('host');

/**
 * Carries out the steps of the in-flight requests over HTTP/1.1: reads requests, sends them to the runners that the
 * router picked, and forwards responses, either completely or visibly truncated.
 */
export class PolicyForwarder {
  readonly #router: PolicyRouter;
  readonly #settings: PolicyForwarderSettings;
  readonly #counters: Counters;
  readonly #inFlightRequests: InFlightRequests;
  readonly #probes: ConnectionProbes;
  readonly #probeConnections: ProbeConnections;
  readonly #responses: ErrorResponses;
  readonly #now: () => Moment;
  readonly #exchanges = new Map<number, ClientExchange>();
  readonly #keepAliveAgent = new Agent({ keepAlive: true, maxFreeSockets: 8 });
  readonly #server: BoundedServer;
  #lastExchangeId = 0;
  #isDraining = false;
  #isRunningSteps = false;
  #onIdle: (() => void) | undefined;

  constructor(
    router: PolicyRouter,
    settings: PolicyForwarderSettings,
    counters: Counters,
    now: () => Moment,
  ) {
    this.#router = router;
    this.#settings = settings;
    this.#counters = counters;
    this.#now = now;
    this.#inFlightRequests = new InFlightRequests(router, settings, counters);
    this.#probes = new ConnectionProbes(router);
    this.#probeConnections = new ProbeConnections(
      this.#probes,
      now,
      () => this.#onProbeOpen(),
      () => this.#runSteps(),
    );
    this.#responses = new ErrorResponses(router, counters);
    this.#server = new BoundedServer({
      limits: settings.intake ?? DEFAULT_INTAKE_LIMITS,
      counters,
      options: { keepAliveTimeout: KEEP_ALIVE_MS },
      onRequest: (bounded) => this.#onRequest(bounded),
      overloadHeaders: { 'retry-after': String(ERROR_RESPONSES.crowded.retryAfterSeconds) },
    });
    this.#server.http.on('clientError', (error, socket) => this.#onClientError(error, socket));
  }

  /** Listens for clients at the address (`host:port`); resolves with the port. */
  async listen(address: string): Promise<number> {
    return bindServer(this.#server.http, address);
  }

  /** Periodic tick: applies deadlines and timeouts, and reopens probe connections. */
  tick(now: Moment): void {
    this.#inFlightRequests.tick(now);
    this.#probes.tick(now);
    this.#runSteps();
  }

  /** The router's configuration or fleet may have changed: carries out what follows from it. */
  onUpdate(now: Moment): void {
    this.#inFlightRequests.applyVerdicts(now);
    this.#probes.setBackends(now, this.#router.probedBackends());
    this.#runSteps();
  }

  /** Rejects new requests, waits for those that run, up to `limitMs`, then closes all connections and resolves. */
  async stop(limitMs: number): Promise<void> {
    this.#isDraining = true;
    this.#responses.startDraining();
    this.#probeConnections.startDraining();
    this.#inFlightRequests.startDraining(this.#now());
    this.#runSteps();
    this.#server.http.close();
    this.#server.http.closeIdleConnections();
    if (this.#exchanges.size > 0) await new Promise<void>((done) => this.#waitIdle(limitMs, done));
    this.#server.http.closeAllConnections();
    this.#keepAliveAgent.destroy();
    this.#probeConnections.destroy();
  }

  #waitIdle(limitMs: number, done: () => void): void {
    this.#onIdle = done;
    setTimeout(done, limitMs).unref();
  }

  #onClientError(error: Error & { code?: string }, socket: Duplex): void {
    this.#counters.add('requests.malformed');
    const status =
      error.code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : '400 Bad Request';
    if (socket.writable)
      socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    else socket.destroy();
  }

  async #onRequest(bounded: BoundedRequest): Promise<void> {
    const { request: clientRequest, response: clientResponse } = bounded;
    this.#lastExchangeId += 1;
    const id = this.#lastExchangeId;
    this.#counters.add('requests');
    const { maxBodyBytes } = this.#settings;
    if ((announcedBodyBytes(clientRequest) ?? 0) > maxBodyBytes) {
      this.#onUnreadable(bounded, { kind: 'too-large' });
      return;
    }
    const outcome = await bounded.readBody(maxBodyBytes);
    if (outcome.kind !== 'complete') {
      this.#onUnreadable(bounded, outcome);
      return;
    }
    const { body } = outcome;
    const requestId = requestIdOf(clientRequest);
    const exchange = { id, clientRequest, clientResponse, body, requestId, attempt: undefined };
    const method = clientRequest.method ?? 'GET';
    const path = (clientRequest.url ?? '/').split('?')[0] ?? '/';
    const names = this.#router.needsModel(method, path) === true ? readNames(body) : NO_NAMES;
    const text = 'the body must be JSON that names its model';
    if (names) this.#accept(exchange, method, path, names);
    else this.#responses.send(clientResponse, requestId, 'malformed', text);
  }

  /** The request can't be read completely: it isn't run, and its client is told why. */
  #onUnreadable(bounded: BoundedRequest, outcome: UnreadOutcome): void {
    const { request, response } = bounded;
    if (outcome.kind === 'revoked') this.#server.refuseRevoked(bounded, outcome.reason);
    if (outcome.kind !== 'too-large') return;
    const text = `more than ${this.#settings.maxBodyBytes} bytes`;
    this.#responses.send(response, requestIdOf(request), 'too-large', text);
  }

  #accept(
    exchange: ClientExchange,
    method: string,
    path: string,
    { model, adapter, prefixBlocks }: RequestNames,
  ): void {
    const { id, clientResponse } = exchange;
    this.#exchanges.set(id, exchange);
    clientResponse.once('close', () => this.#onClosed(exchange));
    this.#inFlightRequests.onRequest(this.#now(), {
      id,
      method,
      path,
      model,
      adapter,
      prefixBlocks,
    });
    this.#runSteps();
  }

  /** Carries out the steps in order; carrying out one may cause others. */
  #runSteps(): void {
    if (this.#isRunningSteps) return;
    this.#isRunningSteps = true;
    for (
      let steps = this.#inFlightRequests.drainSteps();
      steps.length > 0;
      steps = this.#inFlightRequests.drainSteps()
    ) {
      for (const step of steps) {
        const exchange = this.#exchanges.get(step.id);
        if (exchange) this.#runStep(exchange, step);
      }
    }
    for (const step of this.#probes.drainSteps()) this.#probeConnections.runStep(step);
    this.#isRunningSteps = false;
  }

  /** A back end may be up again: starts requests that wait for it. */
  #onProbeOpen(): void {
    this.#inFlightRequests.applyVerdicts(this.#now());
    this.#runSteps();
  }

  #runStep(exchange: ClientExchange, step: ForwardStep): void {
    switch (step.do) {
      case 'connect':
        this.#connect(exchange, step.attempt, step.verdict);
        break;
      case 'complete':
        completeResponse(exchange);
        break;
      case 'abort':
        abortResponse(exchange);
        break;
      case 'respondError':
        this.#responses.send(
          exchange.clientResponse,
          exchange.requestId,
          step.kind,
          step.text,
          step.retryMs,
        );
        break;
      default:
        // Steps for earlier attempts are ignored.
        if (exchange.attempt?.number === step.attempt)
          this.#runAttemptStep(exchange, exchange.attempt, step);
    }
  }

  #runAttemptStep(exchange: ClientExchange, attempt: Attempt, step: AttemptStep): void {
    switch (step.do) {
      case 'write':
        attempt.runnerRequest.end(exchange.body.length === 0 ? undefined : exchange.body);
        break;
      case 'forward':
        this.#forward(exchange, attempt, step.table);
        break;
      case 'cancel':
        attempt.runnerRequest.destroy();
        break;
    }
  }

  /** The client's connection closed, or its response is complete. A run whose client is gone is canceled. */
  #onClosed(exchange: ClientExchange): void {
    this.#exchanges.delete(exchange.id);
    this.#inFlightRequests.onClientDisconnect(this.#now(), exchange.id);
    // A `cancel` step would no longer find the exchange, so the run is canceled here.
    if (!exchange.clientResponse.writableFinished) exchange.attempt?.runnerRequest.destroy();
    this.#runSteps();
    if (this.#isDraining && this.#exchanges.size === 0) this.#onIdle?.();
  }

  #connect(exchange: ClientExchange, number: number, verdict: RunVerdict): void {
    const { host, port } = parseAddress(verdict.address);
    const headers = forwardedHeaders(exchange.clientRequest, HOP_HEADERS);
    headers['x-request-id'] = exchange.requestId;
    delete headers['content-length'];
    delete headers['trailer'];
    if (exchange.body.length > 0) headers['content-length'] = exchange.body.length;
    const method = exchange.clientRequest.method ?? 'GET';
    const path = verdict.isPlain ? (exchange.clientRequest.url ?? '/') : '/run';
    // A request that must not be repeated gets a new connection: a kept-alive one may close just as the request is
    // written, which would leave unknown whether it ran.
    const agent = verdict.row.repeatable ? this.#keepAliveAgent : false;
    // Nothing is written before the connection is established and the router has agreed once more.
    const runnerRequest = request({ host, port, method, path, headers, agent });
    const attempt: Attempt = { number, runnerRequest: runnerRequest, runnerResponse: undefined };
    exchange.attempt = attempt;
    runnerRequest.once('socket', (socket) => this.#onSocket(exchange, attempt, socket));
    runnerRequest.once('response', (runnerResponse) =>
      this.#onResponse(exchange, attempt, runnerResponse),
    );
    runnerRequest.on('error', () => this.#onDisconnect(exchange, attempt));
  }

  #onSocket(exchange: ClientExchange, attempt: Attempt, socket: Socket): void {
    if (socket.connecting) socket.once('connect', () => this.#onConnect(exchange, attempt));
    else this.#onConnect(exchange, attempt);
  }

  #onConnect(exchange: ClientExchange, attempt: Attempt): void {
    this.#inFlightRequests.onConnect(this.#now(), exchange.id, attempt.number);
    this.#runSteps();
  }

  #onDisconnect(exchange: ClientExchange, attempt: Attempt): void {
    this.#inFlightRequests.onDisconnect(
      this.#now(),
      exchange.id,
      attempt.number,
      attempt.runnerRequest.reusedSocket && !attempt.runnerResponse,
    );
    this.#runSteps();
  }

  #onResponse(exchange: ClientExchange, attempt: Attempt, runnerResponse: IncomingMessage): void {
    attempt.runnerResponse = runnerResponse;
    runnerResponse.on('error', () => this.#onDisconnect(exchange, attempt));
    if (!isFinalResponse(runnerResponse)) {
      this.#counters.add('answers.not-final');
      // Its `error` event reports the end of the attempt.
      attempt.runnerRequest.destroy(new Error('the response is not a final one'));
      return;
    }
    const isStarted = runnerResponse.headers['x-run'] !== 'none';
    if (!isStarted) runnerResponse.resume();
    this.#inFlightRequests.onHeaders(this.#now(), exchange.id, attempt.number, {
      isStarted,
      hasSelfDefinedLength: hasSelfDefinedLength(
        exchange.clientRequest.method ?? 'GET',
        runnerResponse,
      ),
    });
    this.#runSteps();
  }

  #forward(exchange: ClientExchange, attempt: Attempt, table: number): void {
    const { runnerResponse } = attempt;
    if (!runnerResponse) return;
    const { clientResponse } = exchange;
    const headers = forwardedHeaders(runnerResponse, HOP_HEADERS);
    // Trailers need chunked coding. A head with a length as well would define its end twice, and Node's parser rejects it.
    if (headers['trailer'] !== undefined) delete headers['content-length'];
    headers['x-request-id'] = exchange.requestId;
    headers['x-table'] = String(table);
    if (this.#isDraining) headers['connection'] = 'close';
    clientResponse.writeHead(runnerResponse.statusCode ?? 502, headers);
    // The head of a stream is sent immediately, since the first bytes of its body may follow much later.
    if (headers['content-length'] === undefined) clientResponse.flushHeaders();
    runnerResponse.on('data', () => this.#onData(exchange, attempt));
    runnerResponse.once('end', () => this.#onEnd(exchange, attempt, runnerResponse));
    runnerResponse.once('close', () => this.#onEnd(exchange, attempt, runnerResponse));
    // Piping applies the client's backpressure to the runner; the response is ended by a step of its own.
    runnerResponse.pipe(clientResponse, { end: false });
  }

  #onData(exchange: ClientExchange, attempt: Attempt): void {
    this.#inFlightRequests.onData(this.#now(), exchange.id, attempt.number);
  }

  #onEnd(exchange: ClientExchange, attempt: Attempt, runnerResponse: IncomingMessage): void {
    if (runnerResponse.complete)
      this.#inFlightRequests.onComplete(this.#now(), exchange.id, attempt.number);
    else this.#inFlightRequests.onDisconnect(this.#now(), exchange.id, attempt.number, false);
    this.#runSteps();
  }
}

/** Completes the response, with the runner's trailers. */
function completeResponse({ attempt, clientResponse }: ClientExchange): void {
  if (attempt?.runnerResponse) clientResponse.addTrailers(trailersOf(attempt.runnerResponse));
  clientResponse.end();
}

/** An HTTP server that keeps what its clients occupy within limits, whatever they send. */
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import { BoundedRequest } from './bounded-request.js';
import type { Counters } from './counters.js';
import type { IntakeLimits } from './intake-limits.js';
import { MemoryAccount, type RevocationReason } from './memory-account.js';
import { OpenConnections } from './open-connections.js';
import { replyAndDiscard } from './refusal.js';
import { StoppableRequest, stopParsing } from './stoppable-request.js';

const STATUS_BAD_REQUEST = 400;
const STATUS_TIMEOUT = 408;
const STATUS_EXPECTATION_FAILED = 417;
const STATUS_UNAVAILABLE = 503;

/** The interval in which the progress of clients is looked at, ms. */
const INTERVAL_MS = 1000;
/** How long a body may rest and a response stay unread unless the server is told otherwise, ms. */
const DEFAULT_IDLE_MS = 15_000;

/** Settings of a `BoundedServer`. */
export interface BoundedServerSettings {
  readonly limits: IntakeLimits;
  readonly counters: Counters;
  /** Options of Node's server. */
  readonly options?: ServerOptions;
  /** Handles a request whose head was received and whose body wasn't read. */
  readonly onRequest: (request: BoundedRequest) => void | Promise<void>;
  /** Headers of the response with status 503 to a request for which there is no memory. */
  readonly overloadHeaders?: OutgoingHttpHeaders;
}

/** Node's HTTP server, with limits on the memory of the requests in progress. */
export class BoundedServer {
  /** Node's server, to be listened with and closed. */
  readonly http: Server;
  readonly #settings: BoundedServerSettings;
  readonly #account: MemoryAccount;
  readonly #connections: OpenConnections;
  /** Connections that close after a refusal: what comes on them later isn't handled, since no response would follow. */
  readonly #refused = new WeakSet<Socket>();
  #idleMs = DEFAULT_IDLE_MS;

  constructor(settings: BoundedServerSettings) {
    this.#settings = settings;
    this.#account = new MemoryAccount(settings.limits.requestBytes);
    this.#connections = new OpenConnections(settings.limits, this.#account, settings.counters);
    // Node would answer requests without a host, and expectations, without their being counted here.
    this.http = createServer({
      ...settings.options,
      requireHostHeader: false,
      IncomingMessage: StoppableRequest,
    });
    this.http.on('upgrade', (request) => request.socket.destroy());
    const intervals = setInterval(() => this.#advance(), INTERVAL_MS).unref();
    this.http.once('close', () => clearInterval(intervals));
    this.http.on('connection', (socket) => this.#connections.onConnect(socket));
    this.http.on('request', (request, response) =>
      this.#onHead(request, response, (bounded) => this.#onRequest(bounded)),
    );
    this.http.on('checkExpectation', (request, response) =>
      this.#onHead(request, response, () =>
        this.refuse(request, response, STATUS_EXPECTATION_FAILED),
      ),
    );
  }

  /** The memory that is reserved for requests, bytes. */
  get reservedBytes(): number {
    return this.#account.reservedBytes;
  }

  /** Sets how long a body may rest and a response stay unread. */
  setIdleTimeout(idleMs: number): void {
    this.#idleMs = idleMs;
  }

  /** Refuses a request whose memory was revoked, or for which there is none; it isn't run. */
  refuseRevoked({ request, response }: BoundedRequest, reason: RevocationReason): void {
    const { counters, overloadHeaders } = this.#settings;
    switch (reason) {
      case 'memory':
        counters.add('intake.no-memory');
        this.refuse(request, response, STATUS_UNAVAILABLE, overloadHeaders);
        break;
      case 'rest':
        counters.add('intake.resting');
        this.refuse(request, response, STATUS_TIMEOUT);
        break;
      case 'connection':
        // The connection was closed for another client.
        break;
    }
  }

  /** Ends a request that isn't run with this status and no body, and closes its connection. */
  refuse(
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
    headers: OutgoingHttpHeaders = {},
  ): void {
    this.#refused.add(request.socket);
    const reply = { status, headers: { ...headers, 'content-length': 0 }, body: '' };
    replyAndDiscard(request, response, reply);
  }

  #advance(): void {
    const maxRest = Math.ceil(this.#idleMs / INTERVAL_MS);
    this.#account.advance(maxRest);
    this.#connections.advance(maxRest);
  }

  /** Counts a request whose head has arrived; `proceed` is called unless its connection has sent too many ahead. */
  #onHead(
    request: IncomingMessage,
    response: ServerResponse,
    proceed: (bounded: BoundedRequest) => void,
  ): void {
    const { socket } = request;
    if (socket.destroyed) return;
    const bounded = new BoundedRequest(request, response, this.#account);
    if (!this.#connections.add(bounded)) {
      this.#settings.counters.add('intake.requests-ahead');
      stopParsing(socket);
      socket.destroy();
      return;
    }
    if (this.#refused.has(socket)) return;
    response.once('close', () => this.#onResponseEnd(bounded));
    if (bounded.reserveHead()) proceed(bounded);
    else this.refuseRevoked(bounded, 'memory');
  }

  #onRequest(bounded: BoundedRequest): void {
    const { request, response } = bounded;
    if (request.httpVersion === '1.1' && request.headers.host === undefined)
      this.refuse(request, response, STATUS_BAD_REQUEST);
    else void this.#settings.onRequest(bounded);
  }

  #onResponseEnd(bounded: BoundedRequest): void {
    this.#connections.remove(bounded);
    bounded.release();
  }
}

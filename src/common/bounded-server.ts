/** An HTTP server that keeps what its clients occupy within limits, whatever they send. */
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type { Counters } from './counters.js';
import type { IntakeLimits } from './intake-limits.js';
import { MemoryAccount, type Reservation } from './memory-account.js';
import { RequestBodyReader, type BodyOutcome } from './request-body.js';

/** Memory of a request besides its head and body: the objects that represent it, bytes. */
const REQUEST_OBJECTS_BYTES = 8192;
/** Memory of a name or value in a head besides its characters, bytes. */
const HEADER_TEXT_BYTES = 64;

/** A request whose head was received, and the memory that is reserved for it. */
export class BoundedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly #reservation: Reservation;
  #reader: RequestBodyReader | undefined;

  constructor(request: IncomingMessage, response: ServerResponse, account: MemoryAccount) {
    this.request = request;
    this.response = response;
    this.#reservation = account.open((reason) => this.#reader?.onRevoked(reason));
    response.once('close', () => this.release());
  }

  /** Reserves the memory of the head; returns false if it isn't to be had. */
  reserveHead(): boolean {
    return this.#reservation.reserve(headBytes(this.request));
  }

  /** Reads the body, of which `maxBytes` are allowed; its memory stays reserved until the response ends. */
  readBody(maxBytes: number): Promise<BodyOutcome> {
    this.#reader = new RequestBodyReader(this.request, this.#reservation, maxBytes);
    return this.#reader.read();
  }

  /** The request has ended: returns its memory. */
  release(): void {
    this.#reservation.release();
  }
}

/** Settings of a `BoundedServer`. */
export interface BoundedServerSettings {
  readonly limits: IntakeLimits;
  readonly counters: Counters;
  /** Options of Node's server. */
  readonly options?: ServerOptions;
  /** Handles a request whose head was received and whose body wasn't read. */
  readonly onRequest: (request: BoundedRequest) => void;
  /** Headers of the response with status 503 to a request for which there is no memory. */
  readonly overloadHeaders?: OutgoingHttpHeaders;
}

/** Node's HTTP server, with limits on the memory of the requests in progress. */
export class BoundedServer {
  /** Node's server, to be listened with and closed. */
  readonly http: Server;
  readonly #settings: BoundedServerSettings;
  readonly #account: MemoryAccount;

  constructor(settings: BoundedServerSettings) {
    this.#settings = settings;
    this.#account = new MemoryAccount(settings.limits.requestBytes);
    this.http = createServer(settings.options ?? {}, (request, response) =>
      this.#onRequest(request, response),
    );
  }

  /** The memory that is reserved for requests, bytes. */
  get reservedBytes(): number {
    return this.#account.reservedBytes;
  }

  /** Refuses a request for which there is no memory; it isn't run. */
  refuseOverload({ request, response }: BoundedRequest): void {
    this.#settings.counters.add('intake.no-memory');
    this.refuse(request, response, 503, this.#settings.overloadHeaders);
  }

  /** Ends a request that isn't run with this status and no body, and closes its connection. */
  refuse(
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
    headers: OutgoingHttpHeaders = {},
  ): void {
    if (response.destroyed) return;
    request.resume();
    response.writeHead(status, { ...headers, connection: 'close', 'content-length': 0 }).end();
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    const bounded = new BoundedRequest(request, response, this.#account);
    if (bounded.reserveHead()) this.#settings.onRequest(bounded);
    else this.refuseOverload(bounded);
  }
}

/** Memory of a request's head, bytes. */
function headBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  let bytes = REQUEST_OBJECTS_BYTES + url.length;
  for (const text of rawHeaders) bytes += text.length + HEADER_TEXT_BYTES;
  return bytes;
}

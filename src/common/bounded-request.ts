/** A request of a client, and the memory that is reserved for it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type {
  MemoryAccount,
  MemorySource,
  Reservation,
  RevocationReason,
} from './memory-account.js';
import {
  announcedBodyBytes,
  RequestBodyReader,
  UnreadableBodyError,
  type BodyOutcome,
} from './request-body.js';

/** Memory of a request besides its head and body: the objects that represent it, bytes. */
const REQUEST_OBJECTS_BYTES = 8192;
/** Memory of a name or value in a head besides its characters, bytes. */
const HEADER_TEXT_BYTES = 64;

/** A request whose head was received, and the memory that is reserved for it. */
export class BoundedRequest implements MemorySource {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** The connection on which the request came. */
  readonly socket: Socket;
  readonly #reservation: Reservation;
  #reader: RequestBodyReader | undefined;

  constructor(request: IncomingMessage, response: ServerResponse, account: MemoryAccount) {
    this.request = request;
    this.response = response;
    this.socket = request.socket;
    this.#reservation = account.open((reason) => this.#onRevoked(reason));
  }

  /** Reserves the memory of the head; returns false if it isn't to be had. */
  reserveHead(): boolean {
    return this.reserve(headBytes(this.request));
  }

  /** Reserves more memory until the response has ended; returns false if it isn't to be had. */
  reserve(bytes: number): boolean {
    return this.#reservation.reserve(bytes);
  }

  /** Returns some of the memory before the response has ended. */
  giveBack(bytes: number): void {
    this.#reservation.giveBack(bytes);
  }

  /** Reads the body, of which `maxBytes` are allowed; its memory stays reserved until the response ends. */
  readBody(maxBytes: number): Promise<BodyOutcome> {
    this.#reader = new RequestBodyReader(this.request, this.#reservation, maxBytes);
    return this.#reader.read();
  }

  /** Reads the body as UTF-8 text. Rejects with an `UnreadableBodyError` if it can't be read completely. */
  async readText(maxBytes: number): Promise<string> {
    if ((announcedBodyBytes(this.request) ?? 0) > maxBytes)
      throw new UnreadableBodyError({ kind: 'too-large' });
    const outcome = await this.readBody(maxBytes);
    if (outcome.kind !== 'complete') throw new UnreadableBodyError(outcome);
    return outcome.body.toString('utf8');
  }

  /** The request has ended: returns its memory. */
  release(): void {
    this.#reservation.release();
  }

  /** The connection has closed: ends the request, and tells those who wait for the end of its response. */
  onConnectionClosed(): void {
    this.release();
    this.response.emit('close');
  }

  #onRevoked(reason: RevocationReason): void {
    // Where its connection is needed for another client, the request ends without a response.
    if (reason === 'connection') this.socket.destroy();
    this.#reader?.onRevoked(reason);
  }
}

/** Memory of a request's head, bytes. */
function headBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  let bytes = REQUEST_OBJECTS_BYTES + url.length;
  for (const text of rawHeaders) bytes += text.length + HEADER_TEXT_BYTES;
  return bytes;
}

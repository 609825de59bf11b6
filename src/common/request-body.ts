/** Reads bodies of clients' requests within the memory of an account. */
import type { IncomingMessage } from 'node:http';
import { BodyBuffer } from './body-buffer.js';
import type { Reservation, RevocationReason } from './memory-account.js';

/** A body that is read has made progress after so many bytes. */
const PROGRESS_BYTES = 16_384;

/** How the reading of a body ended. Nothing of the body is kept unless it is complete. */
export type BodyOutcome =
  | { readonly kind: 'complete'; readonly body: Buffer }
  /** The body is larger than allowed. */
  | { readonly kind: 'too-large' }
  /** There was no memory for it, or it gave way to others, or it rested for too long. */
  | { readonly kind: 'revoked'; readonly reason: RevocationReason }
  /** The client disconnected. */
  | { readonly kind: 'aborted' };

/** How the reading of a body ended that isn't complete. */
export type UnreadOutcome = Exclude<BodyOutcome, { readonly kind: 'complete' }>;

/** The length that the head of a request or response announces; undefined where it announces none. */
export function announcedBodyBytes(message: IncomingMessage): number | undefined {
  const header = message.headers['content-length'];
  return header === undefined ? undefined : Number(header);
}

/** Whether a body follows the request's head and hasn't arrived completely. */
export function isBodyPending(request: IncomingMessage): boolean {
  const hasBody =
    request.headers['transfer-encoding'] !== undefined || (announcedBodyBytes(request) ?? 0) > 0;
  return hasBody && !request.complete;
}

/** The body of a request could not be read; the message says why. */
export class UnreadableBodyError extends Error {
  readonly outcome: UnreadOutcome;

  constructor(outcome: UnreadOutcome) {
    super(`body not read: ${outcome.kind}`);
    this.outcome = outcome;
  }
}

/** Reads the body of one request. */
export class RequestBodyReader {
  readonly #request: IncomingMessage;
  readonly #reservation: Reservation;
  readonly #buffer: BodyBuffer;
  #progressAtBytes = PROGRESS_BYTES;
  #resolve: ((outcome: BodyOutcome) => void) | undefined;

  /** A body of more than `maxBytes` is too large. */
  constructor(request: IncomingMessage, reservation: Reservation, maxBytes: number) {
    this.#request = request;
    this.#reservation = reservation;
    this.#buffer = new BodyBuffer(reservation, {
      maxBytes,
      announcedBytes: announcedBodyBytes(request),
    });
  }

  /** Reads until the body is complete or the reading ends otherwise; the request is paused then, unless it is complete. */
  read(): Promise<BodyOutcome> {
    return new Promise((resolve: (outcome: BodyOutcome) => void) => {
      this.#resolve = resolve;
      this.#reservation.allowRevocation();
      this.#request.on('data', this.#onData);
      this.#request.once('end', this.#onEnd);
      this.#request.once('error', this.#onAborted);
      this.#request.once('close', this.#onAborted);
    });
  }

  /** The reservation was revoked: ends the reading. */
  onRevoked(reason: RevocationReason): void {
    this.#fail({ kind: 'revoked', reason });
  }

  readonly #onData = (chunk: Buffer): void => {
    switch (this.#buffer.append(chunk)) {
      case 'appended':
        this.#recordProgress();
        break;
      case 'too-large':
        this.#fail({ kind: 'too-large' });
        break;
      case 'no-memory':
        this.#fail({ kind: 'revoked', reason: 'memory' });
        break;
    }
  };

  readonly #onEnd = (): void => {
    this.#reservation.keep();
    this.#finish({ kind: 'complete', body: this.#buffer.bytes });
  };

  readonly #onAborted = (): void => {
    this.#fail({ kind: 'aborted' });
  };

  #recordProgress(): void {
    if (this.#buffer.length < this.#progressAtBytes) return;
    this.#progressAtBytes = this.#buffer.length + PROGRESS_BYTES;
    this.#reservation.touch();
  }

  #fail(outcome: BodyOutcome): void {
    if (this.#resolve === undefined) return;
    this.#request.pause();
    this.#buffer.discard();
    this.#reservation.release();
    this.#finish(outcome);
  }

  #finish(outcome: BodyOutcome): void {
    const resolve = this.#resolve;
    if (resolve === undefined) return;
    this.#resolve = undefined;
    this.#request.off('data', this.#onData);
    this.#request.off('end', this.#onEnd);
    this.#request.off('close', this.#onAborted);
    resolve(outcome);
  }
}

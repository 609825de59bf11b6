import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http';
import type { DispatchEffect } from './dispatch-types.js';
import type { RequestAnnotations } from './request-dialect.js';

/** The dispatcher's effect that sends a request to a runner. */
export type SendEffect = Extract<DispatchEffect, { do: 'send' }>;
/** The dispatcher's effect that rejects a request. */
export type RejectEffect = Extract<DispatchEffect, { do: 'reject' }>;

/** A request that was read completely, and the state of its response. */
export interface ClientExchange {
  readonly id: number;
  readonly clientRequest: IncomingMessage;
  readonly clientResponse: ServerResponse;
  readonly body: Buffer;
  readonly annotations: RequestAnnotations;
  /** The last attempt at a runner. */
  attempt: Attempt | undefined;
  /** The id of the last event that was forwarded; before the first, the one that the client named. */
  lastEventId: number | undefined;
  isHeadForwarded: boolean;
  /** Whether an event without an id was forwarded: no other run could be asked to skip it. */
  hasEventWithoutId: boolean;
}

/** One attempt of an exchange at a runner. */
export class Attempt {
  readonly exchange: ClientExchange;
  readonly send: SendEffect;
  readonly runnerRequest: ClientRequest;
  /** The runner's response, once its head has arrived. */
  runnerResponse: IncomingMessage | undefined;
  /** Whether its further events are void. */
  isDone = false;

  constructor(exchange: ClientExchange, send: SendEffect, runnerRequest: ClientRequest) {
    this.exchange = exchange;
    this.send = send;
    this.runnerRequest = runnerRequest;
  }

  /** The response is complete. Where it came before the request was written completely, the writing ends too. */
  complete(): void {
    this.isDone = true;
    if (!this.runnerRequest.writableFinished) this.runnerRequest.destroy();
  }

  /** Aborts it: its connection closes. */
  abort(): void {
    this.isDone = true;
    this.runnerRequest.destroy();
  }
}

/** Ends a response so that no client takes it for complete. */
export function abortResponse({ clientRequest, clientResponse }: ClientExchange): void {
  // To a client of HTTP/1.0 an orderly end of the connection would be the end of the response.
  if (clientRequest.httpVersion === '1.0') clientRequest.socket.resetAndDestroy();
  clientResponse.destroy();
}

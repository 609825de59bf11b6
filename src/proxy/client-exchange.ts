import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http';
import type { DispatchEffect } from './dispatch-types.js';
import type { RequestAnnotations } from './request-dialect.js';

/** The dispatcher's word to send a request to a runner. */
export type SendEffect = Extract<DispatchEffect, { do: 'send' }>;
/** The dispatcher's word to refuse a request. */
export type RejectEffect = Extract<DispatchEffect, { do: 'reject' }>;

/** A request that was read whole, and what became of its answer so far. */
export interface ClientExchange {
  readonly id: number;
  readonly clientRequest: IncomingMessage;
  readonly clientResponse: ServerResponse;
  readonly body: Buffer;
  readonly annotations: RequestAnnotations;
  /** The last attempt at a runner. */
  attempt: Attempt | undefined;
  /** The id of the last event passed on, ours or, before that, the client's. */
  lastEventId: number | undefined;
  isHeadForwarded: boolean;
  /** Whether something was passed on that no further run could be told to leave out. */
  hasEventWithoutId: boolean;
}

/** One attempt of an exchange at a runner. */
export class Attempt {
  readonly exchange: ClientExchange;
  readonly send: SendEffect;
  readonly runnerRequest: ClientRequest;
  /** The runner's answer, once its head came. */
  runnerResponse: IncomingMessage | undefined;
  /** Whether nothing that is heard of it counts any more. */
  isDone = false;

  constructor(exchange: ClientExchange, send: SendEffect, runnerRequest: ClientRequest) {
    this.exchange = exchange;
    this.send = send;
    this.runnerRequest = runnerRequest;
  }

  /** The answer is whole. An answer that came before all of its request was written ends the writing too. */
  complete(): void {
    this.isDone = true;
    if (!this.runnerRequest.writableFinished) this.runnerRequest.destroy();
  }

  /** It is given up: its connection ends. */
  abort(): void {
    this.isDone = true;
    this.runnerRequest.destroy();
  }
}

/** Ends an answer so that no client takes it for whole. */
export function abortResponse({ clientRequest, clientResponse }: ClientExchange): void {
  // To a client of HTTP/1.0 an orderly end of the connection would be the end of the answer.
  if (clientRequest.httpVersion === '1.0') clientRequest.socket.resetAndDestroy();
  clientResponse.destroy();
}

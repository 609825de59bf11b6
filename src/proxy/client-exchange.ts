import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http';
import type { MemorySource } from '../common/memory-account.js';
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
  /** The memory of the request, returned when its response has ended. */
  readonly memory: MemorySource;
  readonly annotations: RequestAnnotations;
  /** The latest attempt at a runner. */
  attempt: Attempt | undefined;
  /** The id of the last event that was forwarded; before the first one, the `Last-Event-ID` that the client sent. */
  lastEventId: number | undefined;
  isHeadForwarded: boolean;
  /** Whether an event without an id was forwarded: another run can't be asked to skip it. */
  hasEventWithoutId: boolean;
  /** Whether a part of an event was forwarded whose end has not arrived: no other run can go on with it. */
  isEventIncomplete: boolean;
}

/** Whether the response that was forwarded so far could be continued by another run. */
export function isContinuable(exchange: ClientExchange): boolean {
  const { isHeadForwarded, hasEventWithoutId, isEventIncomplete } = exchange;
  return !isHeadForwarded || !(hasEventWithoutId || isEventIncomplete);
}

/** One attempt of an exchange at a runner. */
export class Attempt {
  readonly exchange: ClientExchange;
  readonly send: SendEffect;
  readonly runnerRequest: ClientRequest;
  /** The runner's response, once its head has arrived. */
  runnerResponse: IncomingMessage | undefined;
  /** Whether the attempt has ended: its further events are ignored. */
  isDone = false;

  constructor(exchange: ClientExchange, send: SendEffect, runnerRequest: ClientRequest) {
    this.exchange = exchange;
    this.send = send;
    this.runnerRequest = runnerRequest;
  }

  /** The response is complete. If it arrived before the request was written completely, the connection is closed. */
  complete(): void {
    this.isDone = true;
    if (!this.runnerRequest.writableFinished) this.runnerRequest.destroy();
  }

  /** Aborts the attempt by closing its connection. */
  abort(): void {
    this.isDone = true;
    this.runnerRequest.destroy();
  }
}

/** Aborts a response in a way that no client takes it for complete. */
export function abortResponse({
  clientRequest,
  clientResponse,
}: Pick<ClientExchange, 'clientRequest' | 'clientResponse'>): void {
  // An HTTP/1.0 client takes an orderly close of the connection for the end of the response.
  if (clientRequest.httpVersion === '1.0') clientRequest.socket.resetAndDestroy();
  clientResponse.destroy();
}

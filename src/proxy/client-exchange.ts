import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http';
import type { DispatchEffect } from './dispatch-types.js';
import type { SaidByRequest } from './request-dialect.js';

/** The dispatcher's word to send a request to a runner. */
export type SendEffect = Extract<DispatchEffect, { do: 'send' }>;
/** The dispatcher's word to refuse a request. */
export type RefuseEffect = Extract<DispatchEffect, { do: 'refuse' }>;

/** A request that was read whole, and what became of its answer so far. */
export interface ClientExchange {
  readonly id: number;
  readonly asked: IncomingMessage;
  readonly answer: ServerResponse;
  readonly body: Buffer;
  readonly said: SaidByRequest;
  /** The last attempt at a runner. */
  attempt: Attempt | undefined;
  /** The id of the last event passed on, ours or, before that, the client's. */
  lastEventId: number | undefined;
  isHeadPassed: boolean;
  /** Whether something was passed on that no further run could be told to leave out. */
  isUnnumbered: boolean;
}

/** One attempt of an exchange at a runner. */
export class Attempt {
  readonly exchange: ClientExchange;
  readonly send: SendEffect;
  readonly sent: ClientRequest;
  /** The runner's answer, once its head came. */
  back: IncomingMessage | undefined;
  /** Whether nothing that is heard of it counts any more. */
  isOver = false;

  constructor(exchange: ClientExchange, send: SendEffect, sent: ClientRequest) {
    this.exchange = exchange;
    this.send = send;
    this.sent = sent;
  }

  /** The answer is whole. An answer that came before all of its request was written ends the writing too. */
  finish(): void {
    this.isOver = true;
    if (!this.sent.writableFinished) this.sent.destroy();
  }

  /** It is given up: its connection ends. */
  abandon(): void {
    this.isOver = true;
    this.sent.destroy();
  }
}

/** Ends an answer so that no client takes it for whole. */
export function breakOff({ asked, answer }: ClientExchange): void {
  // To a client of HTTP/1.0 an orderly end of the connection would be the end of the answer.
  if (asked.httpVersion === '1.0') asked.socket.resetAndDestroy();
  answer.destroy();
}

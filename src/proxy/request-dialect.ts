import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { ResponseStatus, PrefixBlock, RejectReason } from './dispatch-types.js';

/** What a request's head says, in the product's terms. */
export interface RequestAnnotations {
  readonly attemptId: string;
  readonly model: string;
  readonly adapter: string;
  readonly promptTokens: number;
  readonly prefix: readonly PrefixBlock[];
  readonly timeLeftMs: number | undefined;
  readonly lastEventId: number | undefined;
}

/** What the proxy adds for the runner. */
export interface RunnerAnnotations {
  readonly runner: string;
  readonly timeLeftMs: number;
  readonly urgency: number;
  readonly lastEventId: number | undefined;
}

/** How a deployment's clients and runners write what the proxy must know; it translates and decides nothing. */
export interface RequestDialect {
  readRequest(headers: IncomingHttpHeaders): RequestAnnotations;
  annotateRunnerRequest(headers: OutgoingHttpHeaders, said: RunnerAnnotations): void;
  /** `isFirst`: the first answer on its connection cannot be a surplus one to a request before. */
  readResponse(
    status: number,
    headers: IncomingHttpHeaders,
    attemptId: string,
    isFirst: boolean,
  ): ResponseStatus;
  rejection(
    reason: RejectReason,
    retryAfterMs: number,
  ): { readonly status: number; readonly headers: OutgoingHttpHeaders };
}

import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { ResponseStatus, PrefixBlock, RejectReason } from './dispatch-types.js';

/** What the proxy reads from the headers of a client's request, in terms that do not depend on the dialect. */
export interface RequestAnnotations {
  readonly attemptId: string;
  readonly model: string;
  readonly adapter: string;
  readonly promptTokens: number;
  readonly prefix: readonly PrefixBlock[];
  readonly timeLeftMs: number | undefined;
  readonly lastEventId: number | undefined;
}

/** What the proxy states in the headers of a request to a runner. */
export interface RunnerAnnotations {
  readonly runner: string;
  readonly timeLeftMs: number;
  readonly urgency: number;
  readonly lastEventId: number | undefined;
}

/** Translates between the headers that a deployment's clients and runners use and the proxy's terms; makes no decisions. */
export interface RequestDialect {
  /** Reads the headers of a client's request. */
  readRequest(headers: IncomingHttpHeaders): RequestAnnotations;
  /** Adds the annotations to the headers of a request to a runner. */
  annotateRunnerRequest(headers: OutgoingHttpHeaders, annotations: RunnerAnnotations): void;
  /**
   * Reads the head of a runner's response. `isFirst`: whether it is the first response on its connection, so that it cannot
   * be a surplus response to an earlier request.
   */
  readResponse(
    status: number,
    headers: IncomingHttpHeaders,
    attemptId: string,
    isFirst: boolean,
  ): ResponseStatus;
  /** Returns the status and headers of the response to a rejected request. */
  rejection(
    reason: RejectReason,
    retryAfterMs: number,
  ): { readonly status: number; readonly headers: OutgoingHttpHeaders };
}

import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { ERROR_RESPONSES, type ErrorCode } from '../common/errors.js';
import { replyAndDiscard } from '../common/refusal.js';
import { isBodyPending } from '../common/request-body.js';
import type { Counters } from '../common/counters.js';
import type { PolicyRouter } from './policy-router.js';
import { retryAfterSeconds } from './in-flight-requests.js';

/** Writes the error responses of requests that got no response from a runner, as JSON with an error code. */
export class ErrorResponses {
  readonly #router: PolicyRouter;
  readonly #counters: Counters;
  #isDraining = false;

  constructor(router: PolicyRouter, counters: Counters) {
    this.#router = router;
    this.#counters = counters;
  }

  /** From now on every error response carries `connection: close`. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /**
   * Sends the error response, or aborts the response if its head was sent already. `retryMs`: after how long a retry is
   * worthwhile, 0 where that is unknown.
   */
  send(
    response: ServerResponse,
    requestId: string,
    kind: ErrorCode,
    text: string,
    retryMs = 0,
  ): void {
    this.#counters.add(`defects.${kind}`);
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    const { status, isOutcomeUnknown } = ERROR_RESPONSES[kind];
    const outcome = isOutcomeUnknown ? 'unsure' : 'turned-away';
    const body = JSON.stringify({ defect: kind, text, outcome });
    const headers = this.#headersOf(requestId, kind, body, retryMs);
    if (isBodyPending(response.req))
      replyAndDiscard(response.req, response, { status, headers, body });
    else response.writeHead(status, headers).end(body);
  }

  #headersOf(
    requestId: string,
    kind: ErrorCode,
    body: string,
    retryMs: number,
  ): OutgoingHttpHeaders {
    const headers: OutgoingHttpHeaders = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'x-request-id': requestId,
    };
    // A proxy without a recent freshness confirmation applies no table.
    if (kind !== 'blind') headers['x-table'] = String(this.#router.tableNumber);
    const retryAfter = retryAfterSeconds(kind, retryMs);
    if (retryAfter > 0) headers['retry-after'] = String(retryAfter);
    if (this.#isDraining || kind === 'too-large') headers['connection'] = 'close';
    return headers;
  }
}

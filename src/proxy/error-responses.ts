import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { ERROR_RESPONSES, type ErrorCode } from '../common/errors.js';
import type { Counters } from '../common/counters.js';
import type { PolicyRouter } from './policy-router.js';
import { retryAfterSeconds } from './in-flight-requests.js';

/** Writes the final answers of requests that got none from a runner, as JSON with an error code. */
export class ErrorResponses {
  readonly #router: PolicyRouter;
  readonly #counters: Counters;
  #isDraining = false;

  constructor(router: PolicyRouter, counters: Counters) {
    this.#router = router;
    this.#counters = counters;
  }

  /** From here on the last response on each connection carries `connection: close`. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Answers at once; `retryMs` tells when coming back is worth while, 0 where nothing is known. */
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
    const { status, isOutcomeUnknown: unsure } = ERROR_RESPONSES[kind];
    const outcome = unsure ? 'unsure' : 'turned-away';
    const body = JSON.stringify({ defect: kind, text, outcome });
    response.writeHead(status, this.#headersOf(requestId, kind, body, retryMs));
    response.end(body);
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
    // A proxy that is blind works by no table at all.
    if (kind !== 'blind') headers['x-table'] = String(this.#router.tableNumber);
    const retryAfter = retryAfterSeconds(kind, retryMs);
    if (retryAfter > 0) headers['retry-after'] = String(retryAfter);
    if (this.#isDraining || kind === 'too-large') headers['connection'] = 'close';
    return headers;
  }
}

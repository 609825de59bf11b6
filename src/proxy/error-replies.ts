import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { ERROR_RESPONSES, type ErrorCode } from '../common/errors.js';
import type { Counters } from '../common/counters.js';
import type { Decision } from './decision.js';
import { retryAfterOf } from './in-flight-requests.js';

/** Writes the final answers of requests that got none from a runner, as JSON with an error code. */
export class ErrorReplies {
  readonly #decision: Decision;
  readonly #counters: Counters;
  #isDraining = false;

  constructor(decision: Decision, counters: Counters) {
    this.#decision = decision;
    this.#counters = counters;
  }

  /** From here on every answer asks its client to go elsewhere. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Answers at once; `retryMs` tells when coming back is worth while, 0 where nothing is known. */
  tell(
    returned: ServerResponse,
    requestId: string,
    kind: ErrorCode,
    text: string,
    retryMs = 0,
  ): void {
    this.#counters.add(`defects.${kind}`);
    if (returned.headersSent || returned.destroyed) {
      returned.destroy();
      return;
    }
    const { status, isOutcomeUnknown: unsure } = ERROR_RESPONSES[kind];
    const outcome = unsure ? 'unsure' : 'turned-away';
    const body = JSON.stringify({ defect: kind, text, outcome });
    returned.writeHead(status, this.#headersOf(requestId, kind, body, retryMs));
    returned.end(body);
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
    if (kind !== 'blind') headers['x-table'] = String(this.#decision.tableNumber);
    const retryAfter = retryAfterOf(kind, retryMs);
    if (retryAfter > 0) headers['retry-after'] = String(retryAfter);
    if (this.#isDraining || kind === 'too-large') headers['connection'] = 'close';
    return headers;
  }
}

/**
 * The errors of haretrack: one class for each kind of failure, derived from a common base class.
 *
 * Callers distinguish them by class (`instanceof`). Responses, logs and metrics carry the stable `code` of the class, and
 * responses have the HTTP status that the table below gives for that code.
 */
import VError from 'verror';

/** The HTTP response to a request that fails with an error or is rejected. */
export interface ErrorResponse {
  /** HTTP status. */
  readonly status: number;
  /** Seconds after which the client may retry; with 0 there is no `Retry-After` header. */
  readonly retryAfterSeconds: number;
  /** Whether the work may have been done nevertheless: such a response never claims that the request was rejected. */
  readonly isOutcomeUnknown: boolean;
}

/** All codes, each with its response. Codes are stable, since programs of operators read them. */
export const ERROR_RESPONSES = {
  malformed: { status: 400, retryAfterSeconds: 0, isOutcomeUnknown: false },
  unmapped: { status: 404, retryAfterSeconds: 0, isOutcomeUnknown: false },
  'unknown-model': { status: 404, retryAfterSeconds: 0, isOutcomeUnknown: false },
  'too-large': { status: 413, retryAfterSeconds: 0, isOutcomeUnknown: false },
  'over-take': { status: 429, retryAfterSeconds: 1, isOutcomeUnknown: false },
  crowded: { status: 503, retryAfterSeconds: 2, isOutcomeUnknown: false },
  'waits-for-place': { status: 503, retryAfterSeconds: 3, isOutcomeUnknown: false },
  'limit-passed': { status: 503, retryAfterSeconds: 1, isOutcomeUnknown: false },
  blind: { status: 503, retryAfterSeconds: 2, isOutcomeUnknown: false },
  draining: { status: 503, retryAfterSeconds: 1, isOutcomeUnknown: false },
  'no-runner': { status: 503, retryAfterSeconds: 2, isOutcomeUnknown: false },
  'unsure-run': { status: 502, retryAfterSeconds: 0, isOutcomeUnknown: true },
  'unsure-late': { status: 504, retryAfterSeconds: 0, isOutcomeUnknown: true },
  'client-gone': { status: 499, retryAfterSeconds: 0, isOutcomeUnknown: true },
  'bad-table': { status: 422, retryAfterSeconds: 0, isOutcomeUnknown: false },
  'bad-config': { status: 400, retryAfterSeconds: 0, isOutcomeUnknown: false },
  'base-lost': { status: 409, retryAfterSeconds: 0, isOutcomeUnknown: false },
  'no-leader': { status: 503, retryAfterSeconds: 2, isOutcomeUnknown: false },
  'unsure-edit': { status: 504, retryAfterSeconds: 0, isOutcomeUnknown: true },
  'unknown-edit': { status: 404, retryAfterSeconds: 0, isOutcomeUnknown: false },
  'bad-file': { status: 500, retryAfterSeconds: 0, isOutcomeUnknown: false },
  'disk-write': { status: 500, retryAfterSeconds: 0, isOutcomeUnknown: true },
  'bad-frame': { status: 400, retryAfterSeconds: 0, isOutcomeUnknown: false },
  'bad-settings': { status: 500, retryAfterSeconds: 0, isOutcomeUnknown: false },
} as const satisfies Record<string, ErrorResponse>;

/** A stable code of an error or of a rejection. */
export type ErrorCode = keyof typeof ERROR_RESPONSES;

/** The base class of all errors of haretrack. Its message describes the failure in one line. */
export abstract class HaretrackError extends VError {
  /** The stable code: the same for every instance of a class, in every version of haretrack. */
  abstract readonly code: ErrorCode;

  constructor(message: string, cause?: Error) {
    super({ ...(cause ? { cause } : {}) }, '%s', message);
    this.name = new.target.name;
  }

  /** The HTTP response to a request that fails with this error. */
  get response(): ErrorResponse {
    return ERROR_RESPONSES[this.code];
  }
}

/** A request, document or stored text is malformed. The caller has to correct it. */
export class MalformedRequestError extends HaretrackError {
  readonly code = 'malformed';
}

/** A change is based on a version that is no longer in force. The caller reads the newest one and repeats the change. */
export class VersionConflictError extends HaretrackError {
  readonly code = 'base-lost';
}

/** No leader is known, or it could not be reached in time; nothing was done. The caller may retry at any node. */
export class NoLeaderError extends HaretrackError {
  readonly code = 'no-leader';
}

/** It is unknown whether a change was accepted. The caller queries its outcome by id, or reads the newest version. */
export class OutcomeUnknownError extends HaretrackError {
  readonly code = 'unsure-edit';
}

/** Bytes from another node that are not a valid frame or message. The connection that they came on is closed. */
export class MalformedFrameError extends HaretrackError {
  readonly code = 'bad-frame';
}

/** A stored file has a wrong digest or format. Its content is restored from the other replicas. */
export class CorruptFileError extends HaretrackError {
  readonly code = 'bad-file';
}

/** A write to the disk failed and may have been done in part. The write is retried. */
export class DiskWriteError extends HaretrackError {
  readonly code = 'disk-write';
}

/** The message of a thrown value, which need not be an `Error`. */
export function reasonOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** Returns a thrown `HaretrackError` unchanged; anything else counts as caused by malformed input. */
export function toHaretrackError(thrown: unknown): HaretrackError {
  return thrown instanceof HaretrackError ? thrown : new MalformedRequestError(reasonOf(thrown));
}

/**
 * The errors of haretrack: one class for each thing that can go wrong, below a common base.
 *
 * A caller tells them apart by class (`instanceof`). What leaves the process (answers, logs, metrics) carries the stable
 * `code` of the class, and the HTTP response that the table below gives for that code.
 */
import VError from 'verror';

/** The HTTP response by which an error or a rejection is answered. */
export interface ErrorResponse {
  /** HTTP status. */
  readonly status: number;
  /** Seconds after which the client may come back; 0 leaves the header `Retry-After` out. */
  readonly retryAfterSeconds: number;
  /** Whether the work may have been done all the same: such a response never claims that it was rejected. */
  readonly isOutcomeUnknown: boolean;
}

/** The closed list of codes, with the response that each leads to. Codes are stable: operators' programs read them. */
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

/** The base of all errors of haretrack. Its message says what went wrong in one line. */
export abstract class HaretrackError extends VError {
  /** The same for every instance of a class, in every version of haretrack. */
  abstract readonly code: ErrorCode;

  constructor(message: string, cause?: Error) {
    super({ ...(cause ? { cause } : {}) }, '%s', message);
    this.name = new.target.name;
  }

  /** The HTTP response by which this error is answered. */
  get response(): ErrorResponse {
    return ERROR_RESPONSES[this.code];
  }
}

/** A request, document or stored text that does not have the form it must have. The caller has to mend it. */
export class MalformedRequestError extends HaretrackError {
  readonly code = 'malformed';
}

/** A change was made from a version that is no longer in force. The caller reads the newest one and makes it anew. */
export class VersionConflictError extends HaretrackError {
  readonly code = 'base-lost';
}

/** No leader is known, or it could not be reached in time; nothing was done. The caller tries again, at any node. */
export class NoLeaderError extends HaretrackError {
  readonly code = 'no-leader';
}

/** Whether a change was accepted cannot be told. The caller asks for it by its id, or reads the newest version. */
export class OutcomeUnknownError extends HaretrackError {
  readonly code = 'unsure-edit';
}

/** Bytes from another node that are no frame or no message of ours. The connection they came on is closed. */
export class MalformedFrameError extends HaretrackError {
  readonly code = 'bad-frame';
}

/** A stored file whose digest or form is wrong. What it held is restored from the other replicas. */
export class CorruptFileError extends HaretrackError {
  readonly code = 'bad-file';
}

/** The disk did not take a write, which may be there in part. The write is tried again. */
export class DiskWriteError extends HaretrackError {
  readonly code = 'disk-write';
}

/** What went wrong, as one line, whatever was thrown. */
export function reasonOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** The error that was thrown, where it is one of ours; anything else came of input that could not be worked on. */
export function toHaretrackError(thrown: unknown): HaretrackError {
  return thrown instanceof HaretrackError ? thrown : new MalformedRequestError(reasonOf(thrown));
}

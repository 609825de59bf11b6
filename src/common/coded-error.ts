import VError from 'verror';

interface ErrorCodeRow {
  /** HTTP status of the return. */
  readonly status: number;
  /** Seconds after which the client may come back; 0 leaves the header out. */
  readonly retryAfter: number;
  /** Whether the work may have been done all the same: such a return never claims to have turned work away. */
  readonly unsure: boolean;
}

/** The one closed list of error kinds, with the return each leads to. */
export const ERROR_CODES = {
  malformed: { status: 400, retryAfter: 0, unsure: false },
  unmapped: { status: 404, retryAfter: 0, unsure: false },
  'unknown-model': { status: 404, retryAfter: 0, unsure: false },
  'too-large': { status: 413, retryAfter: 0, unsure: false },
  'over-take': { status: 429, retryAfter: 1, unsure: false },
  crowded: { status: 503, retryAfter: 2, unsure: false },
  'waits-for-place': { status: 503, retryAfter: 3, unsure: false },
  'limit-passed': { status: 503, retryAfter: 1, unsure: false },
  blind: { status: 503, retryAfter: 2, unsure: false },
  draining: { status: 503, retryAfter: 1, unsure: false },
  'no-runner': { status: 503, retryAfter: 2, unsure: false },
  'unsure-run': { status: 502, retryAfter: 0, unsure: true },
  'unsure-late': { status: 504, retryAfter: 0, unsure: true },
  'client-gone': { status: 499, retryAfter: 0, unsure: true },
  'bad-table': { status: 422, retryAfter: 0, unsure: false },
  'bad-config': { status: 400, retryAfter: 0, unsure: false },
  'base-lost': { status: 409, retryAfter: 0, unsure: false },
  'no-leader': { status: 503, retryAfter: 2, unsure: false },
  'unsure-edit': { status: 504, retryAfter: 0, unsure: true },
  'unknown-edit': { status: 404, retryAfter: 0, unsure: false },
  'bad-file': { status: 500, retryAfter: 0, unsure: false },
  'disk-write': { status: 500, retryAfter: 0, unsure: true },
  'bad-frame': { status: 400, retryAfter: 0, unsure: false },
  'bad-settings': { status: 500, retryAfter: 0, unsure: false },
} as const satisfies Record<string, ErrorCodeRow>;

export type ErrorCode = keyof typeof ERROR_CODES;

/** An error of a listed kind. */
export class CodedError extends VError {
  readonly #kind: ErrorCode;

  constructor(kind: ErrorCode, message: string, cause?: Error) {
    super({ name: 'Defect', ...(cause ? { cause } : {}), info: { kind } }, '%s', message);
    this.#kind = kind;
  }

  get kind(): ErrorCode {
    return this.#kind;
  }
  get row(): ErrorCodeRow {
    return ERROR_CODES[this.#kind];
  }
}

/** What went wrong, as one line, whatever was thrown. */
export function reasonOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** The error of a listed kind that was thrown; whatever has no kind of its own is `malformed`. */
export function codedErrorOf(thrown: unknown): CodedError {
  return thrown instanceof CodedError ? thrown : new CodedError('malformed', reasonOf(thrown));
}

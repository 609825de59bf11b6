/** Gathers a body, or a part of one, in one buffer, whose cost depends on its length and not on its chunks. */
import type { MemorySource } from './memory-account.js';

/** What became of a chunk. */
export type AppendOutcome = 'appended' | 'too-large' | 'no-memory';

/** The first buffer of a body whose length is not announced, bytes. */
const FIRST_BUFFER_BYTES = 4096;
/** A body whose announced length is at most this gets its whole buffer with its first chunk, bytes. */
const MAX_EXACT_BYTES = 65_536;
const EMPTY = Buffer.alloc(0);

/** Settings of a `BodyBuffer`. */
export interface BodyBufferSettings {
  /** The longest body. */
  readonly maxBytes: number;
  /** The length that the sender announced; undefined where it announced none. */
  readonly announcedBytes: number | undefined;
}

/** A body that is being received; the memory of its buffer is reserved before it is allocated. */
export class BodyBuffer {
  readonly #reservation: MemorySource;
  readonly #settings: BodyBufferSettings;
  #buffer = EMPTY;
  #length = 0;

  constructor(reservation: MemorySource, settings: BodyBufferSettings) {
    this.#reservation = reservation;
    this.#settings = settings;
  }

  /** The size of the buffer, which is reserved. */
  get capacity(): number {
    return this.#buffer.length;
  }

  /** The bytes received so far. */
  get length(): number {
    return this.#length;
  }

  /** The body received so far; a view of the buffer. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Copies a chunk behind the bytes received so far. */
  append(chunk: Buffer): AppendOutcome {
    const length = this.#length + chunk.length;
    if (length > this.#settings.maxBytes) return 'too-large';
    if (length > this.#buffer.length && !this.#grow(length)) return 'no-memory';
    chunk.copy(this.#buffer, this.#length);
    this.#length = length;
    return 'appended';
  }

  /** Drops what was received, and gives its memory back. */
  release(): void {
    this.#reservation.giveBack(this.#buffer.length);
    this.discard();
  }

  /** Drops what was received; its memory stays reserved. */
  discard(): void {
    this.#buffer = EMPTY;
    this.#length = 0;
  }

  /** Moves to a buffer of at least so many bytes; both are reserved while the bytes are copied. */
  #grow(neededBytes: number): boolean {
    const formerBytes = this.#buffer.length;
    const nextBytes = this.#nextBufferBytes(neededBytes);
    if (!this.#reservation.reserve(nextBytes)) return false;
    const next = Buffer.allocUnsafe(nextBytes);
    this.#buffer.copy(next, 0, 0, this.#length);
    this.#buffer = next;
    this.#reservation.giveBack(formerBytes);
    return true;
  }

  #nextBufferBytes(neededBytes: number): number {
    const { maxBytes, announcedBytes } = this.#settings;
    if (announcedBytes !== undefined && announcedBytes <= MAX_EXACT_BYTES)
      return Math.max(announcedBytes, neededBytes);
    const doubledBytes = Math.max(FIRST_BUFFER_BYTES, 2 * this.#buffer.length);
    return Math.max(neededBytes, Math.min(doubledBytes, announcedBytes ?? maxBytes, maxBytes));
  }
}

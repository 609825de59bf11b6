import { BodyBuffer } from '../common/body-buffer.js';
import type { MemorySource } from '../common/memory-account.js';
import { EventBoundaries } from './event-boundaries.js';
import { readEventFields, type EventFields } from './event-lines.js';

/** An event larger than this is passed on as it arrives, bytes: as much as is kept of a response to be retried. */
export const MAX_HELD_EVENT_BYTES = 1024 * 1024;

/** A complete event of a `text/event-stream`. */
export interface StreamEvent extends EventFields {
  readonly kind: 'event';
  readonly bytes: Buffer;
}

/** The part of a large event that was held: parts of it follow, of which the last one ends it. */
export interface LargeEventStart extends EventFields {
  readonly kind: 'large-event';
  readonly bytes: Buffer;
  /** Why the rest isn't waited for: it is too large, or there is no memory for it. */
  readonly reason: 'too-large' | 'no-memory';
}

/** A further part of a large event. */
export interface LargeEventPart {
  readonly kind: 'part';
  readonly bytes: Buffer;
  readonly isLast: boolean;
}

/** What a chunk of a stream completes. */
export type StreamPiece = StreamEvent | LargeEventStart | LargeEventPart;

const EMPTY = Buffer.alloc(0);

/**
 * Splits the bytes of a `text/event-stream` into complete events as they arrive. What has arrived of an event is held in one
 * buffer, in memory of the account, so that an event costs its length and not its chunks; an event for which that doesn't
 * suffice is passed on in parts. The work is linear in the bytes.
 */
export class EventStream {
  readonly #memory: MemorySource;
  readonly #boundaries = new EventBoundaries();
  #held: BodyBuffer;
  /** The buffer of the event that was returned last; its memory is given back once that event can have been written. */
  #returned: BodyBuffer | undefined;
  #isInLargeEvent = false;
  #copiedBytes = 0;

  constructor(memory: MemorySource) {
    this.#memory = memory;
    this.#held = this.#newBuffer();
  }

  /** The number of times that a byte was looked at or copied, apart from the fields of complete events. */
  get handledBytes(): number {
    return this.#boundaries.examinedBytes + this.#copiedBytes;
  }

  /** The bytes after the last complete event that were not passed on. */
  get remainder(): Buffer | undefined {
    return this.#held.length > 0 ? this.#held.bytes : undefined;
  }

  /**
   * Adds a chunk and returns what it completes. The memory of an event that was returned is given back with the next call,
   * which comes only once a slow client has read it.
   */
  push(chunk: Buffer): StreamPiece[] {
    this.#returned?.release();
    this.#returned = undefined;
    const pieces: StreamPiece[] = [];
    let from = 0;
    for (const end of this.#boundaries.find(chunk)) {
      this.#completeEvent(chunk.subarray(from, end), pieces);
      from = end;
    }
    if (from < chunk.length) this.#addToEvent(chunk.subarray(from), pieces);
    return pieces;
  }

  /** The stream has ended: returns the event that its last byte completed, if that is known only now. */
  end(): StreamEvent | undefined {
    if (!this.#boundaries.end() || this.#held.length === 0) return undefined;
    return this.#takeHeldEvent();
  }

  #completeEvent(rest: Buffer, pieces: StreamPiece[]): void {
    if (this.#isInLargeEvent) {
      this.#isInLargeEvent = false;
      pieces.push({ kind: 'part', bytes: rest, isLast: true });
      return;
    }
    if (this.#held.length === 0) {
      pieces.push({ kind: 'event', bytes: rest, ...readEventFields(rest) });
      return;
    }
    if (this.#hold(rest, pieces)) {
      pieces.push(this.#takeHeldEvent());
      return;
    }
    this.#isInLargeEvent = false;
    pieces.push({ kind: 'part', bytes: EMPTY, isLast: true });
  }

  #addToEvent(bytes: Buffer, pieces: StreamPiece[]): void {
    if (this.#isInLargeEvent) pieces.push({ kind: 'part', bytes, isLast: false });
    else this.#hold(bytes, pieces);
  }

  /** Holds more of an event. Returns false if that can't be: from then on it is a large event, and is passed on. */
  #hold(bytes: Buffer, pieces: StreamPiece[]): boolean {
    const formerCapacity = this.#held.capacity;
    const outcome = this.#held.append(bytes);
    if (outcome === 'appended') {
      const hasMoved = this.#held.capacity !== formerCapacity;
      this.#copiedBytes += hasMoved ? this.#held.length : bytes.length;
      return true;
    }
    this.#copiedBytes += this.#held.length + bytes.length;
    const start = Buffer.concat([this.#held.bytes, bytes]);
    this.#isInLargeEvent = true;
    this.#setAsideHeld();
    pieces.push({ kind: 'large-event', bytes: start, reason: outcome, ...readEventFields(start) });
    return false;
  }

  #takeHeldEvent(): StreamEvent {
    const { bytes } = this.#held;
    this.#setAsideHeld();
    return { kind: 'event', bytes, ...readEventFields(bytes) };
  }

  /** A chunk completes one held event at most: what it completes besides is a part of the chunk. */
  #setAsideHeld(): void {
    if (this.#held.capacity > 0) this.#returned = this.#held;
    this.#held = this.#newBuffer();
  }

  #newBuffer(): BodyBuffer {
    return new BodyBuffer(this.#memory, {
      maxBytes: MAX_HELD_EVENT_BYTES,
      announcedBytes: undefined,
    });
  }
}

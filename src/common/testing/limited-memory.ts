import type { MemorySource } from '../memory-account.js';

/** An account of its own, which counts what is reserved. */
export class LimitedMemory implements MemorySource {
  readonly #capacityBytes: number;
  #reservedBytes = 0;
  #peakBytes = 0;

  constructor(capacityBytes: number = Number.POSITIVE_INFINITY) {
    this.#capacityBytes = capacityBytes;
  }

  /** The bytes that are reserved now. */
  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  /** The most bytes that were reserved at any time. */
  get peakBytes(): number {
    return this.#peakBytes;
  }

  reserve(bytes: number): boolean {
    if (this.#reservedBytes + bytes > this.#capacityBytes) return false;
    this.#reservedBytes += bytes;
    this.#peakBytes = Math.max(this.#peakBytes, this.#reservedBytes);
    return true;
  }

  giveBack(bytes: number): void {
    this.#reservedBytes -= bytes;
  }
}

import { later, moment, type Moment } from '../common/ids.js';

/**
 * Whether this proxy's versions were recently confirmed to be the newest. A confirmation is valid from the time when it
 * was requested, by the proxy's own monotonic clock.
 */
export class Freshness {
  readonly #boundMs: number;
  #freshUntil: Moment = moment(-1);
  readonly #requests = new Map<number, Moment>();
  #nonce: number;

  /**
   * `boundMs`: how long a confirmation is valid. Nonces start from this incarnation's own number, so that a confirmation
   * requested by a previous incarnation matches none of them.
   */
  constructor(boundMs: number, incarnation: number) {
    this.#boundMs = boundMs;
    this.#nonce = incarnation;
  }

  /** Registers a freshness request and returns its nonce; drops requests that are older than the bound. */
  startRequest(now: Moment): number {
    this.#nonce += 1;
    this.#requests.set(this.#nonce, now);
    for (const [nonce, at] of this.#requests)
      if (now - at > this.#boundMs) this.#requests.delete(nonce);
    return this.#nonce;
  }

  /** A confirmation arrived. `isUpToDate`: whether this proxy holds versions at least as new as the confirmed ones. */
  onConfirmed(nonce: number, isUpToDate: boolean): void {
    const at = this.#requests.get(nonce);
    if (at === undefined) return;
    // The request stays open where a confirmed version is missing: its update may arrive right after the confirmation.
    if (!isUpToDate) return;
    this.#requests.delete(nonce);
    const until = later(at, this.#boundMs);
    if (until > this.#freshUntil) this.#freshUntil = until;
  }

  /** Whether a confirmation is still valid. */
  isFresh(now: Moment): boolean {
    return now < this.#freshUntil;
  }
}

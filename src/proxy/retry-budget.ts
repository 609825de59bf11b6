import type { Moment } from '../common/ids.js';

/** Limits of a service's retries within a sliding window. */
export interface RetryBudgetSettings {
  /** Retries allowed as a share of requests, over the whole fleet. */
  readonly ratio: number;
  /** Retries allowed in addition, over the whole fleet. */
  readonly extra: number;
  /** Length of the sliding window. */
  readonly windowMs: number;
}

/** Safety margins: the window slides, and proxies do not know each other's counts. */
const RATIO_MARGIN = 0.7;
const EXTRA_MARGIN = 0.6;

/**
 * Limits the retries that reach a service within a sliding window. Each proxy may use the full share of its own requests;
 * the additional retries are divided among all proxies.
 */
export class RetryBudget {
  readonly #settings: RetryBudgetSettings;
  readonly #slotMs: number;
  #slots: { at: number; requests: number; retries: number }[] = [];

  constructor(settings: RetryBudgetSettings) {
    this.#settings = settings;
    this.#slotMs = settings.windowMs / 10;
  }

  /** Counts a request, which raises the budget. */
  onRequest(now: Moment): void {
    this.#slot(now).requests += 1;
  }

  /** Spends one retry of the budget; returns false if none is left. */
  trySpend(now: Moment, proxyCount: number): boolean {
    const slot = this.#slot(now);
    let requests = 0;
    let retries = 0;
    for (const item of this.#slots) {
      requests += item.requests;
      retries += item.retries;
    }
    const allowed =
      requests * this.#settings.ratio * RATIO_MARGIN +
      (this.#settings.extra * EXTRA_MARGIN) / Math.max(1, proxyCount);
    if (retries + 1 > allowed) return false;
    slot.retries += 1;
    return true;
  }

  #slot(now: Moment): { requests: number; retries: number } {
    const at = Math.floor(now / this.#slotMs);
    const last = this.#slots[this.#slots.length - 1];
    if (last && last.at === at) return last;
    // One slot more than the window has: a window that begins in the middle of a slot must still cover all of that slot.
    this.#slots = this.#slots.filter((slot) => isWithin(at - 11, slot));
    const slot = { at, requests: 0, retries: 0 };
    this.#slots.push(slot);
    return slot;
  }
}

function isWithin(oldest: number, slot: { readonly at: number }): boolean {
  return slot.at > oldest;
}

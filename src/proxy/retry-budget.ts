import type { Moment } from '../common/ids.js';

export interface RetryBudgetSettings {
  /** Retries allowed as a share of requests, over the whole fleet. */
  readonly ratio: number;
  /** Retries allowed besides, over the whole fleet. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Safety margins: windows slide, and proxies do not see each other's. */
const RATIO_MARGIN = 0.7;
const EXTRA_MARGIN = 0.6;

/**
 * Further arrivals at a service beyond each request's first, counted in a sliding window. The share of requests is each
 * proxy's own; what is allowed besides is divided among all proxies.
 */
export class RetryBudget {
  readonly #settings: RetryBudgetSettings;
  readonly #slotMs: number;
  #slots: { at: number; requests: number; retries: number }[] = [];

  constructor(settings: RetryBudgetSettings) {
    this.#settings = settings;
    this.#slotMs = settings.windowMs / 10;
  }

  onRequest(now: Moment): void {
    this.#slot(now).requests += 1;
  }

  /** Takes one retry out of the budget, if there is one left. */
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
    // One slot more than the window holds: a window that begins in the midst of a slot still covers all of it.
    this.#slots = this.#slots.filter((slot) => isWithin(at - 11, slot));
    const slot = { at, requests: 0, retries: 0 };
    this.#slots.push(slot);
    return slot;
  }
}

function isWithin(oldest: number, slot: { readonly at: number }): boolean {
  return slot.at > oldest;
}

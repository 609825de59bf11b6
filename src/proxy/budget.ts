/** Repeats are paid for by first sendings: a fifth of them, and a few to begin with. */
export class Budget {
  readonly #share: number;
  readonly #few: number;
  #tokens: number;

  constructor(share: number, few: number) {
    this.#share = share;
    this.#few = few;
    this.#tokens = few;
  }

  // However small our part of the few is, what was earned must be able to pay for one.
  earn(): void {
    this.#tokens = Math.min(this.#tokens + this.#share, Math.max(1 + this.#share, this.#few));
  }

  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** A budget for each service. */
export class ServiceBudgets {
  readonly #share: number;
  readonly #few: number;
  readonly #budgets = new Map<string, Budget>();

  /** `few`: what all proxies together may have beyond the share. */
  constructor(share: number, few: number) {
    this.#share = share;
    this.#few = few;
  }

  /** The budget of a service; of the few, one that begins now gets one proxy's part. */
  of(service: string, proxies: number): Budget {
    const known = this.#budgets.get(service);
    if (known) return known;
    const budget = new Budget(this.#share, this.#few / proxies);
    this.#budgets.set(service, budget);
    return budget;
  }
}

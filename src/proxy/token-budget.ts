/** Repeats are paid for by first sendings: a fifth of them, and a few to begin with. */
export class TokenBudget {
  readonly #ratio: number;
  readonly #extra: number;
  #tokens: number;

  constructor(ratio: number, extra: number) {
    this.#ratio = ratio;
    this.#extra = extra;
    this.#tokens = extra;
  }

  // However small our part of the few is, what was earned must be able to pay for one.
  credit(): void {
    this.#tokens = Math.min(this.#tokens + this.#ratio, Math.max(1 + this.#ratio, this.#extra));
  }

  trySpend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** A budget for each service. */
export class ServiceBudgets {
  readonly #ratio: number;
  readonly #extra: number;
  readonly #budgets = new Map<string, TokenBudget>();

  /** `few`: what all proxies together may have beyond the share. */
  constructor(ratio: number, extra: number) {
    this.#ratio = ratio;
    this.#extra = extra;
  }

  /** The budget of a service; of the few, one that begins now gets one proxy's part. */
  of(service: string, proxies: number): TokenBudget {
    const known = this.#budgets.get(service);
    if (known) return known;
    const budget = new TokenBudget(this.#ratio, this.#extra / proxies);
    this.#budgets.set(service, budget);
    return budget;
  }
}

/** Retries are paid for by first attempts: a share of them, and some extra to begin with. */
export class TokenBudget {
  readonly #ratio: number;
  #extra: number;
  #tokens: number;

  constructor(ratio: number, extra: number) {
    this.#ratio = ratio;
    this.#extra = extra;
    this.#tokens = extra;
  }

  /** A first attempt was made: it earns its share of a retry. */
  credit(): void {
    this.#tokens = Math.min(this.#tokens + this.#ratio, this.#maxTokens);
  }

  /** This proxy may have another number of retries beyond the share from now on. */
  setExtra(extra: number): void {
    this.#extra = extra;
    this.#tokens = Math.min(this.#tokens, this.#maxTokens);
  }

  /** However small the extra part is, what was earned must be able to pay for one. */
  get #maxTokens(): number {
    return Math.max(1 + this.#ratio, this.#extra);
  }

  /** Takes one retry out of the budget, if there is one left. */
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

  /** `extra`: the retries that all proxies together may have beyond the share. */
  constructor(ratio: number, extra: number) {
    this.#ratio = ratio;
    this.#extra = extra;
  }

  /** The budget of a service, with one proxy's part of the extra retries. */
  of(service: string, proxyCount: number): TokenBudget {
    const extra = this.#extra / proxyCount;
    const known = this.#budgets.get(service);
    if (known) {
      known.setExtra(extra);
      return known;
    }
    const budget = new TokenBudget(this.#ratio, extra);
    this.#budgets.set(service, budget);
    return budget;
  }
}

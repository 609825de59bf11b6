/** Token bucket for retries: each first attempt adds a share of a token, each retry takes one. Starts with extra tokens. */
export class TokenBudget {
  readonly #ratio: number;
  #extra: number;
  #tokens: number;

  constructor(ratio: number, extra: number) {
    this.#ratio = ratio;
    this.#extra = extra;
    this.#tokens = extra;
  }

  /** Credits the budget for a first attempt. */
  credit(): void {
    this.#tokens = Math.min(this.#tokens + this.#ratio, this.#maxTokens);
  }

  /** Changes the number of extra retries. */
  setExtra(extra: number): void {
    this.#extra = extra;
    this.#tokens = Math.min(this.#tokens, this.#maxTokens);
  }

  /** The bucket must be able to hold one whole token, however small the number of extra retries is. */
  get #maxTokens(): number {
    return Math.max(1 + this.#ratio, this.#extra);
  }

  /** Spends one retry of the budget; returns false if none is left. */
  trySpend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** The retry budgets of a proxy, one for each service. */
export class ServiceBudgets {
  readonly #ratio: number;
  readonly #extra: number;
  readonly #budgets = new Map<string, TokenBudget>();

  /** `ratio`: retries allowed per first attempt. `extra`: additional retries of all proxies together. */
  constructor(ratio: number, extra: number) {
    this.#ratio = ratio;
    this.#extra = extra;
  }

  /** The budget of a service, with one proxy's share of the extra retries. */
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

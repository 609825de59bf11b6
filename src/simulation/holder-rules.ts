import { LEASE_MS, THAW_GRACE_MS } from './contract-bounds.js';
import type { ArrivedOrder } from './fake-runner.js';
import type { Report } from './violation.js';

/** What the rules are created with. */
export interface HolderRulesSettings {
  /** Called with each violation. */
  readonly report: Report;
  /** Whether runners check fences. */
  readonly isFenced: boolean;
  /** When the process of a holder was last thawed. */
  readonly thawedAt: (holder: string) => number;
  /** When the link from a holder to a runner was last healed. */
  readonly healedAt: (holder: string, runner: string) => number;
  /** Whether the core has been settled for the last `span` milliseconds. */
  readonly isSettledFor: (span: number) => boolean;
}

/** The orders that one runner has received so far. */
interface RunnerRecord {
  readonly lastAt: Map<string, number>;
  readonly byFence: Map<number, string>;
  highestFence: number;
}

/** Checks who may order runners: one leader per epoch, one holder per fence, and a lease between two holders. */
export class HolderRules {
  readonly #settings: HolderRulesSettings;
  readonly #leaders = new Map<number, string>();
  readonly #runners = new Map<string, RunnerRecord>();
  #orderCount = 0;

  constructor(settings: HolderRulesSettings) {
    this.#settings = settings;
  }

  /** Number of orders that arrived at runners. */
  get orderCount(): number {
    return this.#orderCount;
  }

  /** Checks a node that believes to lead in an epoch. */
  leads(node: string, epoch: number): void {
    const other = this.#leaders.get(epoch);
    if (other === undefined) this.#leaders.set(epoch, node);
    else if (other !== node) {
      this.#settings.report('two-leaders-in-one-epoch', `${other} and ${node} lead epoch ${epoch}`);
    }
  }

  /** Checks an order that arrived at a runner. */
  orderArrived(order: ArrivedOrder): void {
    const { holder, runner, at, fence } = order;
    this.#orderCount += 1;
    if (!order.isAccepted || this.#isExempt(order)) return;
    const record = this.#runners.get(runner) ?? {
      lastAt: new Map(),
      byFence: new Map(),
      highestFence: 0,
    };
    this.#runners.set(runner, record);
    const other = record.byFence.get(fence) ?? holder;
    if (other !== holder) {
      const text = `${other} and ${holder} order ${runner} with fence ${fence}`;
      this.#settings.report('two-holders-with-one-fence', text);
    }
    if (fence < record.highestFence) {
      const text = `${holder} orders ${runner} with fence ${fence} after ${record.highestFence}`;
      this.#settings.report('lower-fence', text);
    }
    this.#checkLeaseGap(order, record);
    record.byFence.set(fence, holder);
    record.highestFence = Math.max(record.highestFence, fence);
    record.lastAt.set(holder, at);
  }

  #checkLeaseGap({ holder, runner, at }: ArrivedOrder, record: RunnerRecord): void {
    // If runners check fences, the gap is checked only while the core is settled.
    if (this.#settings.isFenced && !this.#settings.isSettledFor(LEASE_MS)) return;
    for (const [other, lastAt] of record.lastAt) {
      if (other === holder || at - lastAt >= LEASE_MS) continue;
      const text = `${holder} orders ${runner} ${Math.round(at - lastAt)} ms after ${other}`;
      this.#settings.report('two-holders', text);
    }
  }

  #isExempt({ holder, runner, at }: ArrivedOrder): boolean {
    const { thawedAt, healedAt } = this.#settings;
    return at - thawedAt(holder) <= THAW_GRACE_MS || at - healedAt(holder, runner) <= THAW_GRACE_MS;
  }
}

import { CATCH_UP_MS } from './contract-bounds.js';
import { toleratedOf, type LossLimit } from './options.js';

/** One that left for good with no successor counts for so long; then the fleet is that much smaller. */
const LEFT_MS = 10_000;

export interface LossBudgetSettings {
  readonly now: () => number;
  readonly limit: LossLimit;
  /** The size of the fleet that the contract is about. */
  readonly nodes: number;
  /** How many control machines are there now, lost or not. */
  readonly present: () => number;
  /** Whether the loss of a machine's disk, or of the machine for good, has been made good. */
  readonly isMadeGood: (node: string, isForGood: boolean) => boolean;
}

/**
 * How many control machines are lost at a moment, as the contract counts: while a fault is on them and
 * for a while after, and how many more may be.
 */
export class LossBudget {
  readonly #settings: LossBudgetSettings;
  /** How many faults are on a machine now. */
  readonly #under = new Map<string, number>();
  readonly #backAt = new Map<string, number>();
  /** Whose disk was lost, and whether the machine is to leave for good with it. */
  readonly #lostDisks = new Map<string, boolean>();
  /** When machines left for good or lost their disks. */
  readonly #diskLostAt = new Map<string, number>();
  #isBeyond = false;
  #permanent = 0;
  #leftLately = 0;

  constructor(settings: LossBudgetSettings) {
    this.#settings = settings;
  }

  begin(node: string): void {
    this.#under.set(node, (this.#under.get(node) ?? 0) + 1);
  }

  end(node: string): void {
    this.#under.set(node, Math.max(0, (this.#under.get(node) ?? 0) - 1));
    this.#backAt.set(node, this.#settings.now());
  }

  loseDisk(node: string, isForGood: boolean): void {
    this.#lostDisks.set(node, isForGood);
    this.#diskLostAt.set(node, this.#settings.now());
    if (this.#lostLately() > toleratedOf(this.#settings.nodes)) this.#isBeyond = true;
  }

  /** A machine left for good, and nobody comes for it. */
  leave(): void {
    this.#permanent += 1;
    this.#leftLately += 1;
  }

  /** One that left for good counts no longer, and the fleet is that much smaller. */
  forgetLeft(node: string): void {
    this.#leftLately -= 1;
    this.release(node);
  }

  /** A machine that is gone stops counting at once. */
  release(node: string): void {
    this.#under.delete(node);
    this.#backAt.delete(node);
  }

  /** How long a machine that left for good counts as lost. */
  get leftMs(): number {
    return LEFT_MS;
  }

  /**
   * Whether more disks were lost within the time to catch up than the contract tolerates, voters' or not: one that left may
   * just then have been taken for a spare. Nobody need ever lead again then, and all else must hold.
   */
  get isBeyond(): boolean {
    return this.#isBeyond;
  }

  isLost(node: string): boolean {
    if ((this.#under.get(node) ?? 0) > 0) return true;
    return this.#settings.now() < (this.#backAt.get(node) ?? -Infinity) + CATCH_UP_MS;
  }

  /** Whether these machines may be lost beside those that are. */
  mayLose(nodes: readonly string[]): boolean {
    if (this.#settings.limit !== 'tolerated') return true;
    return this.#countWith(nodes) <= this.#allowed();
  }

  /** Disks are never lost in any number: nothing could then be kept. */
  mayLoseDisks(nodes: readonly string[]): boolean {
    if (this.#settings.limit === 'tolerated') return this.mayLose(nodes);
    if (this.#settings.limit === 'unlimited') return true;
    const lost = new Set(nodes);
    for (const [node, isForGood] of this.#lostDisks) {
      if (this.#settings.isMadeGood(node, isForGood)) this.#lostDisks.delete(node);
      else lost.add(node);
    }
    return lost.size <= toleratedOf(this.#settings.nodes);
  }

  mayLeave(): boolean {
    return this.#permanent < toleratedOf(this.#settings.nodes);
  }

  #countWith(nodes: readonly string[]): number {
    const lost = new Set(nodes);
    for (const node of this.#under.keys()) if (this.isLost(node)) lost.add(node);
    return lost.size;
  }

  #lostLately(): number {
    let count = 0;
    const since = this.#settings.now() - CATCH_UP_MS;
    for (const at of this.#diskLostAt.values()) if (at > since) count += 1;
    return count;
  }

  /** A fleet that has become smaller for good bears less. */
  #allowed(): number {
    const { nodes, present } = this.#settings;
    return Math.min(toleratedOf(nodes), toleratedOf(present() + this.#leftLately));
  }
}

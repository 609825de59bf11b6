import { CATCH_UP_MS } from './contract-bounds.js';
import { toleratedLosses, type LossLimit } from './options.js';

/** One that left for good with no successor counts for so long; then the fleet is that much smaller. */
const DEPARTED_LOSS_MS = 10_000;

export interface LossBudgetSettings {
  readonly now: () => number;
  readonly limit: LossLimit;
  /** The size of the fleet that the contract is about. */
  readonly nodes: number;
  /** How many control machines are there now, lost or not. */
  readonly presentCount: () => number;
  /** Whether the loss of a machine's disk, or of the machine for good, has been made good. */
  readonly isRecovered: (node: string, isForGood: boolean) => boolean;
}

/**
 * How many control machines are lost at a moment, as the contract counts: while a fault is on them and
 * for a while after, and how many more may be.
 */
export class LossBudget {
  readonly #settings: LossBudgetSettings;
  /** How many faults are on a machine now. */
  readonly #activeFaults = new Map<string, number>();
  readonly #returnedAt = new Map<string, number>();
  /** Whose disk was lost, and whether the machine is to leave for good with it. */
  readonly #lostDisks = new Map<string, boolean>();
  /** When machines left for good or lost their disks. */
  readonly #diskLostAt = new Map<string, number>();
  #isExceeded = false;
  #departures = 0;
  #countedDepartures = 0;

  constructor(settings: LossBudgetSettings) {
    this.#settings = settings;
  }

  begin(node: string): void {
    this.#activeFaults.set(node, (this.#activeFaults.get(node) ?? 0) + 1);
  }

  end(node: string): void {
    this.#activeFaults.set(node, Math.max(0, (this.#activeFaults.get(node) ?? 0) - 1));
    this.#returnedAt.set(node, this.#settings.now());
  }

  loseDisk(node: string, isPermanent: boolean): void {
    this.#lostDisks.set(node, isPermanent);
    this.#diskLostAt.set(node, this.#settings.now());
    if (this.#countRecentDiskLosses() > toleratedLosses(this.#settings.nodes))
      this.#isExceeded = true;
  }

  /** A machine left for good, and nobody comes for it. */
  leave(): void {
    this.#departures += 1;
    this.#countedDepartures += 1;
  }

  /** One that left for good counts no longer, and the fleet is that much smaller. */
  forgetDeparted(node: string): void {
    this.#countedDepartures -= 1;
    this.release(node);
  }

  /** A machine that is gone stops counting at once. */
  release(node: string): void {
    this.#activeFaults.delete(node);
    this.#returnedAt.delete(node);
  }

  /** How long a machine that left for good counts as lost. */
  get departedLossMs(): number {
    return DEPARTED_LOSS_MS;
  }

  /**
   * Whether more disks were lost within the time to catch up than the contract tolerates, voters' or not: one that left may
   * just then have been taken for a spare. Nobody need ever lead again then, and all else must hold.
   */
  get isExceeded(): boolean {
    return this.#isExceeded;
  }

  isLost(node: string): boolean {
    if ((this.#activeFaults.get(node) ?? 0) > 0) return true;
    return this.#settings.now() < (this.#returnedAt.get(node) ?? -Infinity) + CATCH_UP_MS;
  }

  /** Whether these machines may be lost beside those that are. */
  mayLose(nodes: readonly string[]): boolean {
    if (this.#settings.limit !== 'tolerated') return true;
    return this.#countWith(nodes) <= this.#maxLost();
  }

  /** Disks are never lost in any number: nothing could then be kept. */
  mayLoseDisks(nodes: readonly string[]): boolean {
    if (this.#settings.limit === 'tolerated') return this.mayLose(nodes);
    if (this.#settings.limit === 'unlimited') return true;
    const lost = new Set(nodes);
    for (const [node, isPermanent] of this.#lostDisks) {
      if (this.#settings.isRecovered(node, isPermanent)) this.#lostDisks.delete(node);
      else lost.add(node);
    }
    return lost.size <= toleratedLosses(this.#settings.nodes);
  }

  mayLeave(): boolean {
    return this.#departures < toleratedLosses(this.#settings.nodes);
  }

  #countWith(nodes: readonly string[]): number {
    const lost = new Set(nodes);
    for (const node of this.#activeFaults.keys()) if (this.isLost(node)) lost.add(node);
    return lost.size;
  }

  #countRecentDiskLosses(): number {
    let count = 0;
    const since = this.#settings.now() - CATCH_UP_MS;
    for (const at of this.#diskLostAt.values()) if (at > since) count += 1;
    return count;
  }

  /** A fleet that has become smaller for good bears less. */
  #maxLost(): number {
    const { nodes, presentCount: present } = this.#settings;
    return Math.min(toleratedLosses(nodes), toleratedLosses(present() + this.#countedDepartures));
  }
}

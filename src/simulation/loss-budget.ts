import { CATCH_UP_MS } from './contract-bounds.js';
import { toleratedLosses, type LossLimit } from './options.js';

/** A machine that left without a replacement counts as lost for this time; after that the fleet counts as smaller. */
const DEPARTED_LOSS_MS = 10_000;

/** What a loss budget is created with. */
export interface LossBudgetSettings {
  /** True time. */
  readonly now: () => number;
  /** Which losses the run allows. */
  readonly limit: LossLimit;
  /** The size of the fleet for which the contract states the tolerated losses. */
  readonly nodes: number;
  /** Number of control machines in the fleet now, lost or not. */
  readonly presentCount: () => number;
  /** Whether the fleet has recovered from the loss of the disk of a machine, or of the machine itself if permanent. */
  readonly isRecovered: (node: string, isPermanent: boolean) => boolean;
}

/**
 * Counts the lost control machines as the contract does, while a fault affects them and until they have had time to catch
 * up, and decides how many more may be lost.
 */
export class LossBudget {
  readonly #settings: LossBudgetSettings;
  /** Number of active faults by machine. */
  readonly #activeFaults = new Map<string, number>();
  readonly #returnedAt = new Map<string, number>();
  /** Machines whose disk was lost, and whether the machine leaves permanently with it. */
  readonly #lostDisks = new Map<string, boolean>();
  /** When machines left permanently or lost their disks. */
  readonly #diskLostAt = new Map<string, number>();
  #isExceeded = false;
  #departures = 0;
  #countedDepartures = 0;

  constructor(settings: LossBudgetSettings) {
    this.#settings = settings;
  }

  /** Records that a fault begins to affect a machine. */
  begin(node: string): void {
    this.#activeFaults.set(node, (this.#activeFaults.get(node) ?? 0) + 1);
  }

  /** Records that a fault no longer affects a machine. */
  end(node: string): void {
    this.#activeFaults.set(node, Math.max(0, (this.#activeFaults.get(node) ?? 0) - 1));
    this.#returnedAt.set(node, this.#settings.now());
  }

  /** Records the loss of a disk. */
  loseDisk(node: string, isPermanent: boolean): void {
    this.#lostDisks.set(node, isPermanent);
    this.#diskLostAt.set(node, this.#settings.now());
    if (this.#countRecentDiskLosses() > toleratedLosses(this.#settings.nodes))
      this.#isExceeded = true;
  }

  /** Records that a machine left permanently and is not replaced. */
  leave(): void {
    this.#departures += 1;
    this.#countedDepartures += 1;
  }

  /** Stops counting a machine that left as lost: the fleet counts as smaller from now on. */
  forgetDeparted(node: string): void {
    this.#countedDepartures -= 1;
    this.release(node);
  }

  /** Stops counting a machine that has left as lost, at once. */
  release(node: string): void {
    this.#activeFaults.delete(node);
    this.#returnedAt.delete(node);
  }

  /** How long a machine that left without a replacement counts as lost, in milliseconds. */
  get departedLossMs(): number {
    return DEPARTED_LOSS_MS;
  }

  /**
   * Whether more disks were lost within the time to catch up than the contract tolerates, of voters or not: a voter that
   * left may have been replaced by a spare just then. A leader need not be elected again in that case, but all other
   * rules hold.
   */
  get isExceeded(): boolean {
    return this.#isExceeded;
  }

  /** Whether a machine counts as lost now. */
  isLost(node: string): boolean {
    if ((this.#activeFaults.get(node) ?? 0) > 0) return true;
    return this.#settings.now() < (this.#returnedAt.get(node) ?? -Infinity) + CATCH_UP_MS;
  }

  /** Whether these machines may be lost in addition to those that are. */
  mayLose(nodes: readonly string[]): boolean {
    if (this.#settings.limit !== 'tolerated') return true;
    return this.#countWith(nodes) <= this.#maxLost();
  }

  /**
   * Whether the disks of these machines may be lost. Unless losses are unlimited, the number of lost disks that are not
   * recovered is bounded even where any number of machines may be lost: no data could survive the loss of more.
   */
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

  /** Whether a further machine may leave without a replacement. */
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

  /** A fleet that has become permanently smaller tolerates fewer losses. */
  #maxLost(): number {
    const { nodes, presentCount: present } = this.#settings;
    return Math.min(toleratedLosses(nodes), toleratedLosses(present() + this.#countedDepartures));
  }
}

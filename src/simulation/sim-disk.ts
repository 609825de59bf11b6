import { compareVersions, type Version } from '../common/version.js';
import type { PartitionName } from '../common/ids.js';
import type { StoredPartition } from '../state/store.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { Seeded } from '../rehearsal/seeded.js';

export type DiskTrouble = 'none' | 'slow' | 'stalled' | 'full';

/** What became of the names and bytes of writes under way when the power went. */
export type UnsyncedFate = 'kept' | 'lost' | 'drawn';

interface Write {
  readonly partition: PartitionName;
  readonly version: Version;
  readonly body: string;
  readonly done: (() => void)[];
  readonly fail: (() => void)[];
}

interface LoggedWrite {
  readonly at: number;
  readonly stored: StoredPartition;
}

/** One write with its syncs on a disk without trouble. */
const MIN_WRITE_MS = 0.5;
const MAX_WRITE_MS = 5;
const SLOW_FACTOR = 30;
const REFUSAL_DELAY_MS = 1;
/** How far back an old state may lie, and how many writes are remembered before older ones go. */
const LOG_RETENTION_MS = 12_000;
const MAX_LOGGED_WRITES = 1000;

/**
 * The disk of a control node, with the store's own rules: whole versions of parts, one write of a
 * part at a time, a waiting write replaced by a newer one that answers for both. A write counts as
 * done once it is synced; one that was under way at a crash may be found or not.
 */
export class SimDisk {
  readonly #scheduler: Scheduler;
  readonly #random: Seeded;
  readonly #partitions = new Map<PartitionName, StoredPartition>();
  /** What was kept lately, so that an old state can be put back; older than that only the newest of each part. */
  #log: LoggedWrite[] = [];
  readonly #waiting = new Map<PartitionName, Write>();
  readonly #active = new Map<PartitionName, Write>();
  #stalled: (() => void)[] = [];
  #crashes = 0;
  #trouble: DiskTrouble = 'none';
  #writes = 0;

  constructor(scheduler: Scheduler, random: Seeded) {
    this.#scheduler = scheduler;
    this.#random = random;
  }

  get trouble(): DiskTrouble {
    return this.#trouble;
  }

  get writes(): number {
    return this.#writes;
  }

  list(): readonly StoredPartition[] {
    return [...this.#partitions.values()];
  }

  partition(partition: PartitionName): StoredPartition | undefined {
    return this.#partitions.get(partition);
  }

  setTrouble(trouble: DiskTrouble): void {
    this.#trouble = trouble;
    if (trouble === 'stalled') return;
    const stalled = this.#stalled;
    this.#stalled = [];
    for (const run of stalled) run();
  }

  /** Runs once the disk answers. */
  whenResponsive(run: () => void): void {
    if (this.#trouble === 'stalled') this.#stalled.push(run);
    else run();
  }

  write(
    partition: PartitionName,
    version: Version,
    body: string,
    done: () => void,
    fail: () => void,
  ): void {
    const before = this.#waiting.get(partition);
    if (before && compareVersions(before.version, version) > 0) {
      before.done.push(done);
      before.fail.push(fail);
    } else {
      const dones = [...(before?.done ?? []), done];
      const fails = [...(before?.fail ?? []), fail];
      this.#waiting.set(partition, { partition, version, body, done: dones, fail: fails });
    }
    if (!this.#active.has(partition)) this.#startNext(partition);
  }

  /** The process ended; what it had under way may have reached the disk. */
  crash(fate: UnsyncedFate): void {
    this.#crashes += 1;
    for (const write of this.#active.values()) {
      const isPersisted = fate === 'kept' || (fate === 'drawn' && this.#random.isLikely(0.5));
      if (isPersisted) this.#persist(write);
    }
    this.#active.clear();
    this.#waiting.clear();
    this.#stalled = [];
  }

  wipe(): void {
    this.#partitions.clear();
    this.#log = [];
  }

  /** Puts the disk back to what it held at that moment. */
  restore(moment: number): void {
    const log = this.#log.filter((kept) => kept.at <= moment);
    this.wipe();
    for (const { stored } of log) this.#put(stored);
    this.#log = log;
  }

  #startNext(partition: PartitionName): void {
    const write = this.#waiting.get(partition);
    if (!write) return;
    this.#waiting.delete(partition);
    this.#active.set(partition, write);
    const factor = this.#trouble === 'slow' ? SLOW_FACTOR : 1;
    const millis = this.#random.between(MIN_WRITE_MS, MAX_WRITE_MS) * factor;
    const crashes = this.#crashes;
    const finish = () => this.#finish(write, crashes);
    const finishWhenResponsive = () => this.whenResponsive(finish);
    if (this.#trouble === 'full')
      this.#scheduler.after(REFUSAL_DELAY_MS, () => this.#refuse(write, crashes));
    else this.#scheduler.after(millis, finishWhenResponsive);
  }

  #finish(write: Write, crashes: number): void {
    if (crashes !== this.#crashes) return;
    this.#active.delete(write.partition);
    this.#writes += 1;
    this.#persist(write);
    for (const done of write.done) done();
    if (!this.#active.has(write.partition)) this.#startNext(write.partition);
  }

  #refuse(write: Write, crashes: number): void {
    if (crashes !== this.#crashes) return;
    this.#active.delete(write.partition);
    for (const fail of write.fail) fail();
    if (!this.#active.has(write.partition)) this.#startNext(write.partition);
  }

  #persist(write: Write): void {
    const stored = {
      partition: write.partition,
      version: write.version,
      body: write.body,
      isIntact: true,
    };
    this.#log.push({ at: this.#scheduler.now, stored });
    if (this.#log.length > MAX_LOGGED_WRITES) this.#trimLog();
    this.#put(stored);
  }

  #trimLog(): void {
    const until = this.#scheduler.now - LOG_RETENTION_MS;
    const newest = new Map<PartitionName, LoggedWrite>();
    for (const kept of this.#log) if (kept.at <= until) newest.set(kept.stored.partition, kept);
    const recent = this.#log.filter((kept) => kept.at > until);
    this.#log = [...newest.values(), ...recent];
  }

  /** Of the files of a part the one with the newest name counts, whichever was written last. */
  #put(stored: StoredPartition): void {
    const known = this.#partitions.get(stored.partition);
    if (known && compareVersions(stored.version, known.version) < 0) return;
    this.#partitions.set(stored.partition, stored);
  }
}

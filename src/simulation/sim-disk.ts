import { compareVersions, type Version } from '../common/version.js';
import type { PartitionName } from '../common/ids.js';
import type { StoredPartition } from '../state/store.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { SeededRandom } from '../rehearsal/seeded-random.js';

/** A fault of a disk: slow writes, no answers until it ends, or refused writes. */
export type DiskTrouble = 'none' | 'slow' | 'stalled' | 'full';

/** What happens at a crash to writes in progress: all persisted, all lost, or drawn for each. */
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

/** Range of the time of one write including its syncs, on a disk without a fault. */
const MIN_WRITE_MS = 0.5;
const MAX_WRITE_MS = 5;
const SLOW_FACTOR = 30;
const REFUSAL_DELAY_MS = 1;
/** How far back a state can be restored, and the number of logged writes above which older ones are removed. */
const LOG_RETENTION_MS = 12_000;
const MAX_LOGGED_WRITES = 1000;

/**
 * The disk of a control node, with the rules of the store: whole versions of partitions, one write of a partition at a
 * time, and a waiting write is replaced by a newer one, with which both complete. A write is done once it is synced; one
 * that was in progress at a crash may have been persisted or not.
 */
export class SimDisk {
  readonly #scheduler: Scheduler;
  readonly #random: SeededRandom;
  readonly #partitions = new Map<PartitionName, StoredPartition>();
  /** Recent writes, so that an old state can be restored; of older writes only the newest of each partition. */
  #log: LoggedWrite[] = [];
  readonly #waiting = new Map<PartitionName, Write>();
  readonly #active = new Map<PartitionName, Write>();
  #stalled: (() => void)[] = [];
  #crashes = 0;
  #trouble: DiskTrouble = 'none';
  #writes = 0;

  constructor(scheduler: Scheduler, random: SeededRandom) {
    this.#scheduler = scheduler;
    this.#random = random;
  }

  /** The current fault of the disk. */
  get trouble(): DiskTrouble {
    return this.#trouble;
  }

  /** Number of completed writes. */
  get writes(): number {
    return this.#writes;
  }

  /** All stored partitions. */
  list(): readonly StoredPartition[] {
    return [...this.#partitions.values()];
  }

  /** The stored version of a partition; `undefined` if there is none. */
  partition(partition: PartitionName): StoredPartition | undefined {
    return this.#partitions.get(partition);
  }

  /** Begins or ends a fault; writes that had stalled complete at its end. */
  setTrouble(trouble: DiskTrouble): void {
    this.#trouble = trouble;
    if (trouble === 'stalled') return;
    const stalled = this.#stalled;
    this.#stalled = [];
    for (const run of stalled) run();
  }

  /** Calls a function once the disk is not stalled. */
  whenResponsive(run: () => void): void {
    if (this.#trouble === 'stalled') this.#stalled.push(run);
    else run();
  }

  /** Starts or queues a write of a partition; `done` is called once it is synced, `fail` if it was refused. */
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

  /** The process ended: drops all waiting writes; those in progress may be persisted. */
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

  /** Deletes everything. */
  wipe(): void {
    this.#partitions.clear();
    this.#log = [];
  }

  /** Restores the state of the disk at an earlier time. */
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

  /** Of the files of a partition the one with the newest version counts, whichever was written last. */
  #put(stored: StoredPartition): void {
    const known = this.#partitions.get(stored.partition);
    if (known && compareVersions(stored.version, known.version) < 0) return;
    this.#partitions.set(stored.partition, stored);
  }
}

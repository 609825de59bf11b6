import { createHash } from 'node:crypto';
import { mkdir, open, readdir, readFile, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { is, number, string, type } from 'superstruct';
import {
  CorruptFileError,
  DiskWriteError,
  type HaretrackError,
  reasonOf,
} from '../common/errors.js';
import { partitionName, type PartitionName } from '../common/ids.js';
import { compareVersions, NO_VERSION, type Version } from '../common/version.js';
import type { Store, StoredPartition } from './store.js';

const FileShape = type({
  part: string(),
  epoch: number(),
  count: number(),
  digest: string(),
  body: string(),
});

interface PendingWrite {
  readonly version: Version;
  readonly body: string;
  readonly resolvers: (() => void)[];
  readonly rejecters: ((thrown: unknown) => void)[];
}

/** Number of versions of a partition that are retained on disk: the newest, and the previous one for inspection after a fault. */
const RETAINED_VERSIONS = 2;

/** SHA-256 over name, version and body in hexadecimal, stored in every file. */
export function digestOf(partition: string, version: Version, body: string): string {
  return createHash('sha256')
    .update(`${partition}\n${version.epoch}\n${version.count}\n${body}`)
    .digest('hex');
}

function isPartitionFolder(name: string): boolean {
  return /^[a-z0-9-]+$/.test(name);
}

/** The file operations of a store; tests replace them to inject faults. */
export interface Disk {
  /** Writes a file and syncs its content. */
  writeSynced(path: string, text: string): Promise<void>;
  /** Renames a file; durable only after `syncFolder`. */
  rename(from: string, to: string): Promise<void>;
  /** Syncs the entries of a folder. */
  syncFolder(path: string): Promise<void>;
}

/** The file system, through Node.js. */
export class NodeDisk implements Disk {
  /** Writes a file and syncs its content. */
  async writeSynced(path: string, text: string): Promise<void> {
    const file = await open(path, 'w');
    try {
      await file.writeFile(text, 'utf8');
      await file.sync();
    } finally {
      await file.close();
    }
  }

  /** Renames a file; durable only after `syncFolder`. */
  async rename(from: string, to: string): Promise<void> {
    await rename(from, to);
  }

  /** Syncs the entries of a folder. */
  async syncFolder(path: string): Promise<void> {
    const folder = await open(path, 'r');
    try {
      await folder.sync();
    } finally {
      await folder.close();
    }
  }
}

/**
 * Stores each partition in a folder and each version in a file. A version is written to a temporary file, synced and renamed;
 * then the folder is synced.
 */
export class FileStore implements Store {
  readonly #root: string;
  readonly #disk: Disk;
  readonly #pending = new Map<PartitionName, PendingWrite>();
  readonly #writing = new Set<PartitionName>();
  /** Partitions whose folder is durable, with all parent folders that this process may have created. */
  readonly #syncedFolders = new Set<PartitionName>();
  readonly #report: (defect: HaretrackError) => void;

  constructor(root: string, report: (defect: HaretrackError) => void, disk: Disk = new NodeDisk()) {
    this.#root = root;
    this.#report = report;
    this.#disk = disk;
  }

  /** Reads the newest valid version of every partition; an invalid file is reported as a `CorruptFileError`. */
  async readAll(): Promise<readonly StoredPartition[]> {
    await mkdir(this.#root, { recursive: true });
    const partitions: StoredPartition[] = [];
    for (const entry of await readdir(this.#root, { withFileTypes: true })) {
      if (!entry.isDirectory() || !isPartitionFolder(entry.name)) continue;
      const stored = await this.#readPartition(partitionName(entry.name));
      if (stored) partitions.push(stored);
    }
    return partitions;
  }

  async #readPartition(partition: PartitionName): Promise<StoredPartition | undefined> {
    const folder = join(this.#root, partition);
    const names = await readdir(folder);
    const versions: Version[] = [];
    for (const name of names) {
      const match = /^(\d+)\.(\d+)\.json$/.exec(name);
      // A version exists only once it is renamed; a write that was interrupted earlier was never acknowledged.
      if (match) versions.push({ epoch: Number(match[1]), count: Number(match[2]) });
    }
    versions.sort(compareVersions).reverse();
    let isIntact = true;
    for (const version of versions) {
      const name = `${version.epoch}.${version.count}.json`;
      try {
        const raw: unknown = JSON.parse(await readFile(join(folder, name), 'utf8'));
        if (
          !is(raw, FileShape) ||
          raw.part !== partition ||
          raw.digest !== digestOf(partition, version, raw.body)
        )
          throw new Error('invalid fields or digest');
        return { partition, version, body: raw.body, isIntact };
      } catch (thrown) {
        // The corrupt version may have been acknowledged: an older one can be inspected, but must not replace it.
        isIntact = false;
        this.#report(new CorruptFileError(`${partition}/${name}: ${reasonOf(thrown)}`));
      }
    }
    return isIntact ? undefined : { partition, version: NO_VERSION, body: '', isIntact };
  }

  /** Writes a version; a failure is reported as a `DiskWriteError` and rejects with the system error. */
  write(partition: PartitionName, version: Version, body: string): Promise<void> {
    return new Promise((resolve, reject) =>
      this.#enqueue(partition, version, body, resolve, reject),
    );
  }

  #enqueue(
    partition: PartitionName,
    version: Version,
    body: string,
    resolve: () => void,
    reject: (thrown: unknown) => void,
  ): void {
    const queued = this.#pending.get(partition);
    // On a slow disk only the newest queued version is written; it also completes the writes of the older ones.
    if (queued && compareVersions(queued.version, version) > 0) {
      queued.resolvers.push(resolve);
      queued.rejecters.push(reject);
    } else {
      this.#pending.set(partition, {
        version,
        body,
        resolvers: [...(queued?.resolvers ?? []), resolve],
        rejecters: [...(queued?.rejecters ?? []), reject],
      });
    }
    if (!this.#writing.has(partition)) void this.#writePending(partition);
  }

  async #writePending(partition: PartitionName): Promise<void> {
    this.#writing.add(partition);
    for (let next = this.#pending.get(partition); next; next = this.#pending.get(partition)) {
      this.#pending.delete(partition);
      try {
        await this.#writeFile(partition, next.version, next.body);
        for (const resolve of next.resolvers) resolve();
      } catch (thrown) {
        this.#report(new DiskWriteError(`${partition}: ${reasonOf(thrown)}`));
        for (const reject of next.rejecters) reject(thrown);
      }
    }
    this.#writing.delete(partition);
  }

  async #writeFile(partition: PartitionName, version: Version, body: string): Promise<void> {
    const folder = join(this.#root, partition);
    await mkdir(folder, { recursive: true });
    // Synced even if the folder exists: an earlier attempt may have created it and failed to sync its parent folders.
    if (!this.#syncedFolders.has(partition)) {
      for (const parent of [this.#root, join(this.#root, '..'), join(this.#root, '..', '..')])
        await this.#disk.syncFolder(parent);
      this.#syncedFolders.add(partition);
    }
    const name = `${version.epoch}.${version.count}.json`;
    const text = JSON.stringify({
      part: partition,
      ...version,
      digest: digestOf(partition, version, body),
      body,
    });
    await this.#disk.writeSynced(join(folder, `${name}.aside`), text);
    await this.#disk.rename(join(folder, `${name}.aside`), join(folder, name));
    await this.#disk.syncFolder(folder);
    await this.#removeOldVersions(folder);
  }

  async #removeOldVersions(folder: string): Promise<void> {
    const versions: Version[] = [];
    for (const name of await readdir(folder)) {
      const match = /^(\d+)\.(\d+)\.json$/.exec(name);
      if (match) versions.push({ epoch: Number(match[1]), count: Number(match[2]) });
    }
    versions.sort(compareVersions).reverse();
    for (const old of versions.slice(RETAINED_VERSIONS))
      await rm(join(folder, `${old.epoch}.${old.count}.json`), { force: true });
  }
}

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
  readonly resolve: (() => void)[];
  readonly reject: ((thrown: unknown) => void)[];
}

/** Versions of a partition that stay on disk: the newest, and the one before it for inspection after a fault. */
const RETAINED_VERSIONS = 2;

/** SHA-256 over name, version and body, in hexadecimal; part of every stored file. */
export function digestOf(partition: string, version: Version, body: string): string {
  return createHash('sha256')
    .update(`${partition}\n${version.epoch}\n${version.count}\n${body}`)
    .digest('hex');
}

function isPartitionFolder(name: string): boolean {
  return /^[a-z0-9-]+$/.test(name);
}

/** The file operations that a store needs; tests replace them to inject faults. */
export interface Disk {
  writeSynced(path: string, text: string): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  syncFolder(path: string): Promise<void>;
}

/** The file system of the machine. */
export class NodeDisk implements Disk {
  /** Writes a file and syncs it. */
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

  /** Syncs a folder's entries. */
  async syncFolder(path: string): Promise<void> {
    const folder = await open(path, 'r');
    try {
      await folder.sync();
    } finally {
      await folder.close();
    }
  }
}

/** A folder for each partition, a file for each version. A version is written under another name, synced, renamed, and its folder synced. */
export class FileStore implements Store {
  readonly #root: string;
  readonly #disk: Disk;
  readonly #pending = new Map<PartitionName, PendingWrite>();
  readonly #busy = new Set<PartitionName>();
  /** Partitions whose folder is durable, with all folders above it that this process may have made. */
  readonly #syncedFolders = new Set<PartitionName>();
  readonly #report: (defect: HaretrackError) => void;

  constructor(root: string, tell: (defect: HaretrackError) => void, disk: Disk = new NodeDisk()) {
    this.#root = root;
    this.#report = tell;
    this.#disk = disk;
  }

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
      // A version exists only once renamed; a write that stopped before that was never acknowledged.
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
          throw new Error('its digest does not match');
        return { partition, version, body: raw.body, isIntact };
      } catch (thrown) {
        // The newest version may have been acknowledged: an older one may be inspected, but must not replace it.
        isIntact = false;
        this.#report(new CorruptFileError(`${partition}/${name}: ${reasonOf(thrown)}`));
      }
    }
    return isIntact ? undefined : { partition, version: NO_VERSION, body: '', isIntact };
  }

  write(partition: PartitionName, version: Version, body: string): Promise<void> {
    return new Promise((done, fail) => this.#enqueue(partition, version, body, done, fail));
  }

  #enqueue(
    partition: PartitionName,
    version: Version,
    body: string,
    done: () => void,
    fail: (thrown: unknown) => void,
  ): void {
    const before = this.#pending.get(partition);
    // On a slow disk only the newest version is written; those that wait for an older one are resolved by it.
    if (before && compareVersions(before.version, version) > 0) {
      before.resolve.push(done);
      before.reject.push(fail);
    } else {
      this.#pending.set(partition, {
        version,
        body,
        resolve: [...(before?.resolve ?? []), done],
        reject: [...(before?.reject ?? []), fail],
      });
    }
    if (!this.#busy.has(partition)) void this.#writePending(partition);
  }

  async #writePending(partition: PartitionName): Promise<void> {
    this.#busy.add(partition);
    for (let next = this.#pending.get(partition); next; next = this.#pending.get(partition)) {
      this.#pending.delete(partition);
      try {
        await this.#writeFile(partition, next.version, next.body);
        for (const done of next.resolve) done();
      } catch (thrown) {
        this.#report(new DiskWriteError(`${partition}: ${reasonOf(thrown)}`));
        for (const fail of next.reject) fail(thrown);
      }
    }
    this.#busy.delete(partition);
  }

  async #writeFile(partition: PartitionName, version: Version, body: string): Promise<void> {
    const folder = join(this.#root, partition);
    await mkdir(folder, { recursive: true });
    // Synced even if the folder is there: an earlier attempt may have made it and failed to sync the folders above.
    if (!this.#syncedFolders.has(partition)) {
      for (const above of [this.#root, join(this.#root, '..'), join(this.#root, '..', '..')])
        await this.#disk.syncFolder(above);
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

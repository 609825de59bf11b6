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

/** How many versions of a part stay on disk: the newest, and the one before it to look at after a defect. */
const RETAINED_VERSIONS = 2;

export function digestOf(partition: string, version: Version, body: string): string {
  return createHash('sha256')
    .update(`${partition}\n${version.epoch}\n${version.count}\n${body}`)
    .digest('hex');
}

function isPartitionFolder(name: string): boolean {
  return /^[a-z0-9-]+$/.test(name);
}

/** The file operations a store needs, so that tests can tear them. */
export interface Disk {
  writeSynced(path: string, text: string): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  syncFolder(path: string): Promise<void>;
}

export class NodeDisk implements Disk {
  async writeSynced(path: string, text: string): Promise<void> {
    const file = await open(path, 'w');
    try {
      await file.writeFile(text, 'utf8');
      await file.sync();
    } finally {
      await file.close();
    }
  }

  async rename(from: string, to: string): Promise<void> {
    await rename(from, to);
  }

  async syncFolder(path: string): Promise<void> {
    const folder = await open(path, 'r');
    try {
      await folder.sync();
    } finally {
      await folder.close();
    }
  }
}

/** One folder a part, one file a version: written aside, synced, renamed, folder synced. */
export class FileStore implements Store {
  readonly #root: string;
  readonly #disk: Disk;
  readonly #pending = new Map<PartitionName, PendingWrite>();
  readonly #busy = new Set<PartitionName>();
  /** Parts whose folder is known to last, with all folders above it that we may have made. */
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
      // Only a rename makes a version; what was being written aside was never told as kept.
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
        // The newest version was told as kept: an older one may be shown, but must not stand in for it.
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
    // A slow disk owes only the newest version of a part; those that wait with an older one are served by it.
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
    // Not only when we make it: making it may have gone well, and syncing the folder above it not.
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

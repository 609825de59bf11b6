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

interface Waiting {
  readonly version: Version;
  readonly body: string;
  readonly done: (() => void)[];
  readonly fail: ((thrown: unknown) => void)[];
}

/** How many versions of a part stay on disk: the newest, and the one before it to look at after a defect. */
const KEPT_FILES = 2;

export function digestOf(partition: string, version: Version, body: string): string {
  return createHash('sha256')
    .update(`${partition}\n${version.epoch}\n${version.count}\n${body}`)
    .digest('hex');
}

function isName(name: string): boolean {
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
  readonly #waiting = new Map<PartitionName, Waiting>();
  readonly #busy = new Set<PartitionName>();
  /** Parts whose folder is known to last, with all folders above it that we may have made. */
  readonly #lasting = new Set<PartitionName>();
  readonly #tell: (defect: HaretrackError) => void;

  constructor(root: string, tell: (defect: HaretrackError) => void, disk: Disk = new NodeDisk()) {
    this.#root = root;
    this.#tell = tell;
    this.#disk = disk;
  }

  async readAll(): Promise<readonly StoredPartition[]> {
    await mkdir(this.#root, { recursive: true });
    const partitions: StoredPartition[] = [];
    for (const entry of await readdir(this.#root, { withFileTypes: true })) {
      if (!entry.isDirectory() || !isName(entry.name)) continue;
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
    let isSound = true;
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
        return { partition, version, body: raw.body, isSound };
      } catch (thrown) {
        // The newest version was told as kept: an older one may be shown, but must not stand in for it.
        isSound = false;
        this.#tell(new CorruptFileError(`${partition}/${name}: ${reasonOf(thrown)}`));
      }
    }
    return isSound ? undefined : { partition, version: NO_VERSION, body: '', isSound };
  }

  write(partition: PartitionName, version: Version, body: string): Promise<void> {
    return new Promise((done, fail) => this.#announce(partition, version, body, done, fail));
  }

  #announce(
    partition: PartitionName,
    version: Version,
    body: string,
    done: () => void,
    fail: (thrown: unknown) => void,
  ): void {
    const before = this.#waiting.get(partition);
    // A slow disk owes only the newest version of a part; those that wait with an older one are served by it.
    if (before && compareVersions(before.version, version) > 0) {
      before.done.push(done);
      before.fail.push(fail);
    } else {
      this.#waiting.set(partition, {
        version,
        body,
        done: [...(before?.done ?? []), done],
        fail: [...(before?.fail ?? []), fail],
      });
    }
    if (!this.#busy.has(partition)) void this.#work(partition);
  }

  async #work(partition: PartitionName): Promise<void> {
    this.#busy.add(partition);
    for (let next = this.#waiting.get(partition); next; next = this.#waiting.get(partition)) {
      this.#waiting.delete(partition);
      try {
        await this.#writeFile(partition, next.version, next.body);
        for (const done of next.done) done();
      } catch (thrown) {
        this.#tell(new DiskWriteError(`${partition}: ${reasonOf(thrown)}`));
        for (const fail of next.fail) fail(thrown);
      }
    }
    this.#busy.delete(partition);
  }

  async #writeFile(partition: PartitionName, version: Version, body: string): Promise<void> {
    const folder = join(this.#root, partition);
    await mkdir(folder, { recursive: true });
    // Not only when we make it: making it may have gone well, and syncing the folder above it not.
    if (!this.#lasting.has(partition)) {
      for (const above of [this.#root, join(this.#root, '..'), join(this.#root, '..', '..')])
        await this.#disk.syncFolder(above);
      this.#lasting.add(partition);
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
    await this.#sweep(folder);
  }

  async #sweep(folder: string): Promise<void> {
    const versions: Version[] = [];
    for (const name of await readdir(folder)) {
      const match = /^(\d+)\.(\d+)\.json$/.exec(name);
      if (match) versions.push({ epoch: Number(match[1]), count: Number(match[2]) });
    }
    versions.sort(compareVersions).reverse();
    for (const old of versions.slice(KEPT_FILES))
      await rm(join(folder, `${old.epoch}.${old.count}.json`), { force: true });
  }
}

import { describe, expect, test } from 'vitest';
import type { HaretrackError } from '../common/errors.js';
import { partitionName } from '../common/ids.js';
import { FileStore, NodeDisk } from './file-store.js';
import { MemoryStore } from './memory-store.js';
import type { Store } from './store.js';
import { mkdir, mkdtemp, readFile, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const partition = partitionName('p1');
const reported: HaretrackError[] = [];
function report(defect: HaretrackError): void {
  reported.push(defect);
}
async function makeTempFolder(): Promise<string> {
  return mkdtemp(join(tmpdir(), 'file-store-'));
}
/** The tests of every store: versions whose write has resolved are read back after a restart. */
function contract(name: string, make: () => Promise<{ store: Store; reopen: () => Store }>): void {
  async function checkNewest(): Promise<void> {
    const { store, reopen } = await make();
    await store.write(partition, { epoch: 2, count: 9 }, 'old');
    await store.write(partition, { epoch: 4, count: 1 }, 'new');
    await store.write(partitionName('p2'), { epoch: 2, count: 1 }, 'other');
    const all = [...(await reopen().readAll())];
    expect(all).toContainEqual({
      partition,
      version: { epoch: 4, count: 1 },
      body: 'new',
      isIntact: true,
    });
    expect(all).toHaveLength(2);
  }
  async function checkBurst(): Promise<void> {
    const { store, reopen } = await make();
    const writes = [];
    for (let count = 1; count <= 30; count += 1)
      writes.push(store.write(partition, { epoch: 2, count }, `body ${count}`));
    await Promise.all(writes);
    expect((await reopen().readAll())[0]?.body).toBe('body 30');
  }
  describe(name, () => {
    test('reads back the newest version of each partition', checkNewest);
    test('reads back the newest version of a burst of writes', checkBurst);
  });
}
async function makeFiles(): Promise<{ store: Store; reopen: () => Store }> {
  const root = await makeTempFolder();
  function reopen(): Store {
    return new FileStore(root, report);
  }
  return { store: reopen(), reopen };
}
async function makeMemory(): Promise<{ store: Store; reopen: () => Store }> {
  const store = new MemoryStore();
  function reopen(): Store {
    store.crash();
    return store;
  }
  return { store, reopen };
}
contract('files', makeFiles);
contract('memory', makeMemory);
/** A disk whose power is cut while it writes a file or before it syncs a folder. */
class PowerCutDisk extends NodeDisk {
  failingStep = '';
  override async writeSynced(path: string, text: string): Promise<void> {
    if (this.failingStep === 'write') {
      await writeFile(path, text.slice(0, 20));
      throw new Error('power cut while writing');
    }
    await super.writeSynced(path, text);
  }
  override async syncFolder(path: string): Promise<void> {
    if (this.failingStep === 'folder') throw new Error('power cut before the folder was synced');
    await super.syncFolder(path);
  }
}
function codeOf(defect: HaretrackError): string {
  return defect.code;
}
/** A disk on which writes of the partition p1 stall until the test resumes them. */
class StallingDisk extends NodeDisk {
  #resume: () => void = doNothing;
  #reportStalled: () => void = doNothing;
  readonly stalled = new Promise<void>((done) => this.#onStalled(done));
  #onStalled(done: () => void): void {
    this.#reportStalled = done;
  }
  override async writeSynced(path: string, text: string): Promise<void> {
    if (path.includes('/p1/')) await new Promise<void>((done) => this.#stall(done));
    await super.writeSynced(path, text);
  }
  #stall(done: () => void): void {
    this.#resume = done;
    this.#reportStalled();
  }
  resume(): void {
    this.#resume();
  }
}
function doNothing(): void {
  /* no write has stalled yet */
}
/** A disk on which temporarily no file can be written, or no folder synced. */
class FullDisk extends NodeDisk {
  failingStep = '';
  readonly synced: string[] = [];
  override async writeSynced(path: string, text: string): Promise<void> {
    if (this.failingStep === 'write') throw new Error('ENOSPC: no space left on device');
    await super.writeSynced(path, text);
  }
  override async syncFolder(path: string): Promise<void> {
    if (this.failingStep === 'folder') throw new Error('EIO: it could not be synced');
    this.synced.push(path);
    await super.syncFolder(path);
  }
}
test('a version that is written once a full disk has space again is durable', async () => {
  const data = join(await makeTempFolder(), 'new', 'parts');
  const disk = new FullDisk();
  const store = new FileStore(data, report, disk);
  await store.readAll();
  disk.failingStep = 'folder';
  await expect(store.write(partition, { epoch: 2, count: 1 }, 'rejected')).rejects.toThrow(/EIO/);
  disk.failingStep = 'write';
  await expect(store.write(partition, { epoch: 2, count: 2 }, 'rejected')).rejects.toThrow(
    /ENOSPC/,
  );
  disk.failingStep = '';
  await store.write(partition, { epoch: 2, count: 3 }, 'persisted');
  // A file is durable only if every created parent folder has been synced, also after syncs that failed.
  for (const path of [join(data, partition), data, join(data, '..'), join(data, '..', '..')])
    expect(disk.synced).toContain(path);
  const [stored] = await new FileStore(data, report).readAll();
  expect(stored?.body).toBe('persisted');
});
test('a folder that is not a partition is ignored', async () => {
  const root = await makeTempFolder();
  await mkdir(join(root, 'lost+found'));
  const store = new FileStore(root, report);
  expect(await store.readAll()).toEqual([]);
});
test('a torn write or an unsynced folder rejects the write', async () => {
  const root = await makeTempFolder();
  const disk = new PowerCutDisk();
  const store = new FileStore(root, report, disk);
  await store.write(partition, { epoch: 2, count: 1 }, 'persisted');
  for (const step of ['write', 'folder']) {
    disk.failingStep = step;
    await expect(
      store.write(partition, { epoch: 2, count: step === 'write' ? 2 : 3 }, 'torn'),
    ).rejects.toThrow(/cut/);
  }
  const [stored] = await new FileStore(root, report).readAll();
  // Both writes were rejected. A torn temporary file is not read; a rename whose folder sync failed may be read, complete.
  expect(stored?.isIntact).toBe(true);
  expect(['persisted', 'torn']).toContain(stored?.body);
});
test('a corrupt newest file is reported and its partition marked as not intact', async () => {
  const root = await makeTempFolder();
  const store = new FileStore(root, report);
  await store.write(partition, { epoch: 2, count: 1 }, 'first');
  await store.write(partition, { epoch: 2, count: 2 }, 'second');
  const path = join(root, partition, '2.2.json');
  await writeFile(path, (await readFile(path, 'utf8')).replace('second', 'secomd'));
  reported.length = 0;
  expect(await new FileStore(root, report).readAll()).toEqual([
    { partition, version: { epoch: 2, count: 1 }, body: 'first', isIntact: false },
  ]);
  expect(reported.map(codeOf)).toEqual(['bad-file']);
});
test('a stalled write of one partition does not delay another partition', async () => {
  const disk = new StallingDisk();
  const store = new FileStore(await makeTempFolder(), report, disk);
  let isPersisted = false;
  const stalled = store.write(partition, { epoch: 2, count: 1 }, 'stalled').then(() => {
    isPersisted = true;
  });
  await disk.stalled;
  await store.write(partitionName('p2'), { epoch: 2, count: 1 }, 'completes');
  expect(isPersisted).toBe(false);
  disk.resume();
  await stalled;
});

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
const told: HaretrackError[] = [];
function tell(defect: HaretrackError): void {
  told.push(defect);
}
async function folder(): Promise<string> {
  return mkdtemp(join(tmpdir(), 'hold-'));
}
/** The contract that every store must pass: what was told as kept is read back by the next boot. */
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
    test('reads back the newest version of each part', checkNewest);
    test('a burst on one part ends with the newest', checkBurst);
  });
}
async function makeFiles(): Promise<{ store: Store; reopen: () => Store }> {
  const root = await folder();
  function reopen(): Store {
    return new FileStore(root, tell);
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
class TearingDisk extends NodeDisk {
  tear = '';
  override async writeSynced(path: string, text: string): Promise<void> {
    if (this.tear === 'write') {
      await writeFile(path, text.slice(0, 20));
      throw new Error('cut while writing');
    }
    await super.writeSynced(path, text);
  }
  override async syncFolder(path: string): Promise<void> {
    if (this.tear === 'folder') throw new Error('cut before the folder was synced');
    await super.syncFolder(path);
  }
}
function kindOf(defect: HaretrackError): string {
  return defect.code;
}
class StallingDisk extends NodeDisk {
  #free: () => void = doNothing;
  #tellHeld: () => void = doNothing;
  readonly held = new Promise<void>((done) => this.#onHeld(done));
  #onHeld(done: () => void): void {
    this.#tellHeld = done;
  }
  override async writeSynced(path: string, text: string): Promise<void> {
    if (path.includes('/p1/')) await new Promise<void>((done) => this.#hold(done));
    await super.writeSynced(path, text);
  }
  #hold(done: () => void): void {
    this.#free = done;
    this.#tellHeld();
  }
  free(): void {
    this.#free();
  }
}
function doNothing(): void {
  /* nothing is held yet */
}
/** Full for a while: nothing can be written aside, or no folder synced. */
class FullDisk extends NodeDisk {
  failing = '';
  readonly synced: string[] = [];
  override async writeSynced(path: string, text: string): Promise<void> {
    if (this.failing === 'write') throw new Error('ENOSPC: no space left on device');
    await super.writeSynced(path, text);
  }
  override async syncFolder(path: string): Promise<void> {
    if (this.failing === 'folder') throw new Error('EIO: it could not be synced');
    this.synced.push(path);
    await super.syncFolder(path);
  }
}
test('a full disk loses nothing, and what is kept once there is room lasts', async () => {
  const data = join(await folder(), 'new', 'parts');
  const disk = new FullDisk();
  const store = new FileStore(data, tell, disk);
  await store.readAll();
  disk.failing = 'folder';
  await expect(store.write(partition, { epoch: 2, count: 1 }, 'lost')).rejects.toThrow(/EIO/);
  disk.failing = 'write';
  await expect(store.write(partition, { epoch: 2, count: 2 }, 'lost')).rejects.toThrow(/ENOSPC/);
  disk.failing = '';
  await store.write(partition, { epoch: 2, count: 3 }, 'kept');
  // A file lasts only if every folder above it that we made has been synced, however often that failed before.
  for (const path of [join(data, partition), data, join(data, '..'), join(data, '..', '..')])
    expect(disk.synced).toContain(path);
  const [stored] = await new FileStore(data, tell).readAll();
  expect(stored?.body).toBe('kept');
});
test('a folder that is none of ours is left alone', async () => {
  const root = await folder();
  await mkdir(join(root, 'lost+found'));
  const store = new FileStore(root, tell);
  expect(await store.readAll()).toEqual([]);
});
test('a torn write or an unsynced folder is never told as kept', async () => {
  const root = await folder();
  const disk = new TearingDisk();
  const store = new FileStore(root, tell, disk);
  await store.write(partition, { epoch: 2, count: 1 }, 'kept');
  for (const tear of ['write', 'folder']) {
    disk.tear = tear;
    await expect(
      store.write(partition, { epoch: 2, count: tear === 'write' ? 2 : 3 }, 'torn'),
    ).rejects.toThrow(/cut/);
  }
  const [stored] = await new FileStore(root, tell).readAll();
  // Neither was told as kept. A torn write aside is invisible; a rename whose folder sync failed may be seen, whole.
  expect(stored?.isIntact).toBe(true);
  expect(['kept', 'torn']).toContain(stored?.body);
});
test('a bad newest file is named and its part shown as unsound', async () => {
  const root = await folder();
  const store = new FileStore(root, tell);
  await store.write(partition, { epoch: 2, count: 1 }, 'first');
  await store.write(partition, { epoch: 2, count: 2 }, 'second');
  const path = join(root, partition, '2.2.json');
  await writeFile(path, (await readFile(path, 'utf8')).replace('second', 'secomd'));
  told.length = 0;
  expect(await new FileStore(root, tell).readAll()).toEqual([
    { partition, version: { epoch: 2, count: 1 }, body: 'first', isIntact: false },
  ]);
  expect(told.map(kindOf)).toEqual(['bad-file']);
});
test('a part whose disk write stalls does not hold up another part', async () => {
  const disk = new StallingDisk();
  const store = new FileStore(await folder(), tell, disk);
  let isKept = false;
  const stalled = store.write(partition, { epoch: 2, count: 1 }, 'stalled').then(() => {
    isKept = true;
  });
  await disk.held;
  await store.write(partitionName('p2'), { epoch: 2, count: 1 }, 'goes on');
  expect(isKept).toBe(false);
  disk.free();
  await stalled;
});

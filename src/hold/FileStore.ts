import { createHash } from 'node:crypto';
import { mkdir, open, readdir, readFile, rename, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { is, number, string, type } from 'superstruct';
import { Defect, reasonOf } from '../kin/Defect.js';
import { partName, type PartName } from '../kin/Ids.js';
import { compareVersions, NO_VERSION, type Version } from '../kin/Version.js';
import type { Store, StoredPart } from './Store.js';

const FileShape = type({ part: string(), epoch: number(), count: number(), digest: string(), body: string() });

interface Waiting {
  readonly version: Version;
  readonly body: string;
  readonly done: (() => void)[];
  readonly fail: ((thrown: unknown) => void)[];
}

/** How many versions of a part stay on disk: the newest, and the one before it to look at after a defect. */
const KEPT_FILES = 2;

export function digestOf(part: string, version: Version, body: string): string {
  return createHash('sha256').update(`${part}\n${version.epoch}\n${version.count}\n${body}`).digest('hex');
}

function isName(name: string): boolean { return /^[a-z0-9-]+$/.test(name); }

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

  async rename(from: string, to: string): Promise<void> { await rename(from, to); }

  async syncFolder(path: string): Promise<void> {
    const folder = await open(path, 'r');
    try { await folder.sync(); } finally { await folder.close(); }
  }
}

/** One folder a part, one file a version: written aside, synced, renamed, folder synced. */
export class FileStore implements Store {
  readonly #root: string;
  readonly #disk: Disk;
  readonly #waiting = new Map<PartName, Waiting>();
  readonly #busy = new Set<PartName>();
  /** Parts whose folder is known to last, with all folders above it that we may have made. */
  readonly #lasting = new Set<PartName>();
  readonly #tell: (defect: Defect) => void;

  constructor(root: string, tell: (defect: Defect) => void, disk: Disk = new NodeDisk()) {
    this.#root = root;
    this.#tell = tell;
    this.#disk = disk;
  }

  async readAll(): Promise<readonly StoredPart[]> {
    await mkdir(this.#root, { recursive: true });
    const parts: StoredPart[] = [];
    for (const entry of await readdir(this.#root, { withFileTypes: true })) {
      if (!entry.isDirectory() || !isName(entry.name)) continue;
      const stored = await this.#readPart(partName(entry.name));
      if (stored) parts.push(stored);
    }
    return parts;
  }

  async #readPart(part: PartName): Promise<StoredPart | undefined> {
    const folder = join(this.#root, part);
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
        if (!is(raw, FileShape) || raw.part !== part || raw.digest !== digestOf(part, version, raw.body)) throw new Error('its digest does not match');
        return { part, version, body: raw.body, isSound };
      } catch (thrown) {
        // The newest version was told as kept: an older one may be shown, but must not stand in for it.
        isSound = false;
        this.#tell(new Defect('bad-file', `${part}/${name}: ${reasonOf(thrown)}`));
      }
    }
    return isSound ? undefined : { part, version: NO_VERSION, body: '', isSound };
  }

  write(part: PartName, version: Version, body: string): Promise<void> {
    return new Promise(this.#enlist.bind(this, part, version, body));
  }

  #enlist(part: PartName, version: Version, body: string, done: () => void, fail: (thrown: unknown) => void): void {
    const before = this.#waiting.get(part);
    // A slow disk owes only the newest version of a part; those that wait with an older one are served by it.
    if (before && compareVersions(before.version, version) > 0) {
      before.done.push(done);
      before.fail.push(fail);
    } else {
      this.#waiting.set(part, { version, body, done: [...(before?.done ?? []), done], fail: [...(before?.fail ?? []), fail] });
    }
    if (!this.#busy.has(part)) void this.#work(part);
  }

  async #work(part: PartName): Promise<void> {
    this.#busy.add(part);
    for (let next = this.#waiting.get(part); next; next = this.#waiting.get(part)) {
      this.#waiting.delete(part);
      try {
        await this.#writeFile(part, next.version, next.body);
        for (const done of next.done) done();
      } catch (thrown) {
        this.#tell(new Defect('disk-write', `${part}: ${reasonOf(thrown)}`));
        for (const fail of next.fail) fail(thrown);
      }
    }
    this.#busy.delete(part);
  }

  async #writeFile(part: PartName, version: Version, body: string): Promise<void> {
    const folder = join(this.#root, part);
    await mkdir(folder, { recursive: true });
    // Not only when we make it: making it may have gone well, and syncing the folder above it not.
    if (!this.#lasting.has(part)) {
      for (const above of [this.#root, join(this.#root, '..'), join(this.#root, '..', '..')]) await this.#disk.syncFolder(above);
      this.#lasting.add(part);
    }
    const name = `${version.epoch}.${version.count}.json`;
    const text = JSON.stringify({ part, ...version, digest: digestOf(part, version, body), body });
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
    for (const old of versions.slice(KEPT_FILES)) await rm(join(folder, `${old.epoch}.${old.count}.json`), { force: true });
  }
}

if (import.meta.vitest) {
  const { test, expect, describe } = import.meta.vitest;
  const { mkdtemp, writeFile } = await import('node:fs/promises');
  const { tmpdir } = await import('node:os');
  const { MemoryStore } = await import('./MemoryStore.js');
  const part = partName('p1');
  const told: Defect[] = [];
  function tell(defect: Defect): void { told.push(defect); }
  async function folder(): Promise<string> { return mkdtemp(join(tmpdir(), 'hold-')); }

  /** The contract that every store must pass: what was told as kept is read back by the next boot. */
  function contract(name: string, make: () => Promise<{ store: Store; reopen: () => Store }>): void {
    async function checkNewest(): Promise<void> {
      const { store, reopen } = await make();
      await store.write(part, { epoch: 2, count: 9 }, 'old');
      await store.write(part, { epoch: 4, count: 1 }, 'new');
      await store.write(partName('p2'), { epoch: 2, count: 1 }, 'other');
      const all = [...await reopen().readAll()];
      expect(all).toContainEqual({ part, version: { epoch: 4, count: 1 }, body: 'new', isSound: true });
      expect(all).toHaveLength(2);
    }
    async function checkBurst(): Promise<void> {
      const { store, reopen } = await make();
      const writes = [];
      for (let count = 1; count <= 30; count += 1) writes.push(store.write(part, { epoch: 2, count }, `body ${count}`));
      await Promise.all(writes);
      expect((await reopen().readAll())[0]?.body).toBe('body 30');
    }
    describe(name, contractTests);
    function contractTests(): void {
      test('reads back the newest version of each part', checkNewest);
      test('a burst on one part ends with the newest', checkBurst);
    }
  }

  async function makeFiles(): Promise<{ store: Store; reopen: () => Store }> {
    const root = await folder();
    function reopen(): Store { return new FileStore(root, tell); }
    return { store: reopen(), reopen };
  }
  async function makeMemory(): Promise<{ store: Store; reopen: () => Store }> {
    const store = new MemoryStore();
    function reopen(): Store { store.crash(); return store; }
    return { store, reopen };
  }
  contract('files', makeFiles);
  contract('memory', makeMemory);

  class TearingDisk extends NodeDisk {
    tear = '';
    override async writeSynced(path: string, text: string): Promise<void> {
      if (this.tear === 'write') { await writeFile(path, text.slice(0, 20)); throw new Error('cut while writing'); }
      await super.writeSynced(path, text);
    }
    override async syncFolder(path: string): Promise<void> {
      if (this.tear === 'folder') throw new Error('cut before the folder was synced');
      await super.syncFolder(path);
    }
  }
  async function checkTorn(): Promise<void> {
    const root = await folder();
    const disk = new TearingDisk();
    const store = new FileStore(root, tell, disk);
    await store.write(part, { epoch: 2, count: 1 }, 'kept');
    for (const tear of ['write', 'folder']) {
      disk.tear = tear;
      await expect(store.write(part, { epoch: 2, count: tear === 'write' ? 2 : 3 }, 'torn')).rejects.toThrow(/cut/);
    }
    const [stored] = await new FileStore(root, tell).readAll();
    // Neither was told as kept. A torn write aside is invisible; a rename whose folder sync failed may be seen, whole.
    expect(stored?.isSound).toBe(true);
    expect(['kept', 'torn']).toContain(stored?.body);
  }
  async function checkBadFile(): Promise<void> {
    const root = await folder();
    const store = new FileStore(root, tell);
    await store.write(part, { epoch: 2, count: 1 }, 'first');
    await store.write(part, { epoch: 2, count: 2 }, 'second');
    const path = join(root, part, '2.2.json');
    await writeFile(path, (await readFile(path, 'utf8')).replace('second', 'secomd'));
    told.length = 0;
    expect(await new FileStore(root, tell).readAll()).toEqual([{ part, version: { epoch: 2, count: 1 }, body: 'first', isSound: false }]);
    expect(told.map(kindOf)).toEqual(['bad-file']);
  }
  function kindOf(defect: Defect): string { return defect.kind; }
  class StallingDisk extends NodeDisk {
    #free: () => void = doNothing;
    #tellHeld: () => void = doNothing;
    readonly held = new Promise<void>(this.#onHeld.bind(this));
    #onHeld(done: () => void): void { this.#tellHeld = done; }
    override async writeSynced(path: string, text: string): Promise<void> {
      if (path.includes('/p1/')) await new Promise<void>(this.#hold.bind(this));
      await super.writeSynced(path, text);
    }
    #hold(done: () => void): void { this.#free = done; this.#tellHeld(); }
    free(): void { this.#free(); }
  }
  function doNothing(): void { /* nothing is held yet */ }
  async function checkStall(): Promise<void> {
    const disk = new StallingDisk();
    const store = new FileStore(await folder(), tell, disk);
    let isKept = false;
    function mark(): void { isKept = true; }
    const stalled = store.write(part, { epoch: 2, count: 1 }, 'stalled').then(mark);
    await disk.held;
    await store.write(partName('p2'), { epoch: 2, count: 1 }, 'goes on');
    expect(isKept).toBe(false);
    disk.free();
    await stalled;
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
  async function checkFull(): Promise<void> {
    const data = join(await folder(), 'new', 'parts');
    const disk = new FullDisk();
    const store = new FileStore(data, tell, disk);
    await store.readAll();
    disk.failing = 'folder';
    await expect(store.write(part, { epoch: 2, count: 1 }, 'lost')).rejects.toThrow(/EIO/);
    disk.failing = 'write';
    await expect(store.write(part, { epoch: 2, count: 2 }, 'lost')).rejects.toThrow(/ENOSPC/);
    disk.failing = '';
    await store.write(part, { epoch: 2, count: 3 }, 'kept');
    // A file lasts only if every folder above it that we made has been synced, however often that failed before.
    for (const path of [join(data, part), data, join(data, '..'), join(data, '..', '..')]) expect(disk.synced).toContain(path);
    const [stored] = await new FileStore(data, tell).readAll();
    expect(stored?.body).toBe('kept');
  }
  async function checkForeign(): Promise<void> {
    const root = await folder();
    await mkdir(join(root, 'lost+found'));
    const store = new FileStore(root, tell);
    expect(await store.readAll()).toEqual([]);
  }
  test('a full disk loses nothing, and what is kept once there is room lasts', checkFull);
  test('a folder that is none of ours is left alone', checkForeign);
  test('a torn write or an unsynced folder is never told as kept', checkTorn);
  test('a bad newest file is named and its part shown as unsound', checkBadFile);
  test('a part whose disk write stalls does not hold up another part', checkStall);
}

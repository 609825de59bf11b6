import { mkdtemp, readdir, rename, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import type { HaretrackError } from '../common/errors.js';
import { partitionName } from '../common/ids.js';
import type { Version } from '../common/version.js';
import { FileStore, NodeDisk } from './file-store.js';

const PARTITION = partitionName('p1');

async function makeTempFolder(): Promise<string> {
  return mkdtemp(join(tmpdir(), 'versions-'));
}

function ignore(_error: HaretrackError): void {
  /* the tests check what is read */
}

/** A disk whose writes wait until the test resumes it. */
class PausedDisk extends NodeDisk {
  readonly written: string[] = [];
  #resume: () => void = () => undefined;
  readonly #pause = new Promise<void>((done) => {
    this.#resume = done;
  });

  override async writeSynced(path: string, text: string): Promise<void> {
    this.written.push(path.split('/').at(-1) ?? '');
    await this.#pause;
    await super.writeSynced(path, text);
  }

  resume(): void {
    this.#resume();
  }
}

function version(epoch: number, count: number): Version {
  return { epoch, count };
}

test('the two newest versions are retained, compared as numbers and not as text', async () => {
  const root = await makeTempFolder();
  const store = new FileStore(root, ignore);
  for (const [epoch, count] of [
    [2, 9],
    [2, 10],
    [2, 100],
    [10, 1],
    [10, 2],
  ] as const)
    await store.write(PARTITION, version(epoch, count), `${epoch}.${count}`);
  expect((await readdir(join(root, PARTITION))).sort()).toEqual(['10.1.json', '10.2.json']);
  const [stored] = await new FileStore(root, ignore).readAll();
  expect([stored?.version, stored?.body]).toEqual([version(10, 2), '10.2']);
});

test('an older version that is written late is removed instead of the newest one', async () => {
  const root = await makeTempFolder();
  const store = new FileStore(root, ignore);
  for (const count of [8, 9, 7]) await store.write(PARTITION, version(2, count), `${count}`);
  expect((await readdir(join(root, PARTITION))).sort()).toEqual(['2.8.json', '2.9.json']);
});

test('files that are not versions are neither read nor removed', async () => {
  const root = await makeTempFolder();
  const store = new FileStore(root, ignore);
  await store.write(PARTITION, version(2, 1), 'x');
  const others = ['x99.1.json', '99.1.json.aside', '99.1.json~', 'note'];
  for (const name of others) await writeFile(join(root, PARTITION, name), 'y');
  for (const count of [2, 3, 4]) await store.write(PARTITION, version(2, count), 'x');
  const names = await readdir(join(root, PARTITION));
  expect(names.sort()).toEqual([...others, '2.3.json', '2.4.json'].sort());
  const [stored] = await new FileStore(root, ignore).readAll();
  expect([stored?.version, stored?.isIntact]).toEqual([version(2, 4), true]);
});

test('only the newest of the queued writes is written to a slow disk, whatever their order', async () => {
  const root = await makeTempFolder();
  const disk = new PausedDisk();
  const store = new FileStore(root, ignore, disk);
  const writes = [1, 4, 3].map((count) => store.write(PARTITION, version(2, count), `${count}`));
  await expect.poll(() => disk.written).toEqual(['2.1.json.aside']);
  disk.resume();
  await Promise.all(writes);
  expect(disk.written).toEqual(['2.1.json.aside', '2.4.json.aside']);
  const [stored] = await new FileStore(root, ignore).readAll();
  expect(stored?.body).toBe('4');
});

test('a file of another partition is not accepted', async () => {
  const root = await makeTempFolder();
  const other = partitionName('p2');
  const store = new FileStore(root, ignore);
  await store.write(other, version(2, 1), 'of another');
  await rename(join(root, other), join(root, PARTITION));
  expect(await new FileStore(root, ignore).readAll()).toMatchObject([
    { version: { epoch: 0, count: 0 }, body: '', isIntact: false },
  ]);
});

test('a file under the name of another version is not accepted', async () => {
  const root = await makeTempFolder();
  const store = new FileStore(root, ignore);
  await store.write(PARTITION, version(2, 1), 'x');
  await rename(join(root, PARTITION, '2.1.json'), join(root, PARTITION, '2.2.json'));
  expect(await new FileStore(root, ignore).readAll()).toMatchObject([
    { body: '', isIntact: false },
  ]);
});

test('a partition without any version is not read', async () => {
  const root = await makeTempFolder();
  const store = new FileStore(root, ignore);
  await store.write(PARTITION, version(2, 1), 'x');
  await rename(join(root, PARTITION, '2.1.json'), join(root, PARTITION, '2.1.json.aside'));
  expect(await new FileStore(root, ignore).readAll()).toEqual([]);
});

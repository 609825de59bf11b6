import { cp, mkdtemp, readdir, readFile, rename, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, describe, expect, test } from 'vitest';
import type { HaretrackError } from '../common/errors.js';
import { nodeId } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import { decodeConfigDoc, encodeConfigDoc } from '../control/config-codec.js';
import { quorumOf } from '../control/config-voters.js';
import { EffectQueue } from '../control/effect-queue.js';
import { readVotes, VoteStorage } from '../control/vote-storage.js';
import { ServicePartitionShape } from '../placement/shapes.js';
import { FileStore } from '../state/file-store.js';
import { allPartitions, CONFIG_PARTITION, VOTE_RECORD } from '../state/partition-names.js';
import type { StoredPartition } from '../state/store.js';
import { expectGolden, TEST_DATA } from './testing/golden.js';

/** Data folders of control nodes that were killed after some hundred operator commands and a change of voters. */
const FOLDERS = [
  'deployed/leader',
  'deployed/follower',
  'deployed/joined',
  'deployed/replaced',
  'table/leader',
  'table/follower',
  'table/joined',
];

const temporaryFolders: string[] = [];
let faults: HaretrackError[] = [];

afterEach(async () => {
  faults = [];
  for (const path of temporaryFolders.splice(0)) await rm(path, { recursive: true, force: true });
});

async function temporaryFolder(): Promise<string> {
  const path = await mkdtemp(join(tmpdir(), 'stored-state-'));
  temporaryFolders.push(path);
  return path;
}

async function copyOf(folder: string): Promise<string> {
  const path = await temporaryFolder();
  await cp(join(TEST_DATA, 'stored', folder, 'parts'), path, { recursive: true });
  return path;
}

function storeAt(path: string): FileStore {
  return new FileStore(path, (fault) => faults.push(fault));
}

async function readStored(folder: string): Promise<readonly StoredPartition[]> {
  return storeAt(await copyOf(folder)).readAll();
}

function comparePartitions(a: StoredPartition, b: StoredPartition): number {
  return a.partition < b.partition ? -1 : 1;
}

function partitionOf(stored: readonly StoredPartition[], name: string): StoredPartition {
  const found = stored.find(({ partition }) => partition === name);
  if (!found) throw new Error(`no partition ${name}`);
  return found;
}

/** The files of a partition's versions, newest first. */
async function versionsOf(path: string, partition: string): Promise<string[]> {
  const names = await readdir(join(path, partition));
  const numbered = names.map((name) => ({ name, numbers: name.split('.').map(Number) }));
  numbered.sort(({ numbers: [epochA = 0, countA = 0] }, { numbers: [epochB = 0, countB = 0] }) =>
    epochA === epochB ? countB - countA : epochB - epochA,
  );
  return numbered.map(({ name }) => join(path, partition, name));
}

async function newestOf(path: string, partition: string): Promise<string> {
  const [newest] = await versionsOf(path, partition);
  if (newest === undefined) throw new Error(`no file of ${partition}`);
  return newest;
}

describe.each(FOLDERS)('the data folder %s of an earlier build', (folder) => {
  test('is read with the same partitions, versions and bodies', async () => {
    const stored = [...(await readStored(folder))].sort(comparePartitions);
    const seen = stored.map(({ partition, version, body, isIntact }) => {
      const { epoch, count } = version;
      // A partition without any content yet is stored empty.
      const content: unknown = body === '' ? null : JSON.parse(body);
      return { part: partition, epoch, count, intact: isIntact, content };
    });
    expect(faults).toEqual([]);
    expect(stored.map(({ partition }) => partition)).toEqual(
      [...allPartitions(), VOTE_RECORD].sort(),
    );
    expectGolden(`stored/${folder}.json`, seen);
  });

  test('is written to a new folder as the same files', async () => {
    const source = await copyOf(folder);
    const target = await temporaryFolder();
    const stored = await storeAt(source).readAll();
    for (const { partition, version, body } of stored)
      await storeAt(target).write(partition, version, body);
    for (const { partition } of stored) {
      const [written, ...more] = await versionsOf(target, partition);
      const original = await newestOf(source, partition);
      expect(more).toEqual([]);
      expect(written?.replace(target, '')).toBe(original.replace(source, ''));
      expect(await readFile(written ?? '', 'utf8')).toBe(await readFile(original, 'utf8'));
    }
  });

  test('has a configuration that can be decoded and encoded without loss', async () => {
    const { body } = partitionOf(await readStored(folder), CONFIG_PARTITION);
    const document = decodeConfigDoc(body);
    expect(document?.edits.length).toBeGreaterThan(100);
    expect(document && encodeConfigDoc(document)).toBe(body);
  });

  test('has placements that can be read', async () => {
    const stored = await readStored(folder);
    const models = new Set<string>();
    for (const partition of allPartitions()) {
      if (partition === CONFIG_PARTITION) continue;
      const { body } = partitionOf(stored, partition);
      if (body === '') continue;
      const services = parseAs(ServicePartitionShape, body)?.services;
      expect(services).toBeDefined();
      for (const { model } of services ?? []) models.add(model);
    }
    expect(models.size).toBeGreaterThan(5);
  });

  test('has a sound vote record that is stored again unchanged', async () => {
    const stored = await readStored(folder);
    const { version, body } = partitionOf(stored, VOTE_RECORD);
    const votes = readVotes(stored);
    expect(votes.status).toBe('sound');
    expect(votes.count).toBe(version.count);
    if (!votes.record) throw new Error('no vote record');

    const effects = new EffectQueue();
    const storage = new VoteStorage(effects, votes.count, votes.record.grantEpoch);
    storage.persist(1, votes.record);
    const following = { epoch: version.epoch, count: version.count + 1 };
    expect(effects.drain()).toMatchObject([{ partition: VOTE_RECORD, version: following, body }]);
  });
});

test('a joint configuration is read with both sets of voters', async () => {
  const path = await copyOf('deployed/follower');
  await rm(await newestOf(path, CONFIG_PARTITION));
  const { version, body } = partitionOf(await storeAt(path).readAll(), CONFIG_PARTITION);
  const quorum = quorumOf(body);
  expect(version).toEqual({ epoch: 2, count: 108 });
  expect(quorum?.sets).toBe(2);
  expect(quorum?.all).toEqual([
    '127.114.57.10:7660',
    '127.114.57.11:7660',
    '127.114.57.12:7660',
    '127.114.57.25:7660',
  ]);
  // A majority of the new voters alone is no quorum.
  const north = nodeId('127.114.57.10:7660');
  const next = nodeId('127.114.57.25:7660');
  expect(quorum?.isMajority(new Set([north, next]))).toBe(false);
  expect(quorum?.isMajority(new Set([north, nodeId('127.114.57.12:7660')]))).toBe(true);
});

describe('damaged files of an earlier build are detected', () => {
  const damages: readonly (readonly [string, (path: string, file: string) => Promise<void>])[] = [
    [
      'a changed byte in the body',
      async (_path, file) => {
        const text = await readFile(file, 'utf8');
        const at = text.indexOf('"body":"') + 20;
        await writeFile(file, `${text.slice(0, at)}#${text.slice(at + 1)}`);
      },
    ],
    [
      'a truncated file',
      async (_path, file) => {
        const text = await readFile(file, 'utf8');
        await writeFile(file, text.slice(0, -10));
      },
    ],
    ['an empty file', async (_path, file) => writeFile(file, '')],
    [
      'a file with another version in its name',
      async (_path, file) => rename(file, file.replace(/\d+\.json$/, '9999.json')),
    ],
  ];

  test.each(damages)(
    '%s: the previous version is read and reported as not intact',
    async (_name, damage) => {
      const path = await copyOf('deployed/leader');
      const before = partitionOf(await storeAt(path).readAll(), CONFIG_PARTITION);
      await damage(path, await newestOf(path, CONFIG_PARTITION));
      const after = partitionOf(await storeAt(path).readAll(), CONFIG_PARTITION);
      expect(before.isIntact).toBe(true);
      expect(after.isIntact).toBe(false);
      expect(after.version).toEqual({ epoch: 2, count: 108 });
      expect(faults.map(({ code }) => code)).toEqual(['bad-file']);
    },
  );

  test('a partition without an intact version is empty and reported as not intact', async () => {
    const path = await copyOf('deployed/leader');
    for (const file of await versionsOf(path, CONFIG_PARTITION)) await writeFile(file, '{}');
    const { version, body, isIntact } = partitionOf(
      await storeAt(path).readAll(),
      CONFIG_PARTITION,
    );
    expect({ version, body, isIntact }).toEqual({
      version: { epoch: 0, count: 0 },
      body: '',
      isIntact: false,
    });
  });

  test('with a damaged vote record the votes are lost', async () => {
    const path = await copyOf('deployed/leader');
    await writeFile(await newestOf(path, VOTE_RECORD), '{}');
    expect(readVotes(await storeAt(path).readAll())).toMatchObject({
      status: 'lost',
      record: undefined,
    });
  });

  test.each(['epoch', 'grantEpoch', 'grantLeader', 'isFree'])(
    'with a vote record whose %s has another type the votes are lost',
    async (field) => {
      const stored = await readStored('deployed/leader');
      const { body, ...file } = partitionOf(stored, VOTE_RECORD);
      const record: unknown = JSON.parse(body);
      expect(record).toHaveProperty(field);
      const damagedBody = body.replace(new RegExp(`"${field}":[^,}]+`), `"${field}":[]`);
      expect(readVotes([{ ...file, body: damagedBody }]).status).toBe('lost');
      expect(readVotes([{ ...file, body }]).status).toBe('sound');
    },
  );

  test.each(['number', 'table', 'emptied', 'edits', 'voters', 'routing', 'editColumns'])(
    'a configuration whose %s has another type is not decoded',
    async (field) => {
      const { body } = partitionOf(await readStored('deployed/leader'), CONFIG_PARTITION);
      const content: object = JSON.parse(body);
      expect(content).toHaveProperty(field);
      expect(decodeConfigDoc(JSON.stringify({ ...content, [field]: 'wrong' }))).toBeUndefined();
      expect(decodeConfigDoc(JSON.stringify(content))).toBeDefined();
    },
  );

  test('with other partitions but no vote record the votes are lost', async () => {
    const path = await copyOf('deployed/leader');
    await rm(join(path, VOTE_RECORD), { recursive: true });
    expect(readVotes(await storeAt(path).readAll())).toMatchObject({ status: 'lost', count: 0 });
  });

  test('an incomplete temporary file is ignored', async () => {
    const path = await copyOf('deployed/leader');
    const file = await newestOf(path, CONFIG_PARTITION);
    await writeFile(file.replace(/\d+\.json$/, '9999.json.aside'), '{"part":"con');
    expect(partitionOf(await storeAt(path).readAll(), CONFIG_PARTITION)).toMatchObject({
      version: { epoch: 2, count: 109 },
      isIntact: true,
    });
    expect(faults).toEqual([]);
  });
});

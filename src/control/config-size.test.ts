import { createHash } from 'node:crypto';
import { expect, test } from 'vitest';
import { encodeMessage } from '../common/messages.js';
import { compareVersions } from '../common/version.js';
import { Relay } from '../dissemination/relay.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import { decodeConfigDoc, encodeConfigDoc } from './config-codec.js';
import { initialDoc, MAX_EDITS, type ConfigDoc } from './config-shapes.js';
import { recordEdit } from './config-edits.js';
import { FaultCluster, formedFaultCluster } from './testing/fault-cluster.js';

const THREE = ['a:1', 'b:1', 'c:1'];
const CATCH_UP_MS = 4000;
const MISSED_CHANGES = 700;
/** Size limit of a recorded edit in the stored text: its id of 32 characters, its number, and separators. */
const MAX_EDIT_BYTES = 42;

function idOf(index: number): string {
  return createHash('sha256').update(`edit ${index}`).digest('hex').slice(0, 32);
}

function withEdits(count: number): ConfigDoc {
  let doc = initialDoc(THREE);
  for (let index = 0; index < count; index += 1) {
    doc = recordEdit(
      { ...doc, number: index + 1 },
      idOf(index),
      index % 50 === 7 ? 'closed' : 'accepted',
    );
  }
  return doc;
}

function configureTimes(cluster: FaultCluster, from: number, count: number): number {
  for (let version = from; version < from + count; version += 1)
    cluster.configure(version, version + 1);
  return from + count;
}

/** A follower that missed hundreds of changes gets the newest version with one write when it is back. */
function checkCatchUp(how: 'cut' | 'restarted'): void {
  const cluster = formedFaultCluster(THREE);
  const behind = cluster.follower();
  if (how === 'cut') cluster.cutOff(behind);
  else cluster.kill(behind);
  const version = configureTimes(cluster, 0, MISSED_CHANGES);
  if (how === 'cut') cluster.heal();
  else cluster.start(behind, THREE);
  const took = cluster.runUntil(
    () => cluster.isCaughtUp(behind),
    CATCH_UP_MS,
    'the follower holds the newest version',
  );
  process.stdout.write(`${MISSED_CHANGES} changes missed, ${how}: caught up after ${took} ms\n`);
  expect(cluster.versionAt(behind)).toBe(version);
}

test('1000 recorded edits are stored compactly', () => {
  const empty = encodeConfigDoc(initialDoc(THREE)).length;
  const doc = withEdits(MAX_EDITS);
  const body = encodeConfigDoc(doc);
  const version = { epoch: 4, count: MAX_EDITS };
  const stored = JSON.stringify({ part: CONFIG_PARTITION, ...version, digest: idOf(0), body });
  const message = encodeMessage({ kind: 'write', part: CONFIG_PARTITION, ...version, body });
  const before = JSON.stringify(doc);
  process.stdout.write(
    `${MAX_EDITS} edits remembered: ${body.length} bytes, as objects ${before.length}; without any ${empty}; ` +
      `on disk ${stored.length}, as objects ${JSON.stringify({ body: before }).length}; ` +
      `in a write ${message.length}\n`,
  );
  expect(body.length - empty).toBeLessThanOrEqual(MAX_EDIT_BYTES * MAX_EDITS);
  expect(decodeConfigDoc(body)).toEqual(doc);
});
/** Older builds stored edits as objects instead of columns. */
test('edits stored as objects can be read', () => {
  const doc = withEdits(20);
  expect(decodeConfigDoc(JSON.stringify(doc))).toEqual(doc);
  expect(decodeConfigDoc('{')).toBeUndefined();
});
test('a follower that was cut off during 700 changes catches up', () => checkCatchUp('cut'));
test('a follower that was down during 700 changes catches up', () => checkCatchUp('restarted'));
/** The newest file is corrupt and the one before it is outdated: the replica is repaired, and its old content is not used. */
test('a replica whose newest file is corrupt and whose previous file is outdated is repaired', () => {
  const cluster = formedFaultCluster(THREE);
  const behind = cluster.follower();
  cluster.configure(0, 1);
  cluster.kill(behind);
  const version = configureTimes(cluster, 1, 300);
  cluster.node(behind).store.corrupt(CONFIG_PARTITION);
  cluster.start(behind, THREE);
  cluster.runUntil(() => cluster.isCaughtUp(behind), CATCH_UP_MS, 'the replica is repaired');
  const leader = cluster.leader();
  const [third = ''] = THREE.filter((id) => id !== behind && id !== leader);
  cluster.kill(third);
  cluster.runUntil(() => cluster.hasLeader(), 6000, 'a leader is elected by two of three');
  expect(cluster.versionAt(behind)).toBe(version);
});
/** An outdated relay sends a child nothing older than the child has, and accepts the newest version at once. */
test('a relay with an outdated configuration sends nothing older than a child has', () => {
  const old = new Relay();
  old.offer('config', { epoch: 4, count: 10 }, 'old');
  old.setChildren(['child']);
  old.onKnownVersions('child', [{ topic: 'config', epoch: 4, count: 710 }]);
  expect(old.flush()).toEqual([]);
  expect(old.offer('config', { epoch: 4, count: 710 }, 'new')).toBe(true);
  expect(old.offer('config', { epoch: 4, count: 11 }, 'late')).toBe(false);
  expect(compareVersions(old.version('config'), { epoch: 4, count: 710 })).toBe(0);
});

import { createHash } from 'node:crypto';
import { expect, test } from 'vitest';
import { encodeMessage } from '../common/messages.js';
import { compareVersions } from '../common/version.js';
import { Relay } from '../dissemination/relay.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import { decodeConfigDoc, encodeConfigDoc } from './config-codec.js';
import { initialDoc, MAX_EDITS, type ConfigDoc } from './config-shapes.js';
import { recordEdit } from './config-edits.js';
import { FaultCluster, foundedFaultCluster } from './testing/fault-cluster.js';

const THREE = ['a:1', 'b:1', 'c:1'];
const CATCH_UP_MS = 4000;
const MISSED = 700;
/** Bytes that a remembered edit may take in the stored text: its id of 32 letters, its number, and what separates them. */
const EDIT_BYTES = 42;

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

function changed(cluster: FaultCluster, from: number, count: number): number {
  for (let version = from; version < from + count; version += 1)
    cluster.configure(version, version + 1);
  return from + count;
}

/** A follower that missed hundreds of changes holds the newest once it is back, with one write. */
function checkMissed(how: 'cut' | 'restarted'): void {
  const cluster = foundedFaultCluster(THREE);
  const behind = cluster.follower();
  if (how === 'cut') cluster.cutOff(behind);
  else cluster.kill(behind);
  const version = changed(cluster, 0, MISSED);
  if (how === 'cut') cluster.heal();
  else cluster.start(behind, THREE);
  const took = cluster.runUntil(
    () => cluster.isCounting(behind),
    CATCH_UP_MS,
    'it holds the newest',
  );
  process.stdout.write(`${MISSED} changes missed, ${how}: caught up after ${took} ms\n`);
  expect(cluster.versionAt(behind)).toBe(version);
}

test('a thousand remembered edits are kept compact', () => {
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
  expect(body.length - empty).toBeLessThanOrEqual(EDIT_BYTES * MAX_EDITS);
  expect(decodeConfigDoc(body)).toEqual(doc);
});
/** What was stored before the edits stood in columns is read as it was. */
test('edits stored as objects are read as before', () => {
  const doc = withEdits(20);
  expect(decodeConfigDoc(JSON.stringify(doc))).toEqual(doc);
  expect(decodeConfigDoc('{')).toBeUndefined();
});
test('a follower that was cut off during 700 changes catches up', () => checkMissed('cut'));
test('a follower that was away during 700 changes catches up', () => checkMissed('restarted'));
/** Its newest file is torn and the one before it is old: it is mended, and nobody goes by what it held. */
test('a torn newest file beside an old one is mended', () => {
  const cluster = foundedFaultCluster(THREE);
  const behind = cluster.follower();
  cluster.configure(0, 1);
  cluster.kill(behind);
  const version = changed(cluster, 1, 300);
  cluster.node(behind).store.corrupt(CONFIG_PARTITION);
  cluster.start(behind, THREE);
  cluster.runUntil(() => cluster.isCounting(behind), CATCH_UP_MS, 'it is mended');
  const leader = cluster.leader();
  const [third = ''] = THREE.filter((id) => id !== behind && id !== leader);
  cluster.kill(third);
  cluster.runUntil(() => cluster.hasLeader(), 6000, 'two of three lead');
  expect(cluster.versionAt(behind)).toBe(version);
});
/** A relay with old news passes on nothing older than what a child has, and takes the newest at once. */
test('a relay with old news passes on nothing that is older', () => {
  const old = new Relay();
  old.offer('config', { epoch: 4, count: 10 }, 'old');
  old.setChildren(['child']);
  old.onKnownVersions('child', [{ topic: 'config', epoch: 4, count: 710 }]);
  expect(old.flush()).toEqual([]);
  expect(old.offer('config', { epoch: 4, count: 710 }, 'new')).toBe(true);
  expect(old.offer('config', { epoch: 4, count: 11 }, 'late')).toBe(false);
  expect(compareVersions(old.version('config'), { epoch: 4, count: 710 })).toBe(0);
});

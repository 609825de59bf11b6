import { expect, test } from 'vitest';
import { moment, nodeId, type Moment } from '../common/ids.js';
import type { Version } from '../common/version.js';
import { QuorumReads } from './quorum-reads.js';
import { DutyNode, SOUND_DISK } from './testing/duty-node.js';

const NOW = moment(10_000);
const EPOCH = 4;
const COMMITTED: Version = { epoch: EPOCH, count: 7 };
const INCARNATION = 1000;

/** Whether the node has taken over the state in the epoch that it leads. */
type Lead = 'serving' | 'taking over';

/** What a quorum read for the rejection of an order proves, to a node that leads when its majority answers. */
function proofAt(lead: Lead, newest: Version): readonly boolean[] {
  const node = new DutyNode(SOUND_DISK);
  const proofs: boolean[] = [];
  const reads = new QuorumReads({
    ...node.replica,
    incarnation: INCARNATION,
    members: node.duties.members,
    table: node.duties.placement.table,
    updates: node.duties.updates,
    needsMachines: false,
    onConfirmation: (_now: Moment, _id: number, isNewest: boolean) => proofs.push(isNewest),
  });
  node.replica.leadership.begin(EPOCH);
  if (lead === 'serving') node.replica.leadership.serve();
  reads.confirmRefusal();
  reads.tick(NOW);
  const message = { kind: 'quorumReadReply', nonce: INCARNATION + 1, ...newest, marks: 0 } as const;
  reads.onQuorumReadReply(NOW, nodeId('b'), message);
  return proofs;
}

test('a quorum read without a later leader proves to a serving leader that it knows the newest', () => {
  expect(proofAt('serving', COMMITTED)).toEqual([true]);
});

test('a quorum read that finds a later leader proves nothing', () => {
  expect(proofAt('serving', { epoch: EPOCH + 2, count: 1 })).toEqual([false]);
});

test('a quorum read proves nothing to a leader that has not yet taken over the state', () => {
  // What an earlier leader committed may be newer than what this node has loaded.
  expect(proofAt('taking over', COMMITTED)).toEqual([false]);
  expect(proofAt('taking over', { epoch: EPOCH - 2, count: 99 })).toEqual([false]);
});

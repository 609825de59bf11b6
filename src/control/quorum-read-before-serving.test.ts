import { expect, test } from 'vitest';
import { moment, nodeId, type Moment } from '../common/ids.js';
import type { Version } from '../common/version.js';
import { QuorumReads } from './quorum-reads.js';
import { ComponentsNode, SOUND_DISK } from './testing/components-node.js';

const NOW = moment(10_000);
const EPOCH = 4;
const COMMITTED: Version = { epoch: EPOCH, count: 7 };
const INCARNATION = 1000;

/** Whether the node has taken over the state in the epoch that it leads. */
type LeadershipState = 'serving' | 'taking over';

/** The confirmations that a leading node gets from a quorum read for a rejection, once a majority has replied. */
function confirmationsAt(leadershipState: LeadershipState, newest: Version): readonly boolean[] {
  const node = new ComponentsNode(SOUND_DISK);
  const confirmations: boolean[] = [];
  const reads = new QuorumReads({
    ...node.replica,
    incarnation: INCARNATION,
    members: node.components.members,
    table: node.components.placement.table,
    updates: node.components.updates,
    needsMachines: false,
    onConfirmation: (_now: Moment, _id: number, isNewest: boolean) => confirmations.push(isNewest),
  });
  node.replica.leadership.begin(EPOCH);
  if (leadershipState === 'serving') node.replica.leadership.serve();
  reads.confirmRejection();
  reads.tick(NOW);
  const message = { kind: 'quorumReadReply', nonce: INCARNATION + 1, ...newest, marks: 0 } as const;
  reads.onQuorumReadReply(NOW, nodeId('b'), message);
  return confirmations;
}

test('a quorum read without a later leader confirms to a serving leader that its configuration is the newest', () => {
  expect(confirmationsAt('serving', COMMITTED)).toEqual([true]);
});

test('a quorum read that finds a later leader confirms nothing', () => {
  expect(confirmationsAt('serving', { epoch: EPOCH + 2, count: 1 })).toEqual([false]);
});

test('a quorum read confirms nothing to a leader that has not yet taken over the state', () => {
  // An earlier leader may have committed a newer configuration than this node has loaded.
  expect(confirmationsAt('taking over', COMMITTED)).toEqual([false]);
  expect(confirmationsAt('taking over', { epoch: EPOCH - 2, count: 99 })).toEqual([false]);
});

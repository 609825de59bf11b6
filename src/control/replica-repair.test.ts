import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicaStatusOutcome } from '../state/replica-status.js';
import { ComponentsNode } from './testing/components-node.js';

const NOW = moment(10_000);
const VERSION = { epoch: 3, count: 1 };
const REPAIRED: ReplicaStatusOutcome = {
  become: 'repaired',
  epoch: 3,
  copies: [{ part: CONFIG_PARTITION, ...VERSION, body: '{}', sound: true }],
};
test('a repaired node counts once its partitions and then its vote record are on disk', () => {
  const node = new ComponentsNode([]);
  const { repair, stateMessages } = node.components;
  const { replicaStatus } = node.replica;
  expect(repair.isInProgress).toBe(false);
  repair.resolve(NOW, REPAIRED);
  expect(repair.isInProgress).toBe(true);
  expect(repair.mayPersistVotes).toBe(false);
  stateMessages.onPersisted(NOW, CONFIG_PARTITION, VERSION);
  expect(repair.mayPersistVotes).toBe(true);
  expect(replicaStatus.name).toBe('blank');
  repair.onVotePersisted({ epoch: 3, count: 1 });
  expect(replicaStatus.name).toBe('sound');
  expect(repair.isInProgress).toBe(false);
});
test('a repair in progress is not started again', () => {
  const node = new ComponentsNode([]);
  node.components.repair.resolve(NOW, REPAIRED);
  node.drain();
  node.components.repair.resolve(NOW, REPAIRED);
  expect(node.drain()).toEqual([]);
});
test('a node that starts a new cluster counts once its first vote record is on disk', () => {
  const node = new ComponentsNode([]);
  const { repair } = node.components;
  repair.resolve(NOW, { become: 'founded', epoch: 0 });
  expect(node.drain()).toEqual([{ do: 'log', event: { event: 'cluster formed' } }]);
  expect(repair.mayPersistVotes).toBe(true);
  repair.onVotePersisted({ epoch: 1, count: 1 });
  expect(node.replica.replicaStatus.name).toBe('sound');
});

import { expect, test } from 'vitest';
import { nodeId, moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { Quorum as Voters } from '../common/quorum.js';
import { ReplicaStatus } from './replica-status.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const quorum = new Voters([a, b, c]);
function returned(standing: string, epoch: number): Extract<Message, { kind: 'readReply' }> {
  return { kind: 'readReply', epoch, nonce: 1, sound: false, copies: [], standing };
}
function start(): ReplicaStatus {
  const standing = new ReplicaStatus(a, 'blank', moment(0), 1000, 0);
  standing.tick(moment(1500), quorum);
  return standing;
}
test('blank seeds found together', () => {
  const standing = start();
  expect(standing.onReadReply(moment(1600), b, returned('blank', 0), quorum)).toBeUndefined();
  expect(standing.onReadReply(moment(1600), c, returned('blank', 0), quorum)).toEqual({
    become: 'founded',
    epoch: 0,
  });
});
test('a seed that is slow to found still founds beside one that was not', () => {
  // A peer that founded first has already run its epoch up alone.
  const standing = start();
  standing.onReadReply(moment(1600), b, returned('fresh', 23), quorum);
  expect(standing.onReadReply(moment(1600), c, returned('blank', 0), quorum)).toEqual({
    become: 'founded',
    epoch: 0,
  });
});
test('nothing is founded over what a member still holds, but by an operator', () => {
  const standing = start();
  standing.onMemberEpoch(4);
  standing.onReadReply(moment(1600), b, returned('blank', 0), quorum);
  expect(standing.onReadReply(moment(1600), c, returned('blank', 0), quorum)).toBeUndefined();
  standing.forceNewCluster();
  expect(standing.outcome(moment(1700), quorum)).toEqual({ become: 'founded', epoch: 4 });
});
test('a lost disk counts again only after all others were read', () => {
  const standing = start();
  // One peer alone may not know what we decided with the other.
  expect(standing.onReadReply(moment(1600), b, returned('sound', 8), quorum)).toBeUndefined();
  expect(standing.onReadReply(moment(1600), c, returned('blank', 0), quorum)).toBeUndefined();
  expect(standing.onReadReply(moment(1600), c, returned('sound', 6), quorum)).toEqual({
    become: 'repaired',
    epoch: 8,
    copies: [],
  });
});

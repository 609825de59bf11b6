import { expect, test } from 'vitest';
import { nodeId, moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import { ReplicaStatus } from './replica-status.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const quorum = new Quorum([a, b, c]);
function readReply(standing: string, epoch: number): Extract<Message, { kind: 'readReply' }> {
  return { kind: 'readReply', epoch, nonce: 1, sound: false, copies: [], standing };
}
function startedStatus(): ReplicaStatus {
  const status = new ReplicaStatus(a, 'blank', moment(0), 1000, 0);
  status.tick(moment(1500), quorum);
  return status;
}
test('blank seeds form a cluster together', () => {
  const status = startedStatus();
  expect(status.onReadReply(moment(1600), b, readReply('blank', 0), quorum)).toBeUndefined();
  expect(status.onReadReply(moment(1600), c, readReply('blank', 0), quorum)).toEqual({
    become: 'founded',
    epoch: 0,
  });
});
test('a blank seed still forms the cluster after a faster seed has formed it', () => {
  // A peer that formed the cluster first has already raised its epoch on its own.
  const status = startedStatus();
  status.onReadReply(moment(1600), b, readReply('fresh', 23), quorum);
  expect(status.onReadReply(moment(1600), c, readReply('blank', 0), quorum)).toEqual({
    become: 'founded',
    epoch: 0,
  });
});
test('a cluster whose configuration a member has is replaced only by an operator', () => {
  const status = startedStatus();
  status.onMemberEpoch(4);
  status.onReadReply(moment(1600), b, readReply('blank', 0), quorum);
  expect(status.onReadReply(moment(1600), c, readReply('blank', 0), quorum)).toBeUndefined();
  status.forceNewCluster();
  expect(status.outcome(moment(1700), quorum)).toEqual({ become: 'founded', epoch: 4 });
});
test('a replica that lost its disk is repaired only after all other voters were read', () => {
  const status = startedStatus();
  // A single peer may not have the writes that this replica committed with the other one.
  expect(status.onReadReply(moment(1600), b, readReply('sound', 8), quorum)).toBeUndefined();
  expect(status.onReadReply(moment(1600), c, readReply('blank', 0), quorum)).toBeUndefined();
  expect(status.onReadReply(moment(1600), c, readReply('sound', 6), quorum)).toEqual({
    become: 'repaired',
    epoch: 8,
    copies: [],
  });
});

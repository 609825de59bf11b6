import { expect, test } from 'vitest';
import { moment, nodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { ControlEffect } from './control-effect.js';
import { ComponentsNode, MACHINES, SOUND_DISK } from './testing/components-node.js';

const NOW = moment(10_000);
const EPOCH = 4;
const COMMITTED = { epoch: EPOCH, count: 7 };
const ORIGIN = { from: '', id: 5 };
/** The nonce of the first quorum read: one more than the incarnation. */
const NONCE = 1001;
const OTHER = nodeId('b');

/** A serving leader, with a configuration that it knows to be committed. */
function servingLeader(): ComponentsNode {
  const node = new ComponentsNode(SOUND_DISK);
  node.components.updates.onMachineList(MACHINES);
  node.replica.leadership.begin(EPOCH);
  node.replica.leadership.serve();
  node.replica.relay.offer('config', COMMITTED, 'the configuration');
  node.drain();
  return node;
}

function reply(node: ComponentsNode, version: Version): void {
  const message = { kind: 'quorumReadReply', nonce: NONCE, ...version, marks: 2 } as const;
  node.components.reads.onQuorumReadReply(NOW, OTHER, message);
}

function statusOf(effects: readonly ControlEffect[]): number | undefined {
  for (const effect of effects) if (effect.do === 'reply') return effect.status;
  return undefined;
}
test('a read is answered once a majority has replied with its versions', () => {
  const node = servingLeader();
  node.components.reads.read(ORIGIN);
  node.components.reads.tick(NOW);
  const request = { kind: 'quorumRead', nonce: NONCE, members: [] };
  expect(node.sent()).toEqual([
    ['b', request],
    ['c', request],
  ]);
  reply(node, COMMITTED);
  const answer = { do: 'reply', id: ORIGIN.id, status: 200, body: 'the configuration' };
  expect(node.drain()).toEqual([answer]);
  // The quorum read is complete: another reply to it has no effect.
  reply(node, COMMITTED);
  expect(node.drain()).toEqual([]);
});
test('a read is rejected if a later leader has written', () => {
  const node = servingLeader();
  node.components.reads.read(ORIGIN);
  node.components.reads.tick(NOW);
  node.drain();
  reply(node, { epoch: EPOCH + 1, count: 1 });
  expect(statusOf(node.drain())).toBe(503);
});
test('a node that steps down rejects its pending reads at once, and does not answer them again later', () => {
  const node = servingLeader();
  node.components.reads.read(ORIGIN);
  node.components.reads.tick(NOW);
  node.drain();
  node.components.reads.abandon();
  expect(statusOf(node.drain())).toBe(503);
  reply(node, COMMITTED);
  expect(node.drain()).toEqual([]);
});
test('a member is confirmed with the newest configuration and list of machines of a majority', () => {
  const node = servingLeader();
  node.components.reads.confirmFreshness(NOW, { child: 'm', nonce: 9, members: ['m'] });
  expect(node.sent()).toHaveLength(2);
  reply(node, COMMITTED);
  const { revision: marks } = MACHINES;
  expect(node.sent()).toEqual([['m', { kind: 'freshnessReply', nonce: 9, ...COMMITTED, marks }]]);
});
test('a node that may have stored a newer version, or has no list of machines, does not reply', () => {
  const message: Message = { kind: 'quorumRead', nonce: 3, members: [] };
  const blank = new ComponentsNode([]);
  blank.components.updates.onMachineList(MACHINES);
  blank.drain();
  blank.components.reads.onQuorumRead(NOW, 'b', message);
  expect(blank.sent()).toEqual([]);
  const withoutList = new ComponentsNode(SOUND_DISK);
  withoutList.components.reads.onQuorumRead(NOW, 'b', message);
  for (const [, sent] of withoutList.sent()) expect(sent.kind).toBe('freshnessRequest');
});

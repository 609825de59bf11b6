import { expect, test } from 'vitest';
import { moment, nodeId } from '../common/ids.js';
import { ComponentsNode, MACHINES, type Sent } from './testing/components-node.js';

const NOW = moment(10_000);

function recipients(sent: readonly Sent[]): string[] {
  const ids: string[] = [];
  for (const [to] of sent) ids.push(to);
  return ids;
}
test('a newer list of machines is forwarded at once to the other voters', () => {
  const node = new ComponentsNode([]);
  const body = JSON.stringify(MACHINES);
  const update = { kind: 'update', topic: 'machines', epoch: 0, count: 3, body } as const;
  node.components.updates.onUpdate('b', update);
  expect(node.sent()).toEqual([
    ['b', update],
    ['c', update],
  ]);
  node.components.updates.onUpdate('b', update);
  expect(node.sent()).toEqual([]);
});
test('a delta whose base is unknown here is requested as a complete update', () => {
  const node = new ComponentsNode([]);
  const delta = { kind: 'delta', topic: 'fleet', epoch: 2, from: 4, count: 5, body: '{}' } as const;
  node.components.updates.onDelta('b', delta);
  expect(node.sent()).toEqual([
    ['b', { kind: 'freshnessRequest', nonce: -1, have: [], members: [] }],
  ]);
});
test('the list of machines is requested from members and voters twice a second', () => {
  const node = new ComponentsNode([]);
  node.components.members.onMembersReported(NOW, 'b', [
    { id: 'm', zone: 'z', address: 'm:1', epoch: 0, count: 0 },
  ]);
  node.components.updates.requestMachineList(NOW);
  expect(recipients(node.sent())).toEqual(['m', 'b', 'c']);
  node.components.updates.requestMachineList(moment(NOW + 499));
  expect(node.sent()).toEqual([]);
  node.components.updates.requestMachineList(moment(NOW + 500));
  expect(recipients(node.sent())).toEqual(['m', 'b', 'c']);
});
test('a node that is not a child gets the requested updates once', () => {
  const node = new ComponentsNode([]);
  node.replica.relay.offer('config', { epoch: 1, count: 1 }, '{}');
  node.replica.relay.onKnownVersions('m', []);
  node.components.updates.onUpdateRequest('m');
  expect(recipients(node.sent())).toEqual(['m']);
  node.replica.relay.offer('config', { epoch: 1, count: 2 }, '{}');
  node.components.updates.flush();
  expect(node.sent()).toEqual([]);
});
test('messages of other kinds are not handled', () => {
  const node = new ComponentsNode([]);
  const isHandled = node.components.memberMessages.onMessage(NOW, 'b', {
    kind: 'renewed',
    epoch: 1,
    nonce: 1,
  });
  expect(isHandled).toBe(false);
  const stateMessages = node.components.stateMessages;
  expect(stateMessages.onMessage(NOW, nodeId('b'), { kind: 'renewed', epoch: 1, nonce: 1 })).toBe(
    false,
  );
});

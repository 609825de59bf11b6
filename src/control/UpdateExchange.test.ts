import { expect, test } from 'vitest';
import { moment, nodeId } from '../common/Ids.js';
import type { Message } from '../common/Messages.js';
import { VOTE_DEFAULTS } from '../election/VoteSettings.js';
import { PLACER_DEFAULTS } from '../placement/Placer.js';
import { CONTROL_DEFAULTS } from './ControlEffect.js';
import { ControlDuties } from './ControlDuties.js';
import { makeReplica, type ControlReplica } from './ControlReplica.js';
import type { UpdateExchange } from './UpdateExchange.js';

const NOW = moment(10_000);
const LIST = {
  revision: 3,
  machines: [{ id: 'r1', address: 'r1:1', zone: 'z', service: '', leaving: false }],
};

type Sent = readonly [string, Message];

/** The exchange of node `a` of three, with the effects of it. */
class Node {
  readonly replica: ControlReplica;
  readonly duties: ControlDuties;

  constructor() {
    const settings = {
      ...CONTROL_DEFAULTS,
      me: 'a',
      zone: 'z',
      incarnation: 1000,
      seeds: ['a', 'b', 'c'],
    };
    this.replica = makeReplica(settings, [], moment(0), VOTE_DEFAULTS);
    this.duties = new ControlDuties(settings, PLACER_DEFAULTS, this.replica, moment(0), {
      mayOrder: never,
      collect: doNothing,
      peers: nobody,
    });
  }

  get updates(): UpdateExchange {
    return this.duties.updates;
  }

  /** What was sent since it was asked last. */
  sent(): Sent[] {
    const sent: Sent[] = [];
    for (const effect of this.replica.effects.drain())
      if (effect.do === 'send') sent.push([effect.to, effect.message]);
    return sent;
  }
}

function never(): boolean {
  return false;
}
function doNothing(): void {
  /* Nothing is decided here. */
}
function nobody(): readonly string[] {
  return [];
}
function recipients(sent: readonly Sent[]): string[] {
  const ids: string[] = [];
  for (const [to] of sent) ids.push(to);
  return ids;
}

function checkMachines(): void {
  const node = new Node();
  const body = JSON.stringify(LIST);
  const update = { kind: 'update', topic: 'machines', epoch: 0, count: 3, body } as const;
  node.updates.receiveUpdate(update);
  expect(node.sent()).toEqual([
    ['b', update],
    ['c', update],
  ]);
  node.updates.receiveUpdate(update);
  expect(node.sent()).toEqual([]);
}
test('a newer list of machines is passed on at once to the other voters', checkMachines);

function checkDelta(): void {
  const node = new Node();
  const delta = { kind: 'delta', topic: 'fleet', epoch: 2, from: 4, count: 5, body: '{}' } as const;
  node.updates.receiveDelta('b', delta);
  expect(node.sent()).toEqual([
    ['b', { kind: 'freshnessRequest', nonce: -1, have: [], members: [] }],
  ]);
}
test('a change that follows on nothing held here is asked for whole', checkDelta);

function checkAsk(): void {
  const node = new Node();
  node.duties.members.noteHeard(NOW, 'b', [
    { id: 'm', zone: 'z', address: 'm:1', epoch: 0, count: 0 },
  ]);
  node.updates.askMachines(NOW);
  expect(recipients(node.sent())).toEqual(['m', 'b', 'c']);
  node.updates.askMachines(moment(NOW + 499));
  expect(node.sent()).toEqual([]);
  node.updates.askMachines(moment(NOW + 500));
  expect(recipients(node.sent())).toEqual(['m', 'b', 'c']);
}
test('members and voters are asked for the list of machines twice a second', checkAsk);

function checkOnce(): void {
  const node = new Node();
  node.replica.relay.offer('config', { epoch: 1, count: 1 }, '{}');
  node.replica.relay.heard('m', []);
  node.updates.answerOnce('m');
  expect(recipients(node.sent())).toEqual(['m']);
  node.replica.relay.offer('config', { epoch: 1, count: 2 }, '{}');
  node.updates.flush();
  expect(node.sent()).toEqual([]);
}
test('whoever is fed elsewhere is answered once', checkOnce);

function checkUnknownNode(): void {
  const node = new Node();
  const isTaken = node.duties.memberMessages.receive(NOW, 'b', {
    kind: 'renewed',
    epoch: 1,
    nonce: 1,
  });
  expect(isTaken).toBe(false);
  const state = node.duties.stateMessages;
  expect(state.receive(NOW, nodeId('b'), { kind: 'renewed', epoch: 1, nonce: 1 })).toBe(false);
}
test('messages of another family are left to it', checkUnknownNode);

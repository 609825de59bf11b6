import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { FAN_OUT, Sessions } from '../dissemination/sessions.js';
import { Relay } from '../dissemination/relay.js';
import { EffectQueue } from './effect-queue.js';
import { RelayTree } from './relay-tree.js';

const NOW = moment(0);

class Tree {
  readonly effects = new EffectQueue();
  readonly sessions = new Sessions(500, 2000);
  readonly relay = new Relay();
  readonly tree = new RelayTree({
    sessions: this.sessions,
    relay: this.relay,
    effects: this.effects,
    controlNodeChildren: fedNodes,
  });

  join(id: string, lost = ''): void {
    const message = { kind: 'join', zone: 'z', address: `${id}:1`, epoch: 0, count: 0, lost };
    this.tree.onJoin(NOW, id, { ...message, kind: 'join' });
  }

  /** What was sent since it was asked last. */
  sent(): readonly (readonly [string, Message])[] {
    const sent: (readonly [string, Message])[] = [];
    for (const effect of this.effects.drain())
      if (effect.do === 'send') sent.push([effect.to, effect.message]);
    return sent;
  }
}

function fedNodes(): readonly string[] {
  return ['peer'];
}

function assigned(to: string, parent: string): readonly [string, Message] {
  return [to, { kind: 'assignParent', parent }];
}
test('each agent is told its parent, and only those under this node are fed', () => {
  const tree = new Tree();
  tree.join('a');
  expect(tree.sent()).toEqual([assigned('a', '')]);
  // More than hang under one node: the others get parents among those before them.
  const others = ['b', 'c', 'd', 'e', 'f', 'g'].slice(0, FAN_OUT + 2);
  for (const id of others) tree.join(id);
  expect(tree.sent().length).toBeGreaterThanOrEqual(others.length);
  for (const id of ['a', ...others])
    expect(tree.tree.isChild(id)).toBe(tree.tree.parentOf(id) === '');
  expect(others.some((id) => tree.tree.parentOf(id) !== '')).toBe(true);
});
test('an unchanged parent is told to whoever joins again alone', () => {
  const tree = new Tree();
  tree.join('a');
  tree.sent();
  tree.tree.reassignParents();
  expect(tree.sent()).toEqual([]);
  tree.join('a');
  expect(tree.sent()).toEqual([assigned('a', '')]);
});
test('an agent whose connection closed is fed no more, other control nodes are', () => {
  const tree = new Tree();
  tree.join('a');
  tree.tree.onDisconnect('a');
  tree.tree.reassignParents();
  expect(tree.tree.isChild('a')).toBe(false);
  expect(tree.tree.isChild('peer')).toBe(true);
});

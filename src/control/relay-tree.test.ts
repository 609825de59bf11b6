import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { FAN_OUT, Sessions } from '../dissemination/sessions.js';
import { Relay } from '../dissemination/relay.js';
import { EffectQueue } from './effect-queue.js';
import { RelayTree } from './relay-tree.js';

const NOW = moment(0);

class TreeFixture {
  readonly effects = new EffectQueue();
  readonly sessions = new Sessions(500, 2000);
  readonly relay = new Relay();
  readonly tree = new RelayTree({
    sessions: this.sessions,
    relay: this.relay,
    effects: this.effects,
    controlNodeChildren: otherControlNodes,
  });

  join(id: string, lost = ''): void {
    const message = { kind: 'join', zone: 'z', address: `${id}:1`, epoch: 0, count: 0, lost };
    this.tree.onJoin(NOW, id, { ...message, kind: 'join' });
  }

  /** The messages sent since the previous call. */
  sent(): readonly (readonly [string, Message])[] {
    const sent: (readonly [string, Message])[] = [];
    for (const effect of this.effects.drain())
      if (effect.do === 'send') sent.push([effect.to, effect.message]);
    return sent;
  }
}

function otherControlNodes(): readonly string[] {
  return ['peer'];
}

function assigned(to: string, parent: string): readonly [string, Message] {
  return [to, { kind: 'assignParent', parent }];
}
test('each agent is notified of its parent, and only those without one are children of this node', () => {
  const fixture = new TreeFixture();
  fixture.join('a');
  expect(fixture.sent()).toEqual([assigned('a', '')]);
  // More agents than a node may have children: the others get parents among the earlier agents.
  const others = ['b', 'c', 'd', 'e', 'f', 'g'].slice(0, FAN_OUT + 2);
  for (const id of others) fixture.join(id);
  expect(fixture.sent().length).toBeGreaterThanOrEqual(others.length);
  for (const id of ['a', ...others])
    expect(fixture.tree.isChild(id)).toBe(fixture.tree.parentOf(id) === '');
  expect(others.some((id) => fixture.tree.parentOf(id) !== '')).toBe(true);
});
test('an unchanged parent is sent only to an agent that joins again', () => {
  const fixture = new TreeFixture();
  fixture.join('a');
  fixture.sent();
  fixture.tree.reassignParents();
  expect(fixture.sent()).toEqual([]);
  fixture.join('a');
  expect(fixture.sent()).toEqual([assigned('a', '')]);
});
test('an agent whose connection closed is no longer a child, other control nodes still are', () => {
  const fixture = new TreeFixture();
  fixture.join('a');
  fixture.tree.onDisconnect('a');
  fixture.tree.reassignParents();
  expect(fixture.tree.isChild('a')).toBe(false);
  expect(fixture.tree.isChild('peer')).toBe(true);
});

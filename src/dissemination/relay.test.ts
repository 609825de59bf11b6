import { expect, test, vi } from 'vitest';
import { Relay } from './relay.js';
test('the version of a topic never decreases', () => {
  const relay = new Relay();
  expect(relay.offer('config', { epoch: 4, count: 1 }, 'new')).toBe(true);
  expect(relay.offer('config', { epoch: 2, count: 9 }, 'old')).toBe(false);
  expect(relay.latest('config')?.body).toBe('new');
});
test('only the newest version of a burst is sent, and a dropped one is sent again', () => {
  const relay = new Relay();
  relay.addChild('x');
  for (let count = 1; count <= 50; count += 1)
    relay.offer('config', { epoch: 2, count }, `body ${count}`);
  expect(relay.flush()).toEqual([
    { to: 'x', message: { kind: 'update', topic: 'config', epoch: 2, count: 50, body: 'body 50' } },
  ]);
  expect(relay.flush()).toEqual([]);
  relay.onKnownVersions('x', [{ topic: 'config', epoch: 2, count: 3 }]);
  expect(relay.flush()).toHaveLength(1);
});
/** A large fleet takes long to parse: applied one by one, each delta would cost as much as the whole snapshot. */
test('many deltas are applied to the snapshot together', () => {
  const relay = new Relay();
  const snapshot = JSON.stringify({ flows: 1, runners: [], waits: [] });
  relay.offer('fleet', { epoch: 2, count: 1 }, snapshot);
  const parseSpy = vi.spyOn(JSON, 'parse');
  for (let count = 2; count <= 60; count += 1)
    expect(
      relay.offerDelta(
        'fleet',
        { epoch: 2, count },
        count - 1,
        JSON.stringify({ flows: count, waits: [], put: [], drop: [] }),
      ),
    ).toBe(true);
  expect(JSON.parse(relay.latest('fleet')?.body ?? '')).toEqual({
    flows: 60,
    runners: [],
    waits: [],
  });
  expect(
    parseSpy.mock.calls.filter(([text]) => typeof text === 'string' && text.includes('"runners"'))
      .length,
  ).toBeLessThanOrEqual(3);
  parseSpy.mockRestore();
});

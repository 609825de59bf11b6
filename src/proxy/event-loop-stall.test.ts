import { expect, test } from 'vitest';
import { Dispatcher } from './dispatcher.js';
import type { DispatchEffect } from './dispatch-types.js';
import { at, headOf, ROUTING, runnerOf } from './testing/dispatch-fixtures.js';

const TICK_MS = 50;
const CONNECT_MS = 300;

function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
function kindOf(effect: DispatchEffect): string {
  return effect.do;
}

/** A proxy with one runner, whose process has ticked for a while. */
function ticking(untilMs: number): Dispatcher {
  const dispatcher = new Dispatcher({
    proxyId: 'f',
    zone: 'za',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: CONNECT_MS,
    random: zero,
    hasIdleConnection: always,
  });
  dispatcher.onConfiguration(at(0), ROUTING, []);
  dispatcher.onFleet(at(0), { flows: 1, runners: [runnerOf('a')], waits: [] });
  for (let ms = 0; ms <= untilMs; ms += TICK_MS) dispatcher.tick(at(ms));
  return dispatcher;
}

/** The connection came to stand while the process stood still: its first tick comes before it can have read that. */
test("a proxy's own standstill is not taken for a runner that cannot be reached", () => {
  const dispatcher = ticking(1000);
  dispatcher.onRequest(at(1000), headOf(1));
  expect(dispatcher.drainEffects().map(kindOf)).toEqual(['send']);
  dispatcher.tick(at(1000 + CONNECT_MS + 100));
  expect(dispatcher.drainEffects()).toEqual([]);
  expect(dispatcher.onConnect(at(1000 + CONNECT_MS + 101), 1, 1)).toBe(true);
});
test('a runner that does not answer after it either is given up one tick later', () => {
  const dispatcher = ticking(1000);
  dispatcher.onRequest(at(1000), headOf(1));
  dispatcher.drainEffects();
  dispatcher.tick(at(1000 + CONNECT_MS + 100));
  // Nothing had come by then: the runner does not answer.
  dispatcher.tick(at(1000 + CONNECT_MS + 100 + TICK_MS));
  expect(dispatcher.drainEffects().map(kindOf)).toEqual(['cancel', 'reject']);
});

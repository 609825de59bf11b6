import { expect, test } from 'vitest';
import { Dispatcher } from './dispatcher.js';
import type { DispatchEffect } from './dispatch-types.js';
import { at, headOf, ROUTING, runnerOf } from './testing/dispatch-fixtures.js';

const TICK_MS = 50;
const CONNECT_TIMEOUT_MS = 300;

function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
function kindOf(effect: DispatchEffect): string {
  return effect.do;
}

/** A dispatcher with one runner that has ticked regularly until `untilMs`. */
function newTickedDispatcher(untilMs: number): Dispatcher {
  const dispatcher = new Dispatcher({
    proxyId: 'f',
    zone: 'za',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    random: zero,
    hasIdleConnection: always,
  });
  dispatcher.onConfiguration(at(0), ROUTING, []);
  dispatcher.onFleet(at(0), { flows: 1, runners: [runnerOf('a')], waits: [] });
  for (let ms = 0; ms <= untilMs; ms += TICK_MS) dispatcher.tick(at(ms));
  return dispatcher;
}

/** The connection was established during a stall of the process; the first tick comes before that event is read. */
test('a stall of the proxy does not count as a connect timeout of the runner', () => {
  const dispatcher = newTickedDispatcher(1000);
  dispatcher.onRequest(at(1000), headOf(1));
  expect(dispatcher.drainEffects().map(kindOf)).toEqual(['send']);
  dispatcher.tick(at(1000 + CONNECT_TIMEOUT_MS + 100));
  expect(dispatcher.drainEffects()).toEqual([]);
  expect(dispatcher.onConnect(at(1000 + CONNECT_TIMEOUT_MS + 101), 1, 1)).toBe(true);
});
test('a connection that is still not established one tick after a stall times out', () => {
  const dispatcher = newTickedDispatcher(1000);
  dispatcher.onRequest(at(1000), headOf(1));
  dispatcher.drainEffects();
  dispatcher.tick(at(1000 + CONNECT_TIMEOUT_MS + 100));
  // All events have been read by the next tick: the runner did not accept the connection.
  dispatcher.tick(at(1000 + CONNECT_TIMEOUT_MS + 100 + TICK_MS));
  expect(dispatcher.drainEffects().map(kindOf)).toEqual(['cancel', 'reject']);
});

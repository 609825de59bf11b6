import { expect, test } from 'vitest';
import type { Route } from '../route/routing.js';
import { clientTimeoutAt, silenceTimeoutMs } from './client-timeout.js';
import { at, ROUTING } from './testing/dispatch-fixtures.js';

function routeNamed(name: string, overrides: Partial<Route> = {}): Route {
  const route = ROUTING.routes.find((known) => known.name === name);
  if (!route) throw new Error(`no route ${name}`);
  return { ...route, ...overrides };
}

test('the silence timeout is the longest of 2 s, four latency targets and eight gap targets', () => {
  const gapTarget = { gapTargetMs: 300 };
  expect(silenceTimeoutMs(routeNamed('stream', { latencyTargetMs: 300, ...gapTarget }))).toBe(2400);
  expect(silenceTimeoutMs(routeNamed('stream', { latencyTargetMs: 6000, ...gapTarget }))).toBe(
    24_000,
  );
  expect(silenceTimeoutMs(routeNamed('stream', { latencyTargetMs: 100, gapTargetMs: 50 }))).toBe(
    2000,
  );
});

test('clients of other routes wait until their deadline', () => {
  expect(silenceTimeoutMs(routeNamed('safe'))).toBe(Infinity);
  expect(clientTimeoutAt(routeNamed('once'), at(100), at(5100))).toBe(5100);
});

test('a client never waits beyond its deadline', () => {
  const route = routeNamed('stream', { latencyTargetMs: 300, gapTargetMs: 300 });
  expect(clientTimeoutAt(route, at(100), at(6100))).toBe(2500);
  expect(clientTimeoutAt(route, at(100), at(1100))).toBe(1100);
});

import { expect, test } from 'vitest';
import type { Route } from '../route/routing.js';
import { patienceEnd, silenceLimitMs } from './client-patience.js';
import { at, ROUTING } from './testing/dispatch-fixtures.js';

function routeNamed(name: string, overrides: Partial<Route> = {}): Route {
  const route = ROUTING.routes.find((known) => known.name === name);
  if (!route) throw new Error(`no route ${name}`);
  return { ...route, ...overrides };
}

test('the silence timeout is the longest of 2 s, four latency targets and eight gap targets', () => {
  const gapTarget = { gapTargetMs: 300 };
  expect(silenceLimitMs(routeNamed('stream', { latencyTargetMs: 300, ...gapTarget }))).toBe(2400);
  expect(silenceLimitMs(routeNamed('stream', { latencyTargetMs: 6000, ...gapTarget }))).toBe(
    24_000,
  );
  expect(silenceLimitMs(routeNamed('stream', { latencyTargetMs: 100, gapTargetMs: 50 }))).toBe(
    2000,
  );
});

test('clients of other routes wait until their deadline', () => {
  expect(silenceLimitMs(routeNamed('safe'))).toBe(Infinity);
  expect(patienceEnd(routeNamed('once'), at(100), at(5100))).toBe(5100);
});

test('a client never waits beyond its deadline', () => {
  const route = routeNamed('stream', { latencyTargetMs: 300, gapTargetMs: 300 });
  expect(patienceEnd(route, at(100), at(6100))).toBe(2500);
  expect(patienceEnd(route, at(100), at(1100))).toBe(1100);
});

import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
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

test('the targets of a route are read where its silence timeout is computed, and nowhere else', () => {
  const source = fileURLToPath(new URL('..', import.meta.url));
  const readers: string[] = [];
  for (const folder of ['proxy', 'placement', 'agent', 'control'])
    for (const file of readdirSync(join(source, folder))) {
      if (!file.endsWith('.ts') || file.endsWith('.test.ts')) continue;
      const text = readFileSync(join(source, folder, file), 'utf8');
      if (/latencyTargetMs|gapTargetMs/.test(text)) readers.push(`${folder}/${file}`);
    }
  expect(readers).toEqual(['proxy/client-timeout.ts']);
});

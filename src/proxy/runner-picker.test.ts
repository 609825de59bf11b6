import { expect, test } from 'vitest';
import type { FleetRunner } from '../placement/fleet.js';
import type { DispatcherSettings } from './dispatch-types.js';
import { FleetView } from './fleet-view.js';
import type { RoutedRequest } from './routed-request.js';
import { RunnerPicker } from './runner-picker.js';
import { at, requestOf, runnerOf } from './testing/dispatch-fixtures.js';

class Bench {
  readonly fleet = new FleetView();
  readonly picker: RunnerPicker;

  constructor(
    proxyCount: number,
    runners: readonly FleetRunner[],
    more: Partial<DispatcherSettings>,
  ) {
    this.picker = new RunnerPicker(
      {
        proxyId: 'f',
        zone: 'za',
        retry: { ratio: 0, extra: 0, windowMs: 10_000 },
        warmupExcess: 1,
        connectTimeoutMs: 300,
        hasIdleConnection: always,
        random: zero,
        ...more,
      },
      this.fleet,
    );
    this.fleet.update(at(0), { flows: proxyCount, runners: [...runners], waits: [] });
  }

  pick(request: RoutedRequest, now = 0): string | undefined {
    return this.picker.pick(at(now), request)?.info.id;
  }
}

function benchOf(...runners: readonly FleetRunner[]): Bench {
  return new Bench(1, runners, {});
}
function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
function isAtB(address: string): boolean {
  return address === 'b:1';
}
test('the cost depends on zone, warm-up, idle connections and pending requests', () => {
  expect(benchOf(runnerOf('a', { zone: 'zb' }), runnerOf('b')).pick(requestOf(at(0), 1))).toBe('b');
  expect(benchOf(runnerOf('a', { coldMs: 10 }), runnerOf('b')).pick(requestOf(at(0), 1))).toBe('b');
  const idle = new Bench(1, [runnerOf('a'), runnerOf('b')], { hasIdleConnection: isAtB });
  expect(idle.pick(requestOf(at(0), 1))).toBe('b');
  const busy = benchOf(runnerOf('a'), runnerOf('b'));
  busy.fleet.runner('a')?.addRequest(at(0), requestOf(at(0), 1));
  expect(busy.pick(requestOf(at(0), 2))).toBe('b');
});
test('a request goes to a runner that has its shared prefix cached', () => {
  const bench = benchOf(runnerOf('a'), runnerOf('b'));
  const short = {
    prefix: [
      { id: 'p', tokens: 500 },
      { id: 'own', tokens: 1 },
    ],
  };
  const sent = requestOf(at(0), 1, { ...short, promptTokens: 0 });
  bench.fleet.runner('b')?.addRequest(at(0), sent);
  bench.fleet.runner('b')?.removeRequest(sent);
  expect(bench.pick(requestOf(at(0), 2, short))).toBe('b');
  // All proxies pick the same runner for a long shared prefix, whatever each of them sent before.
  const affinityRunners = new Set<string | undefined>();
  for (let count = 0; count < 20; count += 1) {
    const prefix = [
      { id: `q${count}`, tokens: 700 },
      { id: 'own', tokens: 1 },
    ];
    const request = requestOf(at(0), 3, { prefix });
    const affinityRunner = bench.pick(request);
    expect(benchOf(runnerOf('b'), runnerOf('a')).pick(request)).toBe(affinityRunner);
    affinityRunners.add(affinityRunner);
  }
  expect([...affinityRunners].sort()).toEqual(['a', 'b']);
});
test('runners that are draining, already tried, ejected or without the model are not picked', () => {
  const bench = benchOf(
    runnerOf('a', { isLeaving: true }),
    runnerOf('b', { holds: [] }),
    runnerOf('c'),
    runnerOf('d'),
  );
  const request = requestOf(at(0), 1);
  request.triedRunners.add('c');
  expect(bench.pick(request)).toBe('d');
  bench.fleet.runner('d')?.eject(at(0));
  expect([bench.pick(request), bench.picker.hasAvailable(at(0), request)]).toEqual([
    undefined,
    false,
  ]);
  // The model is loaded, though no runner that has it is available.
  expect(bench.picker.isLoaded(at(0), request)).toBe(true);
  const adapted = requestOf(at(0), 2, { adapter: 'a9' });
  expect([
    bench.picker.isLoaded(at(0), adapted),
    bench.picker.isModelLoaded(at(0), adapted),
  ]).toEqual([false, true]);
  expect(bench.pick(request, 500)).toBe('d');
  request.attemptsSent = request.route.maxAttempts;
  expect(bench.pick(request, 500)).toBe(undefined);
});
/** When the number of proxies that was published at 0 is settled. */
const SETTLED_MS = 1000;

test('the request rate of a warming runner is shared by all proxies', () => {
  // 70 % of 10 per second, shared by two proxies: three each.
  const bench = new Bench(2, [runnerOf('a', { coldMs: 5000 })], {});
  // Just after the start not all proxies may be counted yet.
  expect(bench.pick(requestOf(at(0), 9), SETTLED_MS - 1)).toBe(undefined);
  for (let id = 0; id < 3; id += 1) {
    const request = requestOf(at(0), id);
    expect(bench.pick(request, SETTLED_MS)).toBe('a');
    bench.fleet.runner('a')?.addRequest(at(SETTLED_MS), request);
  }
  expect(bench.pick(requestOf(at(0), 9), SETTLED_MS)).toBe(undefined);
  expect(bench.pick(requestOf(at(0), 9), SETTLED_MS + 1050)).toBe('a');
  // Of a hundred proxies, about seven may send one request each.
  let sendingProxies = 0;
  for (let count = 0; count < 100; count += 1) {
    const other = new Bench(100, [runnerOf('a', { coldMs: 5000 })], { proxyId: `f${count}` });
    if (other.pick(requestOf(at(0), 1), SETTLED_MS) === 'a') sendingProxies += 1;
  }
  expect(sendingProxies).toBeGreaterThan(1);
  expect(sendingProxies).toBeLessThan(15);
});
test('a runner that failed a request is picked only if no other has the model', () => {
  const near = runnerOf('a', { holds: [{ model: 'm', adapters: ['a1', 'a2'] }] });
  const bench = benchOf(near, runnerOf('b', { zone: 'zb' }));
  bench.fleet.runner('a')?.onRequestFailed(at(0));
  expect(bench.pick(requestOf(at(0), 1))).toBe('b');
  expect(bench.pick(requestOf(at(0), 2, { adapter: 'a2' }))).toBe('a');
  expect(bench.pick(requestOf(at(0), 3), 4000)).toBe('a');
});
test('a runner with slow first events is avoided, and tried again later', () => {
  const bench = benchOf(runnerOf('a'), runnerOf('b', { zone: 'zb' }));
  bench.fleet.runner('a')?.onResponseTime(at(0), 50);
  expect(bench.pick(requestOf(at(0), 1))).toBe('b');
  expect(bench.pick(requestOf(at(0), 2), 6000)).toBe('a');
});

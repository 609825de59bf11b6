import { expect, test } from 'vitest';
import { compile } from '../policy/language.js';
import { moment } from '../common/ids.js';
import { NO_VERSION } from '../common/version.js';
import type { Places, Seat } from '../placement/shapes.js';
import { PolicyRouter } from './policy-router.js';
import {
  type RequestInfo,
  POLICY_ROUTER_DEFAULTS,
  type RoutingVerdict,
} from './policy-router-types.js';

const POLICY =
  'map POST /c to check\nmap GET /l to lookup\nrow check heavy weight 90 take 1000/s late 10s once stream\nrow check light weight 10 take 1000/s late 10s once stream\nrow check slow weight 10 take 5/s late 10s once\nrow lookup @kiosk weight 5 take 1000/s late 2s repeatable';
class TestProxy {
  readonly router = new PolicyRouter({
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 2500,
    proxyId: 'f',
    maxPending: 20,
  });
  now = 0;
  #lastRequestId = 0;
  #lastVersion = 0;

  constructor(slots = 2) {
    this.updateConfig([]);
    this.updatePlaces(
      [
        { runner: 'a', primary: true, adapters: ['x'] },
        { runner: 'b', primary: false, adapters: ['x'] },
      ],
      slots,
    );
    this.confirmFreshness();
  }

  updateConfig(emptied: string[]): void {
    this.#lastVersion += 1;
    this.router.onUpdate(
      moment(this.now),
      'config',
      { epoch: 2, count: this.#lastVersion },
      JSON.stringify({
        number: this.#lastVersion,
        table: compile(POLICY).table,
        emptied,
        voters: [],
      }),
    );
  }

  updatePlaces(seats: Seat[], slots: number, flows = 2): void {
    this.#lastVersion += 1;
    const runners = [
      { id: 'a', address: 'a:1', zone: 'za', service: '', slots, upMs: 60_000 },
      { id: 'b', address: 'b:1', zone: 'zb', service: '', slots, upMs: 60_000 },
      { id: 'k', address: 'k:1', zone: 'za', service: 'kiosk', slots: 0, upMs: 0 },
    ];
    const places = ['heavy', 'light', 'slow'].map((model) => placeOf(seats, model));
    this.router.onUpdate(
      moment(this.now),
      'places',
      { epoch: 2, count: this.#lastVersion },
      JSON.stringify({ places, runners, flows, shares: [] }),
    );
  }

  confirmFreshness(): void {
    this.router.onFreshnessConfirmed(
      this.router.startFreshnessRequest(moment(this.now)),
      NO_VERSION,
      0,
    );
  }

  request(model: string, extra: Partial<RequestInfo> = {}): number {
    this.#lastRequestId += 1;
    this.router.onRequest(moment(this.now), {
      id: this.#lastRequestId,
      method: 'POST',
      path: '/c',
      model,
      adapter: '',
      prefixBlocks: [],
      ...extra,
    });
    return this.#lastRequestId;
  }

  drainVerdicts(): string[] {
    return this.router.drainVerdicts().map(verdictText);
  }
}
function placeOf(seats: Seat[], model: string): Place {
  return { model, seats, wait: '' };
}
type Place = Places['places'][number];
function verdictText(verdict: RoutingVerdict): string {
  return verdict.do === 'run'
    ? `${verdict.id} runs at ${verdict.runner}`
    : `${verdict.id} ${verdict.kind}`;
}
function isCrowded(text: string): boolean {
  return text.endsWith('crowded');
}
function isRunning(text: string): boolean {
  return text.includes('runs');
}
// Guards against FAILBACK and overloaded runners: a new leader may know only a few of the proxies at first.
test('runners get no more requests while a new leader counts fewer proxies', () => {
  const proxy = new TestProxy();
  const seats = [{ runner: 'a', primary: true, adapters: ['x'] }];
  // A proxy may use twice its even share: with eight slots and eight proxies, two.
  proxy.updatePlaces(seats, 8, 8);
  for (let count = 0; count < 6; count += 1) proxy.request('heavy');
  expect(proxy.drainVerdicts().filter(isRunning)).toHaveLength(2);
  proxy.updatePlaces(seats, 8, 1);
  expect(proxy.drainVerdicts()).toEqual([]);
  proxy.now += 10_000;
  proxy.confirmFreshness();
  proxy.updatePlaces(seats, 8, 1);
  proxy.request('heavy');
  expect(proxy.drainVerdicts().filter(isRunning).length).toBeGreaterThan(0);
});
test('a verdict is checked again before the first byte is written', () => {
  const proxy = new TestProxy();
  const ids = [proxy.request('heavy'), proxy.request('heavy'), proxy.request('heavy')];
  expect(proxy.drainVerdicts()).toEqual(['1 runs at a', '2 runs at a', '3 runs at b']);
  // The zone of its runner is evacuated before the first byte of request 1: it has not run, and is sent to another runner.
  expect(proxy.router.mayWrite(moment(0), ids[0] ?? 0)).toBe(true);
  proxy.updateConfig(['za']);
  expect(proxy.router.mayWrite(moment(0), ids[0] ?? 0)).toBe(false);
  proxy.router.rerouteUnwritten(moment(0), ids[0] ?? 0);
  expect(proxy.drainVerdicts()).toEqual(['1 runs at b']);
  // After a long stall the proxy has no valid freshness confirmation.
  expect(proxy.router.mayWrite(moment(5000), ids[2] ?? 0)).toBe(false);
  proxy.router.rerouteUnwritten(moment(5000), ids[2] ?? 0);
  proxy.router.rerouteUnwritten(moment(11_000), ids[1] ?? 0);
  expect(proxy.drainVerdicts()).toEqual(['3 blind', '2 limit-passed']);
});
test('retries of a service stay within a fifth of its requests and a few more over the whole fleet', () => {
  // Nine proxies with 40 requests each for one service whose runs all fail: 360 / 5 + 4 retries in all.
  let retryCount = 0;
  for (let proxyIndex = 0; proxyIndex < 9; proxyIndex += 1) {
    const proxy = new TestProxy();
    proxy.updatePlaces([], 2, 9);
    proxy.confirmFreshness();
    for (let index = 0; index < 40; index += 1) {
      proxy.now += 300;
      proxy.confirmFreshness();
      const id = proxy.request('', { method: 'GET', path: '/l' });
      if (proxy.router.onRunFailed(moment(proxy.now), id, true, true)) {
        retryCount += 1;
        proxy.router.onRunCompleted(moment(proxy.now), id);
      }
    }
  }
  expect(retryCount).toBeGreaterThan(60);
  expect(retryCount).toBeLessThanOrEqual(360 / 5 + 4);
});
function isOverRate(text: string): boolean {
  return text.endsWith('over-take');
}
test('prefers cached prefixes, then the primary, then the runner with the fewest running requests', () => {
  const proxy = new TestProxy();
  proxy.request('heavy');
  proxy.request('heavy', { prefixBlocks: ['p1', 'p2'] });
  proxy.request('heavy', { prefixBlocks: ['p1', 'p9'] });
  // The primary gets requests while it has capacity, then the secondary; a cached prefix takes precedence over both.
  expect(proxy.drainVerdicts()).toEqual(['1 runs at a', '2 runs at a', '3 runs at b']);
  proxy.router.onRunCompleted(moment(1), 1);
  proxy.router.onRunCompleted(moment(1), 2);
  proxy.router.onRunCompleted(moment(1), 3);
  proxy.request('heavy', { prefixBlocks: ['p1', 'p9'] });
  expect(proxy.drainVerdicts()).toEqual(['4 runs at b']);
});
test('the pending request of the highest weight starts first', () => {
  const proxy = new TestProxy();
  for (let index = 0; index < 4; index += 1) proxy.request('light');
  expect(proxy.drainVerdicts()).toHaveLength(4);
  proxy.request('light');
  proxy.request('heavy');
  proxy.router.onRunCompleted(moment(10), 1);
  expect(proxy.drainVerdicts()).toEqual(['6 runs at a']);
});
test('requests of a burst that cannot be served in time are rejected immediately', () => {
  const proxy = new TestProxy();
  proxy.request('light');
  proxy.now = 4000;
  proxy.confirmFreshness();
  proxy.router.onRunCompleted(moment(4000), 1);
  proxy.drainVerdicts();
  // Runs take 4 s and requests have 10 s: those that can't be served are rejected immediately, not near their deadline.
  for (let index = 0; index < 60; index += 1) proxy.request('light');
  const verdicts = proxy.drainVerdicts();
  expect(verdicts.filter(isCrowded).length).toBeGreaterThan(40);
  expect(verdicts.filter(isRunning).length).toBe(4);
  expect(proxy.router.pending + verdicts.length).toBe(60);
});
test('no request waits until near its deadline to be rejected', () => {
  // No run has ended yet, so the length of runs is unknown: pending requests are rejected well before their deadline.
  const proxy = new TestProxy(1);
  for (let index = 0; index < 5; index += 1) proxy.request('light');
  expect(proxy.drainVerdicts()).toHaveLength(2);
  for (proxy.now = 0; proxy.now < 5000; proxy.now += 100) {
    proxy.confirmFreshness();
    proxy.router.tick(moment(proxy.now));
    if (proxy.router.pending === 0) break;
  }
  expect(proxy.drainVerdicts().sort()).toEqual(['3 crowded', '4 crowded', '5 crowded']);
  expect(proxy.now).toBeLessThanOrEqual(3400);
});
test('a request that is sent to another runner waits behind those of more weight', () => {
  const proxy = new TestProxy(1);
  proxy.request('light');
  proxy.request('light');
  expect(proxy.drainVerdicts()).toEqual(['1 runs at a', '2 runs at b']);
  proxy.request('heavy');
  // Runner a is full; request 1 has to wait for b, and so has the heavier one.
  proxy.router.onUnprocessed(moment(0), 1, 'full');
  expect(proxy.drainVerdicts()).toEqual([]);
  proxy.router.onRunCompleted(moment(10), 2);
  expect(proxy.drainVerdicts()).toEqual(['3 runs at b']);
});
test('a proxy without a recent freshness confirmation rejects new requests', () => {
  const proxy = new TestProxy();
  proxy.now = 2499;
  proxy.request('heavy');
  proxy.now = 2500;
  proxy.request('heavy');
  expect(proxy.drainVerdicts()).toEqual(['1 runs at a', '2 blind']);
});
test('runners in evacuated zones and draining runners are not picked', () => {
  const proxy = new TestProxy();
  proxy.updateConfig(['za']);
  proxy.request('heavy');
  proxy.request('', { method: 'GET', path: '/l' });
  expect(proxy.drainVerdicts()).toEqual(['1 runs at b', '2 waits-for-place']);
  proxy.router.onUpdate(
    moment(0),
    'machines',
    { epoch: 0, count: 5 },
    JSON.stringify({
      revision: 5,
      machines: [{ id: 'b', address: 'b:1', zone: 'zb', service: '', leaving: true }],
    }),
  );
  proxy.request('heavy');
  expect(proxy.drainVerdicts()).toEqual(['3 waits-for-place']);
});
test('only unwritten or repeatable requests are sent to another runner', () => {
  const proxy = new TestProxy();
  proxy.request('heavy');
  proxy.router.onUnprocessed(moment(0), 1, 'unreached');
  expect(proxy.drainVerdicts()).toEqual(['1 runs at a', '1 runs at b']);
  // Bytes were written: a request that may run only once is never retried.
  expect(proxy.router.onRunFailed(moment(0), 1, true)).toBe(false);
  proxy.request('', { method: 'GET', path: '/l' });
  expect(proxy.router.onRunFailed(moment(0), 2, true)).toBe(true);
  expect(proxy.drainVerdicts()).toEqual(['2 runs at k', '2 no-runner']);
});
test('a row admits what its share of the rate allows', () => {
  const proxy = new TestProxy(40);
  for (let index = 0; index < 12; index += 1) proxy.request('slow');
  // This proxy's share is half of five requests per second, and the burst is two seconds of it.
  expect(proxy.drainVerdicts().filter(isOverRate)).toHaveLength(7);
});
test('a request whose client disconnects while it is pending never runs', () => {
  const proxy = new TestProxy(1);
  proxy.request('heavy');
  proxy.request('heavy');
  proxy.request('heavy');
  expect(proxy.router.pending).toBe(1);
  proxy.router.onClientDisconnect(moment(0), 3);
  proxy.router.onRunCompleted(moment(5), 1);
  expect(proxy.drainVerdicts()).toEqual(['1 runs at a', '2 runs at b']);
});
test('draining rejects pending requests and keeps running ones', () => {
  const proxy = new TestProxy(1);
  for (let index = 0; index < 3; index += 1) proxy.request('heavy');
  proxy.router.startDraining(moment(0));
  proxy.request('heavy');
  expect(proxy.drainVerdicts()).toEqual(['1 runs at a', '2 runs at b', '3 draining', '4 draining']);
  expect(proxy.router.running).toBe(2);
});

import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Fleet, FleetRunner } from '../placement/fleet.js';
import { SeededRandom } from '../rehearsal/seeded-random.js';
import type { Engine, Route, Routing } from '../route/routing.js';
import { Dispatcher, type DispatchEffect, type RequestHead } from './dispatcher.js';

const engine: Engine = {
  slots: 64,
  cacheTokens: 200_000,
  models: [
    { name: 'm', sizeMb: 70_000, loadMs: 600, adapters: 4, adapterSizeMb: 10 },
    { name: 'rare', sizeMb: 70_000, loadMs: 600, adapters: 0, adapterSizeMb: 10 },
  ],
  capacityMb: 220_000,
  adapterSlots: 8,
  loadsPerSecond: 6,
};
const route: Route = {
  name: 'check',
  host: 'h.example',
  prefix: '/check/',
  kind: 'stream',
  timeoutMs: 5000,
  latencyTargetMs: 500,
  gapTargetMs: 600,
  priority: 0,
  splits: [{ service: 'llm', weight: 1 }],
  maxAttempts: 2,
  isSticky: true,
  isResumable: true,
};
const unsafe: Route = {
  ...route,
  name: 'verdict',
  prefix: '/verdict/',
  latencyTargetMs: 2000,
  timeoutMs: 6000,
  priority: 1,
  maxAttempts: 1,
  isResumable: false,
};
const plain: Route = {
  ...route,
  name: 'lookup',
  prefix: '/lookup/',
  kind: 'safe',
  splits: [{ service: 'web', weight: 1 }],
  maxAttempts: 2,
  isResumable: false,
};
const routing: Routing = {
  version: 1,
  routes: [route, unsafe, plain],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerWaitMs: 1, idleMs: 1 },
  services: [
    {
      name: 'llm',
      healthPath: '/health',
      maxConnections: 370,
      warmupMs: 3000,
      warmupPerSecond: 37,
      engine,
    },
    {
      name: 'web',
      healthPath: '/health',
      maxConnections: 110,
      warmupMs: 0,
      warmupPerSecond: 0,
      engine: undefined,
    },
  ],
};

function runner(
  id: string,
  zone: string,
  models: readonly string[],
  more: Partial<FleetRunner> = {},
): FleetRunner {
  return {
    id,
    address: `${id}:1`,
    zone,
    service: 'llm',
    slots: 64,
    isLeaving: false,
    coldMs: 0,
    holds: models.map(holdOf),
    coming: [],
    ...more,
  };
}
function holdOf(model: string): { model: string; adapters: string[] } {
  return { model, adapters: ['a1'] };
}

class Bench {
  now = 0;
  #id = 0;
  readonly dispatcher = new Dispatcher({
    proxyId: 'f',
    zone: 'za',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: 300,
    random: zero,
    hasIdleConnection: always,
  });

  constructor(runners: readonly FleetRunner[], waits: Fleet['waits'] = []) {
    this.dispatcher.onConfiguration(moment(0), routing, []);
    this.dispatcher.onFleet(moment(0), { flows: 1, runners: [...runners], waits });
  }

  updateFleet(runners: readonly FleetRunner[], proxyCount = 1): void {
    this.dispatcher.onFleet(moment(this.now), {
      flows: proxyCount,
      runners: [...runners],
      waits: [],
    });
  }

  request(path: string, more: Partial<RequestHead> = {}): number {
    this.#id += 1;
    this.dispatcher.onRequest(moment(this.now), {
      id: this.#id,
      host: 'h.example',
      path,
      model: path.startsWith('/lookup') ? '' : 'm',
      adapter: '',
      promptTokens: 600,
      prefix: [],
      timeLeftMs: 5000,
      ...more,
    });
    return this.#id;
  }

  /** The attempt gets a connection; returns whether the request is written. */
  connect(id: number, attempt = 1): boolean {
    return this.dispatcher.onConnect(moment(this.now), id, attempt);
  }

  respond(id: number, status: number, isUnprocessed = false, attempt = 1): void {
    this.dispatcher.onHeaders(moment(this.now), id, attempt, {
      status,
      isUnprocessed,
      isGenuine: true,
      isEventStream: status === 200,
    });
  }

  effects(): string[] {
    return this.dispatcher.drainEffects().map(describeEffect);
  }
}

function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
function describeEffect(effect: DispatchEffect): string {
  switch (effect.do) {
    case 'send':
      return `${effect.id} to ${effect.runner}`;
    case 'reject':
      return `${effect.id} rejected ${effect.reason} ${Math.round(effect.retryAfterMs)}`;
    case 'fail':
      return `${effect.id} failed`;
    default:
      return `${effect.id} ${effect.do}`;
  }
}

test('a runner in the own zone is preferred, unless one in another zone has much less load', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  for (let index = 0; index < 3; index += 1) bench.request('/check/1');
  expect(bench.effects()).toEqual(['1 to a', '2 to b', '3 to a']);
});
test('all proxies send a long shared prefix to the same runner', () => {
  const runners = [runner('a', 'za', ['m']), runner('b', 'zb', ['m']), runner('c', 'zc', ['m'])];
  const chosen = new Set<string>();
  for (const zone of ['za', 'zb', 'zc']) {
    const dispatcher = new Dispatcher({
      proxyId: zone,
      zone,
      retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
      warmupExcess: 1.5,
      connectTimeoutMs: 300,
      random: zero,
      hasIdleConnection: always,
    });
    dispatcher.onConfiguration(moment(0), routing, []);
    dispatcher.onFleet(moment(0), { flows: 3, runners, waits: [] });
    dispatcher.onRequest(moment(0), {
      id: 1,
      host: 'h.example',
      path: '/check/1',
      model: 'm',
      adapter: '',
      promptTokens: 9000,
      prefix: [
        { id: 'x', tokens: 6000 },
        { id: 'own', tokens: 3000 },
      ],
      timeLeftMs: 5000,
    });
    for (const effect of dispatcher.drainEffects())
      if (effect.do === 'send') chosen.add(effect.runner);
  }
  expect(chosen.size).toBe(1);
});
test('no request is sent to a runner that is draining, in an evacuated zone or without the model', () => {
  const bench = new Bench([
    runner('a', 'za', ['m'], { isLeaving: true }),
    runner('b', 'zb', ['m']),
    runner('c', 'zc', ['rare']),
  ]);
  bench.request('/check/1');
  expect(bench.effects()).toEqual(['1 to b']);
  bench.dispatcher.onConfiguration(moment(0), routing, ['zb']);
  bench.request('/verdict/1', { timeLeftMs: 6000 });
  expect(bench.effects()).toEqual([]);
  bench.dispatcher.onConfiguration(moment(0), routing, []);
  expect(bench.effects()).toEqual(['2 to b']);
  bench.request('/nowhere/1');
  expect(bench.effects()).toEqual(['3 rejected no-route 0']);
});
test('a request waits for a model load that completes in time', () => {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  bench.request('/verdict/1', { model: 'rare', timeLeftMs: 6000 });
  expect(bench.effects()).toEqual([]);
  expect(bench.dispatcher.takeUrgentDemand()).toBe(true);
  bench.now = 300;
  bench.updateFleet([
    runner('a', 'za', ['m'], { coming: [{ model: 'rare', adapter: '', readyMs: 600 }] }),
  ]);
  bench.dispatcher.tick(moment(bench.now));
  expect(bench.effects()).toEqual([]);
  bench.now = 900;
  bench.updateFleet([runner('a', 'za', ['m', 'rare'])]);
  expect(bench.effects()).toEqual(['1 to a']);
});
test('requests for a model that is loading wait alike, whether first attempts or repeats', () => {
  const bench = new Bench([runner('a', 'za', ['m'], { coming: [] })]);
  // Without a report the load is expected in 1.1 s, and the client of the stream gives up after 4.8 s without an event.
  const first = bench.request('/check/1', { model: 'rare' });
  bench.now = 1160;
  const repeat = bench.request('/check/1', { model: 'rare', timeLeftMs: 3800 });
  expect(bench.effects()).toEqual([]);
  bench.now = 1400;
  bench.updateFleet([runner('a', 'za', ['m', 'rare'])]);
  expect(bench.effects().sort()).toEqual([`${first} to a`, `${repeat} to a`]);
});
test('a request whose load does not fit into the time of its client is rejected at once with the time until it is loaded', () => {
  const coming = [{ model: 'rare', adapter: '', readyMs: 4000 }];
  const bench = new Bench([runner('a', 'za', ['m'], { coming })]);
  // The load and a response, 100 ms where none was observed, fit into 4.8 s and 4.1 s, but not into 4.05 s.
  const long = bench.request('/check/1', { model: 'rare' });
  const exact = bench.request('/check/1', { model: 'rare', timeLeftMs: 4100 });
  expect(bench.effects()).toEqual([]);
  const short = bench.request('/check/1', { model: 'rare', timeLeftMs: 4050 });
  expect(bench.effects()).toEqual([`${short} rejected not-loaded 4000`]);
  // The load turns out to take longer than the clients wait.
  bench.now = 200;
  const delayed = [{ model: 'rare', adapter: '', readyMs: 60_000 }];
  bench.updateFleet([runner('a', 'za', ['m'], { coming: delayed })]);
  expect(bench.effects().sort()).toEqual([
    `${long} rejected not-loaded 60000`,
    `${exact} rejected not-loaded 60000`,
  ]);
});
test('the client of a stream gives up after its silence timeout, however far away its deadline is', () => {
  const coming = [{ model: 'rare', adapter: '', readyMs: 5000 }];
  const bench = new Bench([runner('a', 'za', ['m'], { coming })]);
  const stream = bench.request('/check/1', { model: 'rare' });
  // Eight times the gap target, 4.8 s.
  expect(bench.effects()).toEqual([`${stream} rejected not-loaded 5000`]);
  // Four times this route's latency target is longer: 8 s, so that the deadline decides.
  bench.request('/verdict/1', { model: 'rare', timeLeftMs: 6000 });
  expect(bench.effects()).toEqual([]);
});
test('a response that proves a request unprocessed costs one retry', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const id = bench.request('/check/1');
  expect(bench.connect(id)).toBe(true);
  bench.respond(id, 503, true);
  expect(bench.effects()).toEqual([`${id} to a`, `${id} to b`]);
  bench.connect(id, 2);
  bench.respond(id, 503, true, 2);
  expect(bench.effects()).toEqual([`${id} rejected full 250`]);
});
test('a request that must not be repeated is neither retried nor rejected after it was written', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const id = bench.request('/verdict/1', { timeLeftMs: 6000 });
  bench.connect(id);
  bench.dispatcher.onDisconnect(moment(10), id, 1, false);
  expect(bench.effects()).toEqual([`${id} to a`, `${id} failed`]);
  const late = bench.request('/verdict/1', { timeLeftMs: 1000 });
  bench.effects();
  bench.connect(late);
  bench.now = 1100;
  bench.dispatcher.tick(moment(bench.now));
  expect(bench.effects()).toEqual([`${late} cancel`, `${late} failed`]);
});
test('a resumable stream and a failed safe request are retried at another runner', () => {
  const bench = new Bench([
    runner('a', 'za', ['m']),
    runner('b', 'zb', ['m']),
    runner('w', 'za', [], { service: 'web' }),
    runner('x', 'za', [], { service: 'web' }),
  ]);
  const id = bench.request('/check/1');
  bench.connect(id);
  bench.respond(id, 200);
  bench.dispatcher.onData(moment(20), id, 1);
  bench.dispatcher.onDisconnect(moment(30), id, 1, false);
  expect(bench.effects()).toEqual([`${id} to a`, `${id} forward`, `${id} to b`]);
  bench.connect(id, 2);
  bench.dispatcher.onDisconnect(moment(40), id, 2, false);
  expect(bench.effects()).toEqual([`${id} failed`]);
  const safe = bench.request('/lookup/1');
  bench.connect(safe);
  bench.respond(safe, 500);
  expect(bench.effects()).toEqual([`${safe} to w`, `${safe} cancel`, `${safe} to x`]);
});
// Guards against violations of MIXED: an error response that was forwarded, as no other runner was available, must not be
// continued with another runner's response once one is available.
test('an error response that was forwarded is not continued at a runner that becomes available later', () => {
  const [failing, other] = [runner('a', 'za', ['m']), runner('b', 'zb', ['m'])];
  const bench = new Bench([failing]);
  const id = bench.request('/check/1');
  bench.connect(id);
  bench.respond(id, 500);
  bench.dispatcher.onData(moment(20), id, 1);
  bench.updateFleet([failing, other]);
  bench.dispatcher.onDisconnect(moment(270), id, 1, false);
  expect(bench.effects()).toEqual([`${id} to a`, `${id} forward`, `${id} failed`]);
});
test('a connection that fails does not use up an attempt', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const id = bench.request('/verdict/1', { timeLeftMs: 6000 });
  bench.dispatcher.onConnectFailed(moment(5), id, 1);
  expect(bench.effects()).toEqual([`${id} to a`, `${id} to b`]);
  bench.request('/check/1');
  expect(bench.effects()).toEqual(['2 to b']);
});
/** When a stream is moved from runner a, which never responds, ms after it was sent; undefined if it is not. */
function movedAfterMs(
  responsesMs: readonly number[],
  more: Partial<RequestHead> = {},
  targetMs = 500,
): number | undefined {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  const retargeted = { ...route, latencyTargetMs: targetMs };
  bench.dispatcher.onConfiguration(moment(0), { ...routing, routes: [retargeted] }, []);
  for (const tookMs of responsesMs) {
    const id = bench.request('/check/1');
    bench.connect(id);
    bench.now += tookMs;
    bench.respond(id, 200);
    bench.dispatcher.onData(moment(bench.now), id, 1);
    bench.dispatcher.onComplete(moment(bench.now), id, 1);
  }
  const stream = bench.request('/check/1', more);
  bench.connect(stream);
  bench.effects();
  bench.updateFleet([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const sentAt = bench.now;
  for (; bench.now <= sentAt + 5000; bench.now += 50) {
    bench.dispatcher.tick(moment(bench.now));
    const effects = bench.effects();
    if (!effects.includes(`${stream} to b`)) continue;
    // The attempt at the silent runner is cancelled first.
    expect(effects).toEqual([`${stream} cancel`, `${stream} to b`]);
    return bench.now - sentAt;
  }
  return undefined;
}
test('a retryable request is moved from a runner whose silence is unusual for responses of its route', () => {
  // 1 s before a response was observed; then the mean and four deviations, but 300 ms at least.
  expect(movedAfterMs([])).toBe(1000);
  expect(movedAfterMs(Array(40).fill(480))).toBe(500);
  expect(movedAfterMs(Array(40).fill(20))).toBe(300);
  expect(movedAfterMs([1000, 1000])).toBe(2500);
});
test('a retryable request is moved at the latest while another runner can respond in the time of its client', () => {
  // 100 ms are needed where no response was observed; the last tick that leaves them counts.
  expect(movedAfterMs([], { timeLeftMs: 800 })).toBe(650);
  expect(movedAfterMs([], { timeLeftMs: 350 })).toBe(undefined);
});
test("a route's latency target does not change when its requests are moved", () => {
  for (const responsesMs of [[], [20, 30, 40], [600, 900]])
    expect(movedAfterMs(responsesMs, {}, 100)).toBe(movedAfterMs(responsesMs, {}, 500));
});
test('a warming runner gets no more than its permitted request rate from all proxies', () => {
  // The limit is 1.5 times the rate of 37 per second, plus five; some requests must be sent.
  for (const proxyCount of [1, 3, 9, 37, 80, 300]) {
    const rate = peakRate(proxyCount, () => proxyCount);
    expect(rate).toBeLessThanOrEqual(37 * 1.5 + 5);
    expect(rate).toBeGreaterThan(10);
  }
});
// Guards against violations of FAILBACK: while a new leader does not know all proxies yet, each must not send more.
test('a warming runner gets no more than its permitted rate while a new leader counts a third of the proxies', () => {
  for (const count of [3, 9, 36, 300]) {
    const rate = peakRate(count, (now) => (now < NEW_LEADER_MS ? count : Math.ceil(count / 3)));
    expect(rate).toBeLessThanOrEqual(37 * 1.5 + 5);
    expect(rate).toBeGreaterThan(10);
  }
});
// Guards against violations of FAILBACK: when all proxies and control nodes start at once, the number of proxies is unknown.
test('a warming runner gets no more than its permitted rate while all proxies start and are counted one by one', () => {
  for (const proxyCount of [3, 9, 36, 300]) {
    const publishedCount = (now: number): number =>
      Math.min(proxyCount, 1 + Math.floor((now / 1200) * proxyCount));
    const rate = peakRate(proxyCount, publishedCount);
    expect(rate).toBeLessThanOrEqual(37 * 1.5 + 5);
    // Once all proxies are counted, requests are sent.
    expect(rate).toBeGreaterThan(10);
  }
});
test('a runner that starts draining before the request is written does not get it', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const id = bench.request('/verdict/1', { timeLeftMs: 6000 });
  bench.updateFleet([runner('a', 'za', ['m'], { isLeaving: true }), runner('b', 'zb', ['m'])]);
  expect(bench.connect(id)).toBe(false);
  expect(bench.effects()).toEqual([`${id} to a`, `${id} to b`]);
});
test('demand reports waiting requests and arrivals by model', () => {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  bench.request('/check/1');
  bench.request('/verdict/1', { model: 'rare', timeLeftMs: 6000 });
  expect(bench.dispatcher.takeDemandReport(moment(0)).units).toEqual([
    { service: 'llm', model: 'm', adapter: '', count: 1, waiting: 0, running: 1, priority: 9 },
    { service: 'llm', model: 'rare', adapter: '', count: 1, waiting: 1, running: 0, priority: 1 },
  ]);
});
test('before the first configuration a request is queued if its client waits for it, and rejected otherwise', () => {
  const dispatcher = new Dispatcher({
    proxyId: 'f',
    zone: 'za',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: 300,
    random: zero,
    hasIdleConnection: always,
  });
  function request(now: number, id: number, timeLeftMs = 5000): void {
    dispatcher.onRequest(moment(now), {
      id,
      host: 'h.example',
      path: '/check/1',
      model: 'm',
      adapter: '',
      promptTokens: 600,
      prefix: [],
      timeLeftMs,
    });
  }
  function effects(): string[] {
    return dispatcher.drainEffects().map(describeEffect);
  }
  request(0, 1, 800);
  expect(effects()).toEqual(['1 rejected no-config 800']);
  request(500, 2);
  request(510, 3);
  dispatcher.onClientDisconnect(moment(520), 3);
  expect(effects()).toEqual([]);
  dispatcher.onConfiguration(moment(1000), routing, []);
  dispatcher.onFleet(moment(1000), { flows: 1, runners: [runner('a', 'za', ['m'])], waits: [] });
  expect(effects()).toEqual(['2 to a']);
});
test('a load that was forecast before the first request counts too', () => {
  const coming = runner('a', 'za', ['m'], {
    coming: [{ model: 'rare', adapter: '', readyMs: 200 }],
  });
  const bench = new Bench([coming]);
  // Without the forecast the load would be expected in 1.1 s, later than its client waits.
  bench.request('/check/1', { model: 'rare', timeLeftMs: 400 });
  expect(bench.effects()).toEqual([]);
});
test('after random events nothing is in flight, and each request has ended once', () => {
  for (let seed = 1; seed <= 200; seed += 1) {
    const numbers = new SeededRandom(seed);
    const random = () => numbers.next();
    const bench = new Bench([
      runner('a', 'za', ['m']),
      runner('b', 'zb', ['m', 'rare']),
      runner('w', 'za', [], { service: 'web' }),
      runner('x', 'zb', [], { service: 'web' }),
    ]);
    const open = new Map<number, number>();
    const ended = new Map<number, number>();
    const written = new Map<number, number>();
    const lastWritten = new Map<number, number>();
    const paths = ['/check/1', '/verdict/1', '/lookup/1'];
    const pathOf = new Map<number, string>();
    function recordEffects(): void {
      for (const effect of bench.dispatcher.drainEffects()) {
        if (effect.do === 'send') open.set(effect.id, effect.attempt);
        else if (effect.do === 'reject' || effect.do === 'fail') {
          ended.set(effect.id, (ended.get(effect.id) ?? 0) + 1);
          open.delete(effect.id);
          // A request that may have been processed is not rejected, unless its runner proved that it was not.
          if (effect.do === 'reject') expect(written.get(effect.id) ?? 0).toBe(0);
        } else if (effect.do === 'cancel') open.delete(effect.id);
      }
    }
    for (let step = 0; step < 300; step += 1) {
      bench.now += Math.floor(random() * 40);
      const now = moment(bench.now);
      const chance = random();
      if (chance < 0.3) {
        const path = paths[Math.floor(random() * 3)] ?? '';
        const id = bench.request(path, {
          model: path.startsWith('/lookup') ? '' : random() < 0.5 ? 'm' : 'rare',
          timeLeftMs: 500 + random() * 5000,
        });
        pathOf.set(id, path);
      } else if (chance < 0.4) bench.dispatcher.tick(now);
      else {
        const ids = [...open.keys()];
        const id = ids[Math.floor(random() * ids.length)];
        const attempt = id === undefined ? undefined : open.get(id);
        if (id !== undefined && attempt !== undefined) {
          const what = random();
          if (what < 0.4) {
            if (bench.dispatcher.onConnect(now, id, attempt)) {
              written.set(id, (written.get(id) ?? 0) + 1);
              lastWritten.set(id, attempt);
            }
          } else if (what < 0.6)
            bench.dispatcher.onHeaders(now, id, attempt, {
              status: 200,
              isUnprocessed: false,
              isGenuine: true,
              isEventStream: true,
            });
          else if (what < 0.7) {
            // The proof counts only for the attempt that was written last.
            const count = written.get(id) ?? 0;
            if (count > 0 && lastWritten.get(id) === attempt) written.set(id, count - 1);
            bench.dispatcher.onHeaders(now, id, attempt, {
              status: 503,
              isUnprocessed: true,
              isGenuine: true,
              isEventStream: false,
            });
          } else if (what < 0.8) bench.dispatcher.onDisconnect(now, id, attempt, false);
          else if (what < 0.9) {
            const before = bench.dispatcher.inFlight;
            bench.dispatcher.onData(now, id, attempt);
            bench.dispatcher.onComplete(now, id, attempt);
            if (bench.dispatcher.inFlight < before) {
              open.delete(id);
              ended.set(id, (ended.get(id) ?? 0) + 1);
            }
          } else {
            bench.dispatcher.onClientDisconnect(now, id);
            open.delete(id);
            ended.set(id, (ended.get(id) ?? 0) + 1);
          }
        }
      }
      recordEffects();
    }
    bench.now += 10_000;
    bench.dispatcher.tick(moment(bench.now));
    recordEffects();
    expect(bench.dispatcher.inFlight).toBe(0);
    for (const times of ended.values()) expect(times).toBe(1);
  }
});

const NEW_LEADER_MS = 2000;
/** How long the runner is warming up, and how often the number of proxies is published. */
const WARM_UP_MS = 6000;
const PUBLISH_INTERVAL_MS = 100;

/**
 * The maximum number of requests that a warming runner gets in any second from `proxyCount` proxies, all under high load.
 * `publishedCount`: the number of proxies that leaders publish at a time, ms.
 */
function peakRate(proxyCount: number, publishedCount: (now: number) => number): number {
  const sent: number[] = [];
  for (let index = 0; index < proxyCount; index += 1) {
    const dispatcher = new Dispatcher({
      proxyId: `flow-${index}`,
      zone: 'za',
      retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
      warmupExcess: 1.5,
      connectTimeoutMs: 300,
      random: zero,
      hasIdleConnection: always,
    });
    dispatcher.onConfiguration(moment(0), routing, []);
    const runners = [runner('a', 'za', ['m'], { coldMs: WARM_UP_MS })];
    let id = 0;
    for (let now = 0; now < WARM_UP_MS - 100; now += 10) {
      id += 1;
      if (now % PUBLISH_INTERVAL_MS === 0)
        dispatcher.onFleet(moment(now), { flows: publishedCount(now), runners, waits: [] });
      dispatcher.onRequest(moment(now), {
        id,
        host: 'h.example',
        path: '/check/1',
        model: 'm',
        adapter: '',
        promptTokens: 600,
        prefix: [],
        timeLeftMs: 5000,
      });
      for (const effect of dispatcher.drainEffects()) {
        if (effect.do !== 'send') continue;
        sent.push(now);
        dispatcher.onConnect(moment(now), effect.id, effect.attempt);
        dispatcher.onComplete(moment(now), effect.id, effect.attempt);
      }
    }
  }
  let maxRate = 0;
  for (const end of sent)
    maxRate = Math.max(maxRate, sent.filter((at) => at > end - 1000 && at <= end).length);
  return maxRate;
}

test('when the process stops every request ends, and is rejected only if it cannot have been processed', () => {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  const waiting = bench.request('/verdict/1', { model: 'rare' });
  const connecting = bench.request('/verdict/2');
  const written = bench.request('/verdict/3');
  bench.connect(written);
  bench.effects();
  bench.dispatcher.abortAll();
  const kinds = bench.dispatcher.drainEffects().map(describeEnd);
  expect(kinds).toEqual([
    `${waiting} reject`,
    `${connecting} cancel`,
    `${connecting} reject`,
    `${written} cancel`,
    `${written} fail`,
  ]);
  expect(bench.dispatcher.inFlight).toBe(0);
});
test('requests that arrived before the first configuration are rejected when the process stops', () => {
  const fresh = new Dispatcher({
    proxyId: 'f',
    zone: 'za',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: 300,
    random: zero,
    hasIdleConnection: always,
  });
  fresh.onRequest(moment(0), makeEarlyHead(1));
  fresh.onRequest(moment(600), makeEarlyHead(2));
  expect(fresh.drainEffects()).toEqual([]);
  fresh.abortAll();
  expect(fresh.drainEffects().map(describeEnd)).toEqual(['1 reject', '2 reject']);
});

function makeEarlyHead(id: number): RequestHead {
  return {
    id,
    host: 'h.example',
    path: '/check/1',
    model: 'm',
    adapter: '',
    promptTokens: 600,
    prefix: [],
    timeLeftMs: 5000,
  };
}

function describeEnd(effect: DispatchEffect): string {
  return `${effect.id} ${effect.do}`;
}
test('a request waits for a place at its runner until no response fits into the time of its client', () => {
  const bench = new Bench([runner('w', 'za', [], { service: 'web' })]);
  const rejected = bench.request('/lookup/1');
  bench.connect(rejected);
  bench.respond(rejected, 503, true);
  // All runners were tried: nothing to wait for. Runners stay full for 250 ms before that was observed.
  expect(bench.effects()).toEqual([`${rejected} to w`, `${rejected} rejected full 250`]);
  const patient = bench.request('/lookup/2');
  const impatient = bench.request('/lookup/3', { timeLeftMs: 150 });
  expect(bench.effects()).toEqual([`${impatient} rejected full 250`]);
  bench.now = 100;
  bench.dispatcher.tick(moment(bench.now));
  expect(bench.effects()).toEqual([`${patient} to w`]);
});
test('an interrupted stream waits for a place at another runner for as long as its client waits', () => {
  const runners = ['a', 'b', 'c'].map((id) => runner(id, 'za', ['m']));
  const bench = new Bench(runners.slice(0, 1));
  const stream = bench.request('/check/1');
  bench.connect(stream);
  bench.respond(stream, 200);
  bench.now = 1000;
  bench.dispatcher.onData(moment(bench.now), stream, 1);
  // Runner c cannot be reached, and gets no requests for 500 ms.
  bench.updateFleet([...runners.slice(0, 1), ...runners.slice(2)]);
  const other = bench.request('/verdict/1');
  bench.dispatcher.onConnectFailed(moment(bench.now), other, 1);
  bench.updateFleet(runners);
  bench.effects();
  bench.dispatcher.onDisconnect(moment(bench.now), stream, 1, false);
  // Neither can b, so that the stream has to wait for c.
  bench.dispatcher.onConnectFailed(moment(bench.now), stream, 2);
  expect(bench.effects()).toEqual([`${stream} to b`]);
  for (bench.now = 1050; bench.now <= 1550; bench.now += 50)
    bench.dispatcher.tick(moment(bench.now));
  const ofStream = bench.effects().filter((text) => text.startsWith(`${stream} `));
  expect(ofStream).toEqual([`${stream} to c`]);
});
// Guards against requests that wait needlessly after a stall of this process, while the time of those ahead has passed.
test('a request whose time has passed does not keep a free place from those behind it', () => {
  const bench = new Bench([runner('w', 'za', [], { service: 'web' })]);
  const occupying: number[] = [];
  // Nine tenths of the 110 connections that the runner accepts.
  for (let count = 0; count < 99; count += 1) occupying.push(bench.request('/lookup/1'));
  for (const id of occupying) bench.connect(id);
  bench.request('/lookup/2', { timeLeftMs: 300 });
  const waiting = bench.request('/lookup/3');
  bench.effects();
  // No tick has noticed that the first of them has run out of time.
  bench.dispatcher.onComplete(moment(400), occupying[0] ?? 0, 1);
  expect(bench.effects()).toEqual([`${waiting} to w`]);
});
test('a request is not sent to a runner with less time than any response takes', () => {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  const late = bench.request('/check/1', { timeLeftMs: 59 });
  expect(bench.effects()).toEqual([`${late} rejected late 100`]);
  const exact = bench.request('/check/1', { timeLeftMs: 60 });
  expect(bench.effects()).toEqual([`${exact} to a`]);
});
test('a client whose runner did not have the model is told when it is expected to be loaded', () => {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  const id = bench.request('/verdict/1');
  bench.connect(id);
  bench.respond(id, 421, true);
  // The configured load time of 600 ms, half as much again, and 200 ms for the order.
  expect(bench.effects()).toEqual([`${id} to a`, `${id} rejected full 1100`]);
});
test('a client whose runners are full is told how long runners usually stay full', () => {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  for (let round = 0; round < 30; round += 1) {
    // Full for 700 ms, as two requests are told, and then free again.
    for (const pauseMs of [700, 500]) {
      const refused = bench.request('/verdict/1');
      bench.connect(refused);
      bench.respond(refused, 503, true);
      bench.now += pauseMs;
    }
    const served = bench.request('/verdict/1');
    bench.connect(served);
    bench.respond(served, 200);
    bench.dispatcher.onData(moment(bench.now), served, 1);
    bench.dispatcher.onComplete(moment(bench.now), served, 1);
  }
  bench.effects();
  const last = bench.request('/verdict/1');
  bench.connect(last);
  bench.respond(last, 503, true);
  // From the first refusal to the end of the back-off after the last one.
  expect(bench.effects()).toEqual([`${last} to a`, `${last} rejected full 760`]);
});

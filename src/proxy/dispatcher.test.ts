import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { Fleet, FleetRunner } from '../placement/fleet.js';
import { Seeded } from '../rehearsal/seeded.js';
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
const once: Route = {
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
  routes: [route, once, plain],
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

  fleet(runners: readonly FleetRunner[], flows = 1): void {
    this.dispatcher.onFleet(moment(this.now), { flows, runners: [...runners], waits: [] });
  }

  ask(path: string, more: Partial<RequestHead> = {}): number {
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

  /** The request is written to the runner it was sent to. */
  write(id: number, attempt = 1): boolean {
    return this.dispatcher.onConnect(moment(this.now), id, attempt);
  }

  answer(id: number, status: number, isUnprocessed = false, attempt = 1): void {
    this.dispatcher.onHeaders(moment(this.now), id, attempt, {
      status,
      isUnprocessed,
      isGenuine: true,
      isEventStream: status === 200,
    });
  }

  said(): string[] {
    return this.dispatcher.drainEffects().map(textOf);
  }
}

function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
function textOf(effect: DispatchEffect): string {
  switch (effect.do) {
    case 'send':
      return `${effect.id} to ${effect.runner}`;
    case 'reject':
      return `${effect.id} refused ${effect.reason} ${Math.round(effect.retryAfterMs)}`;
    case 'fail':
      return `${effect.id} failed`;
    default:
      return `${effect.id} ${effect.do}`;
  }
}

test('its own zone goes first, until another has much less to do', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  for (let index = 0; index < 3; index += 1) bench.ask('/check/1');
  expect(bench.said()).toEqual(['1 to a', '2 to b', '3 to a']);
});
test('long shared parts go where all proxies send them', () => {
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
test('nothing is sent to a runner that leaves, in an evacuated zone, or without the model', () => {
  const bench = new Bench([
    runner('a', 'za', ['m'], { isLeaving: true }),
    runner('b', 'zb', ['m']),
    runner('c', 'zc', ['rare']),
  ]);
  bench.ask('/check/1');
  expect(bench.said()).toEqual(['1 to b']);
  bench.dispatcher.onConfiguration(moment(0), routing, ['zb']);
  bench.ask('/verdict/1', { timeLeftMs: 6000 });
  expect(bench.said()).toEqual([]);
  bench.dispatcher.onConfiguration(moment(0), routing, []);
  expect(bench.said()).toEqual(['2 to b']);
  bench.ask('/nowhere/1');
  expect(bench.said()).toEqual(['3 refused no-route 0']);
});
test('a model on its way is waited for while it is still in time', () => {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  bench.ask('/verdict/1', { model: 'rare', timeLeftMs: 6000 });
  expect(bench.said()).toEqual([]);
  expect(bench.dispatcher.takeUrgentDemand()).toBe(true);
  bench.now = 300;
  bench.fleet([
    runner('a', 'za', ['m'], { coming: [{ model: 'rare', adapter: '', readyMs: 600 }] }),
  ]);
  bench.dispatcher.tick(moment(bench.now));
  expect(bench.said()).toEqual([]);
  bench.now = 900;
  bench.fleet([runner('a', 'za', ['m', 'rare'])]);
  expect(bench.said()).toEqual(['1 to a']);
});
test('what would come too late is refused at once with when to come back, and waited for the second time', () => {
  const bench = new Bench([runner('a', 'za', ['m'], { coming: [] })]);
  const first = bench.ask('/check/1', { model: 'rare' });
  expect(bench.said()).toEqual([`${first} refused not-loaded 1160`]);
  // The same client a second later: it has less time left, and is held until its model is there.
  bench.now = 1160;
  const second = bench.ask('/check/1', { model: 'rare', timeLeftMs: 3800 });
  expect(bench.said()).toEqual([]);
  bench.now = 1400;
  bench.fleet([runner('a', 'za', ['m', 'rare'])]);
  expect(bench.said()).toEqual([`${second} to a`]);
});
test('a runner that says it did not run it costs one retry', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const id = bench.ask('/check/1');
  expect(bench.write(id)).toBe(true);
  bench.answer(id, 503, true);
  expect(bench.said()).toEqual([`${id} to a`, `${id} to b`]);
  bench.write(id, 2);
  bench.answer(id, 503, true, 2);
  expect(bench.said()).toEqual([`${id} refused full 250`]);
});
test('what may run once is never sent again after it was written, nor told as refused', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const id = bench.ask('/verdict/1', { timeLeftMs: 6000 });
  bench.write(id);
  bench.dispatcher.onDisconnect(moment(10), id, 1, false);
  expect(bench.said()).toEqual([`${id} to a`, `${id} failed`]);
  const late = bench.ask('/verdict/1', { timeLeftMs: 1000 });
  bench.said();
  bench.write(late);
  bench.now = 1100;
  bench.dispatcher.tick(moment(bench.now));
  expect(bench.said()).toEqual([`${late} cancel`, `${late} failed`]);
});
test('a resumable stream goes on elsewhere, a failed safe request too', () => {
  const bench = new Bench([
    runner('a', 'za', ['m']),
    runner('b', 'zb', ['m']),
    runner('w', 'za', [], { service: 'web' }),
    runner('x', 'za', [], { service: 'web' }),
  ]);
  const id = bench.ask('/check/1');
  bench.write(id);
  bench.answer(id, 200);
  bench.dispatcher.onData(moment(20), id, 1);
  bench.dispatcher.onDisconnect(moment(30), id, 1, false);
  expect(bench.said()).toEqual([`${id} to a`, `${id} forward`, `${id} to b`]);
  bench.write(id, 2);
  bench.dispatcher.onDisconnect(moment(40), id, 2, false);
  expect(bench.said()).toEqual([`${id} failed`]);
  const safe = bench.ask('/lookup/1');
  bench.write(safe);
  bench.answer(safe, 500);
  expect(bench.said()).toEqual([`${safe} to w`, `${safe} cancel`, `${safe} to x`]);
});
// Guards against MIXED: a failure that was forwarded for want of another runner must not be continued once there is one.
test('a failure that was forwarded is not continued at a runner that comes free later', () => {
  const [failing, other] = [runner('a', 'za', ['m']), runner('b', 'zb', ['m'])];
  const bench = new Bench([failing]);
  const id = bench.ask('/check/1');
  bench.write(id);
  bench.answer(id, 500);
  bench.dispatcher.onData(moment(20), id, 1);
  bench.fleet([failing, other]);
  bench.dispatcher.onDisconnect(moment(270), id, 1, false);
  expect(bench.said()).toEqual([`${id} to a`, `${id} forward`, `${id} failed`]);
});
test('a connection that cannot be made costs nothing', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const id = bench.ask('/verdict/1', { timeLeftMs: 6000 });
  bench.dispatcher.onConnectFailed(moment(5), id, 1);
  expect(bench.said()).toEqual([`${id} to a`, `${id} to b`]);
  bench.ask('/check/1');
  expect(bench.said()).toEqual(['2 to b']);
});
test('a runner that falls silent is left by what may be repeated', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const id = bench.ask('/check/1');
  bench.write(id);
  bench.said();
  for (bench.now = 50; bench.now <= 600; bench.now += 50) bench.dispatcher.tick(moment(bench.now));
  expect(bench.said()).toEqual([`${id} cancel`, `${id} to b`]);
});
test('a cold runner gets no more than our part of what it bears', () => {
  // 37 a second, half as many again and five: none of these may be passed, and some must get through.
  for (const flows of [1, 3, 9, 37, 80, 300]) {
    const most = mostCold(flows, () => flows);
    expect(most).toBeLessThanOrEqual(37 * 1.5 + 5);
    expect(most).toBeGreaterThan(10);
  }
});
// Guards against FAILBACK: a new leader that does not know all proxies yet must not let each of them send more.
test('a cold runner gets no more than it bears while a new leader counts a third of the proxies', () => {
  for (const flows of [3, 9, 36, 300]) {
    const most = mostCold(flows, (now) => (now < NEW_LEADER_MS ? flows : Math.ceil(flows / 3)));
    expect(most).toBeLessThanOrEqual(37 * 1.5 + 5);
    expect(most).toBeGreaterThan(10);
  }
});
// Guards against FAILBACK: after a start of all proxies and control nodes at once nobody knows how many there are.
test('a cold runner gets no more than it bears while all proxies start and are counted one after the other', () => {
  for (const flows of [3, 9, 36, 300]) {
    const counted = (now: number): number => Math.min(flows, 1 + Math.floor((now / 1200) * flows));
    const most = mostCold(flows, counted);
    expect(most).toBeLessThanOrEqual(37 * 1.5 + 5);
    // Once all are counted it is used.
    expect(most).toBeGreaterThan(10);
  }
});
test('between the choice and the first byte the runner may have begun to leave', () => {
  const bench = new Bench([runner('a', 'za', ['m']), runner('b', 'zb', ['m'])]);
  const id = bench.ask('/verdict/1', { timeLeftMs: 6000 });
  bench.fleet([runner('a', 'za', ['m'], { isLeaving: true }), runner('b', 'zb', ['m'])]);
  expect(bench.write(id)).toBe(false);
  expect(bench.said()).toEqual([`${id} to a`, `${id} to b`]);
});
test('demand names what waits and what came', () => {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  bench.ask('/check/1');
  bench.ask('/verdict/1', { model: 'rare', timeLeftMs: 6000 });
  expect(bench.dispatcher.takeDemandReport(moment(0)).units).toEqual([
    { service: 'llm', model: 'm', adapter: '', count: 1, waiting: 0, running: 1, priority: 9 },
    { service: 'llm', model: 'rare', adapter: '', count: 1, waiting: 1, running: 0, priority: 1 },
  ]);
});
test('before any configuration a request is told to come back, or held when it is due', () => {
  const dispatcher = new Dispatcher({
    proxyId: 'f',
    zone: 'za',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: 300,
    random: zero,
    hasIdleConnection: always,
  });
  function ask(now: number, id: number): void {
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
  }
  function said(): string[] {
    return dispatcher.drainEffects().map(textOf);
  }
  ask(0, 1);
  expect(said()).toEqual(['1 refused no-config 800']);
  ask(500, 2);
  ask(510, 3);
  dispatcher.onClientDisconnect(moment(520), 3);
  expect(said()).toEqual([]);
  dispatcher.onConfiguration(moment(1000), routing, []);
  dispatcher.onFleet(moment(1000), { flows: 1, runners: [runner('a', 'za', ['m'])], waits: [] });
  expect(said()).toEqual(['2 to a']);
});
test('what was foretold before anybody asked here counts too', () => {
  const coming = runner('a', 'za', ['m'], {
    coming: [{ model: 'rare', adapter: '', readyMs: 200 }],
  });
  const bench = new Bench([coming]);
  // Foretold to all before anybody here asked: it is waited for, though it usually takes longer than its aim.
  bench.ask('/check/1', { model: 'rare' });
  expect(bench.said()).toEqual([]);
});
test('nothing is in flight at the end of any storm, and each request ends once', () => {
  for (let seed = 1; seed <= 200; seed += 1) {
    const numbers = new Seeded(seed);
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
    function follow(): void {
      for (const effect of bench.dispatcher.drainEffects()) {
        if (effect.do === 'send') open.set(effect.id, effect.attempt);
        else if (effect.do === 'reject' || effect.do === 'fail') {
          ended.set(effect.id, (ended.get(effect.id) ?? 0) + 1);
          open.delete(effect.id);
          // What may have run is never told as refused, unless it may be repeated anyway and its runner took it back.
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
        const id = bench.ask(path, {
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
            // Only the attempt it came from is taken back, and only if it had been written.
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
      follow();
    }
    bench.now += 10_000;
    bench.dispatcher.tick(moment(bench.now));
    follow();
    expect(bench.dispatcher.inFlight).toBe(0);
    for (const times of ended.values()) expect(times).toBe(1);
  }
});

const NEW_LEADER_MS = 2000;
/** How long the runner is cold, and how often the number of proxies is told. */
const COLD_MS = 6000;
const TOLD_EVERY_MS = 100;

/**
 * The most that a cold runner gets in any sliding second from so many proxies, all of which have much to send. `counted` is
 * the number of proxies that leaders tell at a moment, ms.
 */
function mostCold(flows: number, counted: (now: number) => number): number {
  const sent: number[] = [];
  for (let index = 0; index < flows; index += 1) {
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
    const runners = [runner('a', 'za', ['m'], { coldMs: COLD_MS })];
    let id = 0;
    for (let now = 0; now < COLD_MS - 100; now += 10) {
      id += 1;
      if (now % TOLD_EVERY_MS === 0)
        dispatcher.onFleet(moment(now), { flows: counted(now), runners, waits: [] });
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
  let most = 0;
  for (const end of sent)
    most = Math.max(most, sent.filter((at) => at > end - 1000 && at <= end).length);
  return most;
}

test('at the end of the process every request is answered, and refused only if it cannot have run', () => {
  const bench = new Bench([runner('a', 'za', ['m'])]);
  const waiting = bench.ask('/verdict/1', { model: 'rare' });
  const connecting = bench.ask('/verdict/2');
  const written = bench.ask('/verdict/3');
  bench.write(written);
  bench.said();
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
test('requests that came before any configuration are refused at the end of the process', () => {
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
  expect(fresh.drainEffects().map(describeEnd)).toEqual(['1 reject']);
  fresh.onRequest(moment(600), makeEarlyHead(2));
  expect(fresh.drainEffects()).toEqual([]);
  fresh.abortAll();
  expect(fresh.drainEffects().map(describeEnd)).toEqual(['2 reject']);
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

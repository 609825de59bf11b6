import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { FleetRunner } from '../placement/fleet.js';
import type { Route, Routing } from '../route/routing.js';
import { Dispatcher } from './dispatcher.js';

const route: Route = {
  name: 'lookup',
  host: 'h.example',
  prefix: '/',
  kind: 'safe',
  timeoutMs: 5000,
  latencyTargetMs: 500,
  gapTargetMs: 600,
  priority: 0,
  splits: [{ service: 'web', weight: 1 }],
  maxAttempts: 2,
  isSticky: false,
  isResumable: false,
};
const routing: Routing = {
  version: 1,
  routes: [route],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerWaitMs: 1, idleMs: 1 },
  services: [
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

function runner(id: string, isLeaving: boolean = false): FleetRunner {
  return {
    id,
    address: `${id}:1`,
    zone: 'za',
    service: 'web',
    slots: 64,
    isLeaving,
    coldMs: 0,
    holds: [],
    coming: [],
  };
}

function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}

/** A proxy with one dispatcher, which gets requests one at a time. */
class Proxy {
  readonly dispatcher = new Dispatcher({
    proxyId: 'f',
    zone: 'za',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: 300,
    random: zero,
    hasIdleConnection: always,
  });
  #id = 0;

  constructor(runners: readonly FleetRunner[]) {
    this.dispatcher.onConfiguration(moment(0), routing, []);
    this.updateFleet(0, runners);
  }

  updateFleet(at: number, runners: readonly FleetRunner[]): void {
    this.dispatcher.onFleet(moment(at), { flows: 1, runners: [...runners], waits: [] });
  }

  request(at: number): number {
    this.#id += 1;
    this.dispatcher.onRequest(moment(at), {
      id: this.#id,
      host: 'h.example',
      path: '/a',
      model: '',
      adapter: '',
      promptTokens: 0,
      prefix: [],
      timeLeftMs: 5000,
    });
    return this.#id;
  }

  /** Where the effects so far send requests. */
  sentTo(): readonly string[] {
    const runners: string[] = [];
    for (const effect of this.dispatcher.drainEffects())
      if (effect.do === 'send') runners.push(effect.runner);
    return runners;
  }

  /** The runners that get any of `count` requests. */
  runnersUsed(at: number, count: number = 6): readonly string[] {
    const runners = new Set<string>();
    for (let index = 0; index < count; index += 1) {
      const id = this.request(at);
      for (const name of this.sentTo()) runners.add(name);
      this.dispatcher.onClientDisconnect(moment(at), id);
      this.dispatcher.drainEffects();
    }
    return [...runners].sort();
  }
}
test('a runner reported as draining outside the snapshots gets no more requests', () => {
  const proxy = new Proxy([runner('a'), runner('b')]);
  proxy.request(1);
  expect(proxy.sentTo()).toEqual(['a']);
  proxy.dispatcher.onDrainingRunners(moment(10), ['a']);
  // The runner was picked before; it is checked again right before the request is written.
  expect(proxy.dispatcher.onConnect(moment(11), 1, 1)).toBe(false);
  expect(proxy.sentTo()).toEqual(['b']);
  expect(proxy.runnersUsed(20)).toEqual(['b']);
});
test('no later snapshot makes a draining runner ready again', () => {
  const proxy = new Proxy([runner('a'), runner('b')]);
  proxy.dispatcher.onDrainingRunners(moment(10), ['a']);
  for (let at = 1000; at <= 200_000; at += 1000) {
    // The snapshots differ, and all report the runner as ready.
    proxy.updateFleet(at, [{ ...runner('a'), slots: 64 + (at % 7) }, runner('b')]);
    expect(proxy.runnersUsed(at, 2)).toEqual(['b']);
  }
});
test('a runner that one snapshot reported as draining is not made ready by the next', () => {
  const proxy = new Proxy([runner('a', true), runner('b')]);
  expect(proxy.runnersUsed(10)).toEqual(['b']);
  proxy.updateFleet(20, [runner('a'), runner('b')]);
  expect(proxy.runnersUsed(30)).toEqual(['b']);
});
test('a runner may be reported as draining before it is known', () => {
  const proxy = new Proxy([runner('b')]);
  proxy.dispatcher.onDrainingRunners(moment(10), ['a']);
  proxy.updateFleet(20, [runner('a'), runner('b')]);
  expect(proxy.runnersUsed(30)).toEqual(['b']);
});
test('a draining runner is forgotten once no snapshot has listed it for a minute', () => {
  const proxy = new Proxy([runner('a'), runner('b')]);
  proxy.dispatcher.onDrainingRunners(moment(0), ['a']);
  // Once no snapshot can list the runner any more, its entry must not take up memory.
  for (let at = 1000; at <= 62_000; at += 1000) proxy.updateFleet(at, [runner('b')]);
  proxy.updateFleet(63_000, [runner('a')]);
  expect(proxy.runnersUsed(63_010)).toEqual(['a']);
});

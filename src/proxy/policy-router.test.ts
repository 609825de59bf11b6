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

const TEXT =
  'map POST /c to check\nmap GET /l to lookup\nrow check heavy weight 90 take 1000/s late 10s once stream\nrow check light weight 10 take 1000/s late 10s once stream\nrow check slow weight 10 take 5/s late 10s once\nrow lookup @kiosk weight 5 take 1000/s late 2s repeatable';
class Bench {
  readonly decision = new PolicyRouter({
    ...POLICY_ROUTER_DEFAULTS,
    freshnessBoundMs: 2500,
    me: 'f',
    maxPending: 20,
  });
  now = 0;
  #id = 0;
  #count = 0;

  constructor(slots = 2) {
    this.config([]);
    this.places(
      [
        { runner: 'a', primary: true, adapters: ['x'] },
        { runner: 'b', primary: false, adapters: ['x'] },
      ],
      slots,
    );
    this.fresh();
  }

  config(emptied: string[]): void {
    this.#count += 1;
    this.decision.onUpdate(
      moment(this.now),
      'config',
      { epoch: 2, count: this.#count },
      JSON.stringify({ number: this.#count, table: compile(TEXT).table, emptied, voters: [] }),
    );
  }

  places(seats: Seat[], slots: number, flows = 2): void {
    this.#count += 1;
    const runners = [
      { id: 'a', address: 'a:1', zone: 'za', service: '', slots, upMs: 60_000 },
      { id: 'b', address: 'b:1', zone: 'zb', service: '', slots, upMs: 60_000 },
      { id: 'k', address: 'k:1', zone: 'za', service: 'kiosk', slots: 0, upMs: 0 },
    ];
    const places = ['heavy', 'light', 'slow'].map((model) => placeOf(seats, model));
    this.decision.onUpdate(
      moment(this.now),
      'places',
      { epoch: 2, count: this.#count },
      JSON.stringify({ places, runners, flows, shares: [] }),
    );
  }

  fresh(): void {
    this.decision.onFreshnessConfirmed(
      this.decision.startFreshnessRequest(moment(this.now)),
      NO_VERSION,
      0,
    );
  }

  ask(model: string, extra: Partial<RequestInfo> = {}): number {
    this.#id += 1;
    this.decision.onRequest(moment(this.now), {
      id: this.#id,
      method: 'POST',
      path: '/c',
      model,
      adapter: '',
      prefixBlocks: [],
      ...extra,
    });
    return this.#id;
  }

  verdicts(): string[] {
    return this.decision.drain().map(verdictText);
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
// Guards against FAILBACK and overloaded runners: a new leader may count a few of the proxies only.
test('runners are given no more while a new leader counts fewer proxies', () => {
  const bench = new Bench();
  const seats = [{ runner: 'a', primary: true, adapters: ['x'] }];
  // Twice an even share of eight slots, for one proxy of eight.
  bench.places(seats, 8, 8);
  for (let count = 0; count < 6; count += 1) bench.ask('heavy');
  expect(bench.verdicts().filter(isRunning)).toHaveLength(2);
  bench.places(seats, 8, 1);
  expect(bench.verdicts()).toEqual([]);
  bench.now += 10_000;
  bench.fresh();
  bench.places(seats, 8, 1);
  bench.ask('heavy');
  expect(bench.verdicts().filter(isRunning).length).toBeGreaterThan(0);
});
test('what was drawn is asked about again before its first byte is written', () => {
  const bench = new Bench();
  const ids = [bench.ask('heavy'), bench.ask('heavy'), bench.ask('heavy')];
  expect(bench.verdicts()).toEqual(['1 runs at a', '2 runs at a', '3 runs at b']);
  // Before the first byte of the first its runner's zone is emptied: it goes elsewhere, and has not run.
  expect(bench.decision.mayWrite(moment(0), ids[0] ?? 0)).toBe(true);
  bench.config(['za']);
  expect(bench.decision.mayWrite(moment(0), ids[0] ?? 0)).toBe(false);
  bench.decision.rerouteUnwritten(moment(0), ids[0] ?? 0);
  expect(bench.verdicts()).toEqual(['1 runs at b']);
  // Frozen for long, it knows nothing any more of what holds.
  expect(bench.decision.mayWrite(moment(5000), ids[2] ?? 0)).toBe(false);
  bench.decision.rerouteUnwritten(moment(5000), ids[2] ?? 0);
  bench.decision.rerouteUnwritten(moment(11_000), ids[1] ?? 0);
  expect(bench.verdicts()).toEqual(['3 blind', '2 limit-passed']);
});
test('repeats of a service stay within a fifth and a few over the whole fleet', () => {
  // Nine proxies, each asked 40 times for one service of which every run breaks: a fifth and a few in all.
  let repeats = 0;
  for (let flow = 0; flow < 9; flow += 1) {
    const bench = new Bench();
    bench.places([], 2, 9);
    bench.fresh();
    for (let index = 0; index < 40; index += 1) {
      bench.now += 300;
      bench.fresh();
      const id = bench.ask('', { method: 'GET', path: '/l' });
      if (bench.decision.onRunFailed(moment(bench.now), id, true, true)) {
        repeats += 1;
        bench.decision.onRunCompleted(moment(bench.now), id);
      }
    }
  }
  expect(repeats).toBeGreaterThan(60);
  expect(repeats).toBeLessThanOrEqual(360 / 5 + 4);
});
function isOver(text: string): boolean {
  return text.endsWith('over-take');
}
test('kept prefixes go first, then the primary, then the least pending', () => {
  const bench = new Bench();
  bench.ask('heavy');
  bench.ask('heavy', { prefixBlocks: ['p1', 'p2'] });
  bench.ask('heavy', { prefixBlocks: ['p1', 'p9'] });
  // The primary takes the traffic while it has room; then the understudy; a kept prefix goes before both.
  expect(bench.verdicts()).toEqual(['1 runs at a', '2 runs at a', '3 runs at b']);
  bench.decision.onRunCompleted(moment(1), 1);
  bench.decision.onRunCompleted(moment(1), 2);
  bench.decision.onRunCompleted(moment(1), 3);
  bench.ask('heavy', { prefixBlocks: ['p1', 'p9'] });
  expect(bench.verdicts()).toEqual(['4 runs at b']);
});
test('of what is pending the weightiest starts first', () => {
  const bench = new Bench();
  for (let index = 0; index < 4; index += 1) bench.ask('light');
  expect(bench.verdicts()).toHaveLength(4);
  bench.ask('light');
  bench.ask('heavy');
  bench.decision.onRunCompleted(moment(10), 1);
  expect(bench.verdicts()).toEqual(['6 runs at a']);
});
test('of a crowd, what cannot be served in time is turned away at once', () => {
  const bench = new Bench();
  bench.ask('light');
  bench.now = 4000;
  bench.fresh();
  bench.decision.onRunCompleted(moment(4000), 1);
  bench.verdicts();
  // Runs take 4 s: of a crowd with 10 s each, those that cannot make it are told so at once, none near its limit.
  for (let index = 0; index < 60; index += 1) bench.ask('light');
  const said = bench.verdicts();
  expect(said.filter(isCrowded).length).toBeGreaterThan(40);
  expect(said.filter(isRunning).length).toBe(4);
  expect(bench.decision.pending + said.length).toBe(60);
});
test('nobody is held back till near the limit to be told no', () => {
  // Nothing has ended yet, so that no length of runs is known: those that wait hear their no well before their limit.
  const bench = new Bench(1);
  for (let index = 0; index < 5; index += 1) bench.ask('light');
  expect(bench.verdicts()).toHaveLength(2);
  for (bench.now = 0; bench.now < 5000; bench.now += 100) {
    bench.fresh();
    bench.decision.tick(moment(bench.now));
    if (bench.decision.pending === 0) break;
  }
  expect(bench.verdicts().sort()).toEqual(['3 crowded', '4 crowded', '5 crowded']);
  expect(bench.now).toBeLessThanOrEqual(3400);
});
test('a proxy not confirmed fresh in time turns new work away', () => {
  const bench = new Bench();
  bench.now = 2499;
  bench.ask('heavy');
  bench.now = 2500;
  bench.ask('heavy');
  expect(bench.verdicts()).toEqual(['1 runs at a', '2 blind']);
});
test('emptied zones and leaving runners are not drawn', () => {
  const bench = new Bench();
  bench.config(['za']);
  bench.ask('heavy');
  bench.ask('', { method: 'GET', path: '/l' });
  expect(bench.verdicts()).toEqual(['1 runs at b', '2 waits-for-place']);
  bench.decision.onUpdate(
    moment(0),
    'machines',
    { epoch: 0, count: 5 },
    JSON.stringify({
      revision: 5,
      machines: [{ id: 'b', address: 'b:1', zone: 'zb', service: '', leaving: true }],
    }),
  );
  bench.ask('heavy');
  expect(bench.verdicts()).toEqual(['3 waits-for-place']);
});
test('only what was not written runs elsewhere, or what is repeatable', () => {
  const bench = new Bench();
  bench.ask('heavy');
  bench.decision.onUnprocessed(moment(0), 1, 'unreached');
  expect(bench.verdicts()).toEqual(['1 runs at a', '1 runs at b']);
  // Bytes were written: what may run but once never runs again.
  expect(bench.decision.onRunFailed(moment(0), 1, true)).toBe(false);
  bench.ask('', { method: 'GET', path: '/l' });
  expect(bench.decision.onRunFailed(moment(0), 2, true)).toBe(true);
  expect(bench.verdicts()).toEqual(['2 runs at k', '2 no-runner']);
});
test('a row takes what its share allows', () => {
  const bench = new Bench(40);
  for (let index = 0; index < 12; index += 1) bench.ask('slow');
  // Half of five a second is ours: two seconds' worth may come at once.
  expect(bench.verdicts().filter(isOver)).toHaveLength(7);
});
test('a client that leaves while pending never runs', () => {
  const bench = new Bench(1);
  bench.ask('heavy');
  bench.ask('heavy');
  bench.ask('heavy');
  expect(bench.decision.pending).toBe(1);
  bench.decision.onClientDisconnect(moment(0), 3);
  bench.decision.onRunCompleted(moment(5), 1);
  expect(bench.verdicts()).toEqual(['1 runs at a', '2 runs at b']);
});
test('draining turns away what waits and keeps what runs', () => {
  const bench = new Bench(1);
  for (let index = 0; index < 3; index += 1) bench.ask('heavy');
  bench.decision.startDraining(moment(0));
  bench.ask('heavy');
  expect(bench.verdicts()).toEqual(['1 runs at a', '2 runs at b', '3 draining', '4 draining']);
  expect(bench.decision.running).toBe(2);
});

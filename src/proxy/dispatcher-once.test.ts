import fc from 'fast-check';
import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { FleetRunner } from '../placement/fleet.js';
import type { Route, Routing } from '../route/routing.js';
import { Dispatcher, type AnswerHead, type DispatchEffect } from './dispatcher.js';

const TIMEOUT_MS = 1000;
const TICK_MS = 50;
/** What a request may be held past its route's timeout at no price. */
const PRICED_MS = 250;
const RUNNERS = ['a', 'b', 'c', 'd'];

const BASE: Route = {
  name: 'once',
  host: 'h',
  prefix: '/once/',
  kind: 'unsafe',
  timeoutMs: TIMEOUT_MS,
  targetMs: 300,
  gapTargetMs: 600,
  priority: 0,
  splits: [{ service: 's', weight: 1 }],
  tries: 3,
  isSticky: false,
  isResumable: false,
};
const ROUTES: readonly Route[] = [
  BASE,
  { ...BASE, name: 'safe', prefix: '/safe/', kind: 'safe', tries: 2 },
  { ...BASE, name: 'stream', prefix: '/stream/', kind: 'stream', isResumable: true, tries: 2 },
  { ...BASE, name: 'stream-once', prefix: '/stream-once/', kind: 'stream', tries: 1 },
];
const ROUTING: Routing = {
  version: 1,
  routes: ROUTES,
  services: [
    {
      name: 's',
      healthPath: '/',
      maxConnections: 100,
      warmupMs: 0,
      warmupPerSecond: 0,
      engine: undefined,
    },
  ],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerWaitMs: 1, idleMs: 1 },
};

function runnerOf(id: string): FleetRunner {
  return {
    id,
    address: `${id}:1`,
    zone: 'z',
    service: 's',
    slots: 10,
    isLeaving: false,
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

function newDispatcher(): Dispatcher {
  const dispatcher = new Dispatcher({
    flow: 'f',
    zone: 'z',
    retry: { ratio: 0.2, extra: 500, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectMs: 300,
    random: zero,
    hasIdle: always,
  });
  dispatcher.configure(moment(0), ROUTING, []);
  dispatcher.fleet(moment(0), { flows: 1, runners: RUNNERS.map(runnerOf), waits: [] });
  return dispatcher;
}

function ask(dispatcher: Dispatcher, now: number, id: number, path: string, leftMs: number): void {
  dispatcher.take(moment(now), {
    id,
    host: 'h',
    path,
    model: '',
    adapter: '',
    promptTokens: 0,
    prefix: [],
    timeLeftMs: leftMs,
  });
}

function kindOf(effect: DispatchEffect): string {
  return effect.do;
}
// ---- time
test('a request that comes with no time left is refused and not sent', () => {
  for (const leftMs of [0, -5]) {
    const dispatcher = newDispatcher();
    ask(dispatcher, 0, 1, '/once/1', leftMs);
    expect(dispatcher.drain()).toMatchObject([{ do: 'refuse', reason: 'late' }]);
  }
});
test('a request whose time ran out before it was written is refused at once', () => {
  const dispatcher = newDispatcher();
  ask(dispatcher, 0, 1, '/once/1', 100);
  expect(dispatcher.drain().map(kindOf)).toEqual(['send']);
  // The connection stands only after a freeze: nothing is written, and no other runner is connected to.
  expect(dispatcher.mayWrite(moment(150), 1, 1)).toBe(false);
  expect(dispatcher.drain()).toMatchObject([{ do: 'refuse', reason: 'late' }]);
  expect(dispatcher.inFlight).toBe(0);
});
test("nothing is held a quarter of a second past its route's timeout, at whatever stage it is", () => {
  for (const { prefix } of ROUTES) {
    for (const stage of ['connecting', 'written', 'answering', 'begun']) {
      const dispatcher = newDispatcher();
      ask(dispatcher, 0, 1, `${prefix}1`, 60_000);
      if (stage !== 'connecting') dispatcher.mayWrite(moment(900), 1, 1);
      if (stage === 'answering' || stage === 'begun') {
        dispatcher.head(moment(910), 1, 1, { status: 200, isNotRun: false, isGenuine: true });
      }
      if (stage === 'begun') dispatcher.moved(moment(920), 1, 1);
      dispatcher.drain();
      let endedAt = 0;
      for (let now = 950; endedAt === 0 && now < 2 * TIMEOUT_MS; now += TICK_MS) {
        dispatcher.tick(moment(now));
        for (const effect of dispatcher.drain()) {
          if (effect.do !== 'fail' && effect.do !== 'refuse') continue;
          endedAt = now;
          expect(effect.do, `${prefix} ${stage}`).toBe(stage === 'connecting' ? 'refuse' : 'fail');
        }
      }
      expect(endedAt, `${prefix} ${stage}`).toBeGreaterThan(0);
      expect(endedAt, `${prefix} ${stage}`).toBeLessThan(TIMEOUT_MS + PRICED_MS);
    }
  }
});

// ---- tries

/** How often a request is written where each attempt ends like this. */
function writesOf(path: string, end: (dispatcher: Dispatcher, attempt: number) => void): number {
  const dispatcher = newDispatcher();
  ask(dispatcher, 0, 1, path, TIMEOUT_MS);
  let writes = 0;
  for (let effects = dispatcher.drain(); effects.length > 0; effects = dispatcher.drain()) {
    for (const effect of effects) {
      if (effect.do !== 'send') continue;
      if (dispatcher.mayWrite(moment(writes), 1, effect.attempt)) writes += 1;
      end(dispatcher, effect.attempt);
    }
  }
  return writes;
}
function breakOff(dispatcher: Dispatcher, attempt: number): void {
  dispatcher.broke(moment(1), 1, attempt, false);
}
function fail(dispatcher: Dispatcher, attempt: number): void {
  dispatcher.head(moment(1), 1, attempt, { status: 500, isNotRun: false, isGenuine: true });
}
function turnAway(dispatcher: Dispatcher, attempt: number): void {
  dispatcher.head(moment(1), 1, attempt, { status: 503, isNotRun: true, isGenuine: true });
}
test("one try is written as often as its route's tries allow, and no more", () => {
  for (const { prefix, tries, kind, isResumable } of ROUTES) {
    const isRepeatable = kind === 'safe' || isResumable;
    expect(writesOf(`${prefix}1`, turnAway), prefix).toBe(tries);
    expect(writesOf(`${prefix}1`, breakOff), prefix).toBe(isRepeatable ? tries : 1);
    expect(writesOf(`${prefix}1`, fail), prefix).toBe(isRepeatable ? tries : 1);
  }
});

// ---- any order of events

interface Step {
  readonly what:
    | 'ask'
    | 'write'
    | 'head'
    | 'broke'
    | 'unreached'
    | 'unwritten'
    | 'moved'
    | 'ended'
    | 'gone'
    | 'tick'
    | 'leave';
  readonly which: number;
  readonly status: number;
  readonly isNotRun: boolean;
  readonly isGenuine: boolean;
  readonly isStale: boolean;
  readonly afterMs: number;
}

const STEP = fc.record<Step>({
  what: fc.oneof(
    { weight: 6, arbitrary: fc.constant('write' as const) },
    { weight: 9, arbitrary: fc.constantFrom('head', 'head', 'broke', 'broke', 'ask') },
    { weight: 3, arbitrary: fc.constantFrom('unreached', 'unwritten', 'moved', 'tick', 'leave') },
    { weight: 1, arbitrary: fc.constantFrom('ended', 'gone') },
  ),
  which: fc.nat(3).map(mostlyLatest),
  status: fc.constantFrom(200, 400, 408, 421, 429, 500, 503, 504),
  isNotRun: fc.boolean(),
  isGenuine: fc.boolean(),
  isStale: fc.boolean(),
  // Mostly at once: else its time is over before a request has met much.
  afterMs: fc.constantFrom(0, 0, 0, 0, 0, 0, 0, 0, 5, 5, 5, 60, 400),
});

/** The latest request is met most often, so that it goes through many attempts. */
function mostlyLatest(number: number): number {
  return number === 3 ? 1 : 0;
}

/** What is known of one request from outside: where it was written, what was proven, and what its client was told. */
interface Seen {
  readonly route: Route;
  readonly written: { readonly attempt: number; readonly runner: string; isDisproven: boolean }[];
  attempt: number;
  runner: string;
  told: string;
}

/** Plays steps against the dispatcher and holds it to the rules after each. */
class Play {
  readonly #dispatcher = newDispatcher();
  readonly #seen = new Map<number, Seen>();
  #now = 0;

  step(step: Step): void {
    this.#now += step.afterMs;
    const now = moment(this.#now);
    if (step.what === 'ask') this.#ask();
    else if (step.what === 'tick') this.#dispatcher.tick(now);
    else if (step.what === 'leave') this.#leave(step);
    else this.#answer(step);
    this.#follow();
  }

  #ask(): void {
    const route = ROUTES[this.#seen.size % ROUTES.length] ?? BASE;
    const id = this.#seen.size + 1;
    this.#seen.set(id, { route, written: [], attempt: 0, runner: '', told: '' });
    ask(this.#dispatcher, this.#now, id, `${route.prefix}1`, TIMEOUT_MS);
  }

  #leave({ which }: Step): void {
    const runners: FleetRunner[] = [];
    for (const [index, id] of RUNNERS.entries()) {
      runners.push({ ...runnerOf(id), isLeaving: index === which });
    }
    this.#dispatcher.fleet(moment(this.#now), { flows: 1, runners, waits: [] });
  }

  /** Something happens to the attempt under way of one of the latest requests. */
  #answer({ what, which, status, isNotRun, isGenuine, isStale }: Step): void {
    const id = this.#seen.size - which;
    const seen = this.#seen.get(id);
    if (!seen || seen.attempt === 0) return;
    const { attempt } = seen;
    const now = moment(this.#now);
    const dispatcher = this.#dispatcher;
    if (what === 'write' && dispatcher.mayWrite(now, id, attempt)) {
      seen.written.push({ attempt, runner: seen.runner, isDisproven: false });
    }
    if (what === 'head') {
      const head: AnswerHead = { status, isNotRun: isNotRun && status >= 400, isGenuine };
      const last = seen.written.at(-1);
      // A runner's word counts for the attempt under way, before anything else of an answer came.
      const isProof = head.isNotRun && last?.attempt === attempt && seen.told === '';
      if (isProof && last) last.isDisproven = true;
      dispatcher.head(now, id, attempt, head);
    }
    if (what === 'broke') dispatcher.broke(now, id, attempt, isStale);
    if (what === 'unreached') dispatcher.unreached(now, id, attempt);
    if (what === 'unwritten') dispatcher.unwritten(now, id, attempt);
    if (what === 'moved') dispatcher.moved(now, id, attempt);
    if (what === 'ended' && seen.told.startsWith('pass')) dispatcher.ended(now, id, attempt);
    if (what === 'gone') dispatcher.gone(now, id);
  }

  #follow(): void {
    for (const effect of this.#dispatcher.drain()) {
      const seen = this.#seen.get(effect.id);
      if (!seen) throw new Error('an effect for nobody');
      if (effect.do === 'send') this.#sent(seen, effect.attempt, effect.runner);
      if (effect.do === 'pass') seen.told = `pass ${effect.attempt}`;
      if (effect.do === 'refuse') this.#refused(seen);
      if (effect.do === 'fail') seen.told = 'fail';
      if (effect.do !== 'send' && effect.do !== 'pass') seen.attempt = 0;
    }
    for (const seen of this.#seen.values()) {
      const runners = new Set(seen.written.map(runnerIn));
      if (runners.size > seen.route.tries) throw new Error('more runners than tries');
    }
  }

  #sent(seen: Seen, attempt: number, runner: string): void {
    const isOnce = !(seen.route.kind === 'safe' || seen.route.isResumable);
    if (isOnce && seen.written.some(mayHaveRun))
      throw new Error('sent again after it may have run');
    seen.attempt = attempt;
    seen.runner = runner;
  }

  #refused(seen: Seen): void {
    if (seen.written.some(mayHaveRun)) throw new Error('refused after it may have run');
    seen.told = 'refuse';
  }
}

function runnerIn(written: { readonly runner: string }): string {
  return written.runner;
}
function mayHaveRun(written: { readonly isDisproven: boolean }): boolean {
  return !written.isDisproven;
}

function checkAnyOrder(steps: readonly Step[]): void {
  const play = new Play();
  for (const step of steps) play.step(step);
}
test('in any order of events nothing runs twice that may run once, nor is refused after it may have run, nor runs on more runners than tries', () => {
  const steps = fc.array(STEP, { minLength: 1, maxLength: 60, size: 'max' });
  fc.assert(fc.property(steps, checkAnyOrder), { numRuns: 3000, seed: 17 });
});

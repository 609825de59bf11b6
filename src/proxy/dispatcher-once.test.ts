import fc from 'fast-check';
import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { FleetRunner } from '../placement/fleet.js';
import type { Route, Routing } from '../route/routing.js';
import { Dispatcher, type ResponseHead, type DispatchEffect } from './dispatcher.js';

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
  latencyTargetMs: 300,
  gapTargetMs: 600,
  priority: 0,
  splits: [{ service: 's', weight: 1 }],
  maxAttempts: 3,
  isSticky: false,
  isResumable: false,
};
const ROUTES: readonly Route[] = [
  BASE,
  { ...BASE, name: 'safe', prefix: '/safe/', kind: 'safe', maxAttempts: 2 },
  {
    ...BASE,
    name: 'stream',
    prefix: '/stream/',
    kind: 'stream',
    isResumable: true,
    maxAttempts: 2,
  },
  { ...BASE, name: 'stream-once', prefix: '/stream-once/', kind: 'stream', maxAttempts: 1 },
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

/** The head of an answer that belongs to its request, has run, and is no stream. */
const HEAD: ResponseHead = {
  status: 200,
  isUnprocessed: false,
  isGenuine: true,
  isEventStream: false,
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
    proxyId: 'f',
    zone: 'z',
    retry: { ratio: 0.2, extra: 500, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: 300,
    random: zero,
    hasIdleConnection: always,
  });
  dispatcher.onConfiguration(moment(0), ROUTING, []);
  dispatcher.onFleet(moment(0), { flows: 1, runners: RUNNERS.map(runnerOf), waits: [] });
  return dispatcher;
}

function ask(dispatcher: Dispatcher, now: number, id: number, path: string, leftMs: number): void {
  dispatcher.onRequest(moment(now), {
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
    expect(dispatcher.drainEffects()).toMatchObject([{ do: 'reject', reason: 'late' }]);
  }
});
test('a request whose time ran out before it was written is refused at once', () => {
  const dispatcher = newDispatcher();
  ask(dispatcher, 0, 1, '/once/1', 100);
  expect(dispatcher.drainEffects().map(kindOf)).toEqual(['send']);
  // The connection stands only after a freeze: nothing is written, and no other runner is connected to.
  expect(dispatcher.onConnect(moment(150), 1, 1)).toBe(false);
  expect(dispatcher.drainEffects()).toMatchObject([{ do: 'reject', reason: 'late' }]);
  expect(dispatcher.inFlight).toBe(0);
});
test("nothing is held a quarter of a second past its route's timeout, at whatever stage it is", () => {
  for (const { prefix } of ROUTES) {
    for (const stage of ['connecting', 'written', 'answering', 'begun']) {
      const dispatcher = newDispatcher();
      ask(dispatcher, 0, 1, `${prefix}1`, 60_000);
      if (stage !== 'connecting') dispatcher.onConnect(moment(900), 1, 1);
      if (stage === 'answering' || stage === 'begun') {
        dispatcher.onHeaders(moment(910), 1, 1, HEAD);
      }
      if (stage === 'begun') dispatcher.onData(moment(920), 1, 1);
      dispatcher.drainEffects();
      let endedAt = 0;
      for (let now = 950; endedAt === 0 && now < 2 * TIMEOUT_MS; now += TICK_MS) {
        dispatcher.tick(moment(now));
        for (const effect of dispatcher.drainEffects()) {
          if (effect.do !== 'fail' && effect.do !== 'reject') continue;
          endedAt = now;
          expect(effect.do, `${prefix} ${stage}`).toBe(stage === 'connecting' ? 'reject' : 'fail');
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
  for (
    let effects = dispatcher.drainEffects();
    effects.length > 0;
    effects = dispatcher.drainEffects()
  ) {
    for (const effect of effects) {
      if (effect.do !== 'send') continue;
      if (dispatcher.onConnect(moment(writes), 1, effect.attempt)) writes += 1;
      end(dispatcher, effect.attempt);
    }
  }
  return writes;
}
function breakOff(dispatcher: Dispatcher, attempt: number): void {
  dispatcher.onDisconnect(moment(1), 1, attempt, false);
}
function fail(dispatcher: Dispatcher, attempt: number): void {
  dispatcher.onHeaders(moment(1), 1, attempt, { ...HEAD, status: 500 });
}
function turnAway(dispatcher: Dispatcher, attempt: number): void {
  dispatcher.onHeaders(moment(1), 1, attempt, { ...HEAD, status: 503, isUnprocessed: true });
}
test("one try is written as often as its route's tries allow, and no more", () => {
  for (const { prefix, maxAttempts, kind, isResumable } of ROUTES) {
    const isRetryable = kind === 'safe' || isResumable;
    expect(writesOf(`${prefix}1`, turnAway), prefix).toBe(maxAttempts);
    expect(writesOf(`${prefix}1`, breakOff), prefix).toBe(isRetryable ? maxAttempts : 1);
    expect(writesOf(`${prefix}1`, fail), prefix).toBe(isRetryable ? maxAttempts : 1);
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
  readonly isUnprocessed: boolean;
  readonly isGenuine: boolean;
  readonly isEventStream: boolean;
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
  isUnprocessed: fc.boolean(),
  isGenuine: fc.boolean(),
  isEventStream: fc.boolean(),
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
  /** The head of the last answer that came, and of the one of which the client has got a part. */
  lastHead: ResponseHead | undefined;
  begunHead: ResponseHead | undefined;
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
    this.#seen.set(id, {
      route,
      written: [],
      attempt: 0,
      runner: '',
      told: '',
      lastHead: undefined,
      begunHead: undefined,
    });
    ask(this.#dispatcher, this.#now, id, `${route.prefix}1`, TIMEOUT_MS);
  }

  #leave({ which }: Step): void {
    const runners: FleetRunner[] = [];
    for (const [index, id] of RUNNERS.entries()) {
      runners.push({ ...runnerOf(id), isLeaving: index === which });
    }
    this.#dispatcher.onFleet(moment(this.#now), { flows: 1, runners, waits: [] });
  }

  /** Something happens to the attempt under way of one of the latest requests. */
  #answer({ what, which, status, isUnprocessed, isGenuine, isEventStream, isStale }: Step): void {
    const id = this.#seen.size - which;
    const seen = this.#seen.get(id);
    if (!seen || seen.attempt === 0) return;
    const { attempt } = seen;
    const now = moment(this.#now);
    const dispatcher = this.#dispatcher;
    if (what === 'write' && dispatcher.onConnect(now, id, attempt)) {
      seen.written.push({ attempt, runner: seen.runner, isDisproven: false });
    }
    if (what === 'head') {
      const head: ResponseHead = {
        status,
        isUnprocessed: isUnprocessed && status >= 400,
        isGenuine,
        isEventStream,
      };
      seen.lastHead = head;
      const last = seen.written.at(-1);
      // A runner's word counts for the attempt under way, before anything else of an answer came.
      const isProof = head.isUnprocessed && last?.attempt === attempt && seen.told === '';
      if (isProof && last) last.isDisproven = true;
      dispatcher.onHeaders(now, id, attempt, head);
    }
    if (what === 'broke') dispatcher.onDisconnect(now, id, attempt, isStale);
    if (what === 'unreached') dispatcher.onConnectFailed(now, id, attempt);
    if (what === 'unwritten') dispatcher.onIdleConnectionClosed(now, id, attempt);
    if (what === 'moved') {
      dispatcher.onData(now, id, attempt);
      if (seen.told === `forward ${attempt}`) seen.begunHead ??= seen.lastHead;
    }
    if (what === 'ended' && seen.told.startsWith('forward'))
      dispatcher.onComplete(now, id, attempt);
    if (what === 'gone') dispatcher.onClientDisconnect(now, id);
  }

  #follow(): void {
    for (const effect of this.#dispatcher.drainEffects()) {
      const seen = this.#seen.get(effect.id);
      if (!seen) throw new Error('an effect for nobody');
      if (effect.do === 'send') this.#sent(seen, effect.attempt, effect.runner);
      if (effect.do === 'forward') this.#forwarded(seen, effect.attempt);
      if (effect.do === 'reject') this.#refused(seen);
      if (effect.do === 'fail') seen.told = 'fail';
      if (effect.do !== 'send' && effect.do !== 'forward') seen.attempt = 0;
    }
    for (const seen of this.#seen.values()) {
      const runners = new Set(seen.written.map(runnerIn));
      if (runners.size > seen.route.maxAttempts) throw new Error('more runners than attempts');
    }
  }

  #sent(seen: Seen, attempt: number, runner: string): void {
    const isOnce = !(seen.route.kind === 'safe' || seen.route.isResumable);
    if (isOnce && seen.written.some(mayHaveRun))
      throw new Error('sent again after it may have run');
    if (seen.begunHead && !isContinuable(seen.route, seen.begunHead))
      throw new Error('sent again to continue an answer that is no event stream of a success');
    seen.attempt = attempt;
    seen.runner = runner;
  }

  #forwarded(seen: Seen, attempt: number): void {
    const { begunHead, lastHead } = seen;
    const isSameKind = lastHead?.isEventStream && lastHead.status === begunHead?.status;
    if (begunHead && !isSameKind) throw new Error('continued by an answer of another kind');
    seen.told = `forward ${attempt}`;
  }

  #refused(seen: Seen): void {
    if (seen.written.some(mayHaveRun)) throw new Error('refused after it may have run');
    seen.told = 'reject';
  }
}

function runnerIn(written: { readonly runner: string }): string {
  return written.runner;
}
function isContinuable(route: Route, { status, isEventStream }: ResponseHead): boolean {
  return route.kind === 'stream' && isEventStream && status === 200;
}
function mayHaveRun(written: { readonly isDisproven: boolean }): boolean {
  return !written.isDisproven;
}

function checkAnyOrder(steps: readonly Step[]): void {
  const play = new Play();
  for (const step of steps) play.step(step);
}
test('in any order of events nothing runs twice that may run once, nor is refused after it may have run, nor runs on more runners than attempts', () => {
  const steps = fc.array(STEP, { minLength: 1, maxLength: 60, size: 'max' });
  fc.assert(fc.property(steps, checkAnyOrder), { numRuns: 3000, seed: 17 });
});

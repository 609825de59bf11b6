import fc from 'fast-check';
import { expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import type { FleetRunner } from '../placement/fleet.js';
import type { Route, Routing } from '../route/routing.js';
import { Dispatcher, type ResponseHead, type DispatchEffect } from './dispatcher.js';

const TIMEOUT_MS = 1000;
const TICK_MS = 50;
/** A request must end within this time after its route's timeout. */
const MAX_OVERRUN_MS = 250;
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

/** The head of a response that belongs to its request, index was processed, and that is not a stream. */
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

function sendRequest(
  dispatcher: Dispatcher,
  now: number,
  id: number,
  path: string,
  timeLeftMs: number,
): void {
  dispatcher.onRequest(moment(now), {
    id,
    host: 'h',
    path,
    model: '',
    adapter: '',
    promptTokens: 0,
    prefix: [],
    timeLeftMs,
  });
}

function kindOf(effect: DispatchEffect): string {
  return effect.do;
}
// ---- deadlines
test('a request that arrives with no time left is rejected and not sent', () => {
  for (const timeLeftMs of [0, -5]) {
    const dispatcher = newDispatcher();
    sendRequest(dispatcher, 0, 1, '/once/1', timeLeftMs);
    expect(dispatcher.drainEffects()).toMatchObject([{ do: 'reject', reason: 'late' }]);
  }
});
test('a request whose deadline passes before it is written is rejected at once', () => {
  const dispatcher = newDispatcher();
  sendRequest(dispatcher, 0, 1, '/once/1', 100);
  expect(dispatcher.drainEffects().map(kindOf)).toEqual(['send']);
  // The connection is established after a stall: nothing is written, and no other runner is connected to.
  expect(dispatcher.onConnect(moment(150), 1, 1)).toBe(false);
  expect(dispatcher.drainEffects()).toMatchObject([{ do: 'reject', reason: 'late' }]);
  expect(dispatcher.inFlight).toBe(0);
});
test("every request ends within 250 ms after its route's timeout, at any stage", () => {
  for (const { prefix } of ROUTES) {
    for (const stage of ['connecting', 'written', 'responding', 'started']) {
      const dispatcher = newDispatcher();
      sendRequest(dispatcher, 0, 1, `${prefix}1`, 60_000);
      if (stage !== 'connecting') dispatcher.onConnect(moment(900), 1, 1);
      if (stage === 'responding' || stage === 'started') {
        dispatcher.onHeaders(moment(910), 1, 1, HEAD);
      }
      if (stage === 'started') dispatcher.onData(moment(920), 1, 1);
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
      expect(endedAt, `${prefix} ${stage}`).toBeLessThan(TIMEOUT_MS + MAX_OVERRUN_MS);
    }
  }
});

// ---- attempts

/** How often a request is written if `end` ends each of its attempts. */
function countWrites(path: string, end: (dispatcher: Dispatcher, attempt: number) => void): number {
  const dispatcher = newDispatcher();
  sendRequest(dispatcher, 0, 1, path, TIMEOUT_MS);
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
function disconnect(dispatcher: Dispatcher, attempt: number): void {
  dispatcher.onDisconnect(moment(1), 1, attempt, false);
}
function respondWithError(dispatcher: Dispatcher, attempt: number): void {
  dispatcher.onHeaders(moment(1), 1, attempt, { ...HEAD, status: 500 });
}
function rejectUnprocessed(dispatcher: Dispatcher, attempt: number): void {
  dispatcher.onHeaders(moment(1), 1, attempt, { ...HEAD, status: 503, isUnprocessed: true });
}
test("a request is written as often as its route's maximum of attempts allows, and no more often", () => {
  for (const { prefix, maxAttempts, kind, isResumable } of ROUTES) {
    const isRetryable = kind === 'safe' || isResumable;
    expect(countWrites(`${prefix}1`, rejectUnprocessed), prefix).toBe(maxAttempts);
    expect(countWrites(`${prefix}1`, disconnect), prefix).toBe(isRetryable ? maxAttempts : 1);
    expect(countWrites(`${prefix}1`, respondWithError), prefix).toBe(isRetryable ? maxAttempts : 1);
  }
});

// ---- any order of events

interface Step {
  readonly event:
    | 'request'
    | 'connected'
    | 'head'
    | 'disconnected'
    | 'connectFailed'
    | 'idleClosed'
    | 'data'
    | 'completed'
    | 'clientDisconnected'
    | 'tick'
    | 'runnerDrains';
  /** The request, counted back from the latest, or the index of the runner. */
  readonly target: number;
  readonly status: number;
  readonly isUnprocessed: boolean;
  readonly isGenuine: boolean;
  readonly isEventStream: boolean;
  readonly isStale: boolean;
  readonly afterMs: number;
}

const STEP = fc.record<Step>({
  event: fc.oneof(
    { weight: 6, arbitrary: fc.constant('connected' as const) },
    {
      weight: 9,
      arbitrary: fc.constantFrom('head', 'head', 'disconnected', 'disconnected', 'request'),
    },
    {
      weight: 3,
      arbitrary: fc.constantFrom('connectFailed', 'idleClosed', 'data', 'tick', 'runnerDrains'),
    },
    { weight: 1, arbitrary: fc.constantFrom('completed', 'clientDisconnected') },
  ),
  target: fc.nat(3).map(mostlyLatest),
  status: fc.constantFrom(200, 400, 408, 421, 429, 500, 503, 504),
  isUnprocessed: fc.boolean(),
  isGenuine: fc.boolean(),
  isEventStream: fc.boolean(),
  isStale: fc.boolean(),
  // Mostly no time passes: otherwise requests would expire before many events have happened to them.
  afterMs: fc.constantFrom(0, 0, 0, 0, 0, 0, 0, 0, 5, 5, 5, 60, 400),
});

/** Most events apply to the latest request, so that it goes through many attempts. */
function mostlyLatest(number: number): number {
  return number === 3 ? 1 : 0;
}

/** The observed state of a request: where it was written, what runners have proven, and how its client was answered. */
interface ObservedRequest {
  readonly route: Route;
  readonly written: {
    readonly attempt: number;
    readonly runner: string;
    isProvenUnprocessed: boolean;
  }[];
  attempt: number;
  runner: string;
  outcome: string;
  /** The heads of the last response, and of the first one of which the client received data. */
  lastHead: ResponseHead | undefined;
  startedHead: ResponseHead | undefined;
}

/** Applies steps to a dispatcher and checks the rules after each. */
class RuleChecker {
  readonly #dispatcher = newDispatcher();
  readonly #requests = new Map<number, ObservedRequest>();
  #now = 0;

  step(step: Step): void {
    this.#now += step.afterMs;
    const now = moment(this.#now);
    if (step.event === 'request') this.#sendRequest();
    else if (step.event === 'tick') this.#dispatcher.tick(now);
    else if (step.event === 'runnerDrains') this.#drainRunner(step);
    else this.#onAttemptEvent(step);
    this.#checkEffects();
  }

  #sendRequest(): void {
    const route = ROUTES[this.#requests.size % ROUTES.length] ?? BASE;
    const id = this.#requests.size + 1;
    this.#requests.set(id, {
      route,
      written: [],
      attempt: 0,
      runner: '',
      outcome: '',
      lastHead: undefined,
      startedHead: undefined,
    });
    sendRequest(this.#dispatcher, this.#now, id, `${route.prefix}1`, TIMEOUT_MS);
  }

  #drainRunner({ target }: Step): void {
    const runners: FleetRunner[] = [];
    for (const [index, id] of RUNNERS.entries()) {
      runners.push({ ...runnerOf(id), isLeaving: index === target });
    }
    this.#dispatcher.onFleet(moment(this.#now), { flows: 1, runners, waits: [] });
  }

  /** Passes an event of the current attempt of one of the latest requests to the dispatcher. */
  #onAttemptEvent({
    event,
    target,
    status,
    isUnprocessed,
    isGenuine,
    isEventStream,
    isStale,
  }: Step): void {
    const id = this.#requests.size - target;
    const request = this.#requests.get(id);
    if (!request || request.attempt === 0) return;
    const { attempt } = request;
    const now = moment(this.#now);
    const dispatcher = this.#dispatcher;
    if (event === 'connected' && dispatcher.onConnect(now, id, attempt)) {
      request.written.push({ attempt, runner: request.runner, isProvenUnprocessed: false });
    }
    if (event === 'head') {
      const head: ResponseHead = {
        status,
        isUnprocessed: isUnprocessed && status >= 400,
        isGenuine,
        isEventStream,
      };
      request.lastHead = head;
      const last = request.written.at(-1);
      // A runner's proof counts only for the current attempt, and only before another response has arrived.
      const isProof = head.isUnprocessed && last?.attempt === attempt && request.outcome === '';
      if (isProof && last) last.isProvenUnprocessed = true;
      dispatcher.onHeaders(now, id, attempt, head);
    }
    if (event === 'disconnected') dispatcher.onDisconnect(now, id, attempt, isStale);
    if (event === 'connectFailed') dispatcher.onConnectFailed(now, id, attempt);
    if (event === 'idleClosed') dispatcher.onIdleConnectionClosed(now, id, attempt);
    if (event === 'data') {
      dispatcher.onData(now, id, attempt);
      if (request.outcome === `forward ${attempt}`) request.startedHead ??= request.lastHead;
    }
    if (event === 'completed' && request.outcome.startsWith('forward'))
      dispatcher.onComplete(now, id, attempt);
    if (event === 'clientDisconnected') dispatcher.onClientDisconnect(now, id);
  }

  #checkEffects(): void {
    for (const effect of this.#dispatcher.drainEffects()) {
      const request = this.#requests.get(effect.id);
      if (!request) throw new Error('effect for an unknown request');
      if (effect.do === 'send') this.#onSend(request, effect.attempt, effect.runner);
      if (effect.do === 'forward') this.#onForward(request, effect.attempt);
      if (effect.do === 'reject') this.#onReject(request);
      if (effect.do === 'fail') request.outcome = 'fail';
      if (effect.do !== 'send' && effect.do !== 'forward') request.attempt = 0;
    }
    for (const request of this.#requests.values()) {
      const runners = new Set(request.written.map(runnerOfAttempt));
      if (runners.size > request.route.maxAttempts) throw new Error('more runners than attempts');
    }
  }

  #onSend(request: ObservedRequest, attempt: number, runner: string): void {
    const isUnrepeatable = !(request.route.kind === 'safe' || request.route.isResumable);
    if (isUnrepeatable && request.written.some(mayHaveBeenProcessed))
      throw new Error('sent again after it may have been processed');
    if (request.startedHead && !isContinuable(request.route, request.startedHead))
      throw new Error('sent again to continue a response that is not a successful event stream');
    request.attempt = attempt;
    request.runner = runner;
  }

  #onForward(request: ObservedRequest, attempt: number): void {
    const { startedHead, lastHead } = request;
    const isSameKind = lastHead?.isEventStream && lastHead.status === startedHead?.status;
    if (startedHead && !isSameKind) throw new Error('continued by a response of another kind');
    request.outcome = `forward ${attempt}`;
  }

  #onReject(request: ObservedRequest): void {
    if (request.written.some(mayHaveBeenProcessed))
      throw new Error('rejected after it may have been processed');
    request.outcome = 'reject';
  }
}

function runnerOfAttempt(written: { readonly runner: string }): string {
  return written.runner;
}
function isContinuable(route: Route, { status, isEventStream }: ResponseHead): boolean {
  return route.kind === 'stream' && isEventStream && status === 200;
}
function mayHaveBeenProcessed(written: { readonly isProvenUnprocessed: boolean }): boolean {
  return !written.isProvenUnprocessed;
}

function checkAnyOrder(steps: readonly Step[]): void {
  const checker = new RuleChecker();
  for (const step of steps) checker.step(step);
}
test('in any order of events requests are neither repeated nor rejected where that is not allowed, nor exceed their attempts', () => {
  const steps = fc.array(STEP, { minLength: 1, maxLength: 60, size: 'max' });
  fc.assert(fc.property(steps, checkAnyOrder), { numRuns: 3000, seed: 17 });
});

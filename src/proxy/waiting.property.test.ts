/** Properties of how long requests wait: what counts is the time that their clients have, and the work that is left. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { RouteKind } from '../route/routing.js';
import {
  RESPONSE_MS,
  runScenario,
  type Scenario,
  type ScenarioOutcome,
  type ScenarioRequest,
  type ScenarioRoute,
} from './testing/waiting-scenario.js';

const SEED = 43;
const RUNS = 400;
/** The client of a stream gives up after this time without an event, by the targets of the scenarios. */
const SILENCE_MS = 2000;
/** Time for the ticks and the first response of a route, whose length is not known yet. */
const MARGIN_MS = 200;
const NEVER_MS = 100_000;
const REQUEST_ID = 100;

/** One request that waits for a load or for a place, with what its client and the operator say about it. */
interface Situation {
  readonly kind: RouteKind;
  readonly model: 'rare' | 'busy';
  readonly targetMs: number;
  readonly timeLeftMs: number;
  /** When the model is loaded, or a place is free. */
  readonly readyAtMs: number;
  readonly isForecast: boolean;
}

const KINDS = fc.constantFrom<RouteKind>('stream', 'safe', 'unsafe');
/** Targets that leave the client's silence timeout as it is. */
const TARGETS = fc.integer({ min: 50, max: 500 });
const TIMES_LEFT = fc.integer({ min: 400, max: 6000 });
const LOADS: fc.Arbitrary<Situation> = fc.record({
  kind: KINDS,
  model: fc.constant('rare'),
  targetMs: TARGETS,
  timeLeftMs: TIMES_LEFT,
  readyAtMs: fc.integer({ min: 60, max: 4000 }),
  isForecast: fc.boolean(),
});
const PLACES: fc.Arbitrary<Situation> = fc.record({
  kind: KINDS,
  model: fc.constant('busy'),
  targetMs: TARGETS,
  timeLeftMs: TIMES_LEFT,
  readyAtMs: fc.integer({ min: 60, max: 4000 }),
  isForecast: fc.constant(true),
});
const SITUATIONS = fc.oneof(LOADS, PLACES);

function routeOf({ kind, targetMs }: Situation): ScenarioRoute {
  return { name: 'route', kind, latencyTargetMs: targetMs, priority: 1 };
}

/** The outcome of the situation's request, which arrives at 10 ms after `earlier` requests of the same route. */
function outcomeOf(
  situation: Situation,
  earlier: readonly ScenarioRequest[] = [],
): ScenarioOutcome | undefined {
  const { model, readyAtMs, timeLeftMs, isForecast } = situation;
  const scenario: Scenario = {
    routes: [routeOf(situation)],
    requests: [
      ...earlier,
      { id: REQUEST_ID, atMs: arrivalAfter(earlier), route: 'route', timeLeftMs, model },
    ],
    loadedAtMs: model === 'rare' ? readyAtMs : NEVER_MS,
    isForecast,
    freeAtMs: [model === 'busy' ? readyAtMs : NEVER_MS, NEVER_MS],
  };
  return runScenario(scenario).get(REQUEST_ID);
}

function arrivalAfter(earlier: readonly ScenarioRequest[]): number {
  const last = earlier.at(-1);
  return last ? last.atMs + RESPONSE_MS * 2 : 10;
}

/** Requests of the situation's route that are served at once. */
function servedBefore(timeLeftMs: number): ScenarioRequest[] {
  return [10, 110, 210].map((atMs, index) => ({
    id: index + 1,
    atMs,
    route: 'route',
    timeLeftMs,
    model: 'idle',
  }));
}

/** When the situation's client gives up, from the arrival of its request. */
function clientTimeMs({ kind, timeLeftMs }: Situation): number {
  return kind === 'stream' ? Math.min(timeLeftMs, SILENCE_MS) : timeLeftMs;
}

function check<Value>(values: fc.Arbitrary<Value>, predicate: (value: Value) => void): void {
  fc.assert(fc.property(values, predicate), { seed: SEED, numRuns: RUNS });
}

test("a route's latency target changes nothing for its callers but their silence timeout", () => {
  check(fc.tuple(SITUATIONS, TARGETS), ([situation, targetMs]) => {
    expect(outcomeOf({ ...situation, targetMs })).toEqual(outcomeOf(situation));
  });
});

test('what time the earlier requests of a route had left changes nothing', () => {
  check(fc.tuple(SITUATIONS, TIMES_LEFT), ([situation, earlierMs]) => {
    const withSame = outcomeOf(situation, servedBefore(situation.timeLeftMs));
    expect(outcomeOf(situation, servedBefore(earlierMs))).toEqual(withSame);
  });
});

test('a request that would be sent is sent with more time left as well, and no later', () => {
  check(fc.tuple(SITUATIONS, fc.integer({ min: 0, max: 5000 })), ([situation, moreMs]) => {
    const outcome = outcomeOf(situation);
    if (outcome?.end !== 'sent') return;
    const later = outcomeOf({ ...situation, timeLeftMs: situation.timeLeftMs + moreMs });
    expect(later?.end).toBe('sent');
    expect(later?.atMs).toBeLessThanOrEqual(outcome.atMs);
  });
});

test('a request is sent if what it waits for and the response fit into the time of its client', () => {
  check(SITUATIONS, (situation) => {
    const fits = situation.readyAtMs + MARGIN_MS <= clientTimeMs(situation);
    if (!fits || !situation.isForecast) return;
    expect(outcomeOf(situation)?.end).toBe('sent');
  });
});

test('a request that is refused has not been kept until its client gave up', () => {
  check(SITUATIONS, (situation) => {
    const outcome = outcomeOf(situation);
    expect(outcome).toBeDefined();
    if (outcome?.end === 'sent') return;
    expect(outcome?.end).toBe('refused');
    expect(outcome?.atMs).toBeLessThan(clientTimeMs(situation));
  });
});

test('a request whose load is known to take too long is refused at once, with the time until it is loaded', () => {
  check(LOADS, (situation) => {
    const fits = situation.readyAtMs - MARGIN_MS <= clientTimeMs(situation);
    if (fits || !situation.isForecast) return;
    const outcome = outcomeOf(situation);
    expect(outcome).toMatchObject({ end: 'refused', atMs: 10 });
    expect(outcome?.valueMs).toBe(situation.readyAtMs - 10);
  });
});

/** Several requests that wait for a place at the same runner. */
interface Crowd {
  readonly freeAtMs: number;
  readonly members: readonly CrowdMember[];
}

interface CrowdMember {
  readonly kind: RouteKind;
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly timeLeftMs: number;
}

const CROWDS: fc.Arbitrary<Crowd> = fc.record({
  freeAtMs: fc.integer({ min: 450, max: 900 }),
  members: fc.array(
    fc.record({
      kind: KINDS,
      priority: fc.integer({ min: 0, max: 2 }),
      arrivedAtMs: fc.integer({ min: 1, max: 40 }).map((step) => step * 10),
      timeLeftMs: fc.integer({ min: 15, max: 60 }).map((step) => step * 100),
    }),
    { minLength: 2, maxLength: 5 },
  ),
});

function outcomesOf({ members, freeAtMs }: Crowd): ReadonlyMap<number, ScenarioOutcome> {
  return runScenario({
    routes: members.map(({ kind, priority }, index) => ({
      name: `route${index}`,
      kind,
      latencyTargetMs: 500,
      priority,
    })),
    requests: members.map(({ arrivedAtMs, timeLeftMs }, id) => ({
      id,
      atMs: arrivedAtMs,
      route: `route${id}`,
      timeLeftMs,
      model: 'busy',
    })),
    loadedAtMs: NEVER_MS,
    isForecast: false,
    freeAtMs: [freeAtMs, NEVER_MS],
  });
}

/** Whether the client of `a` is served before that of `b`: by priority, then by when it gives up. */
function precedes(a: CrowdMember, b: CrowdMember): boolean {
  if (a.priority !== b.priority) return a.priority < b.priority;
  return givesUpAtMs(a) < givesUpAtMs(b);
}

function givesUpAtMs({ kind, arrivedAtMs, timeLeftMs }: CrowdMember): number {
  return arrivedAtMs + (kind === 'stream' ? Math.min(timeLeftMs, SILENCE_MS) : timeLeftMs);
}

test('requests that wait for a place are served by priority, then by the least time to spare', () => {
  check(CROWDS, (crowd) => {
    const outcomes = outcomesOf(crowd);
    for (const [id, member] of crowd.members.entries())
      for (const [otherId, other] of crowd.members.entries()) {
        const outcome = outcomes.get(id);
        const otherOutcome = outcomes.get(otherId);
        if (!precedes(member, other) || otherOutcome?.end !== 'sent') continue;
        // Who comes first is sent first, unless it is refused since its own time does not suffice.
        if (outcome?.end === 'sent') expect(outcome.atMs).toBeLessThan(otherOutcome.atMs);
        else expect(givesUpAtMs(member)).toBeLessThan(givesUpAtMs(other));
      }
  });
});

test('the first of the requests that wait is sent as soon as a place is free', () => {
  check(CROWDS, (crowd) => {
    const outcomes = outcomesOf(crowd);
    const first = crowd.members.findIndex((member) =>
      crowd.members.every((other) => other === member || precedes(member, other)),
    );
    if (first < 0) return;
    expect(outcomes.get(first)).toMatchObject({
      end: 'sent',
      atMs: Math.ceil(crowd.freeAtMs / 10) * 10,
    });
  });
});

test('a request whose place is expected too late because of those ahead of it is refused at once', () => {
  // The places are kept for 1 s each, and two requests end each second.
  const crowdMember: CrowdMember = {
    kind: 'safe',
    priority: 0,
    arrivedAtMs: 1100,
    timeLeftMs: 1400,
  };
  const outcomes = outcomesOf({ freeAtMs: 1000, members: Array(6).fill(crowdMember) });
  const refused = [...outcomes.values()].filter(({ end }) => end === 'refused');
  expect(refused.length).toBeGreaterThan(0);
  for (const { atMs } of refused) expect(atMs).toBe(1100);
});

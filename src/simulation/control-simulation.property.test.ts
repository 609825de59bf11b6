import fc from 'fast-check';
import { test } from 'vitest';
import { simulate, TROUBLE_FROM_MS } from './control-simulation.js';
import { EVENTS, ROLES, type Fault, type Schedule } from './faults.js';
import { OPTION_DEFAULTS, type SimulationOptions } from './options.js';
import { pastedTest } from './pasted-test.js';

const TROUBLE_MS = 8000;
const MOST_FAULTS = 6;
const MOST_SPAN_MS = 6000;
/** A fixed share, always the same. */
const RUNS = 10;
const SEED = 17;
/** Cutting a failing schedule down ends after this. */
const MOST_MS = 120_000;

const at = fc.integer({ min: TROUBLE_FROM_MS, max: TROUBLE_FROM_MS + TROUBLE_MS });
const when = fc.oneof(
  fc.record({ kind: fc.constant('at' as const), at }),
  fc.record({
    kind: fc.constant('after' as const),
    event: fc.constantFrom(...EVENTS),
    from: at,
    delay: fc.integer({ min: 0, max: 200 }),
  }),
);
const target = fc.oneof(
  fc.record({ kind: fc.constant('place' as const), place: fc.integer({ min: 0, max: 4 }) }),
  fc.record({ kind: fc.constant('role' as const), role: fc.constantFrom(...ROLES) }),
);
const aimed = { when, target, forMs: fc.integer({ min: 50, max: MOST_SPAN_MS }) };

const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({ kind: fc.constantFrom('kill', 'freeze', 'freezeAtOrder', 'restart'), ...aimed }),
  fc.record({
    kind: fc.constant('powerLoss' as const),
    ...aimed,
    unsynced: fc.constantFrom('kept', 'lost', 'drawn'),
  }),
  fc.record({ kind: fc.constant('wipe' as const), ...aimed, othersLosePower: fc.boolean() }),
  fc.record({
    kind: fc.constant('replace' as const),
    ...aimed,
    planned: fc.boolean(),
    oldReturns: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('cut' as const),
    ...aimed,
    direction: fc.constantFrom('both', 'in', 'out'),
    style: fc.constantFrom('silent', 'reset', 'refuse'),
    besides: fc.integer({ min: 0, max: 1 }),
    withAgents: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('disk' as const),
    ...aimed,
    trouble: fc.constantFrom('slow', 'stalled', 'full'),
  }),
);

function optionsOf(seed: number, nodes: 3 | 5): SimulationOptions {
  return { ...OPTION_DEFAULTS, seed, nodes, troubleMs: TROUBLE_MS, paceMs: 700 };
}

async function checkSchedule(seed: number, nodes: 3 | 5, schedule: Schedule): Promise<void> {
  // The test runner is let speak between two runs.
  await new Promise(setImmediate);
  const options = optionsOf(seed, nodes);
  const [first] = simulate(options, schedule).violations;
  if (!first) return;
  const paste = pastedTest(options, schedule, first.rule);
  throw new Error(`${first.rule}: ${first.text}\n${paste}`);
}

test('no schedule of faults breaks a rule; one that does is cut down and printed', async () => {
  const schedules = fc.array(fault, { minLength: 1, maxLength: MOST_FAULTS });
  const seeds = fc.integer({ min: 1, max: 1_000_000 });
  const nodes = fc.constantFrom<3 | 5>(3, 5);
  const settings = { seed: SEED, numRuns: RUNS, interruptAfterTimeLimit: MOST_MS };
  await fc.assert(fc.asyncProperty(seeds, nodes, schedules, checkSchedule), settings);
});

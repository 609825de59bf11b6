import fc from 'fast-check';
import { test } from 'vitest';
import { simulate, TROUBLE_FROM_MS } from './control-simulation.js';
import { TRIGGER_EVENTS, TARGET_ROLES, type Fault, type Schedule } from './faults.js';
import { OPTION_DEFAULTS, type SimulationOptions } from './options.js';
import { reproductionTest } from './reproduction-test.js';

const TROUBLE_MS = 8000;
const MAX_FAULTS = 6;
const MAX_DURATION_MS = 6000;
/** The same runs each time: their number and the seed are fixed. */
const RUNS = 10;
const SEED = 17;
/** Shrinking a failing schedule stops after this time. */
const SHRINK_TIMEOUT_MS = 120_000;

const at = fc.integer({ min: TROUBLE_FROM_MS, max: TROUBLE_FROM_MS + TROUBLE_MS });
const when = fc.oneof(
  fc.record({ kind: fc.constant('at' as const), at }),
  fc.record({
    kind: fc.constant('after' as const),
    event: fc.constantFrom(...TRIGGER_EVENTS),
    from: at,
    delay: fc.integer({ min: 0, max: 200 }),
  }),
);
const target = fc.oneof(
  fc.record({ kind: fc.constant('place' as const), place: fc.integer({ min: 0, max: 4 }) }),
  fc.record({ kind: fc.constant('role' as const), role: fc.constantFrom(...TARGET_ROLES) }),
);
const targetedFields = { when, target, forMs: fc.integer({ min: 50, max: MAX_DURATION_MS }) };

const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('kill', 'freeze', 'freezeAtOrder', 'restart'),
    ...targetedFields,
  }),
  fc.record({
    kind: fc.constant('powerLoss' as const),
    ...targetedFields,
    unsynced: fc.constantFrom('kept', 'lost', 'drawn'),
  }),
  fc.record({
    kind: fc.constant('wipe' as const),
    ...targetedFields,
    othersLosePower: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('replace' as const),
    ...targetedFields,
    planned: fc.boolean(),
    oldReturns: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('cut' as const),
    ...targetedFields,
    direction: fc.constantFrom('both', 'in', 'out'),
    style: fc.constantFrom('silent', 'reset', 'refuse'),
    besides: fc.integer({ min: 0, max: 1 }),
    withAgents: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('disk' as const),
    ...targetedFields,
    trouble: fc.constantFrom('slow', 'stalled', 'full'),
  }),
);

function optionsOf(seed: number, nodes: 3 | 5): SimulationOptions {
  return { ...OPTION_DEFAULTS, seed, nodes, troubleMs: TROUBLE_MS, paceMs: 700 };
}

async function checkSchedule(seed: number, nodes: 3 | 5, schedule: Schedule): Promise<void> {
  // Yields to the event loop between runs, so that the test runner can communicate.
  await new Promise(setImmediate);
  const options = optionsOf(seed, nodes);
  const [first] = simulate(options, schedule).violations;
  if (!first) return;
  const reproduction = reproductionTest(options, schedule, first.rule);
  throw new Error(`${first.rule}: ${first.text}\n${reproduction}`);
}

test('no schedule of faults violates a rule; a failing schedule is shrunk and printed', async () => {
  const schedules = fc.array(fault, { minLength: 1, maxLength: MAX_FAULTS });
  const seeds = fc.integer({ min: 1, max: 1_000_000 });
  const nodes = fc.constantFrom<3 | 5>(3, 5);
  const settings = { seed: SEED, numRuns: RUNS, interruptAfterTimeLimit: SHRINK_TIMEOUT_MS };
  await fc.assert(fc.asyncProperty(seeds, nodes, schedules, checkSchedule), settings);
});

import { expect, test } from 'vitest';
import { simulate, type Outcome } from './control-simulation.js';
import type { Schedule } from './faults.js';
import type { Attempt, OrderRecord } from './history/history.js';
import { OPTION_DEFAULTS, type SimulationOptions } from './options.js';
import { totalOf } from './run-figures.js';
import type { RunShape } from './run-shape.js';
import { drawOptions, drawSchedule } from './schedule-draw.js';
import { runSeed } from './seed-run.js';

/** Seeds that the tests run; the command runs any number of them. */
const THREE_NODE_SEEDS = 8;
const FIVE_NODE_SEEDS = 4;

function faultlessOptions(nodes: 3 | 5): SimulationOptions {
  return { ...OPTION_DEFAULTS, seed: 1, nodes, troubleMs: 5000 };
}

function checkFaultless(nodes: 3 | 5): void {
  const { violations, figures } = simulate(faultlessOptions(nodes), []);
  expect(violations).toEqual([]);
  // One leader for the whole run, every node becomes a sound replica, and every order is answered.
  expect(figures).toMatchObject({ reigns: 1, faults: {}, nodes });
  expect(figures.repairMs).toHaveLength(nodes);
  const { accepted, refused, unclear } = totalOf(figures.orders);
  expect(unclear).toBe(0);
  expect(accepted).toBeGreaterThan(30);
  expect(refused).toBeGreaterThan(10);
  expect(figures.runnerOrders).toBeGreaterThan(200);
}

function runDrawn(seed: number): Outcome {
  const options = drawOptions(seed, 3);
  return simulate(options, drawSchedule(options));
}

/** A run that loses more disks than is tolerated must report this violation. */
function checkDetected(kind: 'wipe' | 'oldDisk', rule: string): void {
  const options: SimulationOptions = { ...faultlessOptions(3), lossLimit: 'unlimited' };
  const schedule = [0, 1].map((place) => diskLostAt(kind, place));
  expect(simulate(options, schedule).violations.map(ruleOf)).toContain(rule);
}

function diskLostAt(kind: 'wipe' | 'oldDisk', place: number): Schedule[number] {
  const target = { kind: 'place', place } as const;
  const targeted = { when: { kind: 'at', at: 8000 }, forMs: 500, target } as const;
  if (kind === 'wipe') return { kind, ...targeted, othersLosePower: true };
  return { kind, ...targeted, ageMs: 4000 };
}

function ruleOf(violation: { readonly rule: string }): string {
  return violation.rule;
}

/** Yields to the event loop between runs, so that the test runner can communicate. */
function nextTurn(): Promise<void> {
  return new Promise(setImmediate);
}

async function checkSeeds(shape: RunShape, seeds: number): Promise<void> {
  const failed: string[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    await nextTurn();
    for (const { rule, text } of runSeed(seed, shape).violations) {
      failed.push(`seed ${seed}: ${rule}: ${text}`);
    }
  }
  expect(failed).toEqual([]);
}

function attemptsOf(record: OrderRecord): readonly Attempt[] {
  return record.attempts;
}

function isTakenLate(attempt: Attempt): boolean {
  return attempt.takenLateAt !== undefined;
}

const LEADER = { kind: 'role', role: 'leader' } as const;
const FOLLOWER = { kind: 'role', role: 'follower' } as const;

function placeOf(place: number): { readonly kind: 'place'; readonly place: number } {
  return { kind: 'place', place };
}
/** A node may be asked to stop again while it is stopping; it must be started again once both faults have ended. */
test('a node that is asked to stop twice is started again', () => {
  const options: SimulationOptions = {
    ...OPTION_DEFAULTS,
    seed: 1_004_882,
    spares: 1,
    agents: 3,
    troubleMs: 10_000,
    lossLimit: 'any',
    paceMs: 1200,
  };
  const afterVoters = { kind: 'after', event: 'newVoters', from: 6777, delay: 250.4 } as const;
  const afterEpoch = { kind: 'after', event: 'epoch', from: 7331, delay: 1.9 } as const;
  const gone = { planned: false, oldReturns: false };
  const silent = { direction: 'in', style: 'silent', besides: 0, withAgents: false } as const;
  const schedule: Schedule = [
    { kind: 'restart', when: afterVoters, forMs: 50, target: LEADER },
    { kind: 'replace', when: { kind: 'at', at: 7096 }, forMs: 75, target: placeOf(4), ...gone },
    { kind: 'cut', when: { kind: 'at', at: 7170 }, forMs: 4218, target: placeOf(6), ...silent },
    { kind: 'restart', when: afterEpoch, forMs: 50, target: FOLLOWER },
  ];
  expect(simulate(options, schedule).violations).toEqual([]);
});

/**
 * An operator gives up a restore and sends it to another node; over a slow link the first node processes it before the
 * close of the connection arrives, so that it cannot know that the call was given up.
 */
test('a late copy of an order that the node cannot recognize as late is not a violation', () => {
  const options: SimulationOptions = {
    ...OPTION_DEFAULTS,
    seed: 10_422,
    troubleMs: 30_000,
    isFenced: true,
    paceMs: 300,
  };
  const place = { kind: 'place', place: 7 } as const;
  const leader = { kind: 'role', role: 'leader' } as const;
  const slow = { kind: 'slowCalls', target: place } as const;
  const first = { kind: 'after', event: 'epoch', from: 6241, delay: 185.1 } as const;
  const second = { kind: 'after', event: 'cut', from: 7123, delay: 235.2 } as const;
  const third = { kind: 'after', event: 'jointVoters', from: 11_679, delay: 8.6 } as const;
  const schedule: Schedule = [
    { ...slow, when: first, forMs: 1325, delayMs: 1107 },
    { kind: 'freeze', when: second, forMs: 2235, target: leader },
    { ...slow, when: third, forMs: 2798, delayMs: 564 },
  ];
  const { violations, history } = simulate(options, schedule);
  expect(violations).toEqual([]);
  expect(history.orders.flatMap(attemptsOf).some(isTakenLate)).toBe(true);
});

/** All nodes are killed while the second step of a voter change is being written; only the new voters continue with it. */
test('the second step of a voter change needs a majority of the new voters only', () => {
  const options: SimulationOptions = {
    ...OPTION_DEFAULTS,
    seed: 70_371,
    spares: 1,
    agents: 2,
    troubleMs: 20_000,
    paceMs: 600,
  };
  const itself = { kind: 'role', role: 'itself' } as const;
  const first = { kind: 'place', place: 0 } as const;
  const second = { kind: 'place', place: 1 } as const;
  const called = { kind: 'after', event: 'orderSent', from: 7158, delay: 7.3 } as const;
  const changed = { kind: 'after', event: 'newVoters', from: 13_028, delay: 3.3 } as const;
  const cut = { direction: 'both', style: 'refuse', besides: 0, withAgents: false } as const;
  const schedule: Schedule = [
    { kind: 'cut', when: { kind: 'at', at: 6447 }, forMs: 3089, target: first, ...cut },
    { kind: 'restart', when: called, forMs: 50, target: itself },
    {
      kind: 'slowCalls',
      when: { kind: 'at', at: 10_117 },
      forMs: 488,
      target: second,
      delayMs: 429,
    },
    { kind: 'killAll', when: changed, forMs: 2520 },
  ];
  expect(simulate(options, schedule).violations).toEqual([]);
});
/** A leader is frozen; all voters of its successor but the successor itself are replaced before the old lease expires. */
test('a successor waits for the previous lease to expire even if the voters have changed meanwhile', () => {
  const options: SimulationOptions = {
    ...OPTION_DEFAULTS,
    seed: 70_818,
    spares: 1,
    troubleMs: 20_000,
    lossLimit: 'any',
    paceMs: 300,
  };
  const frozen = { kind: 'after', event: 'ack', from: 8335, delay: 3.5 } as const;
  const itself = { kind: 'role', role: 'itself' } as const;
  const third = { kind: 'place', place: 2 } as const;
  const replaced = { kind: 'at', at: 10_280 } as const;
  const replace = { kind: 'replace', planned: true, oldReturns: false, target: third } as const;
  const schedule: Schedule = [
    { kind: 'freeze', when: frozen, forMs: 2671, target: itself },
    { ...replace, when: replaced, forMs: 172 },
  ];
  expect(simulate(options, schedule).violations).toEqual([]);
});
/** A round trip takes up to a second: longer than a leader waits before it queries a majority again. */
test('a leader with slow links answers reads', () => {
  const options: SimulationOptions = {
    ...OPTION_DEFAULTS,
    seed: 70_272,
    nodes: 5,
    agents: 4,
    troubleMs: 30_000,
    paceMs: 600,
  };
  const when = { kind: 'at', at: 9238 } as const;
  const target = { kind: 'role', role: 'itself' } as const;
  const slow = { kind: 'slowLinks', when, forMs: 19_650, target, delayMs: 501 } as const;
  expect(simulate(options, [slow]).violations).toEqual([]);
});
test('three nodes run without a violation when there are no faults', () => checkFaultless(3));
test('five nodes run without a violation when there are no faults', () => checkFaultless(5));
test('a run is a pure function of its options and schedule', () => {
  const [first, second] = [runDrawn(11), runDrawn(11)];
  expect(second).toEqual(first);
  expect(runDrawn(12).figures).not.toEqual(first.figures);
});
test('a frozen leader and a lost disk are tolerated', () => {
  const target = { kind: 'role', role: 'leader' } as const;
  const schedule: Schedule = [
    { kind: 'freeze', when: { kind: 'at', at: 7000 }, forMs: 4000, target },
    { kind: 'wipe', when: { kind: 'at', at: 16_000 }, forMs: 500, target, othersLosePower: false },
  ];
  const options = { ...faultlessOptions(3), troubleMs: 15_000 };
  const { violations, figures } = simulate(options, schedule);
  expect(violations).toEqual([]);
  expect(figures).toMatchObject({ faults: { freeze: 1, wipe: 1 }, reigns: 3 });
  expect(figures.repairMs).toHaveLength(4);
});
test('the loss of two disks of three at once is detected', () =>
  checkDetected('wipe', 'no-leader-after-trouble'));
test('two outdated disks of three are detected', () =>
  checkDetected('oldDisk', 'acknowledged-lost'));
test('a sample of seeds with three nodes violates no rule', () =>
  checkSeeds('three', THREE_NODE_SEEDS));
test('a sample of seeds with five nodes violates no rule', () =>
  checkSeeds('five', FIVE_NODE_SEEDS));

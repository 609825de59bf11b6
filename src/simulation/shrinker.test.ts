import { expect, test } from 'vitest';
import type { Fault, Schedule } from './faults.js';
import { reproductionTest } from './reproduction-test.js';
import { drawOptions } from './schedule-draw.js';
import { Shrinker } from './shrinker.js';

function faultOf(place: number): Fault {
  const target = { kind: 'place', place } as const;
  return { kind: 'freeze', when: { kind: 'at', at: place * 100 }, forMs: 8000, target };
}

function placeOf(fault: Fault): number {
  return 'target' in fault && fault.target.kind === 'place' ? fault.target.place : -1;
}

const SCHEDULE: Schedule = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map(faultOf);

/** Fails if the schedule contains two certain faults and the second lasts for a second or longer. */
function failsByTwoFaults(schedule: Schedule): boolean {
  const second = schedule.find(isSecond);
  const span = second && 'forMs' in second ? second.forMs : 0;
  return schedule.some(isFirst) && span >= 1000;
}

function isFirst(fault: Fault): boolean {
  return placeOf(fault) === 2;
}

function isSecond(fault: Fault): boolean {
  return placeOf(fault) === 9;
}

test('a failing schedule is reduced to the faults that it needs', () => {
  const { schedule, runs } = new Shrinker(failsByTwoFaults, 500).shrink(SCHEDULE);
  expect(schedule.map(placeOf)).toEqual([2, 9]);
  expect(schedule).toMatchObject([{ forMs: 50 }, { forMs: 1000 }]);
  expect(runs).toBeLessThan(80);
});
test('shrinking stops at the maximum number of runs and returns a failing schedule', () => {
  const { schedule, runs } = new Shrinker(failsByTwoFaults, 4).shrink(SCHEDULE);
  expect(runs).toBe(4);
  expect(failsByTwoFaults(schedule)).toBe(true);
});
test('a schedule is printed as a test', () => {
  const text = reproductionTest(drawOptions(7, 5), [faultOf(1)], 'two-holders');
  expect(text).toContain('"kind":"freeze"');
  expect(text).toContain('seed 7 of 5 nodes keeps two-holders');
});

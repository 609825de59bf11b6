import { expect, test } from 'vitest';
import { CATCH_UP_MS } from './contract-bounds.js';
import { LossBudget } from './loss-budget.js';
import type { LossLimit } from './options.js';
/**
 * With three machines, two disks lost within the time to catch up exceed the tolerated loss, also if one of them was not a
 * voter's.
 */
test('disks lost within the time to catch up exceed the tolerated loss', () => {
  const counted = new BudgetFixture(3, 'any');
  counted.isRecovered = true;
  counted.budget.loseDisk('a', true);
  counted.now = CATCH_UP_MS;
  counted.budget.loseDisk('b', false);
  expect(counted.budget.isExceeded).toBe(false);
  counted.now += 1;
  counted.budget.loseDisk('c', false);
  expect(counted.budget.isExceeded).toBe(true);
});

class BudgetFixture {
  now = 0;
  present: number;
  isRecovered = false;
  readonly budget: LossBudget;

  constructor(nodes: number, limit: LossLimit) {
    this.present = nodes;
    this.budget = new LossBudget({
      nodes,
      limit,
      now: () => this.#now(),
      presentCount: () => this.#present(),
      isRecovered: () => this.#isRecovered(),
    });
  }

  #now(): number {
    return this.now;
  }

  #present(): number {
    return this.present;
  }

  #isRecovered(): boolean {
    return this.isRecovered;
  }
}

test('a machine counts as lost until it has had time to catch up', () => {
  const fleet = new BudgetFixture(3, 'tolerated');
  const { budget } = fleet;
  expect(budget.mayLose(['a'])).toBe(true);
  expect(budget.mayLose(['a', 'b'])).toBe(false);
  budget.begin('a');
  expect([budget.mayLose(['b']), budget.mayLose(['a'])]).toEqual([false, true]);
  budget.end('a');
  fleet.now = CATCH_UP_MS - 1;
  expect(budget.mayLose(['b'])).toBe(false);
  fleet.now = CATCH_UP_MS;
  expect(budget.mayLose(['b'])).toBe(true);
});
test('a fleet that became permanently smaller tolerates fewer losses', () => {
  const fleet = new BudgetFixture(5, 'tolerated');
  const { budget } = fleet;
  budget.begin('a');
  budget.leave();
  fleet.present = 4;
  expect([budget.mayLose(['b']), budget.mayLose(['b', 'c'])]).toEqual([true, false]);
  budget.forgetDeparted('a');
  // Of the remaining four, one may be lost.
  expect([budget.mayLose(['b']), budget.mayLose(['b', 'c'])]).toEqual([true, false]);
});
test('if any number of machines may be lost, a disk is lost only after the previous loss has been repaired', () => {
  const fleet = new BudgetFixture(3, 'any');
  const { budget } = fleet;
  expect(budget.mayLose(['a', 'b', 'c'])).toBe(true);
  expect(budget.mayLoseDisks(['a'])).toBe(true);
  budget.loseDisk('a', false);
  expect(budget.mayLoseDisks(['b'])).toBe(false);
  fleet.isRecovered = true;
  expect(budget.mayLoseDisks(['b'])).toBe(true);
});

import { expect, test } from 'vitest';
import { CATCH_UP_MS } from './contract-bounds.js';
import { LossBudget } from './loss-budget.js';
import type { LossLimit } from './options.js';
/** Two disks within the time to catch up are one too many of three machines, also where one was no voter. */
test('disks lost one right after the other are noticed', () => {
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

test('a machine counts as lost for a while after it is back', () => {
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
test('a fleet that became smaller for good bears less', () => {
  const fleet = new BudgetFixture(5, 'tolerated');
  const { budget } = fleet;
  budget.begin('a');
  budget.leave();
  fleet.present = 4;
  expect([budget.mayLose(['b']), budget.mayLose(['b', 'c'])]).toEqual([true, false]);
  budget.forgetDeparted('a');
  // Of four that are left one may be lost.
  expect([budget.mayLose(['b']), budget.mayLose(['b', 'c'])]).toEqual([true, false]);
});
test('where any number may be lost, disks are lost one after the other', () => {
  const fleet = new BudgetFixture(3, 'any');
  const { budget } = fleet;
  expect(budget.mayLose(['a', 'b', 'c'])).toBe(true);
  expect(budget.mayLoseDisks(['a'])).toBe(true);
  budget.loseDisk('a', false);
  expect(budget.mayLoseDisks(['b'])).toBe(false);
  fleet.isRecovered = true;
  expect(budget.mayLoseDisks(['b'])).toBe(true);
});

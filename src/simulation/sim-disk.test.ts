import { expect, test } from 'vitest';
import { CONFIG_PARTITION } from '../state/partition-names.js';
import { Scheduler } from '../rehearsal/scheduler.js';
import { SeededRandom } from '../rehearsal/seeded-random.js';
import { SimDisk } from './sim-disk.js';

class DiskUser {
  readonly scheduler = new Scheduler();
  readonly disk = new SimDisk(this.scheduler, new SeededRandom(5));
  readonly outcomes: string[] = [];

  write(count: number): void {
    const done = this.outcomes.push.bind(this.outcomes, `done ${count}`);
    const fail = this.outcomes.push.bind(this.outcomes, `failed ${count}`);
    this.disk.write(CONFIG_PARTITION, { epoch: 2, count }, `body ${count}`, done, fail);
  }

  run(millis: number): void {
    this.scheduler.runUntil(this.scheduler.now + millis);
  }

  get body(): string {
    return this.disk.partition(CONFIG_PARTITION)?.body ?? '';
  }
}

function checkCrash(fate: 'kept' | 'lost', body: string): void {
  const user = new DiskUser();
  user.write(1);
  user.run(100);
  user.write(2);
  user.disk.crash(fate);
  user.run(100);
  expect([user.outcomes, user.body]).toEqual([['done 1'], body]);
}

test('a waiting write is replaced by a newer one, and both complete with it', () => {
  const user = new DiskUser();
  for (const count of [1, 2, 3]) user.write(count);
  user.run(100);
  // The second write was still waiting when the third was requested, and completes with it.
  expect(user.outcomes).toEqual(['done 1', 'done 2', 'done 3']);
  expect([user.body, user.disk.writes]).toEqual(['body 3', 2]);
});
test('a stalled disk completes nothing until it resumes', () => {
  const user = new DiskUser();
  user.disk.setTrouble('stalled');
  user.write(1);
  user.run(10_000);
  expect(user.outcomes).toEqual([]);
  user.disk.setTrouble('none');
  expect(user.outcomes).toEqual(['done 1']);
});
test('a full disk refuses writes', () => {
  const user = new DiskUser();
  user.disk.setTrouble('full');
  user.write(1);
  user.run(100);
  expect([user.outcomes, user.body]).toEqual([['failed 1'], '']);
});
test('a write in progress may survive a crash', () => checkCrash('kept', 'body 2'));
test('a write in progress may be lost in a crash', () => checkCrash('lost', 'body 1'));
test('an old state can be restored, and a wiped disk is empty', () => {
  const user = new DiskUser();
  user.write(1);
  user.run(100);
  user.write(2);
  user.run(100);
  user.disk.restore(100);
  expect(user.body).toBe('body 1');
  user.disk.wipe();
  expect(user.disk.list()).toEqual([]);
});

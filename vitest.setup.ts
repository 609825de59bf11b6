/**
 * Lets the event loop of a test worker turn before each test.
 *
 * Synchronous tests that follow one another are joined by microtasks alone, so that a file of them keeps the event loop
 * for as long as all of them take. The worker then cannot read what its parent answers, and after 60 s the test runner
 * ends with `Timeout calling "onTaskUpdate"`, though every test has passed.
 */
import { setImmediate } from 'node:timers/promises';
import { beforeEach } from 'vitest';

beforeEach(async () => {
  await setImmediate();
});

import { defineConfig } from 'vitest/config';

/** Runs the tests of clients outside the limits: one at a time, since they measure what a process uses. */
export default defineConfig({
  test: {
    include: ['platform/testbed/crowds/*.test.ts'],
    setupFiles: ['vitest.setup.ts'],
    testTimeout: 180_000,
    hookTimeout: 180_000,
    fileParallelism: false,
    maxWorkers: 1,
    minWorkers: 1,
  },
});

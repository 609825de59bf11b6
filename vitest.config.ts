import { defineConfig } from 'vitest/config';

export default defineConfig({
  // Several tests start real processes: half of a usual machine's processors leaves them room. A time-out is there to end
  // what hangs, not to judge how fast the machine is.
  test: {
    include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'bench/**/*.test.ts'],
    setupFiles: ['vitest.setup.ts'],
    testTimeout: 180_000,
    hookTimeout: 180_000,
    fileParallelism: true,
    maxWorkers: 8,
    minWorkers: 1,
  },
});

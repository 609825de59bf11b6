import { configDefaults, defineConfig } from 'vitest/config';

export default defineConfig({
  // Several tests start some fifteen real processes each: so few workers leave them room on a usual machine of sixteen
  // processors. A time-out is there to end what hangs, not to judge how fast the machine is.
  test: {
    include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'bench/**/*.test.ts'],
    // These measure what a process uses, and run by themselves: vitest.crowds.config.ts.
    exclude: [...configDefaults.exclude, 'platform/testbed/crowds/**'],
    setupFiles: ['vitest.setup.ts'],
    testTimeout: 180_000,
    hookTimeout: 180_000,
    fileParallelism: true,
    maxWorkers: 6,
    minWorkers: 1,
  },
});

import { defineConfig } from 'vitest/config';

/** Tests of the control side that take more than a second: mutation testing repeats tests some hundred times. */
const SLOW_TESTS = [
  'src/control/cluster-restart.test.ts',
  'src/control/config-size.test.ts',
  'src/control/slow-links.test.ts',
  'src/control/voter-repair.test.ts',
  'src/control/voter-replacements.test.ts',
  'src/control/voter-faults.test.ts',
];

/** The fast tests of the folders that mutation testing (stryker.config.json) is run over. */
export default defineConfig({
  test: {
    include: ['src/{common,election,state,control}/**/*.test.ts'],
    exclude: SLOW_TESTS,
    setupFiles: ['vitest.setup.ts'],
    testTimeout: 180_000,
    // One worker for all files: half the time per mutant, and the same verdicts on the file where both were tried.
    isolate: false,
  },
});

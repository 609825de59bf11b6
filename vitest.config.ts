import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: { includeSource: ['src/**/*.ts'], include: [], testTimeout: 60_000, hookTimeout: 60_000, fileParallelism: true },
});

#!/usr/bin/env node
// Each write to a stalled disk blocks a pool thread; a larger pool keeps one stalled component from blocking
// the others.
process.env.UV_THREADPOOL_SIZE ??= '24';
const { execute } = await import('@oclif/core');
await execute({ dir: import.meta.url });

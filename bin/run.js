#!/usr/bin/env node
// A stalled disk holds a pool thread per write; a wider pool keeps one stalled part from stalling the rest.
process.env.UV_THREADPOOL_SIZE ??= '24';
const { execute } = await import('@oclif/core');
await execute({ dir: import.meta.url });

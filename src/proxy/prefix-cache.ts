/** Maximum number of prompt blocks that are remembered for each runner and service. */
const MAX_CACHED_BLOCKS = 32;

/** The prompt blocks that each runner was sent recently, and so may still have in its prefix cache. */
export class PrefixCache {
  readonly #blocks = new Map<string, readonly string[]>();

  /** The number of leading blocks that the runner was sent recently. */
  cachedBlocks(runner: string, service: string, blocks: readonly string[]): number {
    const known = this.#blocks.get(keyOf(runner, service)) ?? [];
    let count = 0;
    for (const block of blocks) {
      if (!known.includes(block)) break;
      count += 1;
    }
    return count;
  }

  /** Records that the runner is sent a prompt with these blocks. */
  record(runner: string, service: string, blocks: readonly string[]): void {
    if (blocks.length === 0) return;
    const key = keyOf(runner, service);
    const newest = new Set(blocks);
    const rest = (this.#blocks.get(key) ?? []).filter((block) => !newest.has(block));
    this.#blocks.set(key, [...blocks, ...rest].slice(0, MAX_CACHED_BLOCKS));
  }
}

function keyOf(runner: string, service: string): string {
  return `${runner}\n${service}`;
}

/** How many parts of prompts are remembered for each runner and service. */
const MAX_CACHED_BLOCKS = 32;

/** Which parts of prompts each runner was given last, and so may still keep. */
export class PrefixCache {
  readonly #blocks = new Map<string, readonly string[]>();

  /** How many of the leading parts this runner was given lately. */
  cachedBlocks(runner: string, service: string, parts: readonly string[]): number {
    const known = this.#blocks.get(keyOf(runner, service)) ?? [];
    let count = 0;
    for (const part of parts) {
      if (!known.includes(part)) break;
      count += 1;
    }
    return count;
  }

  record(runner: string, service: string, parts: readonly string[]): void {
    if (parts.length === 0) return;
    const key = keyOf(runner, service);
    const newest = new Set(parts);
    const rest = (this.#blocks.get(key) ?? []).filter((part) => !newest.has(part));
    this.#blocks.set(key, [...parts, ...rest].slice(0, MAX_CACHED_BLOCKS));
  }
}

function keyOf(runner: string, service: string): string {
  return `${runner}\n${service}`;
}

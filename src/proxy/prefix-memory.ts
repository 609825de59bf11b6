/** How many parts of prompts are remembered for each runner and service. */
const MOST_PARTS = 32;

/** Which parts of prompts each runner was given last, and so may still keep. */
export class PrefixMemory {
  readonly #parts = new Map<string, readonly string[]>();

  /** How many of the leading parts this runner was given lately. */
  leadingParts(runner: string, service: string, parts: readonly string[]): number {
    const known = this.#parts.get(keyOf(runner, service)) ?? [];
    let count = 0;
    for (const part of parts) {
      if (!known.includes(part)) break;
      count += 1;
    }
    return count;
  }

  given(runner: string, service: string, parts: readonly string[]): void {
    if (parts.length === 0) return;
    const key = keyOf(runner, service);
    const newest = new Set(parts);
    const rest = (this.#parts.get(key) ?? []).filter((part) => !newest.has(part));
    this.#parts.set(key, [...parts, ...rest].slice(0, MOST_PARTS));
  }
}

function keyOf(runner: string, service: string): string {
  return `${runner}\n${service}`;
}

/** Which control machines a trouble strikes, and what is done to them besides. */
import type { Random } from '../random.js';
import type { Site } from '../site.js';

/** The machines that a trouble of the core may pick; the empty word leaves it to the day's seed. */
export const AIMS = ['', 'leader', 'leader', 'leader', 'reader', 'seed', 'turn'] as const;

const AIMED_EXTRAS = ['meet', 'race', 'hard', 'drain'] as const;
const EXTRA_PROBABILITY = 0.35;

/** Joins those words that are not empty. */
export function joinWords(words: readonly string[]): string {
  return words.filter(isNotEmpty).join(' ');
}

function isNotEmpty(word: string): boolean {
  return word !== '';
}

/** What is done to the machine besides: changes sent to it, or runners of its zone that leave. */
export function drawExtras(random: Random): string[] {
  return random.subset(AIMED_EXTRAS, EXTRA_PROBABILITY);
}

/** Whom a trouble on the core strikes, and what is done to that machine besides. */
export function drawAim(random: Random): string {
  return joinWords([random.choice(AIMS), ...drawExtras(random)]);
}

/** How many counted machines one trouble strikes: never more than may be lost at once. */
export function drawCoreCount(random: Random, site: Site): number {
  return random.whole(1, site.toleratedMachines);
}

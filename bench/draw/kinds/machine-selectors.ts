/** Draws which control machines an event affects, and the actions that accompany it. */
import type { Random } from '../random.js';
import type { Site } from '../site.js';

/**
 * Words in `how` that select the affected control machine. The empty string leaves the choice to the day's seed; the
 * leader is listed three times to be selected more often.
 */
export const MACHINE_SELECTORS = [
  '',
  'leader',
  'leader',
  'leader',
  'reader',
  'seed',
  'turn',
] as const;

const SIDE_ACTIONS = ['meet', 'race', 'hard', 'drain'] as const;
const SIDE_ACTION_PROBABILITY = 0.35;

/** Joins the nonempty words with spaces, the format of the field `how`. */
export function joinWords(words: readonly string[]): string {
  return words.filter(isNotEmpty).join(' ');
}

function isNotEmpty(word: string): boolean {
  return word !== '';
}

/** Draws the accompanying actions: changes sent to the affected machine, or runners of its zone that leave. */
export function drawSideActions(random: Random): string[] {
  return random.subset(SIDE_ACTIONS, SIDE_ACTION_PROBABILITY);
}

/** Draws the value of `how` for an event on a control machine: the selector and the accompanying actions. */
export function drawTargeting(random: Random): string {
  return joinWords([random.choice(MACHINE_SELECTORS), ...drawSideActions(random)]);
}

/** Draws how many counted control machines an event affects: never more than may be lost at once. */
export function drawMachineCount(random: Random, site: Site): number {
  return random.integer(1, site.toleratedMachines);
}

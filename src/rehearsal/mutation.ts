import type { RULES } from './judge.js';
import type { TroubleKind } from './trouble-kinds.js';

type Rule = (typeof RULES)[number] | 'slip' | 'turned-away-in-force' | 'lost-edit';

interface Mutation {
  /** The rule of which a run must report a violation. */
  readonly rule: Rule;
  /** The kinds of faults to inject; empty if the defect shows without any. */
  readonly troubles: readonly TroubleKind[];
}

/** Builds with one defect each. If the simulator detects a defect on no seed, its passing runs prove nothing. */
export const WRONGS = {
  'no-gap-between-holders': {
    rule: 'two-holders',
    troubles: ['freeze-mind', 'isolate-mind', 'kill-mind'],
  },
  'orders-untimed': { rule: 'two-holders', troubles: ['freeze-ordering', 'restart-runner'] },
  'never-blind': { rule: 'old-table', troubles: ['isolate-link', 'freeze-flow', 'cut-link'] },
  'acks-unasked': { rule: 'old-table', troubles: ['isolate-link', 'freeze-link', 'freeze-flow'] },
  'marks-ignored': { rule: 'leaving-got-work', troubles: ['mark-runner'] },
  'emptied-ignored': { rule: 'emptied-got-work', troubles: ['kill-link'] },
  'versions-unchecked': { rule: 'slip', troubles: ['kill-link'] },
  'yes-unsynced': { rule: 'lost-table', troubles: ['kill-mind', 'kill-core'] },
  'unsure-as-no': { rule: 'turned-away-in-force', troubles: ['kill-mind', 'freeze-mind'] },
  'room-forgotten': { rule: 'over-room', troubles: ['restart-runner'] },
  'slots-forgotten': { rule: 'over-store', troubles: ['restart-runner'] },
  'once-repeated': { rule: 'run-twice', troubles: ['moody-back', 'restart-runner'] },
  'unsure-run-as-no': {
    rule: 'ran-though-turned-away',
    troubles: ['moody-back', 'restart-runner'],
  },
  'ends-made-up': { rule: 'not-whole', troubles: ['moody-back', 'restart-runner'] },
  'unbounded-as-whole': { rule: 'not-whole', troubles: ['moody-back', 'restart-runner'] },
  'streams-resumed': { rule: 'stitched', troubles: ['moody-back', 'restart-runner'] },
  'no-budget': { rule: 'too-many-repeats', troubles: ['breaking-plain'] },
  'no-ramp': { rule: 'cold-flooded', troubles: ['restart-back'] },
  'drain-cuts': { rule: 'cut-by-plan', troubles: ['restart-flow'] },
  'no-kept-back': { rule: 'held-back', troubles: ['mark-runner'] },
} as const satisfies Record<string, Mutation>;

/** The name of a mutation. */
export type MutationKind = keyof typeof WRONGS;

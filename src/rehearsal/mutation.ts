import type { RULES } from './judge.js';
import type { FaultKind } from './fault-kinds.js';

type Rule = (typeof RULES)[number] | 'slip' | 'turned-away-in-force' | 'lost-edit';

interface Mutation {
  /** The rule of which a run must report a violation. */
  readonly rule: Rule;
  /** The kinds of faults to inject; empty if the defect shows without any. */
  readonly faultKinds: readonly FaultKind[];
}

/** Builds with one defect each. If the simulator detects a defect on no seed, its passing runs prove nothing. */
export const MUTATIONS = {
  'no-gap-between-holders': {
    rule: 'two-holders',
    faultKinds: ['freeze-mind', 'isolate-mind', 'kill-mind'],
  },
  'orders-untimed': { rule: 'two-holders', faultKinds: ['freeze-ordering', 'restart-runner'] },
  'never-blind': { rule: 'old-table', faultKinds: ['isolate-link', 'freeze-flow', 'cut-link'] },
  'acks-unasked': { rule: 'old-table', faultKinds: ['isolate-link', 'freeze-link', 'freeze-flow'] },
  'marks-ignored': { rule: 'leaving-got-work', faultKinds: ['mark-runner'] },
  'emptied-ignored': { rule: 'emptied-got-work', faultKinds: ['kill-link'] },
  'versions-unchecked': { rule: 'slip', faultKinds: ['kill-link'] },
  'yes-unsynced': { rule: 'lost-table', faultKinds: ['kill-mind', 'kill-core'] },
  'unsure-as-no': { rule: 'turned-away-in-force', faultKinds: ['kill-mind', 'freeze-mind'] },
  'room-forgotten': { rule: 'over-room', faultKinds: ['restart-runner'] },
  'slots-forgotten': { rule: 'over-store', faultKinds: ['restart-runner'] },
  'once-repeated': { rule: 'run-twice', faultKinds: ['moody-back', 'restart-runner'] },
  'unsure-run-as-no': {
    rule: 'ran-though-turned-away',
    faultKinds: ['moody-back', 'restart-runner'],
  },
  'ends-made-up': { rule: 'not-whole', faultKinds: ['moody-back', 'restart-runner'] },
  'unbounded-as-whole': { rule: 'not-whole', faultKinds: ['moody-back', 'restart-runner'] },
  'streams-resumed': { rule: 'stitched', faultKinds: ['moody-back', 'restart-runner'] },
  'no-budget': { rule: 'too-many-repeats', faultKinds: ['breaking-plain'] },
  'no-ramp': { rule: 'cold-flooded', faultKinds: ['restart-back'] },
  'drain-cuts': { rule: 'cut-by-plan', faultKinds: ['restart-flow'] },
  'no-kept-back': { rule: 'held-back', faultKinds: ['mark-runner'] },
} as const satisfies Record<string, Mutation>;

/** The name of a mutation. */
export type MutationKind = keyof typeof MUTATIONS;

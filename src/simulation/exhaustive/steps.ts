/** What may happen next in a cluster. */
export type StepKind =
  | 'advance'
  | 'tick'
  | 'sync'
  | 'receive'
  | 'restart'
  | 'wipe'
  | 'command'
  | 'drop'
  | 'skip'
  | 'freeze'
  | 'thaw'
  | 'cut'
  | 'heal'
  | 'stall'
  | 'unstall'
  /** All that follows up to the next choice. */
  | 'calm';

const STEP_KINDS: readonly StepKind[] = [
  'advance',
  'tick',
  'sync',
  'receive',
  'restart',
  'wipe',
  'command',
  'drop',
  'skip',
  'freeze',
  'thaw',
  'cut',
  'heal',
  'stall',
  'unstall',
  'calm',
];
const NODE_SPAN = 16;
const KIND_SPAN = 16;

/** `item` is the number of a message or command. */
export interface Step {
  readonly kind: StepKind;
  readonly node: number;
  readonly item: number;
}

/** A step as one number, by which the explorer remembers it. */
export function stepCode({ kind, node, item }: Step): number {
  return (item * NODE_SPAN + node) * KIND_SPAN + STEP_KINDS.indexOf(kind);
}

export function stepOf(code: number): Step {
  const rest = Math.floor(code / KIND_SPAN);
  return {
    kind: STEP_KINDS[code % KIND_SPAN] ?? 'advance',
    node: rest % NODE_SPAN,
    item: Math.floor(rest / NODE_SPAN),
  };
}

export function stepAt(kind: StepKind, node: number = 0, item: number = 0): Step {
  return { kind, node, item };
}

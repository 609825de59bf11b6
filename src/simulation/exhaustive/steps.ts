/** The kinds of steps that a cluster may take. */
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
  /** All steps without faults up to the next choice. */
  | 'fault-free';

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
  'fault-free',
];
/** Exclusive upper bounds of the node and of the kind in a step's code. */
const NODE_RANGE = 16;
const KIND_RANGE = 16;

/** One step of a cluster; `item` is the id of the message or command, if it has one. */
export interface Step {
  readonly kind: StepKind;
  readonly node: number;
  readonly item: number;
}

/** Encodes a step as one number, which the explorer stores. */
export function stepCode({ kind, node, item }: Step): number {
  return (item * NODE_RANGE + node) * KIND_RANGE + STEP_KINDS.indexOf(kind);
}

/** Decodes a step from its code. */
export function stepOf(code: number): Step {
  const rest = Math.floor(code / KIND_RANGE);
  return {
    kind: STEP_KINDS[code % KIND_RANGE] ?? 'advance',
    node: rest % NODE_RANGE,
    item: Math.floor(rest / NODE_RANGE),
  };
}

/** Creates a step; a step without a node, a message or a command has 0 there. */
export function stepAt(kind: StepKind, node: number = 0, item: number = 0): Step {
  return { kind, node, item };
}

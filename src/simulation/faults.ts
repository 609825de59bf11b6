import { boolean, enums, literal, number, object, union, type Infer } from 'superstruct';

/** When a fault strikes: at a moment, or so long after the first such event from a moment on. */
export const TRIGGER_EVENTS = [
  'orderSent',
  'ack',
  'newLeader',
  'leaderLost',
  'epoch',
  'repaired',
  'jointVoters',
  'newVoters',
  'freeze',
  'cut',
  'restart',
] as const;
export type TriggerEvent = (typeof TRIGGER_EVENTS)[number];

const WhenShape = union([
  object({ kind: literal('at'), at: number() }),
  object({
    kind: literal('after'),
    event: enums([...TRIGGER_EVENTS]),
    from: number(),
    delay: number(),
  }),
]);
export type When = Infer<typeof WhenShape>;

/** Which control node a fault strikes; a place counts the nodes that are in the fleet at that moment. */
export const TARGET_ROLES = [
  'leader',
  'answered',
  'called',
  'follower',
  'repaired',
  'newest',
  /** The node that the awaited event is about. */
  'itself',
] as const;
const TargetShape = union([
  object({ kind: literal('role'), role: enums([...TARGET_ROLES]) }),
  object({ kind: literal('place'), place: number() }),
]);
export type Target = Infer<typeof TargetShape>;

const timedFields = { when: WhenShape, forMs: number() } as const;
const targetedFields = { ...timedFields, target: TargetShape } as const;
const UNSYNCED_FATES = ['kept', 'lost', 'drawn'] as const;

/** One fault of a schedule. Spans are milliseconds of true time. */
export const FaultShape = union([
  /** SIGKILL; it is started again afterwards. */
  object({ kind: literal('kill'), ...targetedFields }),
  object({ kind: literal('powerLoss'), ...targetedFields, unsynced: enums([...UNSYNCED_FATES]) }),
  object({ kind: literal('freeze'), ...targetedFields }),
  /** Frozen between the check of its lease and the write of an order. */
  object({ kind: literal('freezeAtOrder'), ...targetedFields }),
  /** A planned stop, and a start afterwards. */
  object({ kind: literal('restart'), ...targetedFields }),
  /** It leaves for good, with a planned stop or without, and nobody comes for it. */
  object({ kind: literal('leave'), ...targetedFields, planned: boolean() }),
  /** An empty machine at another address takes its place: before a planned stop, or after a loss. */
  object({
    kind: literal('replace'),
    ...targetedFields,
    planned: boolean(),
    oldReturns: boolean(),
  }),
  /** It comes back with an empty disk. */
  object({ kind: literal('wipe'), ...targetedFields, othersLosePower: boolean() }),
  /** It comes back with the disk as it was so long before. */
  object({ kind: literal('oldDisk'), ...targetedFields, ageMs: number() }),
  object({ kind: literal('disk'), ...targetedFields, trouble: enums(['slow', 'stalled', 'full']) }),
  object({
    kind: literal('cut'),
    ...targetedFields,
    direction: enums(['both', 'in', 'out']),
    style: enums(['silent', 'reset', 'refuse']),
    /** How many other control nodes stay on its side of the cut. */
    besides: number(),
    /** Whether agents are cut off from it as well. */
    withAgents: boolean(),
  }),
  object({ kind: literal('slowLinks'), ...targetedFields, delayMs: number() }),
  object({ kind: literal('resets'), ...targetedFields, share: number() }),
  object({ kind: literal('clockRate'), ...targetedFields, rate: number() }),
  object({ kind: literal('runnerCut'), ...targetedFields }),
  object({ kind: literal('killAll'), ...timedFields }),
  object({ kind: literal('powerLossAll'), ...timedFields, unsynced: enums([...UNSYNCED_FATES]) }),
  /** The settings name other seeds, first of all one that is in trouble or gone. */
  object({ kind: literal('seedTurnover'), when: WhenShape }),
  object({ kind: literal('answersLost'), ...timedFields, share: number() }),
  /** Operators' calls to a node, or its answers, are held up or slow. */
  object({
    kind: literal('operatorCut'),
    ...targetedFields,
    direction: enums(['both', 'in', 'out']),
  }),
  object({ kind: literal('slowCalls'), ...targetedFields, delayMs: number() }),
  object({ kind: literal('agentKill'), ...timedFields, agent: number() }),
  object({ kind: literal('agentFreeze'), ...timedFields, agent: number() }),
  object({ kind: literal('agentCut'), ...timedFields, agent: number() }),
]);
export type Fault = Infer<typeof FaultShape>;
export type FaultKind = Fault['kind'];

export type Schedule = readonly Fault[];

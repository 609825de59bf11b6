import { boolean, enums, literal, number, object, union, type Infer } from 'superstruct';

/** Events that can trigger a fault. */
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
/** The name of an event that can trigger a fault. */
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
/** When a fault is injected: at a time, or `delay` after the first event of a kind from a time on. */
export type When = Infer<typeof WhenShape>;

/** Roles by which a fault can select the control node that it targets. */
export const TARGET_ROLES = [
  'leader',
  'answered',
  'called',
  'follower',
  'repaired',
  'newest',
  /** The node of the triggering event. */
  'itself',
] as const;
const TargetShape = union([
  object({ kind: literal('role'), role: enums([...TARGET_ROLES]) }),
  object({ kind: literal('place'), place: number() }),
]);
/** The control node that a fault targets: by role, or by its index among the nodes that are in the fleet at that time. */
export type Target = Infer<typeof TargetShape>;

const timedFields = { when: WhenShape, forMs: number() } as const;
const targetedFields = { ...timedFields, target: TargetShape } as const;
const UNSYNCED_FATES = ['kept', 'lost', 'drawn'] as const;

/** One fault of a schedule. Durations are in milliseconds of true time. */
export const FaultShape = union([
  /** SIGKILL; the process is started again afterwards. */
  object({ kind: literal('kill'), ...targetedFields }),
  object({ kind: literal('powerLoss'), ...targetedFields, unsynced: enums([...UNSYNCED_FATES]) }),
  object({ kind: literal('freeze'), ...targetedFields }),
  /** The process is frozen between the check of its lease and the write of an order. */
  object({ kind: literal('freezeAtOrder'), ...targetedFields }),
  /** A planned stop and a start afterwards. */
  object({ kind: literal('restart'), ...targetedFields }),
  /** The machine leaves permanently, with or without a planned stop, and is not replaced. */
  object({ kind: literal('leave'), ...targetedFields, planned: boolean() }),
  /** An empty machine at another address replaces it: added before a planned stop, or after a loss. */
  object({
    kind: literal('replace'),
    ...targetedFields,
    planned: boolean(),
    oldReturns: boolean(),
  }),
  /** The machine loses power and returns with an empty disk. */
  object({ kind: literal('wipe'), ...targetedFields, othersLosePower: boolean() }),
  /** The machine loses power and returns with the disk as it was `ageMs` before. */
  object({ kind: literal('oldDisk'), ...targetedFields, ageMs: number() }),
  object({ kind: literal('disk'), ...targetedFields, trouble: enums(['slow', 'stalled', 'full']) }),
  object({
    kind: literal('cut'),
    ...targetedFields,
    direction: enums(['both', 'in', 'out']),
    style: enums(['silent', 'reset', 'refuse']),
    /** Number of other control nodes on its side of the cut. */
    besides: number(),
    /** Whether agents are cut off from it too. */
    withAgents: boolean(),
  }),
  object({ kind: literal('slowLinks'), ...targetedFields, delayMs: number() }),
  object({ kind: literal('resets'), ...targetedFields, share: number() }),
  object({ kind: literal('clockRate'), ...targetedFields, rate: number() }),
  object({ kind: literal('runnerCut'), ...targetedFields }),
  object({ kind: literal('killAll'), ...timedFields }),
  object({ kind: literal('powerLossAll'), ...timedFields, unsynced: enums([...UNSYNCED_FATES]) }),
  /** The configured seeds change; lost machines are named first. */
  object({ kind: literal('seedTurnover'), when: WhenShape }),
  object({ kind: literal('answersLost'), ...timedFields, share: number() }),
  /** Operators' calls to a node, its answers, or both are held up. */
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
/** One fault of a schedule. */
export type Fault = Infer<typeof FaultShape>;
/** The kind of a fault. */
export type FaultKind = Fault['kind'];

/** The faults of a run. */
export type Schedule = readonly Fault[];

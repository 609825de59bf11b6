import { boolean, enums, literal, number, object, union, type Infer } from 'superstruct';

/** When a fault strikes: at a moment, or so long after the first such event from a moment on. */
export const EVENTS = [
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
export type TriggerEvent = (typeof EVENTS)[number];

const WhenShape = union([
  object({ kind: literal('at'), at: number() }),
  object({ kind: literal('after'), event: enums([...EVENTS]), from: number(), delay: number() }),
]);
export type When = Infer<typeof WhenShape>;

/** Which control node a fault strikes; a place counts the nodes that are in the fleet at that moment. */
export const ROLES = [
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
  object({ kind: literal('role'), role: enums([...ROLES]) }),
  object({ kind: literal('place'), place: number() }),
]);
export type Target = Infer<typeof TargetShape>;

const timed = { when: WhenShape, forMs: number() } as const;
const aimed = { ...timed, target: TargetShape } as const;
const FATES = ['kept', 'lost', 'drawn'] as const;

/** One fault of a schedule. Spans are milliseconds of true time. */
export const FaultShape = union([
  /** SIGKILL; it is started again afterwards. */
  object({ kind: literal('kill'), ...aimed }),
  object({ kind: literal('powerLoss'), ...aimed, unsynced: enums([...FATES]) }),
  object({ kind: literal('freeze'), ...aimed }),
  /** Frozen between the check of its lease and the write of an order. */
  object({ kind: literal('freezeAtOrder'), ...aimed }),
  /** A planned stop, and a start afterwards. */
  object({ kind: literal('restart'), ...aimed }),
  /** It leaves for good, with a planned stop or without, and nobody comes for it. */
  object({ kind: literal('leave'), ...aimed, planned: boolean() }),
  /** An empty machine at another address takes its place: before a planned stop, or after a loss. */
  object({ kind: literal('replace'), ...aimed, planned: boolean(), oldReturns: boolean() }),
  /** It comes back with an empty disk. */
  object({ kind: literal('wipe'), ...aimed, othersLosePower: boolean() }),
  /** It comes back with the disk as it was so long before. */
  object({ kind: literal('oldDisk'), ...aimed, ageMs: number() }),
  object({ kind: literal('disk'), ...aimed, trouble: enums(['slow', 'stalled', 'full']) }),
  object({
    kind: literal('cut'),
    ...aimed,
    direction: enums(['both', 'in', 'out']),
    style: enums(['silent', 'reset', 'refuse']),
    /** How many other control nodes stay on its side of the cut. */
    besides: number(),
    /** Whether agents are cut off from it as well. */
    withAgents: boolean(),
  }),
  object({ kind: literal('slowLinks'), ...aimed, delayMs: number() }),
  object({ kind: literal('resets'), ...aimed, share: number() }),
  object({ kind: literal('clockRate'), ...aimed, rate: number() }),
  object({ kind: literal('runnerCut'), ...aimed }),
  object({ kind: literal('killAll'), ...timed }),
  object({ kind: literal('powerLossAll'), ...timed, unsynced: enums([...FATES]) }),
  /** The settings name other seeds, first of all one that is in trouble or gone. */
  object({ kind: literal('seedTurnover'), when: WhenShape }),
  object({ kind: literal('answersLost'), ...timed, share: number() }),
  /** Operators' calls to a node, or its answers, are held up or slow. */
  object({ kind: literal('operatorCut'), ...aimed, direction: enums(['both', 'in', 'out']) }),
  object({ kind: literal('slowCalls'), ...aimed, delayMs: number() }),
  object({ kind: literal('agentKill'), ...timed, agent: number() }),
  object({ kind: literal('agentFreeze'), ...timed, agent: number() }),
  object({ kind: literal('agentCut'), ...timed, agent: number() }),
]);
export type Fault = Infer<typeof FaultShape>;
export type FaultKind = Fault['kind'];

export type Schedule = readonly Fault[];

import type { Message } from '../../common/messages.js';
import type { DiskWrite, Envelope, NodeFactory } from './local-states.js';

/** The default clock step: milliseconds between two consecutive times of a model. Nothing happens in between. */
export const CLOCK_STEP_MS = 1000;

/** The state of one node, given by ids of interned values. */
export interface NodeState {
  /** The state of its process. */
  readonly local: number;
  readonly disk: number;
  /** Unfinished writes, oldest first. */
  readonly pending: readonly number[];
}

/**
 * The state of the whole cluster. The network keeps every message: once sent, it can be delivered at any later time, any
 * number of times and in any order, or never. This covers losses, duplicates and late copies.
 */
export interface World<Ghost> {
  /** The time, in clock steps. */
  readonly clock: number;
  readonly nodes: readonly NodeState[];
  /** The set of all messages sent so far, as a sorted text of message ids. */
  readonly messages: string;
  readonly restarts: number;
  readonly wipes: number;
  /** Ghost state: history that the invariants need, which no node reads. */
  readonly ghost: Ghost;
}

/** A state as the invariants see it. */
export interface View<Facts, Ghost> {
  readonly clock: number;
  readonly ghost: Ghost;
  readonly facts: readonly Facts[];
  readonly disks: readonly (readonly DiskWrite[])[];
}

/** What a step did apart from changing the state. */
export interface StepDetails<Command, Event> {
  /** The node that took the step; undefined if the clocks advanced. */
  readonly node: number | undefined;
  readonly isAdvance: boolean;
  readonly isRestart: boolean;
  readonly command: Command | undefined;
  readonly sent: readonly Envelope[];
  readonly events: readonly Event[];
}

/** The ghost state after a step, and the broken invariant, if any. */
export interface InvariantCheck<Ghost> {
  readonly ghost: Ghost;
  readonly violation: string | undefined;
}

/** A command, and the node that receives it. */
export interface NodeCommand<Command> {
  readonly node: number;
  readonly command: Command;
}

/** Kinds of faults: of messages (lost, or delivered late or again), of timers (late), of connections, disks and nodes. */
export const FAULT_KINDS = [
  'drop',
  'receive',
  'skip',
  'freeze',
  'cut',
  'stall',
  'restart',
  'wipe',
] as const;
/** One kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** Limits on time and on crashes. */
export interface FaultBounds {
  /** Number of steps by which the clocks may advance. */
  readonly clockSteps: number;
  /** Crashes after which all synced data remains. A node that is not scheduled again stands for one that stays down. */
  readonly restarts: number;
  /** Crashes that lose the whole disk. */
  readonly wipes: number;
  /** Whether other steps may happen before a write finishes; otherwise each write is synced in the step that began it. */
  readonly hasLateSyncs: boolean;
}

/** A protocol to check: the production code of a node, the commands that it may receive, and the invariants. */
export interface Protocol<Command, Event, Facts, Ghost> extends NodeFactory<Command, Event, Facts> {
  readonly name: string;
  /** Milliseconds by which all clocks advance at once. */
  readonly clockStepMs: number;
  readonly faults: FaultBounds;
  /** The ghost state before the first step. */
  readonly firstGhost: Ghost;
  /** The disk contents of each node at its first start. */
  readonly firstDisks: readonly (readonly DiskWrite[])[];
  /** Nodes that are frozen when the search begins, as a bit mask; used only by searches that can freeze nodes. */
  readonly firstFrozen: number;
  /**
   * When lasting faults may end, in searches that have them: whenever no message is in transit, or only when the clocks are
   * due to advance.
   */
  readonly lastingFaultsEnd: 'when no message is in transit' | 'when the clocks advance';
  /** Whether searches with faults may inject one of this kind at the node; `faults` limits crashes in addition. */
  allowsFault(view: View<Facts, Ghost>, kind: FaultKind, node: number): boolean;
  /** Brings the newly started cluster to the state in which the search begins. */
  prepare(run: FaultFreeRun<Command>): void;
  /** Whether late copies of such a message are explored; other messages are delivered in time or not at all. */
  mayArriveLate(message: Message): boolean;
  /** The commands that clients may send in this state. */
  commands(view: View<Facts, Ghost>): readonly NodeCommand<Command>[];
  /** Checks the invariants after a step, and updates the ghost state. */
  checkInvariants(
    before: View<Facts, Ghost>,
    after: View<Facts, Ghost>,
    details: StepDetails<Command, Event>,
  ): InvariantCheck<Ghost>;
}

/** The preparation of a search, in which no message is lost or late. */
export interface FaultFreeRun<Command> {
  /** The node checks its timers. */
  tick(node: number): void;
  /** The node receives a command. */
  command(node: number, command: Command): void;
  /** Advances the clocks by one step. */
  advance(): void;
  /** The node crashes and restarts with an empty disk. */
  wipe(node: number): void;
  /** Discards the messages sent so far: they are never delivered again. */
  discardMessages(): void;
  /** From now on, messages are delivered only by `deliver`. */
  holdMessages(): void;
  /** Delivers the messages of this kind that one node sent to another. */
  deliver(from: number, to: number, kind: Message['kind']): void;
  /** From now on, no message is delivered to this node until the search begins. */
  freeze(node: number): void;
}

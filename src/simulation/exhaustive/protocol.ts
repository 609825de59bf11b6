import type { Message } from '../../common/messages.js';
import type { DiskWrite, Envelope, NodeFactory } from './local-states.js';

/** The usual milliseconds between two of the moments that a model has. Nothing happens at any other. */
export const CLOCK_STEP_MS = 1000;

/** One node of a state: numbers of what the tables hold. */
export interface NodeState {
  readonly local: number;
  readonly disk: number;
  /** Writes that the disk has not finished, oldest first. */
  readonly pending: readonly number[];
}

/**
 * A state of the whole. The network never forgets: a message that was sent once can be delivered at any later moment, any
 * number of times and in any order, or never. Losses, duplicates and late copies are all in that.
 */
export interface World<Ghost> {
  readonly clock: number;
  readonly nodes: readonly NodeState[];
  /** One character for each message ever sent, sorted. */
  readonly messages: string;
  readonly restarts: number;
  readonly wipes: number;
  /** What the invariants remember. */
  readonly ghost: Ghost;
}

/** A state as the invariants see it. */
export interface View<Facts, Ghost> {
  readonly clock: number;
  readonly ghost: Ghost;
  readonly facts: readonly Facts[];
  readonly disks: readonly (readonly DiskWrite[])[];
}

/** What a step did, beside changing the state. */
export interface Happening<Command, Event> {
  /** The node that took the step; nothing for the passing of time. */
  readonly node: number | undefined;
  readonly isAdvance: boolean;
  readonly isRestart: boolean;
  readonly command: Command | undefined;
  readonly sent: readonly Envelope[];
  readonly events: readonly Event[];
}

export interface Judgement<Ghost> {
  readonly ghost: Ghost;
  readonly violation: string | undefined;
}

export interface NodeCommand<Command> {
  readonly node: number;
  readonly command: Command;
}

/** Departures from a calm run: a message lost or delivered again, timers late, a node in trouble or crashed. */
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
export type FaultKind = (typeof FAULT_KINDS)[number];

/** How often what may go wrong, and how far time may go. */
export interface FaultBounds {
  readonly clockSteps: number;
  /** Crashes with everything synced kept. A node that is never scheduled again stands for one that stays away. */
  readonly restarts: number;
  /** Crashes that lose the whole disk. */
  readonly wipes: number;
  /** Whether a write may be unfinished while other things happen; else each is synced in the step that began it. */
  readonly hasLateSyncs: boolean;
}

/** One protocol to check: the real code of a node, what may be asked of it, and what must always hold. */
export interface Protocol<Command, Event, Facts, Ghost> extends NodeFactory<Command, Event, Facts> {
  readonly name: string;
  /** Milliseconds by which all clocks advance at once. */
  readonly clockStepMs: number;
  readonly faults: FaultBounds;
  readonly firstGhost: Ghost;
  readonly firstDisks: readonly (readonly DiskWrite[])[];
  /** Nodes that are frozen when the search begins, as a bit mask; used by searches that know of freezing. */
  readonly firstFrozen: number;
  /** When lasting troubles may end in searches that know of them, apart from when a message is on its way. */
  readonly troublesEnd: 'at any pause' | 'with the clocks';
  /** Whether searches of few faults may make a fault of this kind at the node in this state; crashes are bounded besides. */
  mayFail(view: View<Facts, Ghost>, kind: FaultKind, node: number): boolean;
  /** Brings the fresh cluster to where the search begins. */
  prepare(calm: CalmRun<Command>): void;
  /** Whether late copies of such a message are worth a look; others are delivered in time or not at all. */
  isWatched(message: Message): boolean;
  commands(view: View<Facts, Ghost>): readonly NodeCommand<Command>[];
  judge(
    before: View<Facts, Ghost>,
    after: View<Facts, Ghost>,
    did: Happening<Command, Event>,
  ): Judgement<Ghost>;
}

/** Steps of the beginning, in which nothing is lost or late. */
export interface CalmRun<Command> {
  tick(node: number): void;
  command(node: number, command: Command): void;
  advance(): void;
  wipe(node: number): void;
  /** Messages sent so far are never delivered again. */
  forget(): void;
  /** From here on messages are delivered only one by one. */
  hold(): void;
  /** Delivers the messages of this kind that one node has sent to another. */
  deliver(from: number, to: number, kind: Message['kind']): void;
  /** From here on nothing reaches this node and nothing is sent by it, until the search begins. */
  freeze(node: number): void;
}

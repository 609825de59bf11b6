import type { ControlNode } from './control-node.js';
import type { RunEvents } from './run-events.js';

/** What a node watch is created with. */
export interface NodeWatchSettings {
  /** Receives the observed events. */
  readonly events: RunEvents;
  /** True time. */
  readonly now: () => number;
  /** Receives a line for each node that becomes sound. */
  readonly log: (line: string) => void;
}

interface NodeState {
  incarnation: number;
  isServing: boolean;
  isSound: boolean;
  startedAt: number;
  voters: string;
  epoch: number;
}

/** Observes control nodes from outside: changes of the leader, of epochs and of voters, and repairs. */
export class NodeWatch {
  readonly #settings: NodeWatchSettings;
  readonly #states = new Map<string, NodeState>();
  readonly #serving = new Set<string>();
  readonly #repairMs: number[] = [];
  readonly #leaderlessMs: number[] = [];
  #lastServingAt = -Infinity;
  #leaderlessSince: number | undefined = 0;

  constructor(settings: NodeWatchSettings) {
    this.#settings = settings;
  }

  /** True time at which a node was last seen to lead and serve. */
  get lastServingAt(): number {
    return this.#lastServingAt;
  }

  /**
   * Times in milliseconds from the start of a process until its replica was sound, for each incarnation whose predecessor
   * was not sound when it ended.
   */
  get repairMs(): readonly number[] {
    return this.#repairMs;
  }

  /** Lengths in milliseconds of the periods without a serving leader. */
  get leaderlessMs(): readonly number[] {
    return this.#leaderlessMs;
  }

  /** Observes a node after an input of its core. */
  stepped(node: ControlNode): void {
    const state = this.#stateOf(node);
    const { core } = node;
    this.#noteServing(node, state, core?.isServing === true);
    if (!core) return;
    this.#noteEpoch(node, state, core.elector.epoch);
    const isSound = core.replicaStatus.name === 'sound';
    if (isSound && !state.isSound) this.#noteSound(node, state);
    state.isSound = isSound;
    if (state.isServing) this.#noteVoters(node, state, core.voters);
  }

  #stateOf(node: ControlNode): NodeState {
    const state = this.#states.get(node.id);
    if (state && state.incarnation === node.incarnation) return state;
    // Until the core of a new process exists, its replica is assumed to be as sound as that of the previous incarnation.
    const isSound = state?.isSound ?? false;
    const startedAt = this.#settings.now();
    const isServing = state?.isServing ?? false;
    const fresh = {
      incarnation: node.incarnation,
      isServing,
      isSound,
      startedAt,
      voters: '',
      epoch: 0,
    };
    this.#states.set(node.id, fresh);
    return fresh;
  }

  #noteServing(node: ControlNode, state: NodeState, isServing: boolean): void {
    const now = this.#settings.now();
    if (isServing) this.#lastServingAt = now;
    if (state.isServing === isServing) return;
    state.isServing = isServing;
    if (isServing) {
      this.#serving.add(node.id);
      if (this.#leaderlessSince !== undefined) {
        this.#leaderlessMs.push(Math.round(now - this.#leaderlessSince));
      }
      this.#leaderlessSince = undefined;
      this.#settings.events.emit('newLeader', node.id);
      return;
    }
    this.#serving.delete(node.id);
    if (this.#serving.size === 0) this.#leaderlessSince = now;
    this.#settings.events.emit('leaderLost', node.id);
  }

  #noteSound(node: ControlNode, state: NodeState): void {
    const elapsedMs = Math.round(this.#settings.now() - state.startedAt);
    this.#settings.log(`${node.id} is a sound replica after ${elapsedMs} ms`);
    this.#repairMs.push(elapsedMs);
    this.#settings.events.emit('repaired', node.id);
  }

  #noteEpoch(node: ControlNode, state: NodeState, epoch: number): void {
    if (state.epoch === epoch) return;
    state.epoch = epoch;
    this.#settings.events.emit('epoch', node.id);
  }

  #noteVoters(node: ControlNode, state: NodeState, voters: readonly string[]): void {
    const joined = voters.join(' ');
    const before = state.voters;
    state.voters = joined;
    if (before === '' || before === joined) return;
    const isJoint = voters.length > before.split(' ').length;
    this.#settings.events.emit(isJoint ? 'jointVoters' : 'newVoters', node.id);
  }
}

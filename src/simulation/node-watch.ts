import type { ControlNode } from './control-node.js';
import type { RunEvents } from './run-events.js';

export interface NodeWatchSettings {
  readonly events: RunEvents;
  readonly now: () => number;
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

/** Sees from outside what control nodes go through: reigns, repairs and changes of voters. */
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

  /** When a node was last seen to lead and serve. */
  get lastServingAt(): number {
    return this.#lastServingAt;
  }

  /** From the start of each life that did not count as its node's last one had ended, until it counts. */
  get repairMs(): readonly number[] {
    return this.#repairMs;
  }

  get leaderlessMs(): readonly number[] {
    return this.#leaderlessMs;
  }

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
    // What a life that has only begun is to itself is not known before its core stands.
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
    this.#settings.log(`${node.id} counts after ${elapsedMs} ms`);
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

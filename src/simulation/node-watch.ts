import type { ControlNode } from './control-node.js';
import type { RunEvents } from './run-events.js';

export interface NodeWatchSettings {
  readonly events: RunEvents;
  readonly now: () => number;
  readonly log: (line: string) => void;
}

interface Known {
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
  readonly #known = new Map<string, Known>();
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
    const known = this.#knownOf(node);
    const { core } = node;
    this.#noteServing(node, known, core?.isServing === true);
    if (!core) return;
    this.#noteEpoch(node, known, core.elector.epoch);
    const isSound = core.replicaStatus.name === 'sound';
    if (isSound && !known.isSound) this.#noteSound(node, known);
    known.isSound = isSound;
    if (known.isServing) this.#noteVoters(node, known, core.voters);
  }

  #knownOf(node: ControlNode): Known {
    const known = this.#known.get(node.id);
    if (known && known.incarnation === node.incarnation) return known;
    // What a life that has only begun is to itself is not known before its core stands.
    const isSound = known?.isSound ?? false;
    const startedAt = this.#settings.now();
    const isServing = known?.isServing ?? false;
    const fresh = {
      incarnation: node.incarnation,
      isServing,
      isSound,
      startedAt,
      voters: '',
      epoch: 0,
    };
    this.#known.set(node.id, fresh);
    return fresh;
  }

  #noteServing(node: ControlNode, known: Known, isServing: boolean): void {
    const now = this.#settings.now();
    if (isServing) this.#lastServingAt = now;
    if (known.isServing === isServing) return;
    known.isServing = isServing;
    if (isServing) {
      this.#serving.add(node.id);
      if (this.#leaderlessSince !== undefined) {
        this.#leaderlessMs.push(Math.round(now - this.#leaderlessSince));
      }
      this.#leaderlessSince = undefined;
      this.#settings.events.tell('newLeader', node.id);
      return;
    }
    this.#serving.delete(node.id);
    if (this.#serving.size === 0) this.#leaderlessSince = now;
    this.#settings.events.tell('leaderLost', node.id);
  }

  #noteSound(node: ControlNode, known: Known): void {
    const millis = Math.round(this.#settings.now() - known.startedAt);
    this.#settings.log(`${node.id} counts after ${millis} ms`);
    this.#repairMs.push(millis);
    this.#settings.events.tell('repaired', node.id);
  }

  #noteEpoch(node: ControlNode, known: Known, epoch: number): void {
    if (known.epoch === epoch) return;
    known.epoch = epoch;
    this.#settings.events.tell('epoch', node.id);
  }

  #noteVoters(node: ControlNode, known: Known, voters: readonly string[]): void {
    const text = voters.join(' ');
    const before = known.voters;
    known.voters = text;
    if (before === '' || before === text) return;
    const isJoint = voters.length > before.split(' ').length;
    this.#settings.events.tell(isJoint ? 'jointVoters' : 'newVoters', node.id);
  }
}

import type { ControlNode } from './control-node.js';
import type { Target } from './faults.js';
import type { Fleet } from './fleet.js';
import type { RunEvents } from './run-events.js';

/** Finds the control node that a fault targets, in the fleet as it is when the fault is injected. */
export class FaultTargets {
  readonly #fleet: Fleet;
  readonly #events: RunEvents;
  #lastAnswered = '';
  #lastCalled = '';

  constructor(fleet: Fleet, events: RunEvents) {
    this.#fleet = fleet;
    this.#events = events;
  }

  /** Records the node that acknowledged a change last. */
  noteAnswered(node: string): void {
    this.#lastAnswered = node;
  }

  /** Records the node that an operator called last. */
  noteCalled(node: string): void {
    this.#lastCalled = node;
  }

  /** The target of a fault. `eventNode` is the node of the event that triggers it, or '' if none does. */
  find(target: Target, eventNode: string): ControlNode | undefined {
    const { present } = this.#fleet;
    if (target.kind === 'place') return present[target.place % Math.max(1, present.length)];
    switch (target.role) {
      case 'leader':
        return this.#fleet.leader ?? present[0];
      case 'follower':
        return present.find((other) => this.#fleet.leader !== other) ?? present[0];
      case 'answered':
        return this.#presentOrLeader(this.#lastAnswered);
      case 'called':
        return this.#presentOrLeader(this.#lastCalled);
      case 'repaired':
        return this.#presentOrLeader(this.#events.lastNode('repaired') ?? '');
      case 'itself':
        return this.#presentOrLeader(eventNode);
      case 'newest':
        return present.at(-1);
    }
  }

  /** The given number of other nodes of the fleet, starting with those after `node`. */
  othersAfter(node: ControlNode, count: number): ControlNode[] {
    const { present } = this.#fleet;
    const index = present.indexOf(node);
    const rotated = [...present.slice(index + 1), ...present.slice(0, Math.max(0, index))];
    return rotated.slice(0, count);
  }

  #presentOrLeader(id: string): ControlNode | undefined {
    const node = this.#fleet.controls.get(id);
    return node && !this.#fleet.hasLeft(id) ? node : (this.#fleet.leader ?? this.#fleet.present[0]);
  }
}

import type { ControlNode } from './control-node.js';
import type { Target } from './faults.js';
import type { Fleet } from './fleet.js';
import type { RunEvents } from './run-events.js';

/** Finds the control node that a fault is aimed at, as the fleet stands when it strikes. */
export class FaultTargets {
  readonly #fleet: Fleet;
  readonly #events: RunEvents;
  #answered = '';
  #called = '';

  constructor(fleet: Fleet, events: RunEvents) {
    this.#fleet = fleet;
    this.#events = events;
  }

  /** The node that acknowledged a change last. */
  noteAnswered(node: string): void {
    this.#answered = node;
  }

  /** The node that an operator called last. */
  noteCalled(node: string): void {
    this.#called = node;
  }

  /** `about`: the node that the event is about after which the fault strikes. */
  find(target: Target, about: string): ControlNode | undefined {
    const { present } = this.#fleet;
    if (target.kind === 'place') return present[target.place % Math.max(1, present.length)];
    switch (target.role) {
      case 'leader':
        return this.#fleet.leader ?? present[0];
      case 'follower':
        return present.find((other) => this.#fleet.leader !== other) ?? present[0];
      case 'answered':
        return this.#present(this.#answered);
      case 'called':
        return this.#present(this.#called);
      case 'repaired':
        return this.#present(this.#events.last('repaired') ?? '');
      case 'itself':
        return this.#present(about);
      case 'newest':
        return present.at(-1);
    }
  }

  /** That many other nodes that are in the fleet, those after the target first. */
  beside(node: ControlNode, count: number): ControlNode[] {
    const { present } = this.#fleet;
    const at = present.indexOf(node);
    const rotated = [...present.slice(at + 1), ...present.slice(0, Math.max(0, at))];
    return rotated.slice(0, count);
  }

  #present(id: string): ControlNode | undefined {
    const node = this.#fleet.controls.get(id);
    return node && !this.#fleet.isGone(id) ? node : (this.#fleet.leader ?? this.#fleet.present[0]);
  }
}

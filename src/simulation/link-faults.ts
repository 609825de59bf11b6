import type { ControlNode } from './control-node.js';
import type { Fault } from './faults.js';
import type { CutStyle } from './sim-network.js';
import type { FaultSurroundings, Undo } from './machine-faults.js';

type Cut = Extract<Fault, { kind: 'cut' }>;
type Direction = Cut['direction'];

/** One direction of a link that a fault harms. */
interface Way {
  readonly from: string;
  readonly to: string;
}

/** Faults of the links between machines: cuts, slow links, resets. */
export class LinkFaults {
  readonly #around: FaultSurroundings;

  constructor(around: FaultSurroundings) {
    this.#around = around;
  }

  /** Cuts a node, with those that stay on its side, off from all other control nodes. */
  cut(node: ControlNode, side: readonly ControlNode[], fault: Cut): Undo {
    const { fleet, budget, events } = this.#around;
    const inside = [node, ...side].map(idOf);
    const outside: string[] = [];
    for (const other of fleet.controls.keys()) if (!inside.includes(other)) outside.push(other);
    if (fault.withAgents) for (const agent of fleet.agents) outside.push(agent.id);
    const ways = waysBetween(inside, outside, fault.direction);
    for (const id of inside) budget.begin(id);
    const heal = this.#cutWays(ways, fault.style);
    events.tell('cut', node.id);
    this.#around.settled.disturb();
    const { settled } = this.#around;
    function undo(): void {
      heal();
      for (const id of inside) budget.end(id);
      settled.disturb();
    }
    return undo;
  }

  /** Slows all links of a node with the other control nodes. */
  slow(node: ControlNode, millis: number): Undo {
    const { fleet, budget } = this.#around;
    const others = [...fleet.controls.keys()].filter((other) => node.id !== other);
    const ways = waysBetween([node.id], others, 'both');
    budget.begin(node.id);
    const undoSlow = this.#slowWays(ways, millis);
    function undo(): void {
      undoSlow();
      budget.end(node.id);
    }
    return undo;
  }

  reset(node: ControlNode, share: number): void {
    this.#around.fleet.network.resetConnections(node.id, share);
    this.#around.settled.disturb();
  }

  cutRunners(node: ControlNode): Undo {
    const ways = waysBetween([node.id], this.#around.fleet.runnerIds, 'both');
    return this.#cutWays(ways, 'silent');
  }

  cutAgent(agent: string): Undo {
    const ways = waysBetween([agent], [...this.#around.fleet.controls.keys()], 'both');
    return this.#cutWays(ways, 'silent');
  }

  cutOperators(node: ControlNode, operators: readonly string[], direction: Direction): Undo {
    const { settled } = this.#around;
    settled.beginUnsteady();
    const heal = this.#cutWays(waysBetween([node.id], operators, direction), 'silent');
    function undo(): void {
      heal();
      settled.endUnsteady();
    }
    return undo;
  }

  slowOperators(node: ControlNode, operators: readonly string[], millis: number): Undo {
    return this.#slowWays(waysBetween([node.id], operators, 'both'), millis);
  }

  #cutWays(ways: readonly Way[], style: CutStyle): Undo {
    const { network } = this.#around.fleet;
    for (const { from, to } of ways) network.cut(from, to, style);
    function heal(): void {
      for (const { from, to } of ways) network.heal(from, to);
    }
    return heal;
  }

  #slowWays(ways: readonly Way[], millis: number): Undo {
    const { settled, fleet } = this.#around;
    const { network } = fleet;
    settled.beginUnsteady();
    for (const { from, to } of ways) network.slow(from, to, millis);
    function undo(): void {
      for (const { from, to } of ways) network.slow(from, to, 0);
      settled.endUnsteady();
    }
    return undo;
  }
}

/** The directions between two groups that a fault on the first one's side harms. */
function waysBetween(
  inside: readonly string[],
  outside: readonly string[],
  direction: Direction,
): Way[] {
  const ways: Way[] = [];
  for (const one of inside) {
    for (const other of outside) {
      if (direction !== 'in') ways.push({ from: one, to: other });
      if (direction !== 'out') ways.push({ from: other, to: one });
    }
  }
  return ways;
}

function idOf(node: ControlNode): string {
  return node.id;
}

import type { ControlNode } from './control-node.js';
import type { Fault } from './faults.js';
import type { CutStyle } from './sim-network.js';
import type { FaultContext, Undo } from './machine-faults.js';

type Cut = Extract<Fault, { kind: 'cut' }>;
type Direction = Cut['direction'];

/** One direction of a link. */
interface DirectedLink {
  readonly from: string;
  readonly to: string;
}

/** Faults of links between machines: cuts, delays and resets. */
export class LinkFaults {
  readonly #context: FaultContext;

  constructor(context: FaultContext) {
    this.#context = context;
  }

  /** Cuts a node and those on its side off from all other control nodes, and from the agents if the fault says so. */
  cut(node: ControlNode, side: readonly ControlNode[], fault: Cut): Undo {
    const { fleet, budget, events } = this.#context;
    const inside = [node, ...side].map(idOf);
    const outside: string[] = [];
    for (const other of fleet.controls.keys()) if (!inside.includes(other)) outside.push(other);
    if (fault.withAgents) for (const agent of fleet.agents) outside.push(agent.id);
    const links = linksBetween(inside, outside, fault.direction);
    for (const id of inside) budget.begin(id);
    const heal = this.#cutLinks(links, fault.style);
    events.emit('cut', node.id);
    this.#context.settled.disturb();
    const { settled } = this.#context;
    function undo(): void {
      heal();
      for (const id of inside) budget.end(id);
      settled.disturb();
    }
    return undo;
  }

  /** Delays all links between a node and the other control nodes. */
  slow(node: ControlNode, millis: number): Undo {
    const { fleet, budget } = this.#context;
    const others = [...fleet.controls.keys()].filter((other) => node.id !== other);
    const links = linksBetween([node.id], others, 'both');
    budget.begin(node.id);
    const undoSlow = this.#slowLinks(links, millis);
    function undo(): void {
      undoSlow();
      budget.end(node.id);
    }
    return undo;
  }

  /** Resets a share of the connections of a node. */
  reset(node: ControlNode, share: number): void {
    this.#context.fleet.network.resetConnections(node.id, share);
    this.#context.settled.disturb();
  }

  /** Cuts a node off from all runners. */
  cutRunners(node: ControlNode): Undo {
    const links = linksBetween([node.id], this.#context.fleet.runnerIds, 'both');
    return this.#cutLinks(links, 'silent');
  }

  /** Cuts an agent off from all control nodes. */
  cutAgent(agent: string): Undo {
    const links = linksBetween([agent], [...this.#context.fleet.controls.keys()], 'both');
    return this.#cutLinks(links, 'silent');
  }

  /** Cuts a node off from the operators in a direction. */
  cutOperators(node: ControlNode, operators: readonly string[], direction: Direction): Undo {
    const { settled } = this.#context;
    settled.beginUnsteady();
    const heal = this.#cutLinks(linksBetween([node.id], operators, direction), 'silent');
    function undo(): void {
      heal();
      settled.endUnsteady();
    }
    return undo;
  }

  /** Delays the links between a node and the operators. */
  slowOperators(node: ControlNode, operators: readonly string[], millis: number): Undo {
    return this.#slowLinks(linksBetween([node.id], operators, 'both'), millis);
  }

  #cutLinks(links: readonly DirectedLink[], style: CutStyle): Undo {
    const { network } = this.#context.fleet;
    for (const { from, to } of links) network.cut(from, to, style);
    function heal(): void {
      for (const { from, to } of links) network.heal(from, to);
    }
    return heal;
  }

  #slowLinks(links: readonly DirectedLink[], millis: number): Undo {
    const { settled, fleet } = this.#context;
    const { network } = fleet;
    settled.beginUnsteady();
    for (const { from, to } of links) network.slow(from, to, millis);
    function undo(): void {
      for (const { from, to } of links) network.slow(from, to, 0);
      settled.endUnsteady();
    }
    return undo;
  }
}

/** The directed links between two groups, for a direction as seen from the first group. */
function linksBetween(
  inside: readonly string[],
  outside: readonly string[],
  direction: Direction,
): DirectedLink[] {
  const links: DirectedLink[] = [];
  for (const one of inside) {
    for (const other of outside) {
      if (direction !== 'in') links.push({ from: one, to: other });
      if (direction !== 'out') links.push({ from: other, to: one });
    }
  }
  return links;
}

function idOf(node: ControlNode): string {
  return node.id;
}

import type { Network } from './network.js';
import type { RunFindings } from './run-findings.js';
import type { Scheduler } from './scheduler.js';
import type { SeededRandom } from './seeded-random.js';
import type { SimAgent } from './sim-agent.js';
import type { SimControl } from './sim-control.js';
import type { SimNode } from './sim-node.js';
import type { SimEnvironment } from './sim-environment.js';
import type { SimProxy } from './sim-proxy.js';
import type { Condition } from './fault-kinds.js';

/** Ids of the runners, which serve models, of every simulated fleet. */
export const RUNNERS = ['r0', 'r1', 'r2', 'r3'] as const;
/** Ids of the plain back ends, which serve no models. */
export const PLAIN_BACK_ENDS = ['k0', 'k1', 'k2'] as const;
/** Zones of every simulated fleet. */
export const ZONES = ['a', 'b', 'c'] as const;
/** Capacity of a runner, in the unit of model sizes, unless a fault changes it. */
export const RUNNER_CAPACITY = 35;
/** Concurrent loads that the weight store allows, unless a fault changes the number. */
export const MAX_LOADS = 2;

/** The view of a simulated fleet that fault injection works on. */
export interface SimulatedFleet {
  readonly scheduler: Scheduler;
  readonly seeded: SeededRandom;
  readonly network: Network;
  readonly outside: SimEnvironment;
  readonly nodes: ReadonlyMap<string, SimNode>;
  readonly controlNodes: readonly SimControl[];
  readonly agents: readonly SimAgent[];
  readonly proxies: readonly SimProxy[];
  readonly findings: RunFindings;
  /** Tells whether a condition holds at present, so that faults can be counted by condition. */
  readonly holds: (condition: Condition) => boolean;
}

/** The randomly chosen targets of one fault and its duration; each fault uses those that apply to it. */
export interface FaultTargets {
  readonly spanMs: number;
  readonly controlNode: SimControl;
  readonly otherControlNode: SimControl;
  readonly agent: SimAgent;
  readonly proxy: SimProxy;
  readonly runner: string;
  readonly plain: string;
  /** Either the runner or the plain back end. */
  readonly backEnd: string;
}

/** Kills, restarts and network cuts that all families of faults share. */
export class FaultActions {
  readonly #fleet: SimulatedFleet;

  constructor(fleet: SimulatedFleet) {
    this.#fleet = fleet;
  }

  /** Cuts the network from each node of `from` to each of `to` (and back, if `isBidirectional`), and heals it after the span. */
  cut(
    from: readonly string[],
    to: readonly string[],
    isBidirectional: boolean,
    spanMs: number,
  ): void {
    const { scheduler, network } = this.#fleet;
    for (const a of from) {
      for (const b of to) {
        if (a === b) continue;
        network.cut(a, b);
        scheduler.after(spanMs, () => network.heal(a, b));
        if (!isBidirectional) continue;
        network.cut(b, a);
        scheduler.after(spanMs, () => network.heal(b, a));
      }
    }
  }

  /** Returns the ids of all nodes and back ends except one. */
  allBut(id: string): string[] {
    const ids: string[] = [];
    for (const otherId of [...this.#fleet.nodes.keys(), ...RUNNERS, ...PLAIN_BACK_ENDS])
      if (otherId !== id) ids.push(otherId);
    return ids;
  }

  /** Kills a control node or an agent; peers see its connections reset after a network delay, unless the network is cut. */
  kill(node: SimControl | SimAgent): void {
    const { scheduler, network, nodes } = this.#fleet;
    if (!node.isUp) return;
    node.kill();
    for (const [id, other] of nodes) {
      if (id === node.id || network.isCut(node.id, id)) continue;
      scheduler.after(network.delay(), () => other.perform(() => other.onDisconnect(node.id)));
    }
  }

  /** Kills a proxy; its agent sees the connection closed after 1 ms. */
  killProxy(proxy: SimProxy): void {
    if (!proxy.isUp) return;
    proxy.kill();
    for (const agent of this.#fleet.agents)
      if (agent.proxies.has(proxy.id))
        this.#fleet.scheduler.after(1, () => agent.perform(() => agent.onDisconnect(proxy.id)));
  }

  /** Kills a control node or an agent and starts it again after the span. */
  restart(node: SimControl | SimAgent, spanMs: number): void {
    this.kill(node);
    this.#fleet.scheduler.after(spanMs, () => node.start());
  }

  /** Kills a proxy and starts it again after the span. */
  restartProxy(proxy: SimProxy, spanMs: number): void {
    this.killProxy(proxy);
    this.#fleet.scheduler.after(spanMs, () => proxy.start());
  }
}

/** Returns the id of a node, as a callback for `map`. */
export function idOf(node: SimNode): string {
  return node.id;
}

import type { Network } from './network.js';
import type { RunFindings } from './run-findings.js';
import type { Scheduler } from './scheduler.js';
import type { Seeded } from './seeded.js';
import type { SimAgent } from './sim-agent.js';
import type { SimControl } from './sim-control.js';
import type { SimNode } from './sim-node.js';
import type { SimOutside } from './sim-outside.js';
import type { SimProxy } from './sim-proxy.js';
import type { Condition } from './trouble-kinds.js';

/** Runners with models, plain back ends and zones of every simulated fleet. */
export const RUNNERS = ['r0', 'r1', 'r2', 'r3'] as const;
export const PLAIN = ['k0', 'k1', 'k2'] as const;
export const ZONES = ['a', 'b', 'c'] as const;
/** Room of a runner, and loads that the weight store allows at once, where no trouble changes them. */
export const RUNNER_ROOM = 35;
export const LOADS_AT_ONCE = 2;

/** A simulated fleet, as troubles meet it. */
export interface Stage {
  readonly scheduler: Scheduler;
  readonly seeded: Seeded;
  readonly network: Network;
  readonly outside: SimOutside;
  readonly nodes: ReadonlyMap<string, SimNode>;
  readonly controlNodes: readonly SimControl[];
  readonly agents: readonly SimAgent[];
  readonly proxies: readonly SimProxy[];
  readonly findings: RunFindings;
  readonly holds: (condition: Condition) => boolean;
}

/** What one trouble may strike, as drawn, and for how long. */
export interface Strike {
  readonly spanMs: number;
  readonly controlNode: SimControl;
  readonly otherControlNode: SimControl;
  readonly agent: SimAgent;
  readonly proxy: SimProxy;
  readonly runner: string;
  readonly plain: string;
  /** The runner or the plain back end. */
  readonly backEnd: string;
}

/** A kill or a cut, for all families of troubles. */
export class StageHands {
  readonly #stage: Stage;

  constructor(stage: Stage) {
    this.#stage = stage;
  }

  /** Cuts lines from each to each, and heals them after the span. */
  cut(from: readonly string[], to: readonly string[], isBoth: boolean, spanMs: number): void {
    const { scheduler, network } = this.#stage;
    for (const a of from) {
      for (const b of to) {
        if (a === b) continue;
        network.cut(a, b);
        scheduler.after(spanMs, () => network.heal(a, b));
        if (!isBoth) continue;
        network.cut(b, a);
        scheduler.after(spanMs, () => network.heal(b, a));
      }
    }
  }

  /** Everybody and every back end but one. */
  allBut(id: string): string[] {
    const ids: string[] = [];
    for (const each of [...this.#stage.nodes.keys(), ...RUNNERS, ...PLAIN])
      if (each !== id) ids.push(each);
    return ids;
  }

  /** A killed process's lines are reset at once, where they are not cut. */
  kill(node: SimControl | SimAgent): void {
    const { scheduler, network, nodes } = this.#stage;
    if (!node.isUp) return;
    node.kill();
    for (const [id, other] of nodes) {
      if (id === node.id || network.isCut(node.id, id)) continue;
      scheduler.after(network.delay(), () => other.perform(() => other.gone(node.id)));
    }
  }

  killProxy(proxy: SimProxy): void {
    if (!proxy.isUp) return;
    proxy.kill();
    for (const agent of this.#stage.agents)
      if (agent.proxies.has(proxy.id))
        this.#stage.scheduler.after(1, () => agent.perform(() => agent.gone(proxy.id)));
  }

  /** Kills a control node or an agent, and starts it again after the span. */
  restart(node: SimControl | SimAgent, spanMs: number): void {
    this.kill(node);
    this.#stage.scheduler.after(spanMs, () => node.start());
  }

  restartProxy(proxy: SimProxy, spanMs: number): void {
    this.killProxy(proxy);
    this.#stage.scheduler.after(spanMs, () => proxy.start());
  }
}

export function idOf(node: SimNode): string {
  return node.id;
}

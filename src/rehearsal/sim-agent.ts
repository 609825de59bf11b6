import { AgentCore } from '../agent/agent-core.js';
import type { Message } from '../common/messages.js';
import type { Scheduler } from './scheduler.js';
import type { Network } from './network.js';
import { NodeTrace } from './node-trace.js';
import type { SeededRandom } from './seeded-random.js';
import { SimNode } from './sim-node.js';

/** How long a proxy may accept requests after its configuration was last confirmed, ms. */
export const BLIND_MS = 2500;

/** The part of a proxy that its agent uses to send it updates. */
export interface FedProxy {
  perform(run: () => void): void;
  receive(from: string, message: Message): void;
}

/** A simulated agent of an edge machine, which runs the production `AgentCore`. */
export class SimAgent extends SimNode {
  readonly #network: Network;
  readonly #trace: NodeTrace;
  readonly #seeds: readonly string[];
  #core: AgentCore | undefined;
  /** The proxies on the same machine, by id. They are connected by loopback, which is never cut. */
  readonly proxies = new Map<string, FedProxy>();

  constructor(
    id: string,
    scheduler: Scheduler,
    seeded: SeededRandom,
    network: Network,
    seeds: readonly string[],
  ) {
    super(id, scheduler, seeded.between(0, 1e6), 25);
    this.#network = network;
    this.#trace = new NodeTrace(id, scheduler, network.trace);
    this.#seeds = seeds;
  }

  /** The agent's core; undefined while the process is down. */
  get core(): AgentCore | undefined {
    return this.#core;
  }

  protected boot(): void {
    this.#core = new AgentCore(
      {
        me: this.id,
        zone: 'z',
        seeds: this.#seeds,
        freshnessBoundMs: BLIND_MS,
        incarnation: this.incarnation,
      },
      this.now(),
    );
  }

  protected onKilled(): void {
    this.#core = undefined;
  }

  protected tick(): void {
    this.#core?.tick(this.now());
    this.#drainEffects();
  }

  receive(from: string, message: Message): void {
    this.#core?.onMessage(this.now(), from, from.startsWith('flow@') ? 'flow' : 'node', message);
    this.#drainEffects();
  }

  onDisconnect(from: string): void {
    this.#core?.onDisconnect(this.now(), from);
    this.#drainEffects();
  }

  #drainEffects(): void {
    for (const effect of this.#core?.drain() ?? []) {
      if (effect.do !== 'send') continue;
      const proxy = this.proxies.get(effect.to);
      if (proxy) {
        this.#trace.message(effect.to, effect.message);
        this.scheduler.after(0.1, () =>
          proxy.perform(() => proxy.receive(this.id, effect.message)),
        );
      } else this.#network.send(this.id, effect.to, effect.message);
    }
  }
}

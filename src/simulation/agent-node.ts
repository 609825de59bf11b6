import type { Message } from '../common/messages.js';
import type { AgentCore } from '../agent/agent-core.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { Seeded } from '../rehearsal/seeded.js';
import { AGENT_FRESHNESS_BOUND_MS, AGENT_TICK_MS } from '../agent/agent-process.js';
import type { CoreBuild } from './core-build.js';
import type { Endpoint } from './endpoint.js';
import { SimExchange } from './sim-exchange.js';
import type { Host, SimNetwork } from './sim-network.js';
import { SimProcess } from './sim-process.js';

export interface AgentSurroundings {
  readonly scheduler: Scheduler;
  readonly random: Seeded;
  readonly network: SimNetwork;
  readonly drift: number;
  /** Makes its core. */
  readonly build: CoreBuild;
  /** After every input of an agent's core. */
  readonly stepped: (node: AgentNode) => void;
}

const LIFE_RANGE = 2 ** 47;

/** An edge machine as far as it holds configuration: the real agent core. */
export class AgentNode implements Host {
  readonly id: string;
  readonly zone: string;
  readonly process: SimProcess;
  readonly #around: AgentSurroundings;
  readonly #exchange: SimExchange;
  #core: AgentCore | undefined;
  #starts = 0;

  constructor(id: string, zone: string, around: AgentSurroundings) {
    this.id = id;
    this.zone = zone;
    this.#around = around;
    this.process = new SimProcess(around.scheduler, around.random, around.drift);
    this.#exchange = new SimExchange(
      this,
      around.network,
      { role: 'link', zone },
      {
        receive: (from, role, zone, message) => this.#receive(from, role, zone, message),
        gone: (id) => this.#gone(id),
      },
    );
  }

  get core(): AgentCore | undefined {
    return this.#core;
  }

  get isPowered(): boolean {
    return true;
  }

  get isListening(): boolean {
    return this.#core !== undefined;
  }

  get incarnation(): number {
    return this.#starts;
  }

  start(seeds: readonly string[]): void {
    if (this.process.isUp) return;
    this.#starts += 1;
    this.process.begin();
    const incarnation = this.#around.random.below(LIFE_RANGE);
    const settings = {
      me: this.id,
      zone: this.zone,
      seeds,
      freshnessBoundMs: AGENT_FRESHNESS_BOUND_MS,
      incarnation,
    };
    this.#core = this.#around.build.agent({ ...settings, isDeployed: true }, this.process.now());
    this.#exchange.open();
    this.process.every(AGENT_TICK_MS, () => this.#tick());
    this.#tick();
  }

  kill(): void {
    this.#around.network.processEnded(this.id);
    this.process.end();
    this.#core = undefined;
    this.#around.stepped(this);
  }

  setSeeds(seeds: readonly string[]): void {
    this.process.submit('settings', () => this.#takeSeeds(seeds));
  }

  accept(endpoint: Endpoint): void {
    this.#exchange.accept(endpoint);
  }

  #takeSeeds(seeds: readonly string[]): void {
    this.#core?.setSeeds(seeds);
    this.#obey();
  }

  #tick(): void {
    const core = this.#core;
    if (!core) return;
    this.#exchange.dial(core.controlNode);
    core.tick(this.process.now());
    this.#obey();
  }

  #receive(from: string, role: string, _zone: string, message: Message): void {
    this.#core?.onMessage(this.process.now(), from, role, message);
    this.#obey();
  }

  #gone(id: string): void {
    this.#core?.onDisconnect(this.process.now(), id);
    this.#obey();
  }

  #obey(): void {
    for (const effect of this.#core?.drain() ?? []) {
      if (effect.do === 'send') this.#exchange.send(effect.to, effect.message);
    }
    this.#around.stepped(this);
  }
}

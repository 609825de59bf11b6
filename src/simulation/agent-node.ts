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

export interface AgentNodeSettings {
  readonly scheduler: Scheduler;
  readonly random: Seeded;
  readonly network: SimNetwork;
  readonly maxDrift: number;
  /** Makes its core. */
  readonly coreFactory: CoreBuild;
  /** After every input of an agent's core. */
  readonly stepped: (node: AgentNode) => void;
}

const INCARNATION_RANGE = 2 ** 47;

/** An edge machine as far as it holds configuration: the real agent core. */
export class AgentNode implements Host {
  readonly id: string;
  readonly zone: string;
  readonly process: SimProcess;
  readonly #settings: AgentNodeSettings;
  readonly #exchange: SimExchange;
  #core: AgentCore | undefined;
  #startCount = 0;

  constructor(id: string, zone: string, around: AgentNodeSettings) {
    this.id = id;
    this.zone = zone;
    this.#settings = around;
    this.process = new SimProcess(around.scheduler, around.random, around.maxDrift);
    this.#exchange = new SimExchange(
      this,
      around.network,
      { role: 'link', zone },
      {
        receive: (from, role, zone, message) => this.#receive(from, role, zone, message),
        disconnected: (id) => this.#disconnected(id),
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
    return this.#startCount;
  }

  start(seeds: readonly string[]): void {
    if (this.process.isUp) return;
    this.#startCount += 1;
    this.process.begin();
    const incarnation = this.#settings.random.below(INCARNATION_RANGE);
    const settings = {
      me: this.id,
      zone: this.zone,
      seeds,
      freshnessBoundMs: AGENT_FRESHNESS_BOUND_MS,
      incarnation,
    };
    this.#core = this.#settings.coreFactory.agent(
      { ...settings, isDeployed: true },
      this.process.now(),
    );
    this.#exchange.open();
    this.process.every(AGENT_TICK_MS, () => this.#tick());
    this.#tick();
  }

  kill(): void {
    this.#settings.network.processEnded(this.id);
    this.process.end();
    this.#core = undefined;
    this.#settings.stepped(this);
  }

  setSeeds(seeds: readonly string[]): void {
    this.process.submit('settings', () => this.#applySeeds(seeds));
  }

  accept(endpoint: Endpoint): void {
    this.#exchange.accept(endpoint);
  }

  #applySeeds(seeds: readonly string[]): void {
    this.#core?.setSeeds(seeds);
    this.#carryOutEffects();
  }

  #tick(): void {
    const core = this.#core;
    if (!core) return;
    this.#exchange.dial(core.controlNode);
    core.tick(this.process.now());
    this.#carryOutEffects();
  }

  #receive(from: string, role: string, _zone: string, message: Message): void {
    this.#core?.onMessage(this.process.now(), from, role, message);
    this.#carryOutEffects();
  }

  #disconnected(id: string): void {
    this.#core?.onDisconnect(this.process.now(), id);
    this.#carryOutEffects();
  }

  #carryOutEffects(): void {
    for (const effect of this.#core?.drain() ?? []) {
      if (effect.do === 'send') this.#exchange.send(effect.to, effect.message);
    }
    this.#settings.stepped(this);
  }
}

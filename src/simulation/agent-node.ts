import type { Message } from '../common/messages.js';
import type { AgentCore } from '../agent/agent-core.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { SeededRandom } from '../rehearsal/seeded-random.js';
import { AGENT_FRESHNESS_BOUND_MS, AGENT_TICK_MS } from '../agent/agent-process.js';
import type { CoreFactory } from './core-factory.js';
import type { Endpoint } from './endpoint.js';
import { SimExchange } from './sim-exchange.js';
import type { Host, SimNetwork } from './sim-network.js';
import { SimProcess } from './sim-process.js';

/** What an agent node is created with. */
export interface AgentNodeSettings {
  /** The run's virtual time. */
  readonly scheduler: Scheduler;
  /** The node's own stream of random numbers. */
  readonly random: SeededRandom;
  /** The network that the node is attached to. */
  readonly network: SimNetwork;
  /** Maximum deviation of its clock rate from 1, as a fraction. */
  readonly maxDrift: number;
  /** Creates the core at each start of the process. */
  readonly coreFactory: CoreFactory;
  /** Called after each input of the core, once its effects were carried out. */
  readonly stepped: (node: AgentNode) => void;
}

const INCARNATION_RANGE = 2 ** 47;

/** The agent of an edge machine: the real agent core on a simulated process and network. */
export class AgentNode implements Host {
  /** The node id, which is also its address. */
  readonly id: string;
  /** The zone of the machine. */
  readonly zone: string;
  /** The simulated process that runs the agent. */
  readonly process: SimProcess;
  readonly #settings: AgentNodeSettings;
  readonly #exchange: SimExchange;
  #core: AgentCore | undefined;
  #startCount = 0;

  constructor(id: string, zone: string, settings: AgentNodeSettings) {
    this.id = id;
    this.zone = zone;
    this.#settings = settings;
    this.process = new SimProcess(settings.scheduler, settings.random, settings.maxDrift);
    this.#exchange = new SimExchange(
      this,
      settings.network,
      { role: 'link', zone },
      {
        receive: (from, role, zone, message) => this.#receive(from, role, zone, message),
        disconnected: (id) => this.#disconnected(id),
      },
    );
  }

  /** The core of the running process; `undefined` while the process is down. */
  get core(): AgentCore | undefined {
    return this.#core;
  }

  /** Agents never lose power. */
  get isPowered(): boolean {
    return true;
  }

  /** Whether the process accepts connections. */
  get isListening(): boolean {
    return this.#core !== undefined;
  }

  /** Number of times the process was started. */
  get incarnation(): number {
    return this.#startCount;
  }

  /** Starts the process with these seeds; has no effect while it runs. */
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

  /** Kills the process as SIGKILL does: the kernel closes its connections. */
  kill(): void {
    this.#settings.network.processEnded(this.id);
    this.process.end();
    this.#core = undefined;
    this.#settings.stepped(this);
  }

  /** Passes new seeds to the running process. */
  setSeeds(seeds: readonly string[]): void {
    this.process.submit('settings', () => this.#applySeeds(seeds));
  }

  /** Accepts a connection from another node. */
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

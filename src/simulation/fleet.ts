import type { RunTrace } from '../rehearsal/run-trace.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { ListedRunner } from '../placement/fleet.js';
import { AgentNode } from './agent-node.js';
import { ControlNode, type ControlObserver } from './control-node.js';
import { NODE_LIST_LAG_MS } from './contract-bounds.js';
import { FakeRunner, type OrderListener } from './fake-runner.js';
import type { SimulationOptions } from './options.js';
import type { RandomStreams } from './random-streams.js';
import type { CoreFactory } from './core-factory.js';
import { SimNetwork } from './sim-network.js';
import { SimProcess } from './sim-process.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const RUNNER_COUNT = 2;
/** All machines start within this time. */
const START_SPREAD_MS = 300;
const MAX_DRIFT = 0.01;
const MAX_SEEDS = 3;

/** What a fleet is created with. */
export interface FleetSettings {
  /** The run's virtual time. */
  readonly scheduler: Scheduler;
  /** The random numbers of the run. */
  readonly streams: RandomStreams;
  /** The options of the run. */
  readonly options: SimulationOptions;
  /** Receives what control nodes do. */
  readonly observer: ControlObserver;
  /** Called after each input of an agent's core. */
  readonly agentStepped: (node: AgentNode) => void;
  /** Creates the cores of all processes. */
  readonly coreFactory: CoreFactory;
  /** Called with each order that a runner receives. */
  readonly orderArrived: OrderListener;
  /** Records what leaves the nodes. */
  readonly trace: RunTrace;
}

/** The operators' list of control machines from a time on. */
interface Listing {
  readonly at: number;
  readonly nodes: readonly string[];
}

/** The machines of a run: control nodes with spares, agents and runners; and the operators' list of control nodes. */
export class Fleet {
  /** The network that connects all machines. */
  readonly network: SimNetwork;
  readonly #settings: FleetSettings;
  readonly #controls = new Map<string, ControlNode>();
  readonly #left = new Set<string>();
  readonly #agents: AgentNode[] = [];
  readonly #runners: ListedRunner[] = [];
  readonly #listings: Listing[] = [];
  #seeds: readonly string[] = [];

  constructor(settings: FleetSettings) {
    this.#settings = settings;
    const { scheduler, streams, options, trace } = settings;
    this.network = new SimNetwork(scheduler, streams, trace);
    for (let index = 1; index <= RUNNER_COUNT; index += 1) this.#addRunner(index);
    for (let index = 0; index < options.nodes; index += 1) this.#addControl();
    for (let index = 0; index < options.agents; index += 1) this.#addAgent(index);
    this.#seeds = this.present.map(idOf).slice(0, MAX_SEEDS);
  }

  /** The zones of the fleet. */
  get zones(): readonly string[] {
    return ZONES;
  }

  /** Every control node of the run by its id, including those that have left. */
  get controls(): ReadonlyMap<string, ControlNode> {
    return this.#controls;
  }

  /** The agents. */
  get agents(): readonly AgentNode[] {
    return this.#agents;
  }

  /** The ids of the runners. */
  get runnerIds(): readonly string[] {
    return this.#runners.map(idOf);
  }

  /** The seeds that are configured now. */
  get seeds(): readonly string[] {
    return this.#seeds;
  }

  /** The control machines that have not left. */
  get present(): readonly ControlNode[] {
    return [...this.#controls.values()].filter(this.#isPresent, this);
  }

  /** Whether a control machine has left the fleet. */
  hasLeft(id: string): boolean {
    return this.#left.has(id);
  }

  /** The node that leads and serves; if several believe that they do, the one with the newest epoch. */
  get leader(): ControlNode | undefined {
    let leader: ControlNode | undefined;
    for (const node of this.#controls.values()) {
      if (node.core?.isServing !== true) continue;
      if (epochOf(node) > epochOf(leader)) leader = node;
    }
    return leader;
  }

  /** Starts all machines within a short span, with empty disks. */
  start(): void {
    const random = this.#settings.streams.of('starts');
    const { scheduler } = this.#settings;
    for (const node of this.#controls.values()) {
      scheduler.after(random.between(0, START_SPREAD_MS), node.start.bind(node, true, this.#seeds));
    }
    for (const agent of this.#agents) {
      scheduler.after(random.between(0, START_SPREAD_MS), agent.start.bind(agent, this.#seeds));
    }
    this.#recordListing();
  }

  /** Adds and starts an empty machine at a new address. */
  addSpare(): ControlNode {
    const node = this.#addControl();
    this.#recordListing();
    node.start(false, this.#seeds);
    return node;
  }

  /** Records that a machine has left. */
  remove(id: string): void {
    this.#left.add(id);
    this.#recordListing();
  }

  /** Records that a machine that had left is back at its old address with its old disk. */
  bringBack(id: string): void {
    this.#left.delete(id);
    this.#recordListing();
  }

  /** Changes the configured seeds, also those of running processes. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    for (const node of this.#controls.values()) node.setSeeds(seeds);
    for (const agent of this.#agents) agent.setSeeds(seeds);
  }

  /** The control nodes on the operators' list, which lags by `NODE_LIST_LAG_MS`. */
  listedNodes(): readonly string[] {
    const until = this.#settings.scheduler.now - NODE_LIST_LAG_MS;
    let nodes = this.#listings[0]?.nodes ?? [];
    for (const listing of this.#listings) if (listing.at <= until) nodes = listing.nodes;
    return nodes;
  }

  #recordListing(): void {
    const nodes = this.present.map(idOf);
    this.#listings.push({ at: this.#settings.scheduler.now, nodes });
  }

  #isPresent(node: ControlNode): boolean {
    return !this.#left.has(node.id);
  }

  #addControl(): ControlNode {
    const number = this.#controls.size + 1;
    const id = `control-${number}:7660`;
    const { scheduler, streams, observer, coreFactory } = this.#settings;
    const random = streams.of(id);
    const zone = ZONES[(number - 1) % ZONES.length] ?? ZONES[0];
    const runners = this.#runners;
    const settings = {
      scheduler,
      random,
      network: this.network,
      observer,
      runners,
      maxDrift: MAX_DRIFT,
      coreFactory,
    };
    const node = new ControlNode(id, zone, settings);
    this.#controls.set(id, node);
    this.network.addHost(node);
    return node;
  }

  #addAgent(index: number): void {
    const id = `agent-${index + 1}:7661`;
    const { scheduler, streams, agentStepped: stepped, coreFactory } = this.#settings;
    const random = streams.of(id);
    const zone = ZONES[index % ZONES.length] ?? ZONES[0];
    const settings = {
      scheduler,
      random,
      network: this.network,
      maxDrift: MAX_DRIFT,
      stepped,
      coreFactory,
    };
    const agent = new AgentNode(id, zone, settings);
    this.#agents.push(agent);
    this.network.addHost(agent);
  }

  #addRunner(index: number): void {
    const id = `runner-${index}:80`;
    const { scheduler, streams, options, orderArrived } = this.#settings;
    const process = new SimProcess(scheduler, streams.of(id), 0);
    this.network.addHost(
      new FakeRunner(id, process, options.isFenced, (): number => scheduler.now, orderArrived),
    );
    const listed = { id, address: id, zone: ZONES[0], service: 'service', slots: 1 };
    const state = { isLeaving: false, remainingMs: undefined, coldMs: 0, holds: [] };
    this.#runners.push({ ...listed, ...state });
  }
}

function idOf(item: { readonly id: string }): string {
  return item.id;
}

function epochOf(node: ControlNode | undefined): number {
  return node?.core?.elector.epoch ?? -1;
}

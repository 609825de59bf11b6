import { AgentCore, type AgentSettings } from '../../agent/agent-core.js';
import { later, type Moment } from '../../common/ids.js';
import { ControlCore } from '../../control/control-core.js';
import type {
  Fleet,
  FleetDemand,
  FleetRunner,
  FleetWait,
  ListedRunner,
} from '../../placement/fleet.js';
import { SeededRandom } from '../../rehearsal/seeded-random.js';
import { simulate, TROUBLE_FROM_MS } from '../control-simulation.js';
import { UNMODIFIED_CORES, type ControlInputs, type CoreFactory } from '../core-factory.js';
import type { Fault } from '../faults.js';
import { OPTION_DEFAULTS, type SimulationOptions } from '../options.js';
import { OrderStub } from '../order-stub.js';
import { drawSchedule } from '../schedule-draw.js';
import { modelName, ZONES } from './drawn-routing.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

/** Agents of one zone: enough that some of them get their updates through another agent. */
const AGENTS = 21;
const FAULT_PERIOD_MS = 12_000;
/** Faults of agents, in addition to those drawn for any run. */
const AGENT_FAULTS = 10;
const MAX_FAULT_MS = 4000;
const OPERATOR_INTERVAL_MS = 800;
/** The interval at which the published fleet changes. */
const FLEET_INTERVAL_MS = 700;
const FLEET_RUNNERS = 6;
const FLEET_MODELS = 4;
/** The interval at which every control node gets a status request. */
const STATUS_INTERVAL_MS = 2500;
/** After this many reads the platform's list contains another extra runner, which is draining after some more reads. */
const READS_PER_EXTRA_RUNNER = 12;
const READS_BEFORE_DRAINING = 5;
/** Prefix of the ids of extra runners, which are listed but unknown to the planner. */
const EXTRA_RUNNER_PREFIX = 'guest-';
/** The interval at which an agent's local proxy polls for updates; it disconnects every few polls. */
const PROXY_POLL_INTERVAL_MS = 600;
const POLLS_PER_DISCONNECT = 9;
const PROXY_ROLE = 'flow';
/** The id of a command without a caller. */
const NO_CALLER = 0;

/** A planner that repeatedly publishes a different fleet, so that changes of it reach all agents. */
class PublishingPlanner extends OrderStub {
  #fleet: Fleet = { flows: 1, runners: [], waits: [] };
  #changedAt: Moment | undefined;
  #changes = 0;

  override onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    super.onRunnerList(
      now,
      runners.filter(({ id }) => !id.startsWith(EXTRA_RUNNER_PREFIX)),
    );
  }

  override plan(now: Moment): readonly string[] {
    if (this.#changedAt === undefined || now >= later(this.#changedAt, FLEET_INTERVAL_MS)) {
      this.#changedAt = now;
      this.#changes += 1;
      this.#fleet = fleetAfter(this.#changes);
    }
    return super.plan(now);
  }

  override fleet(): Fleet {
    return this.#fleet;
  }
}

/** A control core that reads a list with draining runners and gets status requests. */
class ListingCore extends ControlCore {
  #reads = 0;
  #statusRequestedAt: Moment;

  constructor({ settings, stored, now, vote }: ControlInputs) {
    super(settings, stored, now, vote);
    this.#statusRequestedAt = now;
  }

  override onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    const [first] = runners;
    this.#reads += 1;
    const isLeaving = this.#reads % READS_PER_EXTRA_RUNNER > READS_BEFORE_DRAINING;
    const id = `${EXTRA_RUNNER_PREFIX}${Math.floor(this.#reads / READS_PER_EXTRA_RUNNER)}:80`;
    super.onRunnerList(
      now,
      first ? [...runners, { ...first, id, address: id, isLeaving }] : runners,
    );
  }

  override tick(now: Moment): void {
    super.tick(now);
    if (now < later(this.#statusRequestedAt, STATUS_INTERVAL_MS)) return;
    this.#statusRequestedAt = now;
    this.onCommand(now, NO_CALLER, 'status', '{}');
  }
}

/** An agent core with a local proxy that polls for updates, acknowledges them and reports demand. */
class ProxiedAgent extends AgentCore {
  readonly #proxy: string;
  #polls = 0;
  #polledAt: Moment;

  constructor(settings: AgentSettings, now: Moment) {
    super(settings, now);
    this.#proxy = `${PROXY_ROLE}@${settings.me}`;
    this.#polledAt = now;
  }

  override tick(now: Moment): void {
    super.tick(now);
    if (now < later(this.#polledAt, PROXY_POLL_INTERVAL_MS)) return;
    this.#polledAt = now;
    this.#polls += 1;
    if (this.#polls % POLLS_PER_DISCONNECT === 0) this.onDisconnect(now, this.#proxy);
    else this.#receiveFromProxy(now);
  }

  #receiveFromProxy(now: Moment): void {
    const polls = this.#polls;
    const version = { epoch: 1, count: polls };
    const have = polls % 2 === 0 ? [] : [{ topic: 'config', ...version }];
    this.onMessage(now, this.#proxy, PROXY_ROLE, {
      kind: 'freshnessRequest',
      nonce: polls,
      have,
      members: [],
    });
    if (polls % 2 === 0) this.onMessage(now, this.#proxy, PROXY_ROLE, { kind: 'ack', ...version });
    const body = JSON.stringify(demandOf(this.#proxy, polls));
    this.onMessage(now, this.#proxy, PROXY_ROLE, { kind: 'demand', body });
  }
}

function demandOf(proxy: string, polls: number): FleetDemand {
  const model = modelName(polls % FLEET_MODELS);
  const waiting = polls % 3 === 0 ? polls : 0;
  const unit = { service: 'service', model, adapter: '', count: polls, waiting, running: 1 };
  return { flow: proxy, units: [unit] };
}

/** Returns the fleet after this many changes; with each, runners are added or removed and hold or load other models. */
function fleetAfter(changes: number): Fleet {
  const runners: FleetRunner[] = [];
  for (let index = 0; index < FLEET_RUNNERS; index += 1) {
    if ((changes + index) % 5 !== 0) runners.push(runnerAfter(changes, index));
  }
  const wait = { model: modelName(changes % FLEET_MODELS), adapter: '', readyMs: changes * 10 };
  return { flows: 1 + Math.floor(changes / 8), runners, waits: changes % 3 === 0 ? [wait] : [] };
}

function runnerAfter(changes: number, index: number): FleetRunner {
  const id = `r${index}`;
  // Most runners remain unchanged from one change to the next.
  const phase = Math.floor((changes + index) / 3);
  const coming: FleetWait = {
    model: modelName((phase + 1) % FLEET_MODELS),
    adapter: '',
    readyMs: 600,
  };
  return {
    id,
    address: `${id}:80`,
    zone: ZONES[index % ZONES.length] ?? '',
    service: 'service',
    slots: 8,
    isLeaving: phase % 7 === 6,
    coldMs: phase % 4 === 0 ? 1000 : 0,
    holds: [{ model: modelName(phase % FLEET_MODELS), adapters: [] }],
    coming: phase % 2 === 0 ? [coming] : [],
  };
}

const BUILD: CoreFactory = {
  control: (inputs) => {
    const { deployed } = inputs.settings;
    if (!deployed) return UNMODIFIED_CORES.control(inputs);
    const settings = {
      ...inputs.settings,
      deployed: { ...deployed, planner: new PublishingPlanner() },
    };
    return new ListingCore({ ...inputs, settings });
  },
  agent: (settings, now) => new ProxiedAgent(settings, now),
};

function drawAgentFaults(random: SeededRandom): Fault[] {
  const faults: Fault[] = [];
  for (let count = 0; count < AGENT_FAULTS; count += 1) {
    const kind = random.pick(['agentKill', 'agentFreeze', 'agentCut'] as const) ?? 'agentKill';
    const at = TROUBLE_FROM_MS + random.below(FAULT_PERIOD_MS);
    const agent = random.below(AGENTS);
    faults.push({ kind, when: { kind: 'at', at }, forMs: random.below(MAX_FAULT_MS), agent });
  }
  return faults;
}

/**
 * Runs the deployed control plane for a seed and returns the digest of its trace. The run has many agents with local
 * proxies, a published fleet that changes, draining runners and status requests, none of which the shapes of `mixed`
 * have.
 */
export function runRelay(seed: number, log?: TraceLog): string {
  const nodes = seed % 4 === 0 ? 5 : 3;
  const fixed = { agents: AGENTS, troubleMs: FAULT_PERIOD_MS, paceMs: OPERATOR_INTERVAL_MS };
  const options: SimulationOptions = { ...OPTION_DEFAULTS, seed, nodes, ...fixed };
  const digest = new TraceDigest(log);
  const schedule = [...drawSchedule(options), ...drawAgentFaults(new SeededRandom(seed))];
  simulate(options, schedule, undefined, BUILD, digest);
  return digest.finish();
}

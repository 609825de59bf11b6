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
import { Seeded } from '../../rehearsal/seeded.js';
import { simulate, TROUBLE_FROM_MS } from '../control-simulation.js';
import { SOUND_BUILD, type ControlInputs, type CoreBuild } from '../core-build.js';
import type { Fault } from '../faults.js';
import { OPTION_DEFAULTS, type SimulationOptions } from '../options.js';
import { OrderStub } from '../order-stub.js';
import { drawSchedule } from '../schedule-draw.js';
import { modelName, ZONES } from './drawn-routing.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

/** So many agents of one zone that some of them get their updates by way of another one. */
const AGENTS = 21;
const TROUBLE_MS = 12_000;
/** Faults of agents, beside those that are drawn for any run. */
const AGENT_FAULTS = 10;
const MOST_FAULT_MS = 4000;
const PACE_MS = 800;
/** The fleet that is published changes this often. */
const FLEET_INTERVAL_MS = 700;
const FLEET_RUNNERS = 6;
const FLEET_MODELS = 4;
/** Every control node is asked for its status this often. */
const STATUS_INTERVAL_MS = 2500;
/** After this many reads of the platform's list another runner is on it, and leaves after some more. */
const READS_PER_GUEST = 12;
const READS_BEFORE_LEAVING = 5;
/** Begins the ids of runners that are listed, but that the planner does not know. */
const GUEST = 'guest-';
/** A proxy beside an agent asks for updates this often, and disconnects every few turns. */
const PROXY_INTERVAL_MS = 600;
const TURNS_TO_DISCONNECT = 9;
const PROXY_ROLE = 'flow';
/** The id of a command that nobody waits for. */
const NO_CALLER = 0;

/** A planner that publishes another fleet again and again, so that changes of it reach all agents. */
class PublishingPlanner extends OrderStub {
  #fleet: Fleet = { flows: 1, runners: [], waits: [] };
  #changedAt: Moment | undefined;
  #changes = 0;

  override onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    super.onRunnerList(
      now,
      runners.filter(({ id }) => !id.startsWith(GUEST)),
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

/** A control core that reads a list with leaving runners, and is asked for its status. */
class ListingCore extends ControlCore {
  #reads = 0;
  #askedAt: Moment;

  constructor({ settings, stored, now, vote }: ControlInputs) {
    super(settings, stored, now, vote);
    this.#askedAt = now;
  }

  override onRunnerList(now: Moment, runners: readonly ListedRunner[]): void {
    const [first] = runners;
    this.#reads += 1;
    const isLeaving = this.#reads % READS_PER_GUEST > READS_BEFORE_LEAVING;
    const id = `${GUEST}${Math.floor(this.#reads / READS_PER_GUEST)}:80`;
    super.onRunnerList(
      now,
      first ? [...runners, { ...first, id, address: id, isLeaving }] : runners,
    );
  }

  override tick(now: Moment): void {
    super.tick(now);
    if (now < later(this.#askedAt, STATUS_INTERVAL_MS)) return;
    this.#askedAt = now;
    this.onCommand(now, NO_CALLER, 'status', '{}');
  }
}

/** An agent core with a proxy beside it, which asks for updates, acknowledges them and reports demand. */
class ProxiedAgent extends AgentCore {
  readonly #proxy: string;
  #turns = 0;
  #turnedAt: Moment;

  constructor(settings: AgentSettings, now: Moment) {
    super(settings, now);
    this.#proxy = `${PROXY_ROLE}@${settings.me}`;
    this.#turnedAt = now;
  }

  override tick(now: Moment): void {
    super.tick(now);
    if (now < later(this.#turnedAt, PROXY_INTERVAL_MS)) return;
    this.#turnedAt = now;
    this.#turns += 1;
    if (this.#turns % TURNS_TO_DISCONNECT === 0) this.onDisconnect(now, this.#proxy);
    else this.#hearProxy(now);
  }

  #hearProxy(now: Moment): void {
    const turns = this.#turns;
    const version = { epoch: 1, count: turns };
    const have = turns % 2 === 0 ? [] : [{ topic: 'config', ...version }];
    this.onMessage(now, this.#proxy, PROXY_ROLE, {
      kind: 'freshnessRequest',
      nonce: turns,
      have,
      members: [],
    });
    if (turns % 2 === 0) this.onMessage(now, this.#proxy, PROXY_ROLE, { kind: 'ack', ...version });
    const body = JSON.stringify(demandOf(this.#proxy, turns));
    this.onMessage(now, this.#proxy, PROXY_ROLE, { kind: 'demand', body });
  }
}

function demandOf(proxy: string, turns: number): FleetDemand {
  const model = modelName(turns % FLEET_MODELS);
  const waiting = turns % 3 === 0 ? turns : 0;
  const unit = { service: 'service', model, adapter: '', count: turns, waiting, running: 1 };
  return { flow: proxy, units: [unit] };
}

/** The fleet after so many changes: with each, runners come or go, and what they hold and load differs. */
function fleetAfter(changes: number): Fleet {
  const runners: FleetRunner[] = [];
  for (let place = 0; place < FLEET_RUNNERS; place += 1) {
    if ((changes + place) % 5 !== 0) runners.push(runnerAfter(changes, place));
  }
  const wait = { model: modelName(changes % FLEET_MODELS), adapter: '', readyMs: changes * 10 };
  return { flows: 1 + Math.floor(changes / 8), runners, waits: changes % 3 === 0 ? [wait] : [] };
}

function runnerAfter(changes: number, place: number): FleetRunner {
  const id = `r${place}`;
  // Most runners stay as they are from one change to the next.
  const turn = Math.floor((changes + place) / 3);
  const coming: FleetWait = {
    model: modelName((turn + 1) % FLEET_MODELS),
    adapter: '',
    readyMs: 600,
  };
  return {
    id,
    address: `${id}:80`,
    zone: ZONES[place % ZONES.length] ?? '',
    service: 'service',
    slots: 8,
    isLeaving: turn % 7 === 6,
    coldMs: turn % 4 === 0 ? 1000 : 0,
    holds: [{ model: modelName(turn % FLEET_MODELS), adapters: [] }],
    coming: turn % 2 === 0 ? [coming] : [],
  };
}

const BUILD: CoreBuild = {
  control: (inputs) => {
    const { deployed } = inputs.settings;
    if (!deployed) return SOUND_BUILD.control(inputs);
    const settings = {
      ...inputs.settings,
      deployed: { ...deployed, planner: new PublishingPlanner() },
    };
    return new ListingCore({ ...inputs, settings });
  },
  agent: (settings, now) => new ProxiedAgent(settings, now),
};

function drawAgentFaults(random: Seeded): Fault[] {
  const faults: Fault[] = [];
  for (let count = 0; count < AGENT_FAULTS; count += 1) {
    const kind = random.pick(['agentKill', 'agentFreeze', 'agentCut'] as const) ?? 'agentKill';
    const at = TROUBLE_FROM_MS + random.below(TROUBLE_MS);
    const agent = random.below(AGENTS);
    faults.push({ kind, when: { kind: 'at', at }, forMs: random.below(MOST_FAULT_MS), agent });
  }
  return faults;
}

/**
 * Runs the deployed control plane for a seed with many agents, proxies beside them, a published fleet that changes,
 * runners that leave and reads of the status, none of which the shapes of `mixed` have.
 */
export function runRelay(seed: number, log?: TraceLog): string {
  const nodes = seed % 4 === 0 ? 5 : 3;
  const fixed = { agents: AGENTS, troubleMs: TROUBLE_MS, paceMs: PACE_MS };
  const options: SimulationOptions = { ...OPTION_DEFAULTS, seed, nodes, ...fixed };
  const digest = new TraceDigest(log);
  const schedule = [...drawSchedule(options), ...drawAgentFaults(new Seeded(seed))];
  simulate(options, schedule, undefined, BUILD, digest);
  return digest.finish();
}

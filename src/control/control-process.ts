import type { Logger } from 'pino';
import { monotonicNow } from '../common/clock.js';
import { reasonOf } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import { newIncarnation } from '../common/incarnation.js';
import type { Incoming } from '../dissemination/exchange.js';
import type { ListedRunner, RunnerStatus } from '../placement/fleet.js';
import { Planner, type PlannerSettings } from '../placement/planner.js';
import type { Intent } from '../placement/shapes.js';
import type { Exposition } from '../metrics/exposition.js';
import type { ConfigDialect } from '../route/routing.js';
import { VOTE_DEFAULTS } from '../election/vote-settings.js';
import type { Lease } from './lease.js';
import { ControlCore } from './control-core.js';
import { CONTROL_DEFAULTS, type OrderResult } from './control-effect.js';
import {
  ControlHost,
  type ControlProgram,
  type ExternalEffect,
  type HostedApi,
} from './control-host.js';
import {
  deliverWithZone,
  type CommandReply,
  type CoreCommand,
  type OrderEffect,
} from './control-runtime.js';

/** Interval between ticks of the core. */
export const CONTROL_TICK_MS = 50;
/** Interval at which the serving leader reads the list of runners. */
export const RUNNER_LIST_INTERVAL_MS = 1000;
/** Timing of elections in a deployment: shorter than the default, since edits and placement wait while there is no leader. */
export const DEPLOYED_VOTE_SETTINGS = {
  pingMs: 250,
  renewMs: 300,
  electionMs: 500,
  leaseMs: 1500,
  peerTimeoutMs: 1200,
} as const;
/** Idle timeout of an agent's session in a deployment. */
export const SESSION_TIMEOUT_MS = 3000;

/** Settings of a control node in a deployment. */
export interface ControlProcessSettings {
  /** Address for other nodes, `host:port`; the node's id as well. */
  readonly me: string;
  readonly zone: string;
  /** Addresses of the control nodes to start from. */
  readonly seeds: readonly string[];
  /** Whether blank nodes may form a new cluster. */
  readonly isFirstStart: boolean;
  /** Data folder. */
  readonly data: string;
  /** Address of the operators' API; undefined where this node offers none. */
  readonly control: string | undefined;
  /** Time between the leases of two leaders in which no node may send orders, in milliseconds. */
  readonly handoverGapMs: number;
  /** Overrides of the planner's default settings. */
  readonly planner: Partial<PlannerSettings>;
}

/** Submits an operator's command, a verb with its JSON body, to the core. */
export type ControlRequest = (verb: string, body: string) => Promise<CommandReply>;

/** Renders the metrics of this process; undefined while it has not started. */
export type ControlMetricsSource = () => Promise<Exposition | undefined>;

/** A deployment's adapters to the platform, the runners and the operators; they translate and make no decisions. */
export interface ControlPorts {
  /** Reads and writes configurations. */
  readonly dialect: ConfigDialect;
  /** Reads the platform's list of runners; undefined where no platform is configured. */
  readonly listRunners: (() => Promise<readonly ListedRunner[]>) | undefined;
  /** Polls the runner at an address; undefined if it returned no valid status. */
  runnerStatus(address: string): Promise<RunnerStatus | undefined>;
  /** Sends an order within the lease of `holder`, whose fencing token is `fence`. */
  sendOrder(
    intent: Intent,
    address: string,
    holder: string,
    fence: number,
    lease: Lease,
    now: () => Moment,
  ): Promise<OrderResult>;
  /** Makes the operators' API. */
  operatorsApi(request: ControlRequest, metrics: ControlMetricsSource): HostedApi;
}

/** A control node's process in a deployment, which reaches platform, runners and operators through the deployment's ports. */
export class ControlProcess implements ControlProgram {
  readonly tickMs = CONTROL_TICK_MS;
  readonly waitsForHandover = true;
  readonly #settings: ControlProcessSettings;
  readonly #ports: ControlPorts;
  readonly #host: ControlHost;
  readonly #operatorsApi: HostedApi;
  #isListPending = false;
  #seeds: readonly string[];

  constructor(settings: ControlProcessSettings, ports: ControlPorts, log: Logger) {
    this.#settings = settings;
    this.#ports = ports;
    this.#seeds = settings.seeds;
    const { me, zone, data } = settings;
    this.#host = new ControlHost({ address: me, zone, reach: {}, dataFolder: data }, this, log);
    this.#operatorsApi = ports.operatorsApi(
      (verb, body) => this.#host.runtime.request(verb, body),
      () => this.#host.metrics(),
    );
  }

  /** Starts from what is on disk; returns once messages and operators are served. */
  async start(): Promise<void> {
    const core = await this.#makeCore();
    await this.#host.start(core, this.#operatorsApi, this.#settings.control);
    this.#host.runtime.tick();
    this.#host.log({ event: 'control node started', replicaStatus: core.replicaStatus.name });
  }

  /** Lets a spare, if there is one, replace it as a voter, hands over the lease if no order is open, and stops. */
  async stop(): Promise<void> {
    await this.#host.stop(this.#operatorsApi);
  }

  /** Replaces the seed nodes after the settings file has changed. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    this.#host.runtime.submit((core: ControlCore) => {
      core.setSeeds(seeds);
    });
  }

  /** The nodes to keep a connection to. */
  peers(core: ControlCore): readonly string[] {
    return core.peers;
  }

  /** A message arrived. */
  onMessage(incoming: Incoming): CoreCommand {
    return (core) => deliverWithZone(incoming, core);
  }

  /** Makes a call to the platform or to a runner. */
  perform(effect: ExternalEffect, core: ControlCore): void {
    switch (effect.do) {
      case 'askList':
        void this.#pollRunnerList();
        break;
      case 'askStatus':
        void this.#pollRunnerStatus(effect.runner, effect.address);
        break;
      case 'order':
        void this.#sendOrder(effect, core);
        break;
      default:
        break;
    }
  }

  /** Logs an input that failed and drops it, since input from outside must not crash this process. */
  onCommandFailed(thrown: unknown): void {
    const stack = thrown instanceof Error ? (thrown.stack ?? thrown.message) : reasonOf(thrown);
    this.#host.log({ event: 'input failed', stack });
  }

  async #makeCore(): Promise<ControlCore> {
    const stored = await this.#host.readStored();
    const { me, zone, isFirstStart, handoverGapMs } = this.#settings;
    const deployed = {
      dialect: this.#ports.dialect,
      isFirstStart,
      listMs: RUNNER_LIST_INTERVAL_MS,
      planner: new Planner(this.#settings.planner),
    };
    const settings = {
      ...CONTROL_DEFAULTS,
      me,
      zone,
      seeds: this.#seeds,
      incarnation: newIncarnation(),
      silentMs: SESSION_TIMEOUT_MS,
      foundMs: 0,
      deployed,
    };
    const vote = { ...VOTE_DEFAULTS, ...DEPLOYED_VOTE_SETTINGS, handoverGapMs };
    return new ControlCore(settings, stored, monotonicNow(), vote);
  }

  /** Runs at most one poll at a time, so that a slow platform gets no concurrent requests. */
  async #pollRunnerList(): Promise<void> {
    const { listRunners } = this.#ports;
    if (!listRunners || this.#isListPending) return;
    this.#isListPending = true;
    try {
      const runners = await listRunners();
      this.#host.runtime.submit((core: ControlCore) => {
        core.onRunnerList(monotonicNow(), runners);
      });
    } catch (thrown) {
      this.#host.log({ event: 'runner list read failed', reason: reasonOf(thrown) });
    } finally {
      this.#isListPending = false;
    }
  }

  async #pollRunnerStatus(runner: string, address: string): Promise<void> {
    const requestedAt = monotonicNow();
    const status = await this.#ports.runnerStatus(address);
    this.#host.runtime.submit((core: ControlCore) => {
      core.onRunnerStatus(monotonicNow(), runner, requestedAt, status);
    });
  }

  async #sendOrder({ intent, address }: OrderEffect, core: ControlCore): Promise<void> {
    const { me } = this.#settings;
    const { epoch } = core.elector;
    const outcome = await this.#ports.sendOrder(intent, address, me, epoch, core, monotonicNow);
    this.#host.logOrder(intent, outcome);
    this.#host.runtime.submit((owner: ControlCore) => {
      owner.onOrderOutcome(monotonicNow(), intent.id, outcome);
    });
  }
}

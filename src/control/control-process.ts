import { join } from 'node:path';
import type { Logger } from 'pino';
import { FileStore } from '../state/file-store.js';
import { monotonicNow } from '../common/clock.js';
import { type HaretrackError, reasonOf } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import { newIncarnation } from '../common/incarnation.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import type { ListedRunner, RunnerStatus } from '../placement/fleet.js';
import { Planner, type PlannerSettings } from '../placement/planner.js';
import type { Intent } from '../placement/shapes.js';
import type { Exposition } from '../metrics/exposition.js';
import type { ConfigDialect } from '../route/routing.js';
import { VOTE_DEFAULTS } from '../election/vote-settings.js';
import type { Lease } from './lease.js';
import { ControlCore } from './control-core.js';
import { CONTROL_DEFAULTS, type OrderResult } from './control-effect.js';
import { ControlReport } from './control-report.js';
import {
  ControlRuntime,
  deliverWithZone,
  type CommandReply,
  type ControlRuntimePorts,
  type CoreCommand,
  type OrderEffect,
  type OutsideEffect,
  type StoreEffect,
} from './control-runtime.js';

export {
  DISK_RETRY_MS as DISK_AGAIN_MS,
  RETIRE_TIMEOUT_MS as RETIRE_MS,
} from './control-runtime.js';

export const CONTROL_TICK_MS = 50;
export const RUNNER_LIST_INTERVAL_MS = 1000;
export const DEPLOYED_VOTE = {
  pingMs: 250,
  renewMs: 300,
  electionMs: 500,
  spanMs: 1500,
  deadMs: 1200,
} as const;
/** How long a session may be silent in a deployment before it counts as lost. */
export const SESSION_TIMEOUT_MS = 3000;

export interface ControlProcessSettings {
  readonly me: string;
  readonly zone: string;
  readonly seeds: readonly string[];
  readonly isFirstStart: boolean;
  readonly data: string;
  /** Where operators call; nothing where this node does not serve them. */
  readonly control: string | undefined;
  readonly leaseMs: number;
  readonly planner: Partial<PlannerSettings>;
}

export type ControlAnswer = CommandReply;

/** Hands a verb of the core and its JSON body on to it. */
export type ControlRequest = (verb: string, body: string) => Promise<ControlAnswer>;

/** Renders the metrics of this process; nothing while it has not started. */
export type ControlMetricsSource = () => Promise<Exposition | undefined>;

/** What a deployment speaks to the outside; it translates and decides nothing. */
export interface ControlPorts {
  readonly dialect: ConfigDialect;
  /** The list of runners; nothing where there is none to be had. */
  readonly listRunners: (() => Promise<readonly ListedRunner[]>) | undefined;
  runnerStatus(address: string): Promise<RunnerStatus | undefined>;
  sendOrder(
    intent: Intent,
    address: string,
    holder: string,
    fence: number,
    lease: Lease,
    now: () => Moment,
  ): Promise<OrderResult>;
  operatorsApi(
    ask: ControlRequest,
    metrics: ControlMetricsSource,
  ): { listen(address: string): Promise<number>; close(): void };
}

/** A control node's process in a deployment with ports of its own. */
export class ControlProcess implements ControlRuntimePorts {
  readonly tickMs = CONTROL_TICK_MS;
  readonly waitsForHandover = true;
  readonly #settings: ControlProcessSettings;
  readonly #ports: ControlPorts;
  readonly #log: Logger;
  readonly #runtime: ControlRuntime;
  readonly #store: FileStore;
  readonly #operatorsApi: ReturnType<ControlPorts['operatorsApi']>;
  readonly #report = new ControlReport();
  #isListPending = false;
  #seeds: readonly string[];

  constructor(settings: ControlProcessSettings, ports: ControlPorts, log: Logger) {
    this.#settings = settings;
    this.#ports = ports;
    this.#log = log;
    this.#seeds = settings.seeds;
    const { me, zone } = settings;
    const exchange = new Exchange({ id: me, role: 'mind', zone, listen: me, reach: {} }, (error) =>
      this.#logError(error),
    );
    this.#runtime = new ControlRuntime(exchange, this);
    this.#store = new FileStore(join(settings.data, 'parts'), (error) => this.#logError(error));
    this.#operatorsApi = ports.operatorsApi(
      (verb, body) => this.#runtime.request(verb, body),
      () => this.#metrics(),
    );
  }

  async start(): Promise<void> {
    const stored = await this.#store.readAll();
    const { me, zone, isFirstStart, leaseMs, control } = this.#settings;
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
    // The span in which nobody orders is the deployment's. The others are short, since everything waits for a lost leader.
    const vote = { ...VOTE_DEFAULTS, ...DEPLOYED_VOTE, leaseMs };
    const core = new ControlCore(settings, stored, monotonicNow(), vote);
    await this.#runtime.open(core);
    if (control !== undefined) await this.#operatorsApi.listen(control);
    this.#runtime.startTicks();
    this.#runtime.tick();
    this.#log.info({ standing: core.replicaStatus.name }, 'control node started');
  }

  /** Hands its seat over where a spare is there, then what it leads, if no order is open, and stops. */
  async stop(): Promise<void> {
    await this.#runtime.retire();
    this.#operatorsApi.close();
    this.#runtime.close();
  }

  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    this.#runtime.submit((core: ControlCore) => {
      core.setSeeds(seeds);
    });
  }

  peers(core: ControlCore): readonly string[] {
    return core.peers;
  }

  onMessage(incoming: Incoming): CoreCommand {
    return (core) => deliverWithZone(incoming, core);
  }

  write({ partition, version, body }: StoreEffect): Promise<void> {
    return this.#report.measure(this.#store.write(partition, version, body));
  }

  perform(effect: OutsideEffect, core: ControlCore): void {
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
      case 'note':
        this.#log.info(effect.fields, effect.text);
        break;
      default:
        break;
    }
  }

  /** What somebody else said must not end this process. */
  onCommandFailed(thrown: unknown): void {
    this.#log.error(
      { defect: 'core' },
      thrown instanceof Error ? (thrown.stack ?? thrown.message) : reasonOf(thrown),
    );
  }

  #logError(error: HaretrackError): void {
    this.#log.warn({ defect: error.code }, error.message);
  }

  async #pollRunnerList(): Promise<void> {
    const { listRunners: list } = this.#ports;
    if (!list || this.#isListPending) return;
    this.#isListPending = true;
    try {
      const runners = await list();
      this.#runtime.submit((core: ControlCore) => {
        core.onRunnerList(monotonicNow(), runners);
      });
    } catch (thrown) {
      this.#log.info({ reason: reasonOf(thrown) }, 'no list of runners');
    } finally {
      this.#isListPending = false;
    }
  }

  async #pollRunnerStatus(runner: string, address: string): Promise<void> {
    const askedAt = monotonicNow();
    const status = await this.#ports.runnerStatus(address);
    this.#runtime.submit((core: ControlCore) => {
      core.onRunnerStatus(monotonicNow(), runner, askedAt, status);
    });
  }

  async #sendOrder(effect: OrderEffect, core: ControlCore): Promise<void> {
    const { intent, address } = effect;
    const outcome = await this.#ports.sendOrder(
      intent,
      address,
      this.#settings.me,
      core.elector.epoch,
      core,
      monotonicNow,
    );
    this.#log.info(
      {
        verb: intent.verb,
        model: intent.model,
        adapter: intent.adapter,
        runner: intent.runner,
        outcome,
      },
      'order',
    );
    this.#runtime.submit((owner: ControlCore) => {
      owner.onOrderOutcome(monotonicNow(), intent.id, outcome);
    });
  }

  #metrics(): Promise<Exposition | undefined> {
    return this.#report.render(this.#runtime.core);
  }
}

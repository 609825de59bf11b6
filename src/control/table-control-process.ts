import type { Infer } from 'superstruct';
import type { Logger } from 'pino';
import { call } from '../common/call.js';
import { monotonicNow } from '../common/clock.js';
import { Counters } from '../common/counters.js';
import { type HaretrackError, MalformedFrameError, reasonOf } from '../common/errors.js';
import { parseAs } from '../common/json.js';
import { newIncarnation } from '../common/incarnation.js';
import type { TableControlSettingsShape } from '../common/settings.js';
import type { Incoming } from '../dissemination/exchange.js';
import {
  CatalogShape,
  MachinesShape,
  RunnerReportShape,
  type RunnerReport,
} from '../placement/shapes.js';
import { ControlCore } from './control-core.js';
import { CONTROL_DEFAULTS } from './control-effect.js';
import { ControlHost, type ControlProgram, type ExternalEffect } from './control-host.js';
import type { CommandReply, CoreCommand, OrderEffect } from './control-runtime.js';
import { OperatorApi } from './operator-api.js';
import { OrderSender } from './order-sender.js';

/** Interval between ticks of the core. */
const TICK_MS = 25;
/** Timeout of a call to the platform, the weight store or a runner. */
const HTTP_TIMEOUT_MS = 800;

type TableControlSettings = Infer<typeof TableControlSettingsShape>;

/** A control node's process that places by the policy table; it polls the platform, the weight store and the runners. */
export class TableControlProcess implements ControlProgram {
  readonly tickMs = TICK_MS;
  readonly waitsForHandover = false;
  readonly #settings: TableControlSettings;
  readonly #counters = new Counters();
  readonly #host: ControlHost;
  readonly #api: OperatorApi;
  #orderSender: OrderSender | undefined;
  #isPlatformReachable = true;

  constructor(settings: TableControlSettings, log: Logger) {
    this.#settings = settings;
    const { listen, zone, reach, data } = settings;
    this.#host = new ControlHost({ address: listen, zone, reach, dataFolder: data }, this, log);
    this.#api = new OperatorApi(
      (verb, body) => this.#request(verb, body),
      () => this.#currentCounters(),
      () => this.#host.metrics(),
    );
  }

  /** Starts from what is on disk; returns once messages and operators are served. */
  async start(): Promise<void> {
    const stored = await this.#host.readStored();
    const { listen: me, zone, seeds, blindMs, api } = this.#settings;
    const core = new ControlCore(
      { ...CONTROL_DEFAULTS, me, zone, seeds, blindMs, incarnation: newIncarnation() },
      stored,
      monotonicNow(),
    );
    this.#orderSender = new OrderSender(core, monotonicNow);
    await this.#host.start(core, this.#api, api);
    this.#host.log({ event: 'control node started', replicaStatus: core.replicaStatus.name });
  }

  /** Hands over the lease, if no order is open, and stops. */
  async stop(): Promise<void> {
    await this.#host.stop(this.#api);
  }

  /** The nodes to keep a connection to. */
  peers(core: ControlCore): readonly string[] {
    return core.voters.filter((voter) => voter !== this.#settings.listen);
  }

  /** A message arrived. */
  onMessage(incoming: Incoming): CoreCommand {
    this.#counters.add(`messages.${incoming.message.kind}`);
    return (core) => this.#deliver(incoming, core);
  }

  /** A write was synced to disk. */
  onWritten(): void {
    this.#counters.add('disk.writes');
  }

  /** A connection, a message or a write failed. */
  onError(error: HaretrackError): void {
    this.#counters.add(`defects.${error.code}`);
  }

  /** An input other than a message failed, which is a bug: rethrows the error, which ends the process. */
  onCommandFailed(thrown: unknown): void {
    throw thrown;
  }

  /** Makes a call to the platform, the weight store or a runner. */
  perform(effect: ExternalEffect, core: ControlCore): void {
    switch (effect.do) {
      case 'askMachines':
        void this.#pollMachineList();
        break;
      case 'askCatalog':
        void this.#pollCatalog();
        break;
      case 'askReport':
        void this.#pollReport(effect.runner, effect.address);
        break;
      case 'order':
        void this.#sendOrder(effect, core.elector.epoch);
        break;
      default:
        break;
    }
  }

  #deliver({ from, message }: Incoming, core: ControlCore): void {
    // A message from a node of another build must not crash this process.
    try {
      core.onMessage(monotonicNow(), from, message);
    } catch (thrown) {
      const reason = `${message.kind} from ${from}: ${reasonOf(thrown)}`;
      this.#host.reportError(new MalformedFrameError(reason));
    }
  }

  #currentCounters(): object {
    const { core } = this.#host.runtime;
    if (core) {
      this.#counters.set('epoch', core.elector.epoch);
      this.#counters.set('news.sent', core.relay.sentCount);
      this.#counters.set('parts.mended', core.state.repairCount);
      this.#counters.set('placement.writes', core.placementWrites);
    }
    return this.#counters.all();
  }

  async #pollMachineList(): Promise<void> {
    try {
      const body = await get(this.#settings.platform, '/machines');
      const machines = parseAs(MachinesShape, body);
      if (!machines) throw new Error('its list of machines is malformed');
      this.#host.runtime.submit((core: ControlCore) => {
        core.onMachines(monotonicNow(), machines);
      });
      this.#onPlatformReached();
    } catch (thrown) {
      this.#counters.add('platform.unreached');
      this.#onPlatformUnreached(reasonOf(thrown));
    }
  }

  #onPlatformReached(): void {
    if (this.#isPlatformReachable) return;
    this.#isPlatformReachable = true;
    this.#host.log({ event: 'platform became reachable' });
  }

  #onPlatformUnreached(reason: string): void {
    if (!this.#isPlatformReachable) return;
    this.#isPlatformReachable = false;
    this.#host.log({ event: 'platform became unreachable', reason });
  }

  async #pollCatalog(): Promise<void> {
    try {
      const catalog = parseAs(CatalogShape, await get(this.#settings.store, '/catalog'));
      if (!catalog) throw new Error('its catalog is malformed');
      this.#host.runtime.submit((core: ControlCore) => {
        core.onCatalog(monotonicNow(), catalog);
      });
    } catch {
      this.#counters.add('store.unreached');
    }
  }

  async #pollReport(runner: string, address: string): Promise<void> {
    const requestedAt = monotonicNow();
    let report: RunnerReport | undefined;
    try {
      report = parseAs(RunnerReportShape, await get(address, '/report'));
    } catch {
      this.#counters.add('reports.unreached');
    }
    // A report with another id is from a different runner, which now has this address.
    const ownReport = report?.id === runner ? report : undefined;
    this.#host.runtime.submit((core: ControlCore) => {
      core.onRunnerReport(monotonicNow(), runner, requestedAt, ownReport);
    });
  }

  async #sendOrder({ intent, address }: OrderEffect, epoch: number): Promise<void> {
    const holder = this.#settings.listen;
    const outcome = (await this.#orderSender?.send(intent, address, holder, epoch)) ?? 'unsent';
    this.#counters.add(`orders.${outcome}`);
    this.#host.logOrder(intent, outcome);
    this.#host.runtime.submit((core: ControlCore) => {
      core.onOrderOutcome(monotonicNow(), intent.id, outcome);
    });
  }

  #request(verb: string, body: string): Promise<CommandReply> {
    this.#counters.add(`commands.${verb}`);
    return this.#host.runtime.request(verb, body);
  }
}

/** Sends a GET request and returns the body of the response. */
async function get(address: string, path: string): Promise<string> {
  const { body } = await call('GET', address, path, undefined, HTTP_TIMEOUT_MS);
  return body;
}

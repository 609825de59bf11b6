import { join } from 'node:path';
import type { Infer } from 'superstruct';
import type { Logger } from 'pino';
import { FileStore } from '../state/file-store.js';
import { call } from '../common/call.js';
import { monotonicNow } from '../common/clock.js';
import { Counters } from '../common/counters.js';
import { type HaretrackError, MalformedFrameError, reasonOf } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import { newIncarnation } from '../common/incarnation.js';
import type { TableControlSettingsShape } from '../common/settings.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import type { Exposition } from '../metrics/exposition.js';
import { CatalogShape, MachinesShape, RunnerReportShape } from '../placement/shapes.js';
import { OperatorApi } from './operator-api.js';
import { ControlCore } from './control-core.js';
import { CONTROL_DEFAULTS } from './control-effect.js';
import { ControlReport } from './control-report.js';
import {
  ControlRuntime,
  type CommandReply,
  type ControlRuntimePorts,
  type CoreCommand,
  type OrderEffect,
  type OutsideEffect,
  type StoreEffect,
} from './control-runtime.js';
import { OrderSender } from './order-sender.js';

const TICK_MS = 25;
const HTTP_TIMEOUT_MS = 800;

/** A control node's process: carries out what its core wants, and tells the core what came of it. */
export class TableControlProcess implements ControlRuntimePorts {
  readonly tickMs = TICK_MS;
  readonly waitsForHandover = false;
  readonly #settings: Infer<typeof TableControlSettingsShape>;
  readonly #log: Logger;
  readonly #counters = new Counters();
  readonly #runtime: ControlRuntime;
  readonly #store: FileStore;
  readonly #api: OperatorApi;
  readonly #report = new ControlReport();
  #orderSender: OrderSender | undefined;
  #isPlatformReachable = true;

  constructor(settings: Infer<typeof TableControlSettingsShape>, log: Logger) {
    this.#settings = settings;
    this.#log = log;
    const exchange = new Exchange(
      {
        id: settings.listen,
        role: 'mind',
        zone: settings.zone,
        listen: settings.listen,
        reach: settings.reach,
      },
      (error) => this.#logError(error),
    );
    this.#runtime = new ControlRuntime(exchange, this);
    this.#store = new FileStore(join(settings.data, 'parts'), (error) => this.#logError(error));
    this.#api = new OperatorApi(
      (verb, body) => this.#request(verb, body),
      () => this.#counted(),
      () => this.#metrics(),
    );
  }

  async start(): Promise<void> {
    const stored = await this.#store.readAll();
    const { listen: me, zone, seeds, blindMs } = this.#settings;
    const core = new ControlCore(
      { ...CONTROL_DEFAULTS, me, zone, seeds, blindMs, incarnation: newIncarnation() },
      stored,
      monotonicNow(),
    );
    this.#orderSender = new OrderSender(core, monotonicNow);
    await this.#runtime.open(core);
    await this.#api.listen(this.#settings.api);
    this.#runtime.startTicks();
    this.#log.info({ standing: core.replicaStatus.name }, 'control node started');
  }

  /** Hands over what it leads, if no order is open, and stops. */
  async stop(): Promise<void> {
    await this.#runtime.retire();
    this.#api.close();
    this.#runtime.close();
  }

  peers(core: ControlCore): readonly string[] {
    return core.voters.filter((voter) => this.#isOther(voter));
  }

  onMessage(incoming: Incoming): CoreCommand {
    this.#counters.add(`messages.${incoming.message.kind}`);
    return (core) => this.#receive(incoming, core);
  }

  async write({ partition, version, body }: StoreEffect): Promise<void> {
    await this.#report.measure(this.#store.write(partition, version, body));
    this.#counters.add('disk.writes');
  }

  perform(effect: OutsideEffect, core: ControlCore): void {
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
      case 'note':
        this.#log.info(effect.fields, effect.text);
        break;
      default:
        break;
    }
  }

  onCommandFailed(thrown: unknown): void {
    throw thrown;
  }

  #isOther(voter: string): boolean {
    return voter !== this.#settings.listen;
  }

  #receive(incoming: Incoming, core: ControlCore): void {
    // What a node of another build may say must not end this one.
    try {
      core.onMessage(monotonicNow(), incoming.from, incoming.message);
    } catch (thrown) {
      this.#logError(
        new MalformedFrameError(
          `${incoming.message.kind} from ${incoming.from}: ${reasonOf(thrown)}`,
        ),
      );
    }
  }

  #logError(error: HaretrackError): void {
    this.#counters.add(`defects.${error.code}`);
    this.#log.warn({ defect: error.code }, error.message);
  }

  #metrics(): Promise<Exposition | undefined> {
    return this.#report.render(this.#runtime.core);
  }

  #counted(): object {
    const { core } = this.#runtime;
    if (core) {
      this.#counters.set('epoch', core.elector.epoch);
      this.#counters.set('news.sent', core.relay.sentCount);
      this.#counters.set('parts.mended', core.state.mends);
      this.#counters.set('placement.writes', core.placementWrites);
    }
    return this.#counters.all();
  }

  async #pollMachineList(): Promise<void> {
    try {
      const returned = await call(
        'GET',
        this.#settings.platform,
        '/machines',
        undefined,
        HTTP_TIMEOUT_MS,
      );
      const machines = parseAs(MachinesShape, returned.body);
      if (!machines) throw new Error('its list of machines is not what it should be');
      this.#runtime.submit((core: ControlCore) => {
        if (machines) core.onMachines(monotonicNow(), machines);
      });
      this.#onPlatformReachable(true, '');
    } catch (thrown) {
      this.#counters.add('platform.unreached');
      this.#onPlatformReachable(false, reasonOf(thrown));
    }
  }

  #onPlatformReachable(isUp: boolean, reason: string): void {
    if (isUp === this.#isPlatformReachable) return;
    this.#isPlatformReachable = isUp;
    this.#log.info({ up: isUp, reason }, 'platform');
  }

  async #pollCatalog(): Promise<void> {
    try {
      const returned = await call(
        'GET',
        this.#settings.store,
        '/catalog',
        undefined,
        HTTP_TIMEOUT_MS,
      );
      const catalog = parseAs(CatalogShape, returned.body);
      if (!catalog) throw new Error('its catalogue is not what it should be');
      this.#runtime.submit((core: ControlCore) => {
        if (catalog) core.onCatalog(monotonicNow(), catalog);
      });
    } catch {
      this.#counters.add('store.unreached');
    }
  }

  async #pollReport(runner: string, address: string): Promise<void> {
    const askedAt: Moment = monotonicNow();
    let report: ReturnType<typeof parseAs<Infer<typeof RunnerReportShape>>>;
    try {
      report = parseAs(
        RunnerReportShape,
        (await call('GET', address, '/report', undefined, HTTP_TIMEOUT_MS)).body,
      );
    } catch {
      this.#counters.add('reports.unreached');
    }
    // A report under another name is some other runner's, at an address that changed hands.
    const own = report?.id === runner ? report : undefined;
    this.#runtime.submit((core: ControlCore) => {
      core.onRunnerReport(monotonicNow(), runner, askedAt, own);
    });
  }

  async #sendOrder(effect: OrderEffect, epoch: number): Promise<void> {
    const outcome =
      (await this.#orderSender?.send(
        effect.intent,
        effect.address,
        this.#settings.listen,
        epoch,
      )) ?? 'unsent';
    this.#counters.add(`orders.${outcome}`);
    this.#log.info(
      {
        order: effect.intent.id,
        verb: effect.intent.verb,
        model: effect.intent.model,
        adapter: effect.intent.adapter,
        runner: effect.intent.runner,
        outcome,
      },
      'order',
    );
    this.#runtime.submit((core: ControlCore) => {
      core.onOrderOutcome(monotonicNow(), effect.intent.id, outcome);
    });
  }

  #request(verb: string, body: string): Promise<CommandReply> {
    this.#counters.add(`commands.${verb}`);
    return this.#runtime.request(verb, body);
  }
}

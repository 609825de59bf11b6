import { join } from 'node:path';
import { interval, Subscription } from 'rxjs';
import type { Infer } from 'superstruct';
import type { Logger } from 'pino';
import { FileStore } from '../state/FileStore.js';
import { call } from '../common/Call.js';
import { monotonicNow } from '../common/Clock.js';
import { Counters } from '../common/Counters.js';
import { CodedError, reasonOf } from '../common/CodedError.js';
import type { Moment } from '../common/Ids.js';
import { parseAs } from '../common/Json.js';
import { newIncarnation } from '../common/Incarnation.js';
import { SerialQueue } from '../common/SerialQueue.js';
import type { TableControlSettingsShape } from '../common/Settings.js';
import { Exchange, type Incoming } from '../dissemination/Exchange.js';
import type { Exposition } from '../metrics/Exposition.js';
import { CatalogShape, MachinesShape, RunnerReportShape } from '../placement/Shapes.js';
import { Api, type ApiReply } from './Api.js';
import { ControlCore } from './ControlCore.js';
import { CONTROL_DEFAULTS, type ControlEffect } from './ControlEffect.js';
import { ControlReport } from './ControlReport.js';
import { Orderer } from './Orderer.js';

const TICK_MS = 25;
const OUTSIDE_MS = 800;
const DISK_AGAIN_MS = 500;
/** How long a planned stop waits for orders whose outcome is open. */
const RETIRE_MS = 1000;

function afterTick(done: () => void): void {
  setTimeout(done, TICK_MS);
}

/** A control node's process: carries out what its core wants, and tells the core what came of it. */
export class TableControlProcess {
  readonly #settings: Infer<typeof TableControlSettingsShape>;
  readonly #log: Logger;
  readonly #counters = new Counters();
  readonly #owner = new SerialQueue();
  readonly #exchange: Exchange;
  readonly #store: FileStore;
  readonly #api: Api;
  readonly #subscription = new Subscription();
  readonly #replies = new Map<number, (returned: ApiReply) => void>();
  readonly #report = new ControlReport();
  #core: ControlCore | undefined;
  #orderer: Orderer | undefined;
  #commandId = 0;
  #wasPlatformUp = true;

  constructor(settings: Infer<typeof TableControlSettingsShape>, log: Logger) {
    this.#settings = settings;
    this.#log = log;
    this.#exchange = new Exchange(
      {
        id: settings.listen,
        role: 'mind',
        zone: settings.zone,
        listen: settings.listen,
        reach: settings.reach,
      },
      this.#tell.bind(this),
    );
    this.#store = new FileStore(join(settings.data, 'parts'), this.#tell.bind(this));
    this.#api = new Api(this.#ask.bind(this), this.#counted.bind(this), this.#metrics.bind(this));
  }

  async start(): Promise<void> {
    const stored = await this.#store.readAll();
    const { listen: me, zone, seeds, blindMs } = this.#settings;
    const core = new ControlCore(
      { ...CONTROL_DEFAULTS, me, zone, seeds, blindMs, incarnation: newIncarnation() },
      stored,
      monotonicNow(),
    );
    this.#core = core;
    this.#orderer = new Orderer(core, monotonicNow);
    this.#subscription.add(this.#exchange.incoming$.subscribe(this.#receive.bind(this)));
    this.#subscription.add(this.#exchange.gone$.subscribe(this.#gone.bind(this)));
    await this.#exchange.open();
    await this.#api.listen(this.#settings.api);
    this.#subscription.add(
      interval(TICK_MS).subscribe(this.#submit.bind(this, this.#tick.bind(this))),
    );
    this.#log.info({ standing: core.standing.name }, 'control node started');
  }

  /** Hands over what it leads, if no order is open, and stops. */
  async stop(): Promise<void> {
    const end = monotonicNow() + RETIRE_MS;
    for (let isRetired = false; !isRetired && monotonicNow() < end;) {
      function retire(core: ControlCore): void {
        isRetired = core.retire(monotonicNow());
      }
      this.#submit(retire);
      if (!isRetired) await new Promise<void>(afterTick);
    }
    // What was said last must leave the process before its lines close.
    await new Promise<void>(afterTick);
    this.#subscription.unsubscribe();
    this.#api.close();
    this.#exchange.close();
  }

  #tell(defect: CodedError): void {
    this.#counters.add(`defects.${defect.kind}`);
    this.#log.warn({ defect: defect.kind }, defect.message);
  }

  #metrics(): Promise<Exposition | undefined> {
    return this.#report.render(this.#core);
  }

  #counted(): object {
    const core = this.#core;
    if (core) {
      this.#counters.set('epoch', core.elector.epoch);
      this.#counters.set('news.sent', core.relay.sent);
      this.#counters.set('parts.mended', core.parts.mends);
      this.#counters.set('placement.writes', core.placementWrites);
    }
    return this.#counters.all();
  }

  /** Every input is a command of the core's one owner; its effects are carried out before the next. */
  #submit(command: (core: ControlCore) => void): void {
    const core = this.#core;
    if (!core) return;
    this.#owner.submit(this.#work.bind(this, core, command));
  }

  #work(core: ControlCore, command: (core: ControlCore) => void): void {
    command(core);
    for (const effect of core.drain()) this.#carryOut(core, effect);
  }

  #tick(core: ControlCore): void {
    for (const voter of core.voters)
      if (voter !== this.#settings.listen) this.#exchange.dial(voter);
    core.tick(monotonicNow());
  }

  #receive(incoming: Incoming): void {
    this.#counters.add(`messages.${incoming.message.kind}`);
    const tell = this.#tell.bind(this);
    function receive(core: ControlCore): void {
      // What a node of another build may say must not end this one.
      try {
        core.receive(monotonicNow(), incoming.from, incoming.message);
      } catch (thrown) {
        tell(
          new CodedError(
            'bad-frame',
            `${incoming.message.kind} from ${incoming.from}: ${reasonOf(thrown)}`,
          ),
        );
      }
    }
    this.#submit(receive);
  }

  #gone(id: string): void {
    function gone(core: ControlCore): void {
      core.gone(monotonicNow(), id);
    }
    this.#submit(gone);
  }

  #carryOut(core: ControlCore, effect: ControlEffect): void {
    switch (effect.do) {
      case 'send':
        this.#exchange.send(effect.to, effect.message);
        break;
      case 'store':
        void this.#keep(effect);
        break;
      case 'askMachines':
        void this.#askMachines();
        break;
      case 'askCatalog':
        void this.#askCatalog();
        break;
      case 'askReport':
        void this.#askReport(effect.runner, effect.address);
        break;
      case 'order':
        void this.#order(effect, core.elector.epoch);
        break;
      case 'reply':
        this.#replies.get(effect.id)?.({ status: effect.status, body: effect.body });
        this.#replies.delete(effect.id);
        break;
      case 'note':
        this.#log.info(effect.fields, effect.text);
        break;
    }
  }

  async #keep(effect: Extract<ControlEffect, { do: 'store' }>): Promise<void> {
    const { part, version, body } = effect;
    try {
      await this.#report.measure(this.#store.write(part, version, body));
    } catch {
      // Named by the store. It is tried again for as long as we run: until then nobody hears a yes from us.
      setTimeout(this.#keep.bind(this, effect), DISK_AGAIN_MS).unref();
      return;
    }
    this.#counters.add('disk.writes');
    function stored(core: ControlCore): void {
      core.stored(monotonicNow(), part, version);
    }
    this.#submit(stored);
  }

  async #askMachines(): Promise<void> {
    try {
      const returned = await call(
        'GET',
        this.#settings.platform,
        '/machines',
        undefined,
        OUTSIDE_MS,
      );
      const machines = parseAs(MachinesShape, returned.body);
      if (!machines) throw new Error('its list of machines is not what it should be');
      function take(core: ControlCore): void {
        if (machines) core.machines(monotonicNow(), machines);
      }
      this.#submit(take);
      this.#platformUp(true, '');
    } catch (thrown) {
      this.#counters.add('platform.unreached');
      this.#platformUp(false, reasonOf(thrown));
    }
  }

  #platformUp(isUp: boolean, reason: string): void {
    if (isUp === this.#wasPlatformUp) return;
    this.#wasPlatformUp = isUp;
    this.#log.info({ up: isUp, reason }, 'platform');
  }

  async #askCatalog(): Promise<void> {
    try {
      const returned = await call('GET', this.#settings.store, '/catalog', undefined, OUTSIDE_MS);
      const catalog = parseAs(CatalogShape, returned.body);
      if (!catalog) throw new Error('its catalogue is not what it should be');
      function take(core: ControlCore): void {
        if (catalog) core.catalog(monotonicNow(), catalog);
      }
      this.#submit(take);
    } catch {
      this.#counters.add('store.unreached');
    }
  }

  async #askReport(runner: string, address: string): Promise<void> {
    const askedAt: Moment = monotonicNow();
    let report: ReturnType<typeof parseAs<Infer<typeof RunnerReportShape>>>;
    try {
      report = parseAs(
        RunnerReportShape,
        (await call('GET', address, '/report', undefined, OUTSIDE_MS)).body,
      );
    } catch {
      this.#counters.add('reports.unreached');
    }
    // A report under another name is some other runner's, at an address that changed hands.
    const own = report?.id === runner ? report : undefined;
    function take(core: ControlCore): void {
      core.reported(monotonicNow(), runner, askedAt, own);
    }
    this.#submit(take);
  }

  async #order(effect: Extract<ControlEffect, { do: 'order' }>, epoch: number): Promise<void> {
    const outcome =
      (await this.#orderer?.send(effect.intent, effect.address, this.#settings.listen, epoch)) ??
      'unsent';
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
    function ordered(core: ControlCore): void {
      core.ordered(monotonicNow(), effect.intent.id, outcome);
    }
    this.#submit(ordered);
  }

  #ask(verb: string, body: string): Promise<ApiReply> {
    this.#commandId += 1;
    const id = this.#commandId;
    this.#counters.add(`commands.${verb}`);
    const replies = this.#replies;
    function announce(done: (returned: ApiReply) => void): void {
      replies.set(id, done);
    }
    const returned = new Promise<ApiReply>(announce);
    function command(core: ControlCore): void {
      core.command(monotonicNow(), id, verb, body);
    }
    this.#submit(command);
    return returned;
  }
}

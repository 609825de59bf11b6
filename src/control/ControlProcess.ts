import { join } from 'node:path';
import { interval, Subscription } from 'rxjs';
import type { Logger } from 'pino';
import { FileStore } from '../state/FileStore.js';
import { monotonicNow } from '../common/Clock.js';
import { CodedError, reasonOf } from '../common/CodedError.js';
import type { Moment } from '../common/Ids.js';
import { newIncarnation } from '../common/Incarnation.js';
import { SerialQueue } from '../common/SerialQueue.js';
import { Exchange, type Incoming } from '../dissemination/Exchange.js';
import type { ListedRunner, RunnerStatus } from '../placement/Fleet.js';
import { Planner, type PlannerSettings } from '../placement/Planner.js';
import type { Intent } from '../placement/Shapes.js';
import type { Exposition } from '../metrics/Exposition.js';
import type { ConfigDialect } from '../route/Routing.js';
import { VOTE_DEFAULTS } from '../election/VoteSettings.js';
import type { Lease } from './LeasedSend.js';
import { ControlCore } from './ControlCore.js';
import { CONTROL_DEFAULTS, type ControlEffect, type OrderResult } from './ControlEffect.js';
import { ControlReport } from './ControlReport.js';

const TICK_MS = 50;
const LIST_MS = 1000;
const DISK_AGAIN_MS = 500;
const VOTE = { pingMs: 250, renewMs: 300, electionMs: 500, spanMs: 1500, deadMs: 1200 } as const;
/** How long a planned stop waits for orders whose outcome is open. */
const RETIRE_MS = 1000;

function afterTick(done: () => void): void {
  setTimeout(done, TICK_MS);
}

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

export interface ControlAnswer {
  readonly status: number;
  readonly body: string;
}

/** Hands a verb of the core and its JSON body on to it. */
export type ControlAsk = (verb: string, body: string) => Promise<ControlAnswer>;

/** Renders the metrics of this process; nothing while it has not started. */
export type ControlMetricsSource = () => Promise<Exposition | undefined>;

/** What a deployment speaks to the outside; it translates and decides nothing. */
export interface ControlPorts {
  readonly dialect: ConfigDialect;
  /** The list of runners; nothing where there is none to be had. */
  readonly list: (() => Promise<readonly ListedRunner[]>) | undefined;
  status(address: string): Promise<RunnerStatus | undefined>;
  order(
    intent: Intent,
    address: string,
    holder: string,
    fence: number,
    lease: Lease,
    now: () => Moment,
  ): Promise<OrderResult>;
  operators(
    ask: ControlAsk,
    metrics: ControlMetricsSource,
  ): { listen(address: string): Promise<number>; close(): void };
}

/** A control node's process in a deployment with ports of its own. */
export class ControlProcess {
  readonly #settings: ControlProcessSettings;
  readonly #ports: ControlPorts;
  readonly #log: Logger;
  readonly #owner = new SerialQueue();
  readonly #exchange: Exchange;
  readonly #store: FileStore;
  readonly #operators: ReturnType<ControlPorts['operators']>;
  readonly #subscription = new Subscription();
  readonly #answers = new Map<number, (answer: ControlAnswer) => void>();
  readonly #report = new ControlReport();
  #core: ControlCore | undefined;
  #commandId = 0;
  #isListing = false;
  #seeds: readonly string[];

  constructor(settings: ControlProcessSettings, ports: ControlPorts, log: Logger) {
    this.#settings = settings;
    this.#ports = ports;
    this.#log = log;
    this.#seeds = settings.seeds;
    const { me, zone } = settings;
    this.#exchange = new Exchange(
      { id: me, role: 'mind', zone, listen: me, reach: {} },
      this.#tell.bind(this),
    );
    this.#store = new FileStore(join(settings.data, 'parts'), this.#tell.bind(this));
    this.#operators = ports.operators(this.#ask.bind(this), this.#metrics.bind(this));
  }

  async start(): Promise<void> {
    const stored = await this.#store.readAll();
    const { me, zone, isFirstStart, leaseMs, control } = this.#settings;
    const deployed = {
      dialect: this.#ports.dialect,
      isFirstStart,
      listMs: LIST_MS,
      planner: new Planner(this.#settings.planner),
    };
    const settings = {
      ...CONTROL_DEFAULTS,
      me,
      zone,
      seeds: this.#seeds,
      incarnation: newIncarnation(),
      silentMs: 3000,
      foundMs: 0,
      deployed,
    };
    // The span in which nobody orders is the deployment's. The others are short, since everything waits for a lost leader.
    const vote = { ...VOTE_DEFAULTS, ...VOTE, leaseMs };
    const core = new ControlCore(settings, stored, monotonicNow(), vote);
    this.#core = core;
    this.#subscription.add(this.#exchange.incoming$.subscribe(this.#receive.bind(this)));
    this.#subscription.add(this.#exchange.gone$.subscribe(this.#gone.bind(this)));
    await this.#exchange.open();
    if (control !== undefined) await this.#operators.listen(control);
    this.#subscription.add(
      interval(TICK_MS).subscribe(this.#submit.bind(this, this.#tick.bind(this))),
    );
    this.#submit(this.#tick.bind(this));
    this.#log.info({ standing: core.standing.name }, 'control node started');
  }

  /** Hands its seat over where a spare is there, then what it leads, if no order is open, and stops. */
  async stop(): Promise<void> {
    let end = monotonicNow() + RETIRE_MS;
    for (let isRetired = false; !isRetired && monotonicNow() < end;) {
      function retire(core: ControlCore): void {
        isRetired = core.retire(monotonicNow());
        // The seat's taking over bounds itself; the time for open orders begins after it.
        if (core.isHandingOver) end = monotonicNow() + RETIRE_MS;
      }
      this.#submit(retire);
      if (!isRetired) await new Promise<void>(afterTick);
    }
    // What was said last must leave the process before its lines close.
    await new Promise<void>(afterTick);
    this.#subscription.unsubscribe();
    this.#operators.close();
    this.#exchange.close();
  }

  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    function set(core: ControlCore): void {
      core.setSeeds(seeds);
    }
    this.#submit(set);
  }

  #tell(defect: CodedError): void {
    this.#log.warn({ defect: defect.kind }, defect.message);
  }

  /** Every input is a command of the core's one owner; its effects are carried out before the next. */
  #submit(command: (core: ControlCore) => void): void {
    const core = this.#core;
    if (core) this.#owner.submit(this.#work.bind(this, core, command));
  }

  #work(core: ControlCore, command: (core: ControlCore) => void): void {
    // What somebody else said must not end this process.
    try {
      command(core);
    } catch (thrown) {
      this.#log.error(
        { defect: 'core' },
        thrown instanceof Error ? (thrown.stack ?? thrown.message) : reasonOf(thrown),
      );
    }
    for (const effect of core.drain()) this.#carryOut(core, effect);
  }

  #tick(core: ControlCore): void {
    for (const peer of core.peers) this.#exchange.dial(peer);
    core.tick(monotonicNow());
  }

  #receive(incoming: Incoming): void {
    function receive(core: ControlCore): void {
      core.receive(
        monotonicNow(),
        incoming.from,
        incoming.message,
        incoming.role === 'mind' ? incoming.zone : '',
      );
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
      case 'askList':
        void this.#list();
        break;
      case 'askStatus':
        void this.#status(effect.runner, effect.address);
        break;
      case 'order':
        void this.#order(effect, core);
        break;
      case 'reply':
        this.#answers.get(effect.id)?.({ status: effect.status, body: effect.body });
        this.#answers.delete(effect.id);
        break;
      case 'note':
        this.#log.info(effect.fields, effect.text);
        break;
      default:
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
    function stored(core: ControlCore): void {
      core.stored(monotonicNow(), part, version);
    }
    this.#submit(stored);
  }

  async #list(): Promise<void> {
    const { list } = this.#ports;
    if (!list || this.#isListing) return;
    this.#isListing = true;
    try {
      const runners = await list();
      function take(core: ControlCore): void {
        core.list(monotonicNow(), runners);
      }
      this.#submit(take);
    } catch (thrown) {
      this.#log.info({ reason: reasonOf(thrown) }, 'no list of runners');
    } finally {
      this.#isListing = false;
    }
  }

  async #status(runner: string, address: string): Promise<void> {
    const askedAt = monotonicNow();
    const status = await this.#ports.status(address);
    function take(core: ControlCore): void {
      core.status(monotonicNow(), runner, askedAt, status);
    }
    this.#submit(take);
  }

  async #order(effect: Extract<ControlEffect, { do: 'order' }>, core: ControlCore): Promise<void> {
    const { intent, address } = effect;
    const outcome = await this.#ports.order(
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
    function ordered(owner: ControlCore): void {
      owner.ordered(monotonicNow(), intent.id, outcome);
    }
    this.#submit(ordered);
  }

  #metrics(): Promise<Exposition | undefined> {
    return this.#report.render(this.#core);
  }

  #ask(verb: string, body: string): Promise<ControlAnswer> {
    this.#commandId += 1;
    const id = this.#commandId;
    const answers = this.#answers;
    function announce(done: (answer: ControlAnswer) => void): void {
      answers.set(id, done);
    }
    const answer = new Promise<ControlAnswer>(announce);
    function command(core: ControlCore): void {
      core.command(monotonicNow(), id, verb, body);
    }
    this.#submit(command);
    return answer;
  }
}

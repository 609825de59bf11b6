import { join } from 'node:path';
import { pino, type Logger } from 'pino';
import { interval, Subscription } from 'rxjs';
import { array, boolean, nullable, number, optional, string, type, type Infer } from 'superstruct';
import { FileStore } from '../state/FileStore.js';
import { call } from '../common/Call.js';
import { monotonicNow } from '../common/Clock.js';
import { CodedError, reasonOf } from '../common/CodedError.js';
import { mustParseAs, parseAs } from '../common/Json.js';
import { newIncarnation } from '../common/Incarnation.js';
import { SerialQueue } from '../common/SerialQueue.js';
import { ControlCore } from '../control/ControlCore.js';
import {
  CONTROL_DEFAULTS,
  type ControlEffect,
  type OrderResult,
} from '../control/ControlEffect.js';
import { Exchange, type Incoming } from '../dissemination/Exchange.js';
import type { ListedRunner, RunnerStatus } from '../placement/Fleet.js';
import { Planner } from '../placement/Planner.js';
import { VOTE_DEFAULTS } from '../election/VoteSettings.js';
import { PlainRouting } from './ScaleDialect.js';
import { ownCost, type ScalePart } from './ScalePart.js';
import { CountedExchange, Tally } from './Tally.js';

export const ScaleControlShape = type({
  me: string(),
  zone: string(),
  seeds: array(string()),
  data: string(),
  runners: string(),
});
const CommandShape = type({ verb: string(), body: string() });

const HoldsShape = array(type({ model: string(), adapters: array(string()) }));
const ListedShape = type({
  id: string(),
  address: string(),
  zone: string(),
  service: string(),
  slots: number(),
  isLeaving: boolean(),
  remainingMs: optional(number()),
  coldMs: number(),
  holds: HoldsShape,
});
const PageShape = type({ runners: array(ListedShape), next: nullable(number()) });
const StatusShape = type({
  holds: HoldsShape,
  isBusy: boolean(),
  orderCount: number(),
  waiting: number(),
  active: number(),
});

// As a control node of a deployment is put together: the same ticks and spans.
const TICK_MS = 50;
const LIST_MS = 1000;
const CALL_MS = 5000;
const LIST_LAG_MS = 800;
const VOTE = { pingMs: 250, renewMs: 300, electionMs: 500, spanMs: 1500, deadMs: 1200 } as const;

function listedOf(runner: Infer<typeof ListedShape>): ListedRunner {
  return { ...runner, remainingMs: runner.remainingMs };
}

/** A real control node with a planner, whose platform and runners are the run's own. */
export class ScaleControl implements ScalePart {
  readonly #settings: Infer<typeof ScaleControlShape>;
  readonly #log: Logger = pino({ level: 'warn' });
  readonly #owner = new SerialQueue();
  readonly #tally = new Tally();
  readonly #exchange: CountedExchange;
  readonly #store: FileStore;
  readonly #subscription = new Subscription();
  readonly #replies = new Map<number, (body: string) => void>();
  #core: ControlCore | undefined;
  #commandId = 0;
  #isListing = false;
  #lists = 0;
  #listMs = 0;
  #writtenBytes = 0;
  #writes = 0;

  constructor(settings: Infer<typeof ScaleControlShape>) {
    this.#settings = settings;
    const { me, zone, data } = settings;
    this.#exchange = new CountedExchange(
      new Exchange({ id: me, role: 'mind', zone, listen: me, reach: {} }, this.#tell.bind(this)),
      this.#tally,
    );
    this.#store = new FileStore(join(data, 'parts'), this.#tell.bind(this));
  }

  async start(): Promise<void> {
    const stored = await this.#store.readAll();
    const { me, zone, seeds } = this.#settings;
    const deployed = {
      dialect: new PlainRouting(),
      isFirstStart: true,
      listMs: LIST_MS,
      planner: new Planner({ lagMs: LIST_LAG_MS }),
    };
    this.#core = new ControlCore(
      {
        ...CONTROL_DEFAULTS,
        me,
        zone,
        seeds,
        incarnation: newIncarnation(),
        silentMs: 3000,
        foundMs: 0,
        deployed,
      },
      stored,
      monotonicNow(),
      { ...VOTE_DEFAULTS, ...VOTE },
    );
    this.#subscription.add(this.#exchange.incoming$.subscribe(this.#receive.bind(this)));
    this.#subscription.add(this.#exchange.gone$.subscribe(this.#gone.bind(this)));
    await this.#exchange.open();
    this.#subscription.add(
      interval(TICK_MS).subscribe(this.#submit.bind(this, this.#tick.bind(this))),
    );
  }

  async stop(): Promise<void> {
    this.#subscription.unsubscribe();
    this.#exchange.close();
  }

  async ask(verb: string, body: string): Promise<string> {
    if (verb === 'figures') return JSON.stringify(this.#figures());
    // Put together only where asked for: what travels by its changes is not held whole.
    if (verb === 'bodies')
      return JSON.stringify({
        config: this.#core?.relay.item('config')?.body.length ?? 0,
        fleet: this.#core?.relay.item('fleet')?.body.length ?? 0,
      });
    const { verb: commanded, body: said } = mustParseAs(CommandShape, body, 'the command');
    return this.#command(commanded, said);
  }

  #figures(): object {
    const core = this.#core;
    const config = core?.relay.version('config');
    const fleet = core?.relay.version('fleet');
    return {
      ...ownCost(),
      countingMs: this.#tally.countingMs,
      tally: this.#tally.figures(),
      isLeading: core?.isServing ?? false,
      configEpoch: config?.epoch ?? 0,
      configCount: config?.count ?? 0,
      fleetEpoch: fleet?.epoch ?? 0,
      fleetCount: fleet?.count ?? 0,
      orders: core?.ordersSent ?? 0,
      lists: this.#lists,
      listMs: this.#listMs,
      writes: this.#writes,
      writtenBytes: this.#writtenBytes,
    };
  }

  #command(verb: string, body: string): Promise<string> {
    this.#commandId += 1;
    const id = this.#commandId;
    const replies = this.#replies;
    function announce(done: (body: string) => void): void {
      replies.set(id, done);
    }
    const returned = new Promise<string>(announce);
    function command(core: ControlCore): void {
      core.command(monotonicNow(), id, verb, body);
    }
    this.#submit(command);
    return returned;
  }

  #tell(defect: CodedError): void {
    this.#log.warn({ defect: defect.kind }, defect.message);
  }

  #submit(command: (core: ControlCore) => void): void {
    const core = this.#core;
    if (core) this.#owner.submit(this.#work.bind(this, core, command));
  }

  #work(core: ControlCore, command: (core: ControlCore) => void): void {
    command(core);
    for (const effect of core.drain()) this.#carryOut(core, effect);
  }

  #tick(core: ControlCore): void {
    for (const peer of core.peers) this.#exchange.dial(peer);
    core.tick(monotonicNow());
  }

  #receive(incoming: Incoming): void {
    this.#exchange.took(incoming.message);
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
        this.#replies.get(effect.id)?.(
          JSON.stringify({ status: effect.status, body: effect.body }),
        );
        this.#replies.delete(effect.id);
        break;
      default:
        break;
    }
  }

  async #keep(effect: Extract<ControlEffect, { do: 'store' }>): Promise<void> {
    const { part, version, body } = effect;
    this.#writes += 1;
    this.#writtenBytes += body.length;
    await this.#store.write(part, version, body);
    function stored(core: ControlCore): void {
      core.stored(monotonicNow(), part, version);
    }
    this.#submit(stored);
  }

  async #list(): Promise<void> {
    if (this.#isListing) return;
    this.#isListing = true;
    const start = performance.now();
    try {
      const runners: ListedRunner[] = [];
      for (let page: number | null = 0; page !== null;) {
        const returned = await call(
          'GET',
          this.#settings.runners,
          `/runners?page=${page}`,
          undefined,
          CALL_MS,
        );
        const read = mustParseAs(PageShape, returned.body, 'the list of runners');
        for (const runner of read.runners) runners.push(listedOf(runner));
        page = read.next;
      }
      function take(core: ControlCore): void {
        core.list(monotonicNow(), runners);
      }
      this.#submit(take);
      this.#lists += 1;
      this.#listMs += performance.now() - start;
    } catch (thrown) {
      this.#log.warn({ reason: reasonOf(thrown) }, 'no list of runners');
    } finally {
      this.#isListing = false;
    }
  }

  async #status(runner: string, address: string): Promise<void> {
    const askedAt = monotonicNow();
    let status: RunnerStatus | undefined;
    try {
      status = parseAs(
        StatusShape,
        (await call('GET', address, `/report?runner=${runner}`, undefined, CALL_MS)).body,
      );
    } catch {
      status = undefined;
    }
    function take(core: ControlCore): void {
      core.status(monotonicNow(), runner, askedAt, status);
    }
    this.#submit(take);
  }

  async #order(effect: Extract<ControlEffect, { do: 'order' }>, core: ControlCore): Promise<void> {
    const { intent, address } = effect;
    let outcome: OrderResult = 'unsure';
    try {
      const { status } = await call(
        'POST',
        address,
        '/order',
        JSON.stringify({ ...intent, fence: core.elector.epoch }),
        CALL_MS,
      );
      outcome =
        status === 202 ? 'taken' : status === 200 ? 'held' : status === 409 ? 'busy' : 'refused';
    } catch {
      /* it may have come through */
    }
    function ordered(owner: ControlCore): void {
      owner.ordered(monotonicNow(), intent.id, outcome);
    }
    this.#submit(ordered);
  }
}

import { join } from 'node:path';
import { pino, type Logger } from 'pino';
import { array, boolean, nullable, number, optional, string, type, type Infer } from 'superstruct';
import { FileStore } from '../state/file-store.js';
import { call } from '../common/call.js';
import { monotonicNow } from '../common/clock.js';
import { type HaretrackError, reasonOf } from '../common/errors.js';
import { mustParseAs, parseAs } from '../common/json.js';
import { newIncarnation } from '../common/incarnation.js';
import { ControlCore } from '../control/control-core.js';
import { CONTROL_DEFAULTS, type OrderResult } from '../control/control-effect.js';
import {
  ControlRuntime,
  deliverWithZone,
  type ControlRuntimePorts,
  type CoreCommand,
  type OrderEffect,
  type OutsideEffect,
  type StoreEffect,
} from '../control/control-runtime.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import type { ListedRunner, RunnerStatus } from '../placement/fleet.js';
import { Planner } from '../placement/planner.js';
import { VOTE_DEFAULTS } from '../election/vote-settings.js';
import { PlainRouting } from './scale-dialect.js';
import { processCost, type ScalePart } from './scale-part.js';
import { CountedExchange, Tally } from './tally.js';

/** Schema of the settings of `ScaleControl`. */
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

// The same intervals as a control node of a deployment has.
const TICK_MS = 50;
const LIST_INTERVAL_MS = 1000;
const CALL_TIMEOUT_MS = 5000;
const LIST_LAG_MS = 800;
const VOTE = {
  pingMs: 250,
  renewMs: 300,
  electionMs: 500,
  leaseMs: 1500,
  peerTimeoutMs: 1200,
} as const;

function toListedRunner(runner: Infer<typeof ListedShape>): ListedRunner {
  return { ...runner, remainingMs: runner.remainingMs };
}

/** A real control node with a planner, which uses the platform and the runners of the scale run. */
export class ScaleControl implements ScalePart, ControlRuntimePorts {
  readonly tickMs = TICK_MS;
  readonly waitsForHandover = true;
  readonly #settings: Infer<typeof ScaleControlShape>;
  readonly #log: Logger = pino({ level: 'warn' });
  readonly #tally = new Tally();
  readonly #exchange: CountedExchange;
  readonly #store: FileStore;
  readonly #runtime: ControlRuntime;
  #isListing = false;
  #listCount = 0;
  #listMs = 0;
  #writtenBytes = 0;
  #writeCount = 0;

  constructor(settings: Infer<typeof ScaleControlShape>) {
    this.#settings = settings;
    const { me, zone, data } = settings;
    this.#exchange = new CountedExchange(
      new Exchange({ id: me, role: 'mind', zone, listen: me, reach: {} }, (error) =>
        this.#logError(error),
      ),
      this.#tally,
    );
    this.#runtime = new ControlRuntime(this.#exchange, this);
    this.#store = new FileStore(join(data, 'parts'), (error) => this.#logError(error));
  }

  /** Restores the stored state and starts the control node. */
  async start(): Promise<void> {
    const stored = await this.#store.readAll();
    const { me, zone, seeds } = this.#settings;
    const deployed = {
      dialect: new PlainRouting(),
      isFirstStart: true,
      listMs: LIST_INTERVAL_MS,
      planner: new Planner({ lagMs: LIST_LAG_MS }),
    };
    const core = new ControlCore(
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
    await this.#runtime.open(core);
    this.#runtime.startTicks();
  }

  /** Closes the control node. */
  async stop(): Promise<void> {
    this.#runtime.close();
  }

  /** Handles the verbs `figures` and `bodies` (sizes of the current updates, in bytes); any other runs an operator's command. */
  async request(verb: string, body: string): Promise<string> {
    if (verb === 'figures') return JSON.stringify(this.#figures());
    // Assembled on request only: updates that are sent as deltas are not held whole.
    const relay = this.#runtime.core?.relay;
    if (verb === 'bodies')
      return JSON.stringify({
        config: relay?.latest('config')?.body.length ?? 0,
        fleet: relay?.latest('fleet')?.body.length ?? 0,
      });
    const { verb: commandVerb, body: commandBody } = mustParseAs(CommandShape, body, 'the command');
    return JSON.stringify(await this.#runtime.request(commandVerb, commandBody));
  }

  #figures(): object {
    const { core } = this.#runtime;
    const config = core?.relay.version('config');
    const fleet = core?.relay.version('fleet');
    return {
      ...processCost(),
      countingMs: this.#tally.countingMs,
      tally: this.#tally.figures(),
      isLeading: core?.isServing ?? false,
      configEpoch: config?.epoch ?? 0,
      configCount: config?.count ?? 0,
      fleetEpoch: fleet?.epoch ?? 0,
      fleetCount: fleet?.count ?? 0,
      orders: core?.ordersSent ?? 0,
      lists: this.#listCount,
      listMs: this.#listMs,
      writes: this.#writeCount,
      writtenBytes: this.#writtenBytes,
    };
  }

  /** Returns the ids of the other control nodes. */
  peers(core: ControlCore): readonly string[] {
    return core.peers;
  }

  /** Counts a received message and returns the command that delivers it. */
  onMessage(incoming: Incoming): CoreCommand {
    this.#exchange.countReceived(incoming.message);
    return (core) => deliverWithZone(incoming, core);
  }

  /** Writes a partition to the store, and counts the write. */
  write({ partition, version, body }: StoreEffect): Promise<void> {
    this.#writeCount += 1;
    this.#writtenBytes += body.length;
    return this.#store.write(partition, version, body);
  }

  /** Requests the list of runners or a runner's status, or sends an order. */
  perform(effect: OutsideEffect, core: ControlCore): void {
    switch (effect.do) {
      case 'askList':
        void this.#requestList();
        break;
      case 'askStatus':
        void this.#requestStatus(effect.runner, effect.address);
        break;
      case 'order':
        void this.#sendOrder(effect, core);
        break;
      default:
        break;
    }
  }

  /** Rethrows: a failed command ends the run. */
  onCommandFailed(thrown: unknown): void {
    throw thrown;
  }

  #logError(error: HaretrackError): void {
    this.#log.warn({ defect: error.code }, error.message);
  }

  async #requestList(): Promise<void> {
    if (this.#isListing) return;
    this.#isListing = true;
    const start = performance.now();
    try {
      const runners: ListedRunner[] = [];
      for (let page: number | null = 0; page !== null;) {
        const response = await call(
          'GET',
          this.#settings.runners,
          `/runners?page=${page}`,
          undefined,
          CALL_TIMEOUT_MS,
        );
        const listPage = mustParseAs(PageShape, response.body, 'the list of runners');
        for (const runner of listPage.runners) runners.push(toListedRunner(runner));
        page = listPage.next;
      }
      this.#runtime.submit((core: ControlCore) => {
        core.onRunnerList(monotonicNow(), runners);
      });
      this.#listCount += 1;
      this.#listMs += performance.now() - start;
    } catch (thrown) {
      this.#log.warn({ reason: reasonOf(thrown) }, 'the list of runners could not be read');
    } finally {
      this.#isListing = false;
    }
  }

  async #requestStatus(runner: string, address: string): Promise<void> {
    const askedAt = monotonicNow();
    let status: RunnerStatus | undefined;
    try {
      status = parseAs(
        StatusShape,
        (await call('GET', address, `/report?runner=${runner}`, undefined, CALL_TIMEOUT_MS)).body,
      );
    } catch {
      status = undefined;
    }
    this.#runtime.submit((core: ControlCore) => {
      core.onRunnerStatus(monotonicNow(), runner, askedAt, status);
    });
  }

  async #sendOrder(effect: OrderEffect, core: ControlCore): Promise<void> {
    const { intent, address } = effect;
    let outcome: OrderResult = 'unsure';
    try {
      const { status } = await call(
        'POST',
        address,
        '/order',
        JSON.stringify({ ...intent, fence: core.elector.epoch }),
        CALL_TIMEOUT_MS,
      );
      outcome =
        status === 202 ? 'taken' : status === 200 ? 'held' : status === 409 ? 'busy' : 'refused';
    } catch {
      /* the runner may have received the order */
    }
    this.#runtime.submit((currentCore: ControlCore) => {
      currentCore.onOrderOutcome(monotonicNow(), intent.id, outcome);
    });
  }
}

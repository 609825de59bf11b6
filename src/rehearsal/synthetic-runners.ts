import type { ServerResponse } from 'node:http';
import { boolean, number, optional, string, type, type Infer } from 'superstruct';
import { mustParseAs } from '../common/json.js';
import type { ListedRunner } from '../placement/fleet.js';
import { processCost, type ScalePart } from './scale-part.js';
import { ADAPTER_MS, listedRunners, LOAD_MS, ScaleShapeShape } from './scale-shape.js';
import { replyJson, StubServer } from './stub-server.js';

/** Schema of the settings of `SyntheticRunners`. */
export const SyntheticRunnersShape = type({ shape: ScaleShapeShape, address: string() });
const OrderShape = type({
  runner: string(),
  verb: string(),
  model: string(),
  adapter: string(),
  count: optional(number()),
});
const LeaveShape = type({ index: number(), isLeaving: boolean() });

/** Runners per page of the list. */
const PAGE_SIZE = 500;

interface SyntheticRunner {
  readonly listed: ListedRunner;
  readonly holds: Map<string, Set<string>>;
  isBusy: boolean;
  isLeaving: boolean;
  orders: number;
}

/** All runners of a run, and the platform's list of them, at one address; they accept orders and serve no requests. */
export class SyntheticRunners implements ScalePart {
  readonly #address: string;
  readonly #server: StubServer;
  readonly #runners: SyntheticRunner[] = [];
  readonly #byId = new Map<string, SyntheticRunner>();
  #callCount = 0;
  #listedBytes = 0;

  constructor(settings: Infer<typeof SyntheticRunnersShape>) {
    this.#address = settings.address;
    this.#server = new StubServer(
      (method, url, body, response) => this.#serve(method, url, body, response),
      '',
    );
    for (const listed of listedRunners(settings.shape, settings.address)) {
      const holds = new Map<string, Set<string>>();
      for (const { model, adapters } of listed.holds) holds.set(model, new Set(adapters));
      const runner = { listed, holds, isBusy: false, isLeaving: false, orders: 0 };
      this.#runners.push(runner);
      this.#byId.set(listed.id, runner);
    }
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    await this.#server.listen(this.#address);
  }

  /** Closes the server and its connections. */
  async stop(): Promise<void> {
    this.#server.close();
  }

  /** Returns the cost of this process, the number of calls and the bytes of the lists; the verb `leave` first changes a mark. */
  async request(verb: string, body: string): Promise<string> {
    if (verb === 'leave') {
      const { index, isLeaving } = mustParseAs(LeaveShape, body, 'the ask');
      const runner = this.#runners[index];
      if (runner) runner.isLeaving = isLeaving;
    }
    return JSON.stringify({
      ...processCost(),
      countingMs: 0,
      calls: this.#callCount,
      listedBytes: this.#listedBytes,
    });
  }

  #serve(method: string, url: string, body: string, response: ServerResponse): void {
    const [path = '', query = ''] = url.split('?');
    const parameters = new URLSearchParams(query);
    this.#callCount += 1;
    if (path === '/runners') {
      this.#list(Number(parameters.get('page') ?? 0), response);
      return;
    }
    if (path === '/report') {
      const runner = this.#byId.get(parameters.get('runner') ?? '');
      if (runner)
        replyJson(response, 200, {
          holds: holdsOf(runner),
          isBusy: runner.isBusy,
          orderCount: runner.orders,
          waiting: 0,
          active: 0,
        });
      else replyJson(response, 404, {});
      return;
    }
    replyJson(response, method === 'POST' && path === '/order' ? this.#order(body) : 404, {});
  }

  #list(page: number, response: ServerResponse): void {
    const runners = [];
    for (const runner of this.#runners.slice(page * PAGE_SIZE, (page + 1) * PAGE_SIZE))
      runners.push({ ...runner.listed, isLeaving: runner.isLeaving, holds: holdsOf(runner) });
    const next = (page + 1) * PAGE_SIZE < this.#runners.length ? page + 1 : null;
    this.#listedBytes += JSON.stringify(runners).length;
    replyJson(response, 200, { runners, next });
  }

  #order(body: string): number {
    const order = mustParseAs(OrderShape, body, 'the order');
    const runner = this.#byId.get(order.runner);
    if (!runner) return 421;
    const loadedAdapters = runner.holds.get(order.model);
    const isLoaded =
      loadedAdapters !== undefined && (order.adapter === '' || loadedAdapters.has(order.adapter));
    if (isLoaded === (order.verb === 'load')) return 200;
    if (runner.isBusy || (order.count !== undefined && order.count !== runner.orders)) return 409;
    runner.isBusy = true;
    runner.orders += 1;
    setTimeout(
      (target: SyntheticRunner) => {
        target.isBusy = false;
        if (order.verb === 'unload') {
          if (order.adapter === '') target.holds.delete(order.model);
          else target.holds.get(order.model)?.delete(order.adapter);
          return;
        }
        if (order.adapter === '') target.holds.set(order.model, new Set());
        else target.holds.get(order.model)?.add(order.adapter);
      },
      order.verb === 'unload' ? 1 : order.adapter === '' ? LOAD_MS : ADAPTER_MS,
      runner,
    );
    return 202;
  }
}

function holdsOf(
  runner: SyntheticRunner,
): { readonly model: string; readonly adapters: readonly string[] }[] {
  const holds = [];
  for (const [model, adapters] of runner.holds) holds.push({ model, adapters: [...adapters] });
  return holds;
}

import type { ServerResponse } from 'node:http';
import { boolean, number, optional, string, type, type Infer } from 'superstruct';
import { mustParseAs } from '../common/json.js';
import type { ListedRunner } from '../placement/fleet.js';
import { ownCost, type ScalePart } from './scale-part.js';
import { ADAPTER_MS, listedRunners, LOAD_MS, ScaleShapeShape } from './scale-shape.js';
import { replyJson, StubServer } from './stub-server.js';

export const SyntheticRunnersShape = type({ shape: ScaleShapeShape, address: string() });
const OrderShape = type({
  runner: string(),
  verb: string(),
  model: string(),
  adapter: string(),
  count: optional(number()),
});
const LeaveShape = type({ index: number(), isLeaving: boolean() });

const PAGE = 500;

interface Synthetic {
  readonly listed: ListedRunner;
  readonly holds: Map<string, Set<string>>;
  isBusy: boolean;
  isLeaving: boolean;
  orders: number;
}

/** All runners of a run and the platform's list of them, at one address: they take orders and serve nobody. */
export class SyntheticRunners implements ScalePart {
  readonly #address: string;
  readonly #server: StubServer;
  readonly #runners: Synthetic[] = [];
  readonly #byId = new Map<string, Synthetic>();
  #calls = 0;
  #listedBytes = 0;

  constructor(settings: Infer<typeof SyntheticRunnersShape>) {
    this.#address = settings.address;
    this.#server = new StubServer(
      (method, url, body, returned) => this.#serve(method, url, body, returned),
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

  async start(): Promise<void> {
    await this.#server.listen(this.#address);
  }

  async stop(): Promise<void> {
    this.#server.close();
  }

  async ask(verb: string, body: string): Promise<string> {
    if (verb === 'leave') {
      const { index, isLeaving } = mustParseAs(LeaveShape, body, 'the ask');
      const runner = this.#runners[index];
      if (runner) runner.isLeaving = isLeaving;
    }
    return JSON.stringify({
      ...ownCost(),
      countingMs: 0,
      calls: this.#calls,
      listedBytes: this.#listedBytes,
    });
  }

  #serve(method: string, url: string, body: string, returned: ServerResponse): void {
    const [path = '', query = ''] = url.split('?');
    const asked = new URLSearchParams(query);
    this.#calls += 1;
    if (path === '/runners') {
      this.#list(Number(asked.get('page') ?? 0), returned);
      return;
    }
    if (path === '/report') {
      const runner = this.#byId.get(asked.get('runner') ?? '');
      if (runner)
        replyJson(returned, 200, {
          holds: holdsOf(runner),
          isBusy: runner.isBusy,
          orderCount: runner.orders,
          waiting: 0,
          active: 0,
        });
      else replyJson(returned, 404, {});
      return;
    }
    replyJson(returned, method === 'POST' && path === '/order' ? this.#order(body) : 404, {});
  }

  #list(page: number, returned: ServerResponse): void {
    const runners = [];
    for (const runner of this.#runners.slice(page * PAGE, (page + 1) * PAGE))
      runners.push({ ...runner.listed, isLeaving: runner.isLeaving, holds: holdsOf(runner) });
    const next = (page + 1) * PAGE < this.#runners.length ? page + 1 : null;
    this.#listedBytes += JSON.stringify(runners).length;
    replyJson(returned, 200, { runners, next });
  }

  #order(body: string): number {
    const order = mustParseAs(OrderShape, body, 'the order');
    const runner = this.#byId.get(order.runner);
    if (!runner) return 421;
    const held = runner.holds.get(order.model);
    const isHeld = held !== undefined && (order.adapter === '' || held.has(order.adapter));
    if (isHeld === (order.verb === 'load')) return 200;
    if (runner.isBusy || (order.count !== undefined && order.count !== runner.orders)) return 409;
    runner.isBusy = true;
    runner.orders += 1;
    setTimeout(
      (synthetic: Synthetic) => {
        synthetic.isBusy = false;
        if (order.verb === 'unload') {
          if (order.adapter === '') synthetic.holds.delete(order.model);
          else synthetic.holds.get(order.model)?.delete(order.adapter);
          return;
        }
        if (order.adapter === '') synthetic.holds.set(order.model, new Set());
        else synthetic.holds.get(order.model)?.add(order.adapter);
      },
      order.verb === 'unload' ? 1 : order.adapter === '' ? LOAD_MS : ADAPTER_MS,
      runner,
    );
    return 202;
  }
}

function holdsOf(
  runner: Synthetic,
): { readonly model: string; readonly adapters: readonly string[] }[] {
  const holds = [];
  for (const [model, adapters] of runner.holds) holds.push({ model, adapters: [...adapters] });
  return holds;
}

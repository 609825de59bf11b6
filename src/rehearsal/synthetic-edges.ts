import { array, number, string, type, type Infer } from 'superstruct';
import { mustParseAs } from '../common/json.js';
import { SyntheticProxy } from './synthetic-proxy.js';
import { processCost, type ScalePart } from './scale-part.js';
import { SharedBodies, ScaleAgent } from './scale-agent.js';
import { ScaleEdgeShape, modelName } from './scale-shape.js';
import { total } from './tally.js';

/** Schema of the settings of `SyntheticEdges`. */
export const SyntheticEdgesShape = type({ edges: array(ScaleEdgeShape), seeds: array(string()) });
const ReachedShape = type({ topic: string(), epoch: number(), count: number() });
const DemandAskShape = type({ units: number(), models: number(), services: number() });
const WantShape = type({ service: string(), model: string(), waiting: number() });

/** Many agents and synthetic proxies in one process, each with its own connections. */
export class SyntheticEdges implements ScalePart {
  readonly #agents: ScaleAgent[] = [];
  readonly #proxies: SyntheticProxy[] = [];

  constructor(settings: Infer<typeof SyntheticEdgesShape>) {
    const bodies = new SharedBodies();
    for (const place of settings.edges) {
      this.#agents.push(new ScaleAgent(place, settings.seeds, bodies));
      // A watched edge has a real proxy, in a process of its own.
      if (!place.isWatched) this.#proxies.push(new SyntheticProxy(place));
    }
  }

  /** Starts the agents, then the synthetic proxies. */
  async start(): Promise<void> {
    for (const agent of this.#agents) await agent.start();
    // Starts are spread over a second, as those of independent processes are.
    for (const [index, proxy] of this.#proxies.entries())
      setTimeout(() => proxy.start(), (index * 1000) / this.#proxies.length);
  }

  /** Stops all proxies and agents. */
  async stop(): Promise<void> {
    for (const proxy of this.#proxies) proxy.stop();
    for (const agent of this.#agents) agent.stop();
  }

  /** Handles the verbs `figures`, `reached`, `demand` (of all proxies from now on) and `want` (demand of one proxy, once). */
  async request(verb: string, body: string): Promise<string> {
    if (verb === 'figures') return JSON.stringify(this.#figures());
    if (verb === 'reached')
      return JSON.stringify(this.#reached(mustParseAs(ReachedShape, body, 'the ask')));
    if (verb === 'demand') {
      this.#demand(mustParseAs(DemandAskShape, body, 'the ask'));
      return '';
    }
    const want = mustParseAs(WantShape, body, 'the ask');
    this.#proxies[0]?.sendDemand([
      {
        service: want.service,
        model: want.model,
        adapter: '',
        count: want.waiting,
        waiting: want.waiting,
        running: 0,
        priority: 0,
      },
    ]);
    return '';
  }

  #reached({ topic, epoch, count }: Infer<typeof ReachedShape>): object {
    let reached = 0;
    let lastAt = 0;
    for (const proxy of this.#proxies) {
      const at = proxy.reachedAt(topic, { epoch, count });
      if (at === undefined) continue;
      reached += 1;
      lastAt = Math.max(lastAt, at);
    }
    return { reached, lastAt };
  }

  #demand({ units, models, services }: Infer<typeof DemandAskShape>): void {
    for (const [index, proxy] of this.#proxies.entries()) {
      const list = [];
      for (let unit = 0; unit < units; unit += 1) {
        const model = (index * units + unit * 7) % models;
        list.push({
          service: `service-${model % services}`,
          model: modelName(model),
          adapter: '',
          count: 1,
          waiting: 0,
          running: 1,
        });
      }
      proxy.demand = list;
    }
  }

  #figures(): object {
    const links = [];
    const sent: Record<string, { messages: number; bytes: number }> = {};
    const received: Record<string, { messages: number; bytes: number }> = {};
    let countingMs = 0;
    const repeats = { messages: 0, bytes: 0 };
    for (const agent of this.#agents) {
      const { sent: sentCounts, received: receivedCounts } = agent.nodeTally.figures();
      links.push({
        id: agent.id,
        parent: agent.parent,
        sent: total(sentCounts),
        received: total(receivedCounts),
      });
      add(sent, sentCounts);
      add(received, receivedCounts);
      countingMs += agent.nodeTally.countingMs + agent.feedTally.countingMs;
      repeats.messages += agent.repeats.messages;
      repeats.bytes += agent.repeats.bytes;
    }
    return { ...processCost(), countingMs, tally: { sent, received }, links, repeats };
  }
}

function add(
  sums: Record<string, { messages: number; bytes: number }>,
  counts: Readonly<Record<string, { readonly messages: number; readonly bytes: number }>>,
): void {
  for (const [kind, { messages, bytes }] of Object.entries(counts)) {
    const sum = sums[kind] ?? { messages: 0, bytes: 0 };
    sums[kind] = { messages: sum.messages + messages, bytes: sum.bytes + bytes };
  }
}

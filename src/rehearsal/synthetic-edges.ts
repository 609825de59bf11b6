import { array, number, string, type, type Infer } from 'superstruct';
import { mustParseAs } from '../common/json.js';
import { SyntheticProxy } from './synthetic-proxy.js';
import { ownCost, type ScalePart } from './scale-part.js';
import { Bodies, ScaleAgent } from './scale-agent.js';
import { EdgePlaceShape, modelName } from './scale-shape.js';
import { total } from './tally.js';

export const SyntheticEdgesShape = type({ edges: array(EdgePlaceShape), seeds: array(string()) });
const ReachedShape = type({ topic: string(), epoch: number(), count: number() });
const DemandAskShape = type({ units: number(), models: number(), services: number() });
const WantShape = type({ service: string(), model: string(), waiting: number() });

/** Many agents and proxies in one process, each with lines of its own. */
export class SyntheticEdges implements ScalePart {
  readonly #links: ScaleAgent[] = [];
  readonly #flows: SyntheticProxy[] = [];

  constructor(settings: Infer<typeof SyntheticEdgesShape>) {
    const bodies = new Bodies();
    for (const place of settings.edges) {
      this.#links.push(new ScaleAgent(place, settings.seeds, bodies));
      // Beside a watched one stands a real proxy.
      if (!place.isWatched) this.#flows.push(new SyntheticProxy(place));
    }
  }

  async start(): Promise<void> {
    for (const link of this.#links) await link.start();
    // Spread over a second, as processes that start by themselves are.
    for (const [index, flow] of this.#flows.entries())
      setTimeout(() => flow.start(), (index * 1000) / this.#flows.length);
  }

  async stop(): Promise<void> {
    for (const flow of this.#flows) flow.stop();
    for (const link of this.#links) link.stop();
  }

  async ask(verb: string, body: string): Promise<string> {
    if (verb === 'figures') return JSON.stringify(this.#figures());
    if (verb === 'reached')
      return JSON.stringify(this.#reached(mustParseAs(ReachedShape, body, 'the ask')));
    if (verb === 'demand') {
      this.#demand(mustParseAs(DemandAskShape, body, 'the ask'));
      return '';
    }
    const want = mustParseAs(WantShape, body, 'the ask');
    this.#flows[0]?.tell([
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
    for (const flow of this.#flows) {
      const at = flow.reachedAt(topic, { epoch, count });
      if (at === undefined) continue;
      reached += 1;
      lastAt = Math.max(lastAt, at);
    }
    return { reached, lastAt };
  }

  #demand({ units, models, services }: Infer<typeof DemandAskShape>): void {
    for (const [index, flow] of this.#flows.entries()) {
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
      flow.demand = list;
    }
  }

  #figures(): object {
    const links = [];
    const sent: Record<string, { messages: number; bytes: number }> = {};
    const received: Record<string, { messages: number; bytes: number }> = {};
    let countingMs = 0;
    const repeats = { messages: 0, bytes: 0 };
    for (const link of this.#links) {
      const { sent: out, received: into } = link.nodeTally.figures();
      links.push({ id: link.id, parent: link.parent, sent: total(out), received: total(into) });
      add(sent, out);
      add(received, into);
      countingMs += link.nodeTally.countingMs + link.feedTally.countingMs;
      repeats.messages += link.repeats.messages;
      repeats.bytes += link.repeats.bytes;
    }
    return { ...ownCost(), countingMs, tally: { sent, received }, links, repeats };
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

import { Decision, DECISION_DEFAULTS } from '../flow/Decision.js';
import { LinkCore } from '../link/LinkCore.js';
import type { Message } from '../kin/Messages.js';
import type { Agenda } from './Agenda.js';
import type { Network } from './Network.js';
import type { Seeded } from './Seeded.js';
import { SimNode } from './SimNode.js';

const BLIND_MS = 2500;
const ASK_EVERY = 12;

/** A simulated edge machine's link: the real core. */
export class SimLink extends SimNode {
  readonly #network: Network;
  readonly #seeds: readonly string[];
  #core: LinkCore | undefined;
  /** The proxies beside it, by id: fed over loopback, which is never cut. */
  readonly flows = new Map<string, SimFlow>();

  constructor(id: string, agenda: Agenda, seeded: Seeded, network: Network, seeds: readonly string[]) {
    super(id, agenda, seeded.between(0, 1e6), 25);
    this.#network = network;
    this.#seeds = seeds;
  }

  get core(): LinkCore | undefined { return this.#core; }

  protected boot(): void {
    this.#core = new LinkCore({ me: this.id, zone: 'z', seeds: this.#seeds, blindMs: BLIND_MS }, this.now());
  }

  protected died(): void { this.#core = undefined; }

  protected beat(): void { this.#core?.beat(this.now()); this.#obey(); }

  receive(from: string, message: Message): void {
    this.#core?.receive(this.now(), from, from.startsWith('flow@') ? 'flow' : 'node', message);
    this.#obey();
  }

  gone(from: string): void { this.#core?.gone(this.now(), from); this.#obey(); }

  #obey(): void {
    for (const effect of this.#core?.drain() ?? []) {
      if (effect.do !== 'send') continue;
      const flow = this.flows.get(effect.to);
      if (flow) this.agenda.after(0.1, flow.perform.bind(flow, flow.receive.bind(flow, this.id, effect.message)));
      else this.#network.send(this.id, effect.to, effect.message);
    }
  }
}

/** A simulated proxy: the real decision, without the HTTP around it. */
export class SimFlow extends SimNode {
  readonly #link: SimLink;
  #decision: Decision | undefined;
  #beats = 0;
  #requests = 0;
  readonly #seeded: Seeded;
  readonly #onRun: (runner: string) => void;

  constructor(id: string, agenda: Agenda, seeded: Seeded, link: SimLink, onRun: (runner: string) => void) {
    super(id, agenda, seeded.between(0, 1e6), 25);
    this.#seeded = seeded;
    this.#onRun = onRun;
    this.#link = link;
    link.flows.set(id, this);
  }

  get decision(): Decision | undefined { return this.#decision; }

  protected boot(): void { this.#decision = new Decision({ ...DECISION_DEFAULTS, blindMs: BLIND_MS, me: this.id }); }

  protected died(): void { this.#decision = undefined; }

  protected beat(): void {
    const decision = this.#decision;
    if (!decision) return;
    this.#beats += 1;
    decision.beat(this.now());
    if (this.#beats % ASK_EVERY === 0) {
      this.#tell({
        kind: 'ask', nonce: decision.ask(this.now()),
        have: [{ topic: 'config', ...decision.configVersion }, { topic: 'places', ...decision.placesVersion }, { topic: 'machines', epoch: 0, count: decision.marks }],
        members: [],
      });
    }
    if (this.#beats % 10 === 0) this.#request(decision);
    for (const verdict of decision.drain()) {
      if (verdict.do !== 'run') continue;
      this.#onRun(verdict.runner);
      this.later(150, this.#done.bind(this, verdict.id));
    }
    if (this.#beats % 40 === 0) this.#tell({ kind: 'demand', body: JSON.stringify({ flow: this.id, ...decision.takeDemand() }) });
  }

  /** What is asked for shifts with time, so that places have to follow. */
  #request(decision: Decision): void {
    this.#requests += 1;
    const shift = Math.floor(this.agenda.now / 8000);
    const model = `m-${(shift + Math.floor(3 * this.#seeded.next() ** 2)) % 8}`;
    const adapter = model === 'm-0' && this.#seeded.isLikely(0.5) ? 'm-0-a' : '';
    decision.gate(this.now(), { id: this.#requests, method: 'POST', path: '/v1/checks', model, adapter, parts: [] });
  }

  #done(id: number): void { this.#decision?.done(this.now(), id); }

  #tell(message: Message): void {
    const link = this.#link;
    this.agenda.after(0.1, link.perform.bind(link, link.receive.bind(link, this.id, message)));
  }

  receive(_from: string, message: Message): void {
    const decision = this.#decision;
    if (!decision) return;
    if (message.kind === 'news') {
      decision.news(this.now(), message.topic, { epoch: message.epoch, count: message.count }, message.body);
      if (message.topic === 'config') this.#tell({ kind: 'ack', ...decision.configVersion });
    } else if (message.kind === 'vouch') {
      decision.vouch(message.nonce, message, message.marks);
    }
  }

  gone(): void { /* its link's line closing changes nothing here: it asks again */ }
}

if (import.meta.vitest) {
  const { test, expect } = import.meta.vitest;
  const { storm } = await import('./Simulation.js');
  async function checkEdges(): Promise<void> { expect(await storm(3000, 50, ['kill-link', 'freeze-link', 'kill-flow', 'freeze-flow', 'isolate-link', 'cut-link', 'isolate-core'])).toEqual([]); }
  test('no rule breaks when edge machines die, freeze or are cut off', checkEdges, 600_000);
}

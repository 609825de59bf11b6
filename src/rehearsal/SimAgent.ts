import { LinkCore } from '../agent/AgentCore.js';
import type { Message } from '../common/Messages.js';
import type { Agenda } from './Scheduler.js';
import type { Network } from './Network.js';
import type { Seeded } from './Seeded.js';
import { BLIND_MS, type SimFlow } from './SimProxy.js';
import { SimNode } from './SimNode.js';

/** A simulated edge machine's link: the real core. */
export class SimLink extends SimNode {
  readonly #network: Network;
  readonly #seeds: readonly string[];
  #core: LinkCore | undefined;
  /** The proxies beside it, by id: fed over loopback, which is never cut. */
  readonly flows = new Map<string, SimFlow>();

  constructor(
    id: string,
    agenda: Agenda,
    seeded: Seeded,
    network: Network,
    seeds: readonly string[],
  ) {
    super(id, agenda, seeded.between(0, 1e6), 25);
    this.#network = network;
    this.#seeds = seeds;
  }

  get core(): LinkCore | undefined {
    return this.#core;
  }

  protected boot(): void {
    this.#core = new LinkCore(
      { me: this.id, zone: 'z', seeds: this.#seeds, blindMs: BLIND_MS, life: this.life },
      this.now(),
    );
  }

  protected died(): void {
    this.#core = undefined;
  }

  protected beat(): void {
    this.#core?.beat(this.now());
    this.#obey();
  }

  receive(from: string, message: Message): void {
    this.#core?.receive(this.now(), from, from.startsWith('flow@') ? 'flow' : 'node', message);
    this.#obey();
  }

  gone(from: string): void {
    this.#core?.gone(this.now(), from);
    this.#obey();
  }

  #obey(): void {
    for (const effect of this.#core?.drain() ?? []) {
      if (effect.do !== 'send') continue;
      const flow = this.flows.get(effect.to);
      if (flow)
        this.agenda.after(
          0.1,
          flow.perform.bind(flow, flow.receive.bind(flow, this.id, effect.message)),
        );
      else this.#network.send(this.id, effect.to, effect.message);
    }
  }
}

import { lookupTraffic } from './caller-traffic.js';
import type { Network } from './network.js';
import type { SimAgent } from './sim-agent.js';
import type { SimProxy } from './sim-proxy.js';
import type { SimulatedFleet, FaultActions, FaultTargets } from './simulated-fleet.js';

/** Kinds of troubles of agents, proxies and the network as a whole. */
export const EDGE_TROUBLES = [
  'isolate-link',
  'cut-link',
  'kill-link',
  'freeze-link',
  'kill-flow',
  'freeze-flow',
  'restart-flow',
  'loss',
  'delay',
  'crowd',
] as const;
type EdgeTroubleKind = (typeof EDGE_TROUBLES)[number];

/** How much longer than a cut its end may take to be felt, ms. */
const CUT_SLACK_MS = 100;
const LOSS = 0.2;
const LONG_DELAY_MS = 300;
const USUAL_DELAY_MS = 5;
/** From the end of a proxy's planned stop to its next start, ms. */
const RESTART_MS = 200;
const CROWD = 30;

/** Troubles of agents, proxies and the network. */
export class EdgeTroubles {
  readonly #stage: SimulatedFleet;
  readonly #hands: FaultActions;

  constructor(stage: SimulatedFleet, hands: FaultActions) {
    this.#stage = stage;
    this.#hands = hands;
  }

  bringAbout(kind: EdgeTroubleKind, strike: FaultTargets): void {
    const { agent, proxy, controlNode, otherControlNode, spanMs } = strike;
    const { scheduler, network, seeded } = this.#stage;
    switch (kind) {
      case 'isolate-link':
        this.#isolate(agent, spanMs);
        break;
      case 'cut-link': {
        const ends = [controlNode.id, otherControlNode.id];
        this.#hands.cut([agent.id], ends, seeded.isLikely(0.5), spanMs);
        break;
      }
      case 'kill-link':
        this.#hands.restart(agent, spanMs);
        break;
      case 'freeze-link':
        agent.freeze();
        scheduler.after(spanMs, () => agent.wake());
        break;
      case 'kill-flow':
        this.#hands.restartProxy(proxy, spanMs);
        break;
      case 'freeze-flow':
        this.#freezeProxy(proxy, spanMs);
        break;
      case 'restart-flow':
        this.#stopProxy(proxy);
        break;
      case 'loss':
        network.loss = LOSS;
        scheduler.after(spanMs, () => calm(network));
        break;
      case 'delay':
        network.mostDelay = LONG_DELAY_MS;
        scheduler.after(spanMs, () => calm(network));
        break;
      case 'crowd':
        this.crowd(CROWD);
        break;
    }
  }

  /** Everybody asks at once, so many at each proxy. */
  crowd(size: number): void {
    for (const proxy of this.#stage.proxies)
      for (let index = 0; index < size; index += 1) proxy.send(lookupTraffic());
  }

  #isolate(agent: SimAgent, spanMs: number): void {
    this.#hands.cut([agent.id], this.#hands.allBut(agent.id), true, spanMs);
    for (const id of agent.proxies.keys())
      this.#stage.findings.note({ what: 'cut', node: id, number: spanMs + CUT_SLACK_MS });
  }

  #freezeProxy(proxy: SimProxy, spanMs: number): void {
    if (!proxy.isUp || proxy.isFrozen) return;
    proxy.freeze();
    this.#stage.findings.note({ what: 'frozen', node: proxy.id, number: spanMs });
    this.#stage.scheduler.after(spanMs, () => proxy.wake());
  }

  /** A planned stop: what runs there may end first. */
  #stopProxy(proxy: SimProxy): void {
    if (!proxy.isUp || proxy.isDraining || proxy.isFrozen) return;
    this.#stage.findings.note({ what: 'planned-stop', node: proxy.id });
    proxy.retire(() => this.#hands.restartProxy(proxy, RESTART_MS));
  }
}

function calm(network: Network): void {
  network.loss = 0;
  network.mostDelay = USUAL_DELAY_MS;
}

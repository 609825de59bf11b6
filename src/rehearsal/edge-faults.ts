import { lookupTraffic } from './caller-traffic.js';
import type { Network } from './network.js';
import type { SimAgent } from './sim-agent.js';
import type { SimProxy } from './sim-proxy.js';
import type { SimulatedFleet, FaultActions, FaultTargets } from './simulated-fleet.js';

/** The kinds of faults of agents, proxies and the network as a whole. */
export const EDGE_FAULTS = [
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
type EdgeFaultKind = (typeof EDGE_FAULTS)[number];

/** How much longer than a cut its effects may last, ms. */
const CUT_SLACK_MS = 100;
/** Probability that a message is lost. */
const LOSS_PROBABILITY = 0.2;
/** Upper bounds of the random delay of a message, ms. */
const LONG_DELAY_MS = 300;
const NORMAL_DELAY_MS = 5;
/** From the end of a proxy's planned stop until it is started again, ms. */
const RESTART_DELAY_MS = 200;
/** Requests that each proxy gets at once. */
const BURST_SIZE = 30;

/** Injects faults of agents, proxies and the network. */
export class EdgeFaults {
  readonly #stage: SimulatedFleet;
  readonly #actions: FaultActions;

  constructor(stage: SimulatedFleet, hands: FaultActions) {
    this.#stage = stage;
    this.#actions = hands;
  }

  /** Injects one fault of a kind. */
  inject(kind: EdgeFaultKind, strike: FaultTargets): void {
    const { agent, proxy, controlNode, otherControlNode, spanMs } = strike;
    const { scheduler, network, seeded } = this.#stage;
    switch (kind) {
      case 'isolate-link':
        this.#isolate(agent, spanMs);
        break;
      case 'cut-link': {
        const ends = [controlNode.id, otherControlNode.id];
        this.#actions.cut([agent.id], ends, seeded.isLikely(0.5), spanMs);
        break;
      }
      case 'kill-link':
        this.#actions.restart(agent, spanMs);
        break;
      case 'freeze-link':
        agent.freeze();
        scheduler.after(spanMs, () => agent.resume());
        break;
      case 'kill-flow':
        this.#actions.restartProxy(proxy, spanMs);
        break;
      case 'freeze-flow':
        this.#freezeProxy(proxy, spanMs);
        break;
      case 'restart-flow':
        this.#stopProxy(proxy);
        break;
      case 'loss':
        network.lossProbability = LOSS_PROBABILITY;
        scheduler.after(spanMs, () => resetNetwork(network));
        break;
      case 'delay':
        network.maxDelayMs = LONG_DELAY_MS;
        scheduler.after(spanMs, () => resetNetwork(network));
        break;
      case 'crowd':
        this.sendBurst(BURST_SIZE);
        break;
    }
  }

  /** Sends a burst of lookups: `size` at each proxy. */
  sendBurst(size: number): void {
    for (const proxy of this.#stage.proxies)
      for (let index = 0; index < size; index += 1) proxy.send(lookupTraffic());
  }

  #isolate(agent: SimAgent, spanMs: number): void {
    this.#actions.cut([agent.id], this.#actions.allBut(agent.id), true, spanMs);
    for (const id of agent.proxies.keys())
      this.#stage.findings.addEvent({ what: 'cut', node: id, number: spanMs + CUT_SLACK_MS });
  }

  #freezeProxy(proxy: SimProxy, spanMs: number): void {
    if (!proxy.isUp || proxy.isFrozen) return;
    proxy.freeze();
    this.#stage.findings.addEvent({ what: 'frozen', node: proxy.id, number: spanMs });
    this.#stage.scheduler.after(spanMs, () => proxy.resume());
  }

  /** Stops a proxy as planned, after its open requests have ended, and starts it again. */
  #stopProxy(proxy: SimProxy): void {
    if (!proxy.isUp || proxy.isDraining || proxy.isFrozen) return;
    this.#stage.findings.addEvent({ what: 'planned-stop', node: proxy.id });
    proxy.retire(() => this.#actions.restartProxy(proxy, RESTART_DELAY_MS));
  }
}

function resetNetwork(network: Network): void {
  network.lossProbability = 0;
  network.maxDelayMs = NORMAL_DELAY_MS;
}

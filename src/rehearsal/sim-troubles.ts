import { BACK_END_TROUBLES, BackEndTroubles } from './back-end-troubles.js';
import { CONTROL_TROUBLES, ControlTroubles } from './control-troubles.js';
import { EDGE_TROUBLES, EdgeTroubles } from './edge-troubles.js';
import { PLATFORM_TROUBLES, PlatformTroubles } from './platform-troubles.js';
import type { SimAgent } from './sim-agent.js';
import type { SimControl } from './sim-control.js';
import {
  PLAIN_BACK_ENDS,
  RUNNERS,
  FaultActions,
  ZONES,
  type SimulatedFleet,
  type FaultTargets,
} from './simulated-fleet.js';
import { CONDITIONS, type TroubleKind } from './trouble-kinds.js';

const LEAST_SPAN_MS = 300;
const MOST_SPAN_MS = 9000;
/** Chance that a trouble of a back end strikes a runner, and not a plain one. */
const RUNNER_CHANCE = 0.6;

/** Brings troubles about on a simulated fleet, and counts what each of them met. */
export class SimTroubles {
  readonly #stage: SimulatedFleet;
  readonly #hands: FaultActions;
  readonly #control: ControlTroubles;
  readonly #edge: EdgeTroubles;
  readonly #backEnds: BackEndTroubles;
  readonly #platform: PlatformTroubles;
  /** How often a trouble came while something was going on. */
  readonly met = new Map<string, number>();

  constructor(stage: SimulatedFleet) {
    this.#stage = stage;
    this.#hands = new FaultActions(stage);
    this.#control = new ControlTroubles(stage, this.#hands);
    this.#edge = new EdgeTroubles(stage, this.#hands);
    this.#backEnds = new BackEndTroubles(stage, this.#hands, this.#edge);
    this.#platform = new PlatformTroubles(stage);
  }

  bringAbout(kind: TroubleKind): void {
    const strike = this.#drawStrike(kind);
    if (!strike) return;
    this.#count(kind);
    if (isOneOf(CONTROL_TROUBLES, kind)) this.#control.bringAbout(kind, strike);
    else if (isOneOf(EDGE_TROUBLES, kind)) this.#edge.bringAbout(kind, strike);
    else if (isOneOf(BACK_END_TROUBLES, kind)) this.#backEnds.bringAbout(kind, strike);
    else if (isOneOf(PLATFORM_TROUBLES, kind)) this.#platform.bringAbout(kind, strike);
    else this.#loseZone(this.#stage.seeded.below(ZONES.length), strike.spanMs);
  }

  kill(node: SimControl | SimAgent): void {
    this.#hands.kill(node);
  }

  healAll(): void {
    const { network, proxies, nodes, findings } = this.#stage;
    findings.say('healing');
    network.healAll();
    this.#platform.heal();
    this.#control.healAll();
    for (const node of [...nodes.values(), ...proxies]) {
      node.wake();
      node.start();
    }
    this.#backEnds.healAll();
    this.#platform.healRoom();
  }

  /** Everything is drawn whatever the kind strikes, so that a seed's later draws do not depend on the kind. */
  #drawStrike(kind: TroubleKind): FaultTargets | undefined {
    const { seeded, controlNodes, agents, proxies, findings } = this.#stage;
    const spanMs = seeded.between(LEAST_SPAN_MS, MOST_SPAN_MS);
    const controlNode = seeded.pick(controlNodes);
    const otherControlNode = seeded.pick(controlNodes);
    const agent = seeded.pick(agents);
    const proxy = seeded.pick(proxies);
    const runner = seeded.pick(RUNNERS) ?? 'r0';
    const plain = seeded.pick(PLAIN_BACK_ENDS) ?? 'k0';
    const backEnd = seeded.isLikely(RUNNER_CHANCE) ? runner : plain;
    findings.say(
      `trouble ${kind} ${controlNode?.id} ${otherControlNode?.id} ${agent?.id} ${proxy?.id} ${runner} ${plain} for ${Math.round(spanMs)}`,
    );
    if (!controlNode || !otherControlNode || !agent || !proxy) return undefined;
    return { spanMs, controlNode, otherControlNode, agent, proxy, runner, plain, backEnd };
  }

  #count(kind: TroubleKind): void {
    for (const condition of CONDITIONS) {
      if (!this.#stage.holds(condition)) continue;
      const key = `${kind}|${condition}`;
      this.met.set(key, (this.met.get(key) ?? 0) + 1);
    }
    this.met.set(`${kind}|times`, (this.met.get(`${kind}|times`) ?? 0) + 1);
  }

  /** A zone lost whole: its core machine, an edge, and all back ends there; then back. */
  #loseZone(index: number, spanMs: number): void {
    const { scheduler, outside, controlNodes, agents, proxies } = this.#stage;
    const [controlNode, agent, proxy] = [controlNodes[index], agents[index], proxies[index]];
    if (controlNode) this.#hands.restart(controlNode, spanMs);
    if (agent) this.#hands.restart(agent, spanMs);
    if (proxy) this.#hands.restartProxy(proxy, spanMs);
    for (const machine of outside.platform.list) {
      if (machine.zone !== ZONES[index]) continue;
      outside.down(machine.id, true);
      scheduler.after(spanMs, outside.up.bind(outside, machine.id));
    }
  }
}

function isOneOf<Kind extends string>(kinds: readonly Kind[], kind: string): kind is Kind {
  return kinds.some((other) => kind === other);
}

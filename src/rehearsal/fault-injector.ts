import { BACK_END_FAULTS, BackEndFaults } from './back-end-faults.js';
import { CONTROL_FAULTS, ControlFaults } from './control-faults.js';
import { EDGE_FAULTS, EdgeFaults } from './edge-faults.js';
import { PLATFORM_FAULTS, PlatformFaults } from './platform-faults.js';
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
import { CONDITIONS, type FaultKind } from './fault-kinds.js';

/** Range of the random duration of a fault, ms. */
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 9000;
/** Probability that a fault of a back end hits a runner and not a plain back end. */
const RUNNER_PROBABILITY = 0.6;

/** Injects faults into a simulated fleet, and counts the conditions under which it did so. */
export class FaultInjector {
  readonly #stage: SimulatedFleet;
  readonly #actions: FaultActions;
  readonly #control: ControlFaults;
  readonly #edge: EdgeFaults;
  readonly #backEnds: BackEndFaults;
  readonly #platform: PlatformFaults;
  /** Counts by `kind|condition`; `kind|times` counts all faults of a kind. */
  readonly faultCounts = new Map<string, number>();

  constructor(stage: SimulatedFleet) {
    this.#stage = stage;
    this.#actions = new FaultActions(stage);
    this.#control = new ControlFaults(stage, this.#actions);
    this.#edge = new EdgeFaults(stage, this.#actions);
    this.#backEnds = new BackEndFaults(stage, this.#actions, this.#edge);
    this.#platform = new PlatformFaults(stage);
  }

  /** Injects one fault of a kind, with targets and duration drawn from the seed. */
  inject(kind: FaultKind): void {
    const strike = this.#drawTargets(kind);
    if (!strike) return;
    this.#count(kind);
    if (isOneOf(CONTROL_FAULTS, kind)) this.#control.inject(kind, strike);
    else if (isOneOf(EDGE_FAULTS, kind)) this.#edge.inject(kind, strike);
    else if (isOneOf(BACK_END_FAULTS, kind)) this.#backEnds.inject(kind, strike);
    else if (isOneOf(PLATFORM_FAULTS, kind)) this.#platform.inject(kind, strike);
    else this.#loseZone(this.#stage.seeded.below(ZONES.length), strike.spanMs);
  }

  /** Kills a node; its connections are reset where they are not cut. */
  kill(node: SimControl | SimAgent): void {
    this.#actions.kill(node);
  }

  /** Ends all faults: heals the network, and resumes and starts all nodes and back ends. */
  healAll(): void {
    const { network, proxies, nodes, findings } = this.#stage;
    findings.log('healing');
    network.healAll();
    this.#platform.heal();
    this.#control.healAll();
    for (const node of [...nodes.values(), ...proxies]) {
      node.resume();
      node.start();
    }
    this.#backEnds.healAll();
    this.#platform.healRoom();
  }

  /** Draws all targets, whichever of them the kind uses, so that a seed's later draws do not depend on the kind. */
  #drawTargets(kind: FaultKind): FaultTargets | undefined {
    const { seeded, controlNodes, agents, proxies, findings } = this.#stage;
    const spanMs = seeded.between(MIN_DURATION_MS, MAX_DURATION_MS);
    const controlNode = seeded.pick(controlNodes);
    const otherControlNode = seeded.pick(controlNodes);
    const agent = seeded.pick(agents);
    const proxy = seeded.pick(proxies);
    const runner = seeded.pick(RUNNERS) ?? 'r0';
    const plain = seeded.pick(PLAIN_BACK_ENDS) ?? 'k0';
    const backEnd = seeded.isLikely(RUNNER_PROBABILITY) ? runner : plain;
    findings.log(
      `fault ${kind} ${controlNode?.id} ${otherControlNode?.id} ${agent?.id} ${proxy?.id} ${runner} ${plain} for ${Math.round(spanMs)}`,
    );
    if (!controlNode || !otherControlNode || !agent || !proxy) return undefined;
    return { spanMs, controlNode, otherControlNode, agent, proxy, runner, plain, backEnd };
  }

  #count(kind: FaultKind): void {
    for (const condition of CONDITIONS) {
      if (!this.#stage.holds(condition)) continue;
      const key = `${kind}|${condition}`;
      this.faultCounts.set(key, (this.faultCounts.get(key) ?? 0) + 1);
    }
    this.faultCounts.set(`${kind}|times`, (this.faultCounts.get(`${kind}|times`) ?? 0) + 1);
  }

  /** Stops a whole zone for a time: its control node, agent and proxy, and all back ends in it. */
  #loseZone(index: number, spanMs: number): void {
    const { scheduler, outside, controlNodes, agents, proxies } = this.#stage;
    const [controlNode, agent, proxy] = [controlNodes[index], agents[index], proxies[index]];
    if (controlNode) this.#actions.restart(controlNode, spanMs);
    if (agent) this.#actions.restart(agent, spanMs);
    if (proxy) this.#actions.restartProxy(proxy, spanMs);
    for (const machine of outside.platform.list) {
      if (machine.zone !== ZONES[index]) continue;
      outside.kill(machine.id, true);
      scheduler.after(spanMs, outside.start.bind(outside, machine.id));
    }
  }
}

function isOneOf<Kind extends string>(kinds: readonly Kind[], kind: string): kind is Kind {
  return kinds.some((other) => kind === other);
}

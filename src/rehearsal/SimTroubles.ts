import { allParts, VOTE_PART } from '../state/PartNames.js';
import type { Scheduler } from './Scheduler.js';
import type { Network } from './Network.js';
import type { Seeded } from './Seeded.js';
import { MOODS, type Mood } from './SimBackend.js';
import type { SimProxy } from './SimProxy.js';
import type { SimAgent } from './SimAgent.js';
import type { SimControl } from './SimControl.js';
import type { SimNode } from './SimNode.js';
import type { SimOutside } from './SimOutside.js';
import type { RunFindings } from './RunFindings.js';
import { CONDITIONS, type Condition, type TroubleKind } from './TroubleKinds.js';

export const RUNNERS = ['r0', 'r1', 'r2', 'r3'] as const;
export const PLAIN = ['k0', 'k1', 'k2'] as const;
export const ZONES = ['a', 'b', 'c'] as const;
const ROOM = 35;
const LIMIT = 2;

export interface Stage {
  readonly scheduler: Scheduler;
  readonly seeded: Seeded;
  readonly network: Network;
  readonly outside: SimOutside;
  readonly nodes: ReadonlyMap<string, SimNode>;
  readonly controlNodes: readonly SimControl[];
  readonly agents: readonly SimAgent[];
  readonly proxies: readonly SimProxy[];
  readonly findings: RunFindings;
  readonly holds: (condition: Condition) => boolean;
}

/** Brings troubles about on a simulated fleet, and counts what each of them met. */
export class SimTroubles {
  readonly #stage: Stage;
  /** How often a trouble came while something was going on. */
  readonly met = new Map<string, number>();

  constructor(stage: Stage) {
    this.#stage = stage;
  }

  bringAbout(kind: TroubleKind): void {
    const { scheduler, network, outside, seeded } = this.#stage;
    const span = seeded.between(300, 9000);
    const controlNode = seeded.pick(this.#stage.controlNodes);
    const other = seeded.pick(this.#stage.controlNodes);
    const agent = seeded.pick(this.#stage.agents);
    const proxy = seeded.pick(this.#stage.proxies);
    const runner = seeded.pick(RUNNERS) ?? 'r0';
    const plain = seeded.pick(PLAIN) ?? 'k0';
    const back = seeded.isLikely(0.6) ? runner : plain;
    this.#stage.findings.say(
      `trouble ${kind} ${controlNode?.id} ${other?.id} ${agent?.id} ${proxy?.id} ${runner} ${plain} for ${Math.round(span)}`,
    );
    if (!controlNode || !other || !agent || !proxy) return;
    this.#count(kind);
    switch (kind) {
      case 'kill-mind':
        this.kill(controlNode);
        scheduler.after(span, controlNode.start.bind(controlNode));
        break;
      case 'kill-core':
        for (const each of this.#stage.controlNodes) {
          this.kill(each);
          scheduler.after(span * seeded.next(), each.start.bind(each));
        }
        break;
      case 'retire-mind':
        controlNode.retire();
        scheduler.after(60, this.kill.bind(this, controlNode));
        scheduler.after(60 + span, controlNode.start.bind(controlNode));
        break;
      case 'freeze-mind':
        controlNode.freeze();
        scheduler.after(span, controlNode.wake.bind(controlNode));
        break;
      // Long enough for a successor to order, and sometimes not.
      case 'freeze-ordering':
        for (const each of this.#stage.controlNodes)
          each.freezeAtOrderMs = seeded.between(300, 12_000);
        break;
      case 'wipe-mind':
        this.#wipe(controlNode, span);
        break;
      case 'rot-file':
        this.#rot(controlNode, span);
        break;
      case 'stall-disk':
        controlNode.isDiskStalled = true;
        scheduler.after(span, controlNode.unstall.bind(controlNode));
        break;
      case 'slow-disk':
        controlNode.diskMs = 400;
        scheduler.after(span, quicken.bind(undefined, controlNode));
        break;
      case 'cut-minds':
        this.#cut([controlNode.id], [other.id], true, span);
        break;
      case 'cut-one-way':
        this.#cut([controlNode.id], [other.id], false, span);
        break;
      case 'isolate-mind':
        this.#cut([controlNode.id], this.#ids(controlNode.id), true, span);
        break;
      case 'isolate-link':
        this.#cut([agent.id], this.#ids(agent.id), true, span);
        for (const id of agent.proxies.keys())
          this.#stage.findings.note({ what: 'cut', node: id, number: span + 100 });
        break;
      case 'cut-link':
        this.#cut([agent.id], [controlNode.id, other.id], seeded.isLikely(0.5), span);
        break;
      case 'isolate-core':
        this.#cut(this.#stage.controlNodes.map(idOf), this.#stage.agents.map(idOf), true, span);
        break;
      case 'kill-link':
        this.kill(agent);
        scheduler.after(span, agent.start.bind(agent));
        break;
      case 'freeze-link':
        agent.freeze();
        scheduler.after(span, agent.wake.bind(agent));
        break;
      case 'kill-flow':
        this.#killProxy(proxy);
        scheduler.after(span, proxy.start.bind(proxy));
        break;
      case 'freeze-flow':
        this.#freezeProxy(proxy, span);
        break;
      case 'restart-flow':
        this.#restartProxy(proxy);
        break;
      case 'loss':
        network.loss = 0.2;
        scheduler.after(span, calm.bind(undefined, network));
        break;
      case 'delay':
        network.mostDelay = 300;
        scheduler.after(span, calm.bind(undefined, network));
        break;
      case 'restart-runner':
        outside.restart(runner);
        break;
      case 'vanish-runner':
        outside.down(runner, true);
        scheduler.after(span, outside.up.bind(outside, runner));
        break;
      case 'dark-runner':
        this.#darken(runner, span);
        break;
      case 'dark-back':
        this.#darken(plain, span);
        break;
      case 'moody-back':
        this.#mood(back, seeded.pick(MOODS) ?? 'sound', span);
        break;
      case 'breaking-plain':
        for (const id of PLAIN) this.#mood(id, 'breaks', span);
        break;
      case 'restart-back':
        this.#restartBack(plain);
        break;
      case 'cut-back':
        this.#cut(this.#stage.agents.map(idOf), [back], seeded.isLikely(0.5), span);
        this.#stage.findings.note({ what: 'cut', node: back, number: span + 100 });
        break;
      case 'mark-runner':
        outside.mark(back, true);
        scheduler.after(span, outside.mark.bind(outside, back, false));
        break;
      case 'mark-dark-runner':
        this.#markDark(runner, span);
        break;
      case 'replace-runner':
        outside.replace(runner, span);
        break;
      case 'shrink-room':
        outside.setRoom(runner, 15);
        scheduler.after(span, outside.setRoom.bind(outside, runner, ROOM));
        break;
      case 'lower-limit':
        outside.setLimit(1);
        scheduler.after(span + 7000, outside.setLimit.bind(outside, LIMIT));
        break;
      case 'platform-down':
        outside.isPlatformUp = false;
        scheduler.after(span, platformUp.bind(undefined, outside));
        break;
      case 'odd-list':
        outside.oddList = seeded.isLikely(0.5) ? 'empty' : 'old';
        scheduler.after(span, platformUp.bind(undefined, outside));
        break;
      case 'crowd':
        this.#crowd(30);
        break;
      case 'zone-lost':
        this.#loseZone(seeded.below(3), span);
        break;
    }
  }

  #count(kind: TroubleKind): void {
    for (const condition of CONDITIONS) {
      if (!this.#stage.holds(condition)) continue;
      const key = `${kind}|${condition}`;
      this.met.set(key, (this.met.get(key) ?? 0) + 1);
    }
    this.met.set(`${kind}|times`, (this.met.get(`${kind}|times`) ?? 0) + 1);
  }

  #ids(but: string): string[] {
    const ids: string[] = [];
    for (const id of [...this.#stage.nodes.keys(), ...RUNNERS, ...PLAIN])
      if (id !== but) ids.push(id);
    return ids;
  }

  #cut(from: readonly string[], to: readonly string[], isBoth: boolean, span: number): void {
    const { scheduler, network } = this.#stage;
    for (const a of from) {
      for (const b of to) {
        if (a === b) continue;
        network.cut(a, b);
        scheduler.after(span, network.heal.bind(network, a, b));
        if (!isBoth) continue;
        network.cut(b, a);
        scheduler.after(span, network.heal.bind(network, b, a));
      }
    }
  }

  /** A killed process's lines are reset at once, where they are not cut. */
  kill(node: SimControl | SimAgent): void {
    const { scheduler, network, nodes } = this.#stage;
    if (!node.isUp) return;
    node.kill();
    for (const [id, other] of nodes) {
      if (id === node.id || network.isCut(node.id, id)) continue;
      scheduler.after(network.delay(), other.perform.bind(other, other.gone.bind(other, node.id)));
    }
  }

  #killProxy(proxy: SimProxy): void {
    if (!proxy.isUp) return;
    proxy.kill();
    for (const agent of this.#stage.agents)
      if (agent.proxies.has(proxy.id))
        this.#stage.scheduler.after(1, agent.perform.bind(agent, agent.gone.bind(agent, proxy.id)));
  }

  #freezeProxy(proxy: SimProxy, span: number): void {
    if (!proxy.isUp || proxy.isFrozen) return;
    proxy.freeze();
    this.#stage.findings.note({ what: 'frozen', node: proxy.id, number: span });
    this.#stage.scheduler.after(span, proxy.wake.bind(proxy));
  }

  /** A planned stop: what runs there may end first. */
  #restartProxy(proxy: SimProxy): void {
    if (!proxy.isUp || proxy.isDraining || proxy.isFrozen) return;
    this.#stage.findings.note({ what: 'planned-stop', node: proxy.id });
    const stage = this.#stage;
    const kill = this.#killProxy.bind(this);
    function stopped(): void {
      kill(proxy);
      stage.scheduler.after(200, proxy.start.bind(proxy));
    }
    proxy.retire(stopped);
  }

  /** It takes as long as a process does to start; then everybody asks. */
  #restartBack(plain: string): void {
    const { scheduler, outside, seeded } = this.#stage;
    const span = seeded.between(100, 1500);
    outside.down(plain, false);
    scheduler.after(span, outside.up.bind(outside, plain));
    scheduler.after(span + seeded.between(0, 600), this.#crowd.bind(this, 40));
  }

  #darken(id: string, span: number): void {
    const { scheduler, outside } = this.#stage;
    outside.setDark(id, true);
    this.#stage.findings.note({ what: 'frozen', node: id, number: span });
    scheduler.after(span, outside.setDark.bind(outside, id, false));
  }

  #mood(id: string, mood: Mood, span: number): void {
    const back = this.#stage.outside.back(id);
    if (!back) return;
    back.mood = mood;
    function mend(): void {
      if (back) back.mood = 'sound';
    }
    this.#stage.scheduler.after(span, mend);
  }

  #markDark(runner: string, span: number): void {
    const { scheduler, outside } = this.#stage;
    // It goes dark with orders on their way to it, is marked meanwhile, and comes back while still leaving.
    this.#darken(runner, 5000);
    scheduler.after(600, outside.mark.bind(outside, runner, true));
    scheduler.after(6000 + span, outside.mark.bind(outside, runner, false));
  }

  /** Everybody asks at once. */
  #crowd(size: number): void {
    for (const proxy of this.#stage.proxies)
      for (let index = 0; index < size; index += 1) proxy.send(proxy.lookup());
  }

  /** A zone lost whole: its core machine, an edge, and all back ends there; then back. */
  #loseZone(index: number, span: number): void {
    const { scheduler, outside, controlNodes, agents, proxies } = this.#stage;
    const [controlNode, agent, proxy] = [controlNodes[index], agents[index], proxies[index]];
    if (controlNode) {
      this.kill(controlNode);
      scheduler.after(span, controlNode.start.bind(controlNode));
    }
    if (agent) {
      this.kill(agent);
      scheduler.after(span, agent.start.bind(agent));
    }
    if (proxy) {
      this.#killProxy(proxy);
      scheduler.after(span, proxy.start.bind(proxy));
    }
    for (const machine of outside.list) {
      if (machine.zone !== ZONES[index]) continue;
      outside.down(machine.id, true);
      scheduler.after(span, outside.up.bind(outside, machine.id));
    }
  }

  /** One disk is lost at a time: the next only once every node counts again. */
  #rot(controlNode: SimControl, span: number): void {
    if (!this.#isWhole()) return;
    this.kill(controlNode);
    controlNode.rot(this.#stage.seeded.pick([VOTE_PART, ...allParts()]) ?? VOTE_PART);
    this.#stage.scheduler.after(span, controlNode.start.bind(controlNode));
  }

  #isWhole(): boolean {
    for (const each of this.#stage.controlNodes)
      if (
        !each.isUp ||
        each.core?.standing.name !== 'sound' ||
        each.core.parts.unsoundParts().length > 0
      )
        return false;
    return true;
  }

  #wipe(controlNode: SimControl, span: number): void {
    if (!this.#isWhole()) return;
    this.kill(controlNode);
    controlNode.wipe();
    this.#stage.scheduler.after(span, controlNode.start.bind(controlNode));
  }

  healAll(): void {
    const { network, outside, controlNodes, proxies, nodes } = this.#stage;
    this.#stage.findings.say('healing');
    network.healAll();
    platformUp(outside);
    outside.setLimit(LIMIT);
    for (const controlNode of controlNodes) {
      controlNode.freezeAtOrderMs = 0;
      controlNode.unstall();
      controlNode.diskMs = 3;
    }
    for (const node of [...nodes.values(), ...proxies]) {
      node.wake();
      node.start();
    }
    for (const back of outside.backs()) {
      back.mood = 'sound';
      outside.setDark(back.id, false);
      // No process is there again at the very moment at which it ended.
      this.#stage.scheduler.after(200, outside.up.bind(outside, back.id));
    }
    for (const id of [...RUNNERS, ...PLAIN]) outside.mark(id, false);
    for (const runner of RUNNERS) outside.setRoom(runner, ROOM);
  }
}

function idOf(node: SimNode): string {
  return node.id;
}
function quicken(controlNode: SimControl): void {
  controlNode.diskMs = 3;
}
function calm(network: Network): void {
  network.loss = 0;
  network.mostDelay = 5;
}
function platformUp(outside: SimOutside): void {
  outside.isPlatformUp = true;
  outside.oddList = 'none';
}

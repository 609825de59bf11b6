import { AgentCore } from '../../agent/agent-core.js';
import { moment, type Moment } from '../../common/ids.js';
import { parseAs } from '../../common/json.js';
import type { KnownVersion, Message } from '../../common/messages.js';
import { DrainingRunnerIds } from '../../dissemination/draining-runner-ids.js';
import { FleetDeltaShape, FleetShape, type FleetRunner } from '../../placement/fleet.js';
import type { FaultCluster, Neighbour } from './fault-cluster.js';

const PROXY = 'flow@proxy';
const ASK_MS = 1000;

/** An agent with the proxy beside it, as far as it hears of leaving runners, next to a cluster of control cores. */
export class AttachedProxy implements Neighbour {
  readonly id: string;
  readonly #cluster: FaultCluster;
  readonly #agent: AgentCore;
  readonly #held = new Map<string, KnownVersion>();
  readonly #leaving = new DrainingRunnerIds();
  /** When the proxy heard first that a runner leaves. */
  readonly #heardAt = new Map<string, Moment>();
  #askedAt = moment(-ASK_MS);
  #nonce = 0;

  constructor(cluster: FaultCluster, id: string, zone: string, seeds: readonly string[]) {
    this.id = id;
    this.#cluster = cluster;
    const settings = {
      me: id,
      zone,
      seeds,
      freshnessBoundMs: 2500,
      incarnation: 7,
      isDeployed: true,
    };
    this.#agent = new AgentCore(settings, moment(cluster.now));
    cluster.join(id, this);
  }

  get controlNode(): string {
    return this.#agent.controlNode;
  }

  /** When its proxy heard first that a runner leaves; nothing if it has not. */
  heardAt(runner: string): number | undefined {
    return this.#heardAt.get(runner);
  }

  tick(now: Moment): void {
    this.#agent.tick(now);
    if (now - this.#askedAt >= ASK_MS) {
      this.#askedAt = now;
      this.#nonce += 1;
      const have = [...this.#held.values(), ...this.#leaving.summary()];
      const ask = { kind: 'freshnessRequest', nonce: this.#nonce, have, members: [] } as const;
      this.#agent.onMessage(now, PROXY, 'flow', { ...ask, members: [] });
    }
    this.#drain(now);
  }

  receive(now: Moment, from: string, message: Message): void {
    this.#agent.onMessage(now, from, from.startsWith('agent') ? 'link' : 'mind', message);
    this.#drain(now);
  }

  gone(now: Moment, id: string): void {
    this.#agent.onDisconnect(now, id);
    this.#drain(now);
  }

  #drain(now: Moment): void {
    for (const effect of this.#agent.drain()) {
      if (effect.do !== 'send') continue;
      if (effect.to === PROXY) this.#hear(now, effect.message);
      else this.#cluster.send(this.id, effect.to, effect.message);
    }
  }

  #hear(now: Moment, message: Message): void {
    if (message.kind === 'leaving') {
      this.#leaving.add(now, message.runners);
      for (const id of message.runners) this.#note(now, id);
      return;
    }
    if (message.kind !== 'update' && message.kind !== 'delta') return;
    const { topic, epoch, count, body } = message;
    this.#held.set(topic, { topic, epoch, count });
    if (topic !== 'fleet') return;
    const runners: readonly FleetRunner[] | undefined =
      message.kind === 'update'
        ? parseAs(FleetShape, body)?.runners
        : parseAs(FleetDeltaShape, body)?.put;
    for (const { id, isLeaving } of runners ?? []) if (isLeaving) this.#note(now, id);
  }

  #note(now: Moment, id: string): void {
    if (!this.#heardAt.has(id)) this.#heardAt.set(id, now);
  }
}

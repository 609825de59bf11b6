import { AgentCore } from '../../agent/agent-core.js';
import { moment, type Moment } from '../../common/ids.js';
import { parseAs } from '../../common/json.js';
import type { KnownVersion, Message } from '../../common/messages.js';
import { DrainingRunnerIds } from '../../dissemination/draining-runner-ids.js';
import { FleetDeltaShape, FleetShape, type FleetRunner } from '../../placement/fleet.js';
import type { FaultCluster, ClusterClient } from './fault-cluster.js';

const PROXY = 'flow@proxy';
const FRESHNESS_REQUEST_INTERVAL_MS = 1000;

/** An agent and its proxy, connected to a cluster of control cores; records when the proxy learns that runners are draining. */
export class AttachedProxy implements ClusterClient {
  readonly id: string;
  readonly #cluster: FaultCluster;
  readonly #agent: AgentCore;
  readonly #heldVersions = new Map<string, KnownVersion>();
  readonly #drainingRunners = new DrainingRunnerIds();
  /** When the proxy first learned that a runner is draining, by its id. */
  readonly #drainSeenAt = new Map<string, Moment>();
  #requestedAt = moment(-FRESHNESS_REQUEST_INTERVAL_MS);
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
    cluster.addClient(id, this);
  }

  /** The control node that the agent is connected to. */
  get controlNode(): string {
    return this.#agent.controlNode;
  }

  /** When the proxy first learned that a runner is draining; undefined if it has not. */
  drainSeenAt(runner: string): number | undefined {
    return this.#drainSeenAt.get(runner);
  }

  /** Ticks the agent, and sends it the proxy's freshness request if due. */
  tick(now: Moment): void {
    this.#agent.tick(now);
    if (now - this.#requestedAt >= FRESHNESS_REQUEST_INTERVAL_MS) {
      this.#requestedAt = now;
      this.#nonce += 1;
      const have = [...this.#heldVersions.values(), ...this.#drainingRunners.summary()];
      const request = { kind: 'freshnessRequest', nonce: this.#nonce, have, members: [] } as const;
      this.#agent.onMessage(now, PROXY, 'flow', { ...request, members: [] });
    }
    this.#drain(now);
  }

  /** Delivers a message to the agent. */
  receive(now: Moment, from: string, message: Message): void {
    this.#agent.onMessage(now, from, from.startsWith('agent') ? 'link' : 'mind', message);
    this.#drain(now);
  }

  /** The connection to a node closed. */
  onDisconnect(now: Moment, id: string): void {
    this.#agent.onDisconnect(now, id);
    this.#drain(now);
  }

  #drain(now: Moment): void {
    for (const effect of this.#agent.drain()) {
      if (effect.do !== 'send') continue;
      if (effect.to === PROXY) this.#onProxyMessage(now, effect.message);
      else this.#cluster.send(this.id, effect.to, effect.message);
    }
  }

  #onProxyMessage(now: Moment, message: Message): void {
    if (message.kind === 'leaving') {
      this.#drainingRunners.add(now, message.runners);
      for (const id of message.runners) this.#recordDrain(now, id);
      return;
    }
    if (message.kind !== 'update' && message.kind !== 'delta') return;
    const { topic, epoch, count, body } = message;
    this.#heldVersions.set(topic, { topic, epoch, count });
    if (topic !== 'fleet') return;
    const runners: readonly FleetRunner[] | undefined =
      message.kind === 'update'
        ? parseAs(FleetShape, body)?.runners
        : parseAs(FleetDeltaShape, body)?.put;
    for (const { id, isLeaving } of runners ?? []) if (isLeaving) this.#recordDrain(now, id);
  }

  #recordDrain(now: Moment, id: string): void {
    if (!this.#drainSeenAt.has(id)) this.#drainSeenAt.set(id, now);
  }
}

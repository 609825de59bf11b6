import { initialWorld } from './fault-free-run.js';
import type { Cluster } from './cluster.js';
import type { Model, Visit } from './explorer.js';
import { idsOf } from './message-text.js';
import type { World } from './protocol.js';
import { stepAt, stepCode, stepOf, type Step } from './steps.js';

/**
 * Every order of steps: at any point any message ever sent may be delivered, any node may check its timers, any disk may
 * finish its writes, and time may pass. A node that takes no step stands for a frozen or a crashed one.
 */
export class Interleavings<Command, Event, Facts, Ghost> implements Model<World<Ghost>> {
  readonly #cluster: Cluster<Command, Event, Facts, Ghost>;

  constructor(cluster: Cluster<Command, Event, Facts, Ghost>) {
    this.#cluster = cluster;
  }

  get name(): string {
    return `${this.#cluster.protocol.name}, every order`;
  }

  initial(): World<Ghost> {
    return initialWorld(this.#cluster);
  }

  key(world: World<Ghost>): string {
    return this.#cluster.key(world);
  }

  describe(_world: World<Ghost>, code: number): string {
    return this.#cluster.describe(stepOf(code));
  }

  expand(world: World<Ghost>, visit: Visit<World<Ghost>>): void {
    const { faults } = this.#cluster.protocol;
    if (world.clock < faults.clockSteps) this.#take(world, stepAt('advance'), visit);
    for (const [node, { pending }] of world.nodes.entries()) {
      this.#take(world, stepAt('tick', node), visit);
      if (pending.length > 0) this.#take(world, stepAt('sync', node), visit);
      if (world.restarts < faults.restarts) this.#take(world, stepAt('restart', node), visit);
      if (world.wipes < faults.wipes) this.#take(world, stepAt('wipe', node), visit);
    }
    for (const id of idsOf(world.messages)) {
      this.#take(world, stepAt('receive', this.#cluster.envelope(id).to, id), visit);
    }
    for (const { node, item } of this.#cluster.commandsOf(world)) {
      this.#take(world, stepAt('command', node, item), visit);
    }
  }

  #take(world: World<Ghost>, step: Step, visit: Visit<World<Ghost>>): void {
    const result = this.#cluster.take(world, step, this.#cluster.protocol.faults.hasLateSyncs);
    if (result && !result.isSame) visit(stepCode(step), result.world, result.violation);
  }
}

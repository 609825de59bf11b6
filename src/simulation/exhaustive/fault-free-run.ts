import type { Message } from '../../common/messages.js';
import type { Cluster } from './cluster.js';
import { idsOf } from './message-text.js';
import type { FaultFreeRun, World } from './protocol.js';
import { stepAt, type Step } from './steps.js';

/** Delivers every message once, in the order of sending, and finishes every write immediately. */
class FaultFreeExecution<Command, Event, Facts, Ghost> implements FaultFreeRun<Command> {
  readonly #cluster: Cluster<Command, Event, Facts, Ghost>;
  #world: World<Ghost>;
  #isHolding = false;
  readonly #frozen = new Set<number>();

  constructor(cluster: Cluster<Command, Event, Facts, Ghost>) {
    this.#cluster = cluster;
    this.#world = cluster.boot();
  }

  get world(): World<Ghost> {
    return this.#world;
  }

  tick(node: number): void {
    this.#run(stepAt('tick', node));
  }

  command(node: number, command: Command): void {
    this.#run(stepAt('command', node, this.#cluster.commandId(command)));
  }

  advance(): void {
    this.#run(stepAt('advance'));
  }

  wipe(node: number): void {
    this.#run(stepAt('wipe', node));
  }

  discardMessages(): void {
    this.#world = { ...this.#world, messages: '' };
  }

  holdMessages(): void {
    this.#isHolding = true;
  }

  deliver(from: number, to: number, kind: Message['kind']): void {
    for (const id of idsOf(this.#world.messages)) {
      const envelope = this.#cluster.envelope(id);
      if (envelope.from !== from || envelope.to !== to) continue;
      if (envelope.messages.some((message) => message.kind === kind)) {
        this.#run(stepAt('receive', to, id));
      }
    }
  }

  freeze(node: number): void {
    this.#frozen.add(node);
  }

  #run(step: Step): void {
    const pendingSteps = [step];
    for (let next = pendingSteps.shift(); next !== undefined; next = pendingSteps.shift()) {
      const result = this.#cluster.take(this.#world, next, false);
      if (!result) continue;
      if (result.violation !== undefined)
        throw new Error(`invariant violated before the search: ${result.violation}`);
      this.#world = result.world;
      for (const id of result.sent) {
        const { to } = this.#cluster.envelope(id);
        if (!this.#frozen.has(to) && !this.#isHolding) pendingSteps.push(stepAt('receive', to, id));
      }
    }
  }
}

/** The initial state of a search, as its protocol prepares it. Throws if a step of the preparation breaks an invariant. */
export function initialWorld<Command, Event, Facts, Ghost>(
  cluster: Cluster<Command, Event, Facts, Ghost>,
): World<Ghost> {
  const run = new FaultFreeExecution(cluster);
  cluster.protocol.prepare(run);
  return run.world;
}

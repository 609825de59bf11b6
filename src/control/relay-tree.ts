import type { Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Relay } from '../dissemination/relay.js';
import type { Sessions } from '../dissemination/sessions.js';
import type { EffectQueue } from './effect-queue.js';

/** The components that the relay tree is computed from, and those that it updates. */
export interface RelayTreeDependencies {
  readonly sessions: Sessions;
  readonly relay: Relay;
  readonly effects: EffectQueue;
  /** The other control nodes that get their updates from this node as well. */
  readonly controlNodeChildren: () => readonly string[];
}

type JoinMessage = Extract<Message, { kind: 'join' }>;

/** The tree that agents relay updates along: assigns each agent its parent, and makes agents without one children of this node. */
export class RelayTree {
  readonly #dependencies: RelayTreeDependencies;
  readonly #parentOf = new Map<string, string>();
  #children: ReadonlySet<string> = new Set();

  constructor(dependencies: RelayTreeDependencies) {
    this.#dependencies = dependencies;
  }

  /** The parent of an agent: '' for a child of this node, and for an unknown agent. */
  parentOf(id: string): string {
    return this.#parentOf.get(id) ?? '';
  }

  /** Whether a node gets its updates from this node. */
  isChild(id: string): boolean {
    return this.#children.has(id);
  }

  /** The nodes that get their updates from this node. */
  children(): Iterable<string> {
    return this.#children;
  }

  /** An agent joined, or joined again because its parent is unreachable. */
  onJoin(now: Moment, from: string, message: JoinMessage): void {
    const { sessions, effects } = this.#dependencies;
    sessions.onJoin(now, from, message.zone, message.address, message);
    if (message.lost !== '') sessions.onUnreachable(now, message.lost);
    // With many sessions the tree is costly to compute: here only if this message may change it, otherwise at the periodic report.
    if (!this.#parentOf.has(from) || message.lost !== '') this.reassignParents();
    effects.send(from, { kind: 'assignParent', parent: this.parentOf(from) });
  }

  /** The connection to a node closed. */
  onDisconnect(id: string): void {
    this.#dependencies.sessions.onDisconnect(id);
    this.#dependencies.relay.removeChild(id);
  }

  /** Recomputes the tree, and notifies the agents whose parent changed. */
  reassignParents(): void {
    const tree = this.#dependencies.sessions.relayParents();
    const children: string[] = [];
    for (const [id, parent] of tree) {
      const previousParent = this.#parentOf.get(id);
      if (previousParent !== undefined && previousParent !== parent)
        this.#dependencies.effects.send(id, { kind: 'assignParent', parent });
      this.#parentOf.set(id, parent);
      if (parent === '') children.push(id);
    }
    for (const id of this.#parentOf.keys()) if (!tree.has(id)) this.#parentOf.delete(id);
    children.push(...this.#dependencies.controlNodeChildren());
    this.#children = new Set(children);
    this.#dependencies.relay.setChildren(children);
  }
}

import type { Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Relay } from '../dissemination/relay.js';
import type { Sessions } from '../dissemination/sessions.js';
import type { EffectQueue } from './effect-queue.js';

/** What the relay tree is made from, and what it feeds. */
export interface RelayTreeDependencies {
  readonly sessions: Sessions;
  readonly relay: Relay;
  readonly effects: EffectQueue;
  /** The other control nodes that get updates from here as well. */
  readonly controlNodeChildren: () => readonly string[];
}

type JoinMessage = Extract<Message, { kind: 'join' }>;

/** The tree along which agents relay updates: assigns each its parent, and makes those without one children of this node. */
export class RelayTree {
  readonly #dependencies: RelayTreeDependencies;
  readonly #parentOf = new Map<string, string>();
  #children: ReadonlySet<string> = new Set();

  constructor(parts: RelayTreeDependencies) {
    this.#dependencies = parts;
  }

  /** The parent of an agent: '' for a child of this node, and for an unknown agent. */
  parentOf(id: string): string {
    return this.#parentOf.get(id) ?? '';
  }

  /** Whether a node gets its updates from here. */
  isChild(id: string): boolean {
    return this.#children.has(id);
  }

  /** The nodes that get their updates from here. */
  children(): Iterable<string> {
    return this.#children;
  }

  /** An agent joined, or joins again because its parent is unreachable. */
  onJoin(now: Moment, from: string, message: JoinMessage): void {
    const { sessions, effects } = this.#dependencies;
    sessions.onJoin(now, from, message.zone, message.address, message);
    if (message.lost !== '') sessions.onUnreachable(now, message.lost);
    // The tree is costly with many sessions: it is computed here only where this message may change it, else at the tick.
    if (!this.#parentOf.has(from) || message.lost !== '') this.reassignParents();
    effects.send(from, { kind: 'assignParent', parent: this.parentOf(from) });
  }

  /** The connection to a node closed. */
  onDisconnect(id: string): void {
    this.#dependencies.sessions.onDisconnect(id);
    this.#dependencies.relay.removeChild(id);
  }

  /** Computes the tree anew, and notifies agents whose parent changed. */
  reassignParents(): void {
    const tree = this.#dependencies.sessions.relayParents();
    const children: string[] = [];
    for (const [id, parent] of tree) {
      const before = this.#parentOf.get(id);
      if (before !== undefined && before !== parent)
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

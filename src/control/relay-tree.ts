import type { Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Relay } from '../dissemination/relay.js';
import type { Sessions } from '../dissemination/sessions.js';
import type { EffectQueue } from './effect-queue.js';

/** What the tree of a control node is drawn from, and whom it serves. */
export interface RelayTreeParts {
  readonly sessions: Sessions;
  readonly relay: Relay;
  readonly effects: EffectQueue;
  /** The other control nodes that are fed from here as well. */
  readonly fedNodes: () => readonly string[];
}

type JoinMessage = Extract<Message, { kind: 'join' }>;

/** Which agent hangs under which: each is told its parent, and those under this node are fed by it. */
export class RelayTree {
  readonly #parts: RelayTreeParts;
  readonly #parentOf = new Map<string, string>();
  #fed: ReadonlySet<string> = new Set();

  constructor(parts: RelayTreeParts) {
    this.#parts = parts;
  }

  /** The parent of an agent: '' for one that hangs under this node, or that is not known. */
  parentOf(id: string): string {
    return this.#parentOf.get(id) ?? '';
  }

  /** Whether a node is fed from here. */
  feeds(id: string): boolean {
    return this.#fed.has(id);
  }

  /** Those that are fed from here. */
  children(): Iterable<string> {
    return this.#fed;
  }

  /** An agent joined, or joins anew since it lost its parent. */
  join(now: Moment, from: string, message: JoinMessage): void {
    const { sessions, effects } = this.#parts;
    sessions.join(now, from, message.zone, message.address, message);
    if (message.lost !== '') sessions.upset(now, message.lost);
    // The tree takes its time with many sessions: it is drawn anew where a word may change it, and else at the tick.
    if (!this.#parentOf.has(from) || message.lost !== '') this.redraw();
    effects.send(from, { kind: 'assignParent', parent: this.parentOf(from) });
  }

  /** The connection to a node closed. */
  gone(id: string): void {
    this.#parts.sessions.gone(id);
    this.#parts.relay.removeChild(id);
  }

  /** Tells those whose parent changed, and keeps feeding those that hang under us. */
  redraw(): void {
    const tree = this.#parts.sessions.tree();
    const children: string[] = [];
    for (const [id, parent] of tree) {
      const before = this.#parentOf.get(id);
      if (before !== undefined && before !== parent)
        this.#parts.effects.send(id, { kind: 'assignParent', parent });
      this.#parentOf.set(id, parent);
      if (parent === '') children.push(id);
    }
    for (const id of this.#parentOf.keys()) if (!tree.has(id)) this.#parentOf.delete(id);
    children.push(...this.#parts.fedNodes());
    this.#fed = new Set(children);
    this.#parts.relay.setChildren(children);
  }
}

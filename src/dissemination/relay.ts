import type { KnownVersion, Message } from '../common/messages.js';
import { mergeFleetText } from '../placement/fleet.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';

export interface Update {
  readonly topic: string;
  readonly version: Version;
  readonly body: string;
}

/** A change of a topic within one epoch, from the count before it. */
interface Delta {
  readonly from: number;
  readonly version: Version;
  readonly body: string;
}

interface TopicState {
  version: Version;
  /** The whole as of some version, and the changes since. */
  snapshot: string;
  deltas: Delta[];
  /** How many of the changes the whole has in it. */
  foldedDeltas: number;
}

/** Topics that travel by changes, with how a change is laid over the whole. */
const MERGERS: Readonly<
  Record<string, (whole: string, deltas: readonly string[]) => string | undefined>
> = { fleet: mergeFleetText };
/** Changes that are kept for those who lack a few; who lacks more gets the whole. */
const MAX_DELTAS = 40;

export interface UpdateSend {
  readonly to: string;
  readonly message: Message;
}

/** Topics in the order in which they are passed on: what stops work goes before what begins it. */
export const TOPICS = ['machines', 'config', 'fleet', 'places'] as const;

/**
 * The newest news of each topic, and the nodes below that get it. A topic travels whole, so that a burst comes down as
 * its last item, or by its changes to whoever has the version before them; nothing ever steps back a version.
 */
export class Relay {
  readonly #topics = new Map<string, TopicState>();
  /** What each child is known to have, or to have been sent. */
  readonly #children = new Map<string, Map<string, Version>>();
  #sentCount = 0;

  get sentCount(): number {
    return this.#sentCount;
  }

  latest(topic: string): Update | undefined {
    const held = this.#topics.get(topic);
    return held && { topic, version: held.version, body: snapshotOf(topic, held) };
  }

  version(topic: string): Version {
    return this.#topics.get(topic)?.version ?? NO_VERSION;
  }

  knownVersions(): KnownVersion[] {
    const list: KnownVersion[] = [];
    for (const [topic, { version }] of this.#topics) list.push({ topic, ...version });
    return list;
  }

  /** Takes news if it is newer than what is held; says whether it was. */
  offer(topic: string, version: Version, body: string): boolean {
    if (!isNewer(version, this.version(topic))) return false;
    this.#topics.set(topic, { version, snapshot: body, deltas: [], foldedDeltas: 0 });
    return true;
  }

  /**
   * Takes a change that follows right on what is held; says whether it did. One that does not is asked for by what is
   * held, as anything that got lost.
   */
  offerDelta(topic: string, version: Version, from: number, body: string): boolean {
    const held = this.#topics.get(topic);
    if (
      !held ||
      MERGERS[topic] === undefined ||
      held.version.epoch !== version.epoch ||
      held.version.count !== from ||
      version.count <= from
    )
      return false;
    held.deltas.push({ from, version, body });
    held.version = version;
    if (held.deltas.length > MAX_DELTAS) {
      snapshotOf(topic, held);
      held.deltas.splice(0, held.deltas.length - MAX_DELTAS / 2);
      held.foldedDeltas = held.deltas.length;
    }
    return true;
  }

  setChildren(children: readonly string[]): void {
    for (const child of this.#children.keys())
      if (!children.includes(child)) this.#children.delete(child);
    for (const child of children)
      if (!this.#children.has(child)) this.#children.set(child, new Map());
  }

  addChild(child: string): void {
    if (!this.#children.has(child)) this.#children.set(child, new Map());
  }

  removeChild(child: string): void {
    this.#children.delete(child);
  }

  /** What a child says it has is truer than what we remember sending: the line may have dropped it. */
  onKnownVersions(child: string, have: readonly KnownVersion[]): void {
    const known = new Map<string, Version>();
    for (const item of have) known.set(item.topic, item);
    this.#children.set(child, known);
  }

  /** The news that children lack, each marked as sent. */
  flush(): UpdateSend[] {
    const sends: UpdateSend[] = [];
    for (const topic of TOPICS) {
      const item = this.#topics.get(topic);
      if (!item) continue;
      for (const [child, known] of this.#children) {
        if (compareVersions(item.version, known.get(topic) ?? NO_VERSION) <= 0) continue;
        const had = known.get(topic) ?? NO_VERSION;
        known.set(topic, item.version);
        const at =
          had.epoch === item.version.epoch
            ? item.deltas.findIndex((delta) => delta.from === had.count)
            : -1;
        if (at < 0) {
          this.#sentCount += 1;
          sends.push({
            to: child,
            message: { kind: 'update', topic, ...item.version, body: snapshotOf(topic, item) },
          });
          continue;
        }
        for (const { from, version, body } of item.deltas.slice(at)) {
          this.#sentCount += 1;
          sends.push({ to: child, message: { kind: 'delta', topic, from, ...version, body } });
        }
      }
    }
    return sends;
  }
}

function bodyOf(delta: Delta): string {
  return delta.body;
}

/** Changes are laid over the whole only when somebody needs it whole. */
function snapshotOf(topic: string, held: TopicState): string {
  const deltas = held.deltas.slice(held.foldedDeltas).map(bodyOf);
  if (deltas.length > 0) held.snapshot = MERGERS[topic]?.(held.snapshot, deltas) ?? held.snapshot;
  held.foldedDeltas = held.deltas.length;
  return held.snapshot;
}

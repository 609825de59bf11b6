import type { KnownVersion, Message } from '../common/messages.js';
import { mergeFleetText } from '../placement/fleet.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';

/** The newest state of a topic, complete. */
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
  /** The complete body as of some version, and the deltas since. */
  snapshot: string;
  deltas: Delta[];
  /** How many of the deltas the snapshot includes. */
  foldedDeltas: number;
}

type Merge = (snapshot: string, deltas: readonly string[]) => string | undefined;

/** Topics that travel by deltas, with how deltas are applied to a snapshot. */
const MERGERS: Readonly<Record<string, Merge>> = { fleet: mergeFleetText };
/** Deltas that are retained; a child that misses more gets the snapshot. */
const MAX_DELTAS = 40;

/** A message of the relay and the child it goes to. */
export interface UpdateSend {
  readonly to: string;
  readonly message: Message;
}

/** Topics in the order in which they are sent: what stops work goes before what starts it. */
export const TOPICS = ['machines', 'config', 'fleet', 'places'] as const;

/**
 * The newest state of each topic, and the children that are sent it.
 *
 * A topic travels as a snapshot, so that of a burst only the last is sent, or by deltas to a child that has the
 * version before them. No topic ever goes back a version.
 */
export class Relay {
  readonly #topics = new Map<string, TopicState>();
  /** The versions that each child is known to have or was sent. */
  readonly #children = new Map<string, Map<string, Version>>();
  #sentCount = 0;

  /** Messages returned by `flush` since the start. */
  get sentCount(): number {
    return this.#sentCount;
  }

  /** The newest state of a topic, if any is known. */
  latest(topic: string): Update | undefined {
    const state = this.#topics.get(topic);
    return state && { topic, version: state.version, body: snapshotOf(topic, state) };
  }

  /** The version of a topic; `NO_VERSION` if none is known. */
  version(topic: string): Version {
    return this.#topics.get(topic)?.version ?? NO_VERSION;
  }

  /** The versions of all known topics, as a request for updates names them. */
  knownVersions(): KnownVersion[] {
    const versions: KnownVersion[] = [];
    for (const [topic, { version }] of this.#topics) versions.push({ topic, ...version });
    return versions;
  }

  /** Stores a snapshot if it is newer than what is known; returns whether it was. */
  offer(topic: string, version: Version, body: string): boolean {
    if (!isNewer(version, this.version(topic))) return false;
    this.#topics.set(topic, { version, snapshot: body, deltas: [], foldedDeltas: 0 });
    return true;
  }

  /**
   * Stores a delta if it follows right on the known version; returns whether it did. One that does not follow
   * shows that a message was dropped, and the caller requests updates.
   */
  offerDelta(topic: string, version: Version, from: number, body: string): boolean {
    const state = this.#topics.get(topic);
    if (!state || MERGERS[topic] === undefined) return false;
    const { epoch, count } = state.version;
    if (epoch !== version.epoch || count !== from || version.count <= from) return false;
    state.deltas.push({ from, version, body });
    state.version = version;
    if (state.deltas.length > MAX_DELTAS) dropOldDeltas(topic, state);
    return true;
  }

  /** Makes these the children, and no others. */
  setChildren(children: readonly string[]): void {
    for (const child of this.#children.keys())
      if (!children.includes(child)) this.#children.delete(child);
    for (const child of children) this.addChild(child);
  }

  /** Adds a child of which no versions are known. */
  addChild(child: string): void {
    if (!this.#children.has(child)) this.#children.set(child, new Map());
  }

  /** Removes a child; it is sent nothing more. */
  removeChild(child: string): void {
    this.#children.delete(child);
  }

  /** A child named its versions. They replace what was recorded on sending, since messages may have been dropped. */
  onKnownVersions(child: string, have: readonly KnownVersion[]): void {
    const known = new Map<string, Version>();
    for (const item of have) known.set(item.topic, item);
    this.#children.set(child, known);
  }

  /** The messages that bring all children up to date; each is recorded as sent. */
  flush(): UpdateSend[] {
    const sends: UpdateSend[] = [];
    for (const topic of TOPICS) {
      const state = this.#topics.get(topic);
      if (!state) continue;
      for (const [child, known] of this.#children) {
        const childVersion = known.get(topic) ?? NO_VERSION;
        if (compareVersions(state.version, childVersion) <= 0) continue;
        known.set(topic, state.version);
        for (const message of messagesSince(topic, state, childVersion)) {
          this.#sentCount += 1;
          sends.push({ to: child, message });
        }
      }
    }
    return sends;
  }
}

/** The deltas since a version if all are retained, else the snapshot. */
function messagesSince(topic: string, state: TopicState, since: Version): readonly Message[] {
  const first =
    since.epoch === state.version.epoch
      ? state.deltas.findIndex((delta) => delta.from === since.count)
      : -1;
  if (first < 0)
    return [{ kind: 'update', topic, ...state.version, body: snapshotOf(topic, state) }];
  return state.deltas
    .slice(first)
    .map(({ from, version, body }) => ({ kind: 'delta', topic, from, ...version, body }));
}

/** Retains the newer half, so that this is needed only once in many deltas. */
function dropOldDeltas(topic: string, state: TopicState): void {
  snapshotOf(topic, state);
  state.deltas.splice(0, state.deltas.length - MAX_DELTAS / 2);
  state.foldedDeltas = state.deltas.length;
}

/** Brings the snapshot up to date. Deltas are applied only when somebody needs it, since that costs with its size. */
function snapshotOf(topic: string, state: TopicState): string {
  const deltas = state.deltas.slice(state.foldedDeltas).map(({ body }) => body);
  if (deltas.length > 0)
    state.snapshot = MERGERS[topic]?.(state.snapshot, deltas) ?? state.snapshot;
  state.foldedDeltas = state.deltas.length;
  return state.snapshot;
}

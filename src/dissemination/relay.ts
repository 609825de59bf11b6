import type { KnownVersion, Message } from '../common/messages.js';
import { mergeFleetText } from '../placement/fleet.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';

/** The newest state of a topic as a snapshot. */
export interface Update {
  /** Name of the topic. */
  readonly topic: string;
  /** Version of the state. */
  readonly version: Version;
  /** The complete state as text. */
  readonly body: string;
}

/** A change of a topic within one epoch, relative to the version with count `from`. */
interface Delta {
  readonly from: number;
  readonly version: Version;
  readonly body: string;
}

interface TopicState {
  version: Version;
  /** The complete body at some version. */
  snapshot: string;
  /** The newest deltas, oldest first. */
  deltas: Delta[];
  /** Number of deltas that the snapshot already includes. */
  foldedDeltas: number;
}

type Merge = (snapshot: string, deltas: readonly string[]) => string | undefined;

/** For each topic that is sent as deltas, the function that applies deltas to a snapshot. */
const MERGERS: Readonly<Record<string, Merge>> = { fleet: mergeFleetText };
/** Maximum number of retained deltas; a child that is further behind is sent the snapshot. */
const MAX_DELTAS = 40;

/** A message of the relay with its receiver. */
export interface UpdateSend {
  /** Node id of the child. */
  readonly to: string;
  /** An `update` or a `delta`. */
  readonly message: Message;
}

/**
 * Topic of the updates by which control nodes report the voters of the newest configuration that they know, committed or
 * not. It is handled by its receiver alone and never relayed.
 */
export const VOTERS_TOPIC = 'voters';

/** Topics in the order in which they are sent: updates that stop work precede updates that start it. */
export const TOPICS = ['machines', 'config', 'fleet', 'places'] as const;

/**
 * Stores the newest state of each topic and relays it to the children.
 *
 * A topic is sent as a snapshot, so that only the last version of a burst is sent, or as deltas to a child that has the
 * version before them. The version of a topic never decreases.
 */
export class Relay {
  readonly #topics = new Map<string, TopicState>();
  /** By child, the versions that it reported or was sent. */
  readonly #children = new Map<string, Map<string, Version>>();
  #sentCount = 0;

  /** Number of messages that `flush` has returned since the start. */
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

  /** The versions of all known topics, in the form of a request for updates. */
  knownVersions(): KnownVersion[] {
    const versions: KnownVersion[] = [];
    for (const [topic, { version }] of this.#topics) versions.push({ topic, ...version });
    return versions;
  }

  /** Stores a snapshot if it is newer than the known version; returns whether it was. */
  offer(topic: string, version: Version, body: string): boolean {
    if (!isNewer(version, this.version(topic))) return false;
    this.#topics.set(topic, { version, snapshot: body, deltas: [], foldedDeltas: 0 });
    return true;
  }

  /**
   * Stores a delta if it directly follows the known version; returns whether it did. A delta that does not follow shows that
   * a message was dropped: the caller then requests updates.
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

  /** Replaces the set of children; the recorded versions of those that remain are retained. */
  setChildren(children: readonly string[]): void {
    for (const child of this.#children.keys())
      if (!children.includes(child)) this.#children.delete(child);
    for (const child of children) this.addChild(child);
  }

  /** Adds a child without known versions, unless it is a child already. */
  addChild(child: string): void {
    if (!this.#children.has(child)) this.#children.set(child, new Map());
  }

  /** Removes a child; it is sent no further messages. */
  removeChild(child: string): void {
    this.#children.delete(child);
  }

  /** Handles the versions that a child reports. They replace those recorded on sending, since messages may have been dropped. */
  onKnownVersions(child: string, have: readonly KnownVersion[]): void {
    const known = new Map<string, Version>();
    for (const item of have) known.set(item.topic, item);
    this.#children.set(child, known);
  }

  /** Returns the messages that bring all children up to date, and records their versions as sent. */
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

/** The deltas since a version if all of them are retained, otherwise the snapshot. */
function messagesSince(topic: string, state: TopicState, since: Version): readonly Message[] {
  const firstIndex =
    since.epoch === state.version.epoch
      ? state.deltas.findIndex((delta) => delta.from === since.count)
      : -1;
  if (firstIndex < 0)
    return [{ kind: 'update', topic, ...state.version, body: snapshotOf(topic, state) }];
  return state.deltas
    .slice(firstIndex)
    .map(({ from, version, body }) => ({ kind: 'delta', topic, from, ...version, body }));
}

/** Drops all but the newest `MAX_DELTAS / 2` deltas, so that the next drop is due only after many more. */
function dropOldDeltas(topic: string, state: TopicState): void {
  snapshotOf(topic, state);
  state.deltas.splice(0, state.deltas.length - MAX_DELTAS / 2);
  state.foldedDeltas = state.deltas.length;
}

/** Brings the snapshot up to date. Deltas are applied only on demand, since the cost grows with the size of the snapshot. */
function snapshotOf(topic: string, state: TopicState): string {
  const deltas = state.deltas.slice(state.foldedDeltas).map(({ body }) => body);
  if (deltas.length > 0)
    state.snapshot = MERGERS[topic]?.(state.snapshot, deltas) ?? state.snapshot;
  state.foldedDeltas = state.deltas.length;
  return state.snapshot;
}

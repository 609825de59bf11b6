import type { Moment } from '../common/ids.js';
import type { KnownVersion } from '../common/messages.js';

/** The name under which the set is compared with what another node holds; it is no topic of the relay. */
const TOPIC = 'leaving';
/** How long an id is kept after it was told last, ms: by then every word on the fleet says so as well. */
const RETENTION_MS = 60_000;

/**
 * The ids of runners that the platform has listed as leaving, as told past the leader. An id is one life of a runner, and
 * one that leaves never comes back: the union of what any nodes hold is right, so the set needs no leader and no version.
 */
export class DrainingRunnerIds {
  readonly #lastSeenAt = new Map<string, Moment>();

  get ids(): readonly string[] {
    return [...this.#lastSeenAt.keys()];
  }

  /** Takes ids, and returns those that were not known: only these are passed on, so that nothing travels in circles. */
  add(now: Moment, ids: readonly string[]): readonly string[] {
    const fresh: string[] = [];
    for (const id of ids) {
      if (!this.#lastSeenAt.has(id)) fresh.push(id);
      this.#lastSeenAt.set(id, now);
    }
    return fresh;
  }

  /** Forgets what was told long ago. */
  tick(now: Moment): void {
    for (const [id, at] of this.#lastSeenAt)
      if (now - at > RETENTION_MS) this.#lastSeenAt.delete(id);
  }

  /** What a node says of its set when it asks for news; nothing for an empty one, as at nearly all times. */
  summary(): readonly KnownVersion[] {
    const { size } = this.#lastSeenAt;
    return size === 0
      ? []
      : [{ topic: TOPIC, epoch: size, count: digestOf(this.#lastSeenAt.keys()) }];
  }

  /** What a node that asked with this lacks: all ids if its set is another one, since some may have been lost on the way. */
  missingFrom(have: readonly KnownVersion[]): readonly string[] {
    const [own] = this.summary();
    if (!own) return [];
    const other = have.find(isOfSet);
    return other?.epoch === own.epoch && other.count === own.count ? [] : this.ids;
  }
}

function isOfSet(item: KnownVersion): boolean {
  return item.topic === TOPIC;
}

/** The same for the same ids in any order. */
function digestOf(ids: Iterable<string>): number {
  let digest = 0;
  for (const id of ids) digest = (digest + hashOf(id)) >>> 0;
  return digest;
}

/** FNV-1a. */
function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  return hash;
}

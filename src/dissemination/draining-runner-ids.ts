import type { Moment } from '../common/ids.js';
import type { KnownVersion } from '../common/messages.js';

/** Topic name of the set's summary in a request for updates; the relay has no topic of this name. */
const TOPIC = 'leaving';
/** How long an id is retained after it was last received. After this time every fleet update contains it as well. */
const RETENTION_MS = 60_000;

/**
 * Ids of the runners that the platform lists as draining, distributed without involving the leader.
 *
 * An id identifies one incarnation of a runner, and draining is never undone. The ids therefore form a grow-only set (CRDT):
 * the union of any nodes' sets is correct, without a leader or a version.
 */
export class DrainingRunnerIds {
  readonly #lastSeenAt = new Map<string, Moment>();

  /** All known ids. */
  get ids(): readonly string[] {
    return [...this.#lastSeenAt.keys()];
  }

  /** Adds ids and returns those that were unknown. Only these are forwarded, so that no id circulates forever. */
  add(now: Moment, ids: readonly string[]): readonly string[] {
    const unknown: string[] = [];
    for (const id of ids) {
      if (!this.#lastSeenAt.has(id)) unknown.push(id);
      this.#lastSeenAt.set(id, now);
    }
    return unknown;
  }

  /** Removes ids that were not received for `RETENTION_MS`. */
  tick(now: Moment): void {
    for (const [id, lastSeenAt] of this.#lastSeenAt)
      if (now - lastSeenAt > RETENTION_MS) this.#lastSeenAt.delete(id);
  }

  /**
   * A summary of the set (size as `epoch`, digest as `count`), sent with a request for updates. It is omitted for an empty
   * set, which is the usual case.
   */
  summary(): readonly KnownVersion[] {
    const { size } = this.#lastSeenAt;
    if (size === 0) return [];
    return [{ topic: TOPIC, epoch: size, count: digestOf(this.#lastSeenAt.keys()) }];
  }

  /** The ids to send to a node with this summary: all if the sets differ, none if they are equal. */
  missingFrom(have: readonly KnownVersion[]): readonly string[] {
    const [own] = this.summary();
    if (!own) return [];
    const other = have.find(({ topic }) => topic === TOPIC);
    return other?.epoch === own.epoch && other.count === own.count ? [] : this.ids;
  }
}

/** A digest that does not depend on the order of the ids. */
function digestOf(ids: Iterable<string>): number {
  let digest = 0;
  for (const id of ids) digest = (digest + hashOf(id)) >>> 0;
  return digest;
}

/** The FNV-1a hash, 32 bits. */
function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  return hash;
}

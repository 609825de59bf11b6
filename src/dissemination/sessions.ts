import { later, type Moment } from '../common/ids.js';
import type { MemberVersion } from '../common/messages.js';
import { compareVersions, type Version } from '../common/version.js';

interface Session {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  /** The newest configuration that all proxies of the member have applied. */
  acked: Version;
  lastHeardAt: Moment;
  isConnected: boolean;
}

/** Maximum number of children of a node in the relay tree. */
export const FAN_OUT = 4;
/** How long a member that a child could not reach is not assigned as a parent. */
const UNREACHABLE_MS = 3000;

/** The sessions of agents with this control node, and the relay tree of their members. */
export class Sessions {
  readonly #sessions = new Map<string, Session>();
  /** Members that a child could not reach, with the time from which they may be parents again. */
  readonly #unreachableUntil = new Map<string, Moment>();
  readonly #idleTimeoutMs: number;
  readonly #retentionMs: number;

  /** A session without a `join` for `idleTimeoutMs` counts as disconnected; after `retentionMs` it is removed. */
  constructor(idleTimeoutMs: number, retentionMs: number) {
    this.#idleTimeoutMs = idleTimeoutMs;
    this.#retentionMs = retentionMs;
  }

  /** Handles a `join` that opens or renews the session of a member. */
  onJoin(now: Moment, id: string, zone: string, address: string, acked: Version): void {
    this.#sessions.set(id, { id, zone, address, acked, lastHeardAt: now, isConnected: true });
  }

  /** Handles the acknowledgement of a configuration by a member. */
  onAck(id: string, version: Version): void {
    const session = this.#sessions.get(id);
    if (session && compareVersions(version, session.acked) > 0) session.acked = version;
  }

  /** Handles the report of a child that could not reach this member: it is not a parent for `UNREACHABLE_MS`. */
  onUnreachable(now: Moment, id: string): void {
    if (this.#sessions.has(id)) this.#unreachableUntil.set(id, later(now, UNREACHABLE_MS));
  }

  /** Handles the closing of a member's connection. */
  onDisconnect(id: string): void {
    const session = this.#sessions.get(id);
    if (session) session.isConnected = false;
  }

  /** Marks idle sessions as disconnected and removes those idle for longer than the retention. */
  tick(now: Moment): void {
    for (const session of [...this.#sessions.values()]) {
      const idleMs = now - session.lastHeardAt;
      if (idleMs > this.#idleTimeoutMs) session.isConnected = false;
      // Retained until the freshness bound has certainly passed: a reply in flight may still confirm the member.
      if (idleMs > this.#retentionMs) this.#sessions.delete(session.id);
    }
    for (const [id, until] of this.#unreachableUntil)
      if (now >= until) this.#unreachableUntil.delete(id);
  }

  /** Members with an open session. */
  connectedMembers(): readonly MemberVersion[] {
    return this.#members((session) => session.isConnected);
  }

  /** Members that may still be fresh: the connected ones, and those whose last `join` is within the retention. */
  recentMembers(): readonly MemberVersion[] {
    return this.#members(() => true);
  }

  #members(isIncluded: (session: Session) => boolean): MemberVersion[] {
    const members: MemberVersion[] = [];
    for (const session of this.#sessions.values()) {
      const { id, zone, address, acked } = session;
      if (isIncluded(session)) members.push({ id, zone, address, ...acked });
    }
    return members;
  }

  /** The parent of each connected member by id; an empty string for children of the control node itself. */
  relayParents(): ReadonlyMap<string, string> {
    const parents = new Map<string, string>();
    const ids: string[] = [];
    for (const session of this.#sessions.values()) if (session.isConnected) ids.push(session.id);
    ids.sort();
    // Each zone has a tree of its own, so that an update enters a zone only through its roots.
    for (const members of this.#reachableIdsByZone(ids).values()) {
      for (const [index, id] of members.entries()) parents.set(id, parentAt(members, index));
    }
    // An unreachable member becomes a leaf, a direct child of the control node.
    for (const id of ids) if (this.#unreachableUntil.has(id)) parents.set(id, '');
    return parents;
  }

  #reachableIdsByZone(ids: readonly string[]): ReadonlyMap<string, readonly string[]> {
    const byZone = new Map<string, string[]>();
    for (const id of ids) {
      if (this.#unreachableUntil.has(id)) continue;
      const zone = this.#sessions.get(id)?.zone ?? '';
      byZone.set(zone, [...(byZone.get(zone) ?? []), id]);
    }
    return byZone;
  }
}

/** The parent of the member at this index: the first `FAN_OUT` members are roots; the others fill the tree level by level. */
function parentAt(members: readonly string[], index: number): string {
  return index < FAN_OUT ? '' : (members[Math.floor(index / FAN_OUT) - 1] ?? '');
}

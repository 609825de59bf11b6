import { later, type Moment } from '../common/ids.js';
import type { MemberVersion } from '../common/messages.js';
import { compareVersions, type Version } from '../common/version.js';

interface Session {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  /** The newest configuration by which all proxies of the member work. */
  acked: Version;
  lastHeardAt: Moment;
  isConnected: boolean;
}

/** How many children a node of the relay tree has at most. */
export const FAN_OUT = 4;
/** For how long a member that a child could not reach is no parent. */
const UNREACHABLE_MS = 3000;

/** The sessions of agents at this control node, and the relay tree that they form. */
export class Sessions {
  readonly #sessions = new Map<string, Session>();
  /** Members that a child could not reach, with when they may be parents again. */
  readonly #unreachable = new Map<string, Moment>();
  readonly #idleTimeoutMs: number;
  readonly #retentionMs: number;

  /** A session without `join` for `idleTimeoutMs` is disconnected; after `retentionMs` it is forgotten. */
  constructor(idleTimeoutMs: number, retentionMs: number) {
    this.#idleTimeoutMs = idleTimeoutMs;
    this.#retentionMs = retentionMs;
  }

  /** A member joined, or renewed its session. */
  onJoin(now: Moment, id: string, zone: string, address: string, acked: Version): void {
    this.#sessions.set(id, { id, zone, address, acked, lastHeardAt: now, isConnected: true });
  }

  /** A member acknowledged a configuration. */
  onAck(id: string, version: Version): void {
    const session = this.#sessions.get(id);
    if (session && compareVersions(version, session.acked) > 0) session.acked = version;
  }

  /** A child could not reach this member: it becomes no parent for `UNREACHABLE_MS`. */
  onUnreachable(now: Moment, id: string): void {
    if (this.#sessions.has(id)) this.#unreachable.set(id, later(now, UNREACHABLE_MS));
  }

  /** The connection of a member closed. */
  onDisconnect(id: string): void {
    const session = this.#sessions.get(id);
    if (session) session.isConnected = false;
  }

  /** Expires idle sessions. */
  tick(now: Moment): void {
    for (const session of [...this.#sessions.values()]) {
      const idleMs = now - session.lastHeardAt;
      if (idleMs > this.#idleTimeoutMs) session.isConnected = false;
      // Until its freshness bound has surely passed a member may still be confirmed by a reply on its way.
      if (idleMs > this.#retentionMs) this.#sessions.delete(session.id);
    }
    for (const [id, until] of this.#unreachable) if (now >= until) this.#unreachable.delete(id);
  }

  /** Members with an open session. */
  connectedMembers(): readonly MemberVersion[] {
    return this.#members((session) => session.isConnected);
  }

  /** Members that may still be fresh: the connected, and those disconnected less than the retention ago. */
  recentMembers(): readonly MemberVersion[] {
    return this.#members(() => true);
  }

  #members(isWanted: (session: Session) => boolean): MemberVersion[] {
    const members: MemberVersion[] = [];
    for (const session of this.#sessions.values()) {
      const { id, zone, address, acked } = session;
      if (isWanted(session)) members.push({ id, zone, address, ...acked });
    }
    return members;
  }

  /** The parent of each connected member; empty for children of the control node itself. */
  relayParents(): ReadonlyMap<string, string> {
    const parents = new Map<string, string>();
    const ids: string[] = [];
    for (const session of this.#sessions.values()) if (session.isConnected) ids.push(session.id);
    ids.sort();
    // Each zone is a tree of its own, so that an update enters a zone at its roots alone.
    for (const members of this.#reachableByZone(ids).values()) {
      for (const [index, id] of members.entries()) parents.set(id, parentAt(members, index));
    }
    // A member that could not be reached is a leaf below the control node.
    for (const id of ids) if (this.#unreachable.has(id)) parents.set(id, '');
    return parents;
  }

  #reachableByZone(ids: readonly string[]): ReadonlyMap<string, readonly string[]> {
    const byZone = new Map<string, string[]>();
    for (const id of ids) {
      if (this.#unreachable.has(id)) continue;
      const zone = this.#sessions.get(id)?.zone ?? '';
      byZone.set(zone, [...(byZone.get(zone) ?? []), id]);
    }
    return byZone;
  }
}

/** The parent of the member at this index: the first `FAN_OUT` are roots, and the others fill the tree level by level. */
function parentAt(members: readonly string[], index: number): string {
  return index < FAN_OUT ? '' : (members[Math.floor(index / FAN_OUT) - 1] ?? '');
}

import { later, type Moment } from '../common/ids.js';
import type { MemberVersion } from '../common/messages.js';
import { compareVersions, type Version } from '../common/version.js';

interface Session {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  acked: Version;
  lastHeardAt: Moment;
  isConnected: boolean;
}

export const FAN_OUT = 4;

/** The sessions that stand with this control node, and the relay tree of their links. */
export class Sessions {
  readonly #sessions = new Map<string, Session>();
  readonly #unreachable = new Map<string, Moment>();
  readonly #idleTimeoutMs: number;
  readonly #retentionMs: number;

  constructor(silentMs: number, rememberMs: number) {
    this.#idleTimeoutMs = silentMs;
    this.#retentionMs = rememberMs;
  }

  onJoin(now: Moment, id: string, zone: string, address: string, acked: Version): void {
    this.#sessions.set(id, { id, zone, address, acked, lastHeardAt: now, isConnected: true });
  }

  onAck(id: string, version: Version): void {
    const session = this.#sessions.get(id);
    if (session && compareVersions(version, session.acked) > 0) session.acked = version;
  }

  /** A child could not reach this node: nobody is hung under it for a while. */
  onUnreachable(now: Moment, id: string): void {
    if (this.#sessions.has(id)) this.#unreachable.set(id, later(now, 3000));
  }

  onDisconnect(id: string): void {
    const session = this.#sessions.get(id);
    if (session) session.isConnected = false;
  }

  tick(now: Moment): void {
    for (const session of [...this.#sessions.values()]) {
      if (now - session.lastHeardAt > this.#idleTimeoutMs) session.isConnected = false;
      // A lost member is remembered until it has surely gone blind, since a confirmation may still be on its way to it.
      if (now - session.lastHeardAt > this.#retentionMs) this.#sessions.delete(session.id);
    }
    for (const [id, until] of this.#unreachable) if (now >= until) this.#unreachable.delete(id);
  }

  /** Members whose sessions stand. */
  connectedMembers(): readonly MemberVersion[] {
    return this.#list(true);
  }

  /** Members that may still be fresh: those up and those lost a short while ago. */
  recentMembers(): readonly MemberVersion[] {
    return this.#list(false);
  }

  #list(onlyUp: boolean): MemberVersion[] {
    const list: MemberVersion[] = [];
    for (const { id, zone, address, acked, isConnected: isUp } of this.#sessions.values())
      if (isUp || !onlyUp) list.push({ id, zone, address, ...acked });
    return list;
  }

  /** Each member's parent: '' for those that hang under the control node itself. */
  relayParents(): ReadonlyMap<string, string> {
    const parents = new Map<string, string>();
    const byZone = new Map<string, string[]>();
    const ids: string[] = [];
    for (const session of this.#sessions.values()) if (session.isConnected) ids.push(session.id);
    ids.sort();
    // Each zone is a tree of its own, so that news crosses into it at its roots alone.
    for (const id of ids) {
      if (this.#unreachable.has(id)) continue;
      const zone = this.#sessions.get(id)?.zone ?? '';
      byZone.set(zone, [...(byZone.get(zone) ?? []), id]);
    }
    for (const sound of byZone.values()) {
      for (const [index, id] of sound.entries())
        parents.set(id, index < FAN_OUT ? '' : (sound[Math.floor(index / FAN_OUT) - 1] ?? ''));
    }
    // Those that somebody could not reach carry nobody; they hang under the control node until they are trusted again.
    for (const id of ids) if (this.#unreachable.has(id)) parents.set(id, '');
    return parents;
  }
}

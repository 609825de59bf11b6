import { later, type Moment } from '../common/ids.js';
import type { MemberVersion } from '../common/messages.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';
import type { Sessions } from '../dissemination/sessions.js';
import type { Commit } from './operator-edits.js';

/** The members of one control node, and when it reported them. */
interface ReportedMembers {
  readonly members: readonly MemberVersion[];
  readonly at: Moment;
}

/** Allowance, in milliseconds, for clock drift and message delay: past the bound plus this, an unconfirmed member is stale. */
const FRESHNESS_SLACK_MS = 200;
/** Stands for members that cannot be known; it acknowledges nothing. */
const UNKNOWN: MemberVersion = { id: 'unknown', zone: '', address: '', epoch: 0, count: 0 };

/** The members (agents and their proxies) that may still work by an older configuration, and what each acknowledged. */
export class KnownMembers {
  readonly #sessions: Sessions;
  readonly #freshnessBoundMs: number;
  /** Until then there may be unknown members: ones confirmed fresh through this node before its process started. */
  readonly #unknownUntil: Moment;
  /** When each member last requested a confirmation through this node, with a session here or not. */
  readonly #requestedAt = new Map<string, Moment>();
  /** The members of other control nodes, as those reported them, by node. */
  readonly #reportedByNode = new Map<string, ReportedMembers>();
  readonly #acked = new Map<string, Version>();

  /** A member not confirmed fresh within `freshnessBoundMs` rejects new work. */
  constructor(sessions: Sessions, freshnessBoundMs: number, now: Moment) {
    this.#sessions = sessions;
    this.#freshnessBoundMs = freshnessBoundMs;
    this.#unknownUntil = later(now, freshnessBoundMs + FRESHNESS_SLACK_MS);
  }

  /** Forgets members that have been silent for twice the freshness bound. */
  tick(now: Moment): void {
    const rememberMs = this.#freshnessBoundMs * 2;
    for (const [id, at] of this.#requestedAt)
      if (now - at > rememberMs) this.#requestedAt.delete(id);
    for (const [node, heard] of this.#reportedByNode)
      if (now - heard.at > rememberMs) this.#reportedByNode.delete(node);
  }

  /** These members requested a freshness confirmation through this node. */
  onRequest(now: Moment, ids: readonly string[]): void {
    for (const id of ids) this.#requestedAt.set(id, now);
  }

  /** Another control node reported its members. */
  onMembersReported(now: Moment, node: string, members: readonly MemberVersion[]): void {
    this.#reportedByNode.set(node, { members, at: now });
  }

  /** A member acknowledged a version of the configuration. */
  onAck(id: string, version: Version): void {
    if (isNewer(version, this.#acked.get(id) ?? NO_VERSION))
      this.#acked.set(id, { epoch: version.epoch, count: version.count });
  }

  /** The newest configuration that a member acknowledged, or else the one that it reported. */
  ackedBy(member: MemberVersion): Version {
    return this.#acked.get(member.id) ?? member;
  }

  /** Members with a present or recent session here, and those recently confirmed fresh through this node. */
  own(): MemberVersion[] {
    const list = [...this.#sessions.recentMembers()];
    const ids = new Set<string>();
    for (const member of list) ids.add(member.id);
    for (const id of this.#requestedAt.keys())
      if (!ids.has(id)) list.push({ id, zone: '', address: id, epoch: 0, count: 0 });
    return list;
  }

  /** All known members; one may occur more than once. */
  all(): MemberVersion[] {
    const list = this.own();
    for (const heard of this.#reportedByNode.values()) list.push(...heard.members);
    return list;
  }

  /** All known members, and after a start one that never acknowledges: a commit is then in force only once all others are stale. */
  possible(now: Moment): MemberVersion[] {
    const list = this.all();
    if (now < this.#unknownUntil) list.push(UNKNOWN);
    return list;
  }

  /** How many members are known, at least one. */
  count(): number {
    const ids = new Set<string>();
    for (const member of this.all()) ids.add(member.id);
    return Math.max(1, ids.size);
  }

  /** Whether no member works by an older configuration than the committed one any more. */
  isInForce(now: Moment, commit: Commit): boolean {
    // Whoever has not acknowledged by then was last confirmed fresh before the commit, so that it rejects new work.
    return (
      now >= later(commit.at, this.#freshnessBoundMs + FRESHNESS_SLACK_MS) ||
      this.#haveAllAcked(commit.members, commit.version)
    );
  }

  #haveAllAcked(members: ReadonlySet<string>, version: Version): boolean {
    for (const id of members)
      if (compareVersions(this.#acked.get(id) ?? NO_VERSION, version) < 0) return false;
    return true;
  }
}

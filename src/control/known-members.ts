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
/** Placeholder for members that this node cannot know; it never acknowledges anything. */
const UNKNOWN_MEMBER: MemberVersion = { id: 'unknown', zone: '', address: '', epoch: 0, count: 0 };

/** The members (agents and their proxies) that may still use an older configuration, and the version that each acknowledged. */
export class KnownMembers {
  readonly #sessions: Sessions;
  readonly #freshnessBoundMs: number;
  /** Unknown members may exist until then: members that were confirmed fresh through this node before its process started. */
  readonly #unknownUntil: Moment;
  /** When each member last requested a confirmation through this node, whether it has a session here or not. */
  readonly #requestedAt = new Map<string, Moment>();
  /** The members of other control nodes, as those reported them, by node. */
  readonly #reportedByNode = new Map<string, ReportedMembers>();
  readonly #acked = new Map<string, Version>();

  /** A member that was not confirmed fresh within `freshnessBoundMs` rejects new work. */
  constructor(sessions: Sessions, freshnessBoundMs: number, now: Moment) {
    this.#sessions = sessions;
    this.#freshnessBoundMs = freshnessBoundMs;
    this.#unknownUntil = later(now, freshnessBoundMs + FRESHNESS_SLACK_MS);
  }

  /** Removes members that have been silent for twice the freshness bound. */
  tick(now: Moment): void {
    const retentionMs = this.#freshnessBoundMs * 2;
    for (const [id, at] of this.#requestedAt)
      if (now - at > retentionMs) this.#requestedAt.delete(id);
    for (const [node, report] of this.#reportedByNode)
      if (now - report.at > retentionMs) this.#reportedByNode.delete(node);
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

  /** The newest version of the configuration that a member acknowledged, or else the version that it reported. */
  ackedBy(member: MemberVersion): Version {
    return this.#acked.get(member.id) ?? member;
  }

  /** Members with a current or recent session here, and those that recently requested a confirmation through this node. */
  own(): MemberVersion[] {
    const list = [...this.#sessions.recentMembers()];
    const ids = new Set<string>();
    for (const member of list) ids.add(member.id);
    for (const id of this.#requestedAt.keys())
      if (!ids.has(id)) list.push({ id, zone: '', address: id, epoch: 0, count: 0 });
    return list;
  }

  /** All known members; a member may occur more than once. */
  all(): MemberVersion[] {
    const list = this.own();
    for (const report of this.#reportedByNode.values()) list.push(...report.members);
    return list;
  }

  /**
   * All known members, and soon after a start an unknown one that never acknowledges: a commit is then in force only once
   * each member that has not acknowledged it is stale.
   */
  possible(now: Moment): MemberVersion[] {
    const list = this.all();
    if (now < this.#unknownUntil) list.push(UNKNOWN_MEMBER);
    return list;
  }

  /** The number of known members, at least 1. */
  count(): number {
    const ids = new Set<string>();
    for (const member of this.all()) ids.add(member.id);
    return Math.max(1, ids.size);
  }

  /** Whether no member uses a configuration older than the committed one any more. */
  isInForce(now: Moment, commit: Commit): boolean {
    // After this time a member that has not acknowledged was last confirmed fresh before the commit, so it rejects new work.
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

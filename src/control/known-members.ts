import { later, type Moment } from '../common/ids.js';
import type { MemberVersion } from '../common/messages.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/version.js';
import type { Sessions } from '../dissemination/sessions.js';
import type { Commit } from './operator-edits.js';

interface ReportedMembers {
  readonly members: readonly MemberVersion[];
  readonly at: Moment;
}

/** Clocks differ in rate, and a confirmation takes its way: whoever is not fresh by so long after is surely blind. */
const FRESHNESS_SLACK_MS = 200;
/** Stands for all that cannot be known; it acknowledges nothing. */
const UNKNOWN: MemberVersion = { id: 'unknown', zone: '', address: '', epoch: 0, count: 0 };

/** The members (agents and their proxies) that may still work by an older configuration, and what each acknowledged. */
export class KnownMembers {
  readonly #sessions: Sessions;
  readonly #freshnessBoundMs: number;
  /** Until then some may be on no list of ours that were confirmed fresh through us before we started. */
  readonly #unknownUntil: Moment;
  /** Members that asked through us, with a session here or not, and when. */
  readonly #requestedAt = new Map<string, Moment>();
  /** What other control nodes told of theirs, by node. */
  readonly #reportedByNode = new Map<string, ReportedMembers>();
  readonly #acked = new Map<string, Version>();

  /** A member not confirmed fresh within `blindMs` turns new work away. */
  constructor(sessions: Sessions, blindMs: number, now: Moment) {
    this.#sessions = sessions;
    this.#freshnessBoundMs = blindMs;
    this.#unknownUntil = later(now, blindMs + FRESHNESS_SLACK_MS);
  }

  tick(now: Moment): void {
    const rememberMs = this.#freshnessBoundMs * 2;
    for (const [id, at] of this.#requestedAt)
      if (now - at > rememberMs) this.#requestedAt.delete(id);
    for (const [node, heard] of this.#reportedByNode)
      if (now - heard.at > rememberMs) this.#reportedByNode.delete(node);
  }

  /** These will be fresh by a confirmation that goes through us. */
  onRequest(now: Moment, ids: readonly string[]): void {
    for (const id of ids) this.#requestedAt.set(id, now);
  }

  /** Another control node told its members. */
  onMembersReported(now: Moment, node: string, members: readonly MemberVersion[]): void {
    this.#reportedByNode.set(node, { members, at: now });
  }

  onAck(id: string, version: Version): void {
    if (isNewer(version, this.#acked.get(id) ?? NO_VERSION))
      this.#acked.set(id, { epoch: version.epoch, count: version.count });
  }

  /** The newest configuration that a member acknowledged, or has by its own word. */
  ackedBy(member: MemberVersion): Version {
    return this.#acked.get(member.id) ?? member;
  }

  /** Those with a session here now or lately, and those confirmed fresh through us lately, wherever their session is. */
  own(): MemberVersion[] {
    const list = [...this.#sessions.recentMembers()];
    const ids = new Set<string>();
    for (const member of list) ids.add(member.id);
    for (const id of this.#requestedAt.keys())
      if (!ids.has(id)) list.push({ id, zone: '', address: id, epoch: 0, count: 0 });
    return list;
  }

  /** All that this node knows of; one may be named more than once. */
  all(): MemberVersion[] {
    const list = this.own();
    for (const heard of this.#reportedByNode.values()) list.push(...heard.members);
    return list;
  }

  /** With one that acks nothing while we have just started and cannot know them all: a yes then waits until all are surely blind. */
  possible(now: Moment): MemberVersion[] {
    const list = this.all();
    if (now < this.#unknownUntil) list.push(UNKNOWN);
    return list;
  }

  /** How many there are, at least one. */
  count(): number {
    const ids = new Set<string>();
    for (const member of this.all()) ids.add(member.id);
    return Math.max(1, ids.size);
  }

  /** Whether nobody works by an older configuration than this one any more. */
  isInForce(now: Moment, commit: Commit): boolean {
    // Whoever has not acked by then has not been confirmed fresh since before the write was held: it is blind.
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

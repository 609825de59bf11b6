import { createHash } from 'node:crypto';
import { later, moment, partName, type NodeId, type Moment, type PartName } from '../common/Ids.js';
import type { CopyMessage, MemberMessage, Message } from '../common/Messages.js';
import type { Quorum } from '../common/Quorum.js';
import { compareVersions, isNewer, NO_VERSION, type Version } from '../common/Version.js';
import { CONFIG_PART } from './PartNames.js';
import type { StoredPart } from './Store.js';

export type ReplicatedStateEffect =
  | { readonly do: 'send'; readonly to: NodeId; readonly message: Message }
  | {
      readonly do: 'store';
      readonly part: PartName;
      readonly version: Version;
      readonly body: string;
    }
  /** The write is held by a synced majority of voters, and by all of them if they were prompt. */
  | {
      readonly do: 'committed';
      readonly part: PartName;
      readonly version: Version;
      readonly body: string;
      readonly tokens: readonly number[];
      readonly members: readonly MemberMessage[];
    }
  /** The newest configuration that was read while beginning to own the state names other voters than were known here. */
  | { readonly do: 'voters'; readonly version: Version; readonly body: string }
  /** Every part has been read from a majority and rewritten in our epoch. */
  | { readonly do: 'serving' };

interface Copy {
  version: Version;
  body: string;
  isSound: boolean;
}

interface Write {
  readonly version: Version;
  readonly body: string;
  readonly tokens: readonly number[];
  readonly acked: Set<NodeId>;
  readonly members: MemberMessage[];
  sentAt: Moment;
  /** When a majority had it; the last voter is then given a moment more. */
  majorityAt: Moment | undefined;
}

interface Owned {
  copy: { version: Version; body: string } | undefined;
  readonly read: Set<NodeId>;
  newest: { version: Version; body: string };
  writing: Write | undefined;
  next: { body: string; tokens: number[] } | undefined;
}

const RESEND_MS = 300;
const PROMPT_MS = 60;
const MEND_MS = 2000;

/**
 * The parts of the shared state at one voter: replica of all, and owner of all while it leads.
 * Each part has its own versions, writes and files; nothing orders one part against another.
 */
export class ReplicatedState {
  readonly #me: NodeId;
  #quorum: Quorum;
  readonly #names: readonly PartName[];
  readonly #copies = new Map<PartName, Copy>();
  #epoch = 0;
  readonly #owned = new Map<PartName, Owned>();
  #isServing = false;
  #nonce = 0;
  #readSentAt: Moment = moment(0);
  #mendedAt: Moment = moment(0);
  #mends = 0;
  #effects: ReplicatedStateEffect[] = [];
  readonly #quorumOf: (configBody: string) => Quorum | undefined;

  constructor(
    me: NodeId,
    quorum: Quorum,
    names: readonly PartName[],
    stored: readonly StoredPart[],
    quorumOf: (configBody: string) => Quorum | undefined = namesNobody,
  ) {
    this.#me = me;
    this.#quorumOf = quorumOf;
    this.#quorum = quorum;
    this.#names = names;
    for (const part of names)
      this.#copies.set(part, { version: NO_VERSION, body: '', isSound: true });
    for (const item of stored)
      if (this.#copies.has(item.part))
        this.#copies.set(item.part, {
          version: item.version,
          body: item.body,
          isSound: item.isSound,
        });
  }

  get isServing(): boolean {
    return this.#isServing;
  }
  get mends(): number {
    return this.#mends;
  }

  setQuorum(quorum: Quorum): void {
    this.#quorum = quorum;
  }

  drain(): ReplicatedStateEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  versionOf(part: PartName): Version {
    return this.#copies.get(part)?.version ?? NO_VERSION;
  }

  replicaBody(part: PartName): string {
    return this.#copies.get(part)?.body ?? '';
  }

  unsoundParts(): readonly PartName[] {
    const unsound: PartName[] = [];
    for (const [part, copy] of this.#copies) if (!copy.isSound) unsound.push(part);
    return unsound;
  }

  copies(): CopyMessage[] {
    const list: CopyMessage[] = [];
    for (const [part, copy] of this.#copies)
      list.push({ part, ...copy.version, body: copy.body, sound: copy.isSound });
    return list;
  }

  /** Takes copies read while being repaired, and returns the parts that must reach the disk before the voter counts again. */
  adopt(copies: readonly CopyMessage[]): ReadonlySet<PartName> {
    const storing = new Set<PartName>();
    for (const item of copies) {
      const part = partName(item.part);
      const known = this.#copies.get(part);
      if (!known || !item.sound || (known.isSound && !isNewer(item, known.version))) continue;
      const version = { epoch: item.epoch, count: item.count };
      this.#copies.set(part, { version, body: item.body, isSound: true });
      this.#effects.push({ do: 'store', part, version, body: item.body });
      storing.add(part);
    }
    return storing;
  }

  // ---- owner

  /** Begins to own all parts in this epoch: read a majority of each, rewrite the newest, then serve. */
  lead(now: Moment, epoch: number): void {
    this.#epoch = epoch;
    this.#isServing = false;
    this.#owned.clear();
    for (const part of this.#names) {
      this.#owned.set(part, {
        copy: undefined,
        read: new Set(),
        newest: { version: NO_VERSION, body: '' },
        writing: undefined,
        next: undefined,
      });
    }
    this.#nonce += 1;
    this.#askAll(now);
  }

  /** Writes under way get no yes from us any more; whether they hold is for the next owner to find. */
  stub(): void {
    this.#epoch = 0;
    this.#isServing = false;
    this.#owned.clear();
  }

  /** The body as last written here, committed or not. */
  body(part: PartName): string {
    return this.#owned.get(part)?.copy?.body ?? '';
  }

  /** Whether a write of this part is still without its majority. */
  isWriting(part: PartName): boolean {
    return this.#owned.get(part)?.writing !== undefined;
  }

  /** One write of a part is under way at a time; what comes meanwhile is one next write, of the newest body. Returns its count. */
  write(now: Moment, part: PartName, body: string, token: number): number {
    const owned = this.#owned.get(part);
    if (!owned?.copy) throw new Error(`${part} is not owned here`);
    const count = (owned.writing?.version.count ?? owned.copy.version.count) + 1;
    if (owned.writing) owned.next = { body, tokens: [...(owned.next?.tokens ?? []), token] };
    else this.#send(now, part, owned, { epoch: this.#epoch, count }, body, [token]);
    owned.copy = { version: owned.copy.version, body };
    return count;
  }

  tick(now: Moment): void {
    if (this.#epoch === 0) return;
    let isReading = false;
    for (const [part, owned] of this.#owned) {
      if (!owned.copy && !owned.writing) isReading = true;
      const writing = owned.writing;
      if (!writing) continue;
      this.#settle(now, part, owned);
      if (owned.writing === writing && now >= later(writing.sentAt, RESEND_MS)) {
        writing.sentAt = now;
        for (const peer of this.#quorum.all)
          if (!writing.acked.has(peer) && peer !== this.#me) this.#sendWrite(peer, part, writing);
      }
    }
    if (isReading && now >= later(this.#readSentAt, RESEND_MS)) this.#askAll(now);
    if (this.#isServing && now >= later(this.#mendedAt, MEND_MS)) {
      this.#mendedAt = now;
      for (const peer of this.#quorum.all)
        if (peer !== this.#me) this.#compare(peer, 0, this.#names.length);
    }
  }

  #askAll(now: Moment): void {
    this.#readSentAt = now;
    for (const peer of this.#quorum.all) {
      if (peer === this.#me) this.#takeRead(now, this.#me, this.copies());
      else
        this.#effects.push({
          do: 'send',
          to: peer,
          message: { kind: 'read', epoch: this.#epoch, nonce: this.#nonce, parts: [] },
        });
    }
  }

  #takeRead(now: Moment, from: NodeId, copies: readonly CopyMessage[]): void {
    for (const item of copies) {
      const owned = this.#owned.get(partName(item.part));
      if (!owned || owned.copy || owned.writing || !item.sound) continue;
      owned.read.add(from);
      if (isNewer(item, owned.newest.version))
        owned.newest = { version: { epoch: item.epoch, count: item.count }, body: item.body };
    }
    this.#endReading(now);
  }

  /**
   * Rewrites all parts once each was read from a majority of the voters that the newest configuration read names. A
   * majority of the voters known here before may have taken part in nothing for long: what newer ones decided would be
   * written over.
   */
  #endReading(now: Moment): void {
    const owners = [...this.#owned.values()];
    if (owners.some(isRead) || !owners.every(this.#isReadByMost, this)) return;
    const config = this.#owned.get(CONFIG_PART)?.newest;
    const named = config && this.#quorumOf(config.body);
    if (config && named && named.text !== this.#quorum.text) {
      this.#quorum = named;
      this.#effects.push({ do: 'voters', version: config.version, body: config.body });
      if (!owners.every(this.#isReadByMost, this)) return;
    }
    for (const [part, owned] of this.#owned) {
      const version = { epoch: this.#epoch, count: owned.newest.version.count + 1 };
      this.#send(now, part, owned, version, owned.newest.body, []);
    }
  }

  #isReadByMost(owned: Owned): boolean {
    return this.#quorum.isMajority(owned.read);
  }

  #send(
    now: Moment,
    part: PartName,
    owned: Owned,
    version: Version,
    body: string,
    tokens: readonly number[],
  ): void {
    const writing: Write = {
      version,
      body,
      tokens,
      acked: new Set(),
      members: [],
      sentAt: now,
      majorityAt: undefined,
    };
    owned.writing = writing;
    for (const peer of this.#quorum.all) {
      if (peer === this.#me) this.#storeOwn(part, version, body);
      else this.#sendWrite(peer, part, writing);
    }
  }

  #storeOwn(part: PartName, version: Version, body: string): void {
    const copy = this.#copies.get(part);
    if (!copy || compareVersions(version, copy.version) < 0) return;
    this.#copies.set(part, { version, body, isSound: true });
    this.#effects.push({ do: 'store', part, version, body });
  }

  #sendWrite(
    to: NodeId,
    part: PartName,
    write: { readonly version: Version; readonly body: string },
  ): void {
    this.#effects.push({
      do: 'send',
      to,
      message: { kind: 'write', part, ...write.version, body: write.body },
    });
  }

  #ack(
    now: Moment,
    from: NodeId,
    part: PartName,
    version: Version,
    members: readonly MemberMessage[],
  ): void {
    const owned = this.#owned.get(part);
    const writing = owned?.writing;
    if (!owned || !writing || compareVersions(writing.version, version) !== 0) return;
    writing.acked.add(from);
    writing.members.push(...members);
    this.#settle(now, part, owned);
  }

  #settle(now: Moment, part: PartName, owned: Owned): void {
    const writing = owned.writing;
    if (!writing || !this.#quorum.isMajority(writing.acked)) return;
    writing.majorityAt ??= now;
    // The yes waits a moment for the last copy, so that a disk lost right after it still leaves two.
    const isAll = this.#quorum.all.every(writing.acked.has, writing.acked);
    if (!isAll && now < later(writing.majorityAt, PROMPT_MS)) return;
    owned.writing = undefined;
    const next = owned.next;
    owned.next = undefined;
    owned.copy = { version: writing.version, body: next?.body ?? writing.body };
    this.#effects.push({
      do: 'committed',
      part,
      version: writing.version,
      body: writing.body,
      tokens: writing.tokens,
      members: writing.members,
    });
    if (next)
      this.#send(
        now,
        part,
        owned,
        { epoch: this.#epoch, count: writing.version.count + 1 },
        next.body,
        next.tokens,
      );
    if (!this.#isServing && [...this.#owned.values()].every(isOwned)) {
      this.#isServing = true;
      this.#effects.push({ do: 'serving' });
    }
  }

  // ---- replica

  /** `granted` is the epoch this voter has granted, synced, and not moved on from; 0 if none. */
  receive(
    now: Moment,
    from: NodeId,
    message: Message,
    granted: number,
    members: readonly MemberMessage[],
    standing: string,
  ): void {
    switch (message.kind) {
      case 'write':
        this.#receiveWrite(from, message, granted, members);
        break;
      case 'writeReply':
        if (message.good && message.epoch === this.#epoch)
          this.#ack(now, from, partName(message.part), message, message.members);
        break;
      case 'read':
        if (message.epoch === granted && granted > 0) {
          this.#effects.push({
            do: 'send',
            to: from,
            message: {
              kind: 'readReply',
              epoch: granted,
              nonce: message.nonce,
              sound: true,
              copies: this.copies(),
              standing,
            },
          });
        }
        break;
      case 'readReply':
        if (message.epoch === this.#epoch && this.#epoch > 0 && message.nonce === this.#nonce)
          this.#takeRead(now, from, message.copies);
        break;
      case 'digest': {
        const isSame = this.#digest(message.low, message.high) === message.digest;
        this.#effects.push({
          do: 'send',
          to: from,
          message: {
            kind: 'digestReply',
            nonce: message.nonce,
            low: message.low,
            high: message.high,
            same: isSame,
            sound: true,
          },
        });
        break;
      }
      case 'digestReply':
        if (!message.same && this.#isServing) this.#mend(from, message.low, message.high);
        break;
      default:
        break;
    }
  }

  #receiveWrite(
    from: NodeId,
    message: Extract<Message, { kind: 'write' }>,
    granted: number,
    members: readonly MemberMessage[],
  ): void {
    const part = partName(message.part);
    const copy = this.#copies.get(part);
    const version = { epoch: message.epoch, count: message.count };
    // An older epoch's write is turned away; one of an epoch not granted here yet comes again after our grant.
    if (!copy || message.epoch !== granted || compareVersions(version, copy.version) < 0) {
      this.#effects.push({
        do: 'send',
        to: from,
        message: { kind: 'writeReply', part, ...version, good: false, members: [] },
      });
      return;
    }
    const isKnown = compareVersions(version, copy.version) === 0 && copy.isSound;
    this.#copies.set(part, { version, body: message.body, isSound: true });
    this.#replies.set(part, { to: from, version, members });
    if (isKnown && this.#stored.get(part) === `${version.epoch}.${version.count}`)
      this.stored(part, version, granted);
    else this.#effects.push({ do: 'store', part, version, body: message.body });
  }

  readonly #replies = new Map<
    PartName,
    { readonly to: NodeId; readonly version: Version; readonly members: readonly MemberMessage[] }
  >();
  readonly #stored = new Map<PartName, string>();

  /** Told when a version has reached the disk. */
  stored(part: PartName, version: Version, granted: number, now?: Moment): void {
    this.#stored.set(part, `${version.epoch}.${version.count}`);
    // Said only while that epoch still stands here: a newer leader may have read us before this write was kept.
    if (version.epoch !== granted) return;
    if (this.#epoch === version.epoch && now !== undefined) {
      this.#ack(now, this.#me, part, version, []);
      return;
    }
    const due = this.#replies.get(part);
    if (due && compareVersions(due.version, version) === 0) {
      this.#effects.push({
        do: 'send',
        to: due.to,
        message: { kind: 'writeReply', part, ...version, good: true, members: [...due.members] },
      });
    }
  }

  // ---- repair: digests over ranges, mended from the owner's newer copy

  #digest(low: number, high: number): string {
    const hash = createHash('sha256');
    for (const part of this.#names.slice(low, high)) {
      const copy = this.#copies.get(part);
      hash.update(`${part} ${copy?.version.epoch} ${copy?.version.count} ${copy?.isSound}\n`);
    }
    return hash.digest('hex');
  }

  #compare(peer: NodeId, low: number, high: number): void {
    this.#effects.push({
      do: 'send',
      to: peer,
      message: { kind: 'digest', nonce: 0, low, high, digest: this.#digest(low, high) },
    });
  }

  #mend(peer: NodeId, low: number, high: number): void {
    if (high - low > 1) {
      const middle = Math.floor((low + high) / 2);
      this.#compare(peer, low, middle);
      this.#compare(peer, middle, high);
      return;
    }
    const part = this.#names[low];
    const owned = part === undefined ? undefined : this.#owned.get(part);
    // A write under way brings the newest by itself.
    if (part === undefined || !owned?.copy || owned.writing) return;
    this.#mends += 1;
    this.#sendWrite(peer, part, { version: owned.copy.version, body: owned.copy.body });
  }
}

function isOwned(owned: Owned): boolean {
  return owned.copy !== undefined;
}
function isRead(owned: Owned): boolean {
  return owned.copy !== undefined || owned.writing !== undefined;
}
function namesNobody(): undefined {
  return undefined;
}

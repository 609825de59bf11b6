import { later, type NodeId, type Moment } from '../common/Ids.js';
import type { CopyMessage, Message } from '../common/Messages.js';
import type { Quorum } from '../common/Quorum.js';

/** blank: an empty folder. lost: the record of our votes is unreadable. sound: we may vote and count. */
export type ReplicaStatusName = 'blank' | 'lost' | 'sound';

interface Return {
  readonly standing: string;
  readonly epoch: number;
  readonly copies: readonly CopyMessage[];
}

export type ReplicaStatusOutcome =
  /** With the newest epoch that members hold news of: they never step back behind it. */
  | { readonly become: 'founded'; readonly epoch: number }
  | {
      readonly become: 'repaired';
      readonly epoch: number;
      readonly copies: readonly CopyMessage[];
    };

const ASK_MS = 500;

/**
 * Decides when a node with an empty folder may count: by founding together with blank peers,
 * or by reading all it may ever have decided with. Until then it neither grants nor counts.
 */
export class ReplicaStatus {
  readonly #me: NodeId;
  #name: ReplicaStatusName;
  #nonce: number;
  #askedAt: Moment;
  readonly #bootAt: Moment;
  readonly #foundMs: number;
  readonly #replies = new Map<NodeId, Return>();
  #memberEpoch = 0;
  #isForced = false;
  readonly #mayFound: boolean;

  constructor(
    me: NodeId,
    name: ReplicaStatusName,
    now: Moment,
    foundMs: number,
    incarnation: number,
    mayFound: boolean = true,
  ) {
    this.#me = me;
    this.#name = name;
    this.#bootAt = now;
    this.#askedAt = now;
    this.#foundMs = foundMs;
    this.#nonce = incarnation;
    this.#mayFound = mayFound;
  }

  get name(): ReplicaStatusName {
    return this.#name;
  }
  get isMemberHolding(): boolean {
    return this.#memberEpoch > 0;
  }

  /** A member came that holds a configuration: what stood before must not be founded over by itself. */
  noteMember(epoch: number): void {
    this.#memberEpoch = Math.max(this.#memberEpoch, epoch);
  }

  /** An operator's word that nothing better than this is left. */
  force(): void {
    this.#isForced = true;
  }

  settle(): void {
    this.#name = 'sound';
    this.#replies.clear();
  }

  tick(now: Moment, quorum: Quorum): { readonly to: NodeId; readonly message: Message }[] {
    if (this.#name === 'sound' || now < later(this.#askedAt, ASK_MS)) return [];
    this.#askedAt = now;
    this.#nonce += 1;
    this.#replies.clear();
    const sends: { readonly to: NodeId; readonly message: Message }[] = [];
    for (const peer of quorum.all) {
      if (peer !== this.#me)
        sends.push({
          to: peer,
          message: { kind: 'read', epoch: 0, nonce: this.#nonce, parts: [] },
        });
    }
    return sends;
  }

  /** The return to a node that asks how we stand. */
  replyTo(nonce: number, epoch: number, copies: CopyMessage[], hasGranted: boolean): Message {
    // Founded, but nothing was ever decided with us: others may still found beside us, however far our own tries ran the epoch.
    const isFresh = this.#name === 'sound' && !hasGranted && copies.every(isEmpty);
    // A blank node tells what its members hold: one that has no members of its own must not found over it.
    return {
      kind: 'readReply',
      epoch: this.#name === 'blank' ? this.#memberEpoch : epoch,
      nonce,
      sound: false,
      copies: this.#name === 'sound' ? copies : [],
      standing: isFresh ? 'fresh' : this.#name,
    };
  }

  receive(
    now: Moment,
    from: NodeId,
    message: Extract<Message, { kind: 'readReply' }>,
    quorum: Quorum,
  ): ReplicaStatusOutcome | undefined {
    if (this.#name === 'sound' || message.nonce !== this.#nonce || message.sound) return undefined;
    if (message.standing === 'blank') this.noteMember(message.epoch);
    this.#replies.set(from, {
      standing: message.standing,
      epoch: message.epoch,
      copies: message.copies,
    });
    return this.outcome(now, quorum);
  }

  outcome(now: Moment, quorum: Quorum): ReplicaStatusOutcome | undefined {
    if (this.#name === 'sound') return undefined;
    const holders = new Set<NodeId>();
    let isAllFresh = true;
    let epoch = 0;
    const copies: CopyMessage[] = [];
    for (const peer of quorum.all) {
      if (peer === this.#me) continue;
      const known = this.#replies.get(peer);
      const isBlank = known?.standing === 'blank' || known?.standing === 'fresh';
      if (!isBlank) isAllFresh = false;
      if (known?.standing !== 'sound' && known?.standing !== 'fresh') continue;
      holders.add(peer);
      epoch = Math.max(epoch, known.epoch);
      copies.push(...known.copies);
    }
    const mayFound =
      this.#mayFound &&
      this.#name === 'blank' &&
      quorum.holds(this.#me) &&
      isAllFresh &&
      now >= later(this.#bootAt, this.#foundMs);
    if (mayFound && (!this.isMemberHolding || this.#isForced))
      return { become: 'founded', epoch: this.#memberEpoch };
    // Whatever was decided with us is also held by one of those others: all of them but ourselves must have been read.
    if (epoch > 0 && quorum.coversWithout(this.#me, holders))
      return { become: 'repaired', epoch, copies };
    // An operator's word: whoever is left tells all that can be known, and members may still know a newer table.
    if (this.#isForced && epoch > 0)
      return { become: 'repaired', epoch: Math.max(epoch, this.#memberEpoch), copies };
    return undefined;
  }
}

function isEmpty(copy: CopyMessage): boolean {
  return copy.epoch === 0;
}

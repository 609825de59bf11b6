import { later, type FellowId, type Moment } from '../common/Ids.js';
import type { CopyMessage, Message } from '../common/Messages.js';
import type { Quorum } from '../common/Quorum.js';

/** blank: an empty folder. lost: the record of our votes is unreadable. sound: we may vote and count. */
export type StandingName = 'blank' | 'lost' | 'sound';

interface Return {
  readonly standing: string;
  readonly epoch: number;
  readonly copies: readonly CopyMessage[];
}

export type StandingOutcome =
  /** With the newest epoch that members hold news of: they never step back behind it. */
  | { readonly become: 'founded'; readonly epoch: number }
  | {
      readonly become: 'repaired';
      readonly epoch: number;
      readonly copies: readonly CopyMessage[];
    };

const ASK_MS = 500;

/**
 * Decides when a node with an empty folder may count: by founding together with blank fellows,
 * or by reading all it may ever have decided with. Until then it neither grants nor counts.
 */
export class Standing {
  readonly #me: FellowId;
  #name: StandingName;
  #nonce: number;
  #askedAt: Moment;
  readonly #bootAt: Moment;
  readonly #foundMs: number;
  readonly #returns = new Map<FellowId, Return>();
  #memberEpoch = 0;
  #isForced = false;
  readonly #mayFound: boolean;

  constructor(
    me: FellowId,
    name: StandingName,
    now: Moment,
    foundMs: number,
    life: number,
    mayFound: boolean = true,
  ) {
    this.#me = me;
    this.#name = name;
    this.#bootAt = now;
    this.#askedAt = now;
    this.#foundMs = foundMs;
    this.#nonce = life;
    this.#mayFound = mayFound;
  }

  get name(): StandingName {
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
    this.#returns.clear();
  }

  beat(now: Moment, quorum: Quorum): { readonly to: FellowId; readonly message: Message }[] {
    if (this.#name === 'sound' || now < later(this.#askedAt, ASK_MS)) return [];
    this.#askedAt = now;
    this.#nonce += 1;
    this.#returns.clear();
    const sends: { readonly to: FellowId; readonly message: Message }[] = [];
    for (const fellow of quorum.all) {
      if (fellow !== this.#me)
        sends.push({
          to: fellow,
          message: { kind: 'read', epoch: 0, nonce: this.#nonce, parts: [] },
        });
    }
    return sends;
  }

  /** The return to a node that asks how we stand. */
  returnTo(nonce: number, epoch: number, copies: CopyMessage[], hasGranted: boolean): Message {
    // Founded, but nothing was ever decided with us: others may still found beside us, however far our own tries ran the epoch.
    const isFresh = this.#name === 'sound' && !hasGranted && copies.every(isEmpty);
    // A blank node tells what its members hold: one that has no members of its own must not found over it.
    return {
      kind: 'readReturn',
      epoch: this.#name === 'blank' ? this.#memberEpoch : epoch,
      nonce,
      sound: false,
      copies: this.#name === 'sound' ? copies : [],
      standing: isFresh ? 'fresh' : this.#name,
    };
  }

  receive(
    now: Moment,
    from: FellowId,
    message: Extract<Message, { kind: 'readReturn' }>,
    quorum: Quorum,
  ): StandingOutcome | undefined {
    if (this.#name === 'sound' || message.nonce !== this.#nonce || message.sound) return undefined;
    if (message.standing === 'blank') this.noteMember(message.epoch);
    this.#returns.set(from, {
      standing: message.standing,
      epoch: message.epoch,
      copies: message.copies,
    });
    return this.outcome(now, quorum);
  }

  outcome(now: Moment, quorum: Quorum): StandingOutcome | undefined {
    if (this.#name === 'sound') return undefined;
    const holders = new Set<FellowId>();
    let isAllFresh = true;
    let epoch = 0;
    const copies: CopyMessage[] = [];
    for (const fellow of quorum.all) {
      if (fellow === this.#me) continue;
      const known = this.#returns.get(fellow);
      const isBlank = known?.standing === 'blank' || known?.standing === 'fresh';
      if (!isBlank) isAllFresh = false;
      if (known?.standing !== 'sound' && known?.standing !== 'fresh') continue;
      holders.add(fellow);
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

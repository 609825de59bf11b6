import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { ReplicaCopies } from './replica-copies.js';
import type { StateEffects } from './replicated-state-effect.js';
import type { StateOwner } from './state-owner.js';

type DigestMessage = Extract<Message, { kind: 'digest' }>;
type DigestReply = Extract<Message, { kind: 'digestReply' }>;

const MEND_MS = 2000;

/** Compares copies by digests over ranges of parts, halving one that differs; the owner sends its newer copy of a part. */
export class CopyMending {
  readonly #me: NodeId;
  readonly #copies: ReplicaCopies;
  readonly #owner: StateOwner;
  readonly #effects: StateEffects;
  #comparedAt: Moment = moment(0);
  #mends = 0;

  constructor(me: NodeId, copies: ReplicaCopies, owner: StateOwner, effects: StateEffects) {
    this.#me = me;
    this.#copies = copies;
    this.#owner = owner;
    this.#effects = effects;
  }

  /** How many copies at others were sent anew. */
  get mends(): number {
    return this.#mends;
  }

  tick(now: Moment): void {
    if (!this.#owner.isServing || now < later(this.#comparedAt, MEND_MS)) return;
    this.#comparedAt = now;
    for (const peer of this.#owner.quorum.all)
      if (peer !== this.#me) this.#compare(peer, 0, this.#copies.names.length);
  }

  receiveDigest(from: NodeId, { nonce, low, high, digest }: DigestMessage): void {
    const isSame = this.#copies.digest(low, high) === digest;
    this.#effects.send(from, { kind: 'digestReply', nonce, low, high, same: isSame, sound: true });
  }

  receiveReply(from: NodeId, { same, low, high }: DigestReply): void {
    if (same || !this.#owner.isServing) return;
    if (high - low > 1) {
      const middle = Math.floor((low + high) / 2);
      this.#compare(from, low, middle);
      this.#compare(from, middle, high);
      return;
    }
    const partition = this.#copies.names[low];
    if (partition !== undefined && this.#owner.sendCopy(from, partition)) this.#mends += 1;
  }

  #compare(peer: NodeId, low: number, high: number): void {
    const digest = this.#copies.digest(low, high);
    this.#effects.send(peer, { kind: 'digest', nonce: 0, low, high, digest });
  }
}

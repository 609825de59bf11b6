import { later, moment, type Moment, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { LocalPartitions } from './local-partitions.js';
import type { StateEffects } from './replicated-state-effect.js';
import type { QuorumCoordinator } from './quorum-coordinator.js';

type DigestMessage = Extract<Message, { kind: 'digest' }>;
type DigestReply = Extract<Message, { kind: 'digestReply' }>;

const ANTI_ENTROPY_INTERVAL_MS = 2000;

/**
 * Finds and repairs replicas that differ from the leader's, by comparing digests over ranges of partitions. A range that
 * differs is halved until a single partition is left; the leader then sends its committed version of that partition.
 */
export class AntiEntropy {
  readonly #me: NodeId;
  readonly #partitions: LocalPartitions;
  readonly #coordinator: QuorumCoordinator;
  readonly #effects: StateEffects;
  #lastComparedAt: Moment = moment(0);
  #repairCount = 0;

  constructor(
    me: NodeId,
    partitions: LocalPartitions,
    coordinator: QuorumCoordinator,
    effects: StateEffects,
  ) {
    this.#me = me;
    this.#partitions = partitions;
    this.#coordinator = coordinator;
    this.#effects = effects;
  }

  /** Number of partitions sent to repair other replicas since the process started. */
  get repairCount(): number {
    return this.#repairCount;
  }

  /** Compares all partitions with every other voter at each `ANTI_ENTROPY_INTERVAL_MS`, while this voter serves as leader. */
  tick(now: Moment): void {
    if (!this.#coordinator.isServing || now < later(this.#lastComparedAt, ANTI_ENTROPY_INTERVAL_MS))
      return;
    this.#lastComparedAt = now;
    for (const peer of this.#coordinator.quorum.all)
      if (peer !== this.#me) this.#compare(peer, 0, this.#partitions.names.length);
  }

  /** Answers whether the local partitions of the range have the same digest as the leader's. */
  onDigest(from: NodeId, { nonce, low, high, digest }: DigestMessage): void {
    const isSame = this.#partitions.digest(low, high) === digest;
    this.#effects.send(from, { kind: 'digestReply', nonce, low, high, same: isSame, sound: true });
  }

  /** Narrows a range that differs, or repairs the partition if the range is a single one. */
  onDigestReply(from: NodeId, { same, low, high }: DigestReply): void {
    if (same || !this.#coordinator.isServing) return;
    if (high - low > 1) {
      const middle = Math.floor((low + high) / 2);
      this.#compare(from, low, middle);
      this.#compare(from, middle, high);
      return;
    }
    const partition = this.#partitions.names[low];
    if (partition !== undefined && this.#coordinator.repairReplica(from, partition))
      this.#repairCount += 1;
  }

  #compare(peer: NodeId, low: number, high: number): void {
    const digest = this.#partitions.digest(low, high);
    this.#effects.send(peer, { kind: 'digest', nonce: 0, low, high, digest });
  }
}

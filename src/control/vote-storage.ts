import { boolean, number, optional, string, type } from 'superstruct';
import { parseAs } from '../common/json.js';
import type { Version } from '../common/version.js';
import type { VoteRecord } from '../election/vote-effect.js';
import { VOTE_RECORD } from '../state/partition-names.js';
import type { ReplicaStatusName } from '../state/replica-status.js';
import type { StoredPartition } from '../state/store.js';
import type { EffectQueue } from './effect-queue.js';

const VoteRecordShape = type({
  epoch: number(),
  grantEpoch: number(),
  grantLeader: string(),
  isFree: optional(boolean()),
  hasUnknownLease: optional(boolean()),
});

/** The votes that a node finds on its disk when it starts. */
export interface StoredVotes {
  /** The status of the replica stored beside them, which says whether it may count in majorities. */
  readonly status: ReplicaStatusName;
  /** The count of the newest record; 0 if there is none. Counts grow with each record. */
  readonly count: number;
  /** The newest record, if it is intact. */
  readonly record: VoteRecord | undefined;
}

/**
 * Reads this node's vote record. An empty disk is `blank`: the node may never have voted. Partitions without a vote
 * record, or with a corrupt one, are `lost`: the node may have granted votes that it no longer knows.
 */
export function readVotes(stored: readonly StoredPartition[]): StoredVotes {
  const file = stored.find((item) => item.partition === VOTE_RECORD);
  if (!file) return { status: stored.length === 0 ? 'blank' : 'lost', count: 0, record: undefined };
  const { count } = file.version;
  const record = file.isIntact ? parseAs(VoteRecordShape, file.body) : undefined;
  return record ? { status: 'sound', count, record } : { status: 'lost', count, record: undefined };
}

/** A record that is being written to the disk. */
interface PendingVote {
  readonly token: number;
  readonly grantEpoch: number;
}

/** Writes this node's vote records to its disk, and tracks which of them are persisted. */
export class VoteStorage {
  readonly #effects: EffectQueue;
  /** The records being written, by their counts. */
  readonly #pendingVotes = new Map<number, PendingVote>();
  #count: number;
  #persistedGrant: number;

  /** `count` is the count of the record on disk, `persistedGrant` the epoch granted by it. */
  constructor(effects: EffectQueue, count: number, persistedGrant: number) {
    this.#effects = effects;
    this.#count = count;
    this.#persistedGrant = persistedGrant;
  }

  /** The epoch granted by the newest record on disk; 0 if there is none. */
  get persistedGrant(): number {
    return this.#persistedGrant;
  }

  /** The count that the next record will get. */
  get nextCount(): number {
    return this.#count + 1;
  }

  /** Writes a record; `onPersisted` passes on its token once the record is on disk. */
  persist(token: number, record: VoteRecord): void {
    this.#count += 1;
    this.#pendingVotes.set(this.#count, { token, grantEpoch: record.grantEpoch });
    this.#effects.add({
      do: 'store',
      partition: VOTE_RECORD,
      version: { epoch: record.epoch, count: this.#count },
      body: JSON.stringify(record),
    });
  }

  /** This record and all earlier ones are on disk; calls `onRecordPersisted` with the token of each. */
  onPersisted(version: Version, onRecordPersisted: (token: number) => void): void {
    for (const [count, pending] of this.#pendingVotes) {
      if (count > version.count) continue;
      this.#pendingVotes.delete(count);
      if (count === version.count) this.#persistedGrant = pending.grantEpoch;
      onRecordPersisted(pending.token);
    }
  }
}

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
});

/** What a node finds of its votes on its disk when it starts. */
export interface StoredVotes {
  /** Whether the replica beside them may count. */
  readonly status: ReplicaStatusName;
  /** The count of the newest record; 0 if there is none. */
  readonly count: number;
  /** The newest record, if it can be trusted. */
  readonly record: VoteRecord | undefined;
}

/** No record of votes at all is an empty folder; one that cannot be trusted is a lost disk. */
export function readVotes(stored: readonly StoredPartition[]): StoredVotes {
  const file = stored.find(isVote);
  if (!file) return { status: stored.length === 0 ? 'blank' : 'lost', count: 0, record: undefined };
  const { count } = file.version;
  const record = file.isIntact ? parseAs(VoteRecordShape, file.body) : undefined;
  return record ? { status: 'sound', count, record } : { status: 'lost', count, record: undefined };
}

function isVote(item: StoredPartition): boolean {
  return item.partition === VOTE_RECORD;
}

/** A record on its way to the disk. */
interface PendingVote {
  readonly token: number;
  readonly grantEpoch: number;
}

/** Keeps this node's votes on its disk, and knows which of them are there. */
export class VoteStorage {
  readonly #effects: EffectQueue;
  /** By the count of the record. */
  readonly #pendingVotes = new Map<number, PendingVote>();
  #count: number;
  #persistedGrant: number;

  /** `count` is that of the record on disk, `keptGrant` the epoch granted by it. */
  constructor(effects: EffectQueue, count: number, keptGrant: number) {
    this.#effects = effects;
    this.#count = count;
    this.#persistedGrant = keptGrant;
  }

  /** The epoch granted by the newest record on disk; 0 if none is. */
  get persistedGrant(): number {
    return this.#persistedGrant;
  }

  /** The count of the record that comes next. */
  get nextCount(): number {
    return this.#count + 1;
  }

  /** Stores a record; its token is returned once it is on disk. */
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

  /** This record is on disk, and with it all before it; `kept` is told the token of each. */
  onPersisted(version: Version, kept: (token: number) => void): void {
    for (const [count, waiting] of this.#pendingVotes) {
      if (count > version.count) continue;
      this.#pendingVotes.delete(count);
      if (count === version.count) this.#persistedGrant = waiting.grantEpoch;
      kept(waiting.token);
    }
  }
}

import type { NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';

/** What a voter must not forget in a crash. */
export interface VoteRecord {
  readonly epoch: number;
  /** The epoch granted last; 0 if none was. */
  readonly grantEpoch: number;
  /** The leader that this epoch was granted to; empty if none was. */
  readonly grantLeader: string;
  /** Whether every lease granted to another leader than `grantLeader` has expired; false if left out. */
  readonly isFree?: boolean | undefined;
  /**
   * Whether this voter was repaired and has granted no epoch since: it may have granted a lease to any leader before it lost
   * its disk. False if left out.
   */
  readonly hasUnknownLease?: boolean | undefined;
}

/** What a voter asks its process to do. */
export type VoteEffect =
  | { readonly do: 'send'; readonly to: NodeId; readonly message: Message }
  /** Sync this record, then call `onPersisted(token)`. A later record replaces an earlier one that is still waiting. */
  | { readonly do: 'persistVote'; readonly token: number; readonly record: VoteRecord };

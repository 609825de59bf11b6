import type { NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';

/** What a voter must still know after a crash. */
export interface VoteRecord {
  readonly epoch: number;
  readonly grantEpoch: number;
  readonly grantLeader: string;
  /** Whether no promise to any other than that leader binds any longer. */
  readonly isFree?: boolean | undefined;
}

export type VoteEffect =
  | { readonly do: 'send'; readonly to: NodeId; readonly message: Message }
  /** Sync this record, then call kept(token). A later record replaces an earlier one that is still waiting. */
  | { readonly do: 'persistVote'; readonly token: number; readonly record: VoteRecord };

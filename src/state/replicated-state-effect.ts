import type { NodeId, PartitionName } from '../common/ids.js';
import type { MemberVersion, Message } from '../common/messages.js';
import type { Version } from '../common/version.js';

/** What the replicated state wants its host to do, or reports to it. */
export type ReplicatedStateEffect =
  /** Send a message to another voter. */
  | { readonly do: 'send'; readonly to: NodeId; readonly message: Message }
  /** Write a version to disk, then call `onPersisted`. */
  | {
      readonly do: 'store';
      readonly partition: PartitionName;
      readonly version: Version;
      readonly body: string;
    }
  /** A majority of the voters has the write on disk, or all of them if the last was quick. */
  | {
      readonly do: 'committed';
      readonly partition: PartitionName;
      readonly version: Version;
      readonly body: string;
      readonly tokens: readonly number[];
      readonly members: readonly MemberVersion[];
    }
  /** The newest configuration that the new leader read names other voters than were known here. */
  | { readonly do: 'voters'; readonly version: Version; readonly body: string }
  /** Every partition was read from a majority and rewritten in this epoch: the leader may serve. */
  | { readonly do: 'serving' };

/** Queue of effects that the host has not carried out yet, in the order in which they were decided. */
export class StateEffects {
  #pending: ReplicatedStateEffect[] = [];

  add(effect: ReplicatedStateEffect): void {
    this.#pending.push(effect);
  }

  send(to: NodeId, message: Message): void {
    this.add({ do: 'send', to, message });
  }

  store(partition: PartitionName, version: Version, body: string): void {
    this.add({ do: 'store', partition, version, body });
  }

  /** Drops effects that only a leader may act on; called when it stops leading. */
  dropCoordinatorEffects(): void {
    this.#pending = this.#pending.filter(isOfReplica);
  }

  drain(): ReplicatedStateEffect[] {
    const effects = this.#pending;
    this.#pending = [];
    return effects;
  }
}

/** Whether an effect concerns the local replica, whoever leads. */
function isOfReplica(effect: ReplicatedStateEffect): boolean {
  return effect.do === 'send' || effect.do === 'store';
}

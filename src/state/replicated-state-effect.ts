import type { NodeId, PartitionName } from '../common/ids.js';
import type { MemberVersion, Message } from '../common/messages.js';
import type { Version } from '../common/version.js';

/** A request or a notification of the replicated state to its host. */
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
  /** A write is committed: at least a majority of the voters has it on disk. */
  | {
      readonly do: 'committed';
      readonly partition: PartitionName;
      readonly version: Version;
      readonly body: string;
      readonly tokens: readonly number[];
      readonly members: readonly MemberVersion[];
    }
  /** The newest configuration that the new leader has read names other voters than those known here. */
  | { readonly do: 'voters'; readonly version: Version; readonly body: string }
  /** Every partition has been read from a majority and rewritten in this epoch: the leader may serve. */
  | { readonly do: 'serving' };

/** Queue of effects that the host has not carried out yet, in the order in which they were added. */
export class StateEffects {
  #pending: ReplicatedStateEffect[] = [];

  /** Appends an effect. */
  add(effect: ReplicatedStateEffect): void {
    this.#pending.push(effect);
  }

  /** Appends the sending of a message to another voter. */
  send(to: NodeId, message: Message): void {
    this.add({ do: 'send', to, message });
  }

  /** Appends the write of a version to disk. */
  store(partition: PartitionName, version: Version, body: string): void {
    this.add({ do: 'store', partition, version, body });
  }

  /** Drops effects that are valid only while this voter leads; called when it steps down. */
  dropCoordinatorEffects(): void {
    this.#pending = this.#pending.filter(isReplicaEffect);
  }

  /** Removes and returns all queued effects. */
  drain(): ReplicatedStateEffect[] {
    const effects = this.#pending;
    this.#pending = [];
    return effects;
  }
}

/** Whether an effect stays valid after this voter has stepped down. */
function isReplicaEffect(effect: ReplicatedStateEffect): boolean {
  return effect.do === 'send' || effect.do === 'store';
}

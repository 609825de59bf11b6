import type { NodeId, PartitionName } from '../common/ids.js';
import type { MemberVersion, Message } from '../common/messages.js';
import type { Version } from '../common/version.js';

/** What the replicated state wants done, or tells of what it reached. */
export type ReplicatedStateEffect =
  | { readonly do: 'send'; readonly to: NodeId; readonly message: Message }
  | {
      readonly do: 'store';
      readonly partition: PartitionName;
      readonly version: Version;
      readonly body: string;
    }
  /** The write is held by a synced majority of voters, and by all of them if they were prompt. */
  | {
      readonly do: 'committed';
      readonly partition: PartitionName;
      readonly version: Version;
      readonly body: string;
      readonly tokens: readonly number[];
      readonly members: readonly MemberVersion[];
    }
  /** The newest configuration that was read while beginning to own the state names other voters than were known here. */
  | { readonly do: 'voters'; readonly version: Version; readonly body: string }
  /** Every part has been read from a majority and rewritten in our epoch. */
  | { readonly do: 'serving' };

/** The effects that are still to be taken up, in the order in which they were decided. */
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

  /** Drops what was decided as the owner of the parts. */
  dropCoordinatorEffects(): void {
    this.#pending = this.#pending.filter(isOfReplica);
  }

  drain(): ReplicatedStateEffect[] {
    const effects = this.#pending;
    this.#pending = [];
    return effects;
  }
}

/** Whether an effect concerns the copy held here, whoever owns the parts. */
function isOfReplica(effect: ReplicatedStateEffect): boolean {
  return effect.do === 'send' || effect.do === 'store';
}

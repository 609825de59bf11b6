import { nodeId, type Moment, type NodeId } from '../common/ids.js';
import type { Elector } from '../election/elector.js';
import { allPartitions, CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { encodeConfigDoc } from './config-codec.js';
import { quorumOf } from './config-voters.js';
import type { ConfigStore } from './config-store.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { PartitionWriter } from './partition-writer.js';
import type { VotersChange } from './voter-plan.js';

/** What a change of the voters is written by. */
export interface VoterSetDependencies {
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly writer: PartitionWriter;
  readonly document: ConfigStore;
  readonly voters: FollowedVoters;
  readonly effects: EffectQueue;
}

/** Writes changes of the set of voters, at the leader. */
export class VoterSetWriter {
  readonly #dependencies: VoterSetDependencies;

  constructor(parts: VoterSetDependencies) {
    this.#dependencies = parts;
  }

  /** Writes another set, or two that decide together. */
  writeVoters(now: Moment, change: VotersChange): void {
    const { document, effects, voters } = this.#dependencies;
    const doc = document.newest();
    effects.log({
      event: 'voters changed',
      from: doc.voters.join(' | '),
      to: change.voters.join(' | '),
    });
    const seats = change.voterCount === undefined ? {} : { seats: change.voterCount };
    const changed = { ...doc, voters: change.voters.map(copyOf), ...seats };
    // Two sets decide together from here on, also on this very change. One alone is told to those let go as well.
    const joint = change.voters.length === 2 ? quorumOf(encodeConfigDoc(changed)) : undefined;
    if (joint) voters.useQuorum(joint);
    document.write(now, changed, 0);
  }

  /** Writes all parts but the configuration anew, so that a majority of each set holds them. */
  rewritePartitions(now: Moment): void {
    const { writer, state } = this.#dependencies;
    for (const partition of allPartitions())
      if (partition !== CONFIG_PARTITION) writer.write(now, partition, state.body(partition), 0);
  }

  /** A spare that an operator put in a voter's place is taken in once it holds everything; then the old set is let go. */
  completeReplacement(now: Moment): void {
    const { document } = this.#dependencies;
    const doc = document.newest();
    const [, next] = doc.voters;
    if (doc.voters.length !== 2 || !next || document.isWriting) return;
    const holders: ReadonlySet<NodeId> = this.#dependencies.elector.quorumMembers;
    if (next.map(nodeId).every(holders.has, holders))
      document.write(now, { ...doc, voters: [next] }, 0);
  }
}

function copyOf(set: readonly string[]): string[] {
  return [...set];
}

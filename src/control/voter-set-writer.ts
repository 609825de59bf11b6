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
import type { VoterSetChange } from './voter-plan.js';

/** The components that a change of the voters is written with. */
export interface VoterSetDependencies {
  readonly elector: Elector;
  readonly state: ReplicatedState;
  readonly writer: PartitionWriter;
  readonly document: ConfigStore;
  readonly voters: FollowedVoters;
  readonly effects: EffectQueue;
}

/** Writes changes of the set of voters at the leader, through a joint configuration. */
export class VoterSetWriter {
  readonly #dependencies: VoterSetDependencies;

  constructor(dependencies: VoterSetDependencies) {
    this.#dependencies = dependencies;
  }

  /** Writes a new set of voters, or two sets that form a joint configuration. */
  writeVoters(now: Moment, change: VoterSetChange): void {
    const { document, effects, voters } = this.#dependencies;
    const doc = document.newest();
    effects.log({
      event: 'voters changed',
      from: doc.voters.join(' | '),
      to: change.voters.join(' | '),
    });
    const seats = change.voterCount === undefined ? {} : { seats: change.voterCount };
    const changed = { ...doc, voters: change.voters.map((set) => [...set]), ...seats };
    // A joint configuration takes effect at once, for its own commit too. A single set takes effect once it is committed, so
    // that the removed voters learn of it.
    const joint = change.voters.length === 2 ? quorumOf(encodeConfigDoc(changed)) : undefined;
    if (joint) voters.useQuorum(joint);
    document.write(now, changed, 0);
  }

  /** Rewrites all partitions except the configuration, so that they are stored at a majority of each set. */
  rewritePartitions(now: Moment): void {
    const { writer, state } = this.#dependencies;
    for (const partition of allPartitions())
      if (partition !== CONFIG_PARTITION) writer.write(now, partition, state.body(partition), 0);
  }

  /** Completes an operator's replacement of a voter: once all new voters take part in the quorum, the new set alone decides. */
  completeReplacement(now: Moment): void {
    const { document } = this.#dependencies;
    const doc = document.newest();
    const [, next] = doc.voters;
    if (doc.voters.length !== 2 || !next || document.isWriting) return;
    const quorumMembers: ReadonlySet<NodeId> = this.#dependencies.elector.quorumMembers;
    if (next.map(nodeId).every(quorumMembers.has, quorumMembers))
      document.write(now, { ...doc, voters: [next] }, 0);
  }
}

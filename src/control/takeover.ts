import { later, type Moment } from '../common/ids.js';
import { mustParseAs } from '../common/json.js';
import type { Elector } from '../election/elector.js';
import { ServicePartitionShape, type ServiceDoc } from '../placement/shapes.js';
import { allPartitions, CONFIG_PARTITION } from '../state/partition-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ConfigStore } from './config-store.js';
import { SERVING_STARTED } from './control-log-event.js';
import type { ControlCounters } from './control-metrics.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { Leadership } from './leadership.js';
import type { OperatorEdits } from './operator-edits.js';
import type { PartitionWriter } from './partition-writer.js';
import type { PlacementControl } from './placement-control.js';
import type { QuorumReads } from './quorum-reads.js';
import type { RelayTree } from './relay-tree.js';
import type { UpdateExchange } from './update-exchange.js';
import type { VoterMembership } from './voter-membership.js';

/** The components that a takeover uses, and those that begin or end their work with the leadership. */
export interface TakeoverDependencies {
  readonly elector: Elector;
  readonly leadership: Leadership;
  readonly state: ReplicatedState;
  readonly writer: PartitionWriter;
  readonly document: ConfigStore;
  readonly voters: FollowedVoters;
  readonly placement: PlacementControl;
  readonly edits: OperatorEdits;
  readonly reads: QuorumReads;
  readonly updates: UpdateExchange;
  readonly membership: VoterMembership | undefined;
  readonly tree: RelayTree;
  readonly counters: ControlCounters;
  readonly effects: EffectQueue;
}

/** How long the leader waits for updates from members when it recovers the policy table. */
const RECOVERY_MS = 2000;

/** Applies the outcome of elections: this node takes over the state when it is elected, and steps down when it no longer leads. */
export class Takeover {
  readonly #dependencies: TakeoverDependencies;
  #leader = '';
  /** Whether members may have a newer configuration than every majority of the replicas. */
  #hasMissingWrites = false;
  #recoverUntil: Moment | undefined;

  constructor(dependencies: TakeoverDependencies) {
    this.#dependencies = dependencies;
  }

  /** Whether the policy table is being recovered from the members; meanwhile no orders are sent and nothing is placed. */
  get isRecovering(): boolean {
    return this.#recoverUntil !== undefined;
  }

  /** An operator declared replicas as lost: newer configurations are requested from members when this node begins to serve. */
  expectMissingWrites(): void {
    this.#hasMissingWrites = true;
  }

  /** Handles a change of the leader, if there was one. Called after every input and effect. */
  update(now: Moment): void {
    const { elector, leadership, state, tree } = this.#dependencies;
    this.#onLeader(elector.leader ?? '');
    const epoch = elector.isLeading() ? elector.epoch : 0;
    if (epoch === leadership.epoch) return;
    leadership.begin(epoch);
    // The leader sends updates to the other voters too.
    tree.reassignParents();
    this.#stepDown();
    if (epoch > 0) state.lead(now, epoch);
  }

  /** The complete state was read from a majority and rewritten in this epoch: from now on this node serves. */
  beginServing(now: Moment): void {
    const { leadership, document, membership, placement, effects } = this.#dependencies;
    leadership.serve();
    effects.log({ event: SERVING_STARTED, epoch: leadership.epoch });
    const isConfigStored = document.load();
    // Only committed tables are published: a published table that no majority stores was lost with the disks of voters.
    if (document.unstoredUpdate()) this.#hasMissingWrites = true;
    if (this.#hasMissingWrites) this.#beginRecovery(now);
    else document.publishLoaded();
    const docs = this.#readServices();
    if (membership) {
      // Nodes that start later must find the voters in the stored configuration, whichever seeds they are given.
      if (!isConfigStored) document.write(now, document.newest(), 0);
      membership.onTakeover();
    }
    placement.beginLeading(now, docs);
  }

  /** Ends the recovery of the policy table once members had time to reply. */
  tick(now: Moment): void {
    if (this.#recoverUntil === undefined || now < this.#recoverUntil) return;
    if (this.#dependencies.leadership.isServing) this.#endRecovery(now);
  }

  #onLeader(leader: string): void {
    if (leader === this.#leader) return;
    this.#leader = leader;
    const { elector, counters, effects } = this.#dependencies;
    counters.countLeaderChange();
    effects.log({
      event: 'leader changed',
      leader: leader === '' ? 'none' : leader,
      epoch: elector.epoch,
    });
  }

  #stepDown(): void {
    const { state, voters, placement, writer, edits, reads } = this.#dependencies;
    this.#recoverUntil = undefined;
    state.stepDown();
    voters.clearConfigRead();
    placement.endLeading();
    writer.clear();
    edits.abandon();
    reads.abandon();
  }

  #readServices(): ServiceDoc[] {
    const docs: ServiceDoc[] = [];
    for (const partition of allPartitions()) {
      const text = partition === CONFIG_PARTITION ? '' : this.#dependencies.state.body(partition);
      if (text !== '') docs.push(...mustParseAs(ServicePartitionShape, text, partition).services);
    }
    return docs;
  }

  #beginRecovery(now: Moment): void {
    this.#recoverUntil = later(now, RECOVERY_MS);
    this.#dependencies.updates.requestAll();
  }

  #endRecovery(now: Moment): void {
    const { document, effects } = this.#dependencies;
    this.#hasMissingWrites = false;
    this.#recoverUntil = undefined;
    const recovered = document.unstoredUpdate();
    if (recovered) effects.log({ event: 'configuration recovered', number: recovered.number });
    document.recover(now, recovered);
  }
}

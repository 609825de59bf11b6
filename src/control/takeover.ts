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

/** What begins and ends with the lead. */
export interface TakeoverDependencies {
  readonly elector: Elector;
  readonly leadership: Leadership;
  readonly state: ReplicatedState;
  readonly writer: PartitionWriter;
  readonly document: ConfigStore;
  readonly voters: FollowedVoters;
  readonly placement: PlacementControl;
  readonly orders: OperatorEdits;
  readonly reads: QuorumReads;
  readonly updates: UpdateExchange;
  readonly membership: VoterMembership | undefined;
  readonly tree: RelayTree;
  readonly counters: ControlCounters;
  readonly effects: EffectQueue;
}

/** How long members are waited for when the table is recovered from them. */
const RECOVERY_MS = 2000;

/** Follows who leads: takes over the state when this node does, and stands down when it does no longer. */
export class Takeover {
  readonly #dependencies: TakeoverDependencies;
  #leader = '';
  /** Whether a majority's copies may be older than what members hold. */
  #hasMissingWrites = false;
  #recoverUntil: Moment | undefined;

  constructor(parts: TakeoverDependencies) {
    this.#dependencies = parts;
  }

  /** Whether the table is being recovered from the members; nothing is ordered or placed meanwhile. */
  get isRecovering(): boolean {
    return this.#recoverUntil !== undefined;
  }

  /** An operator's word that copies were lost: members are asked for newer ones before this node serves. */
  expectMissingWrites(): void {
    this.#hasMissingWrites = true;
  }

  /** Acts upon a change of the leader, if there was one. */
  update(now: Moment): void {
    const { elector, leadership, state, tree } = this.#dependencies;
    this.#onLeader(elector.leader ?? '');
    const epoch = elector.isLeading() ? elector.epoch : 0;
    if (epoch === leadership.epoch) return;
    leadership.begin(epoch);
    // One that leads feeds the other voters as well.
    tree.reassignParents();
    this.#stepDown();
    if (epoch > 0) state.lead(now, epoch);
  }

  /** The whole state was read from a majority and rewritten. */
  beginServing(now: Moment): void {
    const { leadership, document, membership, placement, effects } = this.#dependencies;
    leadership.serve();
    effects.log({ event: SERVING_STARTED, epoch: leadership.epoch });
    const isFound = document.load();
    // Only committed tables are ever told: one told here that no majority holds any more was lost with their disks.
    if (document.unstoredUpdate()) this.#hasMissingWrites = true;
    if (this.#hasMissingWrites) this.#beginRecovery(now);
    else document.publishLoaded();
    const docs = this.#readServices();
    if (membership) {
      // Whoever comes later must find the voters written down, whatever seeds it is told.
      if (!isFound) document.write(now, document.newest(), 0);
      membership.onTakeover();
    }
    placement.beginLeading(now, docs);
  }

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
    const { state, voters, placement, writer, orders, reads } = this.#dependencies;
    this.#recoverUntil = undefined;
    state.release();
    voters.clearConfigRead();
    placement.endLeading();
    writer.clear();
    orders.abandon();
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
    const lost = document.unstoredUpdate();
    if (lost) effects.log({ event: 'configuration recovered', number: lost.number });
    document.recover(now, lost);
  }
}

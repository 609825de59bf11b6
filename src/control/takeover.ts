import { later, type Moment } from '../common/ids.js';
import { mustParseAs } from '../common/json.js';
import type { Elector } from '../election/elector.js';
import { ServicePartShape, type ServiceDoc } from '../placement/shapes.js';
import { allParts, CONFIG_PART } from '../state/part-names.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import type { ConfigDocument } from './config-document.js';
import type { ControlCounters } from './control-metrics.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { Leadership } from './leadership.js';
import type { OperatorOrders } from './operator-orders.js';
import type { PartWriter } from './part-writer.js';
import type { PlacementControl } from './placement-control.js';
import type { QuorumReads } from './quorum-reads.js';
import type { RelayTree } from './relay-tree.js';
import type { UpdateExchange } from './update-exchange.js';
import type { VoterMembership } from './voter-membership.js';

/** What begins and ends with the lead. */
export interface TakeoverParts {
  readonly elector: Elector;
  readonly leadership: Leadership;
  readonly parts: ReplicatedState;
  readonly writer: PartWriter;
  readonly document: ConfigDocument;
  readonly voters: FollowedVoters;
  readonly placement: PlacementControl;
  readonly orders: OperatorOrders;
  readonly reads: QuorumReads;
  readonly updates: UpdateExchange;
  readonly membership: VoterMembership | undefined;
  readonly tree: RelayTree;
  readonly counters: ControlCounters;
  readonly effects: EffectQueue;
}

/** How long members are waited for when the table is recovered from them. */
const RECOVER_MS = 2000;

/** Follows who leads: takes over the state when this node does, and stands down when it does no longer. */
export class Takeover {
  readonly #parts: TakeoverParts;
  #leader = '';
  /** Whether a majority's copies may be older than what members hold. */
  #hasLost = false;
  #recoverUntil: Moment | undefined;

  constructor(parts: TakeoverParts) {
    this.#parts = parts;
  }

  /** Whether the table is being recovered from the members; nothing is ordered or placed meanwhile. */
  get isRecovering(): boolean {
    return this.#recoverUntil !== undefined;
  }

  /** An operator's word that copies were lost: members are asked for newer ones before this node serves. */
  expectLoss(): void {
    this.#hasLost = true;
  }

  /** Acts upon a change of the leader, if there was one. */
  watch(now: Moment): void {
    const { elector, leadership, parts, tree } = this.#parts;
    this.#noteLeader(elector.leader ?? '');
    const epoch = elector.isLeading() ? elector.epoch : 0;
    if (epoch === leadership.epoch) return;
    leadership.begin(epoch);
    // One that leads feeds the other voters as well.
    tree.reassignParents();
    this.#standDown();
    if (epoch > 0) parts.lead(now, epoch);
  }

  /** The whole state was read from a majority and rewritten. */
  serve(now: Moment): void {
    const { leadership, document, membership, placement, effects } = this.#parts;
    leadership.serve();
    effects.note('serving', { epoch: leadership.epoch });
    const isFound = document.load();
    // Only committed tables are ever told: one told here that no majority holds any more was lost with their disks.
    if (document.lostNews()) this.#hasLost = true;
    if (this.#hasLost) this.#recover(now);
    else document.publishLoaded();
    const docs = this.#readServices();
    if (membership) {
      // Whoever comes later must find the voters written down, whatever seeds it is told.
      if (!isFound) document.write(now, document.newest(), 0);
      membership.begin();
    }
    placement.beginLeading(now, docs);
  }

  tick(now: Moment): void {
    if (this.#recoverUntil === undefined || now < this.#recoverUntil) return;
    if (this.#parts.leadership.isServing) this.#endRecovery(now);
  }

  #noteLeader(leader: string): void {
    if (leader === this.#leader) return;
    this.#leader = leader;
    const { elector, counters, effects } = this.#parts;
    counters.countLeaderChange();
    effects.note('leader', { leader: leader === '' ? 'none' : leader, epoch: elector.epoch });
  }

  #standDown(): void {
    const { parts, voters, placement, writer, orders, reads } = this.#parts;
    this.#recoverUntil = undefined;
    parts.release();
    voters.forgetRead();
    placement.endLeading();
    writer.clear();
    orders.abandon();
    reads.abandon();
  }

  #readServices(): ServiceDoc[] {
    const docs: ServiceDoc[] = [];
    for (const part of allParts()) {
      const text = part === CONFIG_PART ? '' : this.#parts.parts.body(part);
      if (text !== '') docs.push(...mustParseAs(ServicePartShape, text, part).services);
    }
    return docs;
  }

  #recover(now: Moment): void {
    this.#recoverUntil = later(now, RECOVER_MS);
    this.#parts.updates.requestAll();
  }

  #endRecovery(now: Moment): void {
    const { document, effects } = this.#parts;
    this.#hasLost = false;
    this.#recoverUntil = undefined;
    const lost = document.lostNews();
    if (lost) effects.note('table recovered from members', { table: lost.number });
    document.recover(now, lost);
  }
}

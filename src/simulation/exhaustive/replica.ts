import { number, type } from 'superstruct';
import { ReplicatedState } from '../../state/replicated-state.js';
import { CONFIG_PARTITION, VOTE_RECORD } from '../../state/partition-names.js';
import {
  ReplicaStatus,
  type ReplicaStatusName,
  type ReplicaStatusOutcome,
} from '../../state/replica-status.js';
import type { StoredPartition } from '../../state/store.js';
import {
  epochOf,
  nodeId,
  nextElectionEpoch,
  partitionName,
  type NodeId,
  type Moment,
} from '../../common/ids.js';
import { parseAs } from '../../common/json.js';
import type { Message } from '../../common/messages.js';
import type { Quorum } from '../../common/quorum.js';
import type { Version } from '../../common/version.js';
import type { Boot, DiskWrite, Input, Output, OutgoingMessage, Subject } from './local-states.js';

/** Deliberate mistakes that the invariants must detect. */
export type ReplicaMistake =
  /** A write is acknowledged before it is on disk. */
  | 'acknowledged-unsynced'
  /** A voter accepts writes of epochs older than its own. */
  | 'old-epoch-written'
  /** A wiped voter counts as healthy as soon as it has read the replica of one other voter. */
  | 'repaired-by-one'
  /** A wiped voter votes again in the epoch in which it may have voted. */
  | 'grant-forgotten';

/** What may be asked of a replica. */
export type ReplicaCommand =
  /** This voter grants an epoch to a leader; the leader grants itself first. */
  | { readonly do: 'grant'; readonly epoch: number; readonly leader: number }
  /** A majority has granted its epoch to this voter, which begins to lead. */
  | { readonly do: 'lead' }
  /** A client's change: appends a letter to the body that no other change has. */
  | { readonly do: 'write'; readonly letter: string };

/** What a replica reports to the invariants. */
export type ReplicaEvent =
  | { readonly kind: 'committed'; readonly version: Version; readonly body: string }
  | { readonly kind: 'serving'; readonly body: string };

/** What the invariants need to know of one replica. */
export interface ReplicaFacts {
  readonly replicaStatus: ReplicaStatusName;
  /** The newest epoch that it has adopted, synced or not. */
  readonly epoch: number;
  /** Its current epoch, if the grant of it is on disk; else 0. */
  readonly granted: number;
  readonly grantLeader: number;
  readonly ledEpoch: number;
  readonly isServing: boolean;
}

/** Distance between the initial nonces of two incarnations, so that their nonces never coincide. */
const INCARNATION_SPACING = 1e6;
const VoteShape = type({ epoch: number(), grantEpoch: number(), grantLeader: number() });

/** A voter's replica of one partition, with the repair of a lost disk, connected to grants as in the control core. */
export class Replica implements Subject<ReplicaCommand, ReplicaEvent, ReplicaFacts> {
  readonly #me: NodeId;
  readonly #quorum: Quorum;
  readonly #replicatedState: ReplicatedState;
  readonly #replicaStatus: ReplicaStatus;
  readonly #mistake: ReplicaMistake | undefined;
  #epoch: number;
  /** The grant in the newest vote record, synced or not, and the epoch of the grant that is known to be on disk. */
  #grantEpoch: number;
  #grantLeader: number;
  #syncedGrantEpoch: number;
  #voteCount: number;
  #ledEpoch = 0;
  #isRepairing = false;
  #repairEpoch = 0;
  readonly #unsyncedRepairs = new Set<string>();
  #healthyAtVoteCount: number | undefined;
  #sends: OutgoingMessage[] = [];
  #writes: DiskWrite[] = [];
  #events: ReplicaEvent[] = [];

  constructor(boot: Boot, nodes: readonly NodeId[], quorum: Quorum, mistake?: ReplicaMistake) {
    const { node, disk, now, incarnation } = boot;
    this.#me = nodes[node] ?? nodeId('nobody');
    this.#quorum = quorum;
    this.#mistake = mistake;
    const vote = disk.find(isVote);
    const record = vote && parseAs(VoteShape, vote.body);
    this.#epoch = record?.epoch ?? 0;
    this.#grantEpoch = record?.grantEpoch ?? 0;
    this.#grantLeader = record?.grantLeader ?? 0;
    this.#syncedGrantEpoch = this.#grantEpoch;
    this.#voteCount = vote?.count ?? 0;
    this.#replicatedState = new ReplicatedState(
      this.#me,
      quorum,
      [CONFIG_PARTITION],
      disk.filter(isConfig).map(storedPartition),
    );
    const name = record ? 'sound' : 'blank';
    this.#replicaStatus = new ReplicaStatus(
      this.#me,
      name,
      now,
      0,
      incarnation * INCARNATION_SPACING,
      false,
    );
  }

  get state(): unknown {
    return [
      this.#replicatedState,
      this.#replicaStatus,
      [this.#epoch, this.#grantEpoch, this.#grantLeader],
      [this.#syncedGrantEpoch, this.#voteCount, this.#ledEpoch],
      [this.#isRepairing, this.#repairEpoch, this.#unsyncedRepairs, this.#healthyAtVoteCount],
    ];
  }

  facts(): ReplicaFacts {
    return {
      replicaStatus: this.#replicaStatus.name,
      epoch: this.#epoch,
      granted: this.#granted(),
      grantLeader: this.#grantLeader,
      ledEpoch: this.#ledEpoch,
      isServing: this.#replicatedState.isServing,
    };
  }

  perform(now: Moment, input: Input<ReplicaCommand>): Output<ReplicaEvent> {
    this.#sends = [];
    this.#writes = [];
    this.#events = [];
    switch (input.kind) {
      case 'tick':
        this.#tick(now);
        break;
      case 'receive':
        for (const message of input.messages) this.#receive(now, nodeId(input.from), message);
        break;
      case 'stored':
        this.#stored(now, input.write);
        break;
      case 'command':
        this.#command(now, input.command);
        break;
    }
    this.#drain(now);
    return { sends: this.#sends, writes: this.#writes, events: this.#events };
  }

  #tick(now: Moment): void {
    this.#sends.push(...this.#replicaStatus.tick(now, this.#quorum));
    this.#beginRepair(this.#replicaStatus.outcome(now, this.#quorum));
    this.#replicatedState.tick(now);
  }

  #receive(now: Moment, from: NodeId, message: Message): void {
    if (message.kind === 'read' && message.epoch === 0) {
      const copies = this.#replicatedState.storedReplicas();
      const hasGranted = this.#grantEpoch > 0;
      const reply = this.#replicaStatus.replyTo(message.nonce, this.#epoch, copies, hasGranted);
      this.#sends.push({ to: from, message: reply });
    } else if (message.kind === 'readReply' && !message.sound) {
      if (this.#mistake === 'repaired-by-one' && message.standing === 'sound') {
        const { epoch, copies } = message;
        if (this.#replicaStatus.name !== 'sound')
          this.#beginRepair({ become: 'repaired', epoch, copies });
        return;
      }
      this.#beginRepair(this.#replicaStatus.onReadReply(now, from, message, this.#quorum));
    } else {
      const isOld = this.#mistake === 'old-epoch-written' && message.kind === 'write';
      const granted = isOld ? message.epoch : this.#granted();
      this.#replicatedState.onMessage(now, from, message, granted, [], this.#replicaStatus.name);
    }
  }

  #stored(now: Moment, write: DiskWrite): void {
    if (write.slot !== VOTE_RECORD) {
      this.#replicatedState.onPersisted(partitionName(write.slot), write, this.#granted(), now);
      this.#unsyncedRepairs.delete(write.slot);
      this.#endRepair();
      return;
    }
    this.#syncedGrantEpoch = parseAs(VoteShape, write.body)?.grantEpoch ?? 0;
    if (this.#healthyAtVoteCount === undefined || write.count < this.#healthyAtVoteCount) return;
    this.#healthyAtVoteCount = undefined;
    this.#replicaStatus.markHealthy();
  }

  #command(now: Moment, command: ReplicaCommand): void {
    if (command.do === 'grant') {
      this.#epoch = command.epoch;
      this.#grantEpoch = command.epoch;
      this.#grantLeader = command.leader;
      this.#writeVote();
      this.#ledEpoch = 0;
      this.#replicatedState.stepDown();
    } else if (command.do === 'lead') {
      this.#ledEpoch = this.#epoch;
      this.#replicatedState.lead(now, this.#epoch);
    } else {
      this.#replicatedState.write(
        now,
        CONFIG_PARTITION,
        this.#replicatedState.body(CONFIG_PARTITION) + command.letter,
        0,
      );
    }
  }

  #writeVote(): void {
    this.#voteCount += 1;
    const body = voteBody(this.#epoch, this.#grantEpoch, this.#grantLeader);
    this.#writes.push({ slot: VOTE_RECORD, epoch: this.#epoch, count: this.#voteCount, body });
  }

  #granted(): number {
    const isCurrent =
      this.#replicaStatus.name === 'sound' && this.#syncedGrantEpoch === this.#epoch;
    return isCurrent ? this.#syncedGrantEpoch : 0;
  }

  // ---- repair of a lost disk

  #beginRepair(outcome: ReplicaStatusOutcome | undefined): void {
    if (outcome?.become !== 'repaired') return;
    if (this.#healthyAtVoteCount !== undefined || this.#isRepairing) return;
    for (const partition of this.#replicatedState.adopt(outcome.copies))
      this.#unsyncedRepairs.add(partition);
    this.#isRepairing = true;
    this.#repairEpoch = outcome.epoch;
    this.#endRepair();
  }

  /** Writes the record that makes the voter healthy again, once all adopted replicas are on disk. */
  #endRepair(): void {
    if (!this.#isRepairing || this.#unsyncedRepairs.size > 0) return;
    this.#isRepairing = false;
    const known = epochOf(Math.max(this.#repairEpoch, this.#epoch));
    this.#epoch = this.#mistake === 'grant-forgotten' ? known - 1 : nextElectionEpoch(known);
    this.#healthyAtVoteCount = this.#voteCount + 1;
    this.#writeVote();
  }

  #drain(now: Moment): void {
    for (
      let effects = this.#replicatedState.drain();
      effects.length > 0;
      effects = this.#replicatedState.drain()
    ) {
      for (const effect of effects) {
        if (effect.do === 'send') this.#sends.push(effect);
        else if (effect.do === 'serving') {
          this.#events.push({
            kind: 'serving',
            body: this.#replicatedState.body(CONFIG_PARTITION),
          });
        } else if (effect.do === 'committed') {
          this.#events.push({ kind: 'committed', version: effect.version, body: effect.body });
        } else if (effect.do === 'store') {
          const { partition, version, body } = effect;
          this.#writes.push({ slot: partition, ...version, body });
          if (this.#mistake === 'acknowledged-unsynced') {
            this.#replicatedState.onPersisted(partition, version, this.#granted(), now);
          }
        }
      }
    }
  }
}

function isVote(write: DiskWrite): boolean {
  return write.slot === VOTE_RECORD;
}

/** Whether a write is one of the replicated partition. */
export function isConfig(write: DiskWrite): boolean {
  return write.slot === CONFIG_PARTITION;
}

function storedPartition({ slot, epoch, count, body }: DiskWrite): StoredPartition {
  return { partition: partitionName(slot), version: { epoch, count }, body, isIntact: true };
}

/** The body of a vote record on disk. */
export function voteBody(epoch: number, grantEpoch: number, grantLeader: number): string {
  return JSON.stringify({ epoch, grantEpoch, grantLeader });
}

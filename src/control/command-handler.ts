import { NoLeaderError, toHaretrackError } from '../common/errors.js';
import type { Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Elector } from '../election/elector.js';
import type { ReplicaStatus } from '../state/replica-status.js';
import type { ConfigStore } from './config-store.js';
import type { ControlStatus } from './control-status.js';
import type { EffectQueue } from './effect-queue.js';
import type { FollowedVoters } from './followed-voters.js';
import type { Leadership } from './leadership.js';
import { errorAnswer, type Origin } from './command-answers.js';
import type { OperatorEdits } from './operator-edits.js';
import type { CommandForwarding } from './command-forwarding.js';
import type { QuorumReads } from './quorum-reads.js';
import type { ReplicaRepair } from './replica-repair.js';
import type { TableManager } from './table-manager.js';
import type { Takeover } from './takeover.js';

/** The components that execute commands. */
export interface CommandDependencies {
  readonly elector: Elector;
  readonly leadership: Leadership;
  readonly replicaStatus: ReplicaStatus;
  readonly repair: ReplicaRepair;
  readonly voters: FollowedVoters;
  readonly takeover: Takeover;
  readonly forwarding: CommandForwarding;
  readonly edits: OperatorEdits;
  readonly reads: QuorumReads;
  readonly document: ConfigStore;
  readonly table: TableManager;
  readonly effects: EffectQueue;
  readonly status: (now: Moment) => ControlStatus;
}

type CommandMessage = Extract<Message, { kind: 'command' }>;

/** Executes, forwards or rejects the commands of operators, from this node's own API or forwarded by another node. */
export class CommandHandler {
  readonly #dependencies: CommandDependencies;

  constructor(dependencies: CommandDependencies) {
    this.#dependencies = dependencies;
  }

  /** A command that another node forwarded. */
  onForwardedCommand(now: Moment, from: string, message: CommandMessage): void {
    const origin = { from, id: message.id };
    try {
      this.#dependencies.forwarding.checkForwarded(
        now,
        this.#dependencies.leadership.epoch,
        message,
      );
      this.#execute(now, origin, message.verb, message.body);
    } catch (thrown) {
      this.#reject(origin, thrown);
    }
  }

  /** A command that arrived at this node's own API. */
  onCommand(now: Moment, id: number, verb: string, body: string): void {
    const origin = { from: '', id };
    try {
      this.#execute(now, origin, verb, body);
    } catch (thrown) {
      this.#reject(origin, thrown);
    }
  }

  #execute(now: Moment, origin: Origin, verb: string, body: string): void {
    if (verb === 'status') this.#answer(origin, this.#dependencies.status(now));
    else if (verb === 'found') this.#forceNewCluster(now, origin);
    else this.#executeAtLeader(now, origin, verb, body);
  }

  /** Executes a command that only the leader can execute, or forwards it to the leader. */
  #executeAtLeader(now: Moment, origin: Origin, verb: string, body: string): void {
    const { forwarding, takeover, elector, leadership } = this.#dependencies;
    forwarding.checkAge(now, verb);
    if (takeover.isRecovering)
      throw new NoLeaderError('the table is being recovered from the members');
    if (elector.isLeading() && leadership.isServing) this.#executeAsLeader(now, origin, verb, body);
    else forwarding.forward(now, origin, verb, body);
  }

  #executeAsLeader(now: Moment, origin: Origin, verb: string, body: string): void {
    const { reads, table, document, edits } = this.#dependencies;
    if (verb === 'read') reads.read(origin);
    else if (verb === 'live') this.#answer(origin, table.live(now, document.newest()));
    else if (verb === 'fleet') this.#answer(origin, table.fleet(now, document.newest()));
    else edits.submit(now, origin, verb, body);
  }

  /** An operator declares that no replica better than those that this node can reach is left. */
  #forceNewCluster(now: Moment, origin: Origin): void {
    const { replicaStatus, takeover, repair, voters } = this.#dependencies;
    if (replicaStatus.name === 'sound') {
      this.#answer(origin, { outcome: 'already', standing: 'sound' });
      return;
    }
    replicaStatus.forceNewCluster();
    takeover.expectMissingWrites();
    repair.resolve(now, replicaStatus.outcome(now, voters.quorum));
    this.#answer(origin, { outcome: 'forced', standing: replicaStatus.name });
  }

  #answer(origin: Origin, result: object): void {
    this.#dependencies.effects.answer(origin, { status: 200, body: JSON.stringify(result) });
  }

  #reject(origin: Origin, thrown: unknown): void {
    this.#dependencies.effects.answer(origin, errorAnswer(toHaretrackError(thrown)));
  }
}

import { VOTE_RECORD } from '../../state/partition-names.js';
import { nodeId, type NodeId } from '../../common/ids.js';
import { Quorum } from '../../common/quorum.js';
import { compareVersions } from '../../common/version.js';
import { withLeader, type Leaders } from './leaders.js';
import type { Boot, DiskWrite, Envelope } from './local-states.js';
import { CLOCK_STEP_MS } from './protocol.js';
import type {
  FaultFreeRun,
  FaultBounds,
  StepDetails,
  InvariantCheck,
  NodeCommand,
  Protocol,
  View,
} from './protocol.js';
import {
  isConfig,
  Replica,
  voteBody,
  type ReplicaCommand,
  type ReplicaEvent,
  type ReplicaFacts,
  type ReplicaMistake,
} from './replica.js';

/** The first leader's epoch; each later epoch is two above the one before. */
const FIRST_EPOCH = 2;
const FIRST_LEADER = 0;
const SECOND_LEADER = 1;
const THIRD_NODE = 2;
const LETTERS = 'pqrstuvw';

/** The nodes that have granted one epoch to one leader, with the grant on disk. */
interface Grants {
  readonly epoch: number;
  readonly leader: number;
  /** The nodes, as a bit mask. */
  readonly by: number;
}

/** History that the invariants need. */
export interface ReplicationGhost {
  readonly grants: readonly Grants[];
  readonly leaders: Leaders;
  /** Number of writes of clients so far. */
  readonly changes: number;
  /** The longest body ever committed, and the epoch in which it was. */
  readonly committed: string;
  readonly committedEpoch: number;
}

/** Limits of a search of replication. */
export interface ReplicationBounds extends FaultBounds {
  /** Total numbers of new epochs and of writes of clients. */
  readonly elections: number;
  readonly changes: number;
}

/** Deliberate mistakes of the protocol as a whole or of one replica. */
export type ReplicationMistake = ReplicaMistake | 'committed-at-one-copy';

type ReplicationView = View<ReplicaFacts, ReplicationGhost>;

/** The state in which a search begins. */
export type ReplicationBeginning =
  /** The first leader has committed one change. */
  | 'calm'
  /** The first leader's next write reaches the second voter, which already leads a later epoch granted by the third. */
  | 'takeover'
  /** The first leader has committed a second change with the second voter only, which lost its disk and reads the others. */
  | 'wiped'
  /** The second voter leads; the third lost its disk after it had granted the epoch, and reads the others. */
  | 'wiped after a grant';

/** Counts a single replica as a majority. */
class OneCopyQuorum extends Quorum {
  override isMajority(ids: ReadonlySet<NodeId>): boolean {
    return ids.size > 0;
  }
}

/**
 * Replicated writes, takeover by new leaders and the repair of lost disks. The search explores who grants which epoch to
 * whom, and when: any voter may request a new epoch, and any voter in an older epoch may grant it.
 */
export class ReplicationProtocol implements Protocol<
  ReplicaCommand,
  ReplicaEvent,
  ReplicaFacts,
  ReplicationGhost
> {
  readonly name: string;
  readonly firstFrozen = 0;
  readonly lastingFaultsEnd = 'when no message is in transit';
  readonly clockStepMs = CLOCK_STEP_MS;
  readonly isBundled = false;
  readonly nodes: readonly NodeId[];
  readonly faults: ReplicationBounds;
  readonly firstDisks: readonly (readonly DiskWrite[])[];
  readonly firstGhost: ReplicationGhost;
  readonly #beginning: ReplicationBeginning;
  readonly #majority: Quorum;
  readonly #quorum: Quorum;
  readonly #mistake: ReplicaMistake | undefined;

  constructor(
    name: string,
    beginning: ReplicationBeginning,
    sets: readonly (readonly string[])[],
    faults: ReplicationBounds,
    mistake?: ReplicationMistake,
  ) {
    this.name = `${name}, ${beginning}`;
    this.#beginning = beginning;
    this.faults = faults;
    const ids = sets.map(idsOf);
    this.#majority = new Quorum(...ids);
    this.nodes = this.#majority.all;
    this.#quorum = mistake === 'committed-at-one-copy' ? new OneCopyQuorum(...ids) : this.#majority;
    this.#mistake = mistake === 'committed-at-one-copy' ? undefined : mistake;
    const body = voteBody(FIRST_EPOCH, FIRST_EPOCH, FIRST_LEADER);
    const granted = { slot: VOTE_RECORD, epoch: FIRST_EPOCH, count: 1, body };
    this.firstDisks = this.nodes.map(() => [granted]);
    const allNodes = (1 << this.nodes.length) - 1;
    const grants = [{ epoch: FIRST_EPOCH, leader: FIRST_LEADER, by: allNodes }];
    this.firstGhost = { grants, leaders: {}, changes: 0, committed: '', committedEpoch: 0 };
  }

  start(boot: Boot): Replica {
    return new Replica(boot, this.nodes, this.#quorum, this.#mistake);
  }

  prepare(run: FaultFreeRun<ReplicaCommand>): void {
    run.command(FIRST_LEADER, { do: 'lead' });
    run.command(FIRST_LEADER, { do: 'write', letter: 'a' });
    run.discardMessages();
    if (this.#beginning === 'calm') return;
    run.holdMessages();
    if (this.#beginning === 'wiped') {
      run.command(FIRST_LEADER, { do: 'write', letter: 'b' });
      run.deliver(FIRST_LEADER, SECOND_LEADER, 'write');
      run.deliver(SECOND_LEADER, FIRST_LEADER, 'writeReply');
      run.advance();
      run.tick(FIRST_LEADER);
      this.#wipe(run, SECOND_LEADER);
      return;
    }
    if (this.#beginning === 'takeover') run.command(FIRST_LEADER, { do: 'write', letter: 'b' });
    const grant = { do: 'grant', epoch: FIRST_EPOCH + 2, leader: SECOND_LEADER } as const;
    for (let node = SECOND_LEADER; node < this.nodes.length; node += 1) run.command(node, grant);
    run.command(SECOND_LEADER, { do: 'lead' });
    if (this.#beginning === 'takeover') {
      run.deliver(FIRST_LEADER, SECOND_LEADER, 'write');
      return;
    }
    run.discardMessages();
    this.#wipe(run, THIRD_NODE);
  }

  /** The node loses its disk, and sends read requests to all others. */
  #wipe(run: FaultFreeRun<ReplicaCommand>, node: number): void {
    run.discardMessages();
    run.wipe(node);
    run.advance();
    run.tick(node);
  }

  allowsFault(): boolean {
    return true;
  }

  mayArriveLate(): boolean {
    return true;
  }

  commands(view: ReplicationView): readonly NodeCommand<ReplicaCommand>[] {
    const found: NodeCommand<ReplicaCommand>[] = [];
    const { grants, changes } = view.ghost;
    for (const [node, facts] of view.facts.entries()) {
      if (facts.isServing && changes <= this.faults.changes) {
        found.push({ node, command: { do: 'write', letter: LETTERS.charAt(changes) } });
      }
      if (this.#mayLead(view, node)) found.push({ node, command: { do: 'lead' } });
      if (facts.replicaStatus !== 'sound') continue;
      for (let round = 1; round <= this.faults.elections; round += 1) {
        const epoch = FIRST_EPOCH + 2 * round;
        if (facts.epoch < epoch)
          found.push({ node, command: { do: 'grant', epoch, leader: node } });
      }
      for (const { epoch, leader } of grants) {
        if (facts.epoch < epoch && leader !== node) {
          found.push({ node, command: { do: 'grant', epoch, leader } });
        }
      }
    }
    return found;
  }

  #mayLead({ ghost, facts }: ReplicationView, node: number): boolean {
    const known = facts[node];
    if (!known || known.granted === 0 || known.grantLeader !== node) return false;
    if (known.ledEpoch === known.granted || ghost.leaders[known.granted] === node) return false;
    const grants = ghost.grants.find((grants) => isFor(known.granted, node, grants));
    const by = this.nodes.filter((id, index) => isInMask(grants?.by ?? 0, id, index));
    return this.#majority.isMajority(new Set(by));
  }

  checkInvariants(
    before: ReplicationView,
    after: ReplicationView,
    details: StepDetails<ReplicaCommand, ReplicaEvent>,
  ): InvariantCheck<ReplicationGhost> {
    let ghost = before.ghost;
    let violation: string | undefined;
    const facts = details.node === undefined ? undefined : after.facts[details.node];
    if (details.node !== undefined && facts) {
      ghost = withGrant(ghost, details.node, facts);
      if (details.command?.do === 'write') ghost = { ...ghost, changes: ghost.changes + 1 };
      if (facts.ledEpoch > 0) {
        const leaderCheck = withLeader(ghost.leaders, facts.ledEpoch, details.node);
        if (leaderCheck.leaders !== ghost.leaders)
          ghost = { ...ghost, leaders: leaderCheck.leaders };
        violation = leaderCheck.violation;
      }
    }
    const overwrite = details.sent.find(omitsCommitted.bind(undefined, ghost));
    if (overwrite) {
      violation ??= `a leader writes ${JSON.stringify(overwrite.messages)} though ${JSON.stringify(ghost.committed)} was committed`;
    }
    for (const event of details.events) {
      violation ??= this.#checkEvent(ghost, after, event);
      if (event.kind === 'committed' && event.body.length > ghost.committed.length) {
        ghost = { ...ghost, committed: event.body, committedEpoch: event.version.epoch };
      }
    }
    return { ghost, violation };
  }

  #checkEvent(
    { committed }: ReplicationGhost,
    after: ReplicationView,
    event: ReplicaEvent,
  ): string | undefined {
    const body = JSON.stringify(event.body);
    if (event.kind === 'serving') {
      if (event.body.startsWith(committed)) return undefined;
      return `a leader serves ${body} though ${JSON.stringify(committed)} was committed`;
    }
    if (!event.body.startsWith(committed) && !committed.startsWith(event.body)) {
      return `${body} is committed in conflict with ${JSON.stringify(committed)}`;
    }
    const holders = new Set<NodeId>();
    for (const [node, disk] of after.disks.entries()) {
      const name = this.nodes[node];
      if (
        name !== undefined &&
        disk.some((write) => isConfig(write) && compareVersions(write, event.version) >= 0)
      ) {
        holders.add(name);
      }
    }
    // A disk that has been lost since held the write when its node acknowledged it.
    if (this.faults.wipes > 0 || this.#majority.isMajority(holders)) return undefined;
    return `${body} is committed without a majority of synced copies`;
  }
}

function withGrant(ghost: ReplicationGhost, node: number, facts: ReplicaFacts): ReplicationGhost {
  if (facts.granted === 0) return ghost;
  const { granted: epoch, grantLeader: leader } = facts;
  const known = ghost.grants.find((grants) => isFor(epoch, leader, grants));
  const by = (known?.by ?? 0) | (1 << node);
  if (known?.by === by) return ghost;
  const others = ghost.grants.filter((grants) => grants !== known);
  return { ...ghost, grants: [...others, { epoch, leader, by }].sort(byEpoch) };
}

/** Whether a leader writes a body that does not extend what an earlier leader has committed. */
function omitsCommitted({ committed, committedEpoch }: ReplicationGhost, sent: Envelope): boolean {
  const [message] = sent.messages;
  if (message?.kind !== 'write' || message.epoch <= committedEpoch) return false;
  return !message.body.startsWith(committed);
}

function isFor(epoch: number, leader: number, grants: Grants): boolean {
  return grants.epoch === epoch && grants.leader === leader;
}

function byEpoch(a: Grants, b: Grants): number {
  return a.epoch - b.epoch || a.leader - b.leader;
}

function idsOf(set: readonly string[]): NodeId[] {
  return set.map(nodeId);
}

function isInMask(mask: number, _id: NodeId, index: number): boolean {
  return (mask & (1 << index)) !== 0;
}

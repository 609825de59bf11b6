import { nodeId, type Moment, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { Sessions } from '../dissemination/sessions.js';
import type { PlacerSettings } from '../placement/placer-types.js';
import { CommandHandler } from './command-handler.js';
import { ConfigStore } from './config-store.js';
import type { ConfigDoc } from './config-shapes.js';
import type { ControlSettings } from './control-effect.js';
import { ControlNodeZones } from './control-node-zones.js';
import type { ControlReplica } from './control-replica.js';
import { statusOf, type ControlStatus } from './control-status.js';
import { KnownMembers } from './known-members.js';
import { DrainingRunnersReader } from './draining-runners-reader.js';
import { MemberMessages } from './member-messages.js';
import { OperatorEdits, type Commit } from './operator-edits.js';
import type { CommandAnswer, Origin } from './command-answers.js';
import { CommandForwarding } from './command-forwarding.js';
import { PartitionWriter } from './partition-writer.js';
import { PlacementControl } from './placement-control.js';
import { QuorumReads } from './quorum-reads.js';
import { RelayTree } from './relay-tree.js';
import { ReplicaRepair } from './replica-repair.js';
import { StateMessages } from './state-messages.js';
import { Takeover } from './takeover.js';
import { UpdateExchange } from './update-exchange.js';
import { VoterMembership } from './voter-membership.js';
import type { VoterSetChange } from './voter-plan.js';
import { VoterSetWriter } from './voter-set-writer.js';

/** The operations of the core that its components call. */
export interface CoreHooks {
  /** Whether orders may be sent to runners at this moment. */
  readonly mayOrder: (now: Moment) => boolean;
  /** Applies the pending effects of the election and of the replicated state. */
  readonly drainEffects: (now: Moment) => void;
  /** The ids of all nodes that this node needs a connection to. */
  readonly peers: () => readonly string[];
}

/** The components of a control node, each with one responsibility; constructs them and connects them to each other. */
export class ControlComponents {
  readonly sessions: Sessions;
  readonly members: KnownMembers;
  readonly tree: RelayTree;
  readonly zones: ControlNodeZones;
  readonly writer: PartitionWriter;
  readonly document: ConfigStore;
  readonly placement: PlacementControl;
  readonly updates: UpdateExchange;
  readonly edits: OperatorEdits;
  readonly forwarding: CommandForwarding;
  readonly reads: QuorumReads;
  readonly voterSet: VoterSetWriter;
  /** Present only in a deployment, where voters are replaced without an operator. */
  readonly membership: VoterMembership | undefined;
  /** Present only in a deployment, where the leader alone polls the list of runners. */
  readonly drainingRunners: DrainingRunnersReader | undefined;
  readonly repair: ReplicaRepair;
  readonly takeover: Takeover;
  readonly commands: CommandHandler;
  readonly stateMessages: StateMessages;
  readonly memberMessages: MemberMessages;
  readonly #settings: ControlSettings;
  readonly #replica: ControlReplica;
  readonly #hooks: CoreHooks;
  readonly #isDeployed: boolean;

  constructor(
    settings: ControlSettings,
    placer: PlacerSettings,
    replica: ControlReplica,
    now: Moment,
    hooks: CoreHooks,
  ) {
    const { me, elector, state } = replica;
    this.#settings = settings;
    this.#replica = replica;
    this.#hooks = hooks;
    this.#isDeployed = settings.deployed !== undefined;
    this.sessions = new Sessions(settings.silentMs, settings.blindMs * 2);
    this.members = new KnownMembers(this.sessions, settings.blindMs, now);
    this.tree = this.#makeTree();
    this.zones = new ControlNodeZones(me, settings.zone, elector);
    this.writer = new PartitionWriter(state);
    this.document = new ConfigStore({
      ...replica,
      seeds: settings.seeds,
      writer: this.writer,
    });
    this.placement = this.#makePlacement(placer);
    this.updates = this.#makeUpdates();
    this.edits = this.#makeEdits();
    this.forwarding = this.#makeForwarding(now);
    this.reads = this.#makeReads();
    this.voterSet = new VoterSetWriter({ ...replica, ...this.#writers() });
    this.membership = this.#isDeployed ? this.#makeMembership(now) : undefined;
    this.drainingRunners = this.#isDeployed ? this.#makeDrainingRunnersReader(now) : undefined;
    this.repair = this.#makeRepair();
    this.takeover = this.#makeTakeover();
    this.commands = this.#makeCommands();
    this.stateMessages = this.#makeStateMessages();
    this.memberMessages = this.#makeMemberMessages();
  }

  /** The status of this node as operators see it. */
  status(now: Moment): ControlStatus {
    const { members, tree, placement } = this;
    return statusOf(now, {
      ...this.#replica,
      members,
      tree,
      placement,
      zone: this.#settings.zone,
      mayOrder: this.#hooks.mayOrder,
    });
  }

  /** The components that the leader writes with. */
  #writers(): { readonly writer: PartitionWriter; readonly document: ConfigStore } {
    return { writer: this.writer, document: this.document };
  }

  #makeTree(): RelayTree {
    return new RelayTree({
      ...this.#replica,
      sessions: this.sessions,
      controlNodeChildren: () => this.#voterChildren(),
    });
  }

  /** The other voters, which the leader sends updates to as well; none while this node does not lead. */
  #voterChildren(): readonly NodeId[] {
    const { elector, voters, me } = this.#replica;
    if (!elector.isLeading()) return [];
    return voters.quorum.all.filter((id) => id !== me);
  }

  #makePlacement(placer: PlacerSettings): PlacementControl {
    return new PlacementControl({
      ...this.#replica,
      ...this.#writers(),
      settings: this.#settings,
      placer,
      members: this.members,
      mayOrder: this.#hooks.mayOrder,
    });
  }

  #makeUpdates(): UpdateExchange {
    return new UpdateExchange({
      ...this.#replica,
      tree: this.tree,
      members: this.members,
      table: this.placement.table,
      followsConfigUpdates: this.#isDeployed,
    });
  }

  #makeEdits(): OperatorEdits {
    const { document } = this;
    const { counters, effects } = this.#replica;
    const host = {
      newest: () => document.newest(),
      committed: () => document.committed(),
      write: (now: Moment, doc: ConfigDoc, token: number) => document.write(now, doc, token),
      requestConfirmation: () => this.reads.confirmRejection(),
      answer: (origin: Origin, answer: CommandAnswer) => effects.answer(origin, answer),
      isInForce: (now: Moment, commit: Commit) => this.#isInForce(now, commit),
    };
    return new OperatorEdits(host, this.#settings.deployed?.dialect, counters);
  }

  #isInForce(now: Moment, commit: Commit): boolean {
    // In a deployment an acknowledgement means durable on a majority; how soon proxies follow is bounded separately.
    return this.#isDeployed || this.members.isInForce(now, commit);
  }

  #makeForwarding(now: Moment): CommandForwarding {
    const { counters, effects, elector } = this.#replica;
    const host = {
      leader: () => this.#otherLeader(),
      extraRoundTripMs: (id: string) => elector.extraRoundTripMsOf(nodeId(id)),
      send: (to: string, message: Message) => effects.send(to, message),
      answer: (origin: Origin, answer: CommandAnswer) => effects.answer(origin, answer),
    };
    return new CommandForwarding(host, counters, this.#settings.incarnation, now);
  }

  #otherLeader(): string | undefined {
    const { elector, me } = this.#replica;
    return elector.leader === me ? undefined : elector.leader;
  }

  #makeReads(): QuorumReads {
    return new QuorumReads({
      ...this.#replica,
      incarnation: this.#settings.incarnation,
      members: this.members,
      table: this.placement.table,
      updates: this.updates,
      needsMachines: !this.#isDeployed,
      onConfirmation: (now, id, isNewest) => this.edits.onConfirmation(now, id, isNewest),
    });
  }

  #makeMembership(now: Moment): VoterMembership {
    const { document, zones, voterSet, updates } = this;
    const { effects } = this.#replica;
    const host = {
      ...this.#replica,
      updates,
      zone: this.#settings.zone,
      isFirstStart: this.#settings.deployed?.isFirstStart ?? false,
      peers: this.#hooks.peers,
      document: () => document.newest(),
      zoneOf: (id: string) => zones.zoneOf(id),
      send: (to: string, message: Message) => effects.send(to, message),
      rewritePartitions: (now: Moment) => voterSet.rewritePartitions(now),
      writeVoters: (now: Moment, change: VoterSetChange) => voterSet.writeVoters(now, change),
    };
    return new VoterMembership(host, now);
  }

  #makeDrainingRunnersReader(now: Moment): DrainingRunnersReader {
    const { effects, voters, leadership } = this.#replica;
    const host = {
      ...this.#replica,
      quorum: () => voters.quorum,
      isServing: () => leadership.isServing,
      children: () => this.tree.children(),
      pollRunnerList: () => effects.add({ do: 'askList' }),
      send: (to: string, message: Message) => effects.send(to, message),
    };
    return new DrainingRunnersReader(host, now);
  }

  #makeRepair(): ReplicaRepair {
    return new ReplicaRepair({
      ...this.#replica,
      hasSpares: this.#isDeployed,
      drainEffects: this.#hooks.drainEffects,
    });
  }

  #makeTakeover(): Takeover {
    const { placement, edits, reads, updates, membership, tree } = this;
    return new Takeover({
      ...this.#replica,
      ...this.#writers(),
      placement,
      edits,
      reads,
      updates,
      membership,
      tree,
    });
  }

  #makeCommands(): CommandHandler {
    const { repair, takeover, forwarding, edits, reads, document, placement } = this;
    return new CommandHandler({
      ...this.#replica,
      repair,
      takeover,
      forwarding,
      edits,
      reads,
      document,
      table: placement.table,
      status: (now) => this.status(now),
    });
  }

  #makeStateMessages(): StateMessages {
    const { repair, members } = this;
    return new StateMessages({ ...this.#replica, repair, members });
  }

  #makeMemberMessages(): MemberMessages {
    const { sessions, tree, members, updates, reads, placement, zones, drainingRunners } = this;
    return new MemberMessages({
      ...this.#replica,
      isDeployed: this.#isDeployed,
      sessions,
      tree,
      members,
      updates,
      reads,
      placement,
      zones,
      drainingRunners,
    });
  }
}

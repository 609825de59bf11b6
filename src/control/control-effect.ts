import type { Moment, PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { Fleet, FleetDemand, ListedRunner, RunnerStatus } from '../placement/fleet.js';
import type { Intent, ServiceDoc } from '../placement/shapes.js';
import type { ConfigDialect, Routing } from '../route/routing.js';
import type { CoreLogEvent } from './control-log-event.js';

/** An effect that a control node's core has decided on; the process, or a simulator, carries effects out in order. */
export type ControlEffect =
  /** Send a message to another node, if it is connected. */
  | { readonly do: 'send'; readonly to: string; readonly message: Message }
  /** Write a version of a partition to disk and sync it; the result is `ControlCore.onPersisted`. */
  | {
      readonly do: 'store';
      readonly partition: PartitionName;
      readonly version: Version;
      readonly body: string;
    }
  /** Poll the platform's list of machines; the result is `ControlCore.onMachines`. */
  | { readonly do: 'askMachines' }
  /** Poll the catalog of the weight store; the result is `ControlCore.onCatalog`. */
  | { readonly do: 'askCatalog' }
  /** Poll the platform's list of runners; the result is `ControlCore.onRunnerList`. */
  | { readonly do: 'askList' }
  /** Poll a runner's status; the result is `ControlCore.onRunnerStatus`. */
  | { readonly do: 'askStatus'; readonly runner: string; readonly address: string }
  /** Poll a runner's report; the result is `ControlCore.onRunnerReport`. */
  | { readonly do: 'askReport'; readonly runner: string; readonly address: string }
  /** Send an order to a runner, only if `mayOrder` is still true right before the write; abort it before the lease ends. */
  | { readonly do: 'order'; readonly intent: Intent; readonly address: string }
  /** Answer a command of this node's own API: an HTTP status and a JSON body. */
  | { readonly do: 'reply'; readonly id: number; readonly status: number; readonly body: string }
  /** Write a log event. */
  | { readonly do: 'log'; readonly event: CoreLogEvent };

/**
 * The outcome of an order at a runner: accepted, already fulfilled, rejected for now, rejected permanently, unknown, or
 * never written.
 */
export type OrderResult = 'taken' | 'held' | 'busy' | 'refused' | 'unsure' | 'unsent';

/** Plans the placement of models in a deployment, whose platform lists the runners and whose configuration sets the routing. */
export interface FleetPlanner {
  /** This node became the leader, with the stored services; `label` is the prefix of the ids of the intents that it decides. */
  restore(now: Moment, docs: readonly ServiceDoc[], label: string): void;
  /** The placements and intents to be stored. */
  docs(): readonly ServiceDoc[];
  /** A proxy reported its demand. */
  onDemand(now: Moment, report: FleetDemand): void;
  /** The platform's list of runners was read. */
  onRunnerList(now: Moment, runners: readonly ListedRunner[]): void;
  /** A poll of a runner that began at `requestedAt` ended; `status` is undefined if it returned none. */
  onRunnerStatus(
    now: Moment,
    runner: string,
    requestedAt: Moment,
    report: RunnerStatus | undefined,
  ): void;
  /** Ids of the runners whose poll is due; each is returned once until its poll has ended. */
  takeDueReportRequests(now: Moment): readonly string[];
  /** Plans; returns the models whose documents changed and have to be stored. */
  plan(
    now: Moment,
    input: {
      readonly routing: Routing | undefined;
      readonly evacuatedZones: readonly string[];
      readonly proxies: number;
    },
  ): readonly string[];
  /** The committed intents that are due to be sent as orders; each is returned once until its order has ended. */
  takeDueOrders(now: Moment): readonly Intent[];
  /** These intents are stored at a majority: they may be sent. */
  markPersisted(intentIds: Iterable<string>): void;
  /** The order of an intent ended. */
  onOrderOutcome(now: Moment, intentId: string, outcome: OrderResult): void;
  /** The fleet as published to proxies. */
  fleet(now: Moment): Fleet;
  /** When the next plan or order is due without new input; undefined if none is. */
  nextPlanAt(now: Moment): Moment | undefined;
}

/** What a deployment provides; without it the node uses haretrack's own policy table, platform and weight store. */
export interface Deployment {
  readonly dialect: ConfigDialect;
  readonly planner: FleetPlanner;
  /** Whether this is the first start of the cluster: only then may nodes with blank disks start a new cluster. */
  readonly isFirstStart: boolean;
  /** Interval at which the leader polls the list of runners, in milliseconds. */
  readonly listMs: number;
}

/** The settings of one control node; times are in milliseconds. */
export interface ControlSettings {
  readonly me: string;
  readonly zone: string;
  /** Unique to this incarnation of the process, and far from the numbers of others, since ids are counted up from it. */
  readonly incarnation: number;
  readonly seeds: readonly string[];
  /** The freshness bound: a member whose configuration was not confirmed within it rejects new requests. */
  readonly blindMs: number;
  /** The idle timeout of a session. */
  readonly silentMs: number;
  /** How long a node with a blank disk waits for peers that may have state before it starts a new cluster. */
  readonly foundMs: number;
  /** Interval at which runners are polled for their reports. */
  readonly reportMs: number;
  /** Interval at which the list of machines is polled. */
  readonly machinesMs: number;
  readonly deployed?: Deployment | undefined;
}

/** Default times of a control node, in milliseconds. */
export const CONTROL_DEFAULTS = {
  blindMs: 2500,
  silentMs: 1500,
  foundMs: 1500,
  reportMs: 400,
  machinesMs: 500,
} as const;

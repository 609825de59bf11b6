import type { Moment, PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { Fleet, FleetDemand, ListedRunner, RunnerStatus } from '../placement/fleet.js';
import type { Intent, ServiceDoc } from '../placement/shapes.js';
import type { ConfigDialect, Routing } from '../route/routing.js';
import type { CoreLogEvent } from './control-log-event.js';

/** An effect that a control node's core has decided on; the process and the simulators carry it out, in order. */
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
  /** Send an order to a runner, only if `mayOrder` is still true right before the write; aborted before the lease ends. */
  | { readonly do: 'order'; readonly intent: Intent; readonly address: string }
  /** Answer a command of this node's own API: an HTTP status and a JSON body. */
  | { readonly do: 'reply'; readonly id: number; readonly status: number; readonly body: string }
  /** Write a log event. */
  | { readonly do: 'log'; readonly event: CoreLogEvent };

/**
 * The outcome of an order at a runner: accepted, already fulfilled, rejected for now, rejected for good, unknown, or never
 * written.
 */
export type OrderResult = 'taken' | 'held' | 'busy' | 'refused' | 'unsure' | 'unsent';

/** The placement of models in a deployment, which lists its runners and routes by a configuration of its own. */
export interface FleetPlanner {
  restore(now: Moment, docs: readonly ServiceDoc[], label: string): void;
  docs(): readonly ServiceDoc[];
  onDemand(now: Moment, report: FleetDemand): void;
  onRunnerList(now: Moment, runners: readonly ListedRunner[]): void;
  onRunnerStatus(
    now: Moment,
    runner: string,
    askedAt: Moment,
    report: RunnerStatus | undefined,
  ): void;
  takeDueReportRequests(now: Moment): readonly string[];
  plan(
    now: Moment,
    input: {
      readonly routing: Routing | undefined;
      readonly evacuatedZones: readonly string[];
      readonly proxies: number;
    },
  ): readonly string[];
  takeDueOrders(now: Moment): readonly Intent[];
  markPersisted(intentIds: Iterable<string>): void;
  onOrderOutcome(now: Moment, intentId: string, outcome: OrderResult): void;
  fleet(now: Moment): Fleet;
  nextPlanAt(now: Moment): Moment | undefined;
}

/** What a deployment provides; without it the node uses the product's own policy table, platform and weight store. */
export interface Deployed {
  readonly dialect: ConfigDialect;
  readonly planner: FleetPlanner;
  /** Whether this is the first start of the cluster: only then may nodes with blank disks start a new cluster. */
  readonly isFirstStart: boolean;
  /** How often the leader polls the list of runners, in milliseconds. */
  readonly listMs: number;
}

/** The settings of one control node; times are in milliseconds. */
export interface ControlSettings {
  readonly me: string;
  readonly zone: string;
  /** A number that no other incarnation of this process has, well apart from the others. */
  readonly incarnation: number;
  readonly seeds: readonly string[];
  /** The freshness bound: a member whose configuration was not confirmed within it rejects new requests. */
  readonly blindMs: number;
  /** The idle timeout of a session. */
  readonly silentMs: number;
  /** How long a node with a blank disk waits for peers that may have state before it starts a new cluster. */
  readonly foundMs: number;
  /** How often runners are polled for their reports. */
  readonly reportMs: number;
  /** How often the list of machines is polled. */
  readonly machinesMs: number;
  readonly deployed?: Deployed | undefined;
}

/** Times of a control node where the settings name none. */
export const CONTROL_DEFAULTS = {
  blindMs: 2500,
  silentMs: 1500,
  foundMs: 1500,
  reportMs: 400,
  machinesMs: 500,
} as const;

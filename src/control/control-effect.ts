import type { PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { Version } from '../common/version.js';
import type { Fleet, FleetDemand, ListedRunner, RunnerStatus } from '../placement/fleet.js';
import type { Intent, ServiceDoc } from '../placement/shapes.js';
import type { ConfigDialect, Routing } from '../route/routing.js';
import type { Moment } from '../common/ids.js';
import type { CoreLogEvent } from './control-log-event.js';

/** What a control node's core wants done; the process and the simulator carry it out alike. */
export type ControlEffect =
  | { readonly do: 'send'; readonly to: string; readonly message: Message }
  | {
      readonly do: 'store';
      readonly partition: PartitionName;
      readonly version: Version;
      readonly body: string;
    }
  | { readonly do: 'askMachines' }
  | { readonly do: 'askCatalog' }
  /** For the platform's list of runners; its return is told as list(). */
  | { readonly do: 'askList' }
  /** For a runner's own report; its return is told as status(). */
  | { readonly do: 'askStatus'; readonly runner: string; readonly address: string }
  | { readonly do: 'askReport'; readonly runner: string; readonly address: string }
  /** To be written only if mayOrder() still says so right before the write, and to be cut off before the lease ends. */
  | { readonly do: 'order'; readonly intent: Intent; readonly address: string }
  | { readonly do: 'reply'; readonly id: number; readonly status: number; readonly body: string }
  /** A line for the log. */
  | { readonly do: 'log'; readonly event: CoreLogEvent };

export type OrderResult = 'taken' | 'held' | 'busy' | 'refused' | 'unsure' | 'unsent';

/** Placement for a deployment that lists its runners and routes by a configuration of its own. */
export interface FleetPlanner {
  restore(now: Moment, docs: readonly ServiceDoc[], label: string): void;
  docs(): readonly ServiceDoc[];
  demand(now: Moment, report: FleetDemand): void;
  list(now: Moment, runners: readonly ListedRunner[]): void;
  status(now: Moment, runner: string, askedAt: Moment, status: RunnerStatus | undefined): void;
  asks(now: Moment): readonly string[];
  plan(
    now: Moment,
    input: {
      readonly routing: Routing | undefined;
      readonly evacuatedZones: readonly string[];
      readonly proxies: number;
    },
  ): readonly string[];
  orders(now: Moment): readonly Intent[];
  kept(intentIds: Iterable<string>): void;
  ordered(now: Moment, intentId: string, outcome: OrderResult): void;
  fleet(now: Moment): Fleet;
  nextAt(now: Moment): Moment | undefined;
}

/** What a deployment brings; without it the node runs by the product's own table, platform and weight store. */
export interface Deployed {
  readonly dialect: ConfigDialect;
  readonly planner: FleetPlanner;
  /** Only at the very first start may blank nodes found. */
  readonly isFirstStart: boolean;
  readonly listMs: number;
}

export interface ControlSettings {
  readonly me: string;
  readonly zone: string;
  /** A number that no other life of this process has, well apart from others'. */
  readonly incarnation: number;
  readonly seeds: readonly string[];
  /** A member not confirmed fresh within this span turns new work away. */
  readonly blindMs: number;
  /** How long a session may be silent before it counts as lost. */
  readonly silentMs: number;
  /** How long a blank node waits for members that may hold state before it founds. */
  readonly foundMs: number;
  readonly reportMs: number;
  readonly machinesMs: number;
  readonly deployed?: Deployed | undefined;
}

export const CONTROL_DEFAULTS = {
  blindMs: 2500,
  silentMs: 1500,
  foundMs: 1500,
  reportMs: 400,
  machinesMs: 500,
} as const;

/** What the dispatcher is told of requests and answers, and what it tells the forwarder to do. */
import type { RetryBudgetSettings } from './retry-budget.js';

/** A part of a prompt that requests share, and how many tokens it has. */
export interface PrefixBlock {
  readonly id: string;
  readonly tokens: number;
}

/** What a request says of itself in its head. */
export interface RequestHead {
  readonly id: number;
  readonly host: string;
  readonly path: string;
  readonly model: string;
  readonly adapter: string;
  readonly promptTokens: number;
  readonly prefix: readonly PrefixBlock[];
  /** How long its client waits, where it tells. */
  readonly timeLeftMs: number | undefined;
}

/** What the forwarder must do now. */
export type DispatchEffect =
  | {
      readonly do: 'send';
      readonly id: number;
      readonly attempt: number;
      readonly runner: string;
      readonly address: string;
      readonly timeLeftMs: number;
      readonly urgency: number;
      readonly isBuffered: boolean;
      readonly isResumable: boolean;
      /** Whether no connection that was kept before may be used. */
      readonly needsNewConnection: boolean;
    }
  /** It has not run and never will: said at once, with when to come back. */
  | {
      readonly do: 'reject';
      readonly id: number;
      readonly reason: RejectReason;
      readonly retryAfterMs: number;
    }
  /** It may have run: no promise is made. */
  | { readonly do: 'fail'; readonly id: number; readonly isTimeout: boolean }
  /** The answer of the runner, a failure of its own, is passed on as it is. */
  | { readonly do: 'forward'; readonly id: number; readonly attempt: number }
  | { readonly do: 'cancel'; readonly id: number; readonly attempt: number };

/** Why a request is refused; each reason says that it has not run. */
export type RejectReason = 'no-config' | 'no-route' | 'no-runner' | 'full' | 'late' | 'not-loaded';

/** What a runner's answer began with. */
export interface ResponseHead {
  readonly status: number;
  /** The runner's own word, meant for this very request, that it did not run it and will not. */
  readonly isUnprocessed: boolean;
  /** Whether the answer is one to this request, by its echoed id, and sealed where it is a success. */
  readonly isGenuine: boolean;
}

/** What a dispatcher is set up with once. */
export interface DispatcherSettings {
  /** The name of this proxy. */
  readonly proxyId: string;
  readonly zone: string;
  readonly retry: RetryBudgetSettings;
  /** What a cold runner bears beyond its rate, over the whole fleet. */
  readonly warmupExcess: number;
  /** How long the making of a connection to a runner may take. */
  readonly connectTimeoutMs: number;
  /** Whether a connection to that address stands idle: a new one costs the runner time. */
  readonly hasIdleConnection: (address: string) => boolean;
  /** A number from 0 up to 1; injected so that the simulator repeats. */
  readonly random: () => number;
}

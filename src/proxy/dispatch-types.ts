/** Types of the dispatcher's events, effects and settings: what the forwarder passes in, and what it has to carry out. */
import type { RetryBudgetSettings } from './retry-budget.js';

/** A block of a prompt that several requests may share. `tokens`: its length. */
export interface PrefixBlock {
  readonly id: string;
  readonly tokens: number;
}

/** What the dispatcher needs to know of a client's request; independent of the deployment's dialect. */
export interface RequestHead {
  readonly id: number;
  readonly host: string;
  readonly path: string;
  readonly model: string;
  readonly adapter: string;
  readonly promptTokens: number;
  readonly prefix: readonly PrefixBlock[];
  /** How long the client still waits, ms; undefined if it does not state that. */
  readonly timeLeftMs: number | undefined;
}

/** What the forwarder has to do. An effect on an attempt that is no longer current is to be ignored. */
export type DispatchEffect =
  /** Connect to the runner, and write the request unless `onConnect` returns false. */
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
      /** Whether the attempt must not use an idle connection of the pool. */
      readonly needsNewConnection: boolean;
    }
  /** Reject the request: no runner has processed it or will. The response states when to retry. */
  | {
      readonly do: 'reject';
      readonly id: number;
      readonly reason: RejectReason;
      readonly retryAfterMs: number;
    }
  /** Fail the request: a runner may have processed it. */
  | { readonly do: 'fail'; readonly id: number; readonly isTimeout: boolean }
  /** Forward the runner's response to the client, whatever its status. */
  | { readonly do: 'forward'; readonly id: number; readonly attempt: number }
  /** Abort the attempt at the runner. */
  | { readonly do: 'cancel'; readonly id: number; readonly attempt: number };

/** Why a request is rejected. A rejected request has not been processed by any runner. */
export type RejectReason = 'no-config' | 'no-route' | 'no-runner' | 'full' | 'late' | 'not-loaded';

/** What a deployment's dialect reads from the head of a runner's response. */
export interface ResponseStatus {
  readonly status: number;
  /** Whether the runner states that it has not processed this request, identified by its id, and will not. */
  readonly isUnprocessed: boolean;
  /** Whether the response belongs to this request: it echoes the request's id, and a success carries the runner's seal. */
  readonly isGenuine: boolean;
}

/** What the dispatcher needs to know of the head of a runner's response. */
export interface ResponseHead extends ResponseStatus {
  /** Whether its body is a `text/event-stream` (WHATWG HTML, 9.2), which another attempt can resume after any event. */
  readonly isEventStream: boolean;
}

/** Settings of a dispatcher; they do not change while it runs. */
export interface DispatcherSettings {
  /** The id of this proxy. */
  readonly proxyId: string;
  readonly zone: string;
  readonly retry: RetryBudgetSettings;
  /** Factor by which the fleet may exceed the request rate of a runner that is warming up. */
  readonly warmupExcess: number;
  /** Timeout of connecting to a runner, ms. */
  readonly connectTimeoutMs: number;
  /** Whether the pool has an idle connection to the address; accepting a new one costs the runner time. */
  readonly hasIdleConnection: (address: string) => boolean;
  /** A random number in [0, 1); injected so that simulated runs can be repeated. */
  readonly random: () => number;
}

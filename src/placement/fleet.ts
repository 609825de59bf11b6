import { array, boolean, number, optional, string, type, type Infer } from 'superstruct';
import { parseAs } from '../common/json.js';

/**
 * How long a number of proxies stays in effect after a smaller one was counted, in milliseconds. An agent may need two
 * session timeouts until another control node knows it.
 */
export const PROXY_COUNT_RETENTION_MS = 10_000;

/** A model that is ready at a runner, with its ready adapters. */
export const FleetHoldShape = type({ model: string(), adapters: array(string()) });
/** A model (or one of its adapters, if named) being loaded at a runner; `readyMs` counts from the message. */
export const FleetComingShape = type({ model: string(), adapter: string(), readyMs: number() });

/** A runner as published to the data plane. */
export const FleetRunnerShape = type({
  id: string(),
  address: string(),
  zone: string(),
  service: string(),
  slots: number(),
  isLeaving: boolean(),
  coldMs: number(),
  holds: array(FleetHoldShape),
  coming: array(FleetComingShape),
});

/** A model or adapter that waits for a load not started yet, and the estimated ms until it is ready; 0 if unknown. */
export const FleetWaitShape = type({ model: string(), adapter: string(), readyMs: number() });

/** The fleet as the leader publishes it to the data plane (topic `fleet`). */
export const FleetShape = type({
  /** The number of proxies that share fleet-wide budgets. */
  flows: number(),
  runners: array(FleetRunnerShape),
  waits: array(FleetWaitShape),
});
/** Changes since the previous version: new or changed runners, removed runners, and all other fields in full. */
export const FleetDeltaShape = type({
  flows: number(),
  waits: array(FleetWaitShape),
  put: array(FleetRunnerShape),
  drop: array(string()),
});
/** The changes from one version of the fleet to the next. */
export type FleetDelta = Infer<typeof FleetDeltaShape>;

/** The fleet after a change; unchanged runners stay the same objects. */
export function applyFleetDelta(fleet: Fleet, delta: FleetDelta): Fleet {
  const putById = new Map<string, FleetRunner>();
  for (const runner of delta.put) putById.set(runner.id, runner);
  const dropIds = new Set(delta.drop);
  const runners: FleetRunner[] = [];
  for (const runner of fleet.runners) {
    if (dropIds.has(runner.id)) continue;
    runners.push(putById.get(runner.id) ?? runner);
    putById.delete(runner.id);
  }
  return { flows: delta.flows, waits: delta.waits, runners: [...runners, ...putById.values()] };
}

/**
 * Applies changes in order to a fleet, all given as JSON. Returns undefined if the fleet cannot be parsed; changes that
 * cannot be parsed are skipped.
 */
export function mergeFleetText(body: string, changes: readonly string[]): string | undefined {
  // Parsing and serializing a large fleet is slow: done once for all changes.
  let fleet = parseAs(FleetShape, body);
  if (!fleet) return undefined;
  for (const change of changes) {
    const delta = parseAs(FleetDeltaShape, change);
    if (delta) fleet = applyFleetDelta(fleet, delta);
  }
  return JSON.stringify(fleet);
}

/** The number of proxies, as contained in updates of the fleet and of the policy table's places. */
export const ProxyCountShape = type({ flows: number() });

/** One runner, as published to the data plane. */
export type FleetRunner = Infer<typeof FleetRunnerShape>;
/** A model or adapter that requests wait for, as published to the data plane. */
export type FleetWait = Infer<typeof FleetWaitShape>;
/** The fleet, as published to the data plane. */
export type Fleet = Infer<typeof FleetShape>;

/** One proxy's demand since its previous report, by model and adapter ('' for the model itself). */
export const FleetDemandShape = type({
  flow: string(),
  units: array(
    type({
      service: string(),
      model: string(),
      adapter: string(),
      /** Requests that arrived since the previous report. */
      count: number(),
      /** Requests that wait at this proxy now because no runner holds what they need. */
      waiting: number(),
      /** Requests that run through this proxy now. */
      running: number(),
      /** The most urgent priority among the waiting requests; 0 is the highest. */
      priority: optional(number()),
    }),
  ),
});
/** One proxy's demand. */
export type FleetDemand = Infer<typeof FleetDemandShape>;

/** A runner as the platform lists it; the models it holds are as old as the list. */
export interface ListedRunner {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly service: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** The time until it is removed, if the platform says. */
  readonly remainingMs: number | undefined;
  readonly coldMs: number;
  readonly holds: readonly { readonly model: string; readonly adapters: readonly string[] }[];
}

/** A runner's own report: its models, whether an order is running, and how many orders it accepted since its start. */
export interface RunnerStatus {
  readonly holds: readonly { readonly model: string; readonly adapters: readonly string[] }[];
  readonly isBusy: boolean;
  readonly orderCount: number;
  readonly waiting: number;
  readonly active: number;
}

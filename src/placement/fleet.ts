import { array, boolean, number, optional, string, type, type Infer } from 'superstruct';
import { parseAs } from '../common/json.js';

/**
 * For how long a number of proxies holds after a smaller one was counted, in milliseconds. An agent may need two timeouts of
 * its session until another control node knows it.
 */
export const PROXY_COUNT_RETENTION_MS = 10_000;

/** A model that a runner holds and serves now, with the adapters it holds ready. */
export const FleetHoldShape = type({ model: string(), adapters: array(string()) });
/** A model (or an adapter of it, where named) that is on its way into a runner; ms from when it was told. */
export const FleetComingShape = type({ model: string(), adapter: string(), readyMs: number() });

/** A runner as the data plane has to know it. */
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

/** What waits for a load that is not under way yet, and when it is due as far as can be told; 0 where it cannot be told. */
export const FleetWaitShape = type({ model: string(), adapter: string(), readyMs: number() });

/** The fleet as the leader tells it to the data plane (topic `fleet`). */
export const FleetShape = type({
  /** How many proxies share budgets that hold over the whole fleet. */
  flows: number(),
  runners: array(FleetRunnerShape),
  waits: array(FleetWaitShape),
});
/** What changed since the last word: runners that are new or differ, those that are gone, and the rest whole. */
export const FleetDeltaShape = type({
  flows: number(),
  waits: array(FleetWaitShape),
  put: array(FleetRunnerShape),
  drop: array(string()),
});
/** A change of the fleet. */
export type FleetDelta = Infer<typeof FleetDeltaShape>;

/** The fleet after a change; runners that did not change stay the very same objects. */
export function applyFleetDelta(fleet: Fleet, delta: FleetDelta): Fleet {
  const put = new Map<string, FleetRunner>();
  for (const runner of delta.put) put.set(runner.id, runner);
  const drop = new Set(delta.drop);
  const runners: FleetRunner[] = [];
  for (const runner of fleet.runners) {
    if (drop.has(runner.id)) continue;
    runners.push(put.get(runner.id) ?? runner);
    put.delete(runner.id);
  }
  return { flows: delta.flows, waits: delta.waits, runners: [...runners, ...put.values()] };
}

/** The same on their texts, one change after the other; nothing where the fleet cannot be read, and without a change that cannot. */
export function mergeFleetText(body: string, changes: readonly string[]): string | undefined {
  // A large fleet takes long to read and to write out: that is done once, however many changes there are.
  let fleet = parseAs(FleetShape, body);
  if (!fleet) return undefined;
  for (const change of changes) {
    const delta = parseAs(FleetDeltaShape, change);
    if (delta) fleet = applyFleetDelta(fleet, delta);
  }
  return JSON.stringify(fleet);
}

/** The number of proxies, as updates of the fleet and of the policy table's places tell it. */
export const ProxyCountShape = type({ flows: number() });

/** One runner, as told to the data plane. */
export type FleetRunner = Infer<typeof FleetRunnerShape>;
/** Something that requests wait for, as told to the data plane. */
export type FleetWait = Infer<typeof FleetWaitShape>;
/** The fleet, as told to the data plane. */
export type Fleet = Infer<typeof FleetShape>;

/** What one proxy saw asked for since its last word, by model and adapter ('' for the model itself). */
export const FleetDemandShape = type({
  flow: string(),
  units: array(
    type({
      service: string(),
      model: string(),
      adapter: string(),
      /** Requests that came since the last word. */
      count: number(),
      /** Requests that wait at this proxy now since no runner holds what they need. */
      waiting: number(),
      /** Requests of it that run now through this proxy. */
      running: number(),
      /** The most urgent rank among what waits; 0 is highest. */
      priority: optional(number()),
    }),
  ),
});
/** One proxy's demand. */
export type FleetDemand = Infer<typeof FleetDemandShape>;

/** A runner as the platform lists it; what it holds is as old as the list. */
export interface ListedRunner {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly service: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How long it has left, where the platform tells. */
  readonly remainingMs: number | undefined;
  readonly coldMs: number;
  readonly holds: readonly { readonly model: string; readonly adapters: readonly string[] }[];
}

/** A runner's own report: what it holds, whether an order is under way, and how many orders it took in this life. */
export interface RunnerStatus {
  readonly holds: readonly { readonly model: string; readonly adapters: readonly string[] }[];
  readonly isBusy: boolean;
  readonly orderCount: number;
  readonly waiting: number;
  readonly active: number;
}

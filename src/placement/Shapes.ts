import {
  array,
  boolean,
  enums,
  min,
  number,
  optional,
  string,
  type,
  type Infer,
} from 'superstruct';

/** The platform's list of machines that run back ends; a revision orders whole lists. */
export const MachineShape = type({
  id: string(),
  address: string(),
  zone: string(),
  service: string(),
  leaving: boolean(),
});
/** Revisions begin at 1: 0 is what those hold who have heard of no list. */
export const MachinesShape = type({ revision: min(number(), 1), machines: array(MachineShape) });
export type Machine = Infer<typeof MachineShape>;
export type Machines = Infer<typeof MachinesShape>;

/** The weight store's catalogue: sizes, and how many fetches it allows at once over the whole fleet. */
export const CatalogShape = type({
  limit: number(),
  models: array(type({ name: string(), size: number() })),
  adapters: array(type({ name: string(), model: string(), size: number() })),
});
export type Catalog = Infer<typeof CatalogShape>;

/** What a runner reports of itself. An adapter's hold names it; a model's own has an empty one. */
export const HoldShape = type({
  model: string(),
  adapter: string(),
  size: number(),
  state: enums(['loading', 'ready', 'unloading']),
  running: number(),
});
export const RunnerReportShape = type({
  id: string(),
  boot: string(),
  room: number(),
  slots: number(),
  upMs: number(),
  holds: array(HoldShape),
});
export type Hold = Infer<typeof HoldShape>;
export type RunnerReport = Infer<typeof RunnerReportShape>;

/** An order decided and written down, until the runner's report clears it. */
export const IntentShape = type({
  id: string(),
  runner: string(),
  boot: string(),
  verb: enums(['load', 'unload']),
  model: string(),
  adapter: string(),
  size: number(),
  /** How many orders the runner must have taken before this one, where that is known; older documents have none. */
  count: optional(number()),
});
export type Intent = Infer<typeof IntentShape>;

export const ServiceDocShape = type({
  model: string(),
  primary: string(),
  understudy: string(),
  wait: string(),
  intents: array(IntentShape),
  /** Runners beyond the pair that hold the model as well. */
  seats: optional(array(string())),
});
export type ServiceDoc = Infer<typeof ServiceDocShape>;

export const ServicePartShape = type({ services: array(ServiceDocShape) });

/** A runner that serves a model now, with the adapters it holds ready. */
export const SeatShape = type({ runner: string(), primary: boolean(), adapters: array(string()) });
/** `readyMs`: what is still to come when a wait begins, as far as it can be told; it is counted down by who hears it. */
export const PlaceShape = type({
  model: string(),
  seats: array(SeatShape),
  wait: string(),
  readyMs: optional(number()),
});
export const PlacedRunnerShape = type({
  id: string(),
  address: string(),
  zone: string(),
  service: string(),
  slots: number(),
  upMs: number(),
});
/** The part of a row's take that one proxy may gate, by recent demand. */
export const ShareShape = type({ flow: string(), row: string(), share: number() });
export const PlacesShape = type({
  places: array(PlaceShape),
  runners: array(PlacedRunnerShape),
  flows: number(),
  shares: array(ShareShape),
});
export type Share = Infer<typeof ShareShape>;
export type Seat = Infer<typeof SeatShape>;
export type Place = Infer<typeof PlaceShape>;
export type PlacedRunner = Infer<typeof PlacedRunnerShape>;
export type Places = Infer<typeof PlacesShape>;

/** What one proxy saw asked for since its last word: requests by model and adapter, and by row. */
export const DemandShape = type({
  flow: string(),
  units: array(type({ model: string(), adapter: string(), count: number() })),
  rows: array(type({ row: string(), count: number() })),
});
export type DemandReport = Infer<typeof DemandShape>;

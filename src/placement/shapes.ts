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
/** One machine of the list. */
export type Machine = Infer<typeof MachineShape>;
/** One revision of the list. */
export type Machines = Infer<typeof MachinesShape>;

/** The weight store's catalogue: sizes, and how many fetches it allows at once over the whole fleet. */
export const CatalogShape = type({
  limit: number(),
  models: array(type({ name: string(), size: number() })),
  adapters: array(type({ name: string(), model: string(), size: number() })),
});
/** The weight store's catalogue. */
export type Catalog = Infer<typeof CatalogShape>;

/** What a runner reports of itself. An adapter's hold names it; a model's own has an empty one. */
export const HoldShape = type({
  model: string(),
  adapter: string(),
  size: number(),
  state: enums(['loading', 'ready', 'unloading']),
  running: number(),
});
/** A runner's report: since when it is up, its room, and what it holds. */
export const RunnerReportShape = type({
  id: string(),
  boot: string(),
  room: number(),
  slots: number(),
  upMs: number(),
  holds: array(HoldShape),
});
/** A model or adapter at a runner. */
export type Hold = Infer<typeof HoldShape>;
/** A runner's report. */
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
/** An order decided and written down. */
export type Intent = Infer<typeof IntentShape>;

/** Who serves a model, who waits for it, and the orders under way for it. Stored. */
export const ServiceDocShape = type({
  model: string(),
  primary: string(),
  understudy: string(),
  wait: string(),
  intents: array(IntentShape),
  /** Runners beyond the pair that hold the model as well. */
  seats: optional(array(string())),
});
/** A model's document. */
export type ServiceDoc = Infer<typeof ServiceDocShape>;

/** What a part of the replicated state holds: the documents of its models. Stored. */
export const ServicePartitionShape = type({ services: array(ServiceDocShape) });

/** A runner that serves a model now, with the adapters it holds ready. */
export const SeatShape = type({ runner: string(), primary: boolean(), adapters: array(string()) });
/** `readyMs`: what is still to come when a wait begins, as far as it can be told; it is counted down by who hears it. */
export const PlaceShape = type({
  model: string(),
  seats: array(SeatShape),
  wait: string(),
  readyMs: optional(number()),
});
/** A runner as proxies are told of it; `upMs` is how long it is up. */
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
/** All places, as told to proxies (topic `places`). */
export const PlacesShape = type({
  places: array(PlaceShape),
  runners: array(PlacedRunnerShape),
  flows: number(),
  shares: array(ShareShape),
});
/** A proxy's share of a row's take. */
export type Share = Infer<typeof ShareShape>;
/** A runner that serves a model. */
export type Seat = Infer<typeof SeatShape>;
/** Where a model is served. */
export type Place = Infer<typeof PlaceShape>;
/** A runner as proxies are told of it. */
export type PlacedRunner = Infer<typeof PlacedRunnerShape>;
/** All places. */
export type Places = Infer<typeof PlacesShape>;

/** What one proxy saw asked for since its last word: requests by model and adapter, and by row. */
export const DemandShape = type({
  flow: string(),
  units: array(type({ model: string(), adapter: string(), count: number() })),
  rows: array(type({ row: string(), count: number() })),
});
/** One proxy's demand. */
export type DemandReport = Infer<typeof DemandShape>;

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

/** A machine on the platform's list of machines that run back ends. */
export const MachineShape = type({
  id: string(),
  address: string(),
  zone: string(),
  service: string(),
  leaving: boolean(),
});
/** The platform's whole list. Revisions order the lists and begin at 1: 0 stands for no list received yet. */
export const MachinesShape = type({ revision: min(number(), 1), machines: array(MachineShape) });
/** One machine of the list. */
export type Machine = Infer<typeof MachineShape>;
/** One revision of the list. */
export type Machines = Infer<typeof MachinesShape>;

/** The weight store's catalogue: sizes, and the maximum number of concurrent fetches over the whole fleet. */
export const CatalogShape = type({
  limit: number(),
  models: array(type({ name: string(), size: number() })),
  adapters: array(type({ name: string(), model: string(), size: number() })),
});
/** The weight store's catalogue. */
export type Catalog = Infer<typeof CatalogShape>;

/** A model or adapter in a runner's report; `adapter` is empty for the model itself. */
export const HoldShape = type({
  model: string(),
  adapter: string(),
  size: number(),
  state: enums(['loading', 'ready', 'unloading']),
  running: number(),
});
/** A runner's report: its uptime, its memory (`room`), and the models and adapters it holds. */
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

/**
 * An order that was decided and written into a document, where it stays until the runner's report shows its outcome.
 */
export const IntentShape = type({
  id: string(),
  runner: string(),
  boot: string(),
  verb: enums(['load', 'unload']),
  model: string(),
  adapter: string(),
  size: number(),
  /** How many orders the runner must have accepted before this one, if known; absent in older documents. */
  count: optional(number()),
});
/** An order that was decided and written into a document. */
export type Intent = Infer<typeof IntentShape>;

/** A model's document: the runners that serve it, what it waits for, and its open orders. Stored. */
export const ServiceDocShape = type({
  model: string(),
  primary: string(),
  understudy: string(),
  wait: string(),
  intents: array(IntentShape),
  /** Further runners that hold the model, beside primary and understudy. */
  seats: optional(array(string())),
});
/** A model's document. */
export type ServiceDoc = Infer<typeof ServiceDocShape>;

/** A partition of the replicated state: the documents of its models. Stored. */
export const ServicePartitionShape = type({ services: array(ServiceDocShape) });

/** A runner that serves a model now, with its ready adapters. */
export const SeatShape = type({ runner: string(), primary: boolean(), adapters: array(string()) });
/** Where a model is served. `readyMs`: the estimated remaining wait at publication; receivers count it down. */
export const PlaceShape = type({
  model: string(),
  seats: array(SeatShape),
  wait: string(),
  readyMs: optional(number()),
});
/** A runner as published to proxies; `upMs` is its uptime. */
export const PlacedRunnerShape = type({
  id: string(),
  address: string(),
  zone: string(),
  service: string(),
  slots: number(),
  upMs: number(),
});
/** The share of a row's quota (`take`) that one proxy may admit, from recent demand. */
export const ShareShape = type({ flow: string(), row: string(), share: number() });
/** All places, as published to proxies (topic `places`). */
export const PlacesShape = type({
  places: array(PlaceShape),
  runners: array(PlacedRunnerShape),
  flows: number(),
  shares: array(ShareShape),
});
/** A proxy's share of a row's quota. */
export type Share = Infer<typeof ShareShape>;
/** A runner that serves a model. */
export type Seat = Infer<typeof SeatShape>;
/** Where a model is served. */
export type Place = Infer<typeof PlaceShape>;
/** A runner as published to proxies. */
export type PlacedRunner = Infer<typeof PlacedRunnerShape>;
/** All places. */
export type Places = Infer<typeof PlacesShape>;

/** One proxy's demand since its previous report: requests by model and adapter, and by row. */
export const DemandReportShape = type({
  flow: string(),
  units: array(type({ model: string(), adapter: string(), count: number() })),
  rows: array(type({ row: string(), count: number() })),
});
/** One proxy's demand. */
export type DemandReport = Infer<typeof DemandReportShape>;

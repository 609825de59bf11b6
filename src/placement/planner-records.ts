import type { Engine } from '../route/routing.js';
import { DecayingRate } from './decaying-rate.js';
import type { ListedRunner } from './fleet.js';
import type { Intent, ServiceDoc } from './shapes.js';
import { SlidingWindowLimit } from './sliding-window-limit.js';

/** The state of a model or adapter at a runner; `coming`: its load is ordered or running. */
export type LoadPhase = 'coming' | 'ready' | 'unloading';

/** An adapter that a runner holds, loads or unloads. `since`: when its phase began. */
export interface LoadedAdapter {
  phase: LoadPhase;
  since: number;
  suspectedUntil: number;
}

/** A model that a runner holds, loads or unloads, with its adapters. `since`: when its phase began. */
export interface LoadedModel {
  readonly model: ModelState;
  phase: LoadPhase;
  since: number;
  readonly adapters: Map<string, LoadedAdapter>;
  /** Until when this replica counts as not serving, since proxies have requests waiting despite it. */
  suspectedUntil: number;
}

/**
 * An open order, from its creation through its storage and sending to its acceptance by the runner. Times are in ms.
 */
export interface Order {
  readonly intent: Intent;
  readonly docKey: string;
  readonly model: ModelState;
  /** A load from the weight store, which counts against its rate limit; other loads come from the runner's disk. */
  readonly isStoreLoad: boolean;
  isPersisted: boolean;
  /** Sent, and its outcome not reported yet. */
  isSent: boolean;
  isAccepted: boolean;
  /** When it is to be sent, or queried for completion. */
  dueAt: number;
  acceptedAt: number;
  expectedMs: number;
  /** Consecutive replies that the runner is busy. */
  busyReplies: number;
  failures: number;
}

/** What is known of one runner and of the orders to it. Times are in ms. */
export interface RunnerState {
  readonly id: string;
  readonly service: string;
  readonly serviceState: ServiceState | undefined;
  listed: ListedRunner;
  isLeaving: boolean;
  /** Until when it is warming up: proxies limit its request rate, and loads prefer other runners. 0 if it is not. */
  coldUntil: number;
  readonly holds: Map<string, LoadedModel>;
  /** Models known to be on its own disk. */
  readonly modelsOnDisk: Set<string>;
  readonly queue: Order[];
  /** The order whose outcome is awaited. */
  sentOrder: Order | undefined;
  /** Its models are known well enough to send it orders. */
  areHoldsKnown: boolean;
  /** When its report may be requested, if it is needed. */
  reportDueAt: number;
  isReportRequested: boolean;
  /** A time at which the last order to it had certainly ended. */
  idleSince: number;
  /** When it accepted the last unload, while nothing was accepted after it. */
  unloadedAt: number;
  /** The model unloaded last had running requests that must end first. */
  isUnloadDraining: boolean;
  /** How many orders it accepted, if known. */
  orderCount: number | undefined;
  /** Orders without effect since its last report: it held the model or adapter already, or did not hold it. */
  noopOrderCount: number;
  /** The assumed order count when its report became necessary. */
  lastOrderCount: number | undefined;
  /** An order since its last report got no clear answer. */
  hasUnansweredOrder: boolean;
  /** Until when it gets no new orders after an order to it failed: it may be unreachable. */
  suspectUntil: number;
  failures: number;
  /** The sum that `PlacementState.usedMb` caches; undefined if it must be computed again. */
  usedMb: number | undefined;
  /** Intents that an earlier leader stored in documents, and that it may be executing. */
  restoredIntents: OpenIntent[];
}

/** An intent of an earlier leader, with the key of the document that contains it. */
export interface OpenIntent {
  readonly docKey: string;
  readonly intent: Intent;
}

/** Demand for one adapter of a model. */
export class AdapterState {
  readonly slowRate = new DecayingRate();
  waiting = 0;
  waitingSince = 0;
  waitingReportedAt = -Infinity;
  lastRequestedAt = -Infinity;
  running = 0;
  rejectedUntil = -Infinity;
  priority = 9;
  readonly name: string;
  constructor(name: string) {
    this.name = name;
  }
}

/** One model of a service: its sizes, its demand and the runners that hold it. Times are in ms. */
export class ModelState {
  readonly key: string;
  readonly name: string;
  readonly service: ServiceState;
  sizeMb: number;
  loadMs: number;
  adapterMb: number;
  maxAdapters: number;
  readonly fastRate = new DecayingRate();
  readonly slowRate = new DecayingRate();
  lastRequestedAt = -Infinity;
  waiting = 0;
  waitingSince = 0;
  /** When a proxy last reported requests waiting for it. */
  waitingReportedAt = -Infinity;
  running = 0;
  meanRunning = 0;
  priority = 9;
  /** Since when requests for it wait without any replica; undefined if none do. */
  unservedSince: number | undefined = undefined;
  /** Whether the configuration lists it. */
  isListed = false;
  rejectedUntil = -Infinity;
  /** Whether its demand justifies two replicas in different zones. */
  isBusy = false;
  /** Replicas that its load needs, as a fraction; grows at once and decays slowly. */
  neededReplicas = 1;
  needUpdatedAt = 0;
  /** The loss of evicting a replica, as computed in the plan `lossPlanNumber`. */
  loss = 0;
  lossPlanNumber = -1;
  /** When its last replica was lost with a runner. */
  lastReplicaLostAt = -Infinity;
  /** Since when an urgently needed further replica finds no runner. */
  urgentGrowthSince = -Infinity;

  readonly holders = new Map<RunnerState, LoadedModel>();
  readonly adapters = new Map<string, AdapterState>();

  constructor(service: ServiceState, name: string) {
    this.service = service;
    this.name = name;
    this.key = documentKey(service.name, name);
    this.sizeMb = 0;
    this.loadMs = 0;
    this.adapterMb = 0;
    this.maxAdapters = 0;
  }
}

/**
 * The duration of a load from a runner's own disk relative to the configured load time, before one was observed. A
 * value too low is corrected by the first loads, at the cost of a few completion queries; one too high is hardly
 * noticed, since a load is queried only when it is expected to be complete.
 */
const INITIAL_DISK_FACTOR = 0.2;

/** One service of many models: its engine, its runners, and the loads from its weight store. Times are in ms. */
export class ServiceState {
  readonly name: string;
  engine: Engine;
  readonly models = new Map<string, ModelState>();
  readonly runners = new Set<RunnerState>();
  readonly storeLoadWindow: SlidingWindowLimit;
  readonly totalRate = new DecayingRate();
  readonly waitingModels = new Set<ModelState>();
  firstDemandAt: number | undefined = undefined;
  /** Open orders that load from the store. */
  pendingStoreLoads = 0;
  /** When replicas were last compared with demand. */
  replicasComparedAt = -Infinity;
  /** Further replicas needed urgently, from the last comparison with demand, and not ordered yet. */
  urgentGrowth: DesiredReplica[] = [];
  /** The mean slot utilization of its runners. */
  meanLoad = 0;
  /** The duration of loads from the store, relative to the configured load time. */
  storeFactor = 1;
  /** The duration of loads from a runner's disk, relative to the configured load time. */
  diskFactor = INITIAL_DISK_FACTOR;
  /** The duration of an adapter load. */
  adapterLoadMs: number;
  /** How long the running requests of a model being unloaded take to end. */
  drainMs = 100;

  constructor(name: string, engine: Engine, capWindowMs: number, adapterMs: number) {
    this.name = name;
    this.engine = engine;
    this.storeLoadWindow = new SlidingWindowLimit(capWindowMs);
    this.adapterLoadMs = adapterMs;
  }
}

/**
 * Why a replica is desired: requests wait for it, the load needs another one, the last one was lost with a runner, or
 * there is spare memory.
 */
export type DesiredReplicaKind = 'waiting' | 'grow' | 'lost' | 'spare';

/** A replica of a model that would be useful. */
export interface DesiredReplica {
  readonly model: ModelState;
  readonly kind: DesiredReplicaKind;
  /** Lower ranks are placed first. */
  readonly rank: number;
  /** Since when it is missing, ms; within a rank, the oldest is placed first. */
  readonly missingSince: number;
  /** What it is worth, in requests, as losses are. */
  readonly gain: number;
}

/** An adapter to evict, or a whole model if `adapter` is empty. */
export interface EvictionCandidate {
  readonly loaded: LoadedModel;
  readonly adapter: string;
}

/** What is evicted together, and the loss of that. */
export interface EvictionPlan {
  readonly victims: readonly EvictionCandidate[];
  readonly loss: number;
}

/** The key of a model's document: unique over all services. */
export function documentKey(service: string, model: string): string {
  return `${service}/${model}`;
}

/** Compares strings by their code units. */
export function compareStrings(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** The document of a model without replicas and without waiting requests. */
export function emptyDoc(key: string): ServiceDoc {
  return { model: key, primary: '', understudy: '', wait: '', intents: [] };
}

/** Whether a large part of the load needs the further replica. */
export function isUrgentGrowth(desired: DesiredReplica): boolean {
  return desired.kind === 'grow' && desired.rank < 1;
}

/** Compares by loss, lowest first. */
export function compareByLoss(a: { loss: number }, b: { loss: number }): number {
  return a.loss - b.loss;
}

/** The replicas of a model: ready ones, all that serve or soon will, and the latter by zone. */
export interface ReplicaCounts {
  ready: number;
  all: number;
  readonly zones: Map<string, number>;
}

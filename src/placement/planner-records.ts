import type { Engine } from '../route/routing.js';
import { DecayingRate } from './decaying-rate.js';
import type { ListedRunner } from './fleet.js';
import type { Intent, ServiceDoc } from './shapes.js';
import { SlidingWindowLimit } from './sliding-window-limit.js';

/** Where a model or adapter stands at a runner. */
export type LoadPhase = 'coming' | 'ready' | 'unloading';

/** An adapter that a runner holds, gets or gives up. */
export interface LoadedAdapter {
  phase: LoadPhase;
  since: number;
  suspectedUntil: number;
}

/** A model that a runner holds, gets or gives up, with its adapters. */
export interface LoadedModel {
  readonly model: ModelState;
  phase: LoadPhase;
  since: number;
  readonly adapters: Map<string, LoadedAdapter>;
  /** Until when proxies are believed that this copy does not serve. */
  suspectedUntil: number;
}

/** An order on its way: decided, kept, given, taken. */
export interface Order {
  readonly intent: Intent;
  readonly key: string;
  readonly model: ModelState;
  /** A load that the weight store counts. */
  readonly isStore: boolean;
  isPersisted: boolean;
  isSent: boolean;
  isAccepted: boolean;
  due: number;
  takenAt: number;
  expectedMs: number;
  busyReplies: number;
  failures: number;
}

/** What is known of one runner and of the orders to it. */
export interface RunnerState {
  readonly id: string;
  readonly service: string;
  readonly engine: ServiceState | undefined;
  listed: ListedRunner;
  isLeaving: boolean;
  coldUntil: number;
  readonly holds: Map<string, LoadedModel>;
  /** Models that surely lie on its own disk. */
  readonly disk: Set<string>;
  readonly queue: Order[];
  given: Order | undefined;
  /** What it holds is known well enough to order by. */
  isKnown: boolean;
  askAt: number;
  isAsked: boolean;
  /** When the last order to it had surely ended. */
  idleSince: number;
  unloadedAt: number;
  /** What was unloaded last had runs that have to end first. */
  isUnloadingRuns: boolean;
  /** How many orders it took, as far as known, and how many since the last report it need not do. */
  count: number | undefined;
  loadedModels: number;
  /** What we took its count for when it came into doubt. */
  counted: number | undefined;
  /** An order to it got no clear answer since its last report. */
  hasUnansweredOrder: boolean;
  suspectUntil: number;
  failures: number;
  usedMb: number | undefined;
  /** Intents of an earlier leader that may be under way there. */
  restored: OpenIntent[];
}

/** An intent of an earlier leader, with the key of the document that names it. */
export interface OpenIntent {
  readonly key: string;
  readonly intent: Intent;
}

/** Demand for one adapter of a model. */
export class AdapterState {
  readonly slow = new DecayingRate();
  waiting = 0;
  waitingSince = 0;
  waitingReportedAt = -Infinity;
  lastRequestedAt = -Infinity;
  running = 0;
  badUntil = -Infinity;
  priority = 9;
  readonly name: string;
  constructor(name: string) {
    this.name = name;
  }
}

/** One model of a service: its sizes, its demand and who holds it. */
export class ModelState {
  readonly key: string;
  readonly name: string;
  readonly service: ServiceState;
  sizeMb: number;
  loadMs: number;
  adapterMb: number;
  mostAdapters: number;
  readonly fast = new DecayingRate();
  readonly slow = new DecayingRate();
  lastRequestedAt = -Infinity;
  waiting = 0;
  waitingSince = 0;
  /** The last word of a proxy that it waits. */
  waitingReportedAt = -Infinity;
  running = 0;
  runningMean = 0;
  priority = 9;
  /** Since when it is asked for and nobody is served. */
  unservedSince: number | undefined = undefined;
  /** The configuration names it. */
  isListed = false;
  badUntil = -Infinity;
  isBusy = false;
  need = 1;
  neededAt = 0;
  /** What losing a copy costs, as counted in a plan. */
  loss = 0;
  lossIn = -1;
  /** When its last copy went with a runner. */
  lastReplicaLostAt = -Infinity;
  /** Since when a further copy presses and finds no place. */
  pressedAt = -Infinity;

  readonly holders = new Map<RunnerState, LoadedModel>();
  readonly adapters = new Map<string, AdapterState>();

  constructor(service: ServiceState, name: string) {
    this.service = service;
    this.name = name;
    this.key = keyOf(service.name, name);
    this.sizeMb = 0;
    this.loadMs = 0;
    this.adapterMb = 0;
    this.mostAdapters = 0;
  }
}

/**
 * What a load from a runner's own disk takes against one from the store, before one was observed. A guess that is too low
 * is corrected by the first loads, at the cost of a few questions; one that is too high is hardly seen, since a load is
 * asked for only when it is expected to be done.
 */
const INITIAL_DISK_FACTOR = 0.2;

/** One service of many models: its engine, its runners, and what its weight store is doing. */
export class ServiceState {
  readonly name: string;
  engine: Engine;
  readonly models = new Map<string, ModelState>();
  readonly runners = new Set<RunnerState>();
  readonly window: SlidingWindowLimit;
  readonly all = new DecayingRate();
  readonly waiting = new Set<ModelState>();
  firstDemandAt: number | undefined = undefined;
  storeOps = 0;
  scaledUpAt = -Infinity;
  /** Further copies that much of the work waits for, as last compared with demand and not yet on their way. */
  pressing: ReplicaWant[] = [];
  /** The part of its slots that runs at a runner in the mean. */
  meanLoad = 0;
  /** What loads take, against what the configuration says: from the store, from a runner's disk; and adapters, ms. */
  storeFactor = 1;
  diskFactor = INITIAL_DISK_FACTOR;
  adapterMs: number;
  /** How long the runs of a model that is unloaded go on. */
  unloadMs = 100;

  constructor(name: string, engine: Engine, capWindowMs: number, adapterMs: number) {
    this.name = name;
    this.engine = engine;
    this.window = new SlidingWindowLimit(capWindowMs);
    this.adapterMs = adapterMs;
  }
}

/** Why a copy is wanted: requests wait for it; work needs one more; the last was lost; there is room to spare. */
export type WantKind = 'waiting' | 'grow' | 'lost' | 'spare';

/** A copy of a model that would be of use. */
export interface ReplicaWant {
  readonly model: ModelState;
  readonly kind: WantKind;
  /** Rank: lower goes first. */
  readonly level: number;
  /** Since when it is missing, ms; the older of one rank goes first. */
  readonly since: number;
  /** What it is worth, in the unit in which losses are counted. */
  readonly gain: number;
}

/** What makes way: an adapter, or a whole model where none is named. */
export interface EvictionCandidate {
  readonly loaded: LoadedModel;
  readonly adapter: string;
}

/** What makes way together, and what losing it costs. */
export interface EvictionPlan {
  readonly victims: readonly EvictionCandidate[];
  readonly loss: number;
}

/** The key of a model's document: unique over all services. */
export function keyOf(service: string, model: string): string {
  return `${service}/${model}`;
}

/** Orders texts by their code units. */
export function byText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** The document of a model that nobody holds and nobody waits for. */
export function noDoc(key: string): ServiceDoc {
  return { model: key, primary: '', understudy: '', wait: '', intents: [] };
}

/** Whether somebody who waits presses for the copy, or much of the work does. */
export function isPressing(want: ReplicaWant): boolean {
  return want.kind === 'grow' && want.level < 1;
}

/** Orders by cost, the least first. */
export function byLoss(a: { loss: number }, b: { loss: number }): number {
  return a.loss - b.loss;
}

/** Copies of a model that count: ready ones, all that serve or soon will, and those by zone. */
export interface ReplicaCounts {
  ready: number;
  all: number;
  readonly zones: Map<string, number>;
}

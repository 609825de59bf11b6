import { later, moment, type Moment } from '../common/ids.js';
import type { FleetRunner } from '../placement/fleet.js';
import type { Service } from '../route/routing.js';
import type { RoutedRequest } from './routed-request.js';

type FleetModel = FleetRunner['holds'][number];

const NEVER = moment(-1e12);
/** A second is counted a little longer, since requests travel. */
const WARM_UP_WINDOW_MS = 1050;
/** Most shared parts remembered as sent to a runner. */
const MAX_CACHED_PREFIXES = 2000;
/** For so long a runner is not asked again for what it said it does not hold. */
const MODEL_MISSING_MS = 1500;
/** For so long a runner that said it is full is left alone. */
const FULL_BACKOFF_MS = 60;
/** The pause after the first failure in a row; it doubles with each further one, up to the most. */
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 4000;
const MAX_DOUBLINGS = 3;
/** Our part of what a service says its runners take, and what a runner is given at the least. */
const CONNECTION_SHARE = 0.9;
const MIN_CONNECTIONS = 2;
const MIN_REQUESTS_BY_SLOTS = 4;

/** What this proxy knows of one runner: what was told of it, what of ours is at it, and how it fared lately. */
export class TrackedRunner {
  #info: FleetRunner;
  /** What was told of it last, and its text. */
  #source: FleetRunner | undefined;
  #text: string;
  /** Requests of ours that are at it. */
  readonly #requests = new Set<number>();
  /** Prompt tokens sent whose first event has not come. */
  #pendingPromptTokens = 0;
  /** Not to be used before then; the number of failures in a row makes the pause longer. */
  #ejectedUntil: Moment = NEVER;
  #failures = 0;
  #fullUntil: Moment = NEVER;
  #lastHeardAt: Moment;
  #warmUpEnd: Moment;
  /** When it was sent something while cold, in the last second. */
  readonly #warmUpSentAt: Moment[] = [];
  /** What it said it does not hold, against what we were told, until we are told anew. */
  readonly #missing = new Map<string, Moment>();
  /** Shared parts that were sent to it, the oldest first. */
  readonly #sentPrefixes = new Map<string, Moment>();

  constructor(now: Moment, info: FleetRunner) {
    this.#info = info;
    this.#source = info;
    this.#text = JSON.stringify(info);
    this.#lastHeardAt = now;
    this.#warmUpEnd = later(now, info.coldMs);
  }

  /** What the leader told of it. */
  get facts(): FleetRunner {
    return this.#info;
  }
  /** How many requests of ours are at it. */
  get inFlight(): number {
    return this.#requests.size;
  }
  /** Prompt tokens sent whose first event has not come. */
  get pendingPromptTokens(): number {
    return this.#pendingPromptTokens;
  }

  /** It is told of anew. */
  update(now: Moment, facts: FleetRunner): void {
    // What did not change is the very same object: most of a fleet is not looked at.
    if (this.#source === facts) return;
    const text = JSON.stringify(facts);
    if (this.#text === text) return;
    if (facts.coldMs !== this.#info.coldMs) this.#warmUpEnd = later(now, facts.coldMs);
    this.#info = facts;
    this.#source = facts;
    this.#text = text;
    this.#missing.clear();
  }

  /** It is on the list no more: nothing new goes to it. */
  markUnlisted(): void {
    this.#info = { ...this.#info, isLeaving: true };
    this.#source = undefined;
    this.#text = '';
  }

  // ---- what of ours is at it

  /** A request is given to it. */
  addRequest(now: Moment, request: RoutedRequest): void {
    this.#requests.add(request.head.id);
    if (this.#requests.size === 1) this.#lastHeardAt = now;
    this.#pendingPromptTokens += request.head.promptTokens;
    if (this.isWarmingUp(now)) this.#warmUpSentAt.push(now);
    if (request.sharedPrefixTokens > 0) this.#rememberPrefix(now, request.sharedPrefixKey);
  }

  /** The request is at it no more. False where it was not. */
  removeRequest(request: RoutedRequest): boolean {
    if (!this.#requests.delete(request.head.id)) return false;
    if (!request.isResponseStarted) this.onFirstEvent(request);
    if (this.#requests.size === 0) this.#pendingPromptTokens = 0;
    return true;
  }

  /** Its prompt has been read. */
  onFirstEvent(request: RoutedRequest): void {
    this.#pendingPromptTokens -= Math.min(this.#pendingPromptTokens, request.head.promptTokens);
  }

  #rememberPrefix(now: Moment, sharedKey: string): void {
    this.#sentPrefixes.delete(sharedKey);
    this.#sentPrefixes.set(sharedKey, now);
    if (this.#sentPrefixes.size <= MAX_CACHED_PREFIXES) return;
    for (const oldest of this.#sentPrefixes.keys()) {
      this.#sentPrefixes.delete(oldest);
      break;
    }
  }

  /** Whether these shared parts were sent to it lately. */
  hasCachedPrefix(sharedKey: string): boolean {
    return this.#sentPrefixes.has(sharedKey);
  }

  /** Whether our part of its connections, one of `flows` parts, has room for another. */
  hasCapacity(service: Service, proxyCount: number): boolean {
    const share = Math.floor((service.maxConnections * CONNECTION_SHARE) / proxyCount);
    const maxRequests = Math.max(
      MIN_CONNECTIONS,
      Math.min(share, Math.max(MIN_REQUESTS_BY_SLOTS, this.#info.slots * 2)),
    );
    return this.#requests.size < maxRequests;
  }

  // ---- whether it is cold

  /** Whether it started lately and bears few requests. */
  isWarmingUp(now: Moment): boolean {
    return now < this.#warmUpEnd;
  }

  /** How many requests of ours it got while cold in the last second. */
  warmUpRate(now: Moment): number {
    while (
      this.#warmUpSentAt.length > 0 &&
      now - (this.#warmUpSentAt[0] ?? now) >= WARM_UP_WINDOW_MS
    )
      this.#warmUpSentAt.shift();
    return this.#warmUpSentAt.length;
  }

  // ---- how it fared

  /** Something came from it. */
  onActivity(now: Moment): void {
    this.#lastHeardAt = now;
  }

  /** For how long nothing came from it, ms. */
  idleMs(now: Moment): number {
    return now - this.#lastHeardAt;
  }

  /** It failed: it is left alone for a while, longer with each failure in a row. */
  eject(now: Moment): void {
    if (now < this.#ejectedUntil) return;
    this.#failures += 1;
    const backoffMs = MIN_BACKOFF_MS * 2 ** Math.min(MAX_DOUBLINGS, this.#failures - 1);
    this.#ejectedUntil = later(now, Math.min(MAX_BACKOFF_MS, backoffMs));
  }

  /** It answered without a failure of its own. */
  onSuccess(): void {
    this.#failures = 0;
  }

  /** It said that it is full. */
  onFull(now: Moment): void {
    this.#fullUntil = later(now, FULL_BACKOFF_MS);
  }

  /** Whether it is left alone now. */
  isBackingOff(now: Moment): boolean {
    return now < this.#ejectedUntil || now < this.#fullUntil;
  }

  // ---- what it holds

  /** It said that it does not hold what the request needs. */
  onModelMissing(now: Moment, request: RoutedRequest): void {
    this.#missing.set(request.modelUnit, later(now, MODEL_MISSING_MS));
  }

  /** Whether it holds the request's model, as it was told and has not denied. */
  hasModel(now: Moment, request: RoutedRequest): boolean {
    return (
      this.#loadedModel(request.head.model) !== undefined &&
      this.#isNotMissing(now, `${request.service.name}\n${request.head.model}\n`)
    );
  }

  /** Whether it holds all that the request needs, its adapter too. */
  hasModelUnit(now: Moment, request: RoutedRequest): boolean {
    const { model, adapter } = request.head;
    const loaded = this.#loadedModel(model);
    if (!loaded) return false;
    if (adapter !== '' && !loaded.adapters.includes(adapter)) return false;
    return this.#isNotMissing(now, request.modelUnit);
  }

  /** Whether it was told to hold the model. */
  isListedWithModel(model: string): boolean {
    return this.#loadedModel(model) !== undefined;
  }

  #loadedModel(model: string): FleetModel | undefined {
    for (const loaded of this.#info.holds) if (loaded.model === model) return loaded;
    return undefined;
  }

  #isNotMissing(now: Moment, unit: string): boolean {
    const until = this.#missing.get(unit);
    return until === undefined || now >= until;
  }
}

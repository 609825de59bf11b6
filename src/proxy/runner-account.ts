import { later, moment, type Moment } from '../common/ids.js';
import type { FleetRunner } from '../placement/fleet.js';
import type { Service } from '../route/routing.js';
import type { RoutedRequest } from './routed-request.js';

type FleetHold = FleetRunner['holds'][number];

const NEVER = moment(-1e12);
/** A second is counted a little longer, since requests travel. */
const COLD_SPAN_MS = 1050;
/** Most shared parts remembered as sent to a runner. */
const KEPT_MANY = 2000;
/** For so long a runner is not asked again for what it said it does not hold. */
const MISSING_MS = 1500;
/** For so long a runner that said it is full is left alone. */
const FULL_MS = 60;
/** The pause after the first failure in a row; it doubles with each further one, up to the most. */
const FIRST_PAUSE_MS = 500;
const MOST_PAUSE_MS = 4000;
const MOST_DOUBLINGS = 3;
/** Our part of what a service says its runners take, and what a runner is given at the least. */
const CONNECTION_SHARE = 0.9;
const LEAST_CONNECTIONS = 2;
const LEAST_BY_SLOTS = 4;

/** What this proxy knows of one runner: what was told of it, what of ours is at it, and how it fared lately. */
export class RunnerAccount {
  #facts: FleetRunner;
  /** What was told of it last, and its text. */
  #source: FleetRunner | undefined;
  #text: string;
  /** Requests of ours that are at it. */
  readonly #requests = new Set<number>();
  /** Prompt tokens sent whose first event has not come. */
  #pendingTokens = 0;
  /** Not to be used before then; the number of failures in a row makes the pause longer. */
  #avoidUntil: Moment = NEVER;
  #failures = 0;
  #fullUntil: Moment = NEVER;
  #heardAt: Moment;
  #coldUntil: Moment;
  /** When it was sent something while cold, in the last second. */
  readonly #coldSent: Moment[] = [];
  /** What it said it does not hold, against what we were told, until we are told anew. */
  readonly #missing = new Map<string, Moment>();
  /** Shared parts that were sent to it, the oldest first. */
  readonly #kept = new Map<string, Moment>();

  constructor(now: Moment, facts: FleetRunner) {
    this.#facts = facts;
    this.#source = facts;
    this.#text = JSON.stringify(facts);
    this.#heardAt = now;
    this.#coldUntil = later(now, facts.coldMs);
  }

  /** What the leader told of it. */
  get facts(): FleetRunner {
    return this.#facts;
  }
  /** How many requests of ours are at it. */
  get requests(): number {
    return this.#requests.size;
  }
  /** Prompt tokens sent whose first event has not come. */
  get pendingTokens(): number {
    return this.#pendingTokens;
  }

  /** It is told of anew. */
  update(now: Moment, facts: FleetRunner): void {
    // What did not change is the very same object: most of a fleet is not looked at.
    if (this.#source === facts) return;
    const text = JSON.stringify(facts);
    if (this.#text === text) return;
    if (facts.coldMs !== this.#facts.coldMs) this.#coldUntil = later(now, facts.coldMs);
    this.#facts = facts;
    this.#source = facts;
    this.#text = text;
    this.#missing.clear();
  }

  /** It is on the list no more: nothing new goes to it. */
  unlist(): void {
    this.#facts = { ...this.#facts, isLeaving: true };
    this.#source = undefined;
    this.#text = '';
  }

  // ---- what of ours is at it

  /** A request is given to it. */
  add(now: Moment, request: RoutedRequest): void {
    this.#requests.add(request.head.id);
    if (this.#requests.size === 1) this.#heardAt = now;
    this.#pendingTokens += request.head.promptTokens;
    if (this.isCold(now)) this.#coldSent.push(now);
    if (request.sharedTokens > 0) this.#keep(now, request.sharedKey);
  }

  /** The request is at it no more. False where it was not. */
  remove(request: RoutedRequest): boolean {
    if (!this.#requests.delete(request.head.id)) return false;
    if (!request.isBegun) this.begun(request);
    if (this.#requests.size === 0) this.#pendingTokens = 0;
    return true;
  }

  /** Its prompt has been read. */
  begun(request: RoutedRequest): void {
    this.#pendingTokens -= Math.min(this.#pendingTokens, request.head.promptTokens);
  }

  #keep(now: Moment, sharedKey: string): void {
    this.#kept.delete(sharedKey);
    this.#kept.set(sharedKey, now);
    if (this.#kept.size <= KEPT_MANY) return;
    for (const oldest of this.#kept.keys()) {
      this.#kept.delete(oldest);
      break;
    }
  }

  /** Whether these shared parts were sent to it lately. */
  hasKept(sharedKey: string): boolean {
    return this.#kept.has(sharedKey);
  }

  /** Whether our part of its connections, one of `flows` parts, has room for another. */
  hasPlace(service: Service, flows: number): boolean {
    const share = Math.floor((service.maxConnections * CONNECTION_SHARE) / flows);
    const most = Math.max(
      LEAST_CONNECTIONS,
      Math.min(share, Math.max(LEAST_BY_SLOTS, this.#facts.slots * 2)),
    );
    return this.#requests.size < most;
  }

  // ---- whether it is cold

  /** Whether it started lately and bears few requests. */
  isCold(now: Moment): boolean {
    return now < this.#coldUntil;
  }

  /** How many requests of ours it got while cold in the last second. */
  coldRate(now: Moment): number {
    while (this.#coldSent.length > 0 && now - (this.#coldSent[0] ?? now) >= COLD_SPAN_MS)
      this.#coldSent.shift();
    return this.#coldSent.length;
  }

  // ---- how it fared

  /** Something came from it. */
  heard(now: Moment): void {
    this.#heardAt = now;
  }

  /** For how long nothing came from it, ms. */
  silentMs(now: Moment): number {
    return now - this.#heardAt;
  }

  /** It failed: it is left alone for a while, longer with each failure in a row. */
  avoid(now: Moment): void {
    if (now < this.#avoidUntil) return;
    this.#failures += 1;
    const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(MOST_DOUBLINGS, this.#failures - 1);
    this.#avoidUntil = later(now, Math.min(MOST_PAUSE_MS, pauseMs));
  }

  /** It answered without a failure of its own. */
  succeeded(): void {
    this.#failures = 0;
  }

  /** It said that it is full. */
  noteFull(now: Moment): void {
    this.#fullUntil = later(now, FULL_MS);
  }

  /** Whether it is left alone now. */
  isPaused(now: Moment): boolean {
    return now < this.#avoidUntil || now < this.#fullUntil;
  }

  // ---- what it holds

  /** It said that it does not hold what the request needs. */
  noteMissing(now: Moment, request: RoutedRequest): void {
    this.#missing.set(request.unit, later(now, MISSING_MS));
  }

  /** Whether it holds the request's model, as it was told and has not denied. */
  holdsModel(now: Moment, request: RoutedRequest): boolean {
    return (
      this.#holdOf(request.head.model) !== undefined &&
      this.#isNotMissing(now, `${request.service.name}\n${request.head.model}\n`)
    );
  }

  /** Whether it holds all that the request needs, its adapter too. */
  holds(now: Moment, request: RoutedRequest): boolean {
    const { model, adapter } = request.head;
    const hold = this.#holdOf(model);
    if (!hold) return false;
    if (adapter !== '' && !hold.adapters.includes(adapter)) return false;
    return this.#isNotMissing(now, request.unit);
  }

  /** Whether it was told to hold the model. */
  isToldToHold(model: string): boolean {
    return this.#holdOf(model) !== undefined;
  }

  #holdOf(model: string): FleetHold | undefined {
    for (const hold of this.#facts.holds) if (hold.model === model) return hold;
    return undefined;
  }

  #isNotMissing(now: Moment, unit: string): boolean {
    const until = this.#missing.get(unit);
    return until === undefined || now >= until;
  }
}

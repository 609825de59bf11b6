import type { Moment } from '../common/ids.js';
import type { Service } from '../route/routing.js';
import type { DispatcherSettings } from './dispatch-types.js';
import type { FleetView } from './fleet-view.js';
import type { RoutedRequest } from './routed-request.js';
import type { TrackedRunner } from './tracked-runner.js';

/** Costs are in prompt tokens, the unit of an engine's work. */
const OTHER_ZONE_COST = 300;
const NEW_CONNECTION_COST = 400;
const RUNNING_REQUEST_COST = 60;
const WARM_UP_COST = 2000;
/** About what an engine reads of a prompt in a ms, by which a delay is counted in tokens. */
const TOKENS_PER_MS = 30;
/** More than a well used runner ever costs: a suspect is taken where there is no other. */
const SUSPECT_COST = 100_000;
const PLAIN_RUNNING_REQUEST_COST = 2000;
/** Shared prefixes shorter than this are cheaper to process again than to route by affinity. */
const MIN_AFFINITY_TOKENS = 600;
/** The share of the permitted rate of a runner that is warming up that is used. */
const WARM_UP_SHARE = 0.7;

/** Picks the available runner at which a request costs the least. */
export class RunnerPicker {
  readonly #settings: DispatcherSettings;
  readonly #fleet: FleetView;

  constructor(settings: DispatcherSettings, fleet: FleetView) {
    this.#settings = settings;
    this.#fleet = fleet;
  }

  /** The cheapest runner for the request now; undefined where none is available. */
  pick(now: Moment, request: RoutedRequest): TrackedRunner | undefined {
    if (request.attemptsSent >= request.route.maxAttempts) return undefined;
    let best: TrackedRunner | undefined;
    let leastCost = Infinity;
    const runners = this.#fleet.runnersOf(request.service.name);
    const affinityRunner =
      request.sharedPrefixTokens >= MIN_AFFINITY_TOKENS
        ? this.#affinityRunner(request, runners)
        : undefined;
    for (const runner of runners) {
      if (!this.#isAvailable(now, request, runner)) continue;
      const cost = this.#cost(now, request, runner, affinityRunner);
      if (cost < leastCost) {
        leastCost = cost;
        best = runner;
      }
    }
    return best;
  }

  /** Whether any runner is available to the request now. */
  hasAvailable(now: Moment, request: RoutedRequest): boolean {
    for (const runner of this.#fleet.runnersOf(request.service.name))
      if (this.#isAvailable(now, request, runner)) return true;
    return false;
  }

  /** Whether any runner has the request's model and adapter, busy or not. */
  isLoaded(now: Moment, request: RoutedRequest): boolean {
    for (const runner of this.#fleet.runnersOf(request.service.name))
      if (this.#fleet.acceptsRequests(runner) && runner.hasModelUnit(now, request)) return true;
    return false;
  }

  /** Whether any runner has the request's model, with its adapter or without. */
  isModelLoaded(now: Moment, request: RoutedRequest): boolean {
    for (const runner of this.#fleet.runnersOf(request.service.name))
      if (this.#fleet.acceptsRequests(runner) && runner.hasModel(now, request)) return true;
    return false;
  }

  #isAvailable(now: Moment, request: RoutedRequest, runner: TrackedRunner): boolean {
    if (!this.#fleet.acceptsRequests(runner) || request.triedRunners.has(runner.facts.id))
      return false;
    if (runner.isBackingOff(now)) return false;
    if (request.modelUnit !== '' && !runner.hasModelUnit(now, request)) return false;
    if (!runner.hasCapacity(request.service, this.#fleet.proxyCount.value(now))) return false;
    return !runner.isWarmingUp(now) || this.#hasWarmUpCapacity(now, request.service, runner);
  }

  /**
   * A cold runner bears so many requests in any second from all proxies together. Where our part is less than one, a part
   * of the proxies has one each, and which they are is told by a hash that needs no word between them.
   */
  #hasWarmUpCapacity(now: Moment, service: Service, runner: TrackedRunner): boolean {
    const { warmupExcess, proxyId } = this.#settings;
    if (!this.#fleet.proxyCount.isSettled(now)) return false;
    const proxyCount = this.#fleet.proxyCount.value(now);
    const totalRate = service.warmupPerSecond * Math.max(1, warmupExcess) * WARM_UP_SHARE;
    const ownRate = Math.floor(totalRate / proxyCount);
    if (ownRate < 1 && hashText(`${proxyId}\n${runner.facts.id}`) % proxyCount >= totalRate)
      return false;
    return runner.warmUpRate(now) < Math.max(1, ownRate);
  }

  /** The affinity runner of a prefix by rendezvous hashing, the same at all proxies without communication; '' for none. */
  #affinityRunner(request: RoutedRequest, runners: readonly TrackedRunner[]): string {
    let best = '';
    let highestRank = -1;
    for (const runner of runners) {
      if (!this.#fleet.acceptsRequests(runner) || !runner.isListedWithModel(request.head.model))
        continue;
      const { id } = runner.facts;
      const rank = hashText(`${request.sharedPrefixKey}\n${id}`);
      if (rank > highestRank) {
        highestRank = rank;
        best = id;
      }
    }
    return best;
  }

  #cost(
    now: Moment,
    request: RoutedRequest,
    runner: TrackedRunner,
    affinityRunner: string | undefined,
  ): number {
    const { facts } = runner;
    let cost = runner.pendingPromptTokens + runner.inFlight * RUNNING_REQUEST_COST;
    if (facts.zone !== this.#settings.zone) cost += OTHER_ZONE_COST;
    if (runner.isWarmingUp(now)) cost += WARM_UP_COST;
    if (runner.isSuspect(now)) cost += SUSPECT_COST;
    if (!this.#settings.hasIdleConnection(facts.address)) cost += NEW_CONNECTION_COST;
    const hasPrefix =
      affinityRunner !== undefined
        ? facts.id === affinityRunner
        : runner.hasCachedPrefix(request.sharedPrefixKey);
    if (!hasPrefix) cost += request.sharedPrefixTokens;
    if (request.modelUnit !== '') cost += runner.latencyExcessMs(now) * TOKENS_PER_MS;
    // Plain services have few places each: whoever has the least of ours is likely to have the least of all.
    else cost += runner.inFlight * PLAIN_RUNNING_REQUEST_COST;
    return cost + this.#settings.random();
  }
}

/** FNV-1a with a final mix; only its evenness matters. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  hash ^= hash >>> 15;
  return Math.imul(hash, 0x85ebca6b) >>> 0;
}

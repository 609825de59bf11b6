import type { Moment } from '../common/ids.js';
import type { Service } from '../route/routing.js';
import type { DispatcherSettings } from './dispatch-types.js';
import type { FleetView } from './fleet-view.js';
import type { RoutedRequest } from './routed-request.js';
import type { TrackedRunner } from './tracked-runner.js';

/** Costs are in prompt tokens, the unit of an engine's work; other factors are converted to tokens. */
const OTHER_ZONE_COST = 300;
const NEW_CONNECTION_COST = 400;
const RUNNING_REQUEST_COST = 60;
const WARM_UP_COST = 2000;
/** Approximate prefill speed of an engine; converts a delay to tokens. */
const TOKENS_PER_MS = 30;
/** More than the cost of any runner under normal load: a suspect is picked only if no other is available. */
const SUSPECT_COST = 100_000;
const PLAIN_RUNNING_REQUEST_COST = 2000;
/** Shared prefixes shorter than this are cheaper to process again than to route by affinity. */
const MIN_AFFINITY_TOKENS = 600;
/** The share of the permitted request rate of a warming runner that is used. */
const WARM_UP_SHARE = 0.7;

/** Picks the available runner with the lowest estimated cost for a request. */
export class RunnerPicker {
  readonly #settings: DispatcherSettings;
  readonly #fleet: FleetView;

  constructor(settings: DispatcherSettings, fleet: FleetView) {
    this.#settings = settings;
    this.#fleet = fleet;
  }

  /** The cheapest runner for the request now; undefined if none is available. */
  pick(now: Moment, request: RoutedRequest): TrackedRunner | undefined {
    if (request.attemptsSent >= request.route.maxAttempts) return undefined;
    let bestRunner: TrackedRunner | undefined;
    let lowestCost = Infinity;
    const runners = this.#fleet.runnersOf(request.service.name);
    const affinityRunner =
      request.sharedPrefixTokens >= MIN_AFFINITY_TOKENS
        ? this.#affinityRunner(request, runners)
        : undefined;
    for (const runner of runners) {
      if (!this.#isAvailable(now, request, runner)) continue;
      const cost = this.#cost(now, request, runner, affinityRunner);
      if (cost < lowestCost) {
        lowestCost = cost;
        bestRunner = runner;
      }
    }
    return bestRunner;
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
      if (this.isEligible(now, request, runner)) return true;
    return false;
  }

  /** Whether the runner accepts requests and has the request's model and adapter, busy or not. */
  isEligible(now: Moment, request: RoutedRequest, runner: TrackedRunner): boolean {
    if (!this.#fleet.acceptsRequests(runner)) return false;
    return request.modelUnit === '' || runner.hasModelUnit(now, request);
  }

  /** Whether any runner has the request's model, with or without its adapter. */
  isModelLoaded(now: Moment, request: RoutedRequest): boolean {
    for (const runner of this.#fleet.runnersOf(request.service.name))
      if (this.#fleet.acceptsRequests(runner) && runner.hasModel(now, request)) return true;
    return false;
  }

  #isAvailable(now: Moment, request: RoutedRequest, runner: TrackedRunner): boolean {
    if (request.triedRunners.has(runner.info.id) || runner.isBackingOff(now)) return false;
    if (!this.isEligible(now, request, runner)) return false;
    if (!runner.hasCapacity(request.service, this.#fleet.proxyCount.value(now))) return false;
    return !runner.isWarmingUp(now) || this.#hasWarmUpCapacity(now, request.service, runner);
  }

  /**
   * Whether this proxy may send one more request to a warming runner, whose request rate is limited over all proxies. If the
   * share of a proxy is less than one request per second, only some of the proxies send one each; a hash of proxy and runner
   * selects them without communication.
   */
  #hasWarmUpCapacity(now: Moment, service: Service, runner: TrackedRunner): boolean {
    if (!this.#fleet.proxyCount.isSettled(now)) return false;
    return runner.warmUpRate(now) < this.#ownWarmUpRate(now, service, runner);
  }

  /** The number of requests per second that this proxy may send to a warming runner. */
  #ownWarmUpRate(now: Moment, service: Service, runner: TrackedRunner): number {
    const { warmupExcess, proxyId } = this.#settings;
    const proxyCount = this.#fleet.proxyCount.value(now);
    const totalRate = service.warmupPerSecond * Math.max(1, warmupExcess) * WARM_UP_SHARE;
    const ownRate = Math.floor(totalRate / proxyCount);
    if (ownRate >= 1) return ownRate;
    return hashText(`${proxyId}\n${runner.info.id}`) % proxyCount >= totalRate ? 0 : 1;
  }

  /** Time until this proxy may send one more request to the runner, ms, as far as its warm-up is concerned. */
  warmUpWaitMs(now: Moment, service: Service, runner: TrackedRunner): number {
    // Until the number of proxies is settled, which is soon, the wait is unknown.
    if (!runner.isWarmingUp(now) || !this.#fleet.proxyCount.isSettled(now)) return 0;
    const ownRate = this.#ownWarmUpRate(now, service, runner);
    if (ownRate === 0) return runner.warmUpLeftMs(now);
    if (runner.warmUpRate(now) < ownRate) return 0;
    return Math.min(runner.warmUpLeftMs(now), runner.warmUpWindowLeftMs(now));
  }

  /** The affinity runner of a prefix: rendezvous hashing gives the same at all proxies; '' if no runner has the model. */
  #affinityRunner(request: RoutedRequest, runners: readonly TrackedRunner[]): string {
    let bestRunner = '';
    let highestScore = -1;
    for (const runner of runners) {
      if (!this.#fleet.acceptsRequests(runner) || !runner.isListedWithModel(request.head.model))
        continue;
      const { id } = runner.info;
      const score = hashText(`${request.sharedPrefixKey}\n${id}`);
      if (score > highestScore) {
        highestScore = score;
        bestRunner = id;
      }
    }
    return bestRunner;
  }

  #cost(
    now: Moment,
    request: RoutedRequest,
    runner: TrackedRunner,
    affinityRunner: string | undefined,
  ): number {
    const { info: runnerInfo } = runner;
    let cost = runner.pendingPromptTokens + runner.inFlight * RUNNING_REQUEST_COST;
    if (runnerInfo.zone !== this.#settings.zone) cost += OTHER_ZONE_COST;
    if (runner.isWarmingUp(now)) cost += WARM_UP_COST;
    if (runner.isSuspect(now)) cost += SUSPECT_COST;
    if (!this.#settings.hasIdleConnection(runnerInfo.address)) cost += NEW_CONNECTION_COST;
    const hasPrefix =
      affinityRunner !== undefined
        ? runnerInfo.id === affinityRunner
        : runner.hasCachedPrefix(request.sharedPrefixKey);
    if (!hasPrefix) cost += request.sharedPrefixTokens;
    if (request.modelUnit !== '') cost += runner.latencyExcessMs(now) * TOKENS_PER_MS;
    // Plain runners have few slots: the one with the fewest requests of this proxy probably has the fewest in total.
    else cost += runner.inFlight * PLAIN_RUNNING_REQUEST_COST;
    return cost + this.#settings.random();
  }
}

/** FNV-1a with a final mix; only the even distribution of its values matters. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  hash ^= hash >>> 15;
  return Math.imul(hash, 0x85ebca6b) >>> 0;
}

import type { Moment } from '../common/ids.js';
import type { Service } from '../route/routing.js';
import type { DispatcherSettings } from './dispatch-types.js';
import type { FleetView } from './fleet-view.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunnerAccount } from './runner-account.js';

/** Costs of a choice are counted in prompt tokens, the unit in which engines are kept busy. */
const ZONE_TOKENS = 300;
const CONNECT_TOKENS = 400;
const RUNNING_TOKENS = 60;
const COLD_TOKENS = 2000;
const PLAIN_RUNNING_TOKENS = 2000;
/** Shared parts shorter than this are read again sooner than sought. */
const AFFINITY_TOKENS = 600;
/** We use so much of what a cold runner is said to bear. */
const COLD_SHARE = 0.7;

/** Chooses the runner that a request costs the least, among those it may go to. */
export class RunnerChoice {
  readonly #settings: DispatcherSettings;
  readonly #fleet: FleetView;

  constructor(settings: DispatcherSettings, fleet: FleetView) {
    this.#settings = settings;
    this.#fleet = fleet;
  }

  /** The best runner for the request now, if there is one that it may go to. */
  choose(now: Moment, request: RoutedRequest): RunnerAccount | undefined {
    if (request.sends >= request.route.tries) return undefined;
    let best: RunnerAccount | undefined;
    let least = Infinity;
    const runners = this.#fleet.runnersOf(request.service.name);
    const preferred =
      request.sharedTokens >= AFFINITY_TOKENS ? this.#preferred(request, runners) : undefined;
    for (const runner of runners) {
      if (!this.#isUsable(now, request, runner)) continue;
      const cost = this.#cost(now, request, runner, preferred);
      if (cost < least) {
        least = cost;
        best = runner;
      }
    }
    return best;
  }

  /** Whether there is any runner that the request may go to now. */
  hasUsable(now: Moment, request: RoutedRequest): boolean {
    for (const runner of this.#fleet.runnersOf(request.service.name))
      if (this.#isUsable(now, request, runner)) return true;
    return false;
  }

  /** Whether any runner holds all that the request needs, busy or not. */
  isHeld(now: Moment, request: RoutedRequest): boolean {
    for (const runner of this.#fleet.runnersOf(request.service.name))
      if (this.#fleet.isOpen(runner) && runner.holds(now, request)) return true;
    return false;
  }

  /** Whether any runner holds the request's model, with its adapter or without. */
  isModelHeld(now: Moment, request: RoutedRequest): boolean {
    for (const runner of this.#fleet.runnersOf(request.service.name))
      if (this.#fleet.isOpen(runner) && runner.holdsModel(now, request)) return true;
    return false;
  }

  #isUsable(now: Moment, request: RoutedRequest, runner: RunnerAccount): boolean {
    if (!this.#fleet.isOpen(runner) || request.tried.has(runner.facts.id)) return false;
    if (runner.isPaused(now)) return false;
    if (request.unit !== '' && !runner.holds(now, request)) return false;
    if (!runner.hasPlace(request.service, this.#fleet.flows)) return false;
    return !runner.isCold(now) || this.#hasColdRoom(now, request.service, runner);
  }

  /**
   * A cold runner bears so many requests in any second from all proxies together. Where our part is less than one, a part
   * of the proxies has one each, and which they are is told by a hash that needs no word between them.
   */
  #hasColdRoom(now: Moment, service: Service, runner: RunnerAccount): boolean {
    const { warmupExcess, flow } = this.#settings;
    const { flows } = this.#fleet;
    const most = service.warmupPerSecond * Math.max(1, warmupExcess) * COLD_SHARE;
    const part = Math.floor(most / flows);
    if (part < 1 && hashOf(`${flow}\n${runner.facts.id}`) % flows >= most) return false;
    return runner.coldRate(now) < Math.max(1, part);
  }

  /** The runner on which all proxies agree for these shared parts, without asking each other; '' for none. */
  #preferred(request: RoutedRequest, runners: readonly RunnerAccount[]): string {
    let best = '';
    let most = -1;
    for (const runner of runners) {
      if (!this.#fleet.isOpen(runner) || !runner.isToldToHold(request.head.model)) continue;
      const { id } = runner.facts;
      const rank = hashOf(`${request.sharedKey}\n${id}`);
      if (rank > most) {
        most = rank;
        best = id;
      }
    }
    return best;
  }

  #cost(
    now: Moment,
    request: RoutedRequest,
    runner: RunnerAccount,
    preferred: string | undefined,
  ): number {
    const { facts } = runner;
    let cost = runner.pendingTokens + runner.requests * RUNNING_TOKENS;
    if (facts.zone !== this.#settings.zone) cost += ZONE_TOKENS;
    if (runner.isCold(now)) cost += COLD_TOKENS;
    if (!this.#settings.hasIdle(facts.address)) cost += CONNECT_TOKENS;
    const isWarm =
      preferred !== undefined ? facts.id === preferred : runner.hasKept(request.sharedKey);
    if (!isWarm) cost += request.sharedTokens;
    // Plain services have few places each: whoever has the least of ours is likely to have the least of all.
    if (request.unit === '') cost += runner.requests * PLAIN_RUNNING_TOKENS;
    return cost + this.#settings.random();
  }
}

/** FNV-1a; only its evenness matters. */
function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  hash ^= hash >>> 15;
  return Math.imul(hash, 0x85ebca6b) >>> 0;
}

import { later, type Moment } from '../common/ids.js';
import { RouteIndex, type Route, type Routing, type Service } from '../route/routing.js';
import { clientTimeoutAt } from './client-timeout.js';
import type { PrefixBlock, RequestHead } from './dispatch-types.js';
import type { RoutedRequest } from './routed-request.js';

/** Factor by which the recorded maximum time left of a route decays with each request. */
const MAX_TIME_LEFT_DECAY = 0.999;
/** A request with at least this share of that maximum time left counts as its client's first attempt. */
const FIRST_ATTEMPT_SHARE = 0.98;

/** Assigns a route and a service to each request, by the configuration in force. */
export class Admission {
  #routing: Routing | undefined;
  #index: RouteIndex | undefined;
  /** Current weights of the smooth weighted round-robin, one for each split, by route name. */
  readonly #credits = new Map<string, number[]>();
  /** Decaying maximum of the time that recent requests of a route had left, by route name. */
  readonly #maxTimeLeftMs = new Map<string, number>();

  /** The configuration in force; undefined before the first. */
  get routing(): Routing | undefined {
    return this.#routing;
  }

  /** Applies a configuration; the one already in force is ignored, so that the round-robin goes on. */
  configure(routing: Routing): void {
    if (routing === this.#routing) return;
    this.#routing = routing;
    this.#index = new RouteIndex(routing);
    this.#credits.clear();
  }

  /** Returns the request with its route and service; undefined if no route matches or the service is unknown. */
  admit(now: Moment, head: RequestHead): RoutedRequest | undefined {
    const route = this.#index?.match(head.host, head.path);
    const service = route ? this.#index?.service(this.#pickService(route)) : undefined;
    if (!route || !service) return undefined;
    const timeLeftMs = head.timeLeftMs ?? route.timeoutMs;
    return newRoutedRequest(
      now,
      head,
      route,
      service,
      timeLeftMs,
      this.#isFirstAttempt(route, timeLeftMs),
    );
  }

  #isFirstAttempt(route: Route, timeLeftMs: number): boolean {
    const maxMs = Math.max(
      (this.#maxTimeLeftMs.get(route.name) ?? 0) * MAX_TIME_LEFT_DECAY,
      timeLeftMs,
    );
    this.#maxTimeLeftMs.set(route.name, maxMs);
    return timeLeftMs >= maxMs * FIRST_ATTEMPT_SHARE;
  }

  /** Smooth weighted round-robin: even a few requests are distributed according to the weights. */
  #pickService(route: Route): string {
    if (route.splits.length === 1) return route.splits[0]?.service ?? '';
    const credits = this.#credits.get(route.name) ?? route.splits.map(zero);
    this.#credits.set(route.name, credits);
    let total = 0;
    let bestIndex = 0;
    for (const [index, split] of route.splits.entries()) {
      total += split.weight;
      credits[index] = (credits[index] ?? 0) + split.weight;
      if ((credits[index] ?? 0) > (credits[bestIndex] ?? 0)) bestIndex = index;
    }
    credits[bestIndex] = (credits[bestIndex] ?? 0) - total;
    return route.splits[bestIndex]?.service ?? '';
  }
}

function newRoutedRequest(
  now: Moment,
  head: RequestHead,
  route: Route,
  service: Service,
  timeLeftMs: number,
  isFirstAttempt: boolean,
): RoutedRequest {
  // The last block belongs to this request alone; those before it may be shared.
  const sharedBlocks = head.prefix.slice(0, -1);
  let sharedPrefixTokens = 0;
  for (const block of sharedBlocks) sharedPrefixTokens += block.tokens;
  const modelUnit =
    service.engine && head.model !== '' ? `${service.name}\n${head.model}\n${head.adapter}` : '';
  const deadline = later(now, Math.min(timeLeftMs, route.timeoutMs));
  return {
    head,
    route,
    service,
    modelUnit: modelUnit,
    arrivedAt: now,
    deadline,
    patienceEnd: clientTimeoutAt(route, now, deadline),
    isFirstAttempt: isFirstAttempt,
    sharedPrefixTokens: sharedPrefixTokens,
    sharedPrefixKey: `${head.model}/${head.adapter}/${sharedBlocks.map(idOf).join()}`,
    phase: 'waiting',
    attempt: 0,
    runner: '',
    sentAt: now,
    triedRunners: new Set(),
    attemptsSent: 0,
    mayHaveRun: false,
    needsNewConnection: false,
    isResponseStarted: false,
    forwardedHead: undefined,
    placeAgainAt: now,
  };
}

function idOf(block: PrefixBlock): string {
  return block.id;
}

function zero(): number {
  return 0;
}

import { later, type Moment } from '../common/ids.js';
import { RouteIndex, type Route, type Routing, type Service } from '../route/routing.js';
import { clientTimeoutAt } from './client-timeout.js';
import type { PrefixBlock, RequestHead } from './dispatch-types.js';
import type { RoutedRequest } from './routed-request.js';

/** With each request the longest time left that came on a route fades by this factor. */
const MAX_TIME_DECAY = 0.999;
/** A request with so much of that longest time is its client's first try. */
const FIRST_ATTEMPT_SHARE = 0.98;

/** Finds the route and the service of requests by the configuration in force. */
export class Admission {
  #routing: Routing | undefined;
  #index: RouteIndex | undefined;
  /** Each split's credit, by route. */
  readonly #credits = new Map<string, number[]>();
  /** The longest time left that came on a route lately: a request with as much is its client's first try. */
  readonly #maxTimeLeftMs = new Map<string, number>();

  /** The configuration in force; undefined before the first. */
  get routing(): Routing | undefined {
    return this.#routing;
  }

  /** Takes up a configuration; the one in force already changes nothing. */
  configure(routing: Routing): void {
    if (routing === this.#routing) return;
    this.#routing = routing;
    this.#index = new RouteIndex(routing);
    this.#credits.clear();
  }

  /** The request with its route and service; undefined where there is none for it. */
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
    const maxMs = Math.max((this.#maxTimeLeftMs.get(route.name) ?? 0) * MAX_TIME_DECAY, timeLeftMs);
    this.#maxTimeLeftMs.set(route.name, maxMs);
    return timeLeftMs >= maxMs * FIRST_ATTEMPT_SHARE;
  }

  /** Services by weight in turn, so that few requests already come out by their weights. */
  #pickService(route: Route): string {
    if (route.splits.length === 1) return route.splits[0]?.service ?? '';
    const credits = this.#credits.get(route.name) ?? route.splits.map(nothing);
    this.#credits.set(route.name, credits);
    let total = 0;
    let best = 0;
    for (const [index, split] of route.splits.entries()) {
      total += split.weight;
      credits[index] = (credits[index] ?? 0) + split.weight;
      if ((credits[index] ?? 0) > (credits[best] ?? 0)) best = index;
    }
    credits[best] = (credits[best] ?? 0) - total;
    return route.splits[best]?.service ?? '';
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
  // The last part is the request's own.
  const sharedBlocks = head.prefix.slice(0, -1);
  let sharedPrefixTokens = 0;
  for (const part of sharedBlocks) sharedPrefixTokens += part.tokens;
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

function idOf(part: PrefixBlock): string {
  return part.id;
}

function nothing(): number {
  return 0;
}

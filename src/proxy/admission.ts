import { later, type Moment } from '../common/ids.js';
import { RouteIndex, type Route, type Routing, type Service } from '../route/routing.js';
import type { PrefixPart, RequestHead } from './dispatch-types.js';
import type { RoutedRequest } from './routed-request.js';

/** With each request the longest time left that came on a route fades by this factor. */
const LONGEST_FADE = 0.999;
/** A request with so much of that longest time is its client's first try. */
const FIRST_TRY_SHARE = 0.98;

/** Finds the route and the service of requests by the configuration in force. */
export class Admission {
  #routing: Routing | undefined;
  #index: RouteIndex | undefined;
  /** Each split's credit, by route. */
  readonly #splits = new Map<string, number[]>();
  /** The longest time left that came on a route lately: a request with as much is its client's first try. */
  readonly #longest = new Map<string, number>();

  /** The configuration in force, if there is one yet. */
  get routing(): Routing | undefined {
    return this.#routing;
  }

  /** Takes up a configuration; the one in force already changes nothing. */
  configure(routing: Routing): void {
    if (routing === this.#routing) return;
    this.#routing = routing;
    this.#index = new RouteIndex(routing);
    this.#splits.clear();
  }

  /** The request with its route and service; undefined where there is none for it. */
  admit(now: Moment, head: RequestHead): RoutedRequest | undefined {
    const route = this.#index?.match(head.host, head.path);
    const service = route ? this.#index?.service(this.#split(route)) : undefined;
    if (!route || !service) return undefined;
    const givenMs = head.timeLeftMs ?? route.timeoutMs;
    return routed(now, head, route, service, givenMs, this.#isFirstTry(route, givenMs));
  }

  #isFirstTry(route: Route, givenMs: number): boolean {
    const longest = Math.max((this.#longest.get(route.name) ?? 0) * LONGEST_FADE, givenMs);
    this.#longest.set(route.name, longest);
    return givenMs >= longest * FIRST_TRY_SHARE;
  }

  /** Services by weight in turn, so that few requests already come out by their weights. */
  #split(route: Route): string {
    if (route.splits.length === 1) return route.splits[0]?.service ?? '';
    const credits = this.#splits.get(route.name) ?? route.splits.map(nothing);
    this.#splits.set(route.name, credits);
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

function routed(
  now: Moment,
  head: RequestHead,
  route: Route,
  service: Service,
  givenMs: number,
  isFirstTry: boolean,
): RoutedRequest {
  // The last part is the request's own.
  const shared = head.prefix.slice(0, -1);
  let sharedTokens = 0;
  for (const part of shared) sharedTokens += part.tokens;
  const unit =
    service.engine && head.model !== '' ? `${service.name}\n${head.model}\n${head.adapter}` : '';
  return {
    head,
    route,
    service,
    unit,
    arrivedAt: now,
    deadline: later(now, Math.min(givenMs, route.timeoutMs)),
    isFirstTry,
    sharedTokens,
    sharedKey: `${head.model}/${head.adapter}/${shared.map(idOf).join()}`,
    phase: 'waiting',
    attempt: 0,
    runner: '',
    sentAt: now,
    tried: new Set(),
    sends: 0,
    mayHaveRun: false,
    needsFresh: false,
    isBegun: false,
    waitUntil: now,
  };
}

function idOf(part: PrefixPart): string {
  return part.id;
}

function nothing(): number {
  return 0;
}

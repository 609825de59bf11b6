import { later, type Moment } from '../common/ids.js';
import { RouteIndex, type Route, type Routing, type Service } from '../route/routing.js';
import type { PrefixBlock, RequestHead } from './dispatch-types.js';
import type { RoutedRequest } from './routed-request.js';

/** Assigns a route and a service to each request, by the configuration in force. */
export class Admission {
  #routing: Routing | undefined;
  #index: RouteIndex | undefined;
  /** Current weights of the smooth weighted round-robin, one for each split, by route name. */
  readonly #credits = new Map<string, number[]>();

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
    return newRoutedRequest(now, head, route, service);
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
): RoutedRequest {
  // The last block belongs to this request alone; those before it may be shared.
  const sharedBlocks = head.prefix.slice(0, -1);
  let sharedPrefixTokens = 0;
  for (const block of sharedBlocks) sharedPrefixTokens += block.tokens;
  const modelUnit =
    service.engine && head.model !== '' ? `${service.name}\n${head.model}\n${head.adapter}` : '';
  const deadline = later(now, Math.min(head.timeLeftMs ?? route.timeoutMs, route.timeoutMs));
  return {
    head,
    route,
    service,
    modelUnit: modelUnit,
    arrivedAt: now,
    deadline,
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
    clientSilentSince: now,
    isResponseStarted: false,
    forwardedHead: undefined,
  };
}

function idOf(block: PrefixBlock): string {
  return block.id;
}

function zero(): number {
  return 0;
}

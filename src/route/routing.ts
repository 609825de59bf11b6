/** The routing configuration: which requests go to which service, and the properties of each service. */

/** The share of the requests of a route that goes to a service. */
export interface Split {
  readonly service: string;
  readonly weight: number;
}

/**
 * Whether requests of a route may be retried: `safe` ones always, `unsafe` ones never. A `stream` may be retried only if it is
 * resumable; it then continues after its last event.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A route: the requests that it matches, and how they are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Maximum duration of a request, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * The latency that the operator wants, in milliseconds; for streams, of the first event. It decides how long the clients
   * of a stream stay without an event, and nothing else.
   */
  readonly latencyTargetMs: number;
  /** The gap between events that the operator wants at most, in milliseconds; used in the same way. */
  readonly gapTargetMs: number;
  /** The priority; 0 is the highest. */
  readonly priority: number;
  readonly splits: readonly Split[];
  /** Maximum number of runners that one request may be sent to. */
  readonly maxAttempts: number;
  readonly isSticky: boolean;
  readonly isResumable: boolean;
}

/** A model that the runners of a service can load, with its resource needs. */
export interface EngineModel {
  readonly name: string;
  readonly sizeMb: number;
  readonly loadMs: number;
  readonly adapters: number;
  readonly adapterSizeMb: number;
}

/** The properties of each runner of a service that serves many models. */
export interface Engine {
  readonly slots: number;
  readonly cacheTokens: number;
  readonly models: readonly EngineModel[];
  /** Capacity for weights and adapters together, in megabytes. */
  readonly capacityMb: number;
  readonly adapterSlots: number;
  /** Maximum rate of loads from the weight store per second, over all runners. */
  readonly loadsPerSecond: number;
}

/** A service that requests are routed to; `engine` is undefined unless it serves many models. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  readonly maxConnections: number;
  readonly warmupMs: number;
  readonly warmupPerSecond: number;
  readonly engine: Engine | undefined;
}

/** Limits on client connections and requests. */
export interface Limits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerWaitMs: number;
  readonly idleMs: number;
}

/** The routing configuration of a deployment. */
export interface Routing {
  /** The version number that operators assign; it increases, but not always by 1. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: Limits;
}

/** One fault of a configuration, with its item and field. */
export interface RoutingFault {
  readonly item: string;
  readonly field: string;
  readonly text: string;
}

/** The adapter for the format in which a deployment writes its configuration; only the adapter knows its terms. */
export interface ConfigDialect {
  /** Parses a whole document; returns all faults of its shape. */
  read(text: string): {
    readonly routing: Routing | undefined;
    readonly faults: readonly RoutingFault[];
  };
  /** Applies a change to a document and returns the new document; undefined if the change cannot be parsed. */
  amend(text: string, change: string): string | undefined;
}

/** Checks the rules for configurations in every dialect; `current` is the version in force. */
export function checkRouting(routing: Routing, current: number): RoutingFault[] {
  const faults: RoutingFault[] = [];
  if (!Number.isSafeInteger(routing.version) || routing.version <= current)
    faults.push({
      item: 'configuration',
      field: 'version',
      text: `${routing.version} is not above ${current}`,
    });
  const services = new Set<string>();
  for (const service of routing.services) {
    if (services.has(service.name))
      faults.push({ item: service.name, field: 'name', text: 'two services have this name' });
    services.add(service.name);
  }
  const routesByPrefix = new Map<string, string>();
  const names = new Set<string>();
  for (const route of routing.routes) {
    if (names.has(route.name))
      faults.push({ item: route.name, field: 'name', text: 'two routes have this name' });
    names.add(route.name);
    const hostAndPrefix = `${route.host.toLowerCase()} ${route.prefix}`;
    const other = routesByPrefix.get(hostAndPrefix);
    if (other !== undefined)
      faults.push({
        item: route.name,
        field: 'prefix',
        text: `has the place of ${other}`,
      });
    routesByPrefix.set(hostAndPrefix, route.name);
    let weight = 0;
    for (const split of route.splits) {
      weight += split.weight;
      if (!services.has(split.service))
        faults.push({ item: route.name, field: 'service', text: `no service ${split.service}` });
    }
    if (!(weight > 0))
      faults.push({ item: route.name, field: 'weight', text: 'its weights add up to 0' });
    if (!(route.timeoutMs > 0))
      faults.push({ item: route.name, field: 'timeout', text: 'must be above 0' });
  }
  return faults;
}

/** Finds the route of a request: of the routes of its host, the one with the longest matching prefix. */
export class RouteIndex {
  readonly #hosts = new Map<string, Map<string, Route>>();
  readonly #services = new Map<string, Service>();

  constructor(routing: Routing) {
    for (const route of routing.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#hosts.get(host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.#hosts.set(host, prefixes);
    }
    for (const service of routing.services) this.#services.set(service.name, service);
  }

  /** The service with this name. */
  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /**
   * The route of a request. Prefixes begin and end with a slash, so only the parts of the path that end in a slash are looked
   * up, the longest first.
   */
  match(host: string, path: string): Route | undefined {
    const prefixes =
      this.#hosts.get(host.toLowerCase()) ??
      this.#hosts.get(host.toLowerCase().replace(/:\d+$/, ''));
    if (!prefixes) return undefined;
    for (
      let end = path.lastIndexOf('/');
      end >= 0;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)
    ) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route) return route;
    }
    return undefined;
  }
}

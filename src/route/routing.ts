/** The operators' routing as the product knows it: which requests go to which service, and what each service is. */
export interface Split {
  readonly service: string;
  readonly weight: number;
}

/** What may be repeated: `safe` any time, `unsafe` never, `stream` only where it is resumable and goes on after its last event. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

export interface Route {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: RouteKind;
  /** The longest that operators want a request held, ms. */
  readonly timeoutMs: number;
  /** The time inside which an answer earns its full worth, ms; to the first event for streams. */
  readonly latencyTargetMs: number;
  /** The longest pause between events of a stream that keeps it in time, ms. */
  readonly gapTargetMs: number;
  /** 0 is highest. */
  readonly priority: number;
  readonly splits: readonly Split[];
  /** The most runners that one request may be sent to. */
  readonly maxAttempts: number;
  readonly isSticky: boolean;
  readonly isResumable: boolean;
}

export interface EngineModel {
  readonly name: string;
  readonly sizeMb: number;
  readonly loadMs: number;
  readonly adapters: number;
  readonly adapterSizeMb: number;
}

/** What every runner of a service of many models is. */
export interface Engine {
  readonly slots: number;
  readonly cacheTokens: number;
  readonly models: readonly EngineModel[];
  /** Room for weights and adapters together, MB. */
  readonly capacityMb: number;
  readonly adapterSlots: number;
  /** Loads from the weight store a second over all runners. */
  readonly loadsPerSecond: number;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  readonly maxConnections: number;
  readonly warmupMs: number;
  readonly warmupPerSecond: number;
  readonly engine: Engine | undefined;
}

export interface Limits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerWaitMs: number;
  readonly idleMs: number;
}

export interface Routing {
  /** The operators' own number; it goes up in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: Limits;
}

/** One fault of a configuration, by the item and field it stands in. */
export interface RoutingFault {
  readonly item: string;
  readonly field: string;
  readonly text: string;
}

/** How a deployment writes its configuration; the only part of it that knows the words is the adapter. */
export interface ConfigDialect {
  /** Reads a whole document; every fault of shape is named. */
  read(text: string): {
    readonly routing: Routing | undefined;
    readonly faults: readonly RoutingFault[];
  };
  /** The whole document that a change makes of another, or undefined where the change cannot be read. */
  amend(text: string, change: string): string | undefined;
}

/** What no configuration may say, whatever its dialect. */
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
  const places = new Map<string, string>();
  const names = new Set<string>();
  for (const route of routing.routes) {
    if (names.has(route.name))
      faults.push({ item: route.name, field: 'name', text: 'two routes have this name' });
    names.add(route.name);
    const place = `${route.host.toLowerCase()} ${route.prefix}`;
    const other = places.get(place);
    if (other !== undefined)
      faults.push({ item: route.name, field: 'prefix', text: `has the place of ${other}` });
    places.set(place, route.name);
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

/** Finds the route of a request: of its host's routes the one with the longest prefix of the path. */
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

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Prefixes begin and end with a slash, so that only the slashes of the path are looked at, the last one first. */
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

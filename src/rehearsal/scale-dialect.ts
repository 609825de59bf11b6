import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { array, boolean, enums, number, optional, string, type, type Infer } from 'superstruct';
import type { ResponseStatus } from '../proxy/dispatch-types.js';
import type { RequestDialect, RequestAnnotations } from '../proxy/request-dialect.js';
import { parseAs } from '../common/json.js';
import type { ConfigDialect, Engine, Route, Routing, RoutingFault } from '../route/routing.js';

const RouteShape = type({
  name: string(),
  host: string(),
  prefix: string(),
  kind: enums(['safe', 'unsafe', 'stream']),
  timeoutMs: number(),
  targetMs: number(),
  gapTargetMs: number(),
  priority: number(),
  splits: array(type({ service: string(), weight: number() })),
  tries: number(),
  isSticky: boolean(),
  isResumable: boolean(),
});
const ModelShape = type({
  name: string(),
  sizeMb: number(),
  loadMs: number(),
  adapters: number(),
  adapterSizeMb: number(),
});
const EngineShape = type({
  slots: number(),
  cacheTokens: number(),
  models: array(ModelShape),
  roomMb: number(),
  adapterSlots: number(),
  loadsPerSecond: number(),
});
const ServiceShape = type({
  name: string(),
  healthPath: string(),
  maxConnections: number(),
  warmupMs: number(),
  warmupPerSecond: number(),
  engine: optional(EngineShape),
});
const RoutingShape = type({
  version: number(),
  routes: array(RouteShape),
  services: array(ServiceShape),
  limits: type({
    maxHeaderBytes: number(),
    maxBodyBytes: number(),
    headerWaitMs: number(),
    idleMs: number(),
  }),
});

/** A configuration as the scale run writes it; its field names are part of the sizes that are measured. */
export type RoutingText = Infer<typeof RoutingShape>;
/** One route of it. */
export type RouteText = Infer<typeof RouteShape>;

/** A configuration format of haretrack's own, so that no deployment's is measured in place of haretrack. */
export class PlainRouting implements ConfigDialect {
  read(text: string): {
    readonly routing: Routing | undefined;
    readonly faults: readonly RoutingFault[];
  } {
    const read = parseAs(RoutingShape, text);
    if (!read)
      return {
        routing: undefined,
        faults: [{ item: 'configuration', field: '', text: 'cannot be read' }],
      };
    return { routing: routingOf(read), faults: [] };
  }

  /** The scale run sends whole documents alone. */
  amend(): string | undefined {
    return undefined;
  }
}

function routingOf({ version, routes, services, limits }: RoutingText): Routing {
  return {
    version,
    routes: routes.map(routeOf),
    services: services.map(({ engine, ...rest }) => ({
      ...rest,
      engine: engine && engineOf(engine),
    })),
    limits,
  };
}

function routeOf({ targetMs, tries, ...rest }: RouteText): Route {
  return { ...rest, latencyTargetMs: targetMs, maxAttempts: tries };
}

function engineOf({ roomMb, ...rest }: Infer<typeof EngineShape>): Engine {
  return { ...rest, capacityMb: roomMb };
}

/** No request comes in a scale run: what a proxy would ask of it is answered with nothing. */
export class NoRequests implements RequestDialect {
  readRequest(_headers: IncomingHttpHeaders): RequestAnnotations {
    return {
      attemptId: '',
      model: '',
      adapter: '',
      promptTokens: 0,
      prefix: [],
      timeLeftMs: undefined,
      lastEventId: undefined,
    };
  }

  annotateRunnerRequest(): void {
    /* nothing is sent */
  }

  readResponse(status: number): ResponseStatus {
    return { status, isUnprocessed: true, isGenuine: false };
  }

  rejection(): { readonly status: number; readonly headers: OutgoingHttpHeaders } {
    return { status: 503, headers: {} };
  }
}

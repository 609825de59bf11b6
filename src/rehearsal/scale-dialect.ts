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

/** A configuration document of the scale run; its field names count towards the measured sizes. */
export type RoutingDocument = Infer<typeof RoutingShape>;
/** One route of a configuration document. */
export type RouteDocument = Infer<typeof RouteShape>;

/** A plain configuration format, so that the measurements do not include the cost of any deployment's own format. */
export class PlainRouting implements ConfigDialect {
  /** Parses a document; returns a single fault if it does not match the schema. */
  read(text: string): {
    readonly routing: Routing | undefined;
    readonly faults: readonly RoutingFault[];
  } {
    const document = parseAs(RoutingShape, text);
    if (!document)
      return {
        routing: undefined,
        faults: [{ item: 'configuration', field: '', text: 'cannot be read' }],
      };
    return { routing: routingOf(document), faults: [] };
  }

  /** Returns undefined: the scale run sends whole documents only. */
  amend(): string | undefined {
    return undefined;
  }
}

function routingOf({ version, routes, services, limits }: RoutingDocument): Routing {
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

function routeOf({ targetMs, tries, ...rest }: RouteDocument): Route {
  return { ...rest, latencyTargetMs: targetMs, maxAttempts: tries };
}

function engineOf({ roomMb, ...rest }: Infer<typeof EngineShape>): Engine {
  return { ...rest, capacityMb: roomMb };
}

/** A request dialect without content: the proxies of a scale run receive no requests. */
export class NullRequestDialect implements RequestDialect {
  /** Returns empty annotations. */
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

  /** Adds nothing. */
  annotateRunnerRequest(): void {
    /* nothing is sent */
  }

  /** Returns the status as that of an unprocessed request. */
  readResponse(status: number): ResponseStatus {
    return { status, isUnprocessed: true, isGenuine: false };
  }

  /** Returns a 503 without headers. */
  rejection(): { readonly status: number; readonly headers: OutgoingHttpHeaders } {
    return { status: 503, headers: {} };
  }
}

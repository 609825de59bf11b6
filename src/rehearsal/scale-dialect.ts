import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { array, boolean, enums, number, optional, string, type } from 'superstruct';
import type { AnswerHead } from '../proxy/dispatch-types.js';
import type { RequestDialect, SaidByRequest } from '../proxy/request-dialect.js';
import { parseAs } from '../common/json.js';
import type { ConfigDialect, Routing, RoutingFault } from '../route/routing.js';

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

/** The product's own words as JSON: no deployment's, so that none is measured in place of haretrack. */
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
    const services = [];
    for (const { engine, ...rest } of read.services) services.push({ ...rest, engine });
    return { routing: { ...read, services }, faults: [] };
  }

  /** The scale run sends whole documents alone. */
  amend(): string | undefined {
    return undefined;
  }
}

/** No request comes in a scale run: what a proxy would ask of it is answered with nothing. */
export class NoRequests implements RequestDialect {
  readRequest(_headers: IncomingHttpHeaders): SaidByRequest {
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

  tellRunner(): void {
    /* nothing is sent */
  }

  readAnswer(status: number): AnswerHead {
    return { status, isNotRun: true, isGenuine: false };
  }

  refusal(): { readonly status: number; readonly headers: OutgoingHttpHeaders } {
    return { status: 503, headers: {} };
  }
}

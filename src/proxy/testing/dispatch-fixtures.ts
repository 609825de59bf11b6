/** Routes, runners and requests for the tests of the dispatcher's components. */
import { moment, type Moment } from '../../common/ids.js';
import type { FleetRunner } from '../../placement/fleet.js';
import type { Engine, Route, Routing, Service } from '../../route/routing.js';
import { Admission } from '../admission.js';
import type { RequestHead } from '../dispatch-types.js';
import type { RoutedRequest } from '../routed-request.js';

const ENGINE: Engine = {
  slots: 64,
  cacheTokens: 200_000,
  models: [{ name: 'm', sizeMb: 70_000, loadMs: 600, adapters: 4, adapterSizeMb: 10 }],
  capacityMb: 220_000,
  adapterSlots: 8,
  loadsPerSecond: 6,
};

/** A service with an engine that has the model `m`. */
export const LLM: Service = {
  name: 'llm',
  healthPath: '/health',
  maxConnections: 100,
  warmupMs: 3000,
  warmupPerSecond: 10,
  engine: ENGINE,
};
/** A service of plain runners. */
export const WEB: Service = { ...LLM, name: 'web', engine: undefined };

const STREAM: Route = {
  name: 'stream',
  host: 'h.example',
  prefix: '/stream/',
  kind: 'stream',
  timeoutMs: 5000,
  latencyTargetMs: 500,
  gapTargetMs: 600,
  priority: 2,
  splits: [{ service: 'llm', weight: 1 }],
  maxAttempts: 2,
  isSticky: true,
  isResumable: true,
};
/** Routes: a resumable stream, unsafe requests, safe requests, and one that is split over two services by weight. */
export const ROUTING: Routing = {
  version: 1,
  routes: [
    STREAM,
    { ...STREAM, name: 'once', prefix: '/once/', kind: 'unsafe', isResumable: false },
    {
      ...STREAM,
      name: 'safe',
      prefix: '/safe/',
      kind: 'safe',
      splits: [{ service: 'web', weight: 1 }],
    },
    {
      ...STREAM,
      name: 'split',
      prefix: '/split/',
      splits: [
        { service: 'llm', weight: 3 },
        { service: 'web', weight: 1 },
      ],
    },
  ],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerWaitMs: 1, idleMs: 1 },
  services: [LLM, WEB],
};

/** The head of a request for the model `m` on the stream's route. */
export function headOf(id: number, more: Partial<RequestHead> = {}): RequestHead {
  return {
    id,
    host: 'h.example',
    path: '/stream/x',
    model: 'm',
    adapter: '',
    promptTokens: 600,
    prefix: [],
    timeLeftMs: 5000,
    ...more,
  };
}

/** The same request, admitted at `now`. */
export function requestOf(now: Moment, id: number, more: Partial<RequestHead> = {}): RoutedRequest {
  const admission = new Admission();
  admission.configure(ROUTING);
  const request = admission.admit(now, headOf(id, more));
  if (!request) throw new Error('no route matches the request');
  return request;
}

/** A runner of the service with an engine; it has loaded `m` with the adapter `a1`. */
export function runnerOf(id: string, more: Partial<FleetRunner> = {}): FleetRunner {
  return {
    id,
    address: `${id}:1`,
    zone: 'za',
    service: 'llm',
    slots: 64,
    isLeaving: false,
    coldMs: 0,
    holds: [{ model: 'm', adapters: ['a1'] }],
    coming: [],
    ...more,
  };
}

/** The moment `ms` milliseconds after the start of the test. */
export function at(ms: number): Moment {
  return moment(ms);
}

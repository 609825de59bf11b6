import {
  Agent,
  createServer,
  request,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import { createServer as createTcp, type Server as TcpServer, type Socket } from 'node:net';
import { Counters } from '../../common/counters.js';
import { monotonicNow } from '../../common/clock.js';
import type { FleetRunner } from '../../placement/fleet.js';
import type { Route, Routing } from '../../route/routing.js';
import { Dispatcher, type ResponseStatus, type RejectReason } from '../dispatcher.js';
import { Forwarder } from '../forwarder.js';
import type { RequestDialect, RequestAnnotations, RunnerAnnotations } from '../request-dialect.js';

/** A dialect for these tests, with the headers x-id, x-target, x-not-run and x-seal. */
class TestDialect implements RequestDialect {
  readRequest(headers: IncomingHttpHeaders): RequestAnnotations {
    const id = headers['x-id'];
    const last = headers['last-event-id'];
    return {
      attemptId: typeof id === 'string' ? id : '',
      model: '',
      adapter: '',
      promptTokens: 0,
      prefix: [],
      timeLeftMs: 4000,
      lastEventId: typeof last === 'string' ? Number(last) : undefined,
    };
  }

  annotateRunnerRequest(headers: OutgoingHttpHeaders, annotations: RunnerAnnotations): void {
    headers['x-target'] = annotations.runner;
    if (annotations.lastEventId !== undefined)
      headers['last-event-id'] = String(annotations.lastEventId);
  }

  readResponse(status: number, headers: IncomingHttpHeaders, attemptId: string): ResponseStatus {
    return {
      status,
      isUnprocessed: headers['x-not-run'] !== undefined,
      isGenuine: headers['x-id'] === attemptId,
    };
  }

  rejection(
    _reason: RejectReason,
    retryAfterMs: number,
  ): { status: number; headers: OutgoingHttpHeaders } {
    return { status: 503, headers: { 'retry-after': String(retryAfterMs / 1000) } };
  }
}

const base: Route = {
  name: 'r',
  host: 'h',
  prefix: '/stream/',
  kind: 'stream',
  timeoutMs: 4000,
  latencyTargetMs: 1000,
  gapTargetMs: 600,
  priority: 0,
  splits: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  isSticky: false,
  isResumable: true,
};
const routing: Routing = {
  version: 1,
  routes: [
    base,
    { ...base, name: 'once', prefix: '/once/', isResumable: false, maxAttempts: 1 },
    { ...base, name: 'safe', prefix: '/safe/', kind: 'safe', isResumable: false },
    { ...base, name: 'unsafe', prefix: '/unsafe/', kind: 'unsafe', isResumable: false },
  ],
  services: [
    {
      name: 's',
      healthPath: '/',
      maxConnections: 100,
      warmupMs: 0,
      warmupPerSecond: 0,
      engine: undefined,
    },
  ],
  limits: { maxHeaderBytes: 16_000, maxBodyBytes: 1000, headerWaitMs: 3000, idleMs: 5000 },
};

function zero(): number {
  return 0;
}
function always(): boolean {
  return true;
}
/** Does nothing: there is no agent, and errors show in the response. */
export function ignore(): void {
  /* there is no agent, and errors show in the response */
}

async function listen(server: Server | TcpServer): Promise<string> {
  await new Promise<void>((done: () => void) => {
    server.listen(0, '127.0.0.1', done);
  });
  const bound = server.address();
  return `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
}

/** A response as a client received it. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly isComplete: boolean;
}
/** A proxy in front of runners with the given behaviour, on loopback. */
export class TestProxy {
  readonly counters = new Counters();
  readonly dispatcher = new Dispatcher({
    proxyId: 'f',
    zone: 'z',
    retry: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    warmupExcess: 1.5,
    connectTimeoutMs: 300,
    random: zero,
    hasIdleConnection: always,
  });
  readonly forwarder = new Forwarder(
    this.dispatcher,
    new TestDialect(),
    this.counters,
    monotonicNow,
    ignore,
  );
  readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly servers: (Server | TcpServer)[] = [];
  readonly seen: string[] = [];
  #address = '';
  #lastRequestId = 0;
  #tickTimer: NodeJS.Timeout | undefined;

  async start(
    runners: readonly (RequestListener | ((socket: Socket) => void))[],
    isRaw = false,
  ): Promise<void> {
    const list: FleetRunner[] = [];
    for (const [index, take] of runners.entries()) {
      const server = isRaw ? createTcp() : createServer();
      server.on(isRaw ? 'connection' : 'request', take);
      this.servers.push(server);
      list.push({
        id: `r${index}`,
        address: await listen(server),
        zone: 'z',
        service: 's',
        slots: 10,
        isLeaving: false,
        coldMs: 0,
        holds: [],
        coming: [],
      });
    }
    this.dispatcher.onConfiguration(monotonicNow(), routing, []);
    this.dispatcher.onFleet(monotonicNow(), { flows: 1, runners: list, waits: [] });
    this.#address = `127.0.0.1:${await this.forwarder.listen('127.0.0.1:0')}`;
    this.#tickTimer = setInterval(() => this.forwarder.tick(), 20);
  }

  async stop(): Promise<void> {
    clearInterval(this.#tickTimer);
    this.agent.destroy();
    await this.forwarder.close(100);
    for (const server of this.servers) {
      if ('closeAllConnections' in server) server.closeAllConnections();
      server.close();
    }
  }

  get address(): string {
    return this.#address;
  }

  request(
    path: string,
    headers: OutgoingHttpHeaders = {},
    body = 'hello',
  ): Promise<ReceivedResponse> {
    this.#lastRequestId += 1;
    const [host, port] = this.#address.split(':');
    const sent = request({
      host,
      port: Number(port),
      method: 'POST',
      path,
      agent: this.agent,
      headers: {
        host: 'h',
        'x-id': `q${this.#lastRequestId}`,
        'content-length': body.length,
        ...headers,
      },
    });
    const received = new Promise<ReceivedResponse>(
      (done: (received: ReceivedResponse) => void, fail: (thrown: unknown) => void) => {
        sent.once('response', (response: IncomingMessage) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => {
            chunks.push(chunk);
          });
          response.on('error', ignore);
          response.once('close', () => {
            done({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body: Buffer.concat(chunks).toString(),
              isComplete: response.complete,
            });
          });
        });
        sent.once('error', fail);
      },
    );
    sent.end(body);
    return received;
  }
}

/** The id of the attempt that the runner was sent. */
export function idOf(runnerRequest: IncomingMessage): string {
  const id = runnerRequest.headers['x-id'];
  return typeof id === 'string' ? id : '';
}
/** The event of a stream with this id. */
export function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}
/** Begins to respond with an event stream. */
export function writeStreamHead(
  runnerResponse: ServerResponse,
  runnerRequest: IncomingMessage,
): void {
  runnerResponse.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-id': idOf(runnerRequest),
    'x-seal': 'first',
  });
}
/** The events with these ids. */
export function events(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id += 1) text += event(id);
  return text;
}

/** Runs a test with a proxy in front of these runners, and stops them. */
export async function withTestProxy(
  runners: readonly RequestListener[],
  run: (proxy: TestProxy) => Promise<void>,
): Promise<void> {
  const proxy = new TestProxy();
  await proxy.start(runners);
  try {
    await run(proxy);
  } finally {
    await proxy.stop();
  }
}

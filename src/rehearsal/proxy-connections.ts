import type { InFlightRequests, ForwardStep } from '../proxy/in-flight-requests.js';
import type { Moment } from '../common/ids.js';
import type { MutationKind } from './mutation.js';
import type { SimClients } from './sim-clients.js';
import type { ConnectionHandler, SimConnection } from './sim-connection.js';

/** What `ProxyConnections` needs of its simulated proxy. */
export interface ConnectedProxy {
  readonly clients: SimClients;
  /** The mutation that this proxy runs with, or ''. */
  readonly mutation: MutationKind | '';
  /** Undefined while the process is down. */
  inFlightRequests(): InFlightRequests | undefined;
  /** Current time by the proxy's clock. */
  now(): Moment;
  /** Runs a callback now, or once the process is no longer frozen. */
  perform(run: () => void): void;
  /** Runs a callback after a delay, ms. */
  schedule(delay: number, run: () => void): void;
  /** Carries out the steps that the request handling has queued. */
  applySteps(): void;
  /** Opens a connection to a back end. */
  open(backEnd: string, hear: ConnectionHandler): SimConnection;
}

/** One attempt of a request, and its connection. */
export interface Attempt {
  readonly connection: SimConnection;
  readonly attempt: number;
  /** The connection was an idle one. */
  readonly isReused: boolean;
  /** The response headers have arrived. */
  hasHeaders: boolean;
  readonly backEnd: string;
  /** The connection may be kept for reuse after a complete response. */
  readonly isReusable: boolean;
}

type ConnectStep = Extract<ForwardStep, { do: 'connect' }>;

/** Delay until a reused connection reports that it is connected, ms. */
const REUSE_DELAY_MS = 0.05;

/** A simulated proxy's connections to back ends: those in use by requests, and a pool of idle ones. */
export class ProxyConnections {
  readonly #proxy: ConnectedProxy;
  readonly #attempts = new Map<number, Attempt>();
  readonly #idleConnections = new Map<string, SimConnection[]>();

  constructor(proxy: ConnectedProxy) {
    this.#proxy = proxy;
  }

  /** Returns a request's current attempt. */
  get(id: number): Attempt | undefined {
    return this.#attempts.get(id);
  }

  /** Closes all connections after the process was killed. */
  closeAll(): void {
    for (const attempt of this.#attempts.values()) attempt.connection.close();
    this.#attempts.clear();
    for (const lines of this.#idleConnections.values()) for (const line of lines) line.close();
    this.#idleConnections.clear();
  }

  /** Starts an attempt: closes the connection of the previous one, and reuses an idle connection where the row allows it. */
  connect(id: number, step: ConnectStep): void {
    const { runner, row } = step.verdict;
    this.release(id, false);
    const idleConnection = row.repeatable ? this.#idleConnections.get(runner)?.pop() : undefined;
    const hear = this.#callbacks(id, step.attempt);
    const line = idleConnection ?? this.#proxy.open(runner, hear);
    line.handler = hear;
    this.#attempts.set(id, {
      connection: line,
      attempt: step.attempt,
      isReused: idleConnection !== undefined,
      hasHeaders: false,
      backEnd: runner,
      isReusable: row.repeatable,
    });
    if (idleConnection) this.#proxy.schedule(REUSE_DELAY_MS, hear.connected);
  }

  /** Ends a request's attempt; after a complete response the connection may be kept for reuse. */
  release(id: number, isWhole: boolean): void {
    const attempt = this.#attempts.get(id);
    if (!attempt) return;
    this.#attempts.delete(id);
    const { connection: line, backEnd, isReusable: isKept } = attempt;
    if (!isWhole || !isKept || line.isClosed) {
      line.close();
      return;
    }
    const lines = this.#idleConnections.get(backEnd) ?? [];
    this.#idleConnections.set(backEnd, lines);
    lines.push(line);
    // On an idle connection only its end matters: the back end has closed it.
    const onClosed = () => this.#drop(backEnd, line);
    line.handler = {
      connected: ignore,
      head: ignore,
      text: ignore,
      ended: onClosed,
      broke: onClosed,
    };
  }

  #drop(backEnd: string, line: SimConnection): void {
    const lines = this.#idleConnections.get(backEnd) ?? [];
    this.#idleConnections.set(
      backEnd,
      lines.filter((other) => line !== other),
    );
    line.close();
  }

  /** Returns the callbacks of an attempt's connection; while the process is frozen, events wait as data in a socket does. */
  #callbacks(id: number, attempt: number): ConnectionHandler {
    return {
      connected: () => this.#connected(id, attempt),
      head: (isBegun, isBounded) => this.#head(id, attempt, isBegun, isBounded),
      text: (piece) => this.#text(id, attempt, piece),
      ended: () => this.#ended(id, attempt),
      broke: () => this.#broke(id, attempt),
    };
  }

  #deferEvent(
    id: number,
    attempt: number,
    run: (requests: InFlightRequests, attempt: Attempt) => void,
  ): void {
    const requests = this.#proxy.inFlightRequests();
    this.#proxy.perform(() => this.#handleEvent(id, attempt, requests, run));
  }

  #handleEvent(
    id: number,
    attemptNumber: number,
    requests: InFlightRequests | undefined,
    run: (requests: InFlightRequests, attempt: Attempt) => void,
  ): void {
    const attempt = this.#attempts.get(id);
    if (attempt?.attempt !== attemptNumber || !requests) return;
    run(requests, attempt);
    this.#proxy.applySteps();
  }

  #connected(id: number, attempt: number): void {
    const proxy = this.#proxy;
    this.#deferEvent(id, attempt, (requests: InFlightRequests) => {
      requests.onConnect(proxy.now(), id, attempt);
    });
  }

  #head(id: number, attempt: number, isBegun: boolean, isBounded: boolean): void {
    const proxy = this.#proxy;
    this.#deferEvent(id, attempt, (requests: InFlightRequests, current: Attempt) => {
      current.hasHeaders = isBegun;
      requests.onHeaders(proxy.now(), id, attempt, {
        isStarted: isBegun,
        hasSelfDefinedLength: isBounded || proxy.mutation === 'unbounded-as-whole',
      });
    });
  }

  #text(id: number, attempt: number, piece: string): void {
    const proxy = this.#proxy;
    this.#deferEvent(id, attempt, (requests: InFlightRequests) => {
      const client = proxy.clients.get(id);
      if (!client?.isReading) return;
      client.check.take(piece);
      requests.onData(proxy.now(), id, attempt);
    });
  }

  #ended(id: number, attempt: number): void {
    const proxy = this.#proxy;
    this.#deferEvent(id, attempt, (requests: InFlightRequests) => {
      // A client that does not read holds back the end of the response as well as its data.
      if (proxy.clients.get(id)?.isReading === true) requests.onComplete(proxy.now(), id, attempt);
    });
  }

  #broke(id: number, attempt: number): void {
    const proxy = this.#proxy;
    this.#deferEvent(id, attempt, (requests: InFlightRequests, current: Attempt) => {
      if (proxy.mutation === 'ends-made-up' && current.hasHeaders)
        requests.onComplete(proxy.now(), id, attempt);
      else requests.onDisconnect(proxy.now(), id, attempt, current.isReused && !current.hasHeaders);
    });
  }
}

function ignore(): void {
  /* an idle connection has no request in flight */
}

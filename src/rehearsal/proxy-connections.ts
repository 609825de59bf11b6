import type { InFlightRequests, ForwardStep } from '../proxy/in-flight-requests.js';
import type { Moment } from '../common/ids.js';
import type { MutationKind } from './mutation.js';
import type { SimClients } from './sim-clients.js';
import type { Hear, SimConnection } from './sim-connection.js';

/** The simulated proxy whose connections these are. */
export interface ConnectedProxy {
  readonly clients: SimClients;
  readonly wrong: MutationKind | '';
  /** Nothing while the process is down. */
  inFlightRequests(): InFlightRequests | undefined;
  now(): Moment;
  /** Runs when the process is awake. */
  perform(run: () => void): void;
  later(delay: number, run: () => void): void;
  obey(): void;
  open(backEnd: string, hear: Hear): SimConnection;
}

/** One attempt of a request on its connection. */
export interface Attempt {
  readonly line: SimConnection;
  readonly attempt: number;
  readonly isReused: boolean;
  hasHead: boolean;
  readonly backEnd: string;
  readonly isKept: boolean;
}

type ConnectStep = Extract<ForwardStep, { do: 'connect' }>;

/** A kept connection stands so soon, ms. */
const KEPT_MS = 0.05;

/** The connections of a simulated proxy to back ends: those that requests use, and idle ones that are kept. */
export class ProxyConnections {
  readonly #proxy: ConnectedProxy;
  readonly #attempts = new Map<number, Attempt>();
  readonly #kept = new Map<string, SimConnection[]>();

  constructor(proxy: ConnectedProxy) {
    this.#proxy = proxy;
  }

  /** The attempt of a request that is under way. */
  get(id: number): Attempt | undefined {
    return this.#attempts.get(id);
  }

  /** The process died. */
  closeAll(): void {
    for (const attempt of this.#attempts.values()) attempt.line.close();
    this.#attempts.clear();
    for (const lines of this.#kept.values()) for (const line of lines) line.close();
    this.#kept.clear();
  }

  connect(id: number, step: ConnectStep): void {
    const { runner, row } = step.verdict;
    this.release(id, false);
    const kept = row.repeatable ? this.#kept.get(runner)?.pop() : undefined;
    const hear = this.#hear(id, step.attempt);
    const line = kept ?? this.#proxy.open(runner, hear);
    line.hear = hear;
    this.#attempts.set(id, {
      line,
      attempt: step.attempt,
      isReused: kept !== undefined,
      hasHead: false,
      backEnd: runner,
      isKept: row.repeatable,
    });
    if (kept) this.#proxy.later(KEPT_MS, hear.connected);
  }

  /** Its attempt is over; after a whole answer the connection may be kept. */
  release(id: number, isWhole: boolean): void {
    const attempt = this.#attempts.get(id);
    if (!attempt) return;
    this.#attempts.delete(id);
    const { line, backEnd, isKept } = attempt;
    if (!isWhole || !isKept || line.isClosed) {
      line.close();
      return;
    }
    const lines = this.#kept.get(backEnd) ?? [];
    this.#kept.set(backEnd, lines);
    lines.push(line);
    // Idle, it is heard of only when the back end closes it.
    const idle = () => this.#drop(backEnd, line);
    line.hear = { connected: ignore, head: ignore, text: ignore, ended: idle, broke: idle };
  }

  #drop(backEnd: string, line: SimConnection): void {
    const lines = this.#kept.get(backEnd) ?? [];
    this.#kept.set(
      backEnd,
      lines.filter((other) => line !== other),
    );
    line.close();
  }

  /** What comes in on a connection waits in its socket while the process is frozen. */
  #hear(id: number, attempt: number): Hear {
    return {
      connected: () => this.#connected(id, attempt),
      head: (isBegun, isBounded) => this.#head(id, attempt, isBegun, isBounded),
      text: (piece) => this.#text(id, attempt, piece),
      ended: () => this.#ended(id, attempt),
      broke: () => this.#broke(id, attempt),
    };
  }

  #hears(
    id: number,
    attempt: number,
    run: (requests: InFlightRequests, attempt: Attempt) => void,
  ): void {
    const requests = this.#proxy.inFlightRequests();
    this.#proxy.perform(() => this.#heard(id, attempt, requests, run));
  }

  #heard(
    id: number,
    number: number,
    requests: InFlightRequests | undefined,
    run: (requests: InFlightRequests, attempt: Attempt) => void,
  ): void {
    const attempt = this.#attempts.get(id);
    if (attempt?.attempt !== number || !requests) return;
    run(requests, attempt);
    this.#proxy.obey();
  }

  #connected(id: number, attempt: number): void {
    const proxy = this.#proxy;
    this.#hears(id, attempt, (requests: InFlightRequests) => {
      requests.onConnect(proxy.now(), id, attempt);
    });
  }

  #head(id: number, attempt: number, isBegun: boolean, isBounded: boolean): void {
    const proxy = this.#proxy;
    this.#hears(id, attempt, (requests: InFlightRequests, heard: Attempt) => {
      heard.hasHead = isBegun;
      requests.onHeaders(proxy.now(), id, attempt, {
        isStarted: isBegun,
        hasSelfDefinedLength: isBounded || proxy.wrong === 'unbounded-as-whole',
      });
    });
  }

  #text(id: number, attempt: number, piece: string): void {
    const proxy = this.#proxy;
    this.#hears(id, attempt, (requests: InFlightRequests) => {
      const client = proxy.clients.get(id);
      if (!client?.isReading) return;
      client.check.take(piece);
      requests.onData(proxy.now(), id, attempt);
    });
  }

  #ended(id: number, attempt: number): void {
    const proxy = this.#proxy;
    this.#hears(id, attempt, (requests: InFlightRequests) => {
      // What its client has not read holds up the end as well.
      if (proxy.clients.get(id)?.isReading === true) requests.onComplete(proxy.now(), id, attempt);
    });
  }

  #broke(id: number, attempt: number): void {
    const proxy = this.#proxy;
    this.#hears(id, attempt, (requests: InFlightRequests, heard: Attempt) => {
      if (proxy.wrong === 'ends-made-up' && heard.hasHead)
        requests.onComplete(proxy.now(), id, attempt);
      else requests.onDisconnect(proxy.now(), id, attempt, heard.isReused && !heard.hasHead);
    });
  }
}

function ignore(): void {
  /* nothing is asked on an idle connection */
}

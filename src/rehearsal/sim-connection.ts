import type { Scheduler } from './scheduler.js';

/** The proxy's callbacks for one of its connections to a back end. */
export interface ConnectionHandler {
  /** The connection is open. */
  connected(): void;
  /** The response's headers: whether a run began, and whether the body has a length or chunks that show its end. */
  head(isBegun: boolean, isBounded: boolean): void;
  /** A piece of the response's body. */
  text(text: string): void;
  /** The response ended. */
  ended(): void;
  /** The connection was reset or refused. */
  broke(): void;
}

/** A request as written to a back end. */
export interface SimRequest {
  readonly id: string;
  readonly model: string;
  readonly adapter: string;
  /** Number of lines of the response's body before its last one. */
  readonly tokens: number;
  /** When the proxy wrote it, virtual ms. */
  readonly at: number;
}

/** The part of a back end that its connections use. */
export interface ConnectionTarget {
  /** Counts starts of the process: a connection ends with the process that it was opened to. */
  readonly boot: number;
  readonly isUp: boolean;
  /** Whether the machine was removed: nothing comes back from it, not even a reset. */
  readonly isMachineRemoved: boolean;
  /** Open connections. */
  readonly connections: Set<SimConnection>;
  /** A request arrived. */
  onRequest(line: SimConnection, request: SimRequest): void;
  /** The proxy closed the connection. */
  onDisconnect(line: SimConnection): void;
}

/** The interval at which a cut connection is tried again, as TCP retransmits what was sent during a cut; ms. */
const CUT_RETRY_MS = 50;

/** One simulated connection of a proxy to a back end: delivers in order, and holds data back while cut. */
export class SimConnection {
  readonly #scheduler: Scheduler;
  readonly #back: ConnectionTarget;
  readonly #isCut: () => boolean;
  readonly #delay: () => number;
  /** The `boot` of the back end's process that it was opened to. */
  readonly boot: number;
  /** The current callbacks; replaced when the connection is reused. */
  handler: ConnectionHandler;
  #outbox: (() => void)[] = [];
  #isClosed = false;

  constructor(
    scheduler: Scheduler,
    back: ConnectionTarget,
    isCut: () => boolean,
    delay: () => number,
    hear: ConnectionHandler,
  ) {
    this.#scheduler = scheduler;
    this.#back = back;
    this.#isCut = isCut;
    this.#delay = delay;
    this.handler = hear;
    this.boot = back.boot;
    this.#scheduler.after(delay(), () => this.#connect());
  }

  /** Whether the proxy closed it; there are no more callbacks then. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  #connect(): void {
    if (this.#isClosed) return;
    if (this.#isCut() || this.#back.isMachineRemoved) {
      this.#scheduler.after(CUT_RETRY_MS, () => this.#connect());
      return;
    }
    if (!this.#back.isUp || this.#back.boot !== this.boot) {
      this.tell('broke');
      return;
    }
    this.#back.connections.add(this);
    // The machine's kernel accepts the connection, even while the process is frozen.
    this.tell('connected');
  }

  /** Sends a request; it arrives even if the proxy dies afterwards. */
  write(request: SimRequest): void {
    this.#scheduler.after(this.#delay(), () => this.#arrive(request));
  }

  #arrive(request: SimRequest): void {
    // A reset connection drops data that has not arrived.
    if (this.#back.isMachineRemoved || (this.#isCut() && this.#isClosed)) return;
    if (this.#isCut()) {
      this.#scheduler.after(CUT_RETRY_MS, () => this.#arrive(request));
      return;
    }
    if (!this.#back.isUp || this.#back.boot !== this.boot) {
      this.tell('broke');
      return;
    }
    this.#back.onRequest(this, request);
  }

  /** Closes the connection at the proxy; the back end learns of it after a delay. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#outbox = [];
    this.#back.connections.delete(this);
    this.#scheduler.after(this.#delay(), () => this.#notifyClosed());
  }

  #notifyClosed(): void {
    if (this.#isCut()) this.#scheduler.after(CUT_RETRY_MS, () => this.#notifyClosed());
    else this.#back.onDisconnect(this);
  }

  // ---- from the back end to the proxy

  /** Reports an event without data to the proxy. */
  tell(what: 'connected' | 'ended' | 'broke'): void {
    function run(line: SimConnection): void {
      line.handler[what]();
    }
    this.#enqueue(() => run(this));
  }

  /** Sends the response's headers. */
  head(isBegun: boolean, isBounded: boolean): void {
    function run(line: SimConnection): void {
      line.handler.head(isBegun, isBounded);
    }
    this.#enqueue(() => run(this));
  }

  /** Sends a piece of the response's body. */
  text(text: string): void {
    function run(line: SimConnection): void {
      line.handler.text(text);
    }
    this.#enqueue(() => run(this));
  }

  #enqueue(run: () => void): void {
    if (this.#isClosed) return;
    this.#outbox.push(run);
    this.#scheduler.after(this.#delay(), () => this.#deliverNext());
  }

  #deliverNext(): void {
    if (this.#isClosed || this.#outbox.length === 0) return;
    if (this.#isCut()) {
      this.#scheduler.after(CUT_RETRY_MS, () => this.#deliverNext());
      return;
    }
    this.#outbox.shift()?.();
  }
}

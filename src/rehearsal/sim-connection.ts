import type { Scheduler } from './scheduler.js';

/** What a proxy hears on one of its connections to a back end. */
export interface Hear {
  connected(): void;
  head(isBegun: boolean, isBounded: boolean): void;
  text(text: string): void;
  ended(): void;
  broke(): void;
}

/** What is written to a back end. */
export interface SimRequest {
  readonly id: string;
  readonly model: string;
  readonly adapter: string;
  readonly tokens: number;
  readonly at: number;
}

/** The machine that a connection leads to, as far as the connection sees it. */
export interface ConnectionTarget {
  /** Counts its processes: a connection ends with the one it was made to. */
  readonly boot: number;
  readonly isUp: boolean;
  /** The machine is taken away: nothing comes back from it. */
  readonly isGone: boolean;
  /** The connections that stand. */
  readonly lines: Set<SimConnection>;
  take(line: SimConnection, request: SimRequest): void;
  left(line: SimConnection): void;
}

/** A cut is looked at again after so long: what was sent meanwhile is sent anew by the machines' TCP. */
const AGAIN_MS = 50;

/** One simulated connection of a proxy to a back end: keeps its order, and holds back what is sent while cut. */
export class SimConnection {
  readonly #scheduler: Scheduler;
  readonly #back: ConnectionTarget;
  readonly #isCut: () => boolean;
  readonly #delay: () => number;
  /** The life of the back end that it leads to. */
  readonly boot: number;
  hear: Hear;
  #out: (() => void)[] = [];
  #isClosed = false;

  constructor(
    scheduler: Scheduler,
    back: ConnectionTarget,
    isCut: () => boolean,
    delay: () => number,
    hear: Hear,
  ) {
    this.#scheduler = scheduler;
    this.#back = back;
    this.#isCut = isCut;
    this.#delay = delay;
    this.hear = hear;
    this.boot = back.boot;
    this.#scheduler.after(delay(), () => this.#connect());
  }

  /** Closed at the proxy's side: it hears nothing more here. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  #connect(): void {
    if (this.#isClosed) return;
    if (this.#isCut() || this.#back.isGone) {
      this.#scheduler.after(AGAIN_MS, () => this.#connect());
      return;
    }
    if (!this.#back.isUp || this.#back.boot !== this.boot) {
      this.tell('broke');
      return;
    }
    this.#back.lines.add(this);
    // The machine's kernel takes it, even where the process stands still.
    this.tell('connected');
  }

  /** Once written it is on its way, whatever becomes of the proxy. */
  write(request: SimRequest): void {
    this.#scheduler.after(this.#delay(), () => this.#arrive(request));
  }

  #arrive(request: SimRequest): void {
    // A connection that is reset drops what has not arrived.
    if (this.#back.isGone || (this.#isCut() && this.#isClosed)) return;
    if (this.#isCut()) {
      this.#scheduler.after(AGAIN_MS, () => this.#arrive(request));
      return;
    }
    if (!this.#back.isUp || this.#back.boot !== this.boot) {
      this.tell('broke');
      return;
    }
    this.#back.take(this, request);
  }

  /** Closes at the proxy's side; the back end notices once it hears of it. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#out = [];
    this.#back.lines.delete(this);
    this.#scheduler.after(this.#delay(), () => this.#closed());
  }

  #closed(): void {
    if (this.#isCut()) this.#scheduler.after(AGAIN_MS, () => this.#closed());
    else this.#back.left(this);
  }

  // ---- towards the proxy

  tell(what: 'connected' | 'ended' | 'broke'): void {
    function run(line: SimConnection): void {
      line.hear[what]();
    }
    this.#say(() => run(this));
  }

  head(isBegun: boolean, isBounded: boolean): void {
    function run(line: SimConnection): void {
      line.hear.head(isBegun, isBounded);
    }
    this.#say(() => run(this));
  }

  text(text: string): void {
    function run(line: SimConnection): void {
      line.hear.text(text);
    }
    this.#say(() => run(this));
  }

  #say(run: () => void): void {
    if (this.#isClosed) return;
    this.#out.push(run);
    this.#scheduler.after(this.#delay(), () => this.#pump());
  }

  #pump(): void {
    if (this.#isClosed || this.#out.length === 0) return;
    if (this.#isCut()) {
      this.#scheduler.after(AGAIN_MS, () => this.#pump());
      return;
    }
    this.#out.shift()?.();
  }
}

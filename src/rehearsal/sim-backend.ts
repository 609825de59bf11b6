import type { Scheduler } from './scheduler.js';
import type { BackRecord } from './records.js';
import type { SeededRandom } from './seeded-random.js';
import type { SimConnection, SimRequest } from './sim-connection.js';

/** The ways in which a back end can misbehave. */
export const MISBEHAVIORS = ['breaks', 'silent', 'slow', 'unbounded', 'full', 'closes'] as const;
/** How a back end behaves. */
export type Behavior = 'sound' | (typeof MISBEHAVIORS)[number];

/** Settings of one back end. */
export interface SimBackendSettings {
  readonly id: string;
  /** Whether it is a plain back end, which serves without models, and not a runner. */
  readonly isPlain: boolean;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
}

interface SimRun {
  readonly line: SimConnection;
  readonly request: SimRequest;
  readonly run: string;
  readonly behavior: Behavior;
  isOver: boolean;
  isUnboundedBegun: boolean;
}

/** The machine of a back end, which holds its models and is notified of runs. */
export interface BackendHost {
  /** Whether the model and adapter of a request are ready at a back end. */
  holds(id: string, request: SimRequest): boolean;
  /** A run began at a back end. */
  onRunStart(id: string, request: SimRequest): void;
  /** A run ended at a back end. */
  onRunEnd(id: string, request: SimRequest): void;
}

/** The serving side of a simulated runner or plain back end: it runs requests, can break at any byte, freeze or die. */
export class SimBackend {
  readonly id: string;
  readonly #settings: SimBackendSettings;
  readonly #scheduler: Scheduler;
  readonly #seeded: SeededRandom;
  readonly #host: BackendHost;
  readonly #records: BackRecord[];
  /** Open connections. */
  readonly connections = new Set<SimConnection>();
  readonly #runs = new Set<SimRun>();
  #pending: (() => void)[] = [];
  #runCount = 0;
  /** Counts starts of the process. */
  boot = 1;
  /** Whether the process runs; a frozen one does. */
  isUp = true;
  /** Whether the process is frozen; its kernel still accepts connections and data. */
  isFrozen = false;
  /** Whether the machine was removed: nothing comes back from it, not even a reset. */
  isMachineRemoved = false;
  /** The current behavior. */
  behavior: Behavior = 'sound';

  constructor(
    settings: SimBackendSettings,
    scheduler: Scheduler,
    seeded: SeededRandom,
    holder: BackendHost,
    records: BackRecord[],
  ) {
    this.id = settings.id;
    this.#settings = settings;
    this.#scheduler = scheduler;
    this.#seeded = seeded;
    this.#host = holder;
    this.#records = records;
  }

  /** Number of runs in progress. */
  get running(): number {
    return this.#runs.size;
  }

  /** Freezes or resumes the process; on resuming, it handles its queued inputs in order. */
  setFrozen(isDark: boolean): void {
    this.isFrozen = isDark;
    if (isDark) return;
    const pending = this.#pending;
    this.#pending = [];
    for (const run of pending) run();
  }

  /** Ends the process: its machine closes the connections, unless the machine is removed as well. */
  kill(isMachineGone: boolean): void {
    this.boot += 1;
    this.isMachineRemoved = isMachineGone;
    this.isFrozen = false;
    this.#pending = [];
    for (const run of this.#runs) {
      run.isOver = true;
      this.#recordFault(run);
      // Without a length or chunks, the machine's close looks the same for a crash as for an end.
      if (!isMachineGone && run.isUnboundedBegun) {
        run.line.tell('ended');
        this.connections.delete(run.line);
      }
    }
    this.#runs.clear();
    if (!isMachineGone) for (const line of this.connections) line.tell('broke');
    this.connections.clear();
  }

  /** Starts a new process. */
  start(): void {
    this.isUp = true;
    this.isMachineRemoved = false;
    this.#records.push({ at: this.#scheduler.now, what: 'boot', runner: this.id });
  }

  /** A request arrived at the machine. */
  onRequest(line: SimConnection, request: SimRequest): void {
    this.#perform(() => this.#begin(line, request));
  }

  /** The proxy closed a connection: its runs are canceled once the process notices. */
  onDisconnect(line: SimConnection): void {
    function cancel(back: SimBackend): void {
      for (const run of back.#runs) if (run.line === line) back.#end(run);
    }
    this.#perform(() => cancel(this));
  }

  #perform(run: () => void): void {
    const { boot } = this;
    const back = { isCurrent: () => this.#isCurrentBoot(boot) };
    function due(): void {
      if (back.isCurrent()) run();
    }
    if (this.isFrozen) this.#pending.push(due);
    else due();
  }

  #isCurrentBoot(boot: number): boolean {
    return this.boot === boot && this.isUp;
  }

  #later(millis: number, run: () => void): void {
    this.#scheduler.after(millis, () => this.#perform(run));
  }

  #begin(line: SimConnection, request: SimRequest): void {
    const mood = this.behavior;
    // It closes the connection as the request arrives, without running it.
    if (mood === 'closes' && this.#seeded.isLikely(0.7)) {
      line.tell('broke');
      return;
    }
    const isFull =
      this.#runs.size >= this.#settings.slots || (mood === 'full' && this.#seeded.isLikely(0.7));
    if (isFull || !this.#host.holds(this.id, request)) {
      this.#records.push({
        at: this.#scheduler.now,
        what: 'none',
        runner: this.id,
        id: request.id,
      });
      line.head(false, true);
      return;
    }
    this.#runCount += 1;
    const run: SimRun = {
      line,
      request,
      run: `${this.id}/${this.boot}/${this.#runCount}`,
      behavior: this.#seeded.isLikely(0.6) ? mood : 'sound',
      isOver: false,
      isUnboundedBegun: false,
    };
    this.#runs.add(run);
    this.#host.onRunStart(this.id, request);
    // The run counts from the moment when the proxy wrote the request, however long that was queued in a socket.
    this.#records.push({
      at: request.at,
      what: 'run',
      runner: this.id,
      id: request.id,
      run: run.run,
    });
    const promptMs =
      this.#seeded.between(5, this.#settings.isPlain ? 30 : 150) * (mood === 'slow' ? 40 : 1);
    if (run.behavior === 'breaks' && this.#seeded.isLikely(this.#settings.isPlain ? 0.9 : 0.3))
      this.#later(promptMs, () => this.#breakRun(run));
    // A run may stall permanently, before its headers or after some of its lines.
    else if (run.behavior === 'silent' && this.#seeded.isLikely(0.3)) this.#recordFault(run);
    else this.#later(promptMs, () => this.#sendHeaders(run));
  }

  #sendHeaders(run: SimRun): void {
    if (run.isOver) return;
    run.isUnboundedBegun = run.behavior === 'unbounded';
    run.line.head(true, run.behavior !== 'unbounded');
    if (this.#settings.isPlain) this.#sendLastLine(run);
    else this.#sendLine(run, 0);
  }

  #sendLine(run: SimRun, index: number): void {
    if (run.isOver) return;
    const { id, tokens } = run.request;
    if (index >= tokens) {
      this.#sendLastLine(run);
      return;
    }
    const line = `${JSON.stringify({ id, run: run.run, index })}\n`;
    if ((run.behavior === 'breaks' || run.behavior === 'unbounded') && this.#seeded.isLikely(0.2)) {
      run.line.text(line.slice(0, this.#seeded.below(line.length)));
      this.#breakRun(run);
      return;
    }
    run.line.text(line);
    if (run.behavior === 'silent' && this.#seeded.isLikely(0.3)) {
      this.#recordFault(run);
      return;
    }
    this.#later(this.#seeded.between(10, 80) * (run.behavior === 'slow' ? 10 : 1), () =>
      this.#sendLine(run, index + 1),
    );
  }

  #sendLastLine(run: SimRun): void {
    const { id, tokens } = run.request;
    run.line.text(
      `${JSON.stringify({ id, run: run.run, end: this.#settings.isPlain ? 0 : tokens })}\n`,
    );
    run.line.tell('ended');
    this.#end(run);
  }

  /** Records that the back end itself keeps this run from completing. */
  #recordFault(run: SimRun): void {
    this.#records.push({
      at: this.#scheduler.now,
      what: 'fault',
      runner: this.id,
      id: run.request.id,
      run: run.run,
    });
  }

  #breakRun(run: SimRun): void {
    if (run.isOver) return;
    this.#recordFault(run);
    run.line.tell(run.isUnboundedBegun ? 'ended' : 'broke');
    this.#end(run);
  }

  #end(run: SimRun): void {
    if (run.isOver) return;
    run.isOver = true;
    this.#runs.delete(run);
    this.#host.onRunEnd(this.id, run.request);
  }
}

import type { Scheduler } from './scheduler.js';
import type { BackRecord } from './records.js';
import type { SeededRandom } from './seeded-random.js';
import type { SimConnection, SimRequest } from './sim-connection.js';

/** How a back end misbehaves for a while. */
export const MOODS = ['breaks', 'silent', 'slow', 'unbounded', 'full', 'closes'] as const;
export type Mood = 'sound' | (typeof MOODS)[number];

export interface SimBackSettings {
  readonly id: string;
  readonly isPlain: boolean;
  readonly slots: number;
}

interface SimRun {
  readonly line: SimConnection;
  readonly request: SimRequest;
  readonly run: string;
  readonly mood: Mood;
  isOver: boolean;
  isUnboundedBegun: boolean;
}

/** What a back end must ask of its machine: whether it holds what is named, and whom to tell that a run began or ended there. */
export interface Holder {
  holds(id: string, request: SimRequest): boolean;
  began(id: string, request: SimRequest): void;
  ended(id: string, request: SimRequest): void;
}

/** The serving side of a simulated runner or plain back end: begins runs, breaks at any byte, stands still, dies. */
export class SimBackend {
  readonly id: string;
  readonly #settings: SimBackSettings;
  readonly #scheduler: Scheduler;
  readonly #seeded: SeededRandom;
  readonly #holder: Holder;
  readonly #records: BackRecord[];
  readonly lines = new Set<SimConnection>();
  readonly #runs = new Set<SimRun>();
  #held: (() => void)[] = [];
  #runCount = 0;
  boot = 1;
  isUp = true;
  /** Frozen: its kernel still takes connections and bytes. */
  isDark = false;
  /** The machine is taken away: nothing comes back from it, not even a word that it is closed. */
  isGone = false;
  mood: Mood = 'sound';

  constructor(
    settings: SimBackSettings,
    scheduler: Scheduler,
    seeded: SeededRandom,
    holder: Holder,
    records: BackRecord[],
  ) {
    this.id = settings.id;
    this.#settings = settings;
    this.#scheduler = scheduler;
    this.#seeded = seeded;
    this.#holder = holder;
    this.#records = records;
  }

  get running(): number {
    return this.#runs.size;
  }

  setDark(isDark: boolean): void {
    this.isDark = isDark;
    if (isDark) return;
    const held = this.#held;
    this.#held = [];
    for (const run of held) run();
  }

  /** The process ends: its machine closes its connections, unless it is gone as well. */
  die(isMachineGone: boolean): void {
    this.boot += 1;
    this.isGone = isMachineGone;
    this.isDark = false;
    this.#held = [];
    for (const run of this.#runs) {
      run.isOver = true;
      this.#fault(run);
      // Without length or chunks, what the machine's close says is the same for a crash and for an end.
      if (!isMachineGone && run.isUnboundedBegun) {
        run.line.tell('ended');
        this.lines.delete(run.line);
      }
    }
    this.#runs.clear();
    if (!isMachineGone) for (const line of this.lines) line.tell('broke');
    this.lines.clear();
  }

  rise(): void {
    this.isUp = true;
    this.isGone = false;
    this.#records.push({ at: this.#scheduler.now, what: 'boot', runner: this.id });
  }

  /** Bytes of a request reached the machine. */
  take(line: SimConnection, request: SimRequest): void {
    this.#perform(() => this.#begin(line, request));
  }

  /** The proxy closed: whatever ran for it is cancelled, once the process notices. */
  left(line: SimConnection): void {
    function cancel(back: SimBackend): void {
      for (const run of back.#runs) if (run.line === line) back.#end(run);
    }
    this.#perform(() => cancel(this));
  }

  #perform(run: () => void): void {
    const { boot } = this;
    const back = { isSame: () => this.#isBoot(boot) };
    function due(): void {
      if (back.isSame()) run();
    }
    if (this.isDark) this.#held.push(due);
    else due();
  }

  #isBoot(boot: number): boolean {
    return this.boot === boot && this.isUp;
  }

  #later(millis: number, run: () => void): void {
    this.#scheduler.after(millis, () => this.#perform(run));
  }

  #begin(line: SimConnection, request: SimRequest): void {
    const mood = this.mood;
    // It closes its connection just as it is written to, and has run nothing.
    if (mood === 'closes' && this.#seeded.isLikely(0.7)) {
      line.tell('broke');
      return;
    }
    const isFull =
      this.#runs.size >= this.#settings.slots || (mood === 'full' && this.#seeded.isLikely(0.7));
    if (isFull || !this.#holder.holds(this.id, request)) {
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
      mood: this.#seeded.isLikely(0.6) ? mood : 'sound',
      isOver: false,
      isUnboundedBegun: false,
    };
    this.#runs.add(run);
    this.#holder.began(this.id, request);
    // It was given at the moment of its writing, however long it lay in a socket.
    this.#records.push({
      at: request.at,
      what: 'run',
      runner: this.id,
      id: request.id,
      run: run.run,
    });
    const promptMs =
      this.#seeded.between(5, this.#settings.isPlain ? 30 : 150) * (mood === 'slow' ? 40 : 1);
    if (run.mood === 'breaks' && this.#seeded.isLikely(this.#settings.isPlain ? 0.9 : 0.3))
      this.#later(promptMs, () => this.#break(run));
    // Before its head or after some of its lines, a run may stand still for good.
    else if (run.mood === 'silent' && this.#seeded.isLikely(0.3)) this.#fault(run);
    else this.#later(promptMs, () => this.#head(run));
  }

  #head(run: SimRun): void {
    if (run.isOver) return;
    run.isUnboundedBegun = run.mood === 'unbounded';
    run.line.head(true, run.mood !== 'unbounded');
    if (this.#settings.isPlain) this.#last(run);
    else this.#line(run, 0);
  }

  #line(run: SimRun, index: number): void {
    if (run.isOver) return;
    const { id, tokens } = run.request;
    if (index >= tokens) {
      this.#last(run);
      return;
    }
    const line = `${JSON.stringify({ id, run: run.run, index })}\n`;
    if ((run.mood === 'breaks' || run.mood === 'unbounded') && this.#seeded.isLikely(0.2)) {
      run.line.text(line.slice(0, this.#seeded.below(line.length)));
      this.#break(run);
      return;
    }
    run.line.text(line);
    if (run.mood === 'silent' && this.#seeded.isLikely(0.3)) {
      this.#fault(run);
      return;
    }
    this.#later(this.#seeded.between(10, 80) * (run.mood === 'slow' ? 10 : 1), () =>
      this.#line(run, index + 1),
    );
  }

  #last(run: SimRun): void {
    const { id, tokens } = run.request;
    run.line.text(
      `${JSON.stringify({ id, run: run.run, end: this.#settings.isPlain ? 0 : tokens })}\n`,
    );
    run.line.tell('ended');
    this.#end(run);
  }

  /** Its own fault that this run does not come to its end. */
  #fault(run: SimRun): void {
    this.#records.push({
      at: this.#scheduler.now,
      what: 'fault',
      runner: this.id,
      id: run.request.id,
      run: run.run,
    });
  }

  #break(run: SimRun): void {
    if (run.isOver) return;
    this.#fault(run);
    run.line.tell(run.isUnboundedBegun ? 'ended' : 'broke');
    this.#end(run);
  }

  #end(run: SimRun): void {
    if (run.isOver) return;
    run.isOver = true;
    this.#runs.delete(run);
    this.#holder.ended(this.id, run.request);
  }
}

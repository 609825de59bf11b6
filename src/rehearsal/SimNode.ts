import type { Message } from '../common/Messages.js';
import { moment, type Moment } from '../common/Ids.js';
import type { Agenda } from './Scheduler.js';

/** One simulated process: can be killed, frozen and woken; has a clock of its own that shares nothing with others'. */
export abstract class SimNode {
  readonly id: string;
  readonly agenda: Agenda;
  #clockOffset: number;
  #clockRate: number;
  readonly #beatMs: number;
  #life = 0;
  #isUp = false;
  #isFrozen = false;
  #held: (() => void)[] = [];

  constructor(id: string, agenda: Agenda, clockOffset: number, beatMs: number) {
    this.id = id;
    this.agenda = agenda;
    this.#clockOffset = clockOffset;
    // Quartz differs by some dozen parts in a million; this is one in a hundred, either way.
    this.#clockRate = 1 + ((clockOffset % 1000) - 500) * 2e-5;
    this.#beatMs = beatMs;
  }

  /** Far apart from those of its other lives. */
  get life(): number {
    return this.#life * 1e6;
  }
  get isUp(): boolean {
    return this.#isUp;
  }
  get isFrozen(): boolean {
    return this.#isFrozen;
  }

  /** Its own monotonic clock, which goes on while it is frozen. */
  now(): Moment {
    return moment(this.agenda.now * this.#clockRate + this.#clockOffset);
  }

  /** From here on its clock goes faster or slower; it never jumps. */
  setRate(rate: number): void {
    const now = this.now();
    this.#clockRate = rate;
    this.#clockOffset = now - this.agenda.now * rate;
  }

  start(): void {
    if (this.#isUp) return;
    this.#isUp = true;
    this.#isFrozen = false;
    this.#life += 1;
    this.boot();
    this.#scheduleBeat();
  }

  kill(): void {
    this.#isUp = false;
    this.#isFrozen = false;
    this.#life += 1;
    this.#held = [];
    this.died();
  }

  freeze(): void {
    this.#isFrozen = true;
  }

  /** What came in meanwhile lay in its sockets, and is taken now, in order. */
  wake(): void {
    if (!this.#isFrozen) return;
    this.#isFrozen = false;
    const held = this.#held;
    this.#held = [];
    for (const run of held) run();
  }

  /** Runs now, or once it is awake again; never in another life. */
  perform(run: () => void): void {
    if (!this.#isUp) return;
    if (this.#isFrozen) this.#held.push(run);
    else run();
  }

  /** Runs in this life alone, after so long. */
  later(millis: number, run: () => void): void {
    const life = this.#life;
    const node = { isSame: this.#isLife.bind(this, life), perform: this.perform.bind(this) };
    function due(): void {
      if (node.isSame()) node.perform(run);
    }
    this.agenda.after(millis, due);
  }

  #isLife(life: number): boolean {
    return this.#life === life;
  }

  #scheduleBeat(): void {
    const life = this.#life;
    const node = {
      isSame: this.#isLife.bind(this, life),
      tick: this.#tick.bind(this),
      agenda: this.agenda,
      beatMs: this.#beatMs,
    };
    function due(): void {
      if (!node.isSame()) return;
      node.tick();
      node.agenda.after(node.beatMs, due);
    }
    this.agenda.after(this.#beatMs, due);
  }

  #tick(): void {
    if (!this.#isFrozen) this.beat();
  }

  protected abstract boot(): void;
  protected abstract died(): void;
  protected abstract beat(): void;
  abstract receive(from: string, message: Message): void;
  abstract gone(from: string): void;
}

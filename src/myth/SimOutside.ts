import type { Catalog, Hold, Intent, Machine, Machines, RunnerReport } from '../place/Shapes.js';
import type { Agenda } from './Agenda.js';

interface SimRunner {
  readonly id: string;
  readonly room: number;
  boot: number;
  bornAt: number;
  isUp: boolean;
  /** Answers nothing, but keeps what it holds. */
  isDark: boolean;
  holds: Map<string, Hold>;
  taken: Set<string>;
}

export interface SeenOrder { readonly at: number; readonly holder: string; readonly epoch: number; readonly runner: string; readonly intent: Intent }

/** The simulator's outside: the platform's list, the weight store and the runners, which watch the rules about orders. */
export class SimOutside {
  readonly catalog: Catalog;
  readonly orders: SeenOrder[] = [];
  readonly violations: string[] = [];
  readonly #agenda: Agenda;
  readonly #runners = new Map<string, SimRunner>();
  #machines: Machine[] = [];
  #revision = 1;
  #fetching = 0;
  mostFetching = 0;
  isPlatformUp = true;
  readonly #marks = new Map<string, number>();
  /** When a revision was first shown to any mind. */
  readonly shown = new Map<number, number>();

  constructor(agenda: Agenda, catalog: Catalog, runners: readonly { readonly id: string; readonly zone: string; readonly room: number }[]) {
    this.#agenda = agenda;
    this.catalog = catalog;
    for (const { id, zone, room } of runners) {
      this.#runners.set(id, { id, room, boot: 1, bornAt: 0, isUp: true, isDark: false, holds: new Map(), taken: new Set() });
      this.#machines.push({ id, address: id, zone, service: '', leaving: false });
    }
  }

  get revision(): number { return this.#revision; }
  get list(): readonly Machine[] { return this.#machines; }

  machines(_asker: string): Machines | undefined {
    if (!this.isPlatformUp) return undefined;
    if (!this.shown.has(this.#revision)) this.shown.set(this.#revision, this.#agenda.now);
    return { revision: this.#revision, machines: [...this.#machines] };
  }

  /** When any mind first learned of this runner's mark. */
  learned(id: string): number | undefined {
    const revision = this.#marks.get(id);
    if (revision === undefined) return undefined;
    // A later list shows it as well.
    for (const [shown, at] of this.shown) if (shown >= revision) return at;
    return undefined;
  }

  mark(id: string, isLeaving: boolean): void {
    const marked: Machine[] = [];
    for (const machine of this.#machines) marked.push(machine.id === id ? { ...machine, leaving: isLeaving } : machine);
    this.#machines = marked;
    this.#revision += 1;
    if (!isLeaving) this.#marks.delete(id);
    else if (!this.#marks.has(id)) this.#marks.set(id, this.#revision);
  }

  isAnswering(id: string): boolean {
    const runner = this.#runners.get(id);
    return runner !== undefined && runner.isUp && !runner.isDark;
  }

  report(id: string): RunnerReport | undefined {
    const runner = this.#runners.get(id);
    if (!runner || !this.isAnswering(id)) return undefined;
    return { id, boot: `b${runner.boot}`, room: runner.room, slots: 8, upMs: this.#agenda.now - runner.bornAt, holds: [...runner.holds.values()] };
  }

  restart(id: string): void {
    const runner = this.#runners.get(id);
    if (!runner) return;
    // Its fetches under way end with it.
    for (const hold of runner.holds.values()) if (hold.state === 'loading') this.#fetching -= 1;
    runner.boot += 1;
    runner.bornAt = this.#agenda.now;
    runner.holds = new Map();
    runner.taken = new Set();
    runner.isUp = true;
    runner.isDark = false;
  }

  down(id: string): void { this.restart(id); const runner = this.#runners.get(id); if (runner) runner.isUp = false; }

  setDark(id: string, isDark: boolean): void { const runner = this.#runners.get(id); if (runner) runner.isDark = isDark; }

  order(holder: string, epoch: number, intent: Intent): 'taken' | 'turnedAway' | 'unsure' {
    const runner = this.#runners.get(intent.runner);
    if (!runner || !this.isAnswering(intent.runner)) return 'unsure';
    const last = this.orders[this.orders.length - 1];
    if (last && last.holder !== holder && this.#agenda.now - last.at < 3000) {
      this.violations.push(`two-holders: ${last.holder} (${last.epoch}) and ${holder} (${epoch}) ordered ${Math.round(this.#agenda.now - last.at)} ms apart`);
    }
    this.orders.push({ at: this.#agenda.now, holder, epoch, runner: intent.runner, intent });
    if (intent.boot !== `b${runner.boot}`) return 'turnedAway';
    if (runner.taken.has(intent.id)) return 'taken';
    runner.taken.add(intent.id);
    const key = `${intent.model}\n${intent.adapter}`;
    if (intent.verb === 'unload') { runner.holds.delete(key); return 'taken'; }
    if (runner.holds.has(key)) return 'taken';
    let used = intent.size;
    for (const hold of runner.holds.values()) used += hold.size;
    if (used > runner.room) {
      this.violations.push(`over-room: ${holder} told ${intent.runner} to load ${intent.model} (${used} of ${runner.room})`);
      return 'turnedAway';
    }
    this.#fetching += 1;
    this.mostFetching = Math.max(this.mostFetching, this.#fetching);
    if (this.#fetching > this.catalog.limit) this.violations.push(`over-store: ${this.#fetching} fetches at once`);
    const hold: Hold = { model: intent.model, adapter: intent.adapter, size: intent.size, state: 'loading', running: 0 };
    runner.holds.set(key, hold);
    const boot = runner.boot;
    const end = this.#fetched.bind(this, runner, boot, key, hold);
    this.#agenda.after(300 + intent.size * 20, end);
    return 'taken';
  }

  #fetched(runner: SimRunner, boot: number, key: string, hold: Hold): void {
    if (runner.boot !== boot) return;
    this.#fetching -= 1;
    runner.holds.set(key, { ...hold, state: 'ready' });
  }
}

if (import.meta.vitest) {
  const { test, expect } = import.meta.vitest;
  const { storm } = await import('./Simulation.js');
  async function checkRunners(): Promise<void> { expect(await storm(4000, 50, ['restart-runner', 'dark-runner', 'mark-runner', 'platform-down', 'kill-mind', 'freeze-mind'])).toEqual([]); }
  test('no rule breaks when runners restart, go dark or leave while the holder changes', checkRunners, 600_000);
}

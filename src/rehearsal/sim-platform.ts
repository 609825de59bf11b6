import type { Machine, Machines } from '../placement/shapes.js';
import type { BackRecord } from './records.js';
import type { Scheduler } from './scheduler.js';

/** The simulated platform: its list of machines, which ones it marks as leaving, and when each was first told. */
export class SimPlatform {
  readonly #scheduler: Scheduler;
  readonly #records: BackRecord[];
  #machines: Machine[] = [];
  #revision = 1;
  readonly #marks = new Map<string, number>();
  isUp = true;
  /** What the platform tells instead of its list, for a while. */
  oddList: 'none' | 'empty' | 'old' = 'none';
  /** When a revision was first shown to any control node. */
  readonly shown = new Map<number, number>();

  constructor(scheduler: Scheduler, records: BackRecord[]) {
    this.#scheduler = scheduler;
    this.#records = records;
  }

  get revision(): number {
    return this.#revision;
  }
  get list(): readonly Machine[] {
    return this.#machines;
  }

  /** Adds a machine of the first list. */
  add(machine: Machine): void {
    this.#machines.push(machine);
  }

  /** Puts another machine on the list in the place of one. */
  replace(id: string, fresh: string): void {
    const machine = this.#machines.find((machine) => machine.id === id);
    if (!machine) return;
    this.#machines = [
      ...this.#machines.filter((machine) => machine.id !== id),
      { ...machine, id: fresh, address: fresh, leaving: false },
    ];
    this.#revision += 1;
  }

  /** The list as a control node is told it; nothing while the platform is away. */
  machines(): Machines | undefined {
    if (!this.isUp) return undefined;
    if (this.oddList === 'empty') return { revision: this.#revision + 1, machines: [] };
    if (this.oddList === 'old') return { revision: Math.max(0, this.#revision - 1), machines: [] };
    if (!this.shown.has(this.#revision)) {
      this.shown.set(this.#revision, this.#scheduler.now);
      this.#records.push({ at: this.#scheduler.now, what: 'shown', revision: this.#revision });
    }
    return { revision: this.#revision, machines: [...this.#machines] };
  }

  /** When any control node first learned of this runner's mark. */
  learned(id: string): number | undefined {
    const revision = this.#marks.get(id);
    if (revision === undefined) return undefined;
    // A later list shows it as well.
    for (const [shown, at] of this.shown) if (shown >= revision) return at;
    return undefined;
  }

  mark(id: string, isLeaving: boolean): void {
    this.#machines = this.#machines.map((machine) => marked(id, isLeaving, machine));
    this.#revision += 1;
    this.#records.push({
      at: this.#scheduler.now,
      what: 'mark',
      id,
      leaving: isLeaving,
      revision: this.#revision,
    });
    if (!isLeaving) this.#marks.delete(id);
    else if (!this.#marks.has(id)) this.#marks.set(id, this.#revision);
  }
}
function marked(id: string, isLeaving: boolean, machine: Machine): Machine {
  return machine.id === id ? { ...machine, leaving: isLeaving } : machine;
}

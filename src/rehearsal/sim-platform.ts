import type { Machine, Machines } from '../placement/shapes.js';
import type { BackRecord } from './records.js';
import type { Scheduler } from './scheduler.js';

/** The simulated platform: its list of machines with their leaving marks, and when each revision was first read. */
export class SimPlatform {
  readonly #scheduler: Scheduler;
  readonly #records: BackRecord[];
  #machines: Machine[] = [];
  #revision = 1;
  readonly #markRevisions = new Map<string, number>();
  /** Whether the platform responds. */
  isUp = true;
  /** A wrong response in place of the list: empty with a newer revision, or empty with an older one. */
  oddList: 'none' | 'empty' | 'old' = 'none';
  /** When a control node first read each revision, virtual ms. */
  readonly shown = new Map<number, number>();

  constructor(scheduler: Scheduler, records: BackRecord[]) {
    this.#scheduler = scheduler;
    this.#records = records;
  }

  /** The revision of the list, which grows with every change. */
  get revision(): number {
    return this.#revision;
  }
  /** The current machines. */
  get list(): readonly Machine[] {
    return this.#machines;
  }

  /** Adds a machine to the initial list, without a new revision. */
  add(machine: Machine): void {
    this.#machines.push(machine);
  }

  /** Replaces a machine on the list by a new one with the id `fresh`. */
  replace(id: string, fresh: string): void {
    const machine = this.#machines.find((machine) => machine.id === id);
    if (!machine) return;
    this.#machines = [
      ...this.#machines.filter((machine) => machine.id !== id),
      { ...machine, id: fresh, address: fresh, leaving: false },
    ];
    this.#revision += 1;
  }

  /** The list as a control node reads it; undefined while the platform is down. */
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

  /** When any control node first read a list with this runner's leaving mark; undefined if none has. */
  learned(id: string): number | undefined {
    const revision = this.#markRevisions.get(id);
    if (revision === undefined) return undefined;
    // A later revision contains the mark as well.
    for (const [shown, at] of this.shown) if (shown >= revision) return at;
    return undefined;
  }

  /** Sets or removes a machine's leaving mark. */
  mark(id: string, isLeaving: boolean): void {
    this.#machines = this.#machines.map((machine) => withMark(id, isLeaving, machine));
    this.#revision += 1;
    this.#records.push({
      at: this.#scheduler.now,
      what: 'mark',
      id,
      leaving: isLeaving,
      revision: this.#revision,
    });
    if (!isLeaving) this.#markRevisions.delete(id);
    else if (!this.#markRevisions.has(id)) this.#markRevisions.set(id, this.#revision);
  }
}
function withMark(id: string, isLeaving: boolean, machine: Machine): Machine {
  return machine.id === id ? { ...machine, leaving: isLeaving } : machine;
}

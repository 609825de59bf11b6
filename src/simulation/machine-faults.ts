import type { ControlNode } from './control-node.js';
import { CATCH_UP_MS } from './contract-bounds.js';
import type { Fault } from './faults.js';
import type { Fleet } from './fleet.js';
import type { LossBudget } from './loss-budget.js';
import type { RunEvents } from './run-events.js';
import type { Settled } from './settled.js';
import type { UnsyncedFate } from './sim-disk.js';

/** Takes a fault back; called once, at its end or when all trouble ends. */
export type Undo = () => void;

export interface FaultSurroundings {
  readonly fleet: Fleet;
  readonly budget: LossBudget;
  readonly settled: Settled;
  readonly events: RunEvents;
  readonly after: (millis: number, run: () => void) => void;
  readonly now: () => number;
}

type Replace = Extract<Fault, { kind: 'replace' }>;
type Wipe = Extract<Fault, { kind: 'wipe' }>;

/** After most of the core was lost it takes twice as long to be in touch. */
const MOST_LOST = 2;
/** So long after it was replaced the old machine comes back. */
const OLD_RETURNS_MS = 5000;

/** Faults of whole machines and their processes: ends, freezes, losses for good and replacements. */
export class MachineFaults {
  readonly #around: FaultSurroundings;
  /** How many faults hold a machine down, or its process frozen. */
  readonly #down = new Map<string, number>();
  readonly #frozen = new Map<string, number>();

  constructor(around: FaultSurroundings) {
    this.#around = around;
  }

  kill(node: ControlNode): Undo {
    this.#lose(node);
    node.kill();
    return () => this.#restart(node);
  }

  losePower(node: ControlNode, unsynced: UnsyncedFate): Undo {
    this.#lose(node);
    node.losePower(unsynced);
    return () => this.#restart(node);
  }

  freeze(node: ControlNode): Undo {
    const { budget, settled, events } = this.#around;
    budget.begin(node.id);
    this.#frozen.set(node.id, (this.#frozen.get(node.id) ?? 0) + 1);
    node.process.freeze();
    settled.disturb();
    events.tell('freeze', node.id);
    return () => this.#thaw(node);
  }

  /** Frozen at its next order, if it gives one in that time. */
  freezeAtOrder(node: ControlNode): Undo {
    const { budget } = this.#around;
    let undo: Undo | undefined;
    const freeze = () => this.freeze(node);
    function strike(): void {
      undo = freeze();
    }
    // It counts from now on: when the order comes is not known.
    budget.begin(node.id);
    node.freezeAtOrder = strike;
    function takeBack(): void {
      if (node.freezeAtOrder === strike) node.freezeAtOrder = undefined;
      undo?.();
      budget.end(node.id);
    }
    return takeBack;
  }

  /** A planned stop; it is started again once the fault ends, or once it has ended if that is later. */
  restart(node: ControlNode): Undo {
    const { budget, settled } = this.#around;
    budget.begin(node.id);
    settled.disturb();
    this.#hold(node);
    let hasEnded = !node.process.isUp;
    let isDue = false;
    const start = () => this.#restart(node);
    function due(): void {
      isDue = true;
      if (hasEnded) start();
    }
    if (!hasEnded)
      node.stop(() => {
        hasEnded = true;
        if (isDue) start();
      });
    return due;
  }

  /** Leaves for good, with no successor. */
  leave(node: ControlNode, isPlanned: boolean): void {
    const { budget, after, settled } = this.#around;
    budget.begin(node.id);
    budget.loseDisk(node.id, true);
    budget.leave();
    settled.disturb();
    if (isPlanned && node.process.isUp) node.stop(() => this.#remove(node));
    else this.#remove(node);
    after(budget.leftMs, () => budget.forgetLeft(node.id));
  }

  /** An empty machine at another address takes its place. */
  replace(node: ControlNode, fault: Replace): Undo {
    const { budget, settled } = this.#around;
    budget.begin(node.id);
    budget.loseDisk(node.id, true);
    settled.disturb();
    if (!fault.planned) this.#remove(node);
    else this.#arrive();
    const goOn = fault.planned ? () => this.#retire(node) : () => this.#succeed(node);
    const old = fault.oldReturns ? () => this.#returnLater(node) : undefined;
    function next(): void {
      goOn();
      old?.();
    }
    return next;
  }

  wipe(node: ControlNode, fault: Wipe): Undo {
    const { budget, fleet } = this.#around;
    const undos = [this.losePower(node, 'drawn')];
    node.disk.wipe();
    budget.loseDisk(node.id, false);
    if (fault.othersLosePower) {
      for (const other of fleet.present) {
        if (other !== node) undos.push(this.losePower(other, 'drawn'));
      }
    }
    return fault.othersLosePower ? this.#whileMostAreLost(undos) : () => undoAll(undos);
  }

  oldDisk(node: ControlNode, ageMs: number): Undo {
    const undo = this.losePower(node, 'drawn');
    node.disk.restore(this.#around.now() - ageMs);
    this.#around.budget.loseDisk(node.id, false);
    return undo;
  }

  killAll(): Undo {
    const undos: Undo[] = [];
    for (const node of this.#around.fleet.present) undos.push(this.kill(node));
    return this.#whileMostAreLost(undos);
  }

  losePowerAll(unsynced: UnsyncedFate): Undo {
    const undos: Undo[] = [];
    for (const node of this.#around.fleet.present) undos.push(this.losePower(node, unsynced));
    return this.#whileMostAreLost(undos);
  }

  /** Less than half of the core runs meanwhile: nothing is settled. */
  #whileMostAreLost(undos: readonly Undo[]): Undo {
    this.#around.settled.beginUnsteady();
    return () => this.#undoMost(undos);
  }

  #undoMost(undos: readonly Undo[]): void {
    undoAll(undos);
    this.#around.settled.endUnsteady();
    this.#around.settled.disturb(MOST_LOST);
  }

  #hold(node: ControlNode): void {
    this.#down.set(node.id, (this.#down.get(node.id) ?? 0) + 1);
  }

  #lose(node: ControlNode): void {
    this.#around.budget.begin(node.id);
    this.#around.settled.disturb();
    this.#hold(node);
  }

  #restart(node: ControlNode): void {
    const { budget, fleet, settled, events } = this.#around;
    budget.end(node.id);
    const holds = (this.#down.get(node.id) ?? 1) - 1;
    this.#down.set(node.id, holds);
    // Another fault still keeps it down, or it left meanwhile.
    if (holds > 0 || fleet.isGone(node.id)) return;
    settled.disturb();
    node.start(false, fleet.seeds);
    events.tell('restart', node.id);
  }

  #thaw(node: ControlNode): void {
    const { budget, settled } = this.#around;
    budget.end(node.id);
    const holds = (this.#frozen.get(node.id) ?? 1) - 1;
    this.#frozen.set(node.id, holds);
    if (holds > 0) return;
    node.process.thaw();
    settled.disturb();
  }

  #remove(node: ControlNode): void {
    this.#around.fleet.remove(node.id);
    node.losePower('drawn');
    this.#around.settled.disturb();
  }

  #arrive(): void {
    const { fleet, settled, events } = this.#around;
    const spare = fleet.addSpare();
    settled.disturb();
    events.tell('restart', spare.id);
  }

  /** Comes after a loss; the lost one counts until its successor has had time to catch up. */
  #succeed(node: ControlNode): void {
    const { budget, after } = this.#around;
    this.#arrive();
    after(CATCH_UP_MS, () => budget.release(node.id));
  }

  /** Its successor is there; it is told to stop, and counts for as long as one that has just come. */
  #retire(node: ControlNode): void {
    const { budget, after, settled } = this.#around;
    settled.disturb();
    if (node.process.isUp) node.stop(() => this.#remove(node));
    else this.#remove(node);
    after(CATCH_UP_MS, () => budget.release(node.id));
  }

  #returnLater(node: ControlNode): void {
    this.#around.after(OLD_RETURNS_MS, () => this.#reply(node));
  }

  #reply(node: ControlNode): void {
    const { fleet, settled } = this.#around;
    if (!fleet.isGone(node.id)) return;
    fleet.bringBack(node.id);
    settled.disturb();
    node.start(false, fleet.seeds);
  }
}

function undoAll(undos: readonly Undo[]): void {
  for (const undo of undos) undo();
}

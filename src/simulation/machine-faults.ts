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

export interface FaultContext {
  readonly fleet: Fleet;
  readonly budget: LossBudget;
  readonly settled: Settled;
  readonly events: RunEvents;
  readonly after: (millis: number, run: () => void) => void;
  readonly now: () => number;
}

type ReplaceFault = Extract<Fault, { kind: 'replace' }>;
type WipeFault = Extract<Fault, { kind: 'wipe' }>;

/** After most of the core was lost it takes twice as long to be in touch. */
const MAJORITY_LOSS_FACTOR = 2;
/** So long after it was replaced the old machine comes back. */
const OLD_RETURN_DELAY_MS = 5000;

/** Faults of whole machines and their processes: ends, freezes, losses for good and replacements. */
export class MachineFaults {
  readonly #context: FaultContext;
  /** How many faults hold a machine down, or its process frozen. */
  readonly #downFaults = new Map<string, number>();
  readonly #freezeFaults = new Map<string, number>();

  constructor(around: FaultContext) {
    this.#context = around;
  }

  kill(node: ControlNode): Undo {
    this.#beginLoss(node);
    node.kill();
    return () => this.#endLoss(node);
  }

  losePower(node: ControlNode, unsynced: UnsyncedFate): Undo {
    this.#beginLoss(node);
    node.losePower(unsynced);
    return () => this.#endLoss(node);
  }

  freeze(node: ControlNode): Undo {
    const { budget, settled, events } = this.#context;
    budget.begin(node.id);
    this.#freezeFaults.set(node.id, (this.#freezeFaults.get(node.id) ?? 0) + 1);
    node.process.freeze();
    settled.disturb();
    events.emit('freeze', node.id);
    return () => this.#thaw(node);
  }

  /** Frozen at its next order, if it gives one in that time. */
  freezeAtOrder(node: ControlNode): Undo {
    const { budget } = this.#context;
    let undo: Undo | undefined;
    const freeze = () => this.freeze(node);
    function freezeNow(): void {
      undo = freeze();
    }
    // It counts from now on: when the order comes is not known.
    budget.begin(node.id);
    node.freezeAtOrder = freezeNow;
    function undoFault(): void {
      if (node.freezeAtOrder === freezeNow) node.freezeAtOrder = undefined;
      undo?.();
      budget.end(node.id);
    }
    return undoFault;
  }

  /** A planned stop; it is started again once the fault ends, or once it has ended if that is later. */
  restart(node: ControlNode): Undo {
    const { budget, settled } = this.#context;
    budget.begin(node.id);
    settled.disturb();
    this.#countDown(node);
    let hasEnded = !node.process.isUp;
    let isDue = false;
    const endLoss = () => this.#endLoss(node);
    function onDue(): void {
      isDue = true;
      if (hasEnded) endLoss();
    }
    if (!hasEnded)
      node.stop(() => {
        hasEnded = true;
        if (isDue) endLoss();
      });
    return onDue;
  }

  /** Leaves for good, with no successor. */
  leave(node: ControlNode, isPlanned: boolean): void {
    const { budget, after, settled } = this.#context;
    budget.begin(node.id);
    budget.loseDisk(node.id, true);
    budget.leave();
    settled.disturb();
    if (isPlanned && node.process.isUp) node.stop(() => this.#removeMachine(node));
    else this.#removeMachine(node);
    after(budget.departedLossMs, () => budget.forgetDeparted(node.id));
  }

  /** An empty machine at another address takes its place. */
  replace(node: ControlNode, fault: ReplaceFault): Undo {
    const { budget, settled } = this.#context;
    budget.begin(node.id);
    budget.loseDisk(node.id, true);
    settled.disturb();
    if (!fault.planned) this.#removeMachine(node);
    else this.#addReplacement();
    const complete = fault.planned
      ? () => this.#retireReplaced(node)
      : () => this.#replaceLost(node);
    const returnOld = fault.oldReturns ? () => this.#returnLater(node) : undefined;
    function end(): void {
      complete();
      returnOld?.();
    }
    return end;
  }

  wipe(node: ControlNode, fault: WipeFault): Undo {
    const { budget, fleet } = this.#context;
    const undos = [this.losePower(node, 'drawn')];
    node.disk.wipe();
    budget.loseDisk(node.id, false);
    if (fault.othersLosePower) {
      for (const other of fleet.present) {
        if (other !== node) undos.push(this.losePower(other, 'drawn'));
      }
    }
    return fault.othersLosePower ? this.#whileMajorityIsLost(undos) : () => undoAll(undos);
  }

  restoreOldDisk(node: ControlNode, ageMs: number): Undo {
    const undo = this.losePower(node, 'drawn');
    node.disk.restore(this.#context.now() - ageMs);
    this.#context.budget.loseDisk(node.id, false);
    return undo;
  }

  killAll(): Undo {
    const undos: Undo[] = [];
    for (const node of this.#context.fleet.present) undos.push(this.kill(node));
    return this.#whileMajorityIsLost(undos);
  }

  losePowerAll(unsynced: UnsyncedFate): Undo {
    const undos: Undo[] = [];
    for (const node of this.#context.fleet.present) undos.push(this.losePower(node, unsynced));
    return this.#whileMajorityIsLost(undos);
  }

  /** Less than half of the core runs meanwhile: nothing is settled. */
  #whileMajorityIsLost(undos: readonly Undo[]): Undo {
    this.#context.settled.beginUnsteady();
    return () => this.#undoMajorityLoss(undos);
  }

  #undoMajorityLoss(undos: readonly Undo[]): void {
    undoAll(undos);
    this.#context.settled.endUnsteady();
    this.#context.settled.disturb(MAJORITY_LOSS_FACTOR);
  }

  #countDown(node: ControlNode): void {
    this.#downFaults.set(node.id, (this.#downFaults.get(node.id) ?? 0) + 1);
  }

  #beginLoss(node: ControlNode): void {
    this.#context.budget.begin(node.id);
    this.#context.settled.disturb();
    this.#countDown(node);
  }

  #endLoss(node: ControlNode): void {
    const { budget, fleet, settled, events } = this.#context;
    budget.end(node.id);
    const remaining = (this.#downFaults.get(node.id) ?? 1) - 1;
    this.#downFaults.set(node.id, remaining);
    // Another fault still keeps it down, or it left meanwhile.
    if (remaining > 0 || fleet.hasLeft(node.id)) return;
    settled.disturb();
    node.start(false, fleet.seeds);
    events.emit('restart', node.id);
  }

  #thaw(node: ControlNode): void {
    const { budget, settled } = this.#context;
    budget.end(node.id);
    const remaining = (this.#freezeFaults.get(node.id) ?? 1) - 1;
    this.#freezeFaults.set(node.id, remaining);
    if (remaining > 0) return;
    node.process.thaw();
    settled.disturb();
  }

  #removeMachine(node: ControlNode): void {
    this.#context.fleet.remove(node.id);
    node.losePower('drawn');
    this.#context.settled.disturb();
  }

  #addReplacement(): void {
    const { fleet, settled, events } = this.#context;
    const spare = fleet.addSpare();
    settled.disturb();
    events.emit('restart', spare.id);
  }

  /** Comes after a loss; the lost one counts until its successor has had time to catch up. */
  #replaceLost(node: ControlNode): void {
    const { budget, after } = this.#context;
    this.#addReplacement();
    after(CATCH_UP_MS, () => budget.release(node.id));
  }

  /** Its successor is there; it is told to stop, and counts for as long as one that has just come. */
  #retireReplaced(node: ControlNode): void {
    const { budget, after, settled } = this.#context;
    settled.disturb();
    if (node.process.isUp) node.stop(() => this.#removeMachine(node));
    else this.#removeMachine(node);
    after(CATCH_UP_MS, () => budget.release(node.id));
  }

  #returnLater(node: ControlNode): void {
    this.#context.after(OLD_RETURN_DELAY_MS, () => this.#returnOld(node));
  }

  #returnOld(node: ControlNode): void {
    const { fleet, settled } = this.#context;
    if (!fleet.hasLeft(node.id)) return;
    fleet.bringBack(node.id);
    settled.disturb();
    node.start(false, fleet.seeds);
  }
}

function undoAll(undos: readonly Undo[]): void {
  for (const undo of undos) undo();
}

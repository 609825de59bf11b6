import type { ControlNode } from './control-node.js';
import { CATCH_UP_MS } from './contract-bounds.js';
import type { Fault } from './faults.js';
import type { Fleet } from './fleet.js';
import type { LossBudget } from './loss-budget.js';
import type { RunEvents } from './run-events.js';
import type { Settled } from './settled.js';
import type { UnsyncedFate } from './sim-disk.js';

/** Undoes a fault; called once, at its end or when all faults end. */
export type Undo = () => void;

/** What faults act on. */
export interface FaultContext {
  /** The machines of the run. */
  readonly fleet: Fleet;
  /** Counts the lost machines. */
  readonly budget: LossBudget;
  /** Tracks whether the core is settled. */
  readonly settled: Settled;
  /** Receives the events of faults. */
  readonly events: RunEvents;
  /** Calls a function after a time in milliseconds of true time. */
  readonly after: (millis: number, run: () => void) => void;
  /** True time. */
  readonly now: () => number;
}

type ReplaceFault = Extract<Fault, { kind: 'replace' }>;
type WipeFault = Extract<Fault, { kind: 'wipe' }>;

/** After the loss of most of the core, it takes twice as long to settle. */
const MAJORITY_LOSS_FACTOR = 2;
/** The old machine returns this long after it was replaced. */
const OLD_RETURN_DELAY_MS = 5000;

/** Faults of whole machines and their processes: kills, power losses, freezes, departures and replacements. */
export class MachineFaults {
  readonly #context: FaultContext;
  /** Number of active faults by machine that keep it down, or its process frozen. */
  readonly #downFaults = new Map<string, number>();
  readonly #freezeFaults = new Map<string, number>();

  constructor(context: FaultContext) {
    this.#context = context;
  }

  /** Kills the process; undone by a start. */
  kill(node: ControlNode): Undo {
    this.#beginLoss(node);
    node.kill();
    return () => this.#endLoss(node);
  }

  /** Cuts the power of the machine; undone by a start. */
  losePower(node: ControlNode, unsynced: UnsyncedFate): Undo {
    this.#beginLoss(node);
    node.losePower(unsynced);
    return () => this.#endLoss(node);
  }

  /** Freezes the process; undone by a thaw. */
  freeze(node: ControlNode): Undo {
    const { budget, settled, events } = this.#context;
    budget.begin(node.id);
    this.#freezeFaults.set(node.id, (this.#freezeFaults.get(node.id) ?? 0) + 1);
    node.process.freeze();
    settled.disturb();
    events.emit('freeze', node.id);
    return () => this.#thaw(node);
  }

  /** Freezes the process at its next order, if it sends one before the fault ends. */
  freezeAtOrder(node: ControlNode): Undo {
    const { budget } = this.#context;
    let undo: Undo | undefined;
    const freeze = () => this.freeze(node);
    function freezeNow(): void {
      undo = freeze();
    }
    // The node counts as lost from now on: it is not known when the order will be sent.
    budget.begin(node.id);
    node.freezeAtOrder = freezeNow;
    function undoFault(): void {
      if (node.freezeAtOrder === freezeNow) node.freezeAtOrder = undefined;
      undo?.();
      budget.end(node.id);
    }
    return undoFault;
  }

  /** Stops the process as planned; it is started again once the fault has ended and the process has exited. */
  restart(node: ControlNode): Undo {
    const { budget, settled } = this.#context;
    budget.begin(node.id);
    settled.disturb();
    this.#addDownFault(node);
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

  /** Removes a machine permanently, without a replacement. */
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

  /** Replaces a machine by an empty one at another address. */
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

  /** Cuts the power of the machine and empties its disk; on request all others lose power too. */
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

  /** Cuts the power of the machine and puts its disk back to an older state. */
  restoreOldDisk(node: ControlNode, ageMs: number): Undo {
    const undo = this.losePower(node, 'drawn');
    node.disk.restore(this.#context.now() - ageMs);
    this.#context.budget.loseDisk(node.id, false);
    return undo;
  }

  /** Kills the processes of all control nodes. */
  killAll(): Undo {
    const undos: Undo[] = [];
    for (const node of this.#context.fleet.present) undos.push(this.kill(node));
    return this.#whileMajorityIsLost(undos);
  }

  /** Cuts the power of all control nodes. */
  losePowerAll(unsynced: UnsyncedFate): Undo {
    const undos: Undo[] = [];
    for (const node of this.#context.fleet.present) undos.push(this.losePower(node, unsynced));
    return this.#whileMajorityIsLost(undos);
  }

  /** Marks the core as unsettled until the faults are undone: less than half of it runs. */
  #whileMajorityIsLost(undos: readonly Undo[]): Undo {
    this.#context.settled.beginUnsteady();
    return () => this.#undoMajorityLoss(undos);
  }

  #undoMajorityLoss(undos: readonly Undo[]): void {
    undoAll(undos);
    this.#context.settled.endUnsteady();
    this.#context.settled.disturb(MAJORITY_LOSS_FACTOR);
  }

  #addDownFault(node: ControlNode): void {
    this.#downFaults.set(node.id, (this.#downFaults.get(node.id) ?? 0) + 1);
  }

  #beginLoss(node: ControlNode): void {
    this.#context.budget.begin(node.id);
    this.#context.settled.disturb();
    this.#addDownFault(node);
  }

  #endLoss(node: ControlNode): void {
    const { budget, fleet, settled, events } = this.#context;
    budget.end(node.id);
    const remaining = (this.#downFaults.get(node.id) ?? 1) - 1;
    this.#downFaults.set(node.id, remaining);
    // Another fault still keeps the node down, or the node has left meanwhile.
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

  /** Adds a machine after a loss; the lost machine counts until its replacement has had time to catch up. */
  #replaceLost(node: ControlNode): void {
    const { budget, after } = this.#context;
    this.#addReplacement();
    after(CATCH_UP_MS, () => budget.release(node.id));
  }

  /** Stops a machine whose replacement is present; it counts as lost until the time to catch up has passed. */
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

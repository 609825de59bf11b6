import { allPartitions, VOTE_RECORD } from '../state/partition-names.js';
import type { SimControl } from './sim-control.js';
import {
  idOf,
  type SimulatedFleet,
  type FaultActions,
  type FaultTargets,
} from './simulated-fleet.js';

/** The kinds of faults of control nodes. */
export const CONTROL_FAULTS = [
  'kill-mind',
  'kill-core',
  'retire-mind',
  'freeze-mind',
  'freeze-ordering',
  'wipe-mind',
  'rot-file',
  'stall-disk',
  'slow-disk',
  'cut-minds',
  'cut-one-way',
  'isolate-mind',
  'isolate-core',
] as const;
type ControlFaultKind = (typeof CONTROL_FAULTS)[number];

/** Upper bounds of the random duration of a disk write, ms. */
const SLOW_DISK_MS = 400;
const NORMAL_DISK_MS = 3;
/** From the start of a planned stop to the end of the process, ms. */
const RETIRE_MS = 60;

/** Injects faults of control nodes: crashes, freezes, disk faults and network partitions. */
export class ControlFaults {
  readonly #stage: SimulatedFleet;
  readonly #actions: FaultActions;

  constructor(stage: SimulatedFleet, hands: FaultActions) {
    this.#stage = stage;
    this.#actions = hands;
  }

  /** Injects one fault of a kind. */
  inject(kind: ControlFaultKind, strike: FaultTargets): void {
    const { controlNode, otherControlNode, spanMs } = strike;
    const { scheduler, agents, controlNodes } = this.#stage;
    switch (kind) {
      case 'kill-mind':
        this.#actions.restart(controlNode, spanMs);
        break;
      case 'kill-core':
        this.#killAll(spanMs);
        break;
      case 'retire-mind':
        controlNode.retire();
        scheduler.after(RETIRE_MS, () => this.#actions.kill(controlNode));
        scheduler.after(RETIRE_MS + spanMs, () => controlNode.start());
        break;
      case 'freeze-mind':
        controlNode.freeze();
        scheduler.after(spanMs, () => controlNode.resume());
        break;
      case 'freeze-ordering':
        this.#freezeAtNextOrder();
        break;
      case 'wipe-mind':
      case 'rot-file':
        this.#damageDisk(controlNode, kind, spanMs);
        break;
      case 'stall-disk':
        controlNode.isDiskStalled = true;
        scheduler.after(spanMs, () => controlNode.resumeDisk());
        break;
      case 'slow-disk':
        controlNode.maxDiskDelayMs = SLOW_DISK_MS;
        scheduler.after(spanMs, () => restoreDiskSpeed(controlNode));
        break;
      case 'cut-minds':
      case 'cut-one-way':
        this.#actions.cut([controlNode.id], [otherControlNode.id], kind === 'cut-minds', spanMs);
        break;
      case 'isolate-mind':
        this.#actions.cut([controlNode.id], this.#actions.allBut(controlNode.id), true, spanMs);
        break;
      case 'isolate-core':
        this.#actions.cut(controlNodes.map(idOf), agents.map(idOf), true, spanMs);
        break;
    }
  }

  /** Ends all freezes before orders, and disk stalls and delays. */
  healAll(): void {
    for (const controlNode of this.#stage.controlNodes) {
      controlNode.freezeAtOrderMs = 0;
      controlNode.resumeDisk();
      restoreDiskSpeed(controlNode);
    }
  }

  #killAll(spanMs: number): void {
    const { scheduler, seeded, controlNodes } = this.#stage;
    for (const each of controlNodes) {
      this.#actions.kill(each);
      scheduler.after(spanMs * seeded.next(), () => each.start());
    }
  }

  /** Freezes each control node at its next order, in most cases long enough for a successor to issue orders. */
  #freezeAtNextOrder(): void {
    for (const each of this.#stage.controlNodes)
      each.freezeAtOrderMs = this.#stage.seeded.between(300, 12_000);
  }

  /** Erases or corrupts a disk, but only while every replica is intact, so that one disk is lost at a time. */
  #damageDisk(controlNode: SimControl, kind: 'wipe-mind' | 'rot-file', spanMs: number): void {
    if (!this.#stage.controlNodes.every(isIntact)) return;
    this.#actions.kill(controlNode);
    if (kind === 'wipe-mind') controlNode.eraseDisk();
    else
      controlNode.corruptDisk(
        this.#stage.seeded.pick([VOTE_RECORD, ...allPartitions()]) ?? VOTE_RECORD,
      );
    this.#stage.scheduler.after(spanMs, () => controlNode.start());
  }
}

function isIntact({ isUp, core }: SimControl): boolean {
  return (
    isUp && core?.replicaStatus.name === 'sound' && core.state.corruptPartitions().length === 0
  );
}

function restoreDiskSpeed(controlNode: SimControl): void {
  controlNode.maxDiskDelayMs = NORMAL_DISK_MS;
}

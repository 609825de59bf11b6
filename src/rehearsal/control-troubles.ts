import { allPartitions, VOTE_RECORD } from '../state/partition-names.js';
import type { SimControl } from './sim-control.js';
import {
  idOf,
  type SimulatedFleet,
  type FaultActions,
  type FaultTargets,
} from './simulated-fleet.js';

/** Kinds of troubles of control nodes. */
export const CONTROL_TROUBLES = [
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
type ControlTroubleKind = (typeof CONTROL_TROUBLES)[number];

const SLOW_DISK_MS = 400;
const USUAL_DISK_MS = 3;
/** From a planned stop to its end, ms. */
const RETIRE_MS = 60;

/** Troubles of control nodes: deaths, freezes, disks and cuts. */
export class ControlTroubles {
  readonly #stage: SimulatedFleet;
  readonly #hands: FaultActions;

  constructor(stage: SimulatedFleet, hands: FaultActions) {
    this.#stage = stage;
    this.#hands = hands;
  }

  bringAbout(kind: ControlTroubleKind, strike: FaultTargets): void {
    const { controlNode, otherControlNode, spanMs } = strike;
    const { scheduler, agents, controlNodes } = this.#stage;
    switch (kind) {
      case 'kill-mind':
        this.#hands.restart(controlNode, spanMs);
        break;
      case 'kill-core':
        this.#killAll(spanMs);
        break;
      case 'retire-mind':
        controlNode.retire();
        scheduler.after(RETIRE_MS, () => this.#hands.kill(controlNode));
        scheduler.after(RETIRE_MS + spanMs, () => controlNode.start());
        break;
      case 'freeze-mind':
        controlNode.freeze();
        scheduler.after(spanMs, () => controlNode.wake());
        break;
      case 'freeze-ordering':
        this.#freezeOrdering();
        break;
      case 'wipe-mind':
      case 'rot-file':
        this.#spoilDisk(controlNode, kind, spanMs);
        break;
      case 'stall-disk':
        controlNode.isDiskStalled = true;
        scheduler.after(spanMs, () => controlNode.unstall());
        break;
      case 'slow-disk':
        controlNode.diskMs = SLOW_DISK_MS;
        scheduler.after(spanMs, () => quicken(controlNode));
        break;
      case 'cut-minds':
      case 'cut-one-way':
        this.#hands.cut([controlNode.id], [otherControlNode.id], kind === 'cut-minds', spanMs);
        break;
      case 'isolate-mind':
        this.#hands.cut([controlNode.id], this.#hands.allBut(controlNode.id), true, spanMs);
        break;
      case 'isolate-core':
        this.#hands.cut(controlNodes.map(idOf), agents.map(idOf), true, spanMs);
        break;
    }
  }

  healAll(): void {
    for (const controlNode of this.#stage.controlNodes) {
      controlNode.freezeAtOrderMs = 0;
      controlNode.unstall();
      quicken(controlNode);
    }
  }

  #killAll(spanMs: number): void {
    const { scheduler, seeded, controlNodes } = this.#stage;
    for (const each of controlNodes) {
      this.#hands.kill(each);
      scheduler.after(spanMs * seeded.next(), () => each.start());
    }
  }

  /** Long enough for a successor to order, and sometimes not. */
  #freezeOrdering(): void {
    for (const each of this.#stage.controlNodes)
      each.freezeAtOrderMs = this.#stage.seeded.between(300, 12_000);
  }

  /** One disk is lost at a time: the next only once every node counts again. */
  #spoilDisk(controlNode: SimControl, kind: 'wipe-mind' | 'rot-file', spanMs: number): void {
    if (!this.#stage.controlNodes.every(isWhole)) return;
    this.#hands.kill(controlNode);
    if (kind === 'wipe-mind') controlNode.wipe();
    else controlNode.rot(this.#stage.seeded.pick([VOTE_RECORD, ...allPartitions()]) ?? VOTE_RECORD);
    this.#stage.scheduler.after(spanMs, () => controlNode.start());
  }
}

function isWhole({ isUp, core }: SimControl): boolean {
  return (
    isUp && core?.replicaStatus.name === 'sound' && core.state.corruptPartitions().length === 0
  );
}

function quicken(controlNode: SimControl): void {
  controlNode.diskMs = USUAL_DISK_MS;
}

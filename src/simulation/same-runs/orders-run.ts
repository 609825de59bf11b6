import { SeededRandom } from '../../rehearsal/seeded-random.js';
import type { SimControl } from '../../rehearsal/sim-control.js';
import { Simulation } from '../../rehearsal/simulation.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

const PROXIES = 2;
const START_MS = 14_000;
const ORDERS = 60;
const LAST_ORDERS = 10;
const MAX_PAUSE_MS = 400;
/** Enough time for the repair of a new node, and for a change of the voters. */
const REPAIR_MS = 5000;
const VOTER_CHANGE_MS = 8000;
const DISK_LOSS_MS = 10_000;
const RECOVERY_MS = 15_000;
const SEEDS: readonly string[] = ['mind-0:1', 'mind-1:1', 'mind-2:1'];
const NEW_NODE = 'core-9:1';
const VERBS: readonly string[] = [
  ...['table', 'table', 'cell', 'cell', 'cell', 'rows', 'rows', 'zone', 'edit', 'edit'],
  ...['read', 'status', 'live', 'fleet', 'swap', 'nothing'],
];
const COLUMNS: readonly string[] = ['weight', 'take', 'lateMs', 'type', 'model', 'none'];
const LINES: readonly string[] = [
  'map POST /v1/checks to check',
  'map GET /v1/lookups/* to lookup',
  'row check m-* weight 10 take 100/s late 10s once stream',
  'row check m-1 weight 20 take 5/s late 4s once whole',
  'row lookup @kiosk weight 5 take 200/s late 2s repeatable',
  'row sum',
];
const ROWS: readonly string[] = ['check/m-*', 'check/m-1', 'lookup/@kiosk', 'none/none'];

/**
 * Sends valid and invalid operators' commands of every kind to the control nodes of a fleet under the policy table;
 * then replaces a voter, or wipes two or all disks and forces a new cluster.
 */
class OrdersRun {
  readonly #random: SeededRandom;
  readonly #simulation: Simulation;
  /** How many disks are lost at once: none in every second run, otherwise too many for an automatic repair. */
  readonly #lostDisks: number;
  /** The number of the table in the last answer. */
  #tableNumber = 0;
  #orderCount = 0;

  constructor(seed: number, runTrace: TraceDigest) {
    this.#random = new SeededRandom(seed);
    this.#lostDisks = seed % 2 === 1 ? 0 : 2 + ((seed / 2) % 2);
    this.#simulation = new Simulation({
      seed,
      edges: PROXIES,
      faultPeriodMs: 0,
      faultKinds: [],
      runTrace,
    });
  }

  run(): void {
    this.#simulation.start();
    this.#wait(START_MS);
    this.#simulation.putFirstTable();
    for (let count = 0; count < ORDERS; count += 1) {
      this.#sendOrder(this.#random.pick(this.#simulation.controlNodes));
      this.#wait(this.#random.between(0, MAX_PAUSE_MS));
    }
    if (this.#lostDisks > 0) this.#forceNewCluster();
    else this.#replaceVoter();
    for (let count = 0; count < LAST_ORDERS; count += 1) {
      this.#sendOrder(this.#random.pick(this.#simulation.controlNodes));
      this.#wait(this.#random.between(0, MAX_PAUSE_MS));
    }
    for (const node of this.#simulation.controlNodes) this.#sendCommand(node, 'status', {});
    this.#wait(REPAIR_MS);
  }

  #wait(millis: number): void {
    const { scheduler } = this.#simulation;
    scheduler.runUntil(scheduler.now + millis);
  }

  #sendOrder(node: SimControl | undefined): void {
    this.#orderCount += 1;
    const verb = this.#random.pick(VERBS) ?? '';
    this.#sendCommand(node, verb, this.#bodyOf(verb));
  }

  #sendCommand(node: SimControl | undefined, verb: string, body: object): void {
    node?.command(verb, JSON.stringify(body), (_status, answer) => {
      const [, number] = /"number":(\d+)/.exec(answer) ?? [];
      if (number !== undefined) this.#tableNumber = Number(number);
    });
  }

  /** Draws a command's body; some are based on another table than the one in force, or repeat an id. */
  #bodyOf(verb: string): object {
    const random = this.#random;
    const id = random.isLikely(0.9) ? `o${this.#orderCount}` : `o${random.below(this.#orderCount)}`;
    const base = random.isLikely(0.9) ? this.#tableNumber : random.below(this.#tableNumber + 2);
    const row = random.pick(ROWS) ?? '';
    switch (verb) {
      case 'table':
        return { id, base, text: this.#text() };
      case 'cell':
        return { id, base, row, column: random.pick(COLUMNS), value: random.below(1200) };
      case 'rows':
        return { id, base, put: [this.#row()], remove: random.isLikely(0.3) ? [row] : [] };
      case 'zone':
        return { id, zone: random.pick(['a', 'b', 'c', 'none']), empty: random.isLikely(0.5) };
      case 'edit':
        return { id: `o${random.below(this.#orderCount + 2)}`, base };
      case 'swap':
        return { id, old: 'nobody:1', new: random.isLikely(0.5) ? 'mind-0:1' : 'none:1' };
      default:
        return {};
    }
  }

  #text(): string {
    return LINES.filter(() => this.#random.isLikely(0.8)).join('\n');
  }

  #row(): object {
    const random = this.#random;
    const type = random.isLikely(0.7) ? 'check' : 'sum';
    const row = { type, model: `m-${random.below(3)}`, weight: random.below(50), take: 10 };
    return { ...row, lateMs: 2000, repeatable: false, stream: true };
  }

  #replaceVoter(): void {
    const old = this.#random.pick(this.#simulation.controlNodes);
    if (!old) return;
    this.#simulation.kill(old);
    const node = this.#simulation.addControlNode(NEW_NODE, SEEDS);
    this.#wait(REPAIR_MS);
    this.#sendCommand(this.#simulation.leader(), 'swap', { id: 'swap', old: old.id, new: node.id });
    this.#wait(VOTER_CHANGE_MS);
  }

  /** Wipes so many disks that no majority is left, so that operators must force a new cluster. */
  #forceNewCluster(): void {
    const lost = this.#simulation.controlNodes.slice(0, this.#lostDisks);
    for (const node of lost) {
      this.#simulation.kill(node);
      node.eraseDisk();
    }
    this.#wait(MAX_PAUSE_MS);
    for (const node of lost) node.start();
    this.#wait(DISK_LOSS_MS);
    for (const node of lost) this.#sendCommand(node, 'found', {});
    this.#wait(RECOVERY_MS);
    this.#sendCommand(this.#simulation.leader(), 'read', {});
  }
}

/** Runs operators' commands for a seed and returns the digest of what the fleet does. */
export function runOrders(seed: number, log?: TraceLog): string {
  const digest = new TraceDigest(log);
  new OrdersRun(seed, digest).run();
  return digest.finish();
}

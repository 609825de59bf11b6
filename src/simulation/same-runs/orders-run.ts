import { Seeded } from '../../rehearsal/seeded.js';
import type { SimControl } from '../../rehearsal/sim-control.js';
import { Simulation } from '../../rehearsal/simulation.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

const PROXIES = 2;
const START_MS = 14_000;
const ORDERS = 60;
const LAST_ORDERS = 10;
const MOST_PAUSE_MS = 400;
/** Enough time for a new node to be repaired, and for a change of the voters. */
const REPAIR_MS = 5000;
const VOTERS_MS = 8000;
const LOST_MS = 10_000;
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
 * Operators' commands of every kind at the control nodes of a fleet under the policy table, valid and not; then a voter is
 * replaced, or two or all disks are lost and a new cluster is forced.
 */
class OrdersRun {
  readonly #random: Seeded;
  readonly #simulation: Simulation;
  /** How many disks are lost at once: none in every other run, else as many as nobody can make good. */
  readonly #disksLost: number;
  /** The number of the table as the last answer gave it. */
  #number = 0;
  #orders = 0;

  constructor(seed: number, runTrace: TraceDigest) {
    this.#random = new Seeded(seed);
    this.#disksLost = seed % 2 === 1 ? 0 : 2 + ((seed / 2) % 2);
    this.#simulation = new Simulation({ seed, edges: PROXIES, stormMs: 0, troubles: [], runTrace });
  }

  run(): void {
    this.#simulation.start();
    this.#wait(START_MS);
    this.#simulation.found();
    for (let count = 0; count < ORDERS; count += 1) {
      this.#order(this.#random.pick(this.#simulation.controlNodes));
      this.#wait(this.#random.between(0, MOST_PAUSE_MS));
    }
    if (this.#disksLost > 0) this.#forceNewCluster();
    else this.#replaceVoter();
    for (let count = 0; count < LAST_ORDERS; count += 1) {
      this.#order(this.#random.pick(this.#simulation.controlNodes));
      this.#wait(this.#random.between(0, MOST_PAUSE_MS));
    }
    for (const node of this.#simulation.controlNodes) this.#command(node, 'status', {});
    this.#wait(REPAIR_MS);
  }

  #wait(millis: number): void {
    const { scheduler } = this.#simulation;
    scheduler.runUntil(scheduler.now + millis);
  }

  #order(node: SimControl | undefined): void {
    this.#orders += 1;
    const verb = this.#random.pick(VERBS) ?? '';
    this.#command(node, verb, this.#bodyOf(verb));
  }

  #command(node: SimControl | undefined, verb: string, body: object): void {
    node?.command(verb, JSON.stringify(body), (_status, answer) => {
      const [, number] = /"number":(\d+)/.exec(answer) ?? [];
      if (number !== undefined) this.#number = Number(number);
    });
  }

  /** A command's body; some are of another table than the one in force, or repeat an id. */
  #bodyOf(verb: string): object {
    const random = this.#random;
    const id = random.isLikely(0.9) ? `o${this.#orders}` : `o${random.below(this.#orders)}`;
    const base = random.isLikely(0.9) ? this.#number : random.below(this.#number + 2);
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
        return { id: `o${random.below(this.#orders + 2)}`, base };
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
    this.#command(this.#simulation.leader(), 'swap', { id: 'swap', old: old.id, new: node.id });
    this.#wait(VOTERS_MS);
  }

  /** More disks are lost than a majority bears, so that operators must force a new cluster. */
  #forceNewCluster(): void {
    const lost = this.#simulation.controlNodes.slice(0, this.#disksLost);
    for (const node of lost) {
      this.#simulation.kill(node);
      node.wipe();
    }
    this.#wait(MOST_PAUSE_MS);
    for (const node of lost) node.start();
    this.#wait(LOST_MS);
    for (const node of lost) this.#command(node, 'found', {});
    this.#wait(RECOVERY_MS);
    this.#command(this.#simulation.leader(), 'read', {});
  }
}

/** Runs operators' commands for a seed and digests what the fleet does. */
export function runOrders(seed: number, log?: TraceLog): string {
  const digest = new TraceDigest(log);
  new OrdersRun(seed, digest).run();
  return digest.finish();
}

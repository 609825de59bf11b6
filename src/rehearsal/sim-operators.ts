import { number, optional, string, type } from 'superstruct';
import { parseAs } from '../common/json.js';
import { compareVersions, NO_VERSION, versionText, type Version } from '../common/version.js';
import { ConfigUpdateShape } from '../control/config-shapes.js';
import { compile } from '../policy/language.js';
import type { RunFindings } from './run-findings.js';
import type { Scheduler } from './scheduler.js';
import type { SeededRandom } from './seeded-random.js';
import type { SimControl } from './sim-control.js';
import { LATE_MS } from './sim-proxy.js';
import { ZONES } from './simulated-fleet.js';

/** What one operator was told of one edit. */
export interface EditOutcome {
  readonly id: string;
  readonly at: number;
  readonly outcome: 'accepted' | 'refused' | 'unsure';
  /** Number of the table after it; 0 unless it was accepted. */
  readonly number: number;
  readonly version: Version;
}

/** The simulated fleet, as operators meet it. */
export interface OperatedFleet {
  readonly scheduler: Scheduler;
  readonly seeded: SeededRandom;
  readonly controlNodes: readonly SimControl[];
  readonly findings: RunFindings;
  /** A mutation of the operators: they take an unclear outcome for a refusal. */
  readonly takesUnsureForRefused: boolean;
}

type Heard = (status: number, body: string) => void;

const ReplyShape = type({
  outcome: optional(string()),
  id: optional(string()),
  number: optional(number()),
  version: optional(string()),
});

/** The outcome as the control nodes' API names it. */
const REFUSED_ON_THE_WIRE = 'turned-away';

const TABLE = [
  'map POST /v1/checks to check',
  'map POST /v1/sums to sum',
  'map GET /v1/lookups/* to lookup',
  `row check m-* weight 10 take 100/s late ${LATE_MS.check}ms once stream`,
  `row sum m-* weight 5 take 100/s late ${LATE_MS.sum}ms once whole`,
  `row lookup @kiosk weight 5 take 200/s late ${LATE_MS.lookup}ms repeatable`,
].join('\n');

/** Chances that two operators edit the same table at once, that an edit is of a zone, and that it evacuates it. */
const RACE_CHANCE = 0.3;
const ZONE_CHANCE = 0.15;
const EVACUATE_CHANCE = 0.4;
/** Chance that an operator asks what became of an edit whose outcome is unclear. */
const QUESTION_CHANCE = 0.5;

/** Operators who edit the table and evacuate zones at any control node, and what they were told. */
export class SimOperators {
  readonly #fleet: OperatedFleet;
  readonly #outcomes: EditOutcome[] = [];
  #newest: Version = NO_VERSION;
  #newestNumber = 0;
  #editCount = 0;
  #openEdits = 0;
  #restoreCount = 0;
  #isActive = false;
  /** Evacuated zones, and when that was acknowledged. */
  readonly #evacuated = new Map<string, number>();
  /** Requests to restore a zone that may still take effect. */
  readonly #restoring = new Map<string, Set<string>>();

  constructor(fleet: OperatedFleet) {
    this.#fleet = fleet;
  }

  get outcomes(): readonly EditOutcome[] {
    return this.#outcomes;
  }
  /** The newest version acknowledged. */
  get newest(): Version {
    return this.#newest;
  }
  /** The highest number of a table acknowledged. */
  get newestNumber(): number {
    return this.#newestNumber;
  }
  get openEdits(): number {
    return this.#openEdits;
  }
  get evacuated(): ReadonlyMap<string, number> {
    return this.#evacuated;
  }

  /** Puts the table in force, as the first thing operators do. */
  putFirstTable(leader: SimControl | undefined): void {
    const { table } = compile(TABLE);
    leader?.command('table', JSON.stringify({ id: 'first', base: 0, table }), (status, body) =>
      this.#heard('first', status, body),
    );
  }

  begin(): void {
    this.#isActive = true;
  }

  end(): void {
    this.#isActive = false;
  }

  /** Reads the table somewhere, edits it, and goes on so until the end. */
  operate(): void {
    if (!this.#isActive) return;
    const { seeded, scheduler, controlNodes } = this.#fleet;
    const controlNode = seeded.pick(controlNodes);
    const editors = seeded.isLikely(RACE_CHANCE) ? 2 : 1;
    controlNode?.command('read', '{}', (status, body) => this.#editAsRead(editors, status, body));
    scheduler.after(seeded.between(200, 1500), () => this.operate());
  }

  /** Takes back every evacuation. */
  restoreAll(leader: SimControl): void {
    for (const zone of ZONES) {
      const id = this.#nextId();
      this.#editZone(leader, id, zone, false, (status, body) => this.#heard(id, status, body));
    }
  }

  #nextId(): string {
    this.#editCount += 1;
    return `e${this.#editCount}`;
  }

  #editAsRead(editors: number, status: number, body: string): void {
    const news = status === 200 ? parseAs(ConfigUpdateShape, body) : undefined;
    if (!news) return;
    // Two operators who read the same table race each other, at different nodes.
    for (let index = 0; index < editors; index += 1)
      this.#edit(this.#fleet.seeded.pick(this.#fleet.controlNodes), news.number);
  }

  #edit(controlNode: SimControl | undefined, base: number): void {
    const id = this.#nextId();
    const value = 1 + (this.#editCount % 900);
    const { seeded } = this.#fleet;
    this.#openEdits += 1;
    const heard = (status: number, body: string) => this.#answered(id, status, body);
    if (seeded.isLikely(ZONE_CHANCE)) {
      const zone = seeded.pick(ZONES) ?? 'a';
      this.#editZone(controlNode, id, zone, seeded.isLikely(EVACUATE_CHANCE), heard);
      return;
    }
    const edit = { id, base, row: 'check/m-*', column: 'weight', value };
    controlNode?.command('cell', JSON.stringify(edit), heard);
  }

  #answered(id: string, status: number, body: string): void {
    this.#openEdits -= 1;
    this.#heard(id, status, body);
  }

  #editZone(
    controlNode: SimControl | undefined,
    id: string,
    zone: string,
    isEvacuation: boolean,
    heard: Heard,
  ): void {
    // From the moment somebody asks to restore it, work there proves nothing.
    const restoring = this.#restoring.get(zone) ?? new Set<string>();
    this.#restoring.set(zone, restoring);
    if (!isEvacuation) {
      this.#evacuated.delete(zone);
      this.#fleet.findings.note({ what: 'zone-filling', zone });
      restoring.add(id);
      this.#restoreCount += 1;
    }
    const told = isEvacuation
      ? this.#evacuationAnswered.bind(this, zone, restoring.size, this.#restoreCount, heard)
      : (status: number, body: string) => this.#restoreAnswered(restoring, id, heard, status, body);
    controlNode?.command('zone', JSON.stringify({ id, zone, empty: isEvacuation }), told);
  }

  #restoreAnswered(
    restoring: Set<string>,
    id: string,
    heard: Heard,
    status: number,
    body: string,
  ): void {
    // Whoever asked to restore it and has no word yet may still be served after the evacuation.
    if (status === 200 || status === 409 || status === 503) restoring.delete(id);
    heard(status, body);
  }

  #evacuationAnswered(
    zone: string,
    restoringThen: number,
    restoreCountThen: number,
    heard: Heard,
    status: number,
    body: string,
  ): void {
    if (status === 200 && restoringThen === 0 && this.#restoreCount === restoreCountThen) {
      this.#evacuated.set(zone, this.#fleet.scheduler.now);
      this.#fleet.findings.note({ what: 'zone-emptied', zone });
    }
    heard(status, body);
  }

  #heard(id: string, status: number, body: string): void {
    const { scheduler, seeded, findings } = this.#fleet;
    const parsed = parseAs(ReplyShape, body);
    const outcome = this.#outcomeOf(status, parsed?.outcome);
    const isAccepted = outcome === 'accepted';
    const version = parseVersion(parsed?.version);
    const count = isAccepted ? (parsed?.number ?? 0) : 0;
    this.#outcomes.push({ id, at: scheduler.now, outcome, number: count, version });
    const told = isAccepted ? '' : body;
    findings.say(`edit ${id}: ${outcome} ${status} ${count} ${versionText(version)} ${told}`);
    if (isAccepted) this.#noteAccepted(version, count);
    if (outcome === 'unsure' && seeded.isLikely(QUESTION_CHANCE))
      scheduler.after(seeded.between(100, 4000), () => this.#askOutcome(id));
  }

  #outcomeOf(status: number, outcome: string | undefined): EditOutcome['outcome'] {
    if (status === 200 && outcome === 'accepted') return 'accepted';
    if (outcome === REFUSED_ON_THE_WIRE || this.#fleet.takesUnsureForRefused) return 'refused';
    return 'unsure';
  }

  #noteAccepted(version: Version, count: number): void {
    if (compareVersions(version, this.#newest) > 0) this.#newest = version;
    this.#newestNumber = Math.max(this.#newestNumber, count);
    this.#fleet.findings.note({ what: 'table-accepted', number: count });
  }

  #askOutcome(id: string): void {
    const controlNode = this.#fleet.seeded.pick(this.#fleet.controlNodes);
    controlNode?.command('edit', JSON.stringify({ id }), (status, body) =>
      this.#outcomeTold(id, status, body),
    );
  }

  #outcomeTold(id: string, status: number, body: string): void {
    if (status === 200) this.#heard(id, status, body);
  }
}

function parseVersion(text: string | undefined): Version {
  const [epoch = 0, count = 0] = (text ?? '0.0').split('.').map(Number);
  return { epoch, count };
}

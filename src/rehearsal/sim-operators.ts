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

/** The outcome of one edit, as its operator learned it. */
export interface EditOutcome {
  readonly id: string;
  readonly at: number;
  readonly outcome: 'accepted' | 'refused' | 'unsure';
  /** The table's number after the edit; 0 unless it was accepted. */
  readonly number: number;
  readonly version: Version;
}

/** The parts of a simulated fleet that operators use. */
export interface OperatedFleet {
  readonly scheduler: Scheduler;
  readonly seeded: SeededRandom;
  readonly controlNodes: readonly SimControl[];
  readonly findings: RunFindings;
  /** A mutation: operators treat an unknown outcome as a rejection. */
  readonly takesUnsureForRefused: boolean;
}

type ReplyHandler = (status: number, body: string) => void;

const ReplyShape = type({
  outcome: optional(string()),
  id: optional(string()),
  number: optional(number()),
  version: optional(string()),
});

/** The control nodes' API's name of a rejection. */
const REJECTED_ON_THE_WIRE = 'turned-away';

const TABLE = [
  'map POST /v1/checks to check',
  'map POST /v1/sums to sum',
  'map GET /v1/lookups/* to lookup',
  `row check m-* weight 10 take 100/s late ${LATE_MS.check}ms once stream`,
  `row sum m-* weight 5 take 100/s late ${LATE_MS.sum}ms once whole`,
  `row lookup @kiosk weight 5 take 200/s late ${LATE_MS.lookup}ms repeatable`,
].join('\n');

/** Probability that two operators edit the same table concurrently, that an edit is of a zone, and that it evacuates it. */
const RACE_PROBABILITY = 0.3;
const ZONE_PROBABILITY = 0.15;
const EVACUATE_PROBABILITY = 0.4;
/** Probability that an operator queries the state of an edit whose outcome is unknown. */
const QUERY_PROBABILITY = 0.5;

/** Operators who edit the table and evacuate zones through any control node; records the outcomes that they learn. */
export class SimOperators {
  readonly #fleet: OperatedFleet;
  readonly #outcomes: EditOutcome[] = [];
  #newest: Version = NO_VERSION;
  #newestNumber = 0;
  #editCount = 0;
  #openEdits = 0;
  #restoreCount = 0;
  #isActive = false;
  /** Evacuated zones with the time of the acknowledgment, virtual ms. */
  readonly #evacuated = new Map<string, number>();
  /** By zone, the ids of requests to restore it that may still take effect. */
  readonly #restoring = new Map<string, Set<string>>();

  constructor(fleet: OperatedFleet) {
    this.#fleet = fleet;
  }

  /** All outcomes, in order of time; an edit has several if its state was queried. */
  get outcomes(): readonly EditOutcome[] {
    return this.#outcomes;
  }
  /** The newest acknowledged version. */
  get newest(): Version {
    return this.#newest;
  }
  /** The highest acknowledged table number. */
  get newestNumber(): number {
    return this.#newestNumber;
  }
  /** Number of edits without a response. */
  get openEdits(): number {
    return this.#openEdits;
  }
  /** Evacuated zones with the time of the acknowledgment, unless a request to restore one was sent since; virtual ms. */
  get evacuated(): ReadonlyMap<string, number> {
    return this.#evacuated;
  }

  /** Submits the first table. */
  putFirstTable(leader: SimControl | undefined): void {
    const { table } = compile(TABLE);
    leader?.command('table', JSON.stringify({ id: 'first', base: 0, table }), (status, body) =>
      this.#onOutcome('first', status, body),
    );
  }

  /** Lets `operate` send edits. */
  begin(): void {
    this.#isActive = true;
  }

  /** Stops `operate` at its next turn. */
  end(): void {
    this.#isActive = false;
  }

  /** Reads the table from a random control node and edits it, repeatedly until `end`. */
  operate(): void {
    if (!this.#isActive) return;
    const { seeded, scheduler, controlNodes } = this.#fleet;
    const controlNode = seeded.pick(controlNodes);
    const editors = seeded.isLikely(RACE_PROBABILITY) ? 2 : 1;
    controlNode?.command('read', '{}', (status, body) => this.#editAsRead(editors, status, body));
    scheduler.after(seeded.between(200, 1500), () => this.operate());
  }

  /** Requests that every zone be restored. */
  restoreAll(leader: SimControl): void {
    for (const zone of ZONES) {
      const id = this.#nextId();
      this.#editZone(leader, id, zone, false, (status, body) => this.#onOutcome(id, status, body));
    }
  }

  #nextId(): string {
    this.#editCount += 1;
    return `e${this.#editCount}`;
  }

  #editAsRead(editors: number, status: number, body: string): void {
    const config = status === 200 ? parseAs(ConfigUpdateShape, body) : undefined;
    if (!config) return;
    // Two operators who read the same table race each other, each through a random node.
    for (let index = 0; index < editors; index += 1)
      this.#edit(this.#fleet.seeded.pick(this.#fleet.controlNodes), config.number);
  }

  #edit(controlNode: SimControl | undefined, base: number): void {
    const id = this.#nextId();
    const value = 1 + (this.#editCount % 900);
    const { seeded } = this.#fleet;
    this.#openEdits += 1;
    const onReply = (status: number, body: string) => this.#onEditReply(id, status, body);
    if (seeded.isLikely(ZONE_PROBABILITY)) {
      const zone = seeded.pick(ZONES) ?? 'a';
      this.#editZone(controlNode, id, zone, seeded.isLikely(EVACUATE_PROBABILITY), onReply);
      return;
    }
    const edit = { id, base, row: 'check/m-*', column: 'weight', value };
    controlNode?.command('cell', JSON.stringify(edit), onReply);
  }

  #onEditReply(id: string, status: number, body: string): void {
    this.#openEdits -= 1;
    this.#onOutcome(id, status, body);
  }

  #editZone(
    controlNode: SimControl | undefined,
    id: string,
    zone: string,
    isEvacuation: boolean,
    onReply: ReplyHandler,
  ): void {
    // Once a restore is requested, new work in the zone is no violation.
    const restoring = this.#restoring.get(zone) ?? new Set<string>();
    this.#restoring.set(zone, restoring);
    if (!isEvacuation) {
      this.#evacuated.delete(zone);
      this.#fleet.findings.addEvent({ what: 'zone-filling', zone });
      restoring.add(id);
      this.#restoreCount += 1;
    }
    const onZoneReply = isEvacuation
      ? this.#onEvacuationReply.bind(this, zone, restoring.size, this.#restoreCount, onReply)
      : (status: number, body: string) =>
          this.#onRestoreReply(restoring, id, onReply, status, body);
    controlNode?.command('zone', JSON.stringify({ id, zone, empty: isEvacuation }), onZoneReply);
  }

  #onRestoreReply(
    restoring: Set<string>,
    id: string,
    onReply: ReplyHandler,
    status: number,
    body: string,
  ): void {
    // Without a definite response, the restore may still take effect after the evacuation.
    if (status === 200 || status === 409 || status === 503) restoring.delete(id);
    onReply(status, body);
  }

  #onEvacuationReply(
    zone: string,
    restoringAtStart: number,
    restoreCountAtStart: number,
    onReply: ReplyHandler,
    status: number,
    body: string,
  ): void {
    if (status === 200 && restoringAtStart === 0 && this.#restoreCount === restoreCountAtStart) {
      this.#evacuated.set(zone, this.#fleet.scheduler.now);
      this.#fleet.findings.addEvent({ what: 'zone-emptied', zone });
    }
    onReply(status, body);
  }

  #onOutcome(id: string, status: number, body: string): void {
    const { scheduler, seeded, findings } = this.#fleet;
    const parsed = parseAs(ReplyShape, body);
    const outcome = this.#outcomeOf(status, parsed?.outcome);
    const isAccepted = outcome === 'accepted';
    const version = parseVersion(parsed?.version);
    const count = isAccepted ? (parsed?.number ?? 0) : 0;
    this.#outcomes.push({ id, at: scheduler.now, outcome, number: count, version });
    const detail = isAccepted ? '' : body;
    findings.log(`edit ${id}: ${outcome} ${status} ${count} ${versionText(version)} ${detail}`);
    if (isAccepted) this.#noteAccepted(version, count);
    if (outcome === 'unsure' && seeded.isLikely(QUERY_PROBABILITY))
      scheduler.after(seeded.between(100, 4000), () => this.#queryOutcome(id));
  }

  #outcomeOf(status: number, outcome: string | undefined): EditOutcome['outcome'] {
    if (status === 200 && outcome === 'accepted') return 'accepted';
    if (outcome === REJECTED_ON_THE_WIRE || this.#fleet.takesUnsureForRefused) return 'refused';
    return 'unsure';
  }

  #noteAccepted(version: Version, count: number): void {
    if (compareVersions(version, this.#newest) > 0) this.#newest = version;
    this.#newestNumber = Math.max(this.#newestNumber, count);
    this.#fleet.findings.addEvent({ what: 'table-accepted', number: count });
  }

  #queryOutcome(id: string): void {
    const controlNode = this.#fleet.seeded.pick(this.#fleet.controlNodes);
    controlNode?.command('edit', JSON.stringify({ id }), (status, body) =>
      this.#onOutcomeReply(id, status, body),
    );
  }

  #onOutcomeReply(id: string, status: number, body: string): void {
    if (status === 200) this.#onOutcome(id, status, body);
  }
}

function parseVersion(text: string | undefined): Version {
  const [epoch = 0, count = 0] = (text ?? '0.0').split('.').map(Number);
  return { epoch, count };
}

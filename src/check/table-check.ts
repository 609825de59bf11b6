/** The dry run of a proposed policy table: what it would change, and what it would leave unserved. */
import { array, boolean, number, string, type, union, literal, type Infer } from 'superstruct';
import { matchesModel, rowKey, TableShape, type Row, type Table } from '../policy/table.js';
import { moment } from '../common/ids.js';
import { PLACER_DEFAULTS, type PlanInput, type RunnerView } from '../placement/placer-types.js';
import {
  CatalogShape,
  MachineShape,
  RunnerReportShape,
  ServiceDocShape,
} from '../placement/shapes.js';
import { ReplicaTrial, type TrialOutcome } from '../placement/replica-trial.js';

/** The live fleet, as the leader shows it. */
export const FleetShape = type({
  number: number(),
  table: TableShape,
  emptied: array(string()),
  catalog: CatalogShape,
  docs: array(ServiceDocShape),
  runners: array(
    type({
      machine: MachineShape,
      report: union([RunnerReportShape, literal(null)]),
      isReachable: boolean(),
    }),
  ),
  demand: array(type({ unit: string(), rate: number() })),
});
/** The live fleet, once its shape has been checked. */
export type FleetView = Infer<typeof FleetShape>;

/** A reason against the table; `kind` is stable, for programs that read it. */
export interface Finding {
  readonly kind: string;
  readonly subject: string;
  readonly text: string;
}

/** What the check found, and what would follow. */
export interface TableCheckReport {
  readonly findings: readonly Finding[];
  /** Orders to runners that would follow; they are no fault. */
  readonly orders: readonly string[];
  /** Models that would wait for a load, and why. */
  readonly waits: readonly string[];
}

/** Assumptions of the check. */
export interface TableCheckSettings {
  /** How long a run is taken to last, in milliseconds, to estimate what the present runners could serve. */
  readonly runMs: number;
}

/** Steps of the trial of a placement: enough for every load of a large table to be ordered and done. */
const TRIAL_STEPS = 120;

/** Checks a proposed table against the fleet as it is, by the placer itself. */
export class TableCheck {
  readonly #table: Table;
  readonly #fleet: FleetView;
  readonly #settings: TableCheckSettings;
  readonly #findings: Finding[] = [];

  constructor(table: Table, fleet: FleetView, settings: TableCheckSettings) {
    this.#table = table;
    this.#fleet = fleet;
    this.#settings = settings;
  }

  check(): TableCheckReport {
    this.#rows();
    this.#fits();
    const now = this.#trial(this.#fleet.emptied);
    const before = this.#trialOf(this.#fleet.table, this.#fleet.emptied);
    const waits: string[] = [];
    for (const place of now.places)
      if (place.seats.length === 0 && place.wait !== '')
        waits.push(`${place.model}: ${place.wait}`);
    this.#zones(now);
    const ordersBefore = new Set(before.orders.map(orderText));
    const orders: string[] = [];
    for (const intent of now.orders)
      if (!ordersBefore.has(orderText(intent))) orders.push(orderText(intent));
    return { findings: this.#findings, orders, waits };
  }

  #find(kind: string, subject: string, text: string): void {
    this.#findings.push({ kind, subject, text });
  }

  #modelsOf(row: Row): string[] {
    const models: string[] = [];
    for (const { name } of this.#fleet.catalog.models)
      if (matchesModel(row.model, name)) models.push(name);
    return models;
  }

  #rows(): void {
    const mapped = new Set<string>();
    for (const mapping of this.#table.mappings) mapped.add(mapping.type);
    const earlier: Row[] = [];
    for (const row of this.#table.rows) {
      const key = rowKey(row);
      if (!mapped.has(row.type))
        this.#find('unreached-row', key, `no mapping leads to the type ${row.type}`);
      const cover = earlier.find((earlier) => covers(row, earlier));
      if (cover)
        this.#find('shadowed-row', key, `${rowKey(cover)} stands before it and takes all it would`);
      earlier.push(row);
      if (row.model.startsWith('@')) this.#plainRow(row);
      else this.#modelRow(row);
    }
  }

  #plainRow(row: Row): void {
    let standing = 0;
    for (const { machine } of this.#fleet.runners)
      if (machine.service === row.model.slice(1) && !machine.leaving) standing += 1;
    if (standing === 0)
      this.#find(
        'no-back-end',
        rowKey(row),
        `no back end of ${row.model} is on the platform's list`,
      );
  }

  #modelRow(row: Row): void {
    const models = this.#modelsOf(row);
    if (models.length === 0) {
      this.#find('unknown-model', rowKey(row), 'the catalogue has no model that fits it');
      return;
    }
    const slots: number[] = [];
    for (const { machine, report } of this.#fleet.runners)
      if (report && !machine.leaving) slots.push(report.slots);
    slots.sort(descending);
    // Each of its models has a pair at best, and all of them together no more than there is.
    let standing = 0;
    for (const count of slots.slice(0, models.length * 2)) standing += count;
    const perSecond = (standing * 1000) / this.#settings.runMs;
    if (row.take > perSecond)
      this.#find(
        'take-above-fleet',
        rowKey(row),
        `takes ${row.take} a second; what stands could serve ${perSecond} of ${this.#settings.runMs} ms each`,
      );
  }

  #fits(): void {
    for (const { name, size } of this.#fleet.catalog.models) {
      if (
        !this.#table.rows.some((row) => !row.model.startsWith('@') && matchesModel(row.model, name))
      )
        continue;
      const zones = new Set<string>();
      for (const { machine, report } of this.#fleet.runners)
        if (report && report.room >= size && machine.service === '' && !machine.leaving)
          zones.add(machine.zone);
      if (zones.size === 0)
        this.#find('fits-nowhere', name, `needs ${size}, and no runner has so much room`);
      else if (zones.size === 1)
        this.#find(
          'no-pair',
          name,
          `only zone ${[...zones][0]} has runners with room for it: its pair cannot cross zones`,
        );
    }
  }

  #zones(now: TrialOutcome): void {
    this.#zonesOfModels(now);
    this.#zonesOfPlainBackends();
  }

  /** Models that the loss of a single zone would leave unserved. */
  #zonesOfModels(now: TrialOutcome): void {
    const zones = new Set<string>();
    for (const { machine } of this.#fleet.runners)
      if (machine.service === '') zones.add(machine.zone);
    const served = new Set<string>();
    for (const place of now.places) if (place.seats.length > 0) served.add(place.model);
    for (const zone of [...zones].sort()) {
      const left = this.#trial([...this.#fleet.emptied, zone]);
      const unserved: string[] = [];
      for (const place of left.places)
        if (place.seats.length === 0 && served.has(place.model)) unserved.push(place.model);
      if (unserved.length > 0)
        this.#find(
          'zone-lost',
          zone,
          `without it, ${unserved.length} models that would be served are not: ${unserved.sort().join(' ')}`,
        );
    }
  }

  /** Rows whose plain back ends all stand in one zone. */
  #zonesOfPlainBackends(): void {
    for (const row of this.#table.rows) {
      if (!row.model.startsWith('@')) continue;
      const homes = new Set<string>();
      for (const { machine } of this.#fleet.runners)
        if (machine.service === row.model.slice(1) && !machine.leaving) homes.add(machine.zone);
      if (homes.size === 1)
        this.#find('zone-lost', [...homes][0] ?? '', `all back ends of ${row.model} stand there`);
    }
  }

  #trial(emptied: readonly string[]): TrialOutcome {
    return this.#trialOf(this.#table, emptied);
  }

  #trialOf(table: Table, emptied: readonly string[]): TrialOutcome {
    const runners: RunnerView[] = [];
    for (const { machine, report, isReachable } of this.#fleet.runners)
      runners.push({
        machine,
        report: report ?? undefined,
        requestedAt: moment(0),
        isReachable,
        isPresumedLost: !isReachable,
      });
    const input: PlanInput = {
      table,
      catalog: this.#fleet.catalog,
      runners,
      evacuatedZones: emptied,
    };
    const demand = new Map<string, number>();
    for (const { unit, rate } of this.#fleet.demand) demand.set(unit, rate);
    return new ReplicaTrial(PLACER_DEFAULTS, input, this.#fleet.docs, demand).run(TRIAL_STEPS);
  }
}

function descending(a: number, b: number): number {
  return b - a;
}
function orderText(intent: {
  readonly verb: string;
  readonly model: string;
  readonly adapter: string;
  readonly runner: string;
}): string {
  return `${intent.verb} ${intent.model}${intent.adapter === '' ? '' : ` ${intent.adapter}`} at ${intent.runner}`;
}

/** Whether the earlier row takes everything that the later one could. */
function covers(later: Row, earlier: Row): boolean {
  if (earlier.type !== later.type) return false;
  // Plain back ends take whatever model a request names.
  if (earlier.model.startsWith('@')) return true;
  if (!earlier.model.endsWith('*')) return earlier.model === later.model;
  return later.model.replace(/\*$/, '').startsWith(earlier.model.slice(0, -1));
}

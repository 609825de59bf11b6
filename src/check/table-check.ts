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

/** The live fleet, as the API of the leader returns it. */
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
/** The validated state of the live fleet. */
export type FleetView = Infer<typeof FleetShape>;

/** A problem of the table. `kind` is stable, for programs that read it. */
export interface Finding {
  readonly kind: string;
  readonly subject: string;
  readonly text: string;
}

/** The findings of the check, and the effects that the table would have. */
export interface TableCheckReport {
  readonly findings: readonly Finding[];
  /** Orders to runners that the table would cause, beyond those that are due anyway; they are not problems. */
  readonly orders: readonly string[];
  /** Models that no runner would serve, each with the reason why its load waits. */
  readonly waits: readonly string[];
}

/** Assumptions of the check. */
export interface TableCheckSettings {
  /** Assumed duration of a run in milliseconds, to estimate the rate that the present runners could serve. */
  readonly runMs: number;
}

/** Steps of a simulated placement: enough for every load of a large table to be ordered and completed. */
const TRIAL_STEPS = 120;

/** Checks a proposed table against the live fleet, by a simulation with the placer itself. */
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

  /** Runs all checks. Call it once only: findings accumulate. */
  check(): TableCheckReport {
    this.#checkRows();
    this.#checkCapacity();
    const proposed = this.#simulate(this.#fleet.emptied);
    const current = this.#simulateTable(this.#fleet.table, this.#fleet.emptied);
    const waits: string[] = [];
    for (const place of proposed.places)
      if (place.seats.length === 0 && place.wait !== '')
        waits.push(`${place.model}: ${place.wait}`);
    this.#checkZoneLoss(proposed);
    const currentOrders = new Set(current.orders.map(orderText));
    const orders: string[] = [];
    for (const intent of proposed.orders)
      if (!currentOrders.has(orderText(intent))) orders.push(orderText(intent));
    return { findings: this.#findings, orders, waits };
  }

  #addFinding(kind: string, subject: string, text: string): void {
    this.#findings.push({ kind, subject, text });
  }

  #modelsOf(row: Row): string[] {
    const models: string[] = [];
    for (const { name } of this.#fleet.catalog.models)
      if (matchesModel(row.model, name)) models.push(name);
    return models;
  }

  #checkRows(): void {
    const mapped = new Set<string>();
    for (const mapping of this.#table.mappings) mapped.add(mapping.type);
    const earlier: Row[] = [];
    for (const row of this.#table.rows) {
      const key = rowKey(row);
      if (!mapped.has(row.type))
        this.#addFinding('unreached-row', key, `no mapping has the type ${row.type}`);
      const coveringRow = earlier.find((earlier) => covers(row, earlier));
      if (coveringRow)
        this.#addFinding(
          'shadowed-row',
          key,
          `${rowKey(coveringRow)} comes first and matches all its requests`,
        );
      earlier.push(row);
      if (row.model.startsWith('@')) this.#checkPlainRow(row);
      else this.#checkModelRow(row);
    }
  }

  #checkPlainRow(row: Row): void {
    let backends = 0;
    for (const { machine } of this.#fleet.runners)
      if (machine.service === row.model.slice(1) && !machine.leaving) backends += 1;
    if (backends === 0)
      this.#addFinding(
        'no-back-end',
        rowKey(row),
        `the platform lists no back end of ${row.model}`,
      );
  }

  #checkModelRow(row: Row): void {
    const models = this.#modelsOf(row);
    if (models.length === 0) {
      this.#addFinding('unknown-model', rowKey(row), 'the catalog has no matching model');
      return;
    }
    const slots: number[] = [];
    for (const { machine, report } of this.#fleet.runners)
      if (report && !machine.leaving) slots.push(report.slots);
    slots.sort(descending);
    // Each of its models has at most two replicas, and all together have no more runners than there are.
    let availableSlots = 0;
    for (const count of slots.slice(0, models.length * 2)) availableSlots += count;
    const maxPerSecond = (availableSlots * 1000) / this.#settings.runMs;
    if (row.take > maxPerSecond)
      this.#addFinding(
        'take-above-fleet',
        rowKey(row),
        `accepts ${row.take} requests/s; the present runners could serve ${maxPerSecond} requests/s of ${this.#settings.runMs} ms each`,
      );
  }

  #checkCapacity(): void {
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
        this.#addFinding('fits-nowhere', name, `needs ${size}, and no runner has that much room`);
      else if (zones.size === 1)
        this.#addFinding(
          'no-pair',
          name,
          `only zone ${[...zones][0]} has runners with room for it: its replicas cannot be in two zones`,
        );
    }
  }

  #checkZoneLoss(proposed: TrialOutcome): void {
    this.#checkZoneLossOfModels(proposed);
    this.#checkZoneLossOfPlainBackends();
  }

  /** Finds models that no runner would serve after the loss of a single zone. */
  #checkZoneLossOfModels(proposed: TrialOutcome): void {
    const zones = new Set<string>();
    for (const { machine } of this.#fleet.runners)
      if (machine.service === '') zones.add(machine.zone);
    const served = new Set<string>();
    for (const place of proposed.places) if (place.seats.length > 0) served.add(place.model);
    for (const zone of [...zones].sort()) {
      const outcome = this.#simulate([...this.#fleet.emptied, zone]);
      const unserved: string[] = [];
      for (const place of outcome.places)
        if (place.seats.length === 0 && served.has(place.model)) unserved.push(place.model);
      if (unserved.length > 0)
        this.#addFinding(
          'zone-lost',
          zone,
          `without this zone, no runner serves ${unserved.length} models that are served otherwise: ${unserved.sort().join(' ')}`,
        );
    }
  }

  /** Finds rows whose plain back ends are all in one zone. */
  #checkZoneLossOfPlainBackends(): void {
    for (const row of this.#table.rows) {
      if (!row.model.startsWith('@')) continue;
      const backendZones = new Set<string>();
      for (const { machine } of this.#fleet.runners)
        if (machine.service === row.model.slice(1) && !machine.leaving)
          backendZones.add(machine.zone);
      if (backendZones.size === 1)
        this.#addFinding(
          'zone-lost',
          [...backendZones][0] ?? '',
          `all back ends of ${row.model} are in this zone`,
        );
    }
  }

  #simulate(emptied: readonly string[]): TrialOutcome {
    return this.#simulateTable(this.#table, emptied);
  }

  #simulateTable(table: Table, emptied: readonly string[]): TrialOutcome {
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

/** Whether the earlier row matches every request that the later one matches. */
function covers(later: Row, earlier: Row): boolean {
  if (earlier.type !== later.type) return false;
  // Plain back ends serve requests for any model.
  if (earlier.model.startsWith('@')) return true;
  if (!earlier.model.endsWith('*')) return earlier.model === later.model;
  return later.model.replace(/\*$/, '').startsWith(earlier.model.slice(0, -1));
}

import { rowKey, type Row } from '../policy/table.js';
import { later, moment, type Moment, type PartitionName } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { LiveTable } from '../placement/live.js';
import { Placer } from '../placement/placer.js';
import type { PlacerSettings, PlanInput } from '../placement/placer-types.js';
import {
  DemandReportShape,
  type Catalog,
  type Machines,
  type RunnerReport,
  type ServiceDoc,
  type Share,
} from '../placement/shapes.js';
import { QuotaShares } from '../placement/quota-shares.js';
import { servicePartition } from '../state/partition-names.js';
import type { ConfigDoc } from './config-shapes.js';
import type { ControlEffect, OrderResult } from './control-effect.js';
import { IntentDispatcher } from './intent-dispatcher.js';
import { PolledRunners } from './polled-runners.js';

/** What placement by the policy table needs of the control node that leads. */
export interface TableHost {
  /** Adds an effect that the process carries out. */
  addEffect(effect: ControlEffect): void;
  /** Writes a partition of the replicated state. */
  write(now: Moment, partition: PartitionName, body: string): void;
  /** Publishes the placements as text, numbered by a count within the leader's epoch. */
  publish(count: number, text: string): void;
  /** Whether orders may be sent to runners at this moment. */
  mayOrder(now: Moment): boolean;
  /** The number of proxies by which the limits of rows are divided. */
  proxyCount(now: Moment): number;
}

const EMPTY_CATALOG: Catalog = { limit: 0, models: [], adapters: [] };
/** Interval between plans. */
const PLAN_INTERVAL_MS = 250;
/** Interval between polls of the weight store's catalog. */
const CATALOG_POLL_INTERVAL_MS = 5000;
/** Interval between polls while no catalog is known. */
const FIRST_CATALOG_POLL_INTERVAL_MS = 500;
/** Quota shares follow demand, which proxies report once a second: a shorter interval would only cause more updates. */
const SHARES_INTERVAL_MS = 1000;
const NEVER = moment(-1e12);

/** The leader's placement by the policy table: reports come in, plans are stored, orders and placements go out. */
export class TableManager {
  readonly #host: TableHost;
  readonly #placer: Placer;
  readonly #runners: PolledRunners;
  readonly #intents: IntentDispatcher;
  readonly #shares = new QuotaShares();
  #catalog: Catalog = EMPTY_CATALOG;
  /** Whether the catalog was read since this node became the leader; an older one may be outdated. */
  #isCatalogCurrent = false;
  #publishedShares: readonly Share[] = [];
  #sharesPublishedAt: Moment = NEVER;
  #plannedAt: Moment = NEVER;
  #catalogPolledAt: Moment = NEVER;
  #placesText = '';
  #placesCount = 0;

  /** Runners are polled every `reportMs` milliseconds. */
  constructor(host: TableHost, settings: PlacerSettings, me: string, reportMs: number) {
    this.#host = host;
    this.#placer = new Placer(settings, me);
    this.#runners = new PolledRunners(reportMs);
    this.#intents = new IntentDispatcher(this.#placer, (effect) => host.addEffect(effect));
  }

  /** The platform's newest list of machines. */
  get machines(): Machines {
    return this.#runners.machines;
  }

  /** Orders sent since the start of the process, repeated ones included. */
  get ordersSent(): number {
    return this.#intents.sentCount;
  }

  /** Whether some order has no known outcome: it may still be in flight. */
  get hasOpenOrders(): boolean {
    return this.#intents.hasOpenOrders;
  }

  /** The placements and intents as stored. */
  docs(): readonly ServiceDoc[] {
    return this.#placer.docs();
  }

  /** The platform's list of machines arrived; returns whether it was newer than the known one and is in use now. */
  onMachineList(machines: Machines): boolean {
    return this.#runners.onMachineList(machines);
  }

  /** The weight store's catalog was read. */
  onCatalog(catalog: Catalog): void {
    this.#catalog = catalog;
    this.#isCatalogCurrent = true;
  }

  /** A proxy reported its demand, as JSON; what is malformed is ignored. */
  onDemand(now: Moment, body: string): void {
    const report = parseAs(DemandReportShape, body);
    if (report) this.#shares.add(now, report);
    for (const unit of report?.units ?? []) {
      this.#placer.demand.add(now, `${unit.model}\n${unit.adapter}`, unit.count);
    }
  }

  /** A poll of a runner that began at `requestedAt` ended; `report` is undefined if it returned none. */
  onReport(now: Moment, id: string, requestedAt: Moment, report: RunnerReport | undefined): void {
    this.#runners.onReport(now, id, requestedAt, report);
  }

  /** An order ended. */
  onOrderOutcome(now: Moment, intent: string, outcome: OrderResult | 'turnedAway'): void {
    this.#intents.onOrderOutcome(now, intent, outcome);
  }

  /** The intents of these services are stored at a majority: they may be sent. */
  onCommitted(docs: readonly ServiceDoc[]): void {
    this.#intents.onCommitted(docs);
  }

  /** This node became the leader, with the stored services; `label` is the prefix of the ids of the intents that it decides. */
  beginLeading(now: Moment, docs: readonly ServiceDoc[], label: string): void {
    this.#catalogPolledAt = NEVER;
    this.#placer.restore(docs, label);
    this.#intents.beginLeading(label);
    this.#intents.onCommitted(docs);
    this.#runners.beginLeading(now);
    this.#placesCount = 0;
  }

  /** This node no longer leads. */
  endLeading(): void {
    this.#isCatalogCurrent = false;
    this.#intents.endLeading();
    this.#placesText = '';
  }

  /** Polls and plans if due; `mayPlan` is false while the table itself is being recovered. */
  tick(now: Moment, doc: ConfigDoc, mayPlan: boolean): void {
    this.#pollCatalog(now);
    this.#runners.poll(now, (effect) => this.#host.addEffect(effect));
    if (now < later(this.#plannedAt, PLAN_INTERVAL_MS)) return;
    this.#plannedAt = now;
    if (mayPlan) this.#plan(now, doc);
  }

  /** The fleet as the placer sees it, for checking a table against it. */
  fleet(now: Moment, doc: ConfigDoc): object {
    const { runners, catalog, evacuatedZones: emptied, table } = this.#planInput(now, doc);
    const views = [];
    for (const { machine, report, isReachable } of runners) {
      views.push({ machine, report: report ?? null, isReachable });
    }
    const demand = [];
    for (const unit of this.#placer.demand.units()) {
      demand.push({ unit, rate: this.#placer.demand.rate(now, unit) });
    }
    const { number } = doc;
    return { number, table, emptied, catalog, docs: this.docs(), runners: views, demand };
  }

  /** The table with its current placements: which runners serve, which models wait and why, and the demand. */
  live(now: Moment, doc: ConfigDoc): LiveTable {
    const input = this.#planInput(now, doc);
    const rows = [];
    for (const row of input.table.rows) {
      const { weight, take } = row;
      rows.push({ row: rowKey(row), weight, take, rate: this.#shares.rate(now, rowKey(row)) });
    }
    const models = this.#placer.liveModels(now, input);
    const underWay = this.docs().flatMap((service) => service.intents).length;
    return { number: doc.number, emptied: input.evacuatedZones.slice(), underWay, rows, models };
  }

  #pollCatalog(now: Moment): void {
    const isKnown = this.#catalog.models.length > 0;
    const intervalMs = isKnown ? CATALOG_POLL_INTERVAL_MS : FIRST_CATALOG_POLL_INTERVAL_MS;
    if (now < later(this.#catalogPolledAt, intervalMs)) return;
    this.#catalogPolledAt = now;
    this.#host.addEffect({ do: 'askCatalog' });
  }

  #planInput(now: Moment, doc: ConfigDoc): PlanInput {
    const runners = this.#runners.views(now);
    return { table: doc.table, catalog: this.#catalog, runners, evacuatedZones: doc.emptied };
  }

  #plan(now: Moment, doc: ConfigDoc): void {
    if (!this.#runners.isInformed(now) || this.#catalog.models.length === 0) return;
    const input = this.#planInput(now, doc);
    this.#writeServices(now, this.#placer.plan(now, input));
    if (this.#host.mayOrder(now)) this.#intents.dispatch(now, input, this.#isCatalogCurrent);
    this.#publishPlaces(now, input);
  }

  /** Writes the partitions of the models that changed. */
  #writeServices(now: Moment, models: Iterable<string>): void {
    const partitions = new Set<PartitionName>();
    for (const model of models) partitions.add(servicePartition(model));
    for (const partition of partitions) {
      const services = this.docs().filter(({ model }) => servicePartition(model) === partition);
      this.#host.write(now, partition, JSON.stringify({ services }));
    }
  }

  #publishPlaces(now: Moment, input: PlanInput): void {
    const places = this.#placer.places(input);
    this.#updateShares(now, input);
    const flows = this.#host.proxyCount(now);
    const text = JSON.stringify({ ...places, flows, shares: this.#publishedShares });
    if (text === this.#placesText) return;
    this.#placesText = text;
    this.#placesCount += 1;
    this.#host.publish(this.#placesCount, text);
  }

  #updateShares(now: Moment, { table }: PlanInput): void {
    if (now < later(this.#sharesPublishedAt, SHARES_INTERVAL_MS)) return;
    this.#sharesPublishedAt = now;
    this.#publishedShares = this.#shares.allocate(now, table.rows.map(takeOf));
  }
}

function takeOf(row: Row): { readonly key: string; readonly take: number } {
  return { key: rowKey(row), take: row.take };
}

import { rowKey, type Row } from '../policy/table.js';
import { later, moment, type Moment, type PartitionName } from '../common/ids.js';
import { parseAs } from '../common/json.js';
import type { Live } from '../placement/live.js';
import { Placer } from '../placement/placer.js';
import type { PlacerSettings, PlanInput, RunnerView } from '../placement/placer-types.js';
import {
  DemandShape,
  type Catalog,
  type Intent,
  type Machines,
  type RunnerReport,
  type ServiceDoc,
  type Share,
} from '../placement/shapes.js';
import { QuotaShares } from '../placement/quota-shares.js';
import { servicePartition } from '../state/partition-names.js';
import type { ConfigDoc } from './config-shapes.js';
import type { ControlEffect, OrderResult } from './control-effect.js';

/** What placement by the table needs of the control node that leads. */
export interface TableHost {
  addEffect(effect: ControlEffect): void;
  write(now: Moment, partition: PartitionName, body: string): void;
  /** The places as text, by a count within the leader's epoch. */
  publish(count: number, text: string): void;
  mayOrder(now: Moment): boolean;
  /** How many proxies share the takes of rows. */
  proxyCount(): number;
}

interface Runner {
  report: RunnerReport | undefined;
  askedAt: Moment;
  askSentAt: Moment;
  seenAt: Moment;
  isReachable: boolean;
  isKnown: boolean;
}

interface SentOrder {
  readonly sentAt: Moment;
  readonly state: 'sent' | 'taken' | 'unsure';
  readonly wasUnsure: boolean;
}

const EMPTY_CATALOG: Catalog = { limit: 0, models: [], adapters: [] };
const ORDER_RETRY_INTERVAL_MS = 2000;
const PLAN_INTERVAL_MS = 250;
/** The catalog is asked for again after so long; sooner while none is known. */
const CATALOG_POLL_INTERVAL_MS = 5000;
const FIRST_CATALOG_POLL_INTERVAL_MS = 500;
const SHARES_INTERVAL_MS = 1000;
const RUNNER_UNREACHABLE_MS = 4000;
const NEVER = moment(-1e12);

/** The leader's placement by the operators' own table: reports in, plans written down, orders and places out. */
export class TableManager {
  readonly #host: TableHost;
  readonly #placer: Placer;
  readonly #reportMs: number;
  readonly #runners = new Map<string, Runner>();
  readonly #shares = new QuotaShares();
  readonly #sent = new Map<string, SentOrder>();
  readonly #committedIntents = new Set<string>();
  #machines: Machines = { revision: 0, machines: [] };
  #catalog: Catalog = EMPTY_CATALOG;
  /** Whether it was told in this reign; else it may be old news. */
  #isCatalogCurrent = false;
  #publishedShares: readonly Share[] = [];
  #sharesPublishedAt: Moment = NEVER;
  #mayOrderSince: Moment = NEVER;
  #servingSince: Moment = NEVER;
  #plannedAt: Moment = NEVER;
  #catalogPolledAt: Moment = NEVER;
  #intentLabel = '';
  #placesText = '';
  #placesCount = 0;
  #ordersSent = 0;

  constructor(host: TableHost, settings: PlacerSettings, me: string, reportMs: number) {
    this.#host = host;
    this.#placer = new Placer(settings, me);
    this.#reportMs = reportMs;
  }

  get machines(): Machines {
    return this.#machines;
  }

  get ordersSent(): number {
    return this.#ordersSent;
  }

  /** Whether the outcome of some order is open: it may still be under way. */
  get hasOpenOrders(): boolean {
    for (const order of this.#sent.values()) if (order.state !== 'taken') return true;
    return false;
  }

  docs(): readonly ServiceDoc[] {
    return this.#placer.docs();
  }

  /** Takes a list of machines if it is newer than ours; says whether it was. */
  onMachineList(machines: Machines): boolean {
    if (machines.revision <= this.#machines.revision) return false;
    // A platform that has lost its machines says nothing of ours: only a list that names some replaces one that did.
    if (machines.machines.length === 0 && this.#machines.machines.length > 0) return false;
    this.#machines = machines;
    const ids = new Set<string>();
    for (const machine of machines.machines) {
      ids.add(machine.id);
      if (!this.#runners.has(machine.id)) {
        this.#runners.set(machine.id, newRunner(machine.service !== ''));
      }
    }
    for (const id of this.#runners.keys()) if (!ids.has(id)) this.#runners.delete(id);
    return true;
  }

  onCatalog(catalog: Catalog): void {
    this.#catalog = catalog;
    this.#isCatalogCurrent = true;
  }

  onDemand(now: Moment, body: string): void {
    const report = parseAs(DemandShape, body);
    if (report) this.#shares.add(now, report);
    for (const unit of report?.units ?? []) {
      this.#placer.demand.add(now, `${unit.model}\n${unit.adapter}`, unit.count);
    }
  }

  onReport(now: Moment, id: string, askedAt: Moment, report: RunnerReport | undefined): void {
    const runner = this.#runners.get(id);
    if (!runner || askedAt < runner.askedAt) return;
    runner.isKnown = true;
    runner.isReachable = report !== undefined;
    if (!report) return;
    runner.report = report;
    runner.askedAt = askedAt;
    runner.seenAt = now;
  }

  onOrderOutcome(now: Moment, intent: string, outcome: OrderResult | 'turnedAway'): void {
    const sent = this.#sent.get(intent);
    if (outcome === 'taken') {
      this.#placer.orderTaken(now, intent);
      this.#sent.set(intent, { sentAt: now, state: 'taken', wasUnsure: true });
    } else if (outcome === 'turnedAway') {
      this.#placer.orderTurnedAway(intent);
    } else if (sent && sent.state !== 'taken') {
      // Never written, it is as if it had not been sent; one whose fate was open before stays open.
      if (outcome === 'unsent' && !sent.wasUnsure) this.#sent.delete(intent);
      else {
        const sentAt = outcome === 'unsent' ? NEVER : now;
        this.#sent.set(intent, { sentAt, state: 'unsure', wasUnsure: true });
      }
    }
  }

  /** Intents that are on a majority: they may be ordered. */
  onCommitted(docs: readonly ServiceDoc[]): void {
    for (const doc of docs) for (const intent of doc.intents) this.#committedIntents.add(intent.id);
  }

  /** Begins a reign from what the parts hold; `label` marks the intents decided in it. */
  beginLeading(now: Moment, docs: readonly ServiceDoc[], label: string): void {
    this.#intentLabel = label;
    this.#mayOrderSince = NEVER;
    this.#catalogPolledAt = NEVER;
    this.#servingSince = now;
    this.#placer.restore(docs, label);
    this.onCommitted(docs);
    for (const machine of this.#machines.machines) {
      const runner = this.#runners.get(machine.id);
      if (!runner) continue;
      runner.isKnown = machine.service !== '';
      runner.seenAt = now;
    }
    this.#placesCount = 0;
  }

  endLeading(): void {
    this.#isCatalogCurrent = false;
    this.#sent.clear();
    this.#committedIntents.clear();
    this.#placesText = '';
  }

  /** `mayPlan` is unset while the table itself is being recovered. */
  tick(now: Moment, doc: ConfigDoc, mayPlan: boolean): void {
    const catalogMs =
      this.#catalog.models.length === 0 ? FIRST_CATALOG_POLL_INTERVAL_MS : CATALOG_POLL_INTERVAL_MS;
    if (now >= later(this.#catalogPolledAt, catalogMs)) {
      this.#catalogPolledAt = now;
      this.#host.addEffect({ do: 'askCatalog' });
    }
    this.#pollReports(now);
    if (now < later(this.#plannedAt, PLAN_INTERVAL_MS)) return;
    this.#plannedAt = now;
    if (mayPlan) this.#plan(now, doc);
  }

  #pollReports(now: Moment): void {
    for (const machine of this.#machines.machines) {
      const runner = this.#runners.get(machine.id);
      if (!runner || machine.service !== '') continue;
      if (now < later(runner.askSentAt, this.#reportMs)) continue;
      runner.askSentAt = now;
      this.#host.addEffect({ do: 'askReport', runner: machine.id, address: machine.address });
    }
  }

  #planInput(now: Moment, doc: ConfigDoc): PlanInput {
    const runners: RunnerView[] = [];
    for (const machine of this.#machines.machines) {
      const runner = this.#runners.get(machine.id);
      if (!runner) continue;
      const { report, askedAt, isReachable, seenAt } = runner;
      const isLost = !isReachable && now - seenAt > RUNNER_UNREACHABLE_MS;
      runners.push({ machine, report, requestedAt: askedAt, isReachable, isUnreachable: isLost });
    }
    return { table: doc.table, catalog: this.#catalog, runners, evacuatedZones: doc.emptied };
  }

  #plan(now: Moment, doc: ConfigDoc): void {
    // A new leader plans only once it has heard from the runners, or it would take all their seats away.
    const isInformed =
      [...this.#runners.values()].every(isHeard) ||
      now - this.#servingSince > RUNNER_UNREACHABLE_MS;
    if (!isInformed || this.#catalog.models.length === 0) return;
    const input = this.#planInput(now, doc);
    const changed = this.#placer.plan(now, input);
    const partitions = new Set<PartitionName>();
    for (const model of changed) partitions.add(servicePartition(model));
    for (const partition of partitions) {
      const services = this.#placer
        .docs()
        .filter((doc) => servicePartition(doc.model) === partition);
      this.#host.write(now, partition, JSON.stringify({ services }));
    }
    this.#orderIntents(now, input);
    this.#publishPlaces(now, input);
  }

  /** Bound once: it is asked for every intent at every plan. */
  readonly #isSentOrder = (intent: string) => this.#hasSent(intent);

  #hasSent(intent: string): boolean {
    return this.#sent.has(intent);
  }

  #orderIntents(now: Moment, input: PlanInput): void {
    if (!this.#host.mayOrder(now)) return;
    if (this.#mayOrderSince === NEVER) this.#mayOrderSince = now;
    const open = new Set<string>();
    for (const doc of this.#placer.docs()) {
      for (const intent of doc.intents) {
        open.add(intent.id);
        this.#orderIntent(now, input, intent);
      }
    }
    for (const id of this.#sent.keys()) if (!open.has(id)) this.#sent.delete(id);
    for (const id of this.#committedIntents) if (!open.has(id)) this.#committedIntents.delete(id);
  }

  #orderIntent(now: Moment, input: PlanInput, intent: Intent): void {
    const sent = this.#sent.get(intent.id);
    // Only what is kept is ordered, and what was taken is never ordered twice.
    if (!this.#committedIntents.has(intent.id) || sent?.state === 'taken') return;
    if (sent && now < later(sent.sentAt, ORDER_RETRY_INTERVAL_MS)) return;
    const view = input.runners.find((view) => view.machine.id === intent.runner);
    if (!view?.isReachable || view.report?.boot !== intent.boot) return;
    if (!this.#placer.mayStillOrder(intent, input, this.#isSentOrder)) {
      // Not sent by us: decided in this epoch it was sent by nobody; of an older one the runner would have shown it
      // in a report asked for since we may order, which is long after anybody else could.
      const isOurs = intent.id.startsWith(`${this.#intentLabel}.`);
      const wasNeverTaken = isOurs || view.requestedAt > this.#mayOrderSince;
      if (!sent && wasNeverTaken) this.#placer.orderTurnedAway(intent.id);
      return;
    }
    // Until the weight store has told us its limit, we do not know how much may be fetched.
    if (intent.verb === 'load' && !this.#isCatalogCurrent) return;
    const wasUnsure = sent?.wasUnsure ?? false;
    this.#sent.set(intent.id, { sentAt: now, state: 'sent', wasUnsure });
    this.#ordersSent += 1;
    this.#host.addEffect({ do: 'order', intent, address: view.machine.address });
  }

  #publishPlaces(now: Moment, input: PlanInput): void {
    const places = this.#placer.places(input);
    // Shares follow demand, which is told once a second: more often they would only be more news.
    if (now >= later(this.#sharesPublishedAt, SHARES_INTERVAL_MS)) {
      this.#sharesPublishedAt = now;
      this.#publishedShares = this.#shares.list(now, input.table.rows.map(takeOf));
    }
    const flows = this.#host.proxyCount();
    const text = JSON.stringify({ ...places, flows, shares: this.#publishedShares });
    if (text === this.#placesText) return;
    this.#placesText = text;
    this.#placesCount += 1;
    this.#host.publish(this.#placesCount, text);
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

  /** The table with its places beside it: who serves, who waits for what, and what is asked for. */
  live(now: Moment, doc: ConfigDoc): Live {
    const input = this.#planInput(now, doc);
    const rows = [];
    for (const row of input.table.rows) {
      const { weight, take } = row;
      rows.push({ row: rowKey(row), weight, take, rate: this.#shares.rate(now, rowKey(row)) });
    }
    const models = this.#placer.live(now, input);
    const underWay = this.docs().flatMap(intentsOf).length;
    return { number: doc.number, emptied: input.evacuatedZones.slice(), underWay, rows, models };
  }
}

function newRunner(isKnown: boolean): Runner {
  return {
    report: undefined,
    askedAt: NEVER,
    askSentAt: NEVER,
    seenAt: NEVER,
    isReachable: false,
    isKnown,
  };
}

function takeOf(row: Row): { readonly key: string; readonly take: number } {
  return { key: rowKey(row), take: row.take };
}

function isHeard(runner: Runner): boolean {
  return runner.isKnown;
}

function intentsOf(doc: ServiceDoc): readonly Intent[] {
  return doc.intents;
}

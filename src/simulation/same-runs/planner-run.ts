import { moment, type Moment } from '../../common/ids.js';
import type { ListedRunner, RunnerStatus } from '../../placement/fleet.js';
import { Planner, type OrderOutcome } from '../../placement/planner.js';
import type { Intent, ServiceDoc } from '../../placement/shapes.js';
import { SeededRandom } from '../../rehearsal/seeded-random.js';
import type { Routing } from '../../route/routing.js';
import { DrawnDemand } from './drawn-demand.js';
import { drawRouting, modelName, ZONES } from './drawn-routing.js';
import { DrawnRunner } from './drawn-runner.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

const STEPS = 1500;
const STEP_MS = 10;
const LIST_INTERVAL_MS = 700;
const LIST_LAG_MS = 800;
const DEMAND_INTERVAL_MS = 60;
const STORE_DELAY_MS = 5;
const MAX_ORDER_DELAY_MS = 40;
const MAX_REPORT_DELAY_MS = 120;
/** The maximum delay of an order that was delayed on the network. */
const MAX_LATE_DELIVERY_MS = 3000;
const COLD_MS = 3000;
const START_MS = 1000;
const MAX_MODELS = 12;
const MAX_RUNNERS = 12;
/** Share of orders that runners refuse for a reason unknown to the planner. */
const REFUSED_SHARE = 0.01;
const NAME = 'planner';

/** A message to the planner or to a runner, delivered at a time. */
type Pending = { readonly at: number; readonly planner: Planner } & (
  | { readonly to: 'documents'; readonly ids: readonly string[] }
  | { readonly to: 'runner'; readonly intent: Intent; readonly isLate: boolean }
  | { readonly to: 'order'; readonly id: string; readonly outcome: OrderOutcome }
  | {
      readonly to: 'report';
      readonly runner: string;
      readonly askedAt: Moment;
      readonly status: RunnerStatus | undefined;
    }
);

/** A planner alone with random demand, runners, lost orders, configuration changes and leader changes. */
class PlannerRun {
  readonly #random: SeededRandom;
  readonly #digest: TraceDigest;
  readonly #modelCount: number;
  readonly #demand: DrawnDemand;
  readonly #runners = new Map<string, DrawnRunner>();
  readonly #countsNoOps: boolean;
  /** Share of orders whose outcome remains unknown to the planner. */
  readonly #unclearShare: number;
  /** The stored documents, with which a new leader starts. */
  readonly #stored = new Map<string, ServiceDoc>();
  #lists: { readonly at: number; readonly list: readonly ListedRunner[] }[] = [];
  #pending: Pending[] = [];
  #planner = new Planner({ lagMs: LIST_LAG_MS });
  #routing: Routing;
  #evacuated: readonly string[] = [];
  #proxyCount = 2;
  #now = START_MS;
  #listAt = START_MS;
  #demandAt = START_MS;
  #leaderCount = 0;
  #runnerCount = 0;
  #fleetText = '';

  constructor(seed: number, digest: TraceDigest) {
    const random = new SeededRandom(seed);
    this.#random = random;
    this.#digest = digest;
    this.#modelCount = 3 + random.below(MAX_MODELS - 2);
    this.#demand = new DrawnDemand(random, this.#modelCount);
    this.#countsNoOps = random.isLikely(0.5);
    this.#unclearShare = random.isLikely(0.5) ? 0 : 0.1;
    this.#routing = drawRouting(random, 1, this.#modelCount);
    const runners = 3 + random.below(MAX_RUNNERS - 4);
    for (let count = 0; count < runners; count += 1) this.#addRunner();
    if (random.isLikely(0.7)) this.#loadInitialModels();
    this.#startLeader();
  }

  run(): void {
    for (let step = 0; step < STEPS; step += 1) {
      this.#now += STEP_MS;
      for (const runner of this.#runners.values()) runner.advance(this.#now);
      this.#injectChanges();
      this.#listRunners();
      this.#reportDemand();
      this.#deliver();
      this.#runPlanningStep();
    }
  }

  get #at(): Moment {
    return moment(this.#now);
  }

  #record(topic: string, values: readonly (string | number | undefined)[]): void {
    this.#digest.record(this.#now, NAME, topic, values);
  }

  // ---- environment

  #addRunner(): void {
    const random = this.#random;
    this.#runnerCount += 1;
    const zone = random.pick(ZONES) ?? '';
    const slots = 8 + random.below(32);
    const runner = new DrawnRunner(`r${this.#runnerCount}`, zone, slots, this.#countsNoOps);
    if (random.isLikely(0.5)) runner.coldUntil = this.#now + COLD_MS;
    this.#runners.set(runner.id, runner);
  }

  /** Loads one model into each runner, which fits into any memory capacity. */
  #loadInitialModels(): void {
    for (const runner of this.#runners.values()) {
      runner.addModel(modelName(this.#random.below(this.#modelCount)));
    }
  }

  /** Starts the planner of a new leader from the stored documents. */
  #startLeader(): void {
    this.#leaderCount += 1;
    this.#planner = new Planner({ lagMs: LIST_LAG_MS });
    this.#planner.restore(this.#at, [...this.#stored.values()], `l${this.#leaderCount}`);
    const ids: string[] = [];
    for (const { intents } of this.#stored.values()) for (const { id } of intents) ids.push(id);
    this.#planner.markPersisted(ids);
    this.#fleetText = '';
  }

  #injectChanges(): void {
    const random = this.#random;
    if (random.isLikely(0.003)) this.#demand.shift();
    if (random.isLikely(0.001)) this.#startLeader();
    if (random.isLikely(0.002)) this.#toggleEvacuation();
    if (random.isLikely(0.001)) this.#reconfigure();
    if (random.isLikely(0.001)) this.#proxyCount = 1 + random.below(6);
    if (random.isLikely(0.004)) this.#changeRunners();
  }

  #toggleEvacuation(): void {
    const zone = this.#random.pick(ZONES) ?? '';
    this.#evacuated = this.#evacuated.length > 0 ? [] : [zone];
  }

  #reconfigure(): void {
    const models = Math.max(2, this.#modelCount - this.#random.below(3));
    const routing = drawRouting(this.#random, this.#routing.version + 1, models);
    const isServiceRemoved = this.#random.isLikely(0.2);
    this.#routing = isServiceRemoved
      ? { ...routing, services: routing.services.slice(1) }
      : routing;
  }

  #changeRunners(): void {
    const random = this.#random;
    const runner = random.pick([...this.#runners.values()]);
    const draw = random.next();
    if (!runner || draw < 0.25) {
      if (this.#runners.size < MAX_RUNNERS) this.#addRunner();
    } else if (draw < 0.5) runner.isLeaving = true;
    else if (draw < 0.75) runner.isUnreachable = !runner.isUnreachable;
    else if (this.#runners.size > 2) this.#runners.delete(runner.id);
  }

  #listRunners(): void {
    if (this.#now < this.#listAt) return;
    this.#listAt = this.#now + LIST_INTERVAL_MS;
    const list: ListedRunner[] = [];
    for (const runner of this.#runners.values()) list.push(runner.listed(this.#now));
    this.#lists.push({ at: this.#now, list });
    // The platform's list lags behind; the newest list that is old enough is visible.
    let visible = this.#lists[0];
    for (const candidate of this.#lists)
      if (candidate.at <= this.#now - LIST_LAG_MS) visible = candidate;
    if (visible) this.#planner.onRunnerList(this.#at, visible.list);
  }

  #reportDemand(): void {
    if (this.#now < this.#demandAt) return;
    this.#demandAt = this.#now + DEMAND_INTERVAL_MS;
    const flow = `f${1 + this.#random.below(this.#proxyCount)}`;
    this.#planner.onDemand(this.#at, this.#demand.report(flow, this.#runners.values()));
  }

  // ---- message delivery

  #deliver(): void {
    const due = this.#pending.filter(isDue, this.#now);
    this.#pending = this.#pending.filter(isNotDue, this.#now);
    for (const pending of due) {
      if (pending.to === 'runner')
        this.#deliverOrder(pending.planner, pending.intent, pending.isLate);
      else if (pending.planner === this.#planner) this.#notifyPlanner(pending);
    }
  }

  #notifyPlanner(pending: Exclude<Pending, { readonly to: 'runner' }>): void {
    switch (pending.to) {
      case 'documents':
        this.#planner.markPersisted(pending.ids);
        break;
      case 'order':
        this.#planner.onOrderOutcome(this.#at, pending.id, pending.outcome);
        break;
      case 'report':
        this.#planner.onRunnerStatus(this.#at, pending.runner, pending.askedAt, pending.status);
        break;
    }
  }

  /**
   * Delivers an order to its runner. Some orders are delayed for long; of some that arrive, the answer is lost.
   */
  #deliverOrder(planner: Planner, intent: Intent, isLate: boolean): void {
    const random = this.#random;
    const runner = this.#runners.get(intent.runner);
    const isLost = !isLate && random.isLikely(this.#unclearShare);
    if (isLost && random.isLikely(0.5)) {
      const at = this.#now + random.between(0, MAX_LATE_DELIVERY_MS);
      this.#pending.push({ at, planner, to: 'runner', intent, isLate: true });
      this.#reportOutcome(planner, intent.id, 'unsure');
      return;
    }
    const isRefused = random.isLikely(REFUSED_SHARE);
    const outcome = isRefused ? 'refused' : outcomeOf(this.#now, runner, intent);
    if (!isLate) this.#reportOutcome(planner, intent.id, isLost ? 'unsure' : outcome);
  }

  #reportOutcome(planner: Planner, id: string, outcome: OrderOutcome): void {
    const at = this.#now + this.#random.between(0, MAX_ORDER_DELAY_MS);
    this.#pending.push({ at, planner, to: 'order', id, outcome });
  }

  // ---- the planner

  #runPlanningStep(): void {
    const planner = this.#planner;
    const input = {
      routing: this.#routing,
      evacuatedZones: this.#evacuated,
      proxies: this.#proxyCount,
    };
    const changed = planner.plan(this.#at, input);
    if (changed.length > 0) this.#storeDocuments(changed);
    for (const intent of planner.takeDueOrders(this.#at)) this.#sendOrder(intent);
    for (const id of planner.takeDueReportRequests(this.#at)) this.#requestReport(id);
    this.#recordFleet();
    const next = planner.nextPlanAt(this.#at);
    if (next !== undefined) this.#record('next', [next]);
  }

  /** Documents are stored as JSON: their names are part of the format on disk. */
  #storeDocuments(changed: readonly string[]): void {
    const ids: string[] = [];
    for (const doc of this.#planner.docs()) {
      if (!changed.includes(doc.model)) continue;
      this.#record('document', [JSON.stringify(doc)]);
      this.#stored.set(doc.model, doc);
      for (const { id } of doc.intents) ids.push(id);
    }
    const at = this.#now + STORE_DELAY_MS;
    this.#pending.push({ at, planner: this.#planner, to: 'documents', ids });
  }

  #sendOrder(intent: Intent): void {
    const { id, runner, boot, verb, model, adapter, size, count } = intent;
    this.#record('order', [id, runner, boot, verb, model, adapter, size, count]);
    const at = this.#now + this.#random.between(0, MAX_ORDER_DELAY_MS);
    this.#pending.push({ at, planner: this.#planner, to: 'runner', intent, isLate: false });
  }

  #requestReport(runner: string): void {
    this.#record('ask', [runner]);
    const known = this.#runners.get(runner);
    const status = known && !known.isUnreachable ? known.status() : undefined;
    const at = this.#now + this.#random.between(0, MAX_REPORT_DELAY_MS);
    const report = { runner, askedAt: this.#at, status };
    this.#pending.push({ at, planner: this.#planner, to: 'report', ...report });
  }

  /** The fleet is published as JSON: its names are part of the wire format. */
  #recordFleet(): void {
    const text = JSON.stringify(this.#planner.fleet(this.#at));
    if (text === this.#fleetText) return;
    this.#fleetText = text;
    this.#record('fleet', [text]);
  }
}

function outcomeOf(now: number, runner: DrawnRunner | undefined, intent: Intent): OrderOutcome {
  if (!runner) return 'unsent';
  return runner.isUnreachable ? 'unsure' : runner.receiveOrder(now, intent);
}

function isDue(this: number, pending: Pending): boolean {
  return pending.at <= this;
}

function isNotDue(this: number, pending: Pending): boolean {
  return pending.at > this;
}

/** Runs a planner for a seed and returns the digest of everything it does. */
export function runPlanner(seed: number, log?: TraceLog): string {
  const digest = new TraceDigest(log);
  new PlannerRun(seed, digest).run();
  return digest.finish();
}

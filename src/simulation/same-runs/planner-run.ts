import { moment, type Moment } from '../../common/ids.js';
import type { ListedRunner, RunnerStatus } from '../../placement/fleet.js';
import { Planner, type OrderOutcome } from '../../placement/planner.js';
import type { Intent, ServiceDoc } from '../../placement/shapes.js';
import { Seeded } from '../../rehearsal/seeded.js';
import type { Routing } from '../../route/routing.js';
import { DrawnDemand } from './drawn-demand.js';
import { drawRouting, modelName, ZONES } from './drawn-routing.js';
import { DrawnRunner } from './drawn-runner.js';
import { TraceDigest, type TraceLog } from './trace-digest.js';

const STEPS = 1500;
const STEP_MS = 10;
const LIST_MS = 700;
const LIST_LAG_MS = 800;
const DEMAND_MS = 60;
const STORE_MS = 5;
const MOST_ORDER_MS = 40;
const MOST_REPORT_MS = 120;
/** An order that was held up on its way arrives so late, at most. */
const MOST_LATE_MS = 3000;
const COLD_MS = 3000;
const FIRST_MS = 1000;
const MOST_MODELS = 12;
const MOST_RUNNERS = 12;
/** Runners refuse orders now and then for reasons of their own. */
const REFUSED_SHARE = 0.01;
const NAME = 'planner';

/** What is on its way to the planner, or to a runner, until a moment. */
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

/** A planner alone with drawn demand, runners, lost orders, changes of configuration and of leader. */
class PlannerRun {
  readonly #random: Seeded;
  readonly #digest: TraceDigest;
  readonly #models: number;
  readonly #demand: DrawnDemand;
  readonly #runners = new Map<string, DrawnRunner>();
  readonly #countsHeld: boolean;
  /** Share of orders whose outcome stays unclear. */
  readonly #unsure: number;
  /** Documents that are stored, as a new leader finds them. */
  readonly #stored = new Map<string, ServiceDoc>();
  #lists: { readonly at: number; readonly list: readonly ListedRunner[] }[] = [];
  #pending: Pending[] = [];
  #planner = new Planner({ lagMs: LIST_LAG_MS });
  #routing: Routing;
  #evacuated: readonly string[] = [];
  #flows = 2;
  #now = FIRST_MS;
  #listAt = FIRST_MS;
  #demandAt = FIRST_MS;
  #leaders = 0;
  #runnerCount = 0;
  #fleetText = '';

  constructor(seed: number, digest: TraceDigest) {
    const random = new Seeded(seed);
    this.#random = random;
    this.#digest = digest;
    this.#models = 3 + random.below(MOST_MODELS - 2);
    this.#demand = new DrawnDemand(random, this.#models);
    this.#countsHeld = random.isLikely(0.5);
    this.#unsure = random.isLikely(0.5) ? 0 : 0.1;
    this.#routing = drawRouting(random, 1, this.#models);
    const runners = 3 + random.below(MOST_RUNNERS - 4);
    for (let count = 0; count < runners; count += 1) this.#addRunner();
    if (random.isLikely(0.7)) this.#loadFirst();
    this.#lead();
  }

  run(): void {
    for (let step = 0; step < STEPS; step += 1) {
      this.#now += STEP_MS;
      for (const runner of this.#runners.values()) runner.step(this.#now);
      this.#disturb();
      this.#list();
      this.#tellDemand();
      this.#deliver();
      this.#plan();
    }
  }

  get #at(): Moment {
    return moment(this.#now);
  }

  #record(topic: string, values: readonly (string | number | undefined)[]): void {
    this.#digest.record(this.#now, NAME, topic, values);
  }

  // ---- what happens around it

  #addRunner(): void {
    const random = this.#random;
    this.#runnerCount += 1;
    const zone = random.pick(ZONES) ?? '';
    const slots = 8 + random.below(32);
    const runner = new DrawnRunner(`r${this.#runnerCount}`, zone, slots, this.#countsHeld);
    if (random.isLikely(0.5)) runner.coldUntil = this.#now + COLD_MS;
    this.#runners.set(runner.id, runner);
  }

  /** One model a runner fits into any room. */
  #loadFirst(): void {
    for (const runner of this.#runners.values()) {
      runner.load(modelName(this.#random.below(this.#models)));
    }
  }

  /** A new leader begins from the stored documents. */
  #lead(): void {
    this.#leaders += 1;
    this.#planner = new Planner({ lagMs: LIST_LAG_MS });
    this.#planner.restore(this.#at, [...this.#stored.values()], `l${this.#leaders}`);
    const ids: string[] = [];
    for (const { intents } of this.#stored.values()) for (const { id } of intents) ids.push(id);
    this.#planner.markPersisted(ids);
    this.#fleetText = '';
  }

  #disturb(): void {
    const random = this.#random;
    if (random.isLikely(0.003)) this.#demand.shift();
    if (random.isLikely(0.001)) this.#lead();
    if (random.isLikely(0.002)) this.#evacuate();
    if (random.isLikely(0.001)) this.#reconfigure();
    if (random.isLikely(0.001)) this.#flows = 1 + random.below(6);
    if (random.isLikely(0.004)) this.#disturbRunner();
  }

  #evacuate(): void {
    const zone = this.#random.pick(ZONES) ?? '';
    this.#evacuated = this.#evacuated.length > 0 ? [] : [zone];
  }

  #reconfigure(): void {
    const models = Math.max(2, this.#models - this.#random.below(3));
    const routing = drawRouting(this.#random, this.#routing.version + 1, models);
    const isOut = this.#random.isLikely(0.2);
    this.#routing = isOut ? { ...routing, services: routing.services.slice(1) } : routing;
  }

  #disturbRunner(): void {
    const random = this.#random;
    const runner = random.pick([...this.#runners.values()]);
    const draw = random.next();
    if (!runner || draw < 0.25) {
      if (this.#runners.size < MOST_RUNNERS) this.#addRunner();
    } else if (draw < 0.5) runner.isLeaving = true;
    else if (draw < 0.75) runner.isDark = !runner.isDark;
    else if (this.#runners.size > 2) this.#runners.delete(runner.id);
  }

  #list(): void {
    if (this.#now < this.#listAt) return;
    this.#listAt = this.#now + LIST_MS;
    const list: ListedRunner[] = [];
    for (const runner of this.#runners.values()) list.push(runner.listed(this.#now));
    this.#lists.push({ at: this.#now, list });
    // The platform's list is old; the newest that is old enough counts.
    let told = this.#lists[0];
    for (const one of this.#lists) if (one.at <= this.#now - LIST_LAG_MS) told = one;
    if (told) this.#planner.onRunnerList(this.#at, told.list);
  }

  #tellDemand(): void {
    if (this.#now < this.#demandAt) return;
    this.#demandAt = this.#now + DEMAND_MS;
    const flow = `f${1 + this.#random.below(this.#flows)}`;
    this.#planner.onDemand(this.#at, this.#demand.report(flow, this.#runners.values()));
  }

  // ---- what is on its way

  #deliver(): void {
    const due = this.#pending.filter(isDue, this.#now);
    this.#pending = this.#pending.filter(isNotDue, this.#now);
    for (const pending of due) {
      if (pending.to === 'runner') this.#order(pending.planner, pending.intent, pending.isLate);
      else if (pending.planner === this.#planner) this.#hear(pending);
    }
  }

  #hear(pending: Exclude<Pending, { readonly to: 'runner' }>): void {
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

  /** An order arrives at its runner, is lost with or without effect, or is held up for long. */
  #order(planner: Planner, intent: Intent, isLate: boolean): void {
    const random = this.#random;
    const runner = this.#runners.get(intent.runner);
    const isLost = !isLate && random.isLikely(this.#unsure);
    if (isLost && random.isLikely(0.5)) {
      const at = this.#now + random.between(0, MOST_LATE_MS);
      this.#pending.push({ at, planner, to: 'runner', intent, isLate: true });
      this.#answer(planner, intent.id, 'unsure');
      return;
    }
    const isRefused = random.isLikely(REFUSED_SHARE);
    const outcome = isRefused ? 'refused' : outcomeOf(this.#now, runner, intent);
    if (!isLate) this.#answer(planner, intent.id, isLost ? 'unsure' : outcome);
  }

  #answer(planner: Planner, id: string, outcome: OrderOutcome): void {
    const at = this.#now + this.#random.between(0, MOST_ORDER_MS);
    this.#pending.push({ at, planner, to: 'order', id, outcome });
  }

  // ---- what it does

  #plan(): void {
    const planner = this.#planner;
    const input = { routing: this.#routing, evacuatedZones: this.#evacuated, proxies: this.#flows };
    const changed = planner.plan(this.#at, input);
    if (changed.length > 0) this.#store(changed);
    for (const intent of planner.takeDueOrders(this.#at)) this.#send(intent);
    for (const id of planner.takeDueReportRequests(this.#at)) this.#ask(id);
    this.#recordFleet();
    const next = planner.nextPlanAt(this.#at);
    if (next !== undefined) this.#record('next', [next]);
  }

  /** Documents are stored as JSON: their names are on disk. */
  #store(changed: readonly string[]): void {
    const ids: string[] = [];
    for (const doc of this.#planner.docs()) {
      if (!changed.includes(doc.model)) continue;
      this.#record('document', [JSON.stringify(doc)]);
      this.#stored.set(doc.model, doc);
      for (const { id } of doc.intents) ids.push(id);
    }
    const at = this.#now + STORE_MS;
    this.#pending.push({ at, planner: this.#planner, to: 'documents', ids });
  }

  #send(intent: Intent): void {
    const { id, runner, boot, verb, model, adapter, size, count } = intent;
    this.#record('order', [id, runner, boot, verb, model, adapter, size, count]);
    const at = this.#now + this.#random.between(0, MOST_ORDER_MS);
    this.#pending.push({ at, planner: this.#planner, to: 'runner', intent, isLate: false });
  }

  #ask(runner: string): void {
    this.#record('ask', [runner]);
    const known = this.#runners.get(runner);
    const status = known && !known.isDark ? known.status() : undefined;
    const at = this.#now + this.#random.between(0, MOST_REPORT_MS);
    const report = { runner, askedAt: this.#at, status };
    this.#pending.push({ at, planner: this.#planner, to: 'report', ...report });
  }

  /** The fleet is told as JSON: its names are on the wire. */
  #recordFleet(): void {
    const text = JSON.stringify(this.#planner.fleet(this.#at));
    if (text === this.#fleetText) return;
    this.#fleetText = text;
    this.#record('fleet', [text]);
  }
}

function outcomeOf(now: number, runner: DrawnRunner | undefined, intent: Intent): OrderOutcome {
  if (!runner) return 'unsent';
  return runner.isDark ? 'unsure' : runner.take(now, intent);
}

function isDue(this: number, pending: Pending): boolean {
  return pending.at <= this;
}

function isNotDue(this: number, pending: Pending): boolean {
  return pending.at > this;
}

/** Runs a planner for a seed and digests all that it does. */
export function runPlanner(seed: number, log?: TraceLog): string {
  const digest = new TraceDigest(log);
  new PlannerRun(seed, digest).run();
  return digest.finish();
}

import { parseAs } from '../common/json.js';
import type { Message } from '../common/messages.js';
import { PlacesShape } from '../placement/shapes.js';
import { VOTE_DEFAULTS } from '../election/vote-settings.js';
import { checkHealedFleet } from './final-checks.js';
import { Judge, type Evidence } from './judge.js';
import { Network } from './network.js';
import { ProxyWatch } from './proxy-watch.js';
import type { CallerRecord } from './records.js';
import { RunFindings } from './run-findings.js';
import { Scheduler } from './scheduler.js';
import { SeededRandom } from './seeded-random.js';
import { SimAgent } from './sim-agent.js';
import { SimControl } from './sim-control.js';
import type { SimNode } from './sim-node.js';
import { SimOperators } from './sim-operators.js';
import { SimEnvironment } from './sim-environment.js';
import { LATE_MS, SimProxy } from './sim-proxy.js';
import { FaultInjector } from './fault-injector.js';
import { MAX_LOADS, PLAIN_BACK_ENDS, RUNNER_CAPACITY, RUNNERS, ZONES } from './simulated-fleet.js';
import type { SimulationResult, SimulationSettings } from './simulation-types.js';
import type { Condition } from './fault-kinds.js';

/** How long a run continues without faults: before the first one, and after all were healed; ms. */
const FAULT_FREE_MS = 14_000;
const HEAL_MS = 25_000;
const RESTORE_AFTER_MS = 10_000;
/** The interval at which all proxies are checked, and the time of the first check; ms. */
const CHECK_INTERVAL_MS = 50;
const FIRST_CHECK_MS = 500;
/** A back end counts as cold for this long after its start, ms. */
const COLD_MS = 10_000;
const MODELS = 8;
const MODEL_SIZE = 10;

/** One seeded run of a whole fleet on virtual time: the production cores, under faults drawn from the seed. */
export class Simulation {
  readonly #settings: SimulationSettings;
  readonly #scheduler = new Scheduler();
  readonly #seeded: SeededRandom;
  readonly #network: Network;
  readonly #outside: SimEnvironment;
  readonly #nodes = new Map<string, SimNode>();
  readonly #controlNodes: SimControl[] = [];
  readonly #agents: SimAgent[] = [];
  readonly #proxies: SimProxy[] = [];
  readonly #calls: CallerRecord[] = [];
  readonly #findings: RunFindings;
  readonly #operators: SimOperators;
  readonly #watch: ProxyWatch;
  readonly #faultInjector: FaultInjector;
  #isInjectingFaults = false;
  #leaderlessSince: number | undefined;
  readonly #leaderlessMs: number[] = [];

  constructor(settings: SimulationSettings, trace?: (line: string) => void) {
    this.#settings = settings;
    this.#findings = new RunFindings(this.#scheduler, trace);
    this.#seeded = new SeededRandom(settings.seed);
    this.#network = new Network(
      this.#scheduler,
      this.#seeded,
      (to, from, message) => this.#deliver(to, from, message),
      settings.runTrace,
    );
    this.#outside = this.#makeOutside();
    this.#operators = new SimOperators({
      scheduler: this.#scheduler,
      seeded: this.#seeded,
      controlNodes: this.#controlNodes,
      findings: this.#findings,
      takesUnsureForRefused: settings.mutation === 'unsure-as-no',
    });
    this.#watch = new ProxyWatch(this.#outside, this.#operators, this.#findings);
    const seeds = ['mind-0:1', 'mind-1:1', 'mind-2:1'];
    for (const id of seeds) this.#addControlNode(id, seeds);
    for (let index = 0; index < settings.edges; index += 1) this.#addEdge(index, seeds);
    this.#faultInjector = new FaultInjector({
      scheduler: this.#scheduler,
      seeded: this.#seeded,
      network: this.#network,
      outside: this.#outside,
      nodes: this.#nodes,
      controlNodes: this.#controlNodes,
      agents: this.#agents,
      proxies: this.#proxies,
      findings: this.#findings,
      holds: (condition) => this.#holds(condition),
    });
  }

  #makeOutside(): SimEnvironment {
    const models = [];
    for (let index = 0; index < MODELS; index += 1)
      models.push({ name: `m-${index}`, size: MODEL_SIZE });
    const runners = [];
    for (const [index, id] of RUNNERS.entries())
      runners.push({ id, zone: ZONES[index % 3] ?? 'a', room: RUNNER_CAPACITY });
    const plain = [];
    for (const [i, id] of PLAIN_BACK_ENDS.entries()) plain.push({ id, zone: ZONES[i % 3] ?? 'a' });
    const adapters = [{ name: 'm-0-a', model: 'm-0', size: 1 }];
    return new SimEnvironment(
      this.#scheduler,
      this.#seeded,
      { limit: MAX_LOADS, models, adapters },
      runners,
      plain,
    );
  }

  #addEdge(index: number, seeds: readonly string[]): void {
    const agent = new SimAgent(
      `link-${index}:1`,
      this.#scheduler,
      this.#seeded,
      this.#network,
      seeds,
    );
    const id = `flow@${index}`;
    const proxy = new SimProxy(
      id,
      this.#scheduler,
      this.#seeded,
      this.#network,
      this.#outside,
      agent,
      this.#calls,
      (runner) => this.#onRequestSent(id, runner),
      this.#settings.mutation ?? '',
    );
    this.#agents.push(agent);
    this.#proxies.push(proxy);
    this.#nodes.set(agent.id, agent);
  }

  #holds(condition: Condition): boolean {
    const now = this.#scheduler.now;
    switch (condition) {
      case 'requests open':
        return this.#proxies.some(hasOpenRequests);
      case 'runs under way':
        return this.#outside.backends().some(hasRuns);
      case 'edit in flight':
        return this.#operators.openEdits > 0;
      case 'fetch under way':
        return this.#outside.orders.fetching > 0;
      case 'runner marked':
        return this.#outside.platform.list.some(isMarked);
      case 'zone emptied':
        return this.#operators.evacuated.size > 0;
      case 'back end cold':
        return this.#outside.records.some((record) => isBootSince(now - COLD_MS, record));
      case 'proxy draining':
        return this.#proxies.some(isDraining);
      case 'no holder':
        return this.#leaderlessSince !== undefined;
      case 'link blind':
        return this.#proxies.some(isBlind);
    }
  }

  get controlNodes(): readonly SimControl[] {
    return this.#controlNodes;
  }
  get scheduler(): Scheduler {
    return this.#scheduler;
  }
  get network(): Network {
    return this.#network;
  }

  /** Adds and starts a control node with an empty disk; `seeds` are the current seed addresses. */
  addControlNode(id: string, seeds: readonly string[]): SimControl {
    const controlNode = this.#addControlNode(id, seeds);
    controlNode.start();
    return controlNode;
  }

  kill(controlNode: SimControl): void {
    this.#faultInjector.kill(controlNode);
  }

  /** Starts all nodes now, for tests that drive the scheduler themselves instead of calling `run`. */
  start(): void {
    for (const node of [...this.#controlNodes, ...this.#agents, ...this.#proxies]) node.start();
  }

  /** The control node that may issue orders now, if any. */
  leader(): SimControl | undefined {
    return this.#findLeader();
  }

  /** Marks a runner as leaving in the platform's list, or removes the mark. */
  mark(runner: string, isLeaving: boolean): void {
    this.#outside.platform.mark(runner, isLeaving);
  }

  /** Whether every proxy has the latest revision of the platform's list. */
  haveAllMarks(): boolean {
    for (const proxy of this.#proxies)
      if ((proxy.router?.runnerListRevision ?? 0) < this.#outside.platform.revision) return false;
    return true;
  }

  /** The number of the table that each proxy uses; -1 if it is down. */
  tableNumbers(): number[] {
    const numbers: number[] = [];
    for (const proxy of this.#proxies) numbers.push(proxy.router?.tableNumber ?? -1);
    return numbers;
  }

  /** The requests that have ended, as their callers saw them. */
  get calls(): readonly CallerRecord[] {
    return this.#calls;
  }

  /** Removes a machine without notice: its connections are not closed. */
  vanish(runner: string): void {
    this.#outside.kill(runner, true);
  }

  /** The models of which a runner is the primary. */
  modelsAt(runner: string): ReadonlySet<string> {
    const models = new Set<string>();
    const places = parseAs(PlacesShape, this.leader()?.core?.relay.latest('places')?.body ?? '');
    for (const place of places?.places ?? [])
      if (place.seats.some((seat) => seat.primary && seat.runner === runner))
        models.add(place.model);
    return models;
  }

  /** Whether every proxy's configuration is confirmed recently enough to accept requests. */
  areProxiesFresh(): boolean {
    return this.#proxies.every(isFresh);
  }

  #addControlNode(id: string, seeds: readonly string[]): SimControl {
    const controlNode = new SimControl(
      id,
      this.#scheduler,
      this.#seeded,
      this.#network,
      this.#outside,
      seeds,
      this.#settings.mutation === 'no-gap-between-holders'
        ? { ...VOTE_DEFAULTS, handoverGapMs: 0 }
        : VOTE_DEFAULTS,
      this.#settings.mutation ?? '',
    );
    this.#controlNodes.push(controlNode);
    this.#nodes.set(id, controlNode);
    return controlNode;
  }

  #deliver(to: string, from: string, message: Message): void {
    const node = this.#nodes.get(to);
    const sender = this.#nodes.get(from);
    // The connections of a dead process are reset; nothing arrives at it.
    if (node && sender) node.perform(() => node.receive(from, message));
  }

  /** Plays the whole run: a fault-free start, faults, healing and the final checks. */
  run(): SimulationResult {
    for (const node of [...this.#controlNodes, ...this.#agents, ...this.#proxies])
      this.#scheduler.at(this.#seeded.between(0, 500), () => node.start());
    this.#scheduler.at(FIRST_CHECK_MS, () => this.#checkPeriodically());
    this.#scheduler.runUntil(FAULT_FREE_MS);
    const serveMs = this.#findLeader() ? this.#scheduler.now : -1;
    if (serveMs < 0) this.#findings.addViolation('no leader serves after the fault-free start');
    this.putFirstTable();
    this.#isInjectingFaults = true;
    this.#operators.begin();
    this.#scheduler.after(100, () => this.#operators.operate());
    this.#scheduler.after(1000, () => this.#injectFaults());
    this.#scheduler.runUntil(FAULT_FREE_MS + this.#settings.faultPeriodMs);
    this.#isInjectingFaults = false;
    this.#operators.end();
    this.#faultInjector.healAll();
    this.#scheduler.after(RESTORE_AFTER_MS, () => this.#restoreZones());
    this.#scheduler.runUntil(FAULT_FREE_MS + this.#settings.faultPeriodMs + HEAL_MS);
    this.#checkAfterHealing();
    return this.#result(serveMs);
  }

  #checkAfterHealing(): void {
    checkHealedFleet({
      now: this.#scheduler.now,
      leader: this.#findLeader(),
      controlNodes: this.#controlNodes,
      proxies: this.#proxies,
      operators: this.#operators,
      watch: this.#watch,
      findings: this.#findings,
    });
    for (const violation of new Judge(this.#evidence()).judge())
      this.#findings.addViolation(`${violation.rule}: ${violation.text}`);
  }

  #result(serveMs: number): SimulationResult {
    const calls: Record<string, number> = {};
    for (const { outcome } of this.#calls) calls[outcome] = (calls[outcome] ?? 0) + 1;
    let [accepted, refused, unsure] = [0, 0, 0];
    for (const { outcome } of this.#operators.outcomes) {
      if (outcome === 'accepted') accepted += 1;
      else if (outcome === 'refused') refused += 1;
      else unsure += 1;
    }
    return {
      seed: this.#settings.seed,
      violations: [...this.#findings.violations, ...this.#outside.orders.violations],
      leaderlessMs: this.#leaderlessMs,
      serveMs,
      edits: { accepted, refused, unsure },
      orders: this.#outside.orders.seen.length,
      runs: this.#watch.runCount,
      messages: this.#network.sent,
      calls,
      faultCounts: this.#faultInjector.faultCounts,
    };
  }

  #evidence(): Evidence {
    const zones = new Map<string, string>();
    for (const machine of this.#outside.platform.list) zones.set(machine.id, machine.zone);
    return {
      callers: this.#calls,
      backs: this.#outside.records,
      events: this.#findings.events,
      zones,
      lateness: new Map(Object.entries(LATE_MS)),
    };
  }

  #findLeader(): SimControl | undefined {
    for (const controlNode of this.#controlNodes)
      if (
        controlNode.isUp &&
        !controlNode.isFrozen &&
        controlNode.core?.mayOrder(controlNode.now()) === true
      )
        return controlNode;
    return undefined;
  }

  /** Submits the first table to the leader. */
  putFirstTable(): void {
    this.#operators.putFirstTable(this.#findLeader());
  }

  #checkPeriodically(): void {
    const now = this.#scheduler.now;
    for (const proxy of this.#proxies) this.#watch.check(proxy, now);
    const hasLeader = this.#findLeader() !== undefined;
    if (!hasLeader && this.#leaderlessSince === undefined) this.#leaderlessSince = now;
    if (hasLeader && this.#leaderlessSince !== undefined) {
      if (this.#isInjectingFaults) this.#leaderlessMs.push(now - this.#leaderlessSince);
      this.#leaderlessSince = undefined;
    }
    this.#scheduler.after(CHECK_INTERVAL_MS, () => this.#checkPeriodically());
  }

  #onRequestSent(proxy: string, runner: string): void {
    this.#watch.onRunStarted(proxy, runner, this.#scheduler.now);
  }

  #injectFaults(): void {
    if (!this.#isInjectingFaults) return;
    const kind = this.#seeded.pick(this.#settings.faultKinds);
    if (kind) this.#faultInjector.inject(kind);
    this.#scheduler.after(this.#seeded.between(300, 5000), () => this.#injectFaults());
  }

  #restoreZones(): void {
    const leader = this.#findLeader();
    if (leader) this.#operators.restoreAll(leader);
    else this.#findings.addViolation('no leader within 10 s after all faults were healed');
  }
}

function isFresh(proxy: SimProxy): boolean {
  return proxy.router?.isFresh(proxy.now()) === true;
}
function hasOpenRequests(proxy: SimProxy): boolean {
  return proxy.open > 0;
}
function isDraining(proxy: SimProxy): boolean {
  return proxy.isDraining;
}
function isBlind(proxy: SimProxy): boolean {
  return proxy.isUp && !isFresh(proxy);
}
function hasRuns(back: { readonly running: number }): boolean {
  return back.running > 0;
}
function isMarked(machine: { readonly leaving: boolean }): boolean {
  return machine.leaving;
}
function isBootSince(at: number, record: { readonly at: number; readonly what: string }): boolean {
  return record.what === 'boot' && record.at > at;
}

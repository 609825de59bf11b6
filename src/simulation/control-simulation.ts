import { UNTRACED, type RunTrace } from '../rehearsal/run-trace.js';
import { Scheduler } from '../rehearsal/scheduler.js';
import { VOTE_RECORD } from '../state/partition-names.js';
import type { AgentNode } from './agent-node.js';
import type { ControlNode, ControlObserver } from './control-node.js';
import { ACK_BOUND_MS, RECOVERY_BOUND_MS } from './contract-bounds.js';
import type { ArrivedOrder } from './fake-runner.js';
import { FaultDriver } from './fault-driver.js';
import type { Schedule } from './faults.js';
import { FaultTargets } from './fault-targets.js';
import { Fleet } from './fleet.js';
import type { History } from './history/history.js';
import { HistoryRecorder, type OpenOrder } from './history-recorder.js';
import { HolderRules } from './holder-rules.js';
import { judgeHistory } from './judged-history.js';
import { LossBudget } from './loss-budget.js';
import { UNMODIFIED_CORES, type CoreFactory } from './core-factory.js';
import { NodeWatch } from './node-watch.js';
import type { OperatorAnswer, OperatorCall } from './operator-call.js';
import { OperatorClient } from './operator-client.js';
import { OperatorPlan } from './operator-plan.js';
import type { SimulationOptions } from './options.js';
import { countOutcomes, type RunFigures } from './run-figures.js';
import { RandomStreams } from './random-streams.js';
import { RunEvents } from './run-events.js';
import { Settled } from './settled.js';
import { StateRules } from './state-rules.js';
import { ViolationLog, type RunViolation } from './violation.js';

/** The result of a run. */
export interface Outcome {
  /** The violated rules, in the order in which they were found. */
  readonly violations: readonly RunViolation[];
  /** The measured figures of the run. */
  readonly figures: RunFigures;
  /** What the operators observed. */
  readonly history: History;
}

/** Receives the log of a run line by line. */
export type RunLog = (line: string) => void;

/** Virtual times of the first order and of the start of the spares. */
const FIRST_ORDER_MS = 1500;
const SPARES_START_MS = 3000;
/** Virtual time from which faults are injected. */
export const TROUBLE_FROM_MS = 6000;
/** Phases after the faults and the recovery: orders without faults, and reading back. */
const CALM_PHASE_MS = 8000;
const READ_BACK_PHASE_MS = 5000;
const CHECK_INTERVAL_MS = 50;
/** A node answers each read within this time, if only with a failure. */
const MAX_READ_MS = 10_000;
/** An acknowledgement may exceed the bound by its network delay. */
const ACK_SLACK_MS = 50;

/** One run of the deployed control side on virtual time, a pure function of its options and schedule. */
class ControlSimulation {
  readonly #options: SimulationOptions;
  readonly #scheduler = new Scheduler();
  readonly #streams: RandomStreams;
  readonly #violations: ViolationLog;
  readonly #log: RunLog;
  readonly #fleet: Fleet;
  readonly #events = new RunEvents();
  readonly #settled: Settled;
  readonly #budget: LossBudget;
  readonly #targets: FaultTargets;
  readonly #recorder = new HistoryRecorder();
  readonly #holderRules: HolderRules;
  readonly #stateRules: StateRules;
  readonly #watch: NodeWatch;
  readonly #clients: OperatorClient[] = [];
  readonly #plans: OperatorPlan[] = [];
  readonly #driver: FaultDriver;
  readonly #calmFrom: number;
  #lostAnswerShare = 0;
  #havePlansBegun = false;

  constructor(options: SimulationOptions, log: RunLog, coreFactory: CoreFactory, trace: RunTrace) {
    this.#options = options;
    this.#streams = new RandomStreams(options.seed);
    this.#log = (line) => this.#logAt(log, line);
    const now = () => this.#now();
    this.#violations = new ViolationLog(now, this.#log);
    this.#settled = new Settled(now);
    this.#calmFrom = TROUBLE_FROM_MS + options.troubleMs;
    this.#fleet = new Fleet({
      scheduler: this.#scheduler,
      streams: this.#streams,
      options,
      observer: this.#observer(),
      agentStepped: (agent) => this.#agentStepped(agent),
      coreFactory,
      orderArrived: (order) => this.#orderArrived(order),
      trace,
    });
    this.#targets = new FaultTargets(this.#fleet, this.#events);
    this.#watch = new NodeWatch({ events: this.#events, now, log: this.#log });
    this.#holderRules = this.#makeHolderRules();
    this.#stateRules = new StateRules({
      report: (rule, text) => this.#violations.add(rule, text),
      nodes: this.#fleet.controls,
      hasLeft: (id) => this.#fleet.hasLeft(id),
      isUnderRepair: (node) => this.#isUnderRepair(node),
    });
    this.#budget = new LossBudget({
      now,
      limit: options.lossLimit,
      nodes: options.nodes,
      presentCount: () => this.#countPresent(),
      isRecovered: (node, isPermanent) => this.#isRecovered(node, isPermanent),
    });
    this.#addOperators();
    this.#driver = this.#makeDriver();
  }

  run(schedule: Schedule): Outcome {
    const { options } = { options: this.#options };
    const readBackAt = this.#calmFrom + RECOVERY_BOUND_MS + CALM_PHASE_MS;
    this.#fleet.start();
    this.#scheduler.at(FIRST_ORDER_MS, () => this.#createConfiguration());
    if (options.spares > 0) this.#scheduler.at(SPARES_START_MS, () => this.#addSpares());
    this.#scheduler.at(CHECK_INTERVAL_MS, () => this.#check());
    this.#scheduler.at(this.#calmFrom + RECOVERY_BOUND_MS, () => this.#checkRecovered());
    this.#scheduler.at(readBackAt, () => this.#readBack());
    this.#driver.begin(schedule);
    this.#scheduler.runUntil(readBackAt + READ_BACK_PHASE_MS);
    const history = this.#recorder.history();
    for (const { rule, text } of judgeHistory(history)) this.#violations.add(rule, text);
    const figures = this.#figures(readBackAt + READ_BACK_PHASE_MS, options.nodes);
    return { violations: this.#violations.all, figures, history };
  }

  // ---- phases and observations

  #now(): number {
    return this.#scheduler.now;
  }

  #logAt(log: RunLog, line: string): void {
    log(`${this.#scheduler.now.toFixed(1).padStart(8)} ${line}`);
  }

  #createConfiguration(): void {
    const [first] = this.#plans;
    first?.createConfiguration();
  }

  #addSpares(): void {
    for (let count = 0; count < this.#options.spares; count += 1) this.#fleet.addSpare();
  }

  #beginPlans(): void {
    if (this.#havePlansBegun) return;
    this.#havePlansBegun = true;
    for (const plan of this.#plans) plan.begin();
  }

  #readBack(): void {
    for (const plan of this.#plans) {
      plan.stop();
      plan.readBack();
    }
  }

  #check(): void {
    this.#stateRules.check();
    for (const node of this.#fleet.present) {
      if (node.countOverdueReads(MAX_READ_MS) > 0) {
        this.#violations.add(
          'read-never-answered',
          `${node.id} in its incarnation ${node.incarnation}`,
        );
      }
    }
    this.#scheduler.after(CHECK_INTERVAL_MS, () => this.#check());
  }

  #checkRecovered(): void {
    if (this.#watch.lastServingAt >= this.#calmFrom || this.#fleet.leader) return;
    if (!this.#isRecoveryOwed) return;
    const text = `no leader serves ${RECOVERY_BOUND_MS} ms after the last fault`;
    this.#violations.add('no-leader-after-trouble', text);
  }

  /** Whether a leader must be elected after all faults have ended: not if more disks were lost than is tolerated. */
  get #isRecoveryOwed(): boolean {
    return this.#options.lossLimit !== 'any' || !this.#budget.isExceeded;
  }

  #observer(): ControlObserver {
    return {
      stepped: (node) => this.#stepped(node),
      answered: (node, call, answer) => this.#answered(node, call, answer),
      threw: (node, error) => this.#threw(node, error),
      logged: (node, text) => this.#logged(node, text),
    };
  }

  #stepped(node: ControlNode): void {
    this.#watch.stepped(node);
    const { core } = node;
    if (!core) return;
    if (core.elector.isLeading()) this.#holderRules.leads(node.id, core.elector.epoch);
    this.#stateRules.watch(node.id, node.incarnation, core.relay);
  }

  #agentStepped(agent: AgentNode): void {
    if (agent.core) this.#stateRules.watch(agent.id, agent.incarnation, agent.core.relay);
  }

  #orderArrived(order: ArrivedOrder): void {
    this.#holderRules.orderArrived(order);
  }

  #answered(node: ControlNode, call: OperatorCall, answer: OperatorAnswer): void {
    this.#log(`${node.id} answered ${call.method} ${answer.status} ${answer.body.slice(0, 110)}`);
    if (call.method === 'GET' || answer.status !== 200) return;
    this.#beginPlans();
    this.#targets.noteAnswered(node.id);
    this.#stateRules.answered(answer);
    this.#events.emit('ack', node.id);
  }

  #threw(node: ControlNode, error: unknown): void {
    const text = error instanceof Error ? error.message : String(error);
    this.#violations.add('core-threw', `${node.id}: ${text}`);
  }

  #logged(node: ControlNode, text: string): void {
    this.#log(`${node.id} ${text}`);
  }

  // ---- operators

  #addOperators(): void {
    const { zones } = this.#fleet;
    if (this.#options.operators === 1) {
      this.#addOperator('operator-1', zones);
      return;
    }
    const [first = '', ...others] = zones;
    this.#addOperator('operator-1', others);
    this.#addOperator('operator-2', [first]);
  }

  #addOperator(id: string, zones: readonly string[]): void {
    const random = this.#streams.of(id);
    const client = new OperatorClient(id, {
      scheduler: this.#scheduler,
      random,
      network: this.#fleet.network,
      recorder: this.#recorder,
      nodes: () => this.#fleet.listedNodes(),
      isAnswerLost: () => this.#isAnswerLost(),
      sending: (record) => this.#sending(record),
    });
    this.#fleet.network.addHost(client);
    const { paceMs } = this.#options;
    const plan = new OperatorPlan({ scheduler: this.#scheduler, random, client, zones, paceMs });
    for (const other of this.#plans) {
      other.peer = plan;
      plan.peer = other;
    }
    this.#clients.push(client);
    this.#plans.push(plan);
  }

  #isAnswerLost(): boolean {
    return this.#streams.of('answers').isLikely(this.#lostAnswerShare);
  }

  #loseAnswers(share: number): void {
    this.#lostAnswerShare = share;
  }

  #sending(record: OpenOrder): void {
    const attempt = record.attempts.at(-1);
    const node = attempt?.node ?? '';
    const orderText = JSON.stringify(record.order);
    this.#log(`${record.operator} sends ${record.id} to ${node}: ${orderText.slice(0, 110)}`);
    this.#targets.noteCalled(node);
    this.#events.emit('orderSent', node);
    if (record.attempts.length > 1 || record.order.kind === undefined) return;
    const judge = this.#judgeAcknowledged.bind(this, record, this.#scheduler.now);
    this.#scheduler.after(ACK_BOUND_MS + ACK_SLACK_MS, judge);
  }

  /** Reports a valid order without a definite answer in time, if the core was settled all that time. */
  #judgeAcknowledged(record: OpenOrder, sentAt: number): void {
    if (record.isDefinite || !this.#settled.isSettledSince(sentAt)) return;
    // If any number of machines may be lost, orders must be answered only after the time to recover.
    const requiredFrom = this.#calmFrom + RECOVERY_BOUND_MS;
    if (this.#options.lossLimit !== 'tolerated' && sentAt < requiredFrom) return;
    if ('isInvalid' in record.order && record.order.isInvalid) return;
    const text = `order ${record.id} sent at ${Math.round(sentAt)} has no definite answer after ${ACK_BOUND_MS} ms`;
    this.#violations.add('late-acknowledgement', text);
  }

  // ---- components

  #makeHolderRules(): HolderRules {
    const { controls, network } = this.#fleet;
    const settled = this.#settled;
    const now = () => this.#now();
    function thawedAt(holder: string): number {
      return controls.get(holder)?.process.thawedAt ?? -Infinity;
    }
    function isSettled(span: number): boolean {
      return settled.isSettledSince(now() - span);
    }
    return new HolderRules({
      report: (rule, text) => this.#violations.add(rule, text),
      isFenced: this.#options.isFenced,
      thawedAt,
      healedAt: (from, to) => network.healedAt(from, to),
      isSettledFor: isSettled,
    });
  }

  #makeDriver(): FaultDriver {
    return new FaultDriver({
      fleet: this.#fleet,
      budget: this.#budget,
      settled: this.#settled,
      events: this.#events,
      after: (millis, run) => this.#scheduler.after(millis, run),
      now: () => this.#now(),
      options: this.#options,
      targets: this.#targets,
      operators: this.#clients.map(idOf),
      loseAnswers: (share) => this.#loseAnswers(share),
      endsAt: this.#calmFrom,
      log: this.#log,
    });
  }

  #countPresent(): number {
    return this.#fleet.present.length;
  }

  /** An empty disk holds no vote record until its node is a sound replica again. */
  #isUnderRepair(node: string): boolean {
    return this.#fleet.controls.get(node)?.disk.partition(VOTE_RECORD) === undefined;
  }

  #isRecovered(node: string, isPermanent: boolean): boolean {
    if (!isPermanent) return this.#fleet.controls.get(node)?.core?.replicaStatus.name === 'sound';
    const votes = this.#stateRules.voters.flat().includes(node);
    return this.#fleet.hasLeft(node) && !votes;
  }

  #figures(virtualMs: number, nodes: number): RunFigures {
    return {
      nodes,
      virtualMs,
      isRecoveryOwed: this.#isRecoveryOwed,
      faults: this.#driver.injectedByKind,
      packets: this.#fleet.network.packets,
      runnerOrders: this.#holderRules.orderCount,
      reigns: this.#events.count('newLeader'),
      voterChanges: this.#events.count('newVoters'),
      repairMs: this.#watch.repairMs,
      leaderlessMs: this.#watch.leaderlessMs,
      reads: this.#recorder.reads.length,
      orders: countOutcomes(this.#recorder.orders),
    };
  }
}

function idOf(item: { readonly id: string }): string {
  return item.id;
}

function discardLine(): void {
  /* The log is discarded. */
}

/**
 * Runs the deployed control side under a schedule of faults and checks the observations against the rules.
 * `coreFactory` creates the cores, `trace` records what leaves them.
 */
export function simulate(
  options: SimulationOptions,
  schedule: Schedule,
  log: RunLog = discardLine,
  coreFactory: CoreFactory = UNMODIFIED_CORES,
  trace: RunTrace = UNTRACED,
): Outcome {
  return new ControlSimulation(options, log, coreFactory, trace).run(schedule);
}

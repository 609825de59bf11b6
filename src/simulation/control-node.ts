import type { Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import type { ControlCore } from '../control/control-core.js';
import {
  CONTROL_DEFAULTS,
  type ControlEffect,
  type OrderResult,
} from '../control/control-effect.js';
import { NodeTrace } from '../rehearsal/node-trace.js';
import type { Scheduler } from '../rehearsal/scheduler.js';
import type { Seeded } from '../rehearsal/seeded.js';
import type { ListedRunner } from '../placement/fleet.js';
import { VOTE_DEFAULTS } from '../election/vote-settings.js';
import {
  CONTROL_TICK_MS,
  DEPLOYED_VOTE_SETTINGS,
  RUNNER_LIST_INTERVAL_MS,
  SESSION_TIMEOUT_MS,
} from '../control/control-process.js';
import { DISK_RETRY_MS, RETIRE_TIMEOUT_MS } from '../control/control-runtime.js';
import { STOP_GRACE_MS, LEASE_MS } from './contract-bounds.js';
import type { CoreBuild } from './core-build.js';
import type { Endpoint } from './endpoint.js';
import { LeasedOrder } from './leased-order.js';
import type { CoreCommand, OperatorAnswer, OperatorCall } from './operator-call.js';
import { OperatorPort } from './operator-port.js';
import { OrderStub } from './order-stub.js';
import { PlainDialect } from '../control/testing/plain-dialect.js';
import { SimDisk, type UnsyncedFate } from './sim-disk.js';
import { SimExchange } from './sim-exchange.js';
import type { Host, Port, SimNetwork } from './sim-network.js';
import { SimProcess } from './sim-process.js';

/** What a run is told of a control node as it works. */
export interface ControlObserver {
  /** After every input of the core, with all its effects begun. */
  stepped(node: ControlNode): void;
  /** An answer is written to an operator. */
  answered(node: ControlNode, call: OperatorCall, answer: OperatorAnswer): void;
  /** The core threw, which its process logs and outlives. */
  threw(node: ControlNode, error: unknown): void;
  logged(node: ControlNode, text: string): void;
}

export interface ControlNodeSettings {
  readonly scheduler: Scheduler;
  readonly random: Seeded;
  readonly network: SimNetwork;
  readonly observer: ControlObserver;
  readonly runners: readonly ListedRunner[];
  readonly maxDrift: number;
  /** Makes its core. */
  readonly coreFactory: CoreBuild;
}

type StoreEffect = Extract<ControlEffect, { do: 'store' }>;
type OrderEffect = Extract<ControlEffect, { do: 'order' }>;

/** A process is loaded and reads its files for so long before it listens. */
const MIN_START_MS = 60;
const MAX_START_MS = 200;
const RUNNER_LIST_DELAY_MS = 20;
const INCARNATION_RANGE = 2 ** 47;

/** A core machine: the real control core with a deployment's settings on a simulated process, disk and network. */
export class ControlNode implements Host {
  readonly id: string;
  readonly zone: string;
  readonly process: SimProcess;
  readonly disk: SimDisk;
  readonly #settings: ControlNodeSettings;
  readonly #trace: NodeTrace;
  readonly #exchange: SimExchange;
  #core: ControlCore | undefined;
  #isPowered = true;
  #seeds: readonly string[] = [];
  readonly #operatorPort: OperatorPort;
  #startCount = 0;
  /** All told once a process that was asked to stop is gone; it may be asked more than once. */
  #stopListeners: (() => void)[] = [];
  /** Set while the next order's write is to be held up by a freeze right after the lease was checked. */
  freezeAtOrder: (() => void) | undefined;

  constructor(id: string, zone: string, around: ControlNodeSettings) {
    this.id = id;
    this.zone = zone;
    this.#settings = around;
    this.#trace = new NodeTrace(id, around.scheduler, around.network.trace);
    this.process = new SimProcess(around.scheduler, around.random, around.maxDrift);
    this.disk = new SimDisk(around.scheduler, around.random);
    this.#operatorPort = new OperatorPort({
      random: around.random,
      now: () => this.now(),
      nextTurn: (run) => this.process.after(0, run),
      command: this.#command.bind(this),
      answering: (call, answer) => this.#answering(call, answer),
    });
    this.#exchange = new SimExchange(
      this,
      around.network,
      { role: 'mind', zone },
      {
        receive: (from, role, zone, message) => this.#receive(from, role, zone, message),
        disconnected: (id) => this.#disconnected(id),
      },
    );
  }

  get core(): ControlCore | undefined {
    return this.#core;
  }

  get isPowered(): boolean {
    return this.#isPowered;
  }

  get isListening(): boolean {
    return this.#core !== undefined;
  }

  /** Counts the lives of its process. */
  get incarnation(): number {
    return this.#startCount;
  }

  /** Begins the process with the settings of this moment. */
  start(isFirstStart: boolean, seeds: readonly string[]): void {
    if (this.process.isUp) return;
    this.#isPowered = true;
    this.#settings.network.powerReturned(this.id);
    this.#startCount += 1;
    this.#seeds = seeds;
    this.process.begin();
    const delay = this.#settings.random.between(MIN_START_MS, MAX_START_MS);
    this.process.after(delay, () => this.#load(isFirstStart));
  }

  /** SIGKILL: the machine stays up, and its kernel closes the connections. */
  kill(): void {
    this.#endProcess();
    this.disk.crash('drawn');
  }

  /** The whole machine goes dark. */
  losePower(fate: UnsyncedFate): void {
    this.#isPowered = false;
    this.#settings.network.powerLost(this.id);
    this.#endProcess();
    this.disk.crash(fate);
  }

  /** SIGTERM: hands over what it leads, and is killed if it has not ended after the grace. */
  stop(onEnded: () => void): void {
    // It may be killed, or lose power, before it has ended by itself.
    this.#stopListeners.push(onEnded);
    if (this.#stopListeners.length > 1) return;
    const exit = () => this.#exit();
    // The machine kills what has not ended, frozen or not.
    this.#settings.scheduler.after(STOP_GRACE_MS, this.process.inThisIncarnation(exit));
    const retire = this.#retire.bind(this, this.process.now() + RETIRE_TIMEOUT_MS, exit);
    this.process.submit('signal', retire);
  }

  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    function set(core: ControlCore): void {
      core.setSeeds(seeds);
    }
    this.process.submit('settings', () => this.#runInput(set));
  }

  accept(endpoint: Endpoint, port: Port): void {
    if (port === 'nodes') this.#exchange.accept(endpoint);
    else this.#operatorPort.accept(endpoint);
  }

  now(): Moment {
    return this.process.now();
  }

  /** How many reads have waited for an answer here for longer than so long. */
  countOverdueReads(thresholdMs: number): number {
    if (!this.process.isRunning || this.#core === undefined) return 0;
    return this.#operatorPort.countOverdueReads(thresholdMs);
  }

  // ---- the process

  #load(isFirstStart: boolean): void {
    const startCore = this.process.inThisIncarnation(() => this.#startCore(isFirstStart));
    this.disk.whenResponsive(() => this.process.submit('disk', startCore));
  }

  #startCore(isFirstStart: boolean): void {
    const { random } = this.#settings;
    const planner = new OrderStub();
    const dialect = new PlainDialect();
    const deployed = { dialect, planner, isFirstStart, listMs: RUNNER_LIST_INTERVAL_MS };
    const settings = {
      ...CONTROL_DEFAULTS,
      me: this.id,
      zone: this.zone,
      seeds: this.#seeds,
      incarnation: random.below(INCARNATION_RANGE),
      silentMs: SESSION_TIMEOUT_MS,
      foundMs: 0,
      deployed,
    };
    const vote = { ...VOTE_DEFAULTS, ...DEPLOYED_VOTE_SETTINGS, handoverGapMs: LEASE_MS };
    this.#operatorPort.open();
    const inputs = { settings, stored: this.disk.list(), now: this.process.now(), vote };
    this.#core = this.#settings.coreFactory.control(inputs);
    this.#exchange.open();
    this.process.every(CONTROL_TICK_MS, () => this.#tick());
    this.#tick();
  }

  #endProcess(): void {
    this.#settings.network.processEnded(this.id);
    this.process.end();
    this.#core = undefined;
    this.freezeAtOrder = undefined;
    this.#settings.observer.stepped(this);
    const listeners = this.#stopListeners;
    this.#stopListeners = [];
    for (const notify of listeners) notify();
  }

  #retire(deadline: number, exit: () => void): void {
    let isRetired = false;
    const now = () => this.now();
    this.#runInput((core: ControlCore) => {
      isRetired = core.retire(now());
    });
    // What was said last must leave the process before its lines close.
    if (isRetired || this.process.now() >= deadline) this.process.after(CONTROL_TICK_MS, exit);
    else this.process.after(CONTROL_TICK_MS, () => this.#retire(deadline, exit));
  }

  #exit(): void {
    this.#exchange.close();
    this.kill();
  }

  #tick(): void {
    const core = this.#core;
    if (!core) return;
    for (const peer of core.peers) this.#exchange.dial(peer);
    this.#runInput(core.tick.bind(core, this.process.now()));
  }

  /** One input of the core, with all its effects, before the next. */
  #runInput(input: (core: ControlCore) => void): void {
    const core = this.#core;
    if (!core) return;
    try {
      input(core);
    } catch (thrown) {
      this.#settings.observer.threw(this, thrown);
    }
    for (const effect of core.drain()) this.#carryOut(core, effect);
    this.#settings.observer.stepped(this);
  }

  #receive(from: string, role: string, zone: string, message: Message): void {
    const now = this.process.now();
    const knownZone = role === 'mind' ? zone : '';
    this.#runInput((core: ControlCore) => {
      core.onMessage(now, from, message, knownZone);
    });
  }

  #disconnected(id: string): void {
    const now = this.process.now();
    this.#runInput((core: ControlCore) => {
      core.onDisconnect(now, id);
    });
  }

  #carryOut(core: ControlCore, effect: ControlEffect): void {
    switch (effect.do) {
      case 'send':
        this.#exchange.send(effect.to, effect.message);
        break;
      case 'store':
        this.#store(core, effect);
        break;
      case 'askList':
        this.#trace.record('list', []);
        this.process.after(RUNNER_LIST_DELAY_MS, () => this.#deliverRunnerList(core));
        break;
      case 'order':
        this.#order(core, effect);
        break;
      case 'reply':
        this.#trace.answer(effect.status, effect.body);
        this.#operatorPort.reply(effect.id, { status: effect.status, body: effect.body });
        break;
      case 'log':
        this.#settings.observer.logged(this, JSON.stringify(effect.event));
        break;
      default:
        break;
    }
  }

  /** An input of one life's core alone, taken by its event loop. */
  #submitInput(core: ControlCore, stream: string, input: (core: ControlCore) => void): void {
    const isCurrent = (core: ControlCore) => this.#isCurrent(core);
    const runInput = () => this.#runInput(input);
    this.process.submit(stream, () => {
      if (isCurrent(core)) runInput();
    });
  }

  #isCurrent(core: ControlCore): boolean {
    return this.#core === core;
  }

  #store(core: ControlCore, effect: StoreEffect): void {
    const { partition, version, body } = effect;
    const now = () => this.now();
    function onPersisted(inner: ControlCore): void {
      inner.onPersisted(now(), partition, version);
    }
    const stream = `disk ${partition}`;
    const retry = this.process.inThisIncarnation(() => this.#store(core, effect));
    const retryLater = () => this.process.after(DISK_RETRY_MS, retry);
    const done = () => this.#submitInput(core, stream, onPersisted);
    const fail = () => this.process.submit(stream, retryLater);
    this.#trace.write(partition, version, body);
    this.disk.write(partition, version, body, done, fail);
  }

  #deliverRunnerList(core: ControlCore): void {
    const { runners } = this.#settings;
    this.#submitInput(core, 'list', reportRunnerList.bind(undefined, this.process.now(), runners));
  }

  #order(core: ControlCore, effect: OrderEffect): void {
    const { intent, address } = effect;
    const now = () => this.now();
    function onOutcome(result: OrderResult, inner: ControlCore): void {
      inner.onOrderOutcome(now(), intent.id, result);
    }
    const input = (input: (core: ControlCore) => void) =>
      this.#submitInput(core, `order ${address}`, input);
    function done(result: OrderResult): void {
      input((inner) => onOutcome(result, inner));
    }
    const order = { holder: this.id, fence: core.elector.epoch };
    const { network } = this.#settings;
    this.#trace.order(intent);
    const writing = (write: () => void) => this.#writeOrder(write);
    const lease = core;
    new LeasedOrder({ network, host: this, runner: address, order, lease, writing, done }).send();
  }

  /** The process may be frozen between the check of its lease and the write. */
  #writeOrder(write: () => void): void {
    const freeze = this.freezeAtOrder;
    this.freezeAtOrder = undefined;
    freeze?.();
    this.process.submit('write', write);
  }

  // ---- operators

  #command(id: number, { verb, body }: CoreCommand): void {
    const now = this.process.now();
    this.#runInput((core: ControlCore) => {
      core.onCommand(now, id, verb, body);
    });
  }

  #answering(call: OperatorCall, answer: OperatorAnswer): void {
    this.#settings.observer.answered(this, call, answer);
  }
}

function reportRunnerList(now: Moment, runners: readonly ListedRunner[], core: ControlCore): void {
  core.onRunnerList(now, runners);
}

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
import type { SeededRandom } from '../rehearsal/seeded-random.js';
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
import type { CoreFactory } from './core-factory.js';
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

/** Callbacks by which a run observes a control node. */
export interface ControlObserver {
  /** Called after each input of the core, once all its effects have been started. */
  stepped(node: ControlNode): void;
  /** Called when an answer is written to an operator. */
  answered(node: ControlNode, call: OperatorCall, answer: OperatorAnswer): void;
  /** Called when the core threw; the process logs the error and continues. */
  threw(node: ControlNode, error: unknown): void;
  /** Called with each log event of the core, as JSON. */
  logged(node: ControlNode, text: string): void;
}

/** What a control node is created with. */
export interface ControlNodeSettings {
  /** The run's virtual time. */
  readonly scheduler: Scheduler;
  /** The node's own stream of random numbers. */
  readonly random: SeededRandom;
  /** The network that the node is attached to. */
  readonly network: SimNetwork;
  /** Receives what the node does. */
  readonly observer: ControlObserver;
  /** The runners that the platform lists. */
  readonly runners: readonly ListedRunner[];
  /** Maximum deviation of its clock rate from 1, as a fraction. */
  readonly maxDrift: number;
  /** Creates the core at each start of the process. */
  readonly coreFactory: CoreFactory;
}

type StoreEffect = Extract<ControlEffect, { do: 'store' }>;
type OrderEffect = Extract<ControlEffect, { do: 'order' }>;

/** Range of the time from the start of a process until it listens: loading the program and reading its files. */
const MIN_START_MS = 60;
const MAX_START_MS = 200;
const RUNNER_LIST_DELAY_MS = 20;
const INCARNATION_RANGE = 2 ** 47;

/** A control machine: the real control core with a deployment's settings on a simulated process, disk and network. */
export class ControlNode implements Host {
  /** The node id, which is also its address. */
  readonly id: string;
  /** The zone of the machine. */
  readonly zone: string;
  /** The simulated process that runs the control core. */
  readonly process: SimProcess;
  /** The disk of the machine. */
  readonly disk: SimDisk;
  readonly #settings: ControlNodeSettings;
  readonly #trace: NodeTrace;
  readonly #exchange: SimExchange;
  #core: ControlCore | undefined;
  #isPowered = true;
  #seeds: readonly string[] = [];
  readonly #operatorPort: OperatorPort;
  #startCount = 0;
  /** Called once the process has ended after a request to stop; there may be several requests. */
  #stopListeners: (() => void)[] = [];
  /** If set, called between the lease check and the write of the next order, to freeze the process there. */
  freezeAtOrder: (() => void) | undefined;

  constructor(id: string, zone: string, settings: ControlNodeSettings) {
    this.id = id;
    this.zone = zone;
    this.#settings = settings;
    this.#trace = new NodeTrace(id, settings.scheduler, settings.network.trace);
    this.process = new SimProcess(settings.scheduler, settings.random, settings.maxDrift);
    this.disk = new SimDisk(settings.scheduler, settings.random);
    this.#operatorPort = new OperatorPort({
      random: settings.random,
      now: () => this.now(),
      nextTurn: (run) => this.process.after(0, run),
      command: this.#command.bind(this),
      answering: (call, answer) => this.#answering(call, answer),
    });
    this.#exchange = new SimExchange(
      this,
      settings.network,
      { role: 'mind', zone },
      {
        receive: (from, role, zone, message) => this.#receive(from, role, zone, message),
        disconnected: (id) => this.#disconnected(id),
      },
    );
  }

  /** The core of the running process; `undefined` while the process is down or loading. */
  get core(): ControlCore | undefined {
    return this.#core;
  }

  /** Whether the machine has power. */
  get isPowered(): boolean {
    return this.#isPowered;
  }

  /** Whether the process accepts connections. */
  get isListening(): boolean {
    return this.#core !== undefined;
  }

  /** Number of times the process was started. */
  get incarnation(): number {
    return this.#startCount;
  }

  /** Starts the process with the current settings; has no effect while it runs. */
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

  /** Kills the process as SIGKILL does: the machine stays up and its kernel closes the connections. */
  kill(): void {
    this.#endProcess();
    this.disk.crash('drawn');
  }

  /** The machine loses power; `fate` decides about writes that were not synced. */
  losePower(fate: UnsyncedFate): void {
    this.#isPowered = false;
    this.#settings.network.powerLost(this.id);
    this.#endProcess();
    this.disk.crash(fate);
  }

  /** SIGTERM: the process hands over leadership and exits, or is killed after `STOP_GRACE_MS`, then calls `onEnded`. */
  stop(onEnded: () => void): void {
    // The process may be killed, or the machine lose power, before it exits by itself.
    this.#stopListeners.push(onEnded);
    if (this.#stopListeners.length > 1) return;
    const exit = () => this.#exit();
    // The kill after the grace period uses true time, so that it also ends a frozen process.
    this.#settings.scheduler.after(STOP_GRACE_MS, this.process.inThisIncarnation(exit));
    const retire = this.#retire.bind(this, this.process.now() + RETIRE_TIMEOUT_MS, exit);
    this.process.submit('signal', retire);
  }

  /** Passes new seeds to the running process. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    function set(core: ControlCore): void {
      core.setSeeds(seeds);
    }
    this.process.submit('settings', () => this.#runInput(set));
  }

  /** Accepts a connection from another node or from an operator, depending on the port. */
  accept(endpoint: Endpoint, port: Port): void {
    if (port === 'nodes') this.#exchange.accept(endpoint);
    else this.#operatorPort.accept(endpoint);
  }

  /** The monotonic clock of the process. */
  now(): Moment {
    return this.process.now();
  }

  /** Number of reads that have waited for an answer for longer than `thresholdMs`; 0 unless the process runs. */
  countOverdueReads(thresholdMs: number): number {
    if (!this.process.isRunning || this.#core === undefined) return 0;
    return this.#operatorPort.countOverdueReads(thresholdMs);
  }

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
    // The last messages must leave the process before its connections close.
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

  /** Processes one input of the core and starts all its effects before the next input. */
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

  /** Submits an input to the event loop; it is dropped if the core was replaced meanwhile. */
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

  /** A fault may freeze the process between the check of its lease and the write. */
  #writeOrder(write: () => void): void {
    const freeze = this.freezeAtOrder;
    this.freezeAtOrder = undefined;
    freeze?.();
    this.process.submit('write', write);
  }

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

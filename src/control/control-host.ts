import { join } from 'node:path';
import type { Logger } from 'pino';
import type { HaretrackError } from '../common/errors.js';
import { Exchange, type Incoming } from '../dissemination/exchange.js';
import type { Exposition } from '../metrics/exposition.js';
import type { Intent } from '../placement/shapes.js';
import { FileStore } from '../state/file-store.js';
import type { StoredPartition } from '../state/store.js';
import type { ControlCore } from './control-core.js';
import { logControlEvent, type ControlLogEvent } from './control-log-event.js';
import { ControlReport } from './control-report.js';
import {
  ControlRuntime,
  type CoreCommand,
  type ControlRuntimePorts,
  type OutsideEffect,
  type StoreEffect,
} from './control-runtime.js';

/** The folder of the state on disk, below the data folder. */
const STATE_FOLDER = 'parts';

/** The addresses of a control node, and where its state is stored. */
export interface ControlHostSettings {
  /** Address to listen at for other nodes, `host:port`; it is the node's id as well. */
  readonly address: string;
  readonly zone: string;
  /** Other addresses at which nodes are reached, by node id. */
  readonly reach: Readonly<Record<string, string>>;
  /** Data folder. */
  readonly dataFolder: string;
}

/** A call to the outside that the core requested. */
export type ExternalEffect = Exclude<OutsideEffect, { do: 'log' }>;

/** The part of a control node's program that depends on its deployment. */
export interface ControlProgram extends Omit<ControlRuntimePorts, 'write' | 'perform'> {
  /** Makes a call to the outside; its result is submitted to the core later. */
  perform(effect: ExternalEffect, core: ControlCore): void;
  /** A write was synced to disk. */
  onWritten?(): void;
  /** A connection, a message or a write failed; it has been logged. */
  onError?(error: HaretrackError): void;
}

/** The part of the operators' HTTP API that the host uses. */
export interface HostedApi {
  /** Listens at an address and returns the port. */
  listen(address: string): Promise<number>;
  close(): void;
}

/** Runs a control node's core in a process: its connections, state on disk, log, metrics, start and stop. */
export class ControlHost {
  readonly #program: ControlProgram;
  readonly #log: Logger;
  readonly #runtime: ControlRuntime;
  readonly #store: FileStore;
  readonly #report = new ControlReport();

  constructor(settings: ControlHostSettings, program: ControlProgram, log: Logger) {
    const { address, zone, reach, dataFolder } = settings;
    this.#program = program;
    this.#log = log;
    const onError = (error: HaretrackError) => this.reportError(error);
    const identity = { id: address, role: 'mind', zone, listen: address, reach } as const;
    this.#runtime = new ControlRuntime(new Exchange(identity, onError), this.#runtimePorts());
    this.#store = new FileStore(join(dataFolder, STATE_FOLDER), onError);
  }

  /** Feeds the core; its inputs are submitted here. */
  get runtime(): ControlRuntime {
    return this.#runtime;
  }

  /** Reads the stored state, with which a core is started. */
  readStored(): Promise<readonly StoredPartition[]> {
    return this.#store.readAll();
  }

  /** Runs the core: receives messages, serves operators if an address is given, and starts ticks. */
  async start(core: ControlCore, api: HostedApi, apiAddress: string | undefined): Promise<void> {
    await this.#runtime.open(core);
    if (apiAddress !== undefined) await api.listen(apiAddress);
    this.#runtime.startTicks();
  }

  /** Hands over the node's leadership within a bounded time, and closes its connections. */
  async stop(api: HostedApi): Promise<void> {
    await this.#runtime.retire();
    api.close();
    this.#runtime.close();
  }

  /** Renders the metrics of this process; undefined while its core has not started. */
  metrics(): Promise<Exposition | undefined> {
    return this.#report.render(this.#runtime.core);
  }

  /** Writes a log line. */
  log(event: ControlLogEvent): void {
    logControlEvent(this.#log, event);
  }

  /** Logs the outcome of an order to a runner. */
  logOrder({ id, verb, model, adapter, runner }: Intent, outcome: string): void {
    this.log({ event: 'order sent', order: id, verb, model, adapter, runner, outcome });
  }

  /** Logs a failure after which the node continues, and reports it to the program. */
  reportError(error: HaretrackError): void {
    this.#program.onError?.(error);
    this.log({ event: 'operation failed', code: error.code, reason: error.message });
  }

  #runtimePorts(): ControlRuntimePorts {
    const program = this.#program;
    return {
      tickMs: program.tickMs,
      waitsForHandover: program.waitsForHandover,
      peers: (core: ControlCore) => program.peers(core),
      onMessage: (incoming: Incoming): CoreCommand => program.onMessage(incoming),
      write: (effect: StoreEffect) => this.#write(effect),
      perform: (effect: OutsideEffect, core: ControlCore) => this.#perform(effect, core),
      onCommandFailed: (thrown: unknown) => program.onCommandFailed(thrown),
    };
  }

  async #write({ partition, version, body }: StoreEffect): Promise<void> {
    await this.#report.measure(this.#store.write(partition, version, body));
    this.#program.onWritten?.();
  }

  #perform(effect: OutsideEffect, core: ControlCore): void {
    if (effect.do === 'log') this.log(effect.event);
    else this.#program.perform(effect, core);
  }
}

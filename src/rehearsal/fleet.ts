import { spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, type CallReply } from '../common/call.js';
import { bindServer } from '../common/listen.js';
import { reasonOf } from '../common/errors.js';
import { pause } from './stub-runner.js';
import { Cuts } from './cuts.js';
import type { Deployment } from './deployment.js';
import type { Machine } from '../placement/shapes.js';

/** A process of the deployment: its arguments, and the running child process, if any. */
interface Program {
  readonly name: string;
  readonly args: readonly string[];
  process: ChildProcess | undefined;
  /** Resolves with the exit code of the process that was started last. */
  exitCode: Promise<number> | undefined;
}

/** Addresses, data folder and zone of a control node. */
export interface ControlNodeSpec {
  readonly name: string;
  /** Where it listens for nodes. */
  readonly listen: string;
  /** Where it serves the operators' API. */
  readonly api: string;
  /** Folder of its data. */
  readonly data: string;
  readonly zone: string;
}
/** Addresses and zone of an edge, which is an agent and the proxy beside it. */
export interface EdgeSpec {
  readonly name: string;
  /** Where the agent listens for nodes. */
  readonly listen: string;
  /** Where the agent listens for its proxy. */
  readonly feed: string;
  /** Where the proxy listens for callers. */
  readonly proxy: string;
  /** Where the proxy serves its status and counters. */
  readonly proxyStatus: string;
  /** Where the agent serves its status. */
  readonly agentStatus: string;
  readonly zone: string;
}

/** Returns the path of the program that a process runs, or undefined for this build's program. */
export type ProgramSelector = (name: string) => string | undefined;

/** Path of this build's program. */
export const PROGRAM = fileURLToPath(new URL('../../bin/run.js', import.meta.url));

/**
 * A loopback address that only this rehearsal uses. On 127.0.0.1, an outgoing connection of another process may take a
 * port that was found free before the process that it is meant for has started.
 */
const LOOPBACK_HOST = `127.${64 + (process.pid % 64)}.${(process.pid >> 6) % 250}.${1 + ((process.pid >> 14) % 250)}`;

/** Returns addresses whose ports are free at present. */
async function freeAddresses(count: number): Promise<string[]> {
  const servers = [];
  const addresses: string[] = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    servers.push(server);
    addresses.push(`${LOOPBACK_HOST}:${await bindServer(server, `${LOOPBACK_HOST}:0`)}`);
  }
  for (const server of servers) {
    await new Promise<void>((resolve: () => void) => {
      server.close(resolve);
    });
  }
  return addresses;
}

/** A whole deployment as separate processes on loopback, with stubs for the external systems. */
export class Fleet {
  readonly #deployment: Deployment;
  readonly #root: string;
  readonly #programs = new Map<string, Program>();
  readonly #controlNodes: ControlNodeSpec[] = [];
  readonly #edges: EdgeSpec[] = [];
  readonly #cuts = new Cuts();
  readonly #backEnds = new Map<
    string,
    { address: string; zone: string; records: string; service: string }
  >();
  readonly #programOf: ProgramSelector;
  #platform = '';
  #store = '';
  #platformRecords = '';
  #storeRecords = '';

  constructor(deployment: Deployment, root: string, programOf: ProgramSelector = () => undefined) {
    this.#deployment = deployment;
    this.#root = root;
    this.#programOf = programOf;
  }

  /** The deployment that is run. */
  get deployment(): Deployment {
    return this.#deployment;
  }
  /** Folder of the settings, logs, records and data of all processes. */
  get root(): string {
    return this.#root;
  }
  /** All control nodes, including those added later. */
  get controlNodes(): readonly ControlNodeSpec[] {
    return this.#controlNodes;
  }
  /** All edges. */
  get edges(): readonly EdgeSpec[] {
    return this.#edges;
  }
  /** Relays between the nodes, through which the network can be cut. */
  get cuts(): Cuts {
    return this.#cuts;
  }
  /** Address of the platform stub. */
  get platform(): string {
    return this.#platform;
  }
  /** Names of all processes. */
  get processNames(): readonly string[] {
    return [...this.#programs.keys()];
  }

  /** Returns the paths of the record files of all stubs. */
  recordPaths(): string[] {
    const paths = [this.#platformRecords, this.#storeRecords];
    for (const backEnd of this.#backEnds.values()) paths.push(backEnd.records);
    return paths;
  }

  /** Returns the zone of each back end, by id. */
  zones(): ReadonlyMap<string, string> {
    const zones = new Map<string, string>();
    for (const [id, backEnd] of this.#backEnds) zones.set(id, backEnd.zone);
    return zones;
  }

  /** Writes the settings files and starts all processes. */
  async start(): Promise<void> {
    const { deployment } = { deployment: this.#deployment };
    mkdirSync(this.#root, { recursive: true });
    const addresses = await freeAddresses(
      2 +
        deployment.controlNodes * 2 +
        deployment.edges * 5 +
        deployment.runners.length +
        deployment.plainBackEnds.length,
    );
    function nextAddress(): string {
      return addresses.pop() ?? '';
    }
    this.#platform = nextAddress();
    this.#store = nextAddress();
    this.#platformRecords = join(this.#root, 'platform.records');
    this.#storeRecords = join(this.#root, 'store.records');
    const machines: Machine[] = [];
    this.#define('store', [
      'rehearsal',
      'stub',
      'store',
      '--listen',
      this.#store,
      '--settings',
      this.#writeSettings('store', {
        catalog: deployment.catalog,
        msPerSize: 20,
        records: this.#storeRecords,
      }),
    ]);
    for (const { id, zone, room, slots } of deployment.runners) {
      const address = nextAddress();
      const records = join(this.#root, `${id}.records`);
      this.#backEnds.set(id, { address, zone, records, service: '' });
      machines.push({ id, address, zone, service: '', leaving: false });
      this.#define(id, [
        'rehearsal',
        'stub',
        'runner',
        '--listen',
        address,
        '--settings',
        this.#writeSettings(id, {
          id,
          room,
          slots,
          store: this.#store,
          records,
          tokenMs: 8,
          partMs: 15,
          coldMs: 3000,
        }),
      ]);
    }
    for (const { id, zone, service, workMs } of deployment.plainBackEnds) {
      const address = nextAddress();
      const records = join(this.#root, `${id}.records`);
      this.#backEnds.set(id, { address, zone, records, service });
      machines.push({ id, address, zone, service, leaving: false });
      this.#define(id, [
        'rehearsal',
        'stub',
        'plain',
        '--listen',
        address,
        '--settings',
        this.#writeSettings(id, { id, workMs, records }),
      ]);
    }
    this.#define('platform', [
      'rehearsal',
      'stub',
      'platform',
      '--listen',
      this.#platform,
      '--settings',
      this.#writeSettings('platform', { machines, records: this.#platformRecords }),
    ]);
    for (let index = 0; index < deployment.controlNodes; index += 1) {
      const zone = deployment.zones[index % deployment.zones.length] ?? '';
      this.#controlNodes.push({
        name: `mind-${index}`,
        listen: nextAddress(),
        api: nextAddress(),
        data: join(this.#root, `mind-${index}.data`),
        zone,
      });
    }
    const seeds = this.#controlNodes.map(listenOf);
    for (const controlNode of this.#controlNodes)
      this.#defineControl(
        controlNode,
        seeds,
        await this.#relayAddresses(controlNode.listen, seeds),
      );
    for (let index = 0; index < deployment.edges; index += 1) {
      const zone = deployment.zones[index % deployment.zones.length] ?? '';
      const edge: EdgeSpec = {
        name: `edge-${index}`,
        listen: nextAddress(),
        feed: nextAddress(),
        proxy: nextAddress(),
        proxyStatus: nextAddress(),
        agentStatus: nextAddress(),
        zone,
      };
      this.#edges.push(edge);
      const reach = await this.#relayAddresses(edge.listen, seeds);
      this.#define(`link-${index}`, [
        'agent',
        '--settings',
        this.#writeSettings(`link-${index}`, {
          listen: edge.listen,
          feed: edge.feed,
          zone,
          seeds,
          status: edge.agentStatus,
          reach,
        }),
      ]);
      this.#define(`flow-${index}`, [
        'proxy',
        '--settings',
        this.#writeSettings(`flow-${index}`, {
          listen: edge.proxy,
          link: edge.feed,
          zone,
          status: edge.proxyStatus,
        }),
      ]);
    }
    for (const name of this.#programs.keys()) this.startProcess(name);
  }

  /** Each node connects to the control nodes through relays of its own; agents connect to each other directly. */
  async #relayAddresses(from: string, seeds: readonly string[]): Promise<Record<string, string>> {
    const reach: Record<string, string> = {};
    for (const seed of seeds) if (seed !== from) reach[seed] = await this.#cuts.path(from, seed);
    return reach;
  }

  #defineControl(
    controlNode: ControlNodeSpec,
    seeds: readonly string[],
    reach: Readonly<Record<string, string>> = {},
  ): void {
    const { listen, api, zone, data } = controlNode;
    this.#define(controlNode.name, [
      'control',
      '--settings',
      this.#writeSettings(controlNode.name, {
        listen,
        api,
        zone,
        seeds,
        data,
        platform: this.#platform,
        store: this.#store,
        reach,
      }),
    ]);
  }

  /** Starts a new control node without data, at new addresses. */
  async addControlNode(zone: string): Promise<ControlNodeSpec> {
    const [listen = '', api = ''] = await freeAddresses(2);
    const name = `mind-${this.#controlNodes.length}`;
    const controlNode: ControlNodeSpec = {
      name,
      listen,
      api,
      data: join(this.#root, `${name}.data`),
      zone,
    };
    this.#defineControl(controlNode, this.#controlNodes.slice(0, 3).map(listenOf));
    this.#controlNodes.push(controlNode);
    this.startProcess(name);
    return controlNode;
  }

  /** Writes a settings file and returns its path. */
  #writeSettings(name: string, value: object): string {
    const path = join(this.#root, `${name}.json`);
    writeFileSync(path, JSON.stringify(value));
    return path;
  }

  #define(name: string, args: readonly string[]): void {
    this.#programs.set(name, { name, args, process: undefined, exitCode: undefined });
  }

  /** Starts a process, unless it runs already. */
  startProcess(name: string): void {
    const program = this.#programs.get(name);
    if (!program || program.process) return;
    const log = openSync(join(this.#root, `${name}.log`), 'a');
    const child = spawn(process.execPath, [this.#programOf(name) ?? PROGRAM, ...program.args], {
      stdio: ['ignore', log, log],
    });
    program.process = child;
    program.exitCode = new Promise((resolve: (code: number) => void) => {
      child.once('exit', (code: number | null) => {
        if (program && program.process === child) program.process = undefined;
        resolve(code ?? -1);
      });
    });
  }

  /**
   * Sends a signal to a process and, except for SIGSTOP and SIGCONT, waits for its exit. Returns the exit code, 0 for those two, or -1 if a
   * signal ended the process or it was not running.
   */
  async signal(name: string, signal: NodeJS.Signals): Promise<number> {
    const program = this.#programs.get(name);
    if (!program?.process) return -1;
    const { exitCode } = program;
    program.process.kill(signal);
    if (signal === 'SIGSTOP' || signal === 'SIGCONT') return 0;
    return (await exitCode) ?? -1;
  }

  /** Tells whether a process is running. */
  isRunning(name: string): boolean {
    return this.#programs.get(name)?.process !== undefined;
  }

  /** Deletes the data of a control node. */
  deleteData(controlNode: ControlNodeSpec): void {
    rmSync(controlNode.data, { recursive: true, force: true });
  }

  /** Kills all processes and closes the relays. */
  async stop(): Promise<void> {
    for (const name of this.#programs.keys()) {
      void this.signal(name, 'SIGCONT');
      await this.signal(name, 'SIGKILL');
    }
    this.#cuts.close();
  }

  // ---- Requests to the deployment

  /**
   * Calls the operators' API of each control node in turn, and returns the first response other than a 503; any control
   * node may forward the call. With `only`, calls that node alone and returns its response, also a 503. Returns status 0
   * and the last error if there is no such response.
   */
  async callApi(
    method: string,
    path: string,
    body?: object,
    only?: ControlNodeSpec,
  ): Promise<{ readonly status: number; readonly value: Record<string, unknown> }> {
    let lastError: unknown = 'no control node';
    for (const controlNode of only ? [only] : this.#controlNodes) {
      let reply: CallReply;
      try {
        reply = await call(
          method,
          controlNode.api,
          path,
          body === undefined ? undefined : JSON.stringify(body),
          12_000,
        );
      } catch (thrown) {
        lastError = thrown;
        continue;
      }
      const raw: unknown = JSON.parse(reply.body);
      const value: Record<string, unknown> =
        typeof raw === 'object' && raw !== null ? { ...raw } : {};
      if (reply.status === 503 && only === undefined) {
        lastError = value['text'];
        continue;
      }
      return { status: reply.status, value };
    }
    return { status: 0, value: { text: reasonOf(lastError) } };
  }

  /**
   * Retries a call until its status is neither 0, 503 nor 504, or until the time limit; returns the last response. Every
   * attempt carries the same edit id, so that the edit is applied once.
   */
  async callApiWithRetry(
    method: string,
    path: string,
    body: object | undefined,
    limitMs: number,
  ): Promise<{ readonly status: number; readonly value: Record<string, unknown> }> {
    const deadline = Date.now() + limitMs;
    for (;;) {
      const reply = await this.callApi(method, path, body);
      if (
        (reply.status !== 0 && reply.status !== 503 && reply.status !== 504) ||
        Date.now() > deadline
      )
        return reply;
      await pause(200);
    }
  }

  /**
   * Polls a condition until it holds and returns the time that took, ms. A condition that throws counts as not met. Throws
   * an error that names the condition if it does not hold within the time limit.
   */
  async waitUntil(
    description: string,
    limitMs: number,
    holds: () => Promise<boolean>,
  ): Promise<number> {
    const start = Date.now();
    for (;;) {
      let isMet = false;
      try {
        isMet = await holds();
      } catch {
        /* a process that cannot be reached yet does not meet the condition */
      }
      if (isMet) return Date.now() - start;
      if (Date.now() - start > limitMs) throw new Error(`not within ${limitMs} ms: ${description}`);
      await pause(50);
    }
  }

  /** Marks a machine in the platform's list as leaving, or removes the mark. */
  async markLeaving(id: string, leaving: boolean): Promise<void> {
    await call('POST', this.#platform, '/mark', JSON.stringify({ id, leaving }), 2000);
  }
}

function listenOf(controlNode: ControlNodeSpec): string {
  return controlNode.listen;
}

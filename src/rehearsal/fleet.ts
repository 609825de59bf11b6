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

interface Program {
  readonly name: string;
  readonly args: readonly string[];
  process: ChildProcess | undefined;
  hasExited: Promise<number> | undefined;
}

export interface ControlPlace {
  readonly name: string;
  readonly listen: string;
  readonly api: string;
  readonly data: string;
  readonly zone: string;
}
export interface EdgePlace {
  readonly name: string;
  readonly listen: string;
  readonly feed: string;
  readonly flow: string;
  readonly flowStatus: string;
  readonly linkStatus: string;
  readonly zone: string;
}

/** Says which build's program a process runs; the present build's where it says nothing. */
export type ProgramOf = (name: string) => string | undefined;

export const PROGRAM = fileURLToPath(new URL('../../bin/run.js', import.meta.url));

/**
 * A loopback number of this rehearsal's own. On the common one, a port found free may be taken by some
 * outgoing connection before the process that it is meant for has started.
 */
const HOST = `127.${64 + (process.pid % 64)}.${(process.pid >> 6) % 250}.${1 + ((process.pid >> 14) % 250)}`;

async function freeAddresses(count: number): Promise<string[]> {
  const servers = [];
  const addresses: string[] = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    servers.push(server);
    addresses.push(`${HOST}:${await bindServer(server, `${HOST}:0`)}`);
  }
  for (const server of servers) {
    await new Promise<void>((done: () => void) => {
      server.close(done);
    });
  }
  return addresses;
}

/** A whole deployment as separate processes on loopback, with stubs for the outside. */
export class Fleet {
  readonly #deployment: Deployment;
  readonly #root: string;
  readonly #programs = new Map<string, Program>();
  readonly #controlNodes: ControlPlace[] = [];
  readonly #edges: EdgePlace[] = [];
  readonly #cuts = new Cuts();
  readonly #backs = new Map<
    string,
    { address: string; zone: string; records: string; service: string }
  >();
  readonly #programOf: ProgramOf;
  #platform = '';
  #store = '';
  #platformRecords = '';
  #storeRecords = '';

  constructor(deployment: Deployment, root: string, programOf: ProgramOf = () => undefined) {
    this.#deployment = deployment;
    this.#root = root;
    this.#programOf = programOf;
  }

  get deployment(): Deployment {
    return this.#deployment;
  }
  get root(): string {
    return this.#root;
  }
  get controlNodes(): readonly ControlPlace[] {
    return this.#controlNodes;
  }
  get edges(): readonly EdgePlace[] {
    return this.#edges;
  }
  /** The relays between the nodes, where they can be cut. */
  get cuts(): Cuts {
    return this.#cuts;
  }
  get platform(): string {
    return this.#platform;
  }
  get names(): readonly string[] {
    return [...this.#programs.keys()];
  }

  backRecords(): string[] {
    const paths = [this.#platformRecords, this.#storeRecords];
    for (const back of this.#backs.values()) paths.push(back.records);
    return paths;
  }

  zones(): ReadonlyMap<string, string> {
    const zones = new Map<string, string>();
    for (const [id, back] of this.#backs) zones.set(id, back.zone);
    return zones;
  }

  /** Writes all settings and starts every process. */
  async start(): Promise<void> {
    const { deployment } = { deployment: this.#deployment };
    mkdirSync(this.#root, { recursive: true });
    const addresses = await freeAddresses(
      2 +
        deployment.controlNodes * 2 +
        deployment.edges * 5 +
        deployment.runners.length +
        deployment.plain.length,
    );
    function next(): string {
      return addresses.pop() ?? '';
    }
    this.#platform = next();
    this.#store = next();
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
      this.#settings('store', {
        catalog: deployment.catalog,
        msPerSize: 20,
        records: this.#storeRecords,
      }),
    ]);
    for (const { id, zone, room, slots } of deployment.runners) {
      const address = next();
      const records = join(this.#root, `${id}.records`);
      this.#backs.set(id, { address, zone, records, service: '' });
      machines.push({ id, address, zone, service: '', leaving: false });
      this.#define(id, [
        'rehearsal',
        'stub',
        'runner',
        '--listen',
        address,
        '--settings',
        this.#settings(id, {
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
    for (const { id, zone, service, workMs } of deployment.plain) {
      const address = next();
      const records = join(this.#root, `${id}.records`);
      this.#backs.set(id, { address, zone, records, service });
      machines.push({ id, address, zone, service, leaving: false });
      this.#define(id, [
        'rehearsal',
        'stub',
        'plain',
        '--listen',
        address,
        '--settings',
        this.#settings(id, { id, workMs, records }),
      ]);
    }
    this.#define('platform', [
      'rehearsal',
      'stub',
      'platform',
      '--listen',
      this.#platform,
      '--settings',
      this.#settings('platform', { machines, records: this.#platformRecords }),
    ]);
    for (let index = 0; index < deployment.controlNodes; index += 1) {
      const zone = deployment.zones[index % deployment.zones.length] ?? '';
      this.#controlNodes.push({
        name: `mind-${index}`,
        listen: next(),
        api: next(),
        data: join(this.#root, `mind-${index}.data`),
        zone,
      });
    }
    const seeds = this.#controlNodes.map(listenOf);
    for (const controlNode of this.#controlNodes)
      this.#defineControl(controlNode, seeds, await this.#reach(controlNode.listen, seeds));
    for (let index = 0; index < deployment.edges; index += 1) {
      const zone = deployment.zones[index % deployment.zones.length] ?? '';
      const edge: EdgePlace = {
        name: `edge-${index}`,
        listen: next(),
        feed: next(),
        flow: next(),
        flowStatus: next(),
        linkStatus: next(),
        zone,
      };
      this.#edges.push(edge);
      const reach = await this.#reach(edge.listen, seeds);
      this.#define(`link-${index}`, [
        'agent',
        '--settings',
        this.#settings(`link-${index}`, {
          listen: edge.listen,
          feed: edge.feed,
          zone,
          seeds,
          status: edge.linkStatus,
          reach,
        }),
      ]);
      this.#define(`flow-${index}`, [
        'proxy',
        '--settings',
        this.#settings(`flow-${index}`, {
          listen: edge.flow,
          link: edge.feed,
          zone,
          status: edge.flowStatus,
        }),
      ]);
    }
    for (const name of this.#programs.keys()) this.run(name);
  }

  /** Nodes reach the control nodes through relays of their own; among themselves links dial directly. */
  async #reach(from: string, seeds: readonly string[]): Promise<Record<string, string>> {
    const reach: Record<string, string> = {};
    for (const seed of seeds) if (seed !== from) reach[seed] = await this.#cuts.path(from, seed);
    return reach;
  }

  #defineControl(
    controlNode: ControlPlace,
    seeds: readonly string[],
    reach: Readonly<Record<string, string>> = {},
  ): void {
    const { listen, api, zone, data } = controlNode;
    this.#define(controlNode.name, [
      'control',
      '--settings',
      this.#settings(controlNode.name, {
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

  /** A core machine that is new: empty, at addresses of its own. */
  async addControlNode(zone: string): Promise<ControlPlace> {
    const [listen = '', api = ''] = await freeAddresses(2);
    const name = `mind-${this.#controlNodes.length}`;
    const controlNode: ControlPlace = {
      name,
      listen,
      api,
      data: join(this.#root, `${name}.data`),
      zone,
    };
    this.#defineControl(controlNode, this.#controlNodes.slice(0, 3).map(listenOf));
    this.#controlNodes.push(controlNode);
    this.run(name);
    return controlNode;
  }

  #settings(name: string, value: object): string {
    const path = join(this.#root, `${name}.json`);
    writeFileSync(path, JSON.stringify(value));
    return path;
  }

  #define(name: string, args: readonly string[]): void {
    this.#programs.set(name, { name, args, process: undefined, hasExited: undefined });
  }

  run(name: string): void {
    const program = this.#programs.get(name);
    if (!program || program.process) return;
    const log = openSync(join(this.#root, `${name}.log`), 'a');
    const child = spawn(process.execPath, [this.#programOf(name) ?? PROGRAM, ...program.args], {
      stdio: ['ignore', log, log],
    });
    program.process = child;
    program.hasExited = new Promise((done: (code: number) => void) => {
      child.once('exit', (code: number | null) => {
        if (program && program.process === child) program.process = undefined;
        done(code ?? -1);
      });
    });
  }

  /** Sends a signal to one process; SIGKILL and SIGTERM are waited for. Returns the exit code. */
  async signal(name: string, signal: NodeJS.Signals): Promise<number> {
    const program = this.#programs.get(name);
    if (!program?.process) return -1;
    const { hasExited } = program;
    program.process.kill(signal);
    if (signal === 'SIGSTOP' || signal === 'SIGCONT') return 0;
    return (await hasExited) ?? -1;
  }

  isRunning(name: string): boolean {
    return this.#programs.get(name)?.process !== undefined;
  }

  wipe(controlNode: ControlPlace): void {
    rmSync(controlNode.data, { recursive: true, force: true });
  }

  async stop(): Promise<void> {
    for (const name of this.#programs.keys()) {
      void this.signal(name, 'SIGCONT');
      await this.signal(name, 'SIGKILL');
    }
    this.#cuts.close();
  }

  // ---- talking to it

  /** A call to the operators' API of the first control node that returns anything; each may pass it on. */
  async operate(
    method: string,
    path: string,
    body?: object,
    only?: ControlPlace,
  ): Promise<{ readonly status: number; readonly value: Record<string, unknown> }> {
    let last: unknown = 'no control node';
    for (const controlNode of only ? [only] : this.#controlNodes) {
      let returned: CallReply;
      try {
        returned = await call(
          method,
          controlNode.api,
          path,
          body === undefined ? undefined : JSON.stringify(body),
          12_000,
        );
      } catch (thrown) {
        last = thrown;
        continue;
      }
      const raw: unknown = JSON.parse(returned.body);
      const value: Record<string, unknown> =
        typeof raw === 'object' && raw !== null ? { ...raw } : {};
      if (returned.status === 503 && only === undefined) {
        last = value['text'];
        continue;
      }
      return { status: returned.status, value };
    }
    return { status: 0, value: { text: reasonOf(last) } };
  }

  /** The same, again until it is taken; every try has the same edit id, so that it is done once. */
  async operateUntil(
    method: string,
    path: string,
    body: object | undefined,
    limitMs: number,
  ): Promise<{ readonly status: number; readonly value: Record<string, unknown> }> {
    const end = Date.now() + limitMs;
    for (;;) {
      const returned = await this.operate(method, path, body);
      if (
        (returned.status !== 0 && returned.status !== 503 && returned.status !== 504) ||
        Date.now() > end
      )
        return returned;
      await pause(200);
    }
  }

  /** Waits until what is asked for holds, or says it did not in time. */
  async until(what: string, limitMs: number, holds: () => Promise<boolean>): Promise<number> {
    const start = Date.now();
    for (;;) {
      let isSo = false;
      try {
        isSo = await holds();
      } catch {
        /* not reached yet is not so yet */
      }
      if (isSo) return Date.now() - start;
      if (Date.now() - start > limitMs) throw new Error(`not within ${limitMs} ms: ${what}`);
      await pause(50);
    }
  }

  async mark(id: string, leaving: boolean): Promise<void> {
    await call('POST', this.#platform, '/mark', JSON.stringify({ id, leaving }), 2000);
  }
}

function listenOf(controlNode: ControlPlace): string {
  return controlNode.listen;
}

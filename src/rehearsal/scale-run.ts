import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { number, string, type } from 'superstruct';
import { mustParseAs } from '../common/json.js';
import type { Version } from '../common/version.js';
import { pause } from './stub-runner.js';
import {
  CostShape,
  EdgesFiguresShape,
  figuresOf,
  ControlFiguresShape,
  type Cost,
  type EdgesFigures,
  type ControlFigures,
  type PhaseFigures,
  type Snapshot,
} from './scale-figures.js';
import { ForkedPart, machineNow, type ScalePart } from './scale-part.js';
import { startPart } from './scale-parts.js';
import {
  initialModelCount,
  modelName,
  routingText,
  serviceCount,
  serviceName,
  zoneName,
  type ScaleEdge,
  type ScaleShape,
} from './scale-shape.js';

const BodiesShape = type({ config: number(), fleet: number() });
const ReachedShape = type({ reached: number(), lastAt: number() });
const ReplyShape = type({ status: number(), body: string() });
/** Options of a `ScaleRun`. */
export interface ScaleOptions {
  readonly shape: ScaleShape;
  /**
   * Whether the parts run in processes of their own. If they all run in this process, the counts are valid, but processor
   * time and memory are not.
   */
  readonly isForked: boolean;
  /** Path of the program that the processes run. */
  readonly program: string;
  /** Number of processes over which the synthetic edges are spread. */
  readonly processes: number;
  /** Duration of a phase without changes, ms. */
  readonly restMs: number;
  /** Number of changes of the configuration, and of the fleet. */
  readonly changes: number;
  /** Number of models that each proxy reports demand for once a second in the phase with demand; 0 skips the phase. */
  readonly units: number;
  /** Number of models that are loaded; 0 skips the phase. */
  readonly loads: number;
  /** Receives lines on the progress. */
  readonly log: (text: string) => void;
}

/** The results of a run. */
export interface ScalePoint {
  readonly shape: ScaleShape;
  readonly isForked: boolean;
  readonly processes: number;
  readonly configBytes: number;
  readonly fleetBytes: number;
  /** Time from the start until all proxies had the configuration and the fleet, ms. */
  readonly toldMs: number;
  readonly phases: readonly PhaseFigures[];
}

const CONTROL_PORT = 20_460;
const AGENT_PORT = 20_461;
const FEED_PORT = 20_462;
const PROXY_PORT = 20_463;
const READY_PORT = 20_464;
const RUNNERS_PORT = 20_465;
/** Limit of every wait, ms. */
const WAIT_TIMEOUT_MS = 180_000;
/** Time without changes after which a fleet counts as settled, ms. */
const SETTLED_MS = 2500;
/** Time between the requested loads, ms. */
const LOAD_INTERVAL_MS = 2500;

/** One point of the scale run: a fleet of synthetic edges and runners beside real control nodes. */
export class ScaleRun {
  readonly #options: ScaleOptions;
  readonly #data: string;
  /** Second octet of the loopback addresses: each node has its own address, with ports below the ephemeral range. */
  readonly #subnet = 1 + Math.floor(Math.random() * 250);
  readonly #controlNodes: ScalePart[] = [];
  readonly #edges: ScalePart[] = [];
  #watchedAgent: ScalePart | undefined;
  #watchedProxy: ScalePart | undefined;
  #runners: ScalePart | undefined;
  #version = 0;
  #proxyCount = 0;

  constructor(options: ScaleOptions) {
    this.#options = options;
    this.#data = mkdtempSync(join(tmpdir(), 'haretrack-scale-'));
  }

  /**
   * Starts the fleet, runs all phases and stops the fleet. Throws if a wait takes too long or a process exits.
   */
  async run(): Promise<ScalePoint> {
    const { shape, isForked, processes, log: say } = this.#options;
    try {
      const start = machineNow();
      await this.#startAll();
      await this.#configure();
      const leader = await this.#leader();
      await this.#waitUntilReached('config', {
        epoch: leader.configEpoch,
        count: leader.configCount,
      });
      const settled = await this.#waitUntilSettled();
      await this.#waitUntilReached('fleet', {
        epoch: settled.fleetEpoch,
        count: settled.fleetCount,
      });
      const toldMs = machineNow() - start;
      const bodies = mustParseAs(
        BodiesShape,
        (await this.#controlNodes[0]?.request('bodies', '')) ?? '',
        'the bodies',
      );
      say(
        `${shape.nodes} nodes up to date after ${Math.round(toldMs)} ms; configuration ${bodies.config} bytes, fleet ${bodies.fleet} bytes`,
      );
      const phases: PhaseFigures[] = [];
      const rest = await this.#phase('rest', undefined, 0, () => this.#waitAtRest());
      phases.push(rest);
      if (this.#options.units > 0) {
        await this.#setDemand(this.#options.units);
        await this.#waitUntilSettled();
        phases.push(await this.#phase('demand', undefined, 0, () => this.#waitAtRest()));
        await this.#setDemand(0);
        await this.#waitUntilSettled();
      }
      phases.push(
        await this.#phase('configuration change', rest, this.#options.changes, () =>
          this.#configChanges(),
        ),
      );
      phases.push(
        await this.#phase('fleet change', rest, this.#options.changes, () => this.#fleetChanges()),
      );
      if (this.#options.loads > 0)
        phases.push(
          await this.#phase('load', rest, this.#options.loads, () => this.#requestLoads()),
        );
      for (const { phase, inForceMs, all, repeats } of phases)
        say(
          `${phase}: in force ${inForceMs.map(Math.round).join(' ')} ms, ${Math.round(all.messages)} messages, ${Math.round(all.bytes)} bytes, repeats ${Math.round(repeats.messages)}`,
        );
      return {
        shape,
        isForked,
        processes,
        configBytes: bodies.config,
        fleetBytes: bodies.fleet,
        toldMs,
        phases,
      };
    } finally {
      await this.#stopAll();
    }
  }

  // ---- Parts

  async #startAll(): Promise<void> {
    const { shape, processes, isForked } = this.#options;
    const runners = `127.${this.#subnet}.253.1:${RUNNERS_PORT}`;
    this.#runners = await this.#startPart('runners', { shape, address: runners });
    const seeds: string[] = [];
    for (let index = 0; index < shape.controlNodes; index += 1)
      seeds.push(`127.${this.#subnet}.254.${index + 1}:${CONTROL_PORT}`);
    for (const [index, me] of seeds.entries()) {
      this.#controlNodes.push(
        await this.#startPart('mind', {
          me,
          zone: zoneName(index % shape.zones),
          seeds,
          data: join(this.#data, `mind-${index}`),
          runners,
        }),
      );
    }
    const groups: ScaleEdge[][] = [];
    for (let index = 0; index < shape.nodes; index += 1) {
      const host = `127.${this.#subnet}.${Math.floor(index / 250)}.${(index % 250) + 1}`;
      // In a forked run, one edge has its agent and a real proxy in processes of their own.
      const isWatched = isForked && index === 0;
      const place = {
        link: `${host}:${AGENT_PORT}`,
        feed: `${host}:${FEED_PORT}`,
        zone: zoneName(index % shape.zones),
        isWatched,
      };
      if (isWatched) {
        this.#watchedAgent = await this.#startPart('edges', { edges: [place], seeds });
        this.#watchedProxy = await this.#startPart('proxy', {
          listen: `${host}:${PROXY_PORT}`,
          readiness: `${host}:${READY_PORT}`,
          link: place.feed,
          zone: place.zone,
        });
        continue;
      }
      this.#proxyCount += 1;
      const group = groups[index % processes] ?? [];
      group.push(place);
      groups[index % processes] = group;
    }
    for (const edges of groups)
      if (edges) this.#edges.push(await this.#startPart('edges', { edges, seeds }));
  }

  async #startPart(kind: string, settings: object): Promise<ScalePart> {
    const text = JSON.stringify(settings);
    if (this.#options.isForked) return new ForkedPart(this.#options.program, kind, text);
    return startPart(kind, text);
  }

  async #stopAll(): Promise<void> {
    const parts = [
      ...this.#edges,
      this.#watchedProxy,
      this.#watchedAgent,
      ...this.#controlNodes,
      this.#runners,
    ];
    for (const part of parts) await part?.stop();
    rmSync(this.#data, { recursive: true, force: true });
  }

  // ---- Phases

  async #phase(
    phase: string,
    rest: PhaseFigures | undefined,
    changes: number,
    work: () => Promise<number[]>,
  ): Promise<PhaseFigures> {
    const before = await this.#snapshot();
    const inForceMs = await work();
    const after = await this.#snapshot();
    return figuresOf(phase, before, after, rest, changes, inForceMs);
  }

  async #waitAtRest(): Promise<number[]> {
    await pause(this.#options.restMs);
    return [];
  }

  async #configChanges(): Promise<number[]> {
    const times: number[] = [];
    for (let index = 0; index < this.#options.changes; index += 1) {
      const start = machineNow();
      await this.#configure();
      const leader = await this.#leader();
      const lastAt = await this.#waitUntilReached('config', {
        epoch: leader.configEpoch,
        count: leader.configCount,
      });
      times.push(lastAt - start);
      await pause(500);
    }
    return times;
  }

  /** Each change lists one runner as leaving, or no longer as leaving. */
  async #fleetChanges(): Promise<number[]> {
    const times: number[] = [];
    for (let index = 0; index < this.#options.changes; index += 1) {
      const before = await this.#leader();
      const start = machineNow();
      await this.#runners?.request(
        'leave',
        JSON.stringify({ index: 1, isLeaving: index % 2 === 0 }),
      );
      const leader = await this.#waitUntil(
        () => this.#leader(),
        hasNewerFleet.bind(undefined, before.fleetCount),
        'an update of the fleet',
      );
      const lastAt = await this.#waitUntilReached('fleet', {
        epoch: leader.fleetEpoch,
        count: leader.fleetCount,
      });
      times.push(lastAt - start);
      await pause(500);
    }
    return times;
  }

  /** For each load, a proxy reports a request that waits for a model that no runner holds. */
  async #requestLoads(): Promise<number[]> {
    const { shape, loads } = this.#options;
    for (let index = 0; index < loads; index += 1) {
      const model = initialModelCount(shape) + index;
      if (model >= shape.models) break;
      await this.#edges[0]?.request(
        'want',
        JSON.stringify({
          service: serviceName(model % serviceCount(shape)),
          model: modelName(model),
          waiting: 1,
        }),
      );
      await pause(LOAD_INTERVAL_MS);
    }
    return [];
  }

  /** Sets the number of models that each proxy reports demand for. */
  async #setDemand(units: number): Promise<void> {
    const { shape } = this.#options;
    for (const part of this.#edges)
      await part.request(
        'demand',
        JSON.stringify({ units, models: initialModelCount(shape), services: serviceCount(shape) }),
      );
  }

  // ---- Waiting

  async #configure(): Promise<void> {
    const { shape } = this.#options;
    const body = JSON.stringify({
      id: `edit-${this.#version + 1}`,
      base: this.#version,
      text: routingText(shape, this.#version + 1),
    });
    await this.#waitUntil(
      this.#command.bind(this, JSON.stringify({ verb: 'configure', body })),
      isAccepted,
      'an accepted configuration',
    );
    this.#version += 1;
  }

  async #command(body: string): Promise<number> {
    const reply = await this.#controlNodes[0]?.request('command', body);
    return mustParseAs(ReplyShape, reply ?? '', 'the reply').status;
  }

  async #waitUntil<T>(
    poll: () => Promise<T>,
    isMet: (value: T) => boolean,
    description: string,
  ): Promise<T> {
    const deadline = machineNow() + WAIT_TIMEOUT_MS;
    for (;;) {
      const value = await poll();
      if (isMet(value)) return value;
      if (machineNow() > deadline) throw new Error(`waited too long for ${description}`);
      await pause(25);
    }
  }

  async #waitUntilReached(topic: string, version: Version): Promise<number> {
    function hasAll(proxies: number, { reached }: { readonly reached: number }): boolean {
      return reached >= proxies;
    }
    const { lastAt } = await this.#waitUntil(
      this.#reached.bind(this, JSON.stringify({ topic, ...version })),
      hasAll.bind(undefined, this.#proxyCount),
      `${topic} in force everywhere`,
    );
    return lastAt;
  }

  async #reached(request: string): Promise<{ readonly reached: number; readonly lastAt: number }> {
    let reached = 0;
    let lastAt = 0;
    for (const part of this.#edges) {
      const partial = mustParseAs(
        ReachedShape,
        await part.request('reached', request),
        'the reply',
      );
      reached += partial.reached;
      lastAt = Math.max(lastAt, partial.lastAt);
    }
    return { reached, lastAt };
  }

  /** Waits until the leader has published no update of the fleet for a while, and returns its figures. */
  async #waitUntilSettled(): Promise<ControlFigures> {
    const deadline = machineNow() + WAIT_TIMEOUT_MS;
    let lastCount = -1;
    let unchangedSince = machineNow();
    for (;;) {
      const leader = await this.#leader();
      if (leader.fleetCount !== lastCount || leader.fleetCount === 0) {
        lastCount = leader.fleetCount;
        unchangedSince = machineNow();
      }
      // A fleet that never settles is measured too, after a fifth of the time limit.
      if (
        machineNow() - unchangedSince > SETTLED_MS ||
        (machineNow() > deadline - WAIT_TIMEOUT_MS * 0.8 && leader.fleetCount > 0)
      )
        return leader;
      if (machineNow() > deadline) throw new Error('waited too long for a fleet');
      await pause(100);
    }
  }

  async #leader(): Promise<ControlFigures> {
    const deadline = machineNow() + WAIT_TIMEOUT_MS;
    for (;;) {
      for (const part of this.#controlNodes) {
        const figures = await readControl(part);
        if (figures.isLeading) return figures;
      }
      if (machineNow() > deadline) throw new Error('waited too long for a leader');
      await pause(50);
    }
  }

  async #snapshot(): Promise<Snapshot> {
    const [controlNodes, edges, watchedAgents, watchedProxies] = await Promise.all([
      Promise.all(this.#controlNodes.map(readControl)),
      Promise.all(this.#edges.map(readEdges)),
      Promise.all(this.#watchedAgent ? [readEdges(this.#watchedAgent)] : []),
      Promise.all(this.#watchedProxy ? [readCost(this.#watchedProxy)] : []),
    ]);
    return {
      at: machineNow(),
      controlNodes,
      edges,
      watchedAgent: watchedAgents[0],
      watchedProxy: watchedProxies[0],
    };
  }
}

async function readControl(part: ScalePart): Promise<ControlFigures> {
  return mustParseAs(ControlFiguresShape, await part.request('figures', ''), 'the figures');
}
async function readEdges(part: ScalePart): Promise<EdgesFigures> {
  return mustParseAs(EdgesFiguresShape, await part.request('figures', ''), 'the figures');
}
async function readCost(part: ScalePart): Promise<Cost> {
  return mustParseAs(CostShape, await part.request('figures', ''), 'the figures');
}
function hasNewerFleet(count: number, leader: ControlFigures): boolean {
  return leader.fleetCount > count;
}
function isAccepted(status: number): boolean {
  return status === 200;
}

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
import { ForkedPart, sharedNow, type ScalePart } from './scale-part.js';
import { startPart } from './scale-parts.js';
import {
  heldModels,
  modelName,
  routingText,
  serviceCount,
  serviceName,
  zoneName,
  type EdgePlace,
  type ScaleShape,
} from './scale-shape.js';

const BodiesShape = type({ config: number(), fleet: number() });
const ReachedShape = type({ reached: number(), lastAt: number() });
const ReplyShape = type({ status: number(), body: string() });
export interface ScaleOptions {
  readonly shape: ScaleShape;
  /** Processes of their own, or all of it in this one: then processor time and memory tell nothing, counts do. */
  readonly isForked: boolean;
  readonly program: string;
  /** Over how many processes the synthetic edges are spread. */
  readonly processes: number;
  readonly restMs: number;
  readonly changes: number;
  /** What a proxy tells of once a second in the phase with demand. */
  readonly units: number;
  readonly loads: number;
  readonly say: (text: string) => void;
}

export interface ScalePoint {
  readonly shape: ScaleShape;
  readonly isForked: boolean;
  readonly processes: number;
  readonly configBytes: number;
  readonly fleetBytes: number;
  readonly toldMs: number;
  readonly phases: readonly PhaseFigures[];
}

const CONTROL_PORT = 20_460;
const AGENT_PORT = 20_461;
const FEED_PORT = 20_462;
const PROXY_PORT = 20_463;
const READY_PORT = 20_464;
const RUNNERS_PORT = 20_465;
const WAIT_MS = 180_000;
const SETTLED_MS = 2500;
const LOAD_WAIT_MS = 2500;

/** One point of the scale run: a fleet of synthetic edges and runners beside real control nodes. */
export class ScaleRun {
  readonly #options: ScaleOptions;
  readonly #data: string;
  /** Loopback has room for a fleet: each node has an address of its own, and ports below those given to callers. */
  readonly #net = 1 + Math.floor(Math.random() * 250);
  readonly #controlNodes: ScalePart[] = [];
  readonly #edges: ScalePart[] = [];
  #watchedAgent: ScalePart | undefined;
  #watchedProxy: ScalePart | undefined;
  #runners: ScalePart | undefined;
  #version = 0;
  #flows = 0;

  constructor(options: ScaleOptions) {
    this.#options = options;
    this.#data = mkdtempSync(join(tmpdir(), 'haretrack-scale-'));
  }

  async run(): Promise<ScalePoint> {
    const { shape, isForked, processes, say } = this.#options;
    try {
      const start = sharedNow();
      await this.#startAll();
      await this.#configure();
      const leader = await this.#leader();
      await this.#untilReached('config', { epoch: leader.configEpoch, count: leader.configCount });
      const told = await this.#untilSettled();
      await this.#untilReached('fleet', { epoch: told.fleetEpoch, count: told.fleetCount });
      const toldMs = sharedNow() - start;
      const bodies = mustParseAs(
        BodiesShape,
        (await this.#controlNodes[0]?.ask('bodies', '')) ?? '',
        'the bodies',
      );
      say(
        `${shape.nodes} nodes told after ${Math.round(toldMs)} ms; configuration ${bodies.config} bytes, fleet ${bodies.fleet} bytes`,
      );
      const phases: PhaseFigures[] = [];
      const rest = await this.#phase('rest', undefined, 0, () => this.#rest());
      phases.push(rest);
      if (this.#options.units > 0) {
        await this.#demand(this.#options.units);
        await this.#untilSettled();
        phases.push(await this.#phase('demand', undefined, 0, () => this.#rest()));
        await this.#demand(0);
        await this.#untilSettled();
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
        phases.push(await this.#phase('load', rest, this.#options.loads, () => this.#loads()));
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

  // ---- the parts

  async #startAll(): Promise<void> {
    const { shape, processes, isForked } = this.#options;
    const runners = `127.${this.#net}.253.1:${RUNNERS_PORT}`;
    this.#runners = await this.#start('runners', { shape, address: runners });
    const seeds: string[] = [];
    for (let index = 0; index < shape.controlNodes; index += 1)
      seeds.push(`127.${this.#net}.254.${index + 1}:${CONTROL_PORT}`);
    for (const [index, me] of seeds.entries()) {
      this.#controlNodes.push(
        await this.#start('mind', {
          me,
          zone: zoneName(index % shape.zones),
          seeds,
          data: join(this.#data, `mind-${index}`),
          runners,
        }),
      );
    }
    const groups: EdgePlace[][] = [];
    for (let index = 0; index < shape.nodes; index += 1) {
      const host = `127.${this.#net}.${Math.floor(index / 250)}.${(index % 250) + 1}`;
      // One edge of a forked run has its agent and a real proxy each in a process of its own.
      const isWatched = isForked && index === 0;
      const place = {
        link: `${host}:${AGENT_PORT}`,
        feed: `${host}:${FEED_PORT}`,
        zone: zoneName(index % shape.zones),
        isWatched,
      };
      if (isWatched) {
        this.#watchedAgent = await this.#start('edges', { edges: [place], seeds });
        this.#watchedProxy = await this.#start('proxy', {
          listen: `${host}:${PROXY_PORT}`,
          readiness: `${host}:${READY_PORT}`,
          link: place.feed,
          zone: place.zone,
        });
        continue;
      }
      this.#flows += 1;
      const group = groups[index % processes] ?? [];
      group.push(place);
      groups[index % processes] = group;
    }
    for (const edges of groups)
      if (edges) this.#edges.push(await this.#start('edges', { edges, seeds }));
  }

  async #start(kind: string, settings: object): Promise<ScalePart> {
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

  // ---- phases

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

  async #rest(): Promise<number[]> {
    await pause(this.#options.restMs);
    return [];
  }

  async #configChanges(): Promise<number[]> {
    const times: number[] = [];
    for (let index = 0; index < this.#options.changes; index += 1) {
      const start = sharedNow();
      await this.#configure();
      const leader = await this.#leader();
      const lastAt = await this.#untilReached('config', {
        epoch: leader.configEpoch,
        count: leader.configCount,
      });
      times.push(lastAt - start);
      await pause(500);
    }
    return times;
  }

  /** A runner is listed as leaving, or no longer: one change of one runner. */
  async #fleetChanges(): Promise<number[]> {
    const times: number[] = [];
    for (let index = 0; index < this.#options.changes; index += 1) {
      const before = await this.#leader();
      const start = sharedNow();
      await this.#runners?.ask('leave', JSON.stringify({ index: 1, isLeaving: index % 2 === 0 }));
      const leader = await this.#until(
        () => this.#leader(),
        hasFleetAfter.bind(undefined, before.fleetCount),
        'a change of the fleet told',
      );
      const lastAt = await this.#untilReached('fleet', {
        epoch: leader.fleetEpoch,
        count: leader.fleetCount,
      });
      times.push(lastAt - start);
      await pause(500);
    }
    return times;
  }

  /** A proxy says that somebody waits for a model that nobody holds. */
  async #loads(): Promise<number[]> {
    const { shape, loads } = this.#options;
    for (let index = 0; index < loads; index += 1) {
      const model = heldModels(shape) + index;
      if (model >= shape.models) break;
      await this.#edges[0]?.ask(
        'want',
        JSON.stringify({
          service: serviceName(model % serviceCount(shape)),
          model: modelName(model),
          waiting: 1,
        }),
      );
      await pause(LOAD_WAIT_MS);
    }
    return [];
  }

  async #demand(units: number): Promise<void> {
    const { shape } = this.#options;
    for (const part of this.#edges)
      await part.ask(
        'demand',
        JSON.stringify({ units, models: heldModels(shape), services: serviceCount(shape) }),
      );
  }

  // ---- waiting

  async #configure(): Promise<void> {
    const { shape } = this.#options;
    const body = JSON.stringify({
      id: `edit-${this.#version + 1}`,
      base: this.#version,
      text: routingText(shape, this.#version + 1),
    });
    await this.#until(
      this.#command.bind(this, JSON.stringify({ verb: 'configure', body })),
      isTaken,
      'a configuration taken',
    );
    this.#version += 1;
  }

  async #command(body: string): Promise<number> {
    const returned = await this.#controlNodes[0]?.ask('command', body);
    return mustParseAs(ReplyShape, returned ?? '', 'the return').status;
  }

  async #until<T>(ask: () => Promise<T>, isGood: (value: T) => boolean, what: string): Promise<T> {
    const end = sharedNow() + WAIT_MS;
    for (;;) {
      const value = await ask();
      if (isGood(value)) return value;
      if (sharedNow() > end) throw new Error(`waited too long for ${what}`);
      await pause(25);
    }
  }

  async #untilReached(topic: string, version: Version): Promise<number> {
    function hasAll(flows: number, { reached }: { readonly reached: number }): boolean {
      return reached >= flows;
    }
    const { lastAt } = await this.#until(
      this.#reached.bind(this, JSON.stringify({ topic, ...version })),
      hasAll.bind(undefined, this.#flows),
      `${topic} in force everywhere`,
    );
    return lastAt;
  }

  async #reached(ask: string): Promise<{ readonly reached: number; readonly lastAt: number }> {
    let reached = 0;
    let lastAt = 0;
    for (const part of this.#edges) {
      const own = mustParseAs(ReachedShape, await part.ask('reached', ask), 'the return');
      reached += own.reached;
      lastAt = Math.max(lastAt, own.lastAt);
    }
    return { reached, lastAt };
  }

  /** The leader's figures once it has told nothing new of the fleet for a while. */
  async #untilSettled(): Promise<ControlFigures> {
    const end = sharedNow() + WAIT_MS;
    let known = -1;
    let since = sharedNow();
    for (;;) {
      const leader = await this.#leader();
      if (leader.fleetCount !== known || leader.fleetCount === 0) {
        known = leader.fleetCount;
        since = sharedNow();
      }
      // A fleet that never rests is a figure too: it is measured as it is.
      if (
        sharedNow() - since > SETTLED_MS ||
        (sharedNow() > end - WAIT_MS * 0.8 && leader.fleetCount > 0)
      )
        return leader;
      if (sharedNow() > end) throw new Error('waited too long for a fleet');
      await pause(100);
    }
  }

  async #leader(): Promise<ControlFigures> {
    const end = sharedNow() + WAIT_MS;
    for (;;) {
      for (const part of this.#controlNodes) {
        const figures = await readControl(part);
        if (figures.isLeading) return figures;
      }
      if (sharedNow() > end) throw new Error('waited too long for a leader');
      await pause(50);
    }
  }

  async #snapshot(): Promise<Snapshot> {
    const [controlNodes, edges, links, flows] = await Promise.all([
      Promise.all(this.#controlNodes.map(readControl)),
      Promise.all(this.#edges.map(readEdges)),
      Promise.all(this.#watchedAgent ? [readEdges(this.#watchedAgent)] : []),
      Promise.all(this.#watchedProxy ? [readCost(this.#watchedProxy)] : []),
    ]);
    return { at: sharedNow(), controlNodes, edges, watchedAgent: links[0], watchedProxy: flows[0] };
  }
}

async function readControl(part: ScalePart): Promise<ControlFigures> {
  return mustParseAs(ControlFiguresShape, await part.ask('figures', ''), 'the figures');
}
async function readEdges(part: ScalePart): Promise<EdgesFigures> {
  return mustParseAs(EdgesFiguresShape, await part.ask('figures', ''), 'the figures');
}
async function readCost(part: ScalePart): Promise<Cost> {
  return mustParseAs(CostShape, await part.ask('figures', ''), 'the figures');
}
function hasFleetAfter(count: number, leader: ControlFigures): boolean {
  return leader.fleetCount > count;
}
function isTaken(status: number): boolean {
  return status === 200;
}

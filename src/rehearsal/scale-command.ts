import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Command, Flags } from '@oclif/core';
import { servePart } from './scale-part.js';
import { PART_KINDS, startPart } from './scale-parts.js';
import { ScaleRun, type ScalePoint } from './scale-run.js';
import type { ScaleShape } from './scale-shape.js';

/** Sizes of a point that its series does not set. */
const BASE_SHAPE: ScaleShape = {
  nodes: 100,
  runners: 1000,
  models: 190,
  adapters: 1600,
  routes: 200,
  zones: 11,
  controlNodes: 3,
};
/** The points of each series, as differences from the base. */
const SERIES: Readonly<Record<string, readonly Partial<ScaleShape>[]>> = {
  nodes: [{ nodes: 30 }, { nodes: 100 }, { nodes: 300 }, { nodes: 600 }, { nodes: 1000 }],
  runners: [{ runners: 1000 }, { runners: 2000 }, { runners: 5000 }, { runners: 11_000 }],
  models: [
    { models: 190, adapters: 1600 },
    { models: 500, adapters: 4200 },
    { models: 1000, adapters: 8400 },
    { models: 1900, adapters: 16_000 },
  ],
  routes: [{ routes: 200 }, { routes: 500 }, { routes: 1000 }, { routes: 2000 }],
  one: [{}],
  target: [{ nodes: 1000, runners: 11_000, models: 1900, adapters: 16_000 }],
};

/** The command `rehearsal scale`: measures the cost of the control plane at growing sizes, and plots it. */
export class ScaleCommand extends Command {
  static override aliases = ['myth:scale'];
  static override deprecateAliases = true;
  static override description =
    'measure the cost of the control plane by role and its growth, with synthetic edges and runners and real control nodes';
  static override flags = {
    series: Flags.string({
      default: 'nodes',
      options: Object.keys(SERIES),
      description: 'size that grows from point to point',
    }),
    nodes: Flags.integer({
      default: BASE_SHAPE.nodes,
      description: 'number of nodes, unless the series sets it',
    }),
    runners: Flags.integer({
      default: BASE_SHAPE.runners,
      description: 'number of runners, unless the series sets it',
    }),
    models: Flags.integer({
      default: BASE_SHAPE.models,
      description: 'number of models, unless the series sets it',
    }),
    processes: Flags.integer({
      default: 3,
      description: 'number of processes of the synthetic edges',
    }),
    seconds: Flags.integer({
      default: 8,
      description: 'duration of each phase without changes in seconds',
    }),
    changes: Flags.integer({
      default: 5,
      description: 'number of configuration changes, and of fleet changes, at each point',
    }),
    units: Flags.integer({
      default: 40,
      description:
        'number of models that each proxy reports demand for every second in the phase with demand',
    }),
    loads: Flags.integer({ default: 4, description: 'number of loads at each point' }),
    out: Flags.string({
      default: '',
      description: 'output folder for the figures (JSON) and the plots (SVG)',
    }),
    plot: Flags.boolean({
      default: false,
      description: 'only plot the figures in the output folder',
    }),
    part: Flags.string({ hidden: true, options: [...PART_KINDS] }),
    parent: Flags.integer({ hidden: true, default: process.ppid }),
    settings: Flags.string({ hidden: true, default: '' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ScaleCommand);
    if (flags.part !== undefined)
      return servePart(await startPart(flags.part, flags.settings), flags.parent);
    if (!flags.plot) {
      const points: ScalePoint[] = [];
      for (const change of SERIES[flags.series] ?? []) {
        const shape = {
          ...BASE_SHAPE,
          nodes: flags.nodes,
          runners: flags.runners,
          models: flags.models,
          ...change,
        };
        const run = new ScaleRun({
          shape,
          isForked: true,
          program: process.argv[1] ?? '',
          processes: flags.processes,
          restMs: flags.seconds * 1000,
          changes: flags.changes,
          units: flags.units,
          loads: flags.loads,
          log: this.log.bind(this),
        });
        points.push(await run.run());
        this.#write(flags.out, flags.series, points);
      }
      if (flags.out === '') this.log(JSON.stringify(points));
    }
    if (flags.out !== '') {
      // Loaded here, so that no other command loads the plotting library.
      const { plotSeries } = await import('./scale-plot.js');
      for (const file of await plotSeries(flags.out)) this.log(file);
    }
    this.exit(0);
  }

  #write(folder: string, series: string, points: readonly ScalePoint[]): void {
    if (folder === '') return;
    mkdirSync(folder, { recursive: true });
    writeFileSync(
      join(folder, `${series}.json`),
      `${JSON.stringify({ series, points }, undefined, 1)}\n`,
    );
  }
}

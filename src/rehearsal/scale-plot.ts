import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { array, number, record, string, type, type Infer } from 'superstruct';
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import { mustParseAs } from '../common/json.js';
import { fitOf, type Fit } from './scale-fit.js';

const CountShape = type({ messages: number(), bytes: number() });
const RoleShape = type({
  sent: CountShape,
  received: CountShape,
  cpuMs: number(),
  rssMb: number(),
});
const PhaseShape = type({
  phase: string(),
  roles: record(string(), RoleShape),
  all: CountShape,
  inForceMs: array(number()),
  fleetNews: number(),
});
const PointShape = type({
  shape: record(string(), number()),
  configBytes: number(),
  fleetBytes: number(),
  phases: array(PhaseShape),
});
const SeriesShape = type({ series: string(), points: array(PointShape) });
type Point = Infer<typeof PointShape>;
type Phase = Infer<typeof PhaseShape>;

/** Series that can be plotted; each is named after the size that grows. */
export const PLOTTED_SERIES = ['nodes', 'runners', 'models', 'routes'] as const;

/** One point of a plot. */
interface Row {
  readonly panel: string;
  readonly role: string;
  readonly x: number;
  readonly y: number;
}
/** The fit of one curve: the figure of a role in one panel of a series. */
export interface NamedFit extends Fit {
  readonly series: string;
  readonly panel: string;
  readonly role: string;
  readonly values: readonly (readonly [number, number])[];
}

function medianOf(times: readonly number[]): number {
  return [...times].sort(byValue)[Math.floor(times.length / 2)] ?? 0;
}
function byValue(a: number, b: number): number {
  return a - b;
}

/** Returns all figures of a phase that are plotted against the size of the fleet. */
function rowsOfPhase(x: number, { phase, roles, all, inForceMs }: Phase): Row[] {
  const isPerSecond = phase === 'rest' || phase === 'demand';
  const unit = isPerSecond ? 'a second' : 'a change';
  const rows: Row[] = [];
  for (const [role, { sent, received, cpuMs, rssMb }] of Object.entries(roles)) {
    if (role !== 'watched flow' && role !== 'watched link') {
      rows.push(
        { panel: `${phase}: bytes sent ${unit}`, role, x, y: sent.bytes },
        { panel: `${phase}: bytes received ${unit}`, role, x, y: received.bytes },
      );
      rows.push({ panel: `${phase}: messages sent ${unit}`, role, x, y: sent.messages });
    }
    // Synthetic agents share a process; only roles with a process of their own have meaningful processor time and memory.
    if (role !== 'link')
      rows.push(
        { panel: `${phase}: processor ms ${unit}`, role, x, y: cpuMs },
        { panel: `${phase}: memory, MB`, role, x, y: rssMb },
      );
  }
  rows.push(
    { panel: `${phase}: messages of all nodes ${unit}`, role: 'all', x, y: all.messages },
    { panel: `${phase}: bytes of all nodes ${unit}`, role: 'all', x, y: all.bytes },
  );
  if (inForceMs.length > 0)
    rows.push({
      panel: `${phase}: in force at the last proxy, ms`,
      role: 'all',
      x,
      y: medianOf(inForceMs),
    });
  return rows;
}

function rowsOf(series: string, points: readonly Point[]): Row[] {
  const rows: Row[] = [];
  for (const point of points) {
    const x = point.shape[series] ?? 0;
    rows.push(
      { panel: 'body, bytes', role: 'configuration', x, y: point.configBytes },
      { panel: 'body, bytes', role: 'fleet', x, y: point.fleetBytes },
    );
    for (const phase of point.phases) rows.push(...rowsOfPhase(x, phase));
  }
  return rows;
}

function fitsOf(series: string, rows: readonly Row[]): NamedFit[] {
  const groups = new Map<
    string,
    { readonly panel: string; readonly role: string; readonly values: [number, number][] }
  >();
  for (const { panel, role, x, y } of rows) {
    const key = `${panel}\n${role}`;
    const group = groups.get(key) ?? { panel, role, values: [] };
    group.values.push([x, y]);
    groups.set(key, group);
  }
  const fits: NamedFit[] = [];
  for (const group of groups.values())
    if (group.values.length > 1) fits.push({ series, ...group, ...fitOf(group.values) });
  return fits;
}

function specOf(series: string, rows: readonly Row[], fits: readonly NamedFit[]): TopLevelSpec {
  const values = [];
  for (const row of rows) values.push({ ...row, line: null });
  for (const { panel, role, slope, start, values: points } of fits) {
    for (const x of [points[0]?.[0] ?? 0, points.at(-1)?.[0] ?? 0])
      values.push({ panel, role, x, y: null, line: start + slope * x });
  }
  return {
    data: { values },
    facet: { field: 'panel', type: 'nominal', title: null, sort: null },
    columns: 4,
    spec: {
      width: 230,
      height: 150,
      layer: [
        {
          mark: { type: 'point', filled: true },
          encoding: {
            x: { field: 'x', type: 'quantitative', title: series },
            y: { field: 'y', type: 'quantitative', title: null },
            color: { field: 'role', type: 'nominal' },
          },
        },
        {
          mark: { type: 'line', strokeDash: [3, 2] },
          encoding: {
            x: { field: 'x', type: 'quantitative' },
            y: { field: 'line', type: 'quantitative' },
            color: { field: 'role', type: 'nominal' },
          },
        },
      ],
    },
    resolve: { scale: { y: 'independent' } },
  };
}

/**
 * Plots each series in the folder, with its fits as dashed lines, and writes all fits to `fits.json`. Returns the paths of
 * the plots; throws if the file of a series does not match its schema.
 */
export async function plotSeries(folder: string): Promise<string[]> {
  const files: string[] = [];
  const allFits: NamedFit[] = [];
  for (const series of PLOTTED_SERIES) {
    const path = join(folder, `${series}.json`);
    if (!existsSync(path)) continue;
    const { points } = mustParseAs(SeriesShape, readFileSync(path, 'utf8'), path);
    const rows = rowsOf(series, points);
    const fits = fitsOf(series, rows);
    allFits.push(...fits);
    const view = new View(parse(compile(specOf(series, rows, fits)).spec), { renderer: 'none' });
    const file = join(folder, `${series}.svg`);
    writeFileSync(file, `${await view.toSVG()}\n`);
    files.push(file);
  }
  writeFileSync(join(folder, 'fits.json'), `[\n${allFits.map(lineOf).join(',\n')}\n]\n`);
  return files;
}

function lineOf(fit: NamedFit): string {
  return JSON.stringify(fit, rounded);
}
function rounded(_key: string, value: unknown): unknown {
  return typeof value === 'number' ? Number(value.toPrecision(5)) : value;
}

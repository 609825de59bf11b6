import { beforeAll, expect, test } from 'vitest';
import type { PhaseFigures } from './scale-figures.js';
import { ScaleRun, type ScalePoint } from './scale-run.js';
import { runInPacedTime } from './testing/paced-time.js';

/**
 * Small, and all in this process: what is counted is the same, only memory and processor time tell nothing. Time is paced,
 * so that a second is as many ticks of each program on a busy machine as on an idle one.
 */
const SIZES = [12, 48];
const points: ScalePoint[] = [];
function ignore(): void {
  /* figures are looked at alone */
}

function runOne(nodes: number): Promise<ScalePoint> {
  return new ScaleRun({
    shape: { nodes, runners: 24, models: 12, adapters: 24, routes: 10, zones: 3, controlNodes: 3 },
    isForked: false,
    program: '',
    processes: 1,
    restMs: 2000,
    changes: 2,
    units: 0,
    loads: 0,
    say: ignore,
  }).run();
}
function runSizes(): Promise<ScalePoint[]> {
  return Promise.all(SIZES.map(runOne));
}

function phaseOf(point: ScalePoint | undefined, name: string): PhaseFigures {
  const phase = point?.phases.find((phase) => phase.phase === name);
  if (!phase) throw new Error(`no ${name}`);
  return phase;
}

beforeAll(async () => {
  points.push(...(await runInPacedTime(runSizes)));
});

interface Sum {
  messages: number;
  bytes: number;
}

/** What a change itself brings about: news, acks, and writes among the voters; all that is said anyway is left out. */
function costOf(point: ScalePoint, name: string): Sum {
  const { kinds, repeats } = phaseOf(point, name);
  const sum = { messages: -repeats.messages, bytes: -repeats.bytes };
  const members: [string, number][] = [
    ['leader', 1],
    ['follower', point.shape.controlNodes - 1],
    ['link', point.shape.nodes],
  ];
  for (const [role, count] of members) {
    for (const [kind, sent] of Object.entries(kinds[role]?.sent ?? {})) {
      if (!/^(news|delta|ack$|write)/.test(kind)) continue;
      sum.messages += sent.messages * count;
      sum.bytes += sent.bytes * count;
    }
  }
  return sum;
}
/** docs/CAPACITY.md: at rest a link sends and receives what it does in any fleet; all else is its control node's. */
test('at rest a link says no more in a larger fleet', () => {
  for (const point of points) {
    const { link } = phaseOf(point, 'rest').roles;
    expect(link?.sent.messages ?? Infinity).toBeLessThan(6);
    expect((link?.sent.bytes ?? Infinity) + (link?.received.bytes ?? Infinity)).toBeLessThan(1000);
  }
});
/** Each node takes one copy of a change and acks it. */
test('a change takes a bounded number of messages a node', () => {
  for (const point of points) {
    const config = phaseOf(point, 'configuration change');
    expect(config.inForceMs).toHaveLength(2);
    const cost = costOf(point, 'configuration change');
    // News and ack for each node, and for the voters what they write and return.
    expect(cost.messages).toBeLessThan(2.1 * point.shape.nodes + 10);
    expect(cost.bytes).toBeLessThan((point.shape.nodes + 10) * (point.configBytes + 200));
    const fleet = phaseOf(point, 'fleet change');
    // Slow machines may tell one change in two words.
    const words = fleet.fleetNews / fleet.changes;
    expect(words).toBeLessThanOrEqual(2);
    expect(costOf(point, 'fleet change').messages).toBeLessThan(
      (1.1 * point.shape.nodes + 5) * words + 40,
    );
    // Asks that cross the news bring them once more: the slower the machine, the more, but no more than one for each node.
    for (const { repeats } of [config, fleet])
      expect(repeats.messages).toBeLessThan(1.2 * point.shape.nodes);
  }
});
test('messages and bytes grow no faster than the nodes', () => {
  const [small, large] = points;
  if (!small || !large) throw new Error('no points');
  const factor = large.shape.nodes / small.shape.nodes;
  const pairs = [
    [phaseOf(small, 'rest').all, phaseOf(large, 'rest').all],
    [costOf(small, 'configuration change'), costOf(large, 'configuration change')],
  ];
  for (const [first, last] of pairs) {
    // In step with the nodes or slower.
    expect((last?.messages ?? Infinity) / (first?.messages ?? 0)).toBeLessThan(factor * 1.2);
    expect((last?.bytes ?? Infinity) / (first?.bytes ?? 0)).toBeLessThan(factor * 1.2);
  }
});

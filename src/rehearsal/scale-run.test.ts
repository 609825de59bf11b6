import { beforeAll, expect, test } from 'vitest';
import type { PhaseFigures } from './scale-figures.js';
import { ScaleRun, type ScalePoint } from './scale-run.js';
import { runInPacedTime } from './testing/paced-time.js';

/**
 * Small fleets in this process: the counts are those of a forked run, only memory and processor time are not valid. Time
 * is paced, so that a second has the same number of ticks of each program on a busy machine as on an idle one.
 */
const NODE_COUNTS = [12, 48];
const points: ScalePoint[] = [];
function ignore(): void {
  /* the test checks the figures only */
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
    log: ignore,
  }).run();
}
function runSizes(): Promise<ScalePoint[]> {
  return Promise.all(NODE_COUNTS.map(runOne));
}

function phaseOf(point: ScalePoint | undefined, name: string): PhaseFigures {
  const phase = point?.phases.find((phase) => phase.phase === name);
  if (!phase) throw new Error(`no ${name}`);
  return phase;
}

beforeAll(async () => {
  points.push(...(await runInPacedTime(runSizes)));
});

interface Cost {
  messages: number;
  bytes: number;
}

/** Messages that a change itself causes: updates, acks, and writes among the voters, without periodic messages. */
function costOf(point: ScalePoint, name: string): Cost {
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
/** docs/CAPACITY.md: at rest an agent's messages do not depend on the size of the fleet, only a control node's do. */
test('at rest, an agent sends and receives no more in a larger fleet', () => {
  for (const point of points) {
    const { link } = phaseOf(point, 'rest').roles;
    expect(link?.sent.messages ?? Infinity).toBeLessThan(6);
    expect((link?.sent.bytes ?? Infinity) + (link?.received.bytes ?? Infinity)).toBeLessThan(1000);
  }
});
/** Each node receives one copy of a change and acknowledges it. */
test('a change takes a bounded number of messages per node', () => {
  for (const point of points) {
    const config = phaseOf(point, 'configuration change');
    expect(config.inForceMs).toHaveLength(2);
    const cost = costOf(point, 'configuration change');
    // An update and an ack for each node, and the writes and replies of the voters.
    expect(cost.messages).toBeLessThan(2.1 * point.shape.nodes + 10);
    expect(cost.bytes).toBeLessThan((point.shape.nodes + 10) * (point.configBytes + 200));
    const fleet = phaseOf(point, 'fleet change');
    // A slow machine may split one change into two updates.
    const updatesPerChange = fleet.fleetNews / fleet.changes;
    expect(updatesPerChange).toBeLessThanOrEqual(2);
    expect(costOf(point, 'fleet change').messages).toBeLessThan(
      (1.1 * point.shape.nodes + 5) * updatesPerChange + 40,
    );
    // A freshness request that crosses an update on the way repeats it: more often on slow machines, at most once per node.
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
    // Growth is at most proportional to the number of nodes.
    expect((last?.messages ?? Infinity) / (first?.messages ?? 0)).toBeLessThan(factor * 1.2);
    expect((last?.bytes ?? Infinity) / (first?.bytes ?? 0)).toBeLessThan(factor * 1.2);
  }
});

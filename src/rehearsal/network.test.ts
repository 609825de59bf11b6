import { expect, test } from 'vitest';
import { Simulation } from './simulation.js';
import { runSeeds } from './storms.js';
const [a, b, c] = ['mind-0:1', 'mind-1:1', 'mind-2:1'];
const DIRECTIONS: readonly (readonly [string, string])[] = [
  [a, b],
  [b, a],
  [a, c],
  [c, a],
  [b, c],
  [c, b],
];
function isConnected(cut: number, first: number): boolean {
  return (cut & (3 << first)) === 0;
}
test('every permanent partition that leaves two nodes connected ends with one permanent leader', async () => {
  const failures: string[] = [];
  for (let cut = 1; cut < 64; cut += 1) {
    // Two nodes connected in both directions are a majority, whatever else is cut permanently.
    if (![0, 2, 4].some(isConnected.bind(undefined, cut))) continue;
    const simulation = new Simulation({ seed: cut, edges: 1, faultPeriodMs: 0, faultKinds: [] });
    const { scheduler } = simulation;
    simulation.start();
    scheduler.runUntil(12_000);
    for (const [index, [from, to]] of DIRECTIONS.entries())
      if (cut & (1 << index)) simulation.network.cut(from, to);
    scheduler.runUntil(scheduler.now + 20_000);
    const leaders = new Set<string>();
    let gaps = 0;
    for (let tick = 0; tick < 100; tick += 1) {
      scheduler.runUntil(scheduler.now + 100);
      const leader = simulation.leader();
      if (leader) leaders.add(leader.id);
      else gaps += 1;
    }
    // Exactly one leader, the same one throughout.
    if (gaps > 0 || leaders.size !== 1)
      failures.push(
        `${cut.toString(2).padStart(6, '0')}: ${gaps} gaps, leaders ${[...leaders].join(' ')}`,
      );
    await new Promise(setImmediate);
  }
  expect(failures).toEqual([]);
}, 600_000);
test('no rule is broken when control nodes are partitioned, in one or both directions, partly or fully', async () => {
  expect(
    await runSeeds(2000, 30, [
      'cut-minds',
      'cut-one-way',
      'isolate-mind',
      'isolate-core',
      'loss',
      'delay',
    ]),
  ).toEqual([]);
}, 600_000);

import { expect, test } from 'vitest';
import { Simulation } from './simulation.js';
import { storm } from './storms.js';
const [a, b, c] = ['mind-0:1', 'mind-1:1', 'mind-2:1'];
const WAYS: readonly (readonly [string, string])[] = [
  [a, b],
  [b, a],
  [a, c],
  [c, a],
  [b, c],
  [c, b],
];
function isWhole(cut: number, first: number): boolean {
  return (cut & (3 << first)) === 0;
}
test('every lasting split that leaves two nodes in touch ends with one lasting holder', async () => {
  const without: string[] = [];
  for (let cut = 1; cut < 64; cut += 1) {
    // Two nodes that hear each other are a majority, whatever else is cut for good.
    if (![0, 2, 4].some(isWhole.bind(undefined, cut))) continue;
    const simulation = new Simulation({ seed: cut, edges: 1, stormMs: 0, troubles: [] });
    const { scheduler } = simulation;
    simulation.start();
    scheduler.runUntil(12_000);
    for (const [index, [from, to]] of WAYS.entries())
      if (cut & (1 << index)) simulation.network.cut(from, to);
    scheduler.runUntil(scheduler.now + 20_000);
    const holders = new Set<string>();
    let gaps = 0;
    for (let tick = 0; tick < 100; tick += 1) {
      scheduler.runUntil(scheduler.now + 100);
      const leader = simulation.leader();
      if (leader) holders.add(leader.id);
      else gaps += 1;
    }
    // One holder, and the same throughout.
    if (gaps > 0 || holders.size !== 1)
      without.push(
        `${cut.toString(2).padStart(6, '0')}: ${gaps} gaps, holders ${[...holders].join(' ')}`,
      );
    await new Promise(setImmediate);
  }
  expect(without).toEqual([]);
}, 600_000);
test('no rule breaks when the core is cut, one way or both, in part or whole', async () => {
  expect(
    await storm(2000, 30, [
      'cut-minds',
      'cut-one-way',
      'isolate-mind',
      'isolate-core',
      'loss',
      'delay',
    ]),
  ).toEqual([]);
}, 600_000);

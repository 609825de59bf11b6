import { expect, test } from 'vitest';
import { SimControl } from './sim-control.js';
import { Simulation } from './simulation.js';
import { storm } from './storms.js';
function mayOrder(controlNode: SimControl): boolean {
  return controlNode.core?.mayOrder(controlNode.now()) === true;
}
test('with clocks one in a hundred apart, holders are still three seconds apart', async () => {
  const gaps: number[] = [];
  for (let seed = 1; seed <= 6; seed += 1) {
    await new Promise(setImmediate);
    const simulation = new Simulation({ seed, edges: 0, stormMs: 0, troubles: [] });
    const { scheduler, network } = simulation;
    simulation.start();
    scheduler.runUntil(12_000);
    const leader = simulation.leader();
    if (!leader) throw new Error('no leader');
    // The worst that the bound allows: the holder's clock is slow, so that its lease lasts, and all others' are fast.
    for (const controlNode of simulation.controlNodes)
      controlNode.setRate(controlNode === leader ? 0.99 : 1.01);
    scheduler.runUntil(scheduler.now + 3000 + seed * 111);
    for (const controlNode of simulation.controlNodes)
      if (controlNode !== leader) {
        network.cut(leader.id, controlNode.id);
        network.cut(controlNode.id, leader.id);
      }
    let lastOld = scheduler.now;
    for (let step = 0; step < 4000; step += 1) {
      scheduler.runUntil(scheduler.now + 3);
      if (mayOrder(leader)) lastOld = scheduler.now;
      const next = simulation.controlNodes.find(
        (controlNode) => controlNode !== leader && mayOrder(controlNode),
      );
      if (next) {
        gaps.push(scheduler.now - lastOld);
        break;
      }
    }
  }
  expect(gaps).toHaveLength(6);
  expect(Math.min(...gaps)).toBeGreaterThanOrEqual(3000);
  expect(Math.max(...gaps)).toBeLessThan(4000);
}, 600_000);
test('a planned stop hands over in the span in which nobody orders, and no sooner', () => {
  // The leader is stopped as planned: the next one may order as soon as the span in which nobody does is over.
  const simulation = new Simulation({ seed: 3, edges: 1, stormMs: 0, troubles: [] });
  const { scheduler } = simulation;
  simulation.start();
  scheduler.runUntil(15_000);
  const leader = simulation.leader();
  leader?.retire();
  expect(simulation.leader()).toBeUndefined();
  scheduler.runUntil(scheduler.now + 50);
  if (leader) simulation.kill(leader);
  scheduler.runUntil(scheduler.now + 2900);
  expect(simulation.leader()).toBeUndefined();
  scheduler.runUntil(scheduler.now + 600);
  expect(simulation.leader()?.id).not.toBe(leader?.id);
  expect(simulation.leader()).toBeDefined();
}, 600_000);
test('no rule breaks when leaders are stopped as planned among troubles', async () => {
  expect(
    await storm(5000, 20, ['retire-mind', 'freeze-mind', 'cut-one-way', 'dark-runner']),
  ).toEqual([]);
}, 600_000);
test('no rule breaks when control nodes die, freeze, lose their disk or wait for it', async () => {
  expect(
    await storm(1000, 30, [
      'kill-mind',
      'wipe-mind',
      'rot-file',
      'stall-disk',
      'slow-disk',
      'freeze-mind',
    ]),
  ).toEqual([]);
}, 600_000);

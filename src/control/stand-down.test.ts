import { expect, test } from 'vitest';
import { ControlCluster, SEEDS } from './testing/control-cluster.js';

const STEP_MS = 10;

function leadingIn(cluster: ControlCluster): string {
  for (const [id, node] of cluster.nodes) if (node.core.elector.isLeading()) return id;
  return '';
}

/** The leader stands still so long after it was granted its epoch, while a copy is still waited for. */
function checkFrozenBeforeServing(steps: number): void {
  const cluster = new ControlCluster();
  for (const id of SEEDS) cluster.start(id, true);
  for (let waits = 0; waits < 2000 && leadingIn(cluster) === ''; waits += 1) cluster.run(STEP_MS);
  const leader = leadingIn(cluster);
  const slow = SEEDS.find((other) => other !== leader) ?? '';
  cluster.node(slow).disk = 'stalled';
  cluster.run(steps * STEP_MS);
  cluster.freeze(leader);
  cluster.run(3000);
  // Its timers come before what waits in its sockets.
  const { core } = cluster.node(leader);
  core.tick(cluster.now);
  expect([steps, core.isServing, core.elector.isLeading()]).toEqual([steps, false, false]);
}

test('a leader that stood still before it served does not serve without a lead', () => {
  for (let steps = 0; steps < 12; steps += 1) checkFrozenBeforeServing(steps);
});

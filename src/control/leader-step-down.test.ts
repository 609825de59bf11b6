import { expect, test } from 'vitest';
import { ControlCluster, SEEDS } from './testing/control-cluster.js';

const STEP_MS = 10;

function leadingNode(cluster: ControlCluster): string {
  for (const [id, node] of cluster.nodes) if (node.core.elector.isLeading()) return id;
  return '';
}

/** Freezes the leader this many steps after its election, while it still waits for a replica with a stalled disk. */
function checkFrozenBeforeServing(steps: number): void {
  const cluster = new ControlCluster();
  for (const id of SEEDS) cluster.start(id, true);
  for (let waits = 0; waits < 2000 && leadingNode(cluster) === ''; waits += 1) cluster.run(STEP_MS);
  const leader = leadingNode(cluster);
  const slow = SEEDS.find((other) => other !== leader) ?? '';
  cluster.node(slow).disk = 'stalled';
  cluster.run(steps * STEP_MS);
  cluster.freeze(leader);
  cluster.run(3000);
  // After a freeze its timers run before the messages waiting in its sockets.
  const { core } = cluster.node(leader);
  core.tick(cluster.now);
  expect([steps, core.isServing, core.elector.isLeading()]).toEqual([steps, false, false]);
}

test('a leader that was frozen before it served does not serve after it has lost the leadership', () => {
  for (let steps = 0; steps < 12; steps += 1) checkFrozenBeforeServing(steps);
});

import { expect, test } from 'vitest';
import { foundedFaultCluster } from './testing/fault-cluster.js';

const SEEDS_TRIED = 20;
/** After all have restarted somebody serves again within so long. */
const RECOVERED_MS = 3000;
const THREE = ['a:1', 'b:1', 'c:1'];
const FIVE = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];

/** All processes are killed right after an acknowledgement, and start again within 0.3 s of each other. */
function checkAllKilled(ids: readonly string[]): void {
  let longest = 0;
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) {
    const cluster = foundedFaultCluster(ids, { seed, mostDelayMs: 20, mostDiskMs: 20 });
    cluster.configure(0, 7);
    for (const id of ids) cluster.kill(id);
    cluster.run(500);
    const order = seed % 2 === 0 ? ids : ids.toReversed();
    for (const id of order) {
      cluster.start(id, THREE);
      cluster.run(300 / ids.length);
    }
    const took = cluster.runUntil(() => cluster.hasLeader(), RECOVERED_MS, `seed ${seed}`);
    longest = Math.max(longest, took);
    expect(cluster.versionAt(cluster.leader()), `seed ${seed}`).toBe(7);
  }
  process.stdout.write(
    `${ids.length} voters restarted: served again after ${longest} ms at most\n`,
  );
}

test('three voters that are all killed right after an acknowledgement', () =>
  checkAllKilled(THREE));
test('five voters that are all killed right after an acknowledgement', () => checkAllKilled(FIVE));

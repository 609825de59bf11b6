import { expect, test } from 'vitest';
import { formedFaultCluster } from './testing/fault-cluster.js';

const SEED_COUNT = 20;
/** After all voters have restarted, a leader serves again within this time. */
const RECOVERY_LIMIT_MS = 3000;
const THREE = ['a:1', 'b:1', 'c:1'];
const FIVE = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];

/** All processes are killed right after an acknowledgement, and start again within 0.3 s of each other. */
function checkAllKilled(ids: readonly string[]): void {
  let longestMs = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const cluster = formedFaultCluster(ids, { seed, maxDelayMs: 20, maxDiskMs: 20 });
    cluster.configure(0, 7);
    for (const id of ids) cluster.kill(id);
    cluster.run(500);
    const order = seed % 2 === 0 ? ids : ids.toReversed();
    for (const id of order) {
      cluster.start(id, THREE);
      cluster.run(300 / ids.length);
    }
    const tookMs = cluster.runUntil(() => cluster.hasLeader(), RECOVERY_LIMIT_MS, `seed ${seed}`);
    longestMs = Math.max(longestMs, tookMs);
    expect(cluster.versionAt(cluster.leader()), `seed ${seed}`).toBe(7);
  }
  process.stdout.write(
    `${ids.length} voters restarted: served again after ${longestMs} ms at most\n`,
  );
}

test('three voters that are all killed right after an acknowledgement keep what they acknowledged', () =>
  checkAllKilled(THREE));
test('five voters that are all killed right after an acknowledgement keep what they acknowledged', () =>
  checkAllKilled(FIVE));

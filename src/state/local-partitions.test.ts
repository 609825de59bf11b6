import { expect, test } from 'vitest';
import { partitionName } from '../common/ids.js';
import { LocalPartitions } from './local-partitions.js';
import { StateEffects } from './replicated-state-effect.js';

/** The last one is not a partition of the replica. */
const [FIRST, SECOND, UNKNOWN] = [partitionName('p0'), partitionName('p1'), partitionName('p9')];
const VERSION = { epoch: 2, count: 4 };

/** Two partitions, the first of which is on disk; `isIntact` is whether its file is valid. */
function partitionsWith(
  isIntact: boolean,
  effects: StateEffects = new StateEffects(),
): LocalPartitions {
  const stored = { partition: FIRST, version: VERSION, body: 'old', isIntact };
  return new LocalPartitions([FIRST, SECOND], [stored], effects);
}
test('a repair adopts only intact versions that are newer', () => {
  const effects = new StateEffects();
  const partitions = partitionsWith(true, effects);
  const same = { part: FIRST, ...VERSION, body: 'new', sound: true };
  const newer = { part: SECOND, epoch: 1, count: 1, body: 'new', sound: true };
  const corrupt = { part: FIRST, epoch: 9, count: 1, body: 'bad', sound: false };
  const unknown = { part: UNKNOWN, epoch: 9, count: 1, body: 'bad', sound: true };
  expect([...partitions.adopt([same, newer, corrupt, unknown])]).toEqual([SECOND]);
  expect(partitions.get(FIRST)?.body).toBe('old');
  expect(effects.drain()).toEqual([
    { do: 'store', partition: SECOND, version: { epoch: 1, count: 1 }, body: 'new' },
  ]);
});
test('a corrupt file is replaced by the same version from another voter', () => {
  const partitions = partitionsWith(false);
  expect(partitions.corruptPartitions()).toEqual([FIRST]);
  partitions.adopt([{ part: FIRST, ...VERSION, body: 'new', sound: true }]);
  expect(partitions.corruptPartitions()).toEqual([]);
  expect(partitions.get(FIRST)?.body).toBe('new');
});
test('an older version is not stored over a newer one', () => {
  const effects = new StateEffects();
  const partitions = partitionsWith(true, effects);
  partitions.store(FIRST, { epoch: 2, count: 3 }, 'older');
  expect(effects.drain()).toEqual([]);
  partitions.store(FIRST, { epoch: 3, count: 1 }, 'newer');
  expect(effects.drain()).toHaveLength(1);
  expect(partitions.get(FIRST)?.body).toBe('newer');
});
test('digests of a range differ if a version differs or a file is corrupt', () => {
  const [partitions, other] = [partitionsWith(true), partitionsWith(true)];
  other.put(SECOND, { epoch: 1, count: 1 }, '');
  expect(partitions.digest(0, 1)).toBe(other.digest(0, 1));
  expect(partitions.digest(0, 2)).not.toBe(other.digest(0, 2));
  expect(partitions.digest(0, 1)).not.toBe(partitionsWith(false).digest(0, 1));
});
test('effects of the leader are dropped when it steps down, writes of the replica are not', () => {
  const effects = new StateEffects();
  effects.add({ do: 'serving' });
  effects.store(FIRST, VERSION, '');
  effects.add({ do: 'voters', version: VERSION, body: '' });
  effects.dropCoordinatorEffects();
  expect(effects.drain()).toEqual([{ do: 'store', partition: FIRST, version: VERSION, body: '' }]);
});

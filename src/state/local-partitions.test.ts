import { expect, test } from 'vitest';
import { partitionName } from '../common/ids.js';
import { LocalPartitions } from './local-partitions.js';
import { StateEffects } from './replicated-state-effect.js';

/** The last is no part of ours. */
const [FIRST, SECOND, OTHER] = [partitionName('p0'), partitionName('p1'), partitionName('p9')];
const VERSION = { epoch: 2, count: 4 };

/** Two parts, the first of which is on disk; `isIntact` says whether its file is what was written. */
function copiesWith(
  isIntact: boolean,
  effects: StateEffects = new StateEffects(),
): LocalPartitions {
  const stored = { partition: FIRST, version: VERSION, body: 'old', isIntact };
  return new LocalPartitions([FIRST, SECOND], [stored], effects);
}
test('only what is newer and sound is taken for a repair', () => {
  const effects = new StateEffects();
  const copies = copiesWith(true, effects);
  const same = { part: FIRST, ...VERSION, body: 'new', sound: true };
  const newer = { part: SECOND, epoch: 1, count: 1, body: 'new', sound: true };
  const unsound = { part: FIRST, epoch: 9, count: 1, body: 'bad', sound: false };
  const foreign = { part: OTHER, epoch: 9, count: 1, body: 'bad', sound: true };
  expect([...copies.adopt([same, newer, unsound, foreign])]).toEqual([SECOND]);
  expect(copies.of(FIRST)?.body).toBe('old');
  expect(effects.drain()).toEqual([
    { do: 'store', partition: SECOND, version: { epoch: 1, count: 1 }, body: 'new' },
  ]);
});
test('a bad file is replaced by the same version of another voter', () => {
  const copies = copiesWith(false);
  expect(copies.corruptPartitions()).toEqual([FIRST]);
  copies.adopt([{ part: FIRST, ...VERSION, body: 'new', sound: true }]);
  expect(copies.corruptPartitions()).toEqual([]);
  expect(copies.of(FIRST)?.body).toBe('new');
});
test('an older version is not stored over a newer one', () => {
  const effects = new StateEffects();
  const copies = copiesWith(true, effects);
  copies.store(FIRST, { epoch: 2, count: 3 }, 'older');
  expect(effects.drain()).toEqual([]);
  copies.store(FIRST, { epoch: 3, count: 1 }, 'newer');
  expect(effects.drain()).toHaveLength(1);
  expect(copies.of(FIRST)?.body).toBe('newer');
});
test('digests tell a range apart that differs in a version or a bad file', () => {
  const [copies, other] = [copiesWith(true), copiesWith(true)];
  other.put(SECOND, { epoch: 1, count: 1 }, '');
  expect(copies.digest(0, 1)).toBe(other.digest(0, 1));
  expect(copies.digest(0, 2)).not.toBe(other.digest(0, 2));
  expect(copies.digest(0, 1)).not.toBe(copiesWith(false).digest(0, 1));
});
test('what the owner decided is dropped with the lead, what the replica stores is not', () => {
  const effects = new StateEffects();
  effects.add({ do: 'serving' });
  effects.store(FIRST, VERSION, '');
  effects.add({ do: 'voters', version: VERSION, body: '' });
  effects.dropCoordinatorEffects();
  expect(effects.drain()).toEqual([{ do: 'store', partition: FIRST, version: VERSION, body: '' }]);
});

import { expect, test } from 'vitest';
import type { VoteRecord } from '../election/vote-effect.js';
import { CONFIG_PARTITION, VOTE_RECORD } from '../state/partition-names.js';
import type { StoredPartition } from '../state/store.js';
import { EffectQueue } from './effect-queue.js';
import { readVotes, VoteStorage } from './vote-storage.js';

const RECORD: VoteRecord = { epoch: 4, grantEpoch: 3, grantLeader: 'b' };

function file(body: string, isIntact: boolean): StoredPartition {
  return { partition: VOTE_RECORD, version: { epoch: 4, count: 7 }, body, isIntact };
}
test('only an empty disk is blank; a missing, corrupt or malformed vote record is lost', () => {
  const recordText = JSON.stringify(RECORD);
  const other = {
    partition: CONFIG_PARTITION,
    version: { epoch: 1, count: 1 },
    body: '',
    isIntact: true,
  };
  const lost = { status: 'lost', count: 7, record: undefined };
  expect(readVotes([])).toEqual({ status: 'blank', count: 0, record: undefined });
  expect(readVotes([other])).toEqual({ status: 'lost', count: 0, record: undefined });
  expect(readVotes([other, file(recordText, true)])).toEqual({
    status: 'sound',
    count: 7,
    record: RECORD,
  });
  expect(readVotes([file(recordText, false)])).toEqual(lost);
  expect(readVotes([file('{}', true)])).toEqual(lost);
});
test('a record on disk implies that all earlier ones are persisted', () => {
  const effects = new EffectQueue();
  const votes = new VoteStorage(effects, 7, 2);
  votes.persist(1, { ...RECORD, grantEpoch: 3 });
  votes.persist(2, { ...RECORD, grantEpoch: 4 });
  votes.persist(3, { ...RECORD, grantEpoch: 5 });
  const [first] = effects.drain();
  expect(first).toEqual({
    do: 'store',
    partition: VOTE_RECORD,
    version: { epoch: 4, count: 8 },
    body: JSON.stringify(RECORD),
  });
  const persistedTokens: number[] = [];
  votes.onPersisted({ epoch: 4, count: 9 }, (token) => persistedTokens.push(token));
  expect(persistedTokens).toEqual([1, 2]);
  expect(votes.persistedGrant).toBe(4);
  expect(votes.nextCount).toBe(11);
});

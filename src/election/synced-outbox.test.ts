import { expect, test } from 'vitest';
import { moment, nodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { SyncedOutbox } from './synced-outbox.js';

const b = nodeId('b');
const RECORD = { epoch: 3, grantEpoch: 2, grantLeader: 'b' };
const MESSAGE: Message = { kind: 'released', epoch: 3 };
const SEND = { do: 'send', to: 'b', message: MESSAGE };
const STALL_MS = 1000;

test('a message sent after a record leaves once that record is on disk', () => {
  const outbox = new SyncedOutbox(moment(0));
  outbox.persist(RECORD, moment(0));
  outbox.send(b, MESSAGE);
  expect(outbox.drain()).toEqual([{ do: 'persistVote', token: 1, record: RECORD }]);
  outbox.onPersisted(0);
  expect(outbox.drain()).toEqual([]);
  outbox.onPersisted(1);
  expect(outbox.drain()).toEqual([SEND]);
  expect(outbox.drain()).toEqual([]);
});

test('a message waits for all records written before it, but for no later ones', () => {
  const outbox = new SyncedOutbox(moment(0));
  const released: Message = { kind: 'released', epoch: 4 };
  outbox.persist(RECORD, moment(0));
  outbox.send(b, MESSAGE);
  outbox.persist(RECORD, moment(0));
  outbox.send(b, released);
  outbox.drain();
  outbox.onPersisted(1);
  expect(outbox.drain()).toEqual([SEND]);
  outbox.onPersisted(2);
  expect(outbox.drain()).toEqual([{ ...SEND, message: released }]);
});

test('a persisted record covers the older ones, and a late report of an older one changes nothing', () => {
  const outbox = new SyncedOutbox(moment(0));
  outbox.persist(RECORD, moment(0));
  outbox.persist(RECORD, moment(0));
  outbox.send(b, MESSAGE);
  outbox.drain();
  outbox.onPersisted(2);
  expect(outbox.drain()).toEqual([SEND]);
  outbox.onPersisted(1);
  outbox.send(b, MESSAGE);
  expect(outbox.drain()).toEqual([SEND]);
});

test('a message is sent immediately if every record is on disk', () => {
  const outbox = new SyncedOutbox(moment(0));
  outbox.send(b, MESSAGE);
  expect(outbox.drain()).toEqual([SEND]);
});

test('a message that depends on no record is not delayed, and a background record delays none', () => {
  const outbox = new SyncedOutbox(moment(0));
  outbox.persistInBackground(RECORD);
  outbox.send(b, MESSAGE);
  expect(outbox.drain()).toEqual([{ do: 'persistVote', token: 0, record: RECORD }, SEND]);
  outbox.persist(RECORD, moment(0));
  outbox.sendImmediately(b, MESSAGE);
  expect(outbox.drain()).toEqual([{ do: 'persistVote', token: 1, record: RECORD }, SEND]);
});

test('a disk is stalled once its oldest pending record has waited for longer than the limit', () => {
  const outbox = new SyncedOutbox(moment(0));
  expect(outbox.isStalled(moment(50_000), STALL_MS)).toBe(false);
  outbox.persist(RECORD, moment(10_000));
  // A second record does not restart the wait.
  outbox.persist(RECORD, moment(10_900));
  expect(outbox.isStalled(moment(11_000), STALL_MS)).toBe(false);
  expect(outbox.isStalled(moment(11_001), STALL_MS)).toBe(true);
  outbox.onPersisted(1);
  expect(outbox.isStalled(moment(11_001), STALL_MS)).toBe(true);
  outbox.onPersisted(2);
  expect(outbox.isStalled(moment(11_001), STALL_MS)).toBe(false);
  outbox.persist(RECORD, moment(20_000));
  expect(outbox.isStalled(moment(21_000), STALL_MS)).toBe(false);
  expect(outbox.isStalled(moment(21_001), STALL_MS)).toBe(true);
});

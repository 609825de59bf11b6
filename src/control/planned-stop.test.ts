import { describe, expect, test } from 'vitest';
import { moment } from '../common/ids.js';
import { DepartingVoters } from './departing-voters.js';
import { PeerIdleClock } from './peer-idle-clock.js';
import { VoterHandover } from './voter-handover.js';

const HANDOVER_TIMEOUT_MS = 4000;
const REPLY_TIMEOUT_MS = 600;
const NOTIFY_INTERVAL_MS = 200;
const DEPARTURE_TIMEOUT_MS = 1000;
const STALL_MS = 400;
const START_MS = 10_000;

function at(millis: number) {
  return moment(START_MS + millis);
}

describe('the handover of a planned stop', () => {
  test('notifies the leader at an interval', () => {
    const handover = new VoterHandover(at(0));
    expect(handover.isNotifyDue(at(0))).toBe(true);
    handover.onNotified(at(0));
    expect(handover.isNotifyDue(at(NOTIFY_INTERVAL_MS - 1))).toBe(false);
    expect(handover.isNotifyDue(at(NOTIFY_INTERVAL_MS))).toBe(true);
  });

  test('is over once the leader permits the stop, and not before', () => {
    const handover = new VoterHandover(at(0));
    handover.onReply(false);
    expect(handover.isOver).toBe(false);
    handover.onReply(true);
    expect(handover.isOver).toBe(true);
    handover.onReply(false);
    expect(handover.isOver).toBe(true);
  });

  test('is over without a reply and without a spare', () => {
    const handover = new VoterHandover(at(0));
    handover.tick(at(REPLY_TIMEOUT_MS - 1), false);
    expect(handover.isOver).toBe(false);
    handover.tick(at(REPLY_TIMEOUT_MS), false);
    expect(handover.isOver).toBe(true);
  });

  test('waits longer where a spare is known, or the leader has replied', () => {
    const [withSpare, withReply] = [new VoterHandover(at(0)), new VoterHandover(at(0))];
    withReply.onReply(false);
    for (const [handover, hasSpare] of [
      [withSpare, true],
      [withReply, false],
    ] as const) {
      handover.tick(at(HANDOVER_TIMEOUT_MS - 1), hasSpare);
      expect(handover.isOver).toBe(false);
      handover.tick(at(HANDOVER_TIMEOUT_MS), hasSpare);
      expect(handover.isOver).toBe(true);
    }
  });
});

test('a voter counts as departing for a second after its last notification', () => {
  const departing = new DepartingVoters();
  expect(departing.has('b')).toBe(false);
  departing.onDeparture(at(0), 'b');
  departing.onDeparture(at(500), 'b');
  departing.onDeparture(at(0), 'c');
  departing.tick(at(DEPARTURE_TIMEOUT_MS));
  expect([departing.has('b'), departing.has('c')]).toEqual([true, true]);
  departing.tick(at(DEPARTURE_TIMEOUT_MS + 1));
  expect([departing.has('b'), departing.has('c')]).toEqual([true, false]);
  departing.tick(at(DEPARTURE_TIMEOUT_MS + 501));
  expect(departing.has('b')).toBe(false);
});

describe('the time for which a peer is idle', () => {
  test('counts from its last message, and is 0 for a peer that was never pinged', () => {
    const clock = new PeerIdleClock(at(0));
    clock.tick(at(100));
    expect(clock.idleMs(at(100), at(70))).toBe(30);
    expect(clock.idleMs(at(100), undefined)).toBe(0);
  });

  test('counts from the start of this process at most', () => {
    expect(new PeerIdleClock(at(0)).idleMs(at(50), at(-5000))).toBe(50);
  });

  test('counts from the end of the last stall of this process at most', () => {
    const clock = new PeerIdleClock(at(0));
    clock.tick(at(STALL_MS));
    expect(clock.idleMs(at(STALL_MS), at(0))).toBe(STALL_MS);
    clock.tick(at(2 * STALL_MS + 1));
    expect(clock.idleMs(at(2 * STALL_MS + 1), at(0))).toBe(0);
    clock.tick(at(2 * STALL_MS + 51));
    expect(clock.idleMs(at(2 * STALL_MS + 51), at(0))).toBe(50);
  });
});

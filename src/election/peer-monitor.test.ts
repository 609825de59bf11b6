import { expect, test } from 'vitest';
import { moment, nodeId, type NodeId } from '../common/ids.js';
import { Quorum } from '../common/quorum.js';
import { SyncedOutbox } from './synced-outbox.js';
import { PeerMonitor } from './peer-monitor.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const QUORUM = new Quorum([a, b, c]);

/** The monitor of `a` after one ping at time 0. */
function monitorAfterPing(): PeerMonitor {
  const monitor = new PeerMonitor(a, VOTE_DEFAULTS, new SyncedOutbox(moment(0)), moment(0));
  monitor.tick(moment(0), QUORUM, undefined);
  return monitor;
}

function returnPing(monitor: PeerMonitor, peer: NodeId, at: number, sentAt: number = 0): void {
  monitor.onPong(moment(at), peer, {
    kind: 'pong',
    nonce: sentAt,
    epoch: 0,
    reports: [],
    standing: '',
  });
}
test('a round trip of up to 100 ms adds no extra time', () => {
  const monitor = monitorAfterPing();
  expect(monitor.extraRoundTripMs(QUORUM)).toBe(0);
  returnPing(monitor, b, 100);
  expect([monitor.extraRoundTripMs(QUORUM), monitor.extraRoundTripMsOf(b)]).toEqual([0, 0]);
});
test('a longer round trip adds twice its excess over 100 ms', () => {
  const monitor = monitorAfterPing();
  returnPing(monitor, b, 600);
  expect([
    monitor.extraRoundTripMs(QUORUM),
    monitor.extraRoundTripMsOf(b),
    monitor.extraRoundTripMsOf(c),
  ]).toEqual([1000, 1000, 0]);
  // The nearer voter completes the majority, so nothing waits for the far one.
  returnPing(monitor, c, 650, 640);
  expect([monitor.extraRoundTripMs(QUORUM), monitor.extraRoundTripMsOf(b)]).toEqual([0, 1000]);
});
test('a pong that proves no contact is not measured', () => {
  const monitor = monitorAfterPing();
  returnPing(monitor, b, VOTE_DEFAULTS.peerTimeoutMs);
  expect([monitor.extraRoundTripMs(QUORUM), monitor.reachesMajority(QUORUM)]).toEqual([0, false]);
  // A pong to a previous incarnation may carry a time that is still ahead.
  returnPing(monitor, c, 100, 5000);
  expect([monitor.extraRoundTripMs(QUORUM), monitor.extraRoundTripMsOf(c)]).toEqual([0, 0]);
});
test('a dead voter does not count', () => {
  const monitor = monitorAfterPing();
  returnPing(monitor, b, 10);
  returnPing(monitor, c, 600);
  expect(monitor.extraRoundTripMs(QUORUM)).toBe(0);
  const later = moment(600 + VOTE_DEFAULTS.peerTimeoutMs);
  returnPing(monitor, c, later, later - 600);
  // `b` counts as dead from the next ping on, so the majority then includes the far voter.
  monitor.tick(later, QUORUM, undefined);
  expect(monitor.extraRoundTripMs(QUORUM)).toBe(1000);
});

import { expect, test } from 'vitest';
import { moment, nodeId, type NodeId } from '../common/ids.js';
import { Quorum } from '../common/quorum.js';
import { SyncedOutbox } from './synced-outbox.js';
import { PeerMonitor } from './peer-monitor.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const QUORUM = new Quorum([a, b, c]);

/** Links of `a` after one ping at moment 0. */
function pinged(): PeerMonitor {
  const links = new PeerMonitor(a, VOTE_DEFAULTS, new SyncedOutbox(moment(0)), moment(0));
  links.tick(moment(0), QUORUM, undefined);
  return links;
}

function answer(links: PeerMonitor, peer: NodeId, at: number, sent: number = 0): void {
  links.onPong(moment(at), peer, {
    kind: 'pong',
    nonce: sent,
    epoch: 0,
    reports: [],
    standing: '',
  });
}
test('up to a round trip of 100 ms nothing is added', () => {
  const links = pinged();
  expect(links.extraRoundTripMs(QUORUM)).toBe(0);
  answer(links, b, 100);
  expect([links.extraRoundTripMs(QUORUM), links.extraRoundTripMsOf(b)]).toEqual([0, 0]);
});
test('twice what a round trip exceeds that is added', () => {
  const links = pinged();
  answer(links, b, 600);
  expect([
    links.extraRoundTripMs(QUORUM),
    links.extraRoundTripMsOf(b),
    links.extraRoundTripMsOf(c),
  ]).toEqual([1000, 1000, 0]);
  // The nearer one completes the majority: the far one makes nobody wait.
  answer(links, c, 650, 640);
  expect([links.extraRoundTripMs(QUORUM), links.extraRoundTripMsOf(b)]).toEqual([0, 1000]);
});
test('what proves no contact measures nothing', () => {
  const links = pinged();
  answer(links, b, VOTE_DEFAULTS.peerTimeoutMs);
  expect([links.extraRoundTripMs(QUORUM), links.reachesMajority(QUORUM)]).toEqual([0, false]);
  // A pong to a former incarnation names a moment that this one has not had yet.
  answer(links, c, 100, 5000);
  expect([links.extraRoundTripMs(QUORUM), links.extraRoundTripMsOf(c)]).toEqual([0, 0]);
});
test('one that is away does not count', () => {
  const links = pinged();
  answer(links, b, 10);
  answer(links, c, 600);
  expect(links.extraRoundTripMs(QUORUM)).toBe(0);
  const later = moment(600 + VOTE_DEFAULTS.peerTimeoutMs);
  answer(links, c, later, later - 600);
  // Dead to us from the next ping on: the majority is then one with the far voter.
  links.tick(later, QUORUM, undefined);
  expect(links.extraRoundTripMs(QUORUM)).toBe(1000);
});

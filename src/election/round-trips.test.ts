import { expect, test } from 'vitest';
import { nodeId, type NodeId } from '../common/ids.js';
import { Quorum } from '../common/quorum.js';
import { RoundTrips } from './round-trips.js';

const [a, b, c, d, e] = [nodeId('a'), nodeId('b'), nodeId('c'), nodeId('d'), nodeId('e')];

function isAnyPeer(): boolean {
  return true;
}
function isNotB(peer: NodeId): boolean {
  return peer !== b;
}
test('the shortest of the last eight round trips counts', () => {
  const roundTrips = new RoundTrips();
  expect(roundTrips.shortestMs(b)).toBe(undefined);
  roundTrips.add(b, 10);
  // A process that was suspended answers several pings late.
  for (const late of [1000, 750, 500, 250]) roundTrips.add(b, late);
  expect(roundTrips.shortestMs(b)).toBe(10);
  for (let pings = 0; pings < 8; pings += 1) roundTrips.add(b, 400);
  expect(roundTrips.shortestMs(b)).toBe(400);
});
test('the slowest of the fastest majority of reachable voters counts', () => {
  const quorum = new Quorum([a, b, c, d, e]);
  const roundTrips = new RoundTrips();
  roundTrips.add(b, 10);
  expect(roundTrips.majorityMs(a, quorum, isAnyPeer)).toBe(0);
  roundTrips.add(c, 800);
  expect(roundTrips.majorityMs(a, quorum, isAnyPeer)).toBe(800);
  roundTrips.add(d, 20);
  expect(roundTrips.majorityMs(a, quorum, isAnyPeer)).toBe(20);
  // Without `b` the majority consists of others.
  expect(roundTrips.majorityMs(a, quorum, isNotB)).toBe(800);
  // While the set of voters changes, a majority of both sets is needed.
  const changing = new Quorum([a, b, d], [a, c, e]);
  expect(roundTrips.majorityMs(a, changing, isAnyPeer)).toBe(800);
});

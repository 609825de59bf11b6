import { expect, test } from 'vitest';
import { nodeId } from './ids.js';
import { Quorum } from './quorum.js';

const [a, b, c, d] = [nodeId('a'), nodeId('b'), nodeId('c'), nodeId('d')];
test('while a voter is being replaced a majority needs a majority of the old and of the new set', () => {
  const joint = new Quorum([a, b, c], [a, b, d]);
  expect(joint.isMajority(new Set([a, c]))).toBe(false);
  expect(joint.isMajority(new Set([a, b]))).toBe(true);
  expect(joint.isMajority(new Set([a, c, d]))).toBe(true);
});
test('a node that lost its disk must read from every node it may have formed a majority with', () => {
  const three = new Quorum([a, b, c]);
  expect(three.coversWithout(a, new Set([b]))).toBe(false);
  expect(three.coversWithout(a, new Set([a, b]))).toBe(false);
  expect(three.coversWithout(a, new Set([b, c]))).toBe(true);
  // The replaced node may be lost permanently: the other two have all that the new one needs.
  expect(three.coversWithout(d, new Set([b, c]))).toBe(true);
  expect(new Quorum([a, b, c], [d, b, c]).coversWithout(d, new Set([b, c]))).toBe(true);
  expect(new Quorum([a, b, c], [d, b, c]).coversWithout(d, new Set([a, b]))).toBe(false);
});

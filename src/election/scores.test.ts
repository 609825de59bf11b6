import { expect, test } from 'vitest';
import { nodeId } from '../common/ids.js';
import { Scores } from './scores.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const VOTERS = [a, b, c];
test("a score follows the design's formula and never falls below 0", () => {
  const scores = new Scores(a, 10);
  scores.recordAlive(b, 1);
  scores.recordDead(b, 2);
  const link = scores.reports()[0]?.links[0];
  expect(link).toEqual({ peer: b, score: 1 * (1 - 0.1) - 0.1, alive: false });
  scores.recordDead(b, 1000);
  expect(scores.reports()[0]?.links[0]?.score).toBe(0);
  scores.recordAlive(b, 1);
  expect(scores.reports()[0]?.links[0]?.score).toBeCloseTo(0.05);
});
test('a dead link counts 0', () => {
  const scores = new Scores(a, 10);
  scores.recordAlive(b, 1);
  expect(scores.total(b, VOTERS)).toBe(1);
  scores.recordDead(b, 0.1);
  expect(scores.total(b, VOTERS)).toBe(0);
});
test('older reports are ignored, and a frozen copy does not change', () => {
  const scores = new Scores(a, 10);
  scores.merge([{ owner: 'b', version: 5, links: [{ peer: 'c', score: 0.5, alive: true }] }]);
  scores.merge([{ owner: 'b', version: 4, links: [{ peer: 'c', score: 0.9, alive: true }] }]);
  expect(scores.total(c, VOTERS)).toBe(0.5);
  const frozen = scores.freeze();
  scores.merge([{ owner: 'b', version: 6, links: [{ peer: 'c', score: 0.7, alive: true }] }]);
  expect(frozen.total(c, VOTERS)).toBe(0.5);
});
test('a restarted owner continues from its own last version', () => {
  const scores = new Scores(a, 10);
  scores.recordAlive(b, 1);
  scores.merge([{ owner: 'a', version: 90, links: [{ peer: 'b', score: 0.4, alive: false }] }]);
  scores.recordAlive(b, 0);
  expect(scores.reports()[0]).toEqual({
    owner: 'a',
    version: 92,
    links: [{ peer: 'b', score: 0.4, alive: true }],
  });
});

import { expect, test } from 'vitest';
import { nodeId, type NodeId } from '../common/ids.js';
import type { ScoreReport } from '../common/messages.js';
import { Scores } from './scores.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const VOTERS = [a, b, c];
const HALF_LIFE = 10;

function reportOf(owner: NodeId, version: number, scores: Record<string, number>): ScoreReport {
  const links = Object.entries(scores).map(([peer, score]) => ({ peer, score, alive: true }));
  return { owner, version, links };
}

/** What `a` knows where `c` alone has told of its links. */
function viewOf(scores: Record<string, number>): Scores {
  const view = new Scores(a, HALF_LIFE);
  view.merge([reportOf(c, 1, scores)]);
  return view;
}

function ownScore(scores: Scores, peer: NodeId): number | undefined {
  return scores.reports()[0]?.links.find((link) => link.peer === peer)?.score;
}

test('a score goes on from where it was, up and down', () => {
  const scores = new Scores(a, HALF_LIFE);
  scores.recordDead(b, 10);
  expect(ownScore(scores, b)).toBe(0);
  scores.recordAlive(b, 2);
  expect(ownScore(scores, b)).toBeCloseTo(0.1);
  scores.recordAlive(b, 2);
  expect(ownScore(scores, b)).toBeCloseTo(0.19);
  scores.recordDead(b, 1);
  expect(ownScore(scores, b)).toBeCloseTo(0.19 * 0.95 - 0.05);
});

test('a report of a version that is known changes nothing', () => {
  const view = viewOf({ b: 0.5 });
  view.merge([reportOf(c, 1, { b: 0.9 })]);
  expect(view.total(b, VOTERS)).toBe(0.5);
});

test("a restarted owner trusts its own pings alone for which links are alive, and its report's scores", () => {
  const scores = new Scores(a, HALF_LIFE);
  scores.recordAlive(b, 1);
  scores.merge([reportOf(a, 90, { b: 0.4, c: 0.6 })]);
  expect(scores.reports()).toEqual([
    {
      owner: 'a',
      version: 91,
      links: [
        { peer: 'b', score: 0.4, alive: true },
        { peer: 'c', score: 0.6, alive: false },
      ],
    },
  ]);
  expect([scores.isAlive(a), scores.isAlive(b), scores.isAlive(c)]).toEqual([true, true, false]);
});

test('what a node says of itself, and what nodes say that do not vote, is not counted', () => {
  const view = new Scores(a, HALF_LIFE);
  view.merge([reportOf(b, 1, { b: 0.7, c: 0.2 }), reportOf(nodeId('d'), 1, { b: 0.9 })]);
  expect(view.total(b, VOTERS)).toBe(0);
  expect(view.total(c, VOTERS)).toBe(0.2);
});

test('the higher total is better, and among equals the lower id', () => {
  const worse = viewOf({ a: 0.4, b: 0.5 });
  expect([worse.ranksAbove(a, b, VOTERS), worse.ranksAbove(b, a, VOTERS)]).toEqual([false, true]);
  const better = viewOf({ a: 0.5, b: 0.4 });
  expect([better.ranksAbove(a, b, VOTERS), better.ranksAbove(b, a, VOTERS)]).toEqual([true, false]);
  const equal = viewOf({ a: 0.5, b: 0.5 });
  expect([equal.ranksAbove(a, b, VOTERS), equal.ranksAbove(b, a, VOTERS)]).toEqual([true, false]);
});

test('one is above another by its total alone, and by no less than a thousandth', () => {
  const higher = viewOf({ a: 0.4, b: 0.5 });
  expect([higher.hasHigherTotal(b, a, VOTERS), higher.hasHigherTotal(a, b, VOTERS)]).toEqual([
    true,
    false,
  ]);
  const equal = viewOf({ a: 0.5, b: 0.5 });
  expect([equal.hasHigherTotal(b, a, VOTERS), equal.hasHigherTotal(a, b, VOTERS)]).toEqual([
    false,
    false,
  ]);
  const close = viewOf({ a: 0.5, b: 0.5004 });
  expect([close.hasHigherTotal(b, a, VOTERS), close.ranksAbove(b, a, VOTERS)]).toEqual([
    false,
    false,
  ]);
  const apart = viewOf({ a: 0.5, b: 0.501 });
  expect([apart.hasHigherTotal(b, a, VOTERS), apart.ranksAbove(b, a, VOTERS)]).toEqual([
    true,
    true,
  ]);
});

test('the top is the best of the voters, wherever it stands among them', () => {
  const voters = [nodeId('d'), a, b];
  expect(viewOf({ a: 0.4, b: 0.5, d: 0.3 }).highestRanked([...voters, c])).toBe(b);
  expect(viewOf({ a: 0.4, b: 0.3, d: 0.5 }).highestRanked([...voters, c])).toBe('d');
  expect(viewOf({ a: 0.5, b: 0.3, d: 0.5 }).highestRanked([...voters, c])).toBe(a);
  expect(viewOf({}).highestRanked([])).toBe(undefined);
});

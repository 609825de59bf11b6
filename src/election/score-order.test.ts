import { expect, test } from 'vitest';
import { nodeId, type NodeId } from '../common/ids.js';
import type { ScoreReport } from '../common/messages.js';
import { Scores } from './scores.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const VOTERS = [a, b, c];
const HALF_LIFE_SECONDS = 10;

function reportOf(owner: NodeId, version: number, scores: Record<string, number>): ScoreReport {
  const links = Object.entries(scores).map(([peer, score]) => ({ peer, score, alive: true }));
  return { owner, version, links };
}

/** The scores that `a` knows if only `c` has reported its links. */
function scoresReportedByC(scores: Record<string, number>): Scores {
  const view = new Scores(a, HALF_LIFE_SECONDS);
  view.merge([reportOf(c, 1, scores)]);
  return view;
}

function ownScore(scores: Scores, peer: NodeId): number | undefined {
  return scores.reports()[0]?.links.find((link) => link.peer === peer)?.score;
}

test('a score rises and falls from its last value', () => {
  const scores = new Scores(a, HALF_LIFE_SECONDS);
  scores.recordDead(b, 10);
  expect(ownScore(scores, b)).toBe(0);
  scores.recordAlive(b, 2);
  expect(ownScore(scores, b)).toBeCloseTo(0.1);
  scores.recordAlive(b, 2);
  expect(ownScore(scores, b)).toBeCloseTo(0.19);
  scores.recordDead(b, 1);
  expect(ownScore(scores, b)).toBeCloseTo(0.19 * 0.95 - 0.05);
});

test('a report of a known version changes nothing', () => {
  const view = scoresReportedByC({ b: 0.5 });
  view.merge([reportOf(c, 1, { b: 0.9 })]);
  expect(view.total(b, VOTERS)).toBe(0.5);
});

test('a restarted owner takes scores from its old report, but liveness only from its own pings', () => {
  const scores = new Scores(a, HALF_LIFE_SECONDS);
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

test('scores that a node reports of itself, or that non-voters report, do not count', () => {
  const view = new Scores(a, HALF_LIFE_SECONDS);
  view.merge([reportOf(b, 1, { b: 0.7, c: 0.2 }), reportOf(nodeId('d'), 1, { b: 0.9 })]);
  expect(view.total(b, VOTERS)).toBe(0);
  expect(view.total(c, VOTERS)).toBe(0.2);
});

test('the higher total ranks above, and between equal totals the lower id', () => {
  const worse = scoresReportedByC({ a: 0.4, b: 0.5 });
  expect([worse.ranksAbove(a, b, VOTERS), worse.ranksAbove(b, a, VOTERS)]).toEqual([false, true]);
  const better = scoresReportedByC({ a: 0.5, b: 0.4 });
  expect([better.ranksAbove(a, b, VOTERS), better.ranksAbove(b, a, VOTERS)]).toEqual([true, false]);
  const equal = scoresReportedByC({ a: 0.5, b: 0.5 });
  expect([equal.ranksAbove(a, b, VOTERS), equal.ranksAbove(b, a, VOTERS)]).toEqual([true, false]);
});

test('a total is higher without the tie-break, and only by at least a thousandth', () => {
  const higher = scoresReportedByC({ a: 0.4, b: 0.5 });
  expect([higher.hasHigherTotal(b, a, VOTERS), higher.hasHigherTotal(a, b, VOTERS)]).toEqual([
    true,
    false,
  ]);
  const equal = scoresReportedByC({ a: 0.5, b: 0.5 });
  expect([equal.hasHigherTotal(b, a, VOTERS), equal.hasHigherTotal(a, b, VOTERS)]).toEqual([
    false,
    false,
  ]);
  const close = scoresReportedByC({ a: 0.5, b: 0.5004 });
  expect([close.hasHigherTotal(b, a, VOTERS), close.ranksAbove(b, a, VOTERS)]).toEqual([
    false,
    false,
  ]);
  const apart = scoresReportedByC({ a: 0.5, b: 0.501 });
  expect([apart.hasHigherTotal(b, a, VOTERS), apart.ranksAbove(b, a, VOTERS)]).toEqual([
    true,
    true,
  ]);
});

test('the highest-ranked voter is found at any position', () => {
  const voters = [nodeId('d'), a, b];
  expect(scoresReportedByC({ a: 0.4, b: 0.5, d: 0.3 }).highestRanked([...voters, c])).toBe(b);
  expect(scoresReportedByC({ a: 0.4, b: 0.3, d: 0.5 }).highestRanked([...voters, c])).toBe('d');
  expect(scoresReportedByC({ a: 0.5, b: 0.3, d: 0.5 }).highestRanked([...voters, c])).toBe(a);
  expect(scoresReportedByC({}).highestRanked([])).toBe(undefined);
});

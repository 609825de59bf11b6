import { describe, expect, test } from 'vitest';
import type { Message, ScoreReport } from '../common/messages.js';
import { A, B, C, kindsOf, VoterHarness, reportOf } from './testing/voter-harness.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const { electionMs } = VOTE_DEFAULTS;
const ROUND_TRIP_MS = 600;
/** The extra time that an exchange takes with that round trip. */
const EXTRA_ROUND_TRIP_MS = 1000;
const STAGGER_STEP_MS = 100;
/** The startup delay of a voter that never voted: only the extra time for slow links. */
const STARTUP_DELAY_MS = EXTRA_ROUND_TRIP_MS;
const EQUAL_SCORES = [reportOf(A), reportOf(B), reportOf(C)];
/** Reports by which `c` has the highest total score. */
const C_SCORES_HIGHEST = [
  reportOf(A),
  {
    owner: 'c',
    version: 1,
    links: [
      { peer: 'a', score: 0.2, alive: true },
      { peer: 'b', score: 0.2, alive: true },
    ],
  },
  reportOf(B),
];

/** Voter `b` at the end of its startup delay, with one ping answered by both others after `roundTripMs`. */
function voterWithRoundTrip(
  roundTripMs: number,
  reports: ScoreReport[] = EQUAL_SCORES,
): VoterHarness {
  const voter = new VoterHarness(B);
  voter.tickAt(0);
  voter.setTime(roundTripMs);
  voter.answerPings([A, C], roundTripMs, reports);
  voter.setTime(STARTUP_DELAY_MS);
  return voter;
}

function propose(epoch: number): Message {
  return { kind: 'propose', epoch, reports: [] };
}
function victory(epoch: number): Message {
  return { kind: 'victory', epoch, reports: [], nonce: 1, quorum: ['a', 'b', 'c'], sentAt: 0 };
}

test('the elector reports the extra time of an exchange', () => {
  expect(voterWithRoundTrip(ROUND_TRIP_MS).elector.extraRoundTripMs).toBe(EXTRA_ROUND_TRIP_MS);
  expect(voterWithRoundTrip(ROUND_TRIP_MS).elector.extraRoundTripMsOf(A)).toBe(EXTRA_ROUND_TRIP_MS);
  expect(voterWithRoundTrip(50).elector.extraRoundTripMs).toBe(0);
});

describe('over slow links', () => {
  test('a voter waits by its position among the voters after its startup delay', () => {
    const voter = voterWithRoundTrip(ROUND_TRIP_MS);
    const staggerEnd = STARTUP_DELAY_MS + STAGGER_STEP_MS + EXTRA_ROUND_TRIP_MS;
    expect(kindsOf(voter.tickAt(STARTUP_DELAY_MS - 1))).toEqual([]);
    expect(kindsOf(voter.tickAt(STARTUP_DELAY_MS))).toEqual([]);
    voter.answerPings([A, C], ROUND_TRIP_MS);
    voter.tickAt(staggerEnd - 1);
    expect(voter.elector.role).toBe('looking');
    voter.tickAt(staggerEnd);
    expect(voter.elector.role).toBe('proposing');
  });

  test('a round is prolonged by the extra time of an exchange', () => {
    const voter = voterWithRoundTrip(ROUND_TRIP_MS);
    voter.receive(A, propose(1));
    expect(voter.elector.role).toBe('deferred');
    const deadline = STARTUP_DELAY_MS + 2 * electionMs + EXTRA_ROUND_TRIP_MS;
    voter.tickAt(deadline - 1);
    expect(voter.elector.role).toBe('deferred');
    voter.tickAt(deadline);
    expect(voter.elector.role).not.toBe('deferred');
  });

  test('the position among the voters decides the first election, whatever the scores', () => {
    const voter = voterWithRoundTrip(ROUND_TRIP_MS, C_SCORES_HIGHEST);
    expect(kindsOf(voter.receive(C, propose(3)))).toEqual(['propose to a', 'propose to c']);
    const ordinary = voterWithRoundTrip(50, C_SCORES_HIGHEST);
    expect(kindsOf(ordinary.receive(C, propose(3)))).toEqual(['defer to c']);
  });

  test('scores decide once a leader has been known', () => {
    const voter = voterWithRoundTrip(ROUND_TRIP_MS, C_SCORES_HIGHEST);
    voter.receive(A, victory(2));
    expect(kindsOf(voter.receive(C, propose(5)))).toEqual(['defer to c']);
  });

  test('a winner that own proposals have overtaken is not superseded again by the tie-break alone', () => {
    for (const late of [victory(2), renewal(2)]) {
      const voter = voterSupersedingC(ROUND_TRIP_MS);
      voter.receive(C, late);
      expect(kindsOf(voter.receive(C, propose(9)))).toEqual(['defer to c']);
    }
  });

  test('a proposer that has won no epoch, or was succeeded by another leader, is superseded by the tie-break', () => {
    const voter = voterSupersedingC(ROUND_TRIP_MS);
    expect(kindsOf(voter.receive(C, propose(9)))).toEqual(['propose to a', 'propose to c']);
    voter.receive(C, victory(2));
    voter.receive(A, victory(12));
    expect(kindsOf(voter.receive(C, propose(15)))).toEqual(['propose to a', 'propose to c']);
  });
});

test('over ordinary links a winner that own proposals have overtaken is superseded by the tie-break', () => {
  const voter = voterSupersedingC(50);
  voter.receive(C, victory(2));
  expect(kindsOf(voter.receive(C, propose(9)))).toEqual(['propose to a', 'propose to c']);
});

/** Voter `b` that has superseded `c` twice and proposes itself in epoch 7. */
function voterSupersedingC(roundTripMs: number): VoterHarness {
  const voter = voterWithRoundTrip(roundTripMs);
  voter.receive(C, propose(1));
  voter.receive(C, propose(5));
  expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 7]);
  return voter;
}

function renewal(epoch: number): Message {
  return { kind: 'renew', epoch, nonce: 2, quorum: ['a', 'b', 'c'], sentAt: 0 };
}

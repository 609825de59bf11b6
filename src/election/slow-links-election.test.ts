import { describe, expect, test } from 'vitest';
import type { Message, ScoreReport } from '../common/messages.js';
import { A, B, C, kindsOf, LoneVoter, reportOf } from './testing/lone-voter.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const { electionMs } = VOTE_DEFAULTS;
const ROUND_TRIP_MS = 600;
/** By how much longer than on ordinary links an exchange takes then. */
const SLOW_MS = 1000;
const TURN_MS = 100;
/** A voter that never voted listens for a leader for as long as slow links need. */
const LISTENED_MS = SLOW_MS;
const EQUAL = [reportOf(A), reportOf(B), reportOf(C)];
/** The links of `a` and `b` to `c` are better than those to each other. */
const C_BETTER = [
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

/** Voter `b` that both others have answered once, over links with that round trip, once it has listened for a leader. */
function voterOver(roundTripMs: number, reports: ScoreReport[] = EQUAL): LoneVoter {
  const voter = new LoneVoter(B);
  voter.tickAt(0);
  voter.moveTo(roundTripMs);
  voter.answerPings([A, C], roundTripMs, reports);
  voter.moveTo(LISTENED_MS);
  return voter;
}

function propose(epoch: number): Message {
  return { kind: 'propose', epoch, reports: [] };
}
function victory(epoch: number): Message {
  return { kind: 'victory', epoch, reports: [], nonce: 1, quorum: ['a', 'b', 'c'], sentAt: 0 };
}

test('the elector tells by how much longer an exchange takes', () => {
  expect(voterOver(ROUND_TRIP_MS).elector.extraRoundTripMs).toBe(SLOW_MS);
  expect(voterOver(ROUND_TRIP_MS).elector.extraRoundTripMsOf(A)).toBe(SLOW_MS);
  expect(voterOver(50).elector.extraRoundTripMs).toBe(0);
});

describe('over slow links', () => {
  test('a voter waits its turn, by its place among the voters, once it has listened', () => {
    const voter = voterOver(ROUND_TRIP_MS);
    const turnEnd = LISTENED_MS + TURN_MS + SLOW_MS;
    expect(kindsOf(voter.tickAt(LISTENED_MS - 1))).toEqual([]);
    expect(kindsOf(voter.tickAt(LISTENED_MS))).toEqual([]);
    voter.answerPings([A, C], ROUND_TRIP_MS);
    voter.tickAt(turnEnd - 1);
    expect(voter.elector.role).toBe('looking');
    voter.tickAt(turnEnd);
    expect(voter.elector.role).toBe('proposing');
  });

  test('a round lasts longer by what an exchange takes longer', () => {
    const voter = voterOver(ROUND_TRIP_MS);
    voter.receive(A, propose(1));
    expect(voter.elector.role).toBe('deferred');
    const limit = LISTENED_MS + 2 * electionMs + SLOW_MS;
    voter.tickAt(limit - 1);
    expect(voter.elector.role).toBe('deferred');
    voter.tickAt(limit);
    expect(voter.elector.role).not.toBe('deferred');
  });

  test('the place among the voters decides the first election, whatever the scores', () => {
    const voter = voterOver(ROUND_TRIP_MS, C_BETTER);
    expect(kindsOf(voter.receive(C, propose(3)))).toEqual(['propose to a', 'propose to c']);
    const ordinary = voterOver(50, C_BETTER);
    expect(kindsOf(ordinary.receive(C, propose(3)))).toEqual(['defer to c']);
  });

  test('scores decide once a leader has been known', () => {
    const voter = voterOver(ROUND_TRIP_MS, C_BETTER);
    voter.receive(A, victory(2));
    expect(kindsOf(voter.receive(C, propose(5)))).toEqual(['defer to c']);
  });

  test('a winner that own proposals have passed is not outbid again by the tie-break alone', () => {
    for (const late of [victory(2), renewal(2)]) {
      const voter = outbiddingC(ROUND_TRIP_MS);
      voter.receive(C, late);
      expect(kindsOf(voter.receive(C, propose(9)))).toEqual(['defer to c']);
    }
  });

  test('a proposer that has won nothing, or that another leader has followed, is outbid by the tie-break', () => {
    const voter = outbiddingC(ROUND_TRIP_MS);
    expect(kindsOf(voter.receive(C, propose(9)))).toEqual(['propose to a', 'propose to c']);
    voter.receive(C, victory(2));
    voter.receive(A, victory(12));
    expect(kindsOf(voter.receive(C, propose(15)))).toEqual(['propose to a', 'propose to c']);
  });
});

test('over ordinary links a winner that own proposals have passed is outbid by the tie-break', () => {
  const voter = outbiddingC(50);
  voter.receive(C, victory(2));
  expect(kindsOf(voter.receive(C, propose(9)))).toEqual(['propose to a', 'propose to c']);
});

/** Voter `b` that has outbid `c` twice and proposes itself in epoch 7. */
function outbiddingC(roundTripMs: number): LoneVoter {
  const voter = voterOver(roundTripMs);
  voter.receive(C, propose(1));
  voter.receive(C, propose(5));
  expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 7]);
  return voter;
}

function renewal(epoch: number): Message {
  return { kind: 'renew', epoch, nonce: 2, quorum: ['a', 'b', 'c'], sentAt: 0 };
}

import { describe, expect, test } from 'vitest';
import { nodeId } from '../common/ids.js';
import type { Message, ScoreReport } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import { A, B, C, kindsOf, LoneVoter, reportOf } from './testing/lone-voter.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const { pingMs, electionMs, peerTimeoutMs, renewMs, leaseMs } = VOTE_DEFAULTS;
const NOBODY = { epoch: 0, grantEpoch: 0, grantLeader: '' };
/** When a voter that both others answer proposes itself for the first time. */
const FIRST_MS = pingMs;
const D = nodeId('d');

function propose(epoch: number, reports: ScoreReport[] = []): Message {
  return { kind: 'propose', epoch, reports };
}
function defer(epoch: number): Message {
  return { kind: 'defer', epoch, reports: [] };
}
function victory(epoch: number, quorum: readonly string[]): Message {
  return { kind: 'victory', epoch, reports: [], nonce: 1, quorum: [...quorum], sentAt: 0 };
}

/** Voter `b` that both others answer and that has not proposed itself yet; all links have the same score. */
function looking(): LoneVoter {
  const voter = new LoneVoter(B);
  voter.tickAt(0);
  voter.answerPings([A, C], 0, [reportOf(A), reportOf(B), reportOf(C)]);
  return voter;
}

/** The same once it proposes itself, in epoch 1. */
function proposing(): LoneVoter {
  const voter = looking();
  voter.tickAt(FIRST_MS);
  voter.answerPings([A, C]);
  return voter;
}

/** Ticks on, with the answers of both others, until just before that moment. */
function runUntil(voter: LoneVoter, untilMs: number): void {
  for (let at = voter.now + pingMs; at < untilMs; at += pingMs) {
    voter.tickAt(at);
    voter.answerPings([A, C]);
  }
}

function standingOf({ elector }: LoneVoter): readonly [string, number] {
  return [elector.role, elector.epoch];
}

describe('a voter that knows no leader', () => {
  test('proposes itself to all others in the next epoch that elects', () => {
    const voter = looking();
    const sent = voter.tickAt(FIRST_MS);
    expect(sent).toMatchObject([
      ['a', { kind: 'propose', epoch: 1 }],
      ['c', { kind: 'propose', epoch: 1 }],
    ]);
    expect(standingOf(voter)).toEqual(['proposing', 1]);
    expect(voter.elector.electionsStarted).toBe(1);
  });

  test('does not propose itself where no majority answers it', () => {
    const voter = new LoneVoter(B);
    for (let at = 0; at < 3000; at += pingMs) expect(voter.tickAt(at)).toEqual([]);
    expect(standingOf(voter)).toEqual(['looking', 0]);
    expect(voter.elector.electionsStarted).toBe(0);
  });

  test('does not propose itself where its disk stalls', () => {
    const voter = looking();
    voter.isDiskStalled = true;
    voter.receive(A, propose(7));
    voter.tickAt(FIRST_MS);
    runUntil(voter, 3000);
    expect(standingOf(voter)).toEqual(['looking', 7]);
    expect(voter.elector.electionsStarted).toBe(0);
  });
});

describe('deferrals', () => {
  test('make the proposer win at once where everybody alive has deferred', () => {
    const voter = proposing();
    expect(voter.receive(A, defer(1))).toEqual([]);
    expect(standingOf(voter)).toEqual(['proposing', 1]);
    expect(kindsOf(voter.receive(C, defer(1)))).toEqual(['victory to a', 'victory to c']);
    expect(standingOf(voter)).toEqual(['won', 2]);
  });

  test('are not waited for of voters that are dead', () => {
    const voter = proposing();
    for (let at = FIRST_MS + pingMs; at <= FIRST_MS + pingMs + peerTimeoutMs; at += pingMs) {
      voter.tickAt(at);
      voter.answerPings([A]);
    }
    const { epoch } = voter.elector;
    expect(kindsOf(voter.receive(A, defer(epoch)))).toEqual(['victory to a', 'victory to c']);
  });

  test('of a majority win at the limit, and not before', () => {
    const voter = proposing();
    voter.receive(C, defer(1));
    runUntil(voter, FIRST_MS + electionMs);
    voter.tickAt(FIRST_MS + electionMs - 1);
    expect(standingOf(voter)).toEqual(['proposing', 1]);
    voter.tickAt(FIRST_MS + electionMs);
    expect(standingOf(voter)).toEqual(['won', 2]);
    expect([...voter.elector.quorumMembers].sort()).toEqual(['b', 'c']);
  });

  test('of no majority make the proposer start over at the limit', () => {
    const voter = proposing();
    runUntil(voter, FIRST_MS + electionMs);
    voter.tickAt(FIRST_MS + electionMs);
    expect(standingOf(voter)).toEqual(['proposing', 3]);
    expect(voter.elector.electionsStarted).toBe(2);
  });

  test('of a node that does not vote, or in another epoch, count for nothing', () => {
    const voter = proposing();
    for (const epoch of [0, 3]) for (const peer of [A, C]) voter.receive(peer, defer(epoch));
    voter.receive(D, defer(1));
    voter.receive(C, defer(1));
    expect(standingOf(voter)).toEqual(['proposing', 1]);
  });

  test('count for nothing at one that no longer proposes itself', () => {
    const voter = proposing();
    voter.receive(A, propose(1));
    expect(voter.elector.role).toBe('deferred');
    for (const peer of [A, C]) expect(voter.receive(peer, defer(1))).toEqual([]);
    runUntil(voter, FIRST_MS + electionMs);
    voter.tickAt(FIRST_MS + electionMs);
    expect(standingOf(voter)).toEqual(['deferred', 1]);
  });

  test('of the round before count for nothing in the next', () => {
    const voter = proposing();
    voter.receive(C, propose(1));
    voter.receive(C, propose(3));
    expect(standingOf(voter)).toEqual(['proposing', 5]);
    voter.receive(C, defer(1));
    runUntil(voter, FIRST_MS + electionMs);
    voter.tickAt(FIRST_MS + electionMs);
    expect(standingOf(voter)).toEqual(['proposing', 7]);
  });
});

describe('the proposal of another in a later epoch', () => {
  test('is deferred to where that one is to lead', () => {
    const voter = looking();
    expect(voter.receive(A, propose(3))).toMatchObject([['a', { kind: 'defer', epoch: 3 }]]);
    expect(standingOf(voter)).toEqual(['deferred', 3]);
    expect(voter.records.at(-1)).toMatchObject({ epoch: 3 });
  });

  test('is outbid in the epoch after where this voter is to lead', () => {
    const voter = looking();
    const sent = voter.receive(C, propose(3));
    expect(sent).toMatchObject([
      ['a', { kind: 'propose', epoch: 5 }],
      ['c', { kind: 'propose', epoch: 5 }],
    ]);
    expect(standingOf(voter)).toEqual(['proposing', 5]);
  });

  test('is deferred to where this voter is to lead and could not win', () => {
    const unreachable = new LoneVoter(B);
    expect(kindsOf(unreachable.receive(C, propose(3)))).toEqual(['defer to c']);
    const retired = looking();
    retired.elector.retire(retired.now);
    expect(kindsOf(retired.receive(C, propose(3)))).toEqual(['defer to c']);
    const seatless = looking();
    seatless.elector.setQuorum(new Quorum([A, C]));
    expect(kindsOf(seatless.receive(C, propose(3)))).toEqual(['defer to c']);
  });

  test('is deferred to where it is of the leader that is followed, and no worse by its scores', () => {
    const voter = looking();
    voter.receive(C, victory(2, ['c', 'b']));
    expect(kindsOf(voter.receive(C, propose(5)))).toEqual(['defer to c']);
  });

  test('is outbid even where it is of the leader that is followed, if that one has lost its links', () => {
    const voter = looking();
    voter.receive(C, victory(2, ['c', 'b']));
    const reports = [{ ...reportOf(A, 0.5), version: 9 }];
    const links = [
      { peer: 'b', score: 1, alive: true },
      { peer: 'c', score: 0.2, alive: true },
    ];
    const sent = voter.receive(C, propose(5, [{ owner: 'a', version: 10, links }, ...reports]));
    expect(kindsOf(sent)).toEqual(['propose to a', 'propose to c']);
    expect(voter.elector.epoch).toBe(7);
  });

  test('of another than the leader that is followed is judged by the tie-break too', () => {
    const voter = looking();
    voter.receive(A, victory(2, ['a', 'b', 'c']));
    expect(kindsOf(voter.receive(C, propose(5)))).toEqual(['propose to a', 'propose to c']);
  });

  test('is not answered where the proposer does not vote, or this voter must not', () => {
    const voter = looking();
    expect(voter.receive(D, propose(3))).toEqual([]);
    expect(voter.elector.epoch).toBe(0);
    voter.elector.setMayVote(false, NOBODY, voter.now);
    voter.drain();
    expect(voter.receive(A, propose(3))).toEqual([]);
    expect(voter.elector.epoch).toBe(0);
  });

  test('is deferred to by one that has just restarted, where it is of whoever led before', () => {
    const record = { epoch: 6, grantEpoch: 6, grantLeader: 'c' };
    const links = [
      { peer: 'b', score: 1, alive: true },
      { peer: 'c', score: 0.2, alive: true },
    ];
    const worse = propose(9, [{ owner: 'a', version: 10, links }]);
    const former = new LoneVoter(B, { record });
    former.tickAt(0);
    former.answerPings([A, C]);
    expect(kindsOf(former.receive(C, worse))).toEqual(['defer to c']);
    const other = new LoneVoter(B, { record: { ...record, grantLeader: 'a' } });
    other.tickAt(0);
    other.answerPings([A, C]);
    expect(kindsOf(other.receive(C, worse))).toEqual(['propose to a', 'propose to c']);
  });

  test('is not outbid by the tie-break alone just after a restart', () => {
    const record = { epoch: 6, grantEpoch: 6, grantLeader: 'a' };
    const voter = new LoneVoter(B, { record });
    voter.tickAt(0);
    voter.answerPings([A, C], 0, [reportOf(A), reportOf(B), reportOf(C)]);
    expect(kindsOf(voter.receive(C, propose(9)))).toEqual(['defer to c']);
    const listenedMs = renewMs * 2 + pingMs;
    const later = new LoneVoter(B, { record });
    later.tickAt(0);
    later.answerPings([A, C], 0, [reportOf(A), reportOf(B), reportOf(C)]);
    later.moveTo(listenedMs);
    expect(kindsOf(later.receive(C, propose(9)))).toEqual(['propose to a', 'propose to c']);
  });
});

describe('the proposal of another in the same epoch', () => {
  test('is deferred to where that one is to lead, and ignored where it is not', () => {
    const voter = proposing();
    expect(voter.receive(C, propose(1))).toEqual([]);
    expect(standingOf(voter)).toEqual(['proposing', 1]);
    expect(voter.receive(A, propose(1))).toMatchObject([['a', { kind: 'defer', epoch: 1 }]]);
    expect(standingOf(voter)).toEqual(['deferred', 1]);
    // Neither is it deferred to twice, nor is a worse one from then on.
    expect(voter.receive(A, propose(1))).toEqual([]);
    expect(voter.receive(C, propose(1))).toEqual([]);
  });

  test('is deferred to where this voter has neither proposed itself nor deferred', () => {
    const voter = new LoneVoter(B);
    voter.receive(A, { kind: 'behind', epoch: 5, reports: [] });
    expect(standingOf(voter)).toEqual(['looking', 5]);
    expect(kindsOf(voter.receive(C, propose(5)))).toEqual(['defer to c']);
  });

  test('that is better than the one deferred to is deferred to where that one would defer as well', () => {
    const voter = new LoneVoter(C);
    voter.receive(B, propose(3, [reportOf(A), reportOf(B), reportOf(C)]));
    expect(voter.elector.role).toBe('deferred');
    expect(kindsOf(voter.receive(A, propose(3)))).toEqual(['defer to a']);
  });

  test('that is better than the one deferred to makes everyone start over where that one would not defer', () => {
    const voter = new LoneVoter(C);
    voter.tickAt(0);
    voter.answerPings([A, B], 0, [reportOf(A), reportOf(B), reportOf(C)]);
    // By the scores that came with it, of the same version as ours, the first is to lead.
    voter.receive(B, propose(3, [reportOf(A), reportOf(B, 0.2)]));
    expect(voter.elector.role).toBe('deferred');
    expect(kindsOf(voter.receive(A, propose(3)))).toEqual(['propose to a', 'propose to b']);
    expect(standingOf(voter)).toEqual(['proposing', 5]);
  });

  test('is not listened to in an epoch that carries a leader', () => {
    const voter = looking();
    voter.receive(A, victory(2, ['a', 'b', 'c']));
    expect(voter.receive(C, propose(2))).toEqual([]);
    expect([...standingOf(voter), voter.elector.leader]).toEqual(['following', 2, 'a']);
  });
});

describe('the proposal of another in an earlier epoch', () => {
  test('is answered with the present epoch by one that knows a leader', () => {
    const voter = looking();
    voter.receive(A, victory(4, ['a', 'b', 'c']));
    expect(voter.receive(C, propose(1))).toMatchObject([['c', { kind: 'behind', epoch: 4 }]]);
    expect(voter.elector.leader).toBe('a');
  });

  test('is answered with the proposal by one that proposes itself', () => {
    const voter = looking();
    voter.receive(C, propose(3));
    expect(standingOf(voter)).toEqual(['proposing', 5]);
    expect(voter.receive(A, propose(1))).toMatchObject([['a', { kind: 'propose', epoch: 5 }]]);
    expect(standingOf(voter)).toEqual(['proposing', 5]);
  });

  test('is answered with the present epoch by one that has deferred', () => {
    const voter = looking();
    voter.receive(A, propose(3));
    expect(voter.receive(C, propose(1))).toMatchObject([['c', { kind: 'behind', epoch: 3 }]]);
    expect(standingOf(voter)).toEqual(['deferred', 3]);
  });
});

describe('one that has deferred', () => {
  test('proposes itself where nobody has won within two rounds', () => {
    const voter = looking();
    voter.receive(A, propose(3));
    runUntil(voter, 2 * electionMs);
    voter.tickAt(2 * electionMs - 1);
    expect(standingOf(voter)).toEqual(['deferred', 3]);
    voter.tickAt(2 * electionMs);
    expect(standingOf(voter)).toEqual(['proposing', 5]);
  });

  test('goes back to looking for a leader where it cannot reach a majority by then', () => {
    const voter = new LoneVoter(B);
    voter.receive(A, propose(3));
    voter.tickAt(2 * electionMs);
    expect(standingOf(voter)).toEqual(['looking', 3]);
  });
});

describe('the proposal of a voter outside the quorum of the present leader', () => {
  test('changes nothing where the same leader would come out of it', () => {
    const voter = looking();
    voter.receive(A, victory(2, ['a', 'b']));
    expect(voter.receive(C, propose(7))).toEqual([]);
    expect([...standingOf(voter), voter.elector.leader]).toEqual(['following', 2, 'a']);
  });

  test('starts an election where somebody has better links than the leader', () => {
    const voter = looking();
    voter.receive(C, victory(2, ['c', 'b']));
    const links = [
      { peer: 'b', score: 1, alive: true },
      { peer: 'c', score: 0.2, alive: true },
    ];
    const sent = voter.receive(A, propose(7, [{ owner: 'a', version: 10, links }]));
    expect(kindsOf(sent)).toEqual(['propose to a', 'propose to c']);
    expect(standingOf(voter)).toEqual(['proposing', 3]);
  });

  test('makes a leader that it has run ahead of come to its epoch', () => {
    const voter = leadingWithA();
    const sent = voter.receive(C, propose(7));
    expect(sent).toMatchObject([
      ['a', { kind: 'propose', epoch: 9 }],
      ['c', { kind: 'propose', epoch: 9 }],
    ]);
  });

  test('of no later epoch leaves a leader where it is', () => {
    const voter = leadingWithA();
    for (const epoch of [1, 2]) expect(voter.receive(C, propose(epoch))).toEqual([]);
    expect(voter.elector.isLeading()).toBe(true);
  });

  /** Voter `b` that leads epoch 2 by its own grant and the one of `a`; `c` takes no part. */
  function leadingWithA(): LoneVoter {
    const voter = proposing();
    voter.receive(A, defer(1));
    voter.tickAt(FIRST_MS + electionMs);
    voter.receive(A, { kind: 'granted', epoch: 2, wait: 0, nonce: 1, reports: [] });
    voter.answerPings([A, C], 0, [reportOf(A), reportOf(B), reportOf(C)]);
    expect(voter.elector.isLeading()).toBe(true);
    return voter;
  }
});

describe('a voter whose disk was lost', () => {
  test('gives up whom it follows, and takes part again from the next epoch on', () => {
    const voter = looking();
    voter.receive(A, victory(4, ['a', 'b', 'c']));
    voter.elector.setMayVote(false, NOBODY, voter.now);
    expect([...standingOf(voter), voter.elector.leader]).toEqual(['looking', 4, undefined]);
    voter.elector.setMayVote(true, { ...NOBODY, epoch: 8 }, voter.now);
    expect(standingOf(voter)).toEqual(['looking', 9]);
    voter.drain();
    expect(voter.records.at(-1)).toMatchObject({ epoch: 9 });
    expect(voter.receive(A, victory(8, ['a', 'b', 'c']))).toMatchObject([
      ['a', { kind: 'behind', epoch: 9 }],
    ]);
  });

  test('does not fall behind the epoch that it knows itself', () => {
    const voter = looking();
    voter.receive(A, victory(4, ['a', 'b', 'c']));
    voter.elector.setMayVote(false, NOBODY, voter.now);
    voter.elector.setMayVote(true, { ...NOBODY, epoch: 2 }, voter.now);
    expect(standingOf(voter)).toEqual(['looking', 5]);
  });

  test('holds every holder off after its repair, since it may have forgotten a promise', () => {
    const voter = looking();
    voter.elector.setMayVote(false, NOBODY, voter.now);
    voter.elector.setMayVote(true, { ...NOBODY, epoch: 8 }, voter.now);
    voter.drain();
    const [[, granted] = []] = voter.receive(A, victory(10, ['a', 'b', 'c']));
    if (granted?.kind !== 'granted') throw new Error('nothing was granted');
    expect(granted.wait).toBeGreaterThanOrEqual(leaseMs + VOTE_DEFAULTS.handoverGapMs);
  });

  test('listens whether somebody leads before it proposes itself', () => {
    const voter = looking();
    voter.elector.setMayVote(false, NOBODY, voter.now);
    voter.elector.setMayVote(true, { ...NOBODY, epoch: 8 }, voter.now);
    const listenedMs = renewMs * 2 + pingMs;
    runUntil(voter, listenedMs);
    voter.tickAt(listenedMs - 1);
    expect(standingOf(voter)).toEqual(['looking', 9]);
    voter.answerPings([A, C]);
    voter.tickAt(listenedMs);
    expect(standingOf(voter)).toEqual(['proposing', 11]);
  });

  test('that founded with blank peers begins in its own epoch at once', () => {
    const voter = looking();
    voter.elector.setMayVote(false, NOBODY, voter.now);
    voter.elector.setMayVote(true, NOBODY, voter.now);
    expect(standingOf(voter)).toEqual(['looking', 0]);
    voter.tickAt(FIRST_MS);
    expect(standingOf(voter)).toEqual(['proposing', 1]);
  });

  test('neither proposes itself nor writes anything meanwhile', () => {
    const voter = looking();
    voter.elector.setMayVote(false, NOBODY, voter.now);
    voter.drain();
    const written = voter.records.length;
    runUntil(voter, 5000);
    voter.elector.setMayVote(false, NOBODY, voter.now);
    voter.drain();
    expect(standingOf(voter)).toEqual(['looking', 0]);
    expect(voter.records.length).toBe(written);
  });
});

import { describe, expect, test } from 'vitest';
import { nodeId } from '../common/ids.js';
import type { Message, ScoreReport } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import { A, B, C, kindsOf, VoterHarness, reportOf } from './testing/voter-harness.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const { pingMs, electionMs, peerTimeoutMs, renewMs, leaseMs } = VOTE_DEFAULTS;
const EMPTY_RECORD = { epoch: 0, grantEpoch: 0, grantLeader: '' };
/** When a voter whose pings both others answer first proposes itself. */
const FIRST_PROPOSAL_MS = pingMs;
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

/** Voter `b` before its first proposal, with its pings answered by both others; all links have the same score. */
function lookingVoter(): VoterHarness {
  const voter = new VoterHarness(B);
  voter.tickAt(0);
  voter.answerPings([A, C], 0, [reportOf(A), reportOf(B), reportOf(C)]);
  return voter;
}

/** The same voter proposing itself in epoch 1. */
function proposingVoter(): VoterHarness {
  const voter = lookingVoter();
  voter.tickAt(FIRST_PROPOSAL_MS);
  voter.answerPings([A, C]);
  return voter;
}

/** Ticks at each ping interval before `untilMs`, with the pings answered by both others. */
function runUntil(voter: VoterHarness, untilMs: number): void {
  for (let at = voter.now + pingMs; at < untilMs; at += pingMs) {
    voter.tickAt(at);
    voter.answerPings([A, C]);
  }
}

function roleAndEpoch({ elector }: VoterHarness): readonly [string, number] {
  return [elector.role, elector.epoch];
}

describe('a voter that knows no leader', () => {
  test('proposes itself to all others in the next electing epoch', () => {
    const voter = lookingVoter();
    const sent = voter.tickAt(FIRST_PROPOSAL_MS);
    expect(sent).toMatchObject([
      ['a', { kind: 'propose', epoch: 1 }],
      ['c', { kind: 'propose', epoch: 1 }],
    ]);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 1]);
    expect(voter.elector.electionsStarted).toBe(1);
  });

  test('does not propose itself if no majority answers its pings', () => {
    const voter = new VoterHarness(B);
    for (let at = 0; at < 3000; at += pingMs) expect(voter.tickAt(at)).toEqual([]);
    expect(roleAndEpoch(voter)).toEqual(['looking', 0]);
    expect(voter.elector.electionsStarted).toBe(0);
  });

  test('does not propose itself if its disk is stalled', () => {
    const voter = lookingVoter();
    voter.isDiskStalled = true;
    voter.receive(A, propose(7));
    voter.tickAt(FIRST_PROPOSAL_MS);
    runUntil(voter, 3000);
    expect(roleAndEpoch(voter)).toEqual(['looking', 7]);
    expect(voter.elector.electionsStarted).toBe(0);
  });
});

describe('deferrals', () => {
  test('of all live voters make the proposer win immediately', () => {
    const voter = proposingVoter();
    expect(voter.receive(A, defer(1))).toEqual([]);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 1]);
    expect(kindsOf(voter.receive(C, defer(1)))).toEqual(['victory to a', 'victory to c']);
    expect(roleAndEpoch(voter)).toEqual(['won', 2]);
  });

  test('of dead voters are not waited for', () => {
    const voter = proposingVoter();
    for (
      let at = FIRST_PROPOSAL_MS + pingMs;
      at <= FIRST_PROPOSAL_MS + pingMs + peerTimeoutMs;
      at += pingMs
    ) {
      voter.tickAt(at);
      voter.answerPings([A]);
    }
    const { epoch } = voter.elector;
    expect(kindsOf(voter.receive(A, defer(epoch)))).toEqual(['victory to a', 'victory to c']);
  });

  test('of a majority make the proposer win at the deadline, not before', () => {
    const voter = proposingVoter();
    voter.receive(C, defer(1));
    runUntil(voter, FIRST_PROPOSAL_MS + electionMs);
    voter.tickAt(FIRST_PROPOSAL_MS + electionMs - 1);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 1]);
    voter.tickAt(FIRST_PROPOSAL_MS + electionMs);
    expect(roleAndEpoch(voter)).toEqual(['won', 2]);
    expect([...voter.elector.quorumMembers].sort()).toEqual(['b', 'c']);
  });

  test('of less than a majority make the proposer start a new election at the deadline', () => {
    const voter = proposingVoter();
    runUntil(voter, FIRST_PROPOSAL_MS + electionMs);
    voter.tickAt(FIRST_PROPOSAL_MS + electionMs);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 3]);
    expect(voter.elector.electionsStarted).toBe(2);
  });

  test('of a non-voter or in another epoch are ignored', () => {
    const voter = proposingVoter();
    for (const epoch of [0, 3]) for (const peer of [A, C]) voter.receive(peer, defer(epoch));
    voter.receive(D, defer(1));
    voter.receive(C, defer(1));
    expect(roleAndEpoch(voter)).toEqual(['proposing', 1]);
  });

  test('are ignored by a voter that no longer proposes itself', () => {
    const voter = proposingVoter();
    voter.receive(A, propose(1));
    expect(voter.elector.role).toBe('deferred');
    for (const peer of [A, C]) expect(voter.receive(peer, defer(1))).toEqual([]);
    runUntil(voter, FIRST_PROPOSAL_MS + electionMs);
    voter.tickAt(FIRST_PROPOSAL_MS + electionMs);
    expect(roleAndEpoch(voter)).toEqual(['deferred', 1]);
  });

  test('of one round are ignored in the next', () => {
    const voter = proposingVoter();
    voter.receive(C, propose(1));
    voter.receive(C, propose(3));
    expect(roleAndEpoch(voter)).toEqual(['proposing', 5]);
    voter.receive(C, defer(1));
    runUntil(voter, FIRST_PROPOSAL_MS + electionMs);
    voter.tickAt(FIRST_PROPOSAL_MS + electionMs);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 7]);
  });
});

describe('the proposal of another voter in a later epoch', () => {
  test('is deferred to if the proposer ranks higher', () => {
    const voter = lookingVoter();
    expect(voter.receive(A, propose(3))).toMatchObject([['a', { kind: 'defer', epoch: 3 }]]);
    expect(roleAndEpoch(voter)).toEqual(['deferred', 3]);
    expect(voter.records.at(-1)).toMatchObject({ epoch: 3 });
  });

  test('is superseded in the next electing epoch if this voter ranks higher', () => {
    const voter = lookingVoter();
    const sent = voter.receive(C, propose(3));
    expect(sent).toMatchObject([
      ['a', { kind: 'propose', epoch: 5 }],
      ['c', { kind: 'propose', epoch: 5 }],
    ]);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 5]);
  });

  test('is deferred to if this voter ranks higher but could not win', () => {
    const unreachable = new VoterHarness(B);
    expect(kindsOf(unreachable.receive(C, propose(3)))).toEqual(['defer to c']);
    const retired = lookingVoter();
    retired.elector.retire(retired.now);
    expect(kindsOf(retired.receive(C, propose(3)))).toEqual(['defer to c']);
    const nonVoter = lookingVoter();
    nonVoter.elector.setQuorum(new Quorum([A, C]));
    expect(kindsOf(nonVoter.receive(C, propose(3)))).toEqual(['defer to c']);
  });

  test('of the followed leader is deferred to if its score is no lower', () => {
    const voter = lookingVoter();
    voter.receive(C, victory(2, ['c', 'b']));
    expect(kindsOf(voter.receive(C, propose(5)))).toEqual(['defer to c']);
  });

  test('of the followed leader is superseded if that leader has lost its links', () => {
    const voter = lookingVoter();
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

  test('of a voter other than the followed leader may be superseded by the tie-break', () => {
    const voter = lookingVoter();
    voter.receive(A, victory(2, ['a', 'b', 'c']));
    expect(kindsOf(voter.receive(C, propose(5)))).toEqual(['propose to a', 'propose to c']);
  });

  test('is not answered if the proposer is no voter or this node may not vote', () => {
    const voter = lookingVoter();
    expect(voter.receive(D, propose(3))).toEqual([]);
    expect(voter.elector.epoch).toBe(0);
    voter.elector.setMayVote(false, EMPTY_RECORD, voter.now);
    voter.drainMessages();
    expect(voter.receive(A, propose(3))).toEqual([]);
    expect(voter.elector.epoch).toBe(0);
  });

  test('of the previous leader is deferred to by a voter that has just restarted', () => {
    const record = { epoch: 6, grantEpoch: 6, grantLeader: 'c' };
    const links = [
      { peer: 'b', score: 1, alive: true },
      { peer: 'c', score: 0.2, alive: true },
    ];
    const worse = propose(9, [{ owner: 'a', version: 10, links }]);
    const former = new VoterHarness(B, { record });
    former.tickAt(0);
    former.answerPings([A, C]);
    expect(kindsOf(former.receive(C, worse))).toEqual(['defer to c']);
    const other = new VoterHarness(B, { record: { ...record, grantLeader: 'a' } });
    other.tickAt(0);
    other.answerPings([A, C]);
    expect(kindsOf(other.receive(C, worse))).toEqual(['propose to a', 'propose to c']);
  });

  test('is not superseded by the tie-break alone just after a restart', () => {
    const record = { epoch: 6, grantEpoch: 6, grantLeader: 'a' };
    const voter = new VoterHarness(B, { record });
    voter.tickAt(0);
    voter.answerPings([A, C], 0, [reportOf(A), reportOf(B), reportOf(C)]);
    expect(kindsOf(voter.receive(C, propose(9)))).toEqual(['defer to c']);
    const startupDelayMs = renewMs * 2 + pingMs;
    const later = new VoterHarness(B, { record });
    later.tickAt(0);
    later.answerPings([A, C], 0, [reportOf(A), reportOf(B), reportOf(C)]);
    later.setTime(startupDelayMs);
    expect(kindsOf(later.receive(C, propose(9)))).toEqual(['propose to a', 'propose to c']);
  });
});

describe('the proposal of another voter in the same epoch', () => {
  test('is deferred to if the proposer ranks higher, else ignored', () => {
    const voter = proposingVoter();
    expect(voter.receive(C, propose(1))).toEqual([]);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 1]);
    expect(voter.receive(A, propose(1))).toMatchObject([['a', { kind: 'defer', epoch: 1 }]]);
    expect(roleAndEpoch(voter)).toEqual(['deferred', 1]);
    // It is not deferred to twice, and lower-ranked proposers are ignored from then on.
    expect(voter.receive(A, propose(1))).toEqual([]);
    expect(voter.receive(C, propose(1))).toEqual([]);
  });

  test('is deferred to if this voter has neither proposed itself nor deferred', () => {
    const voter = new VoterHarness(B);
    voter.receive(A, { kind: 'behind', epoch: 5, reports: [] });
    expect(roleAndEpoch(voter)).toEqual(['looking', 5]);
    expect(kindsOf(voter.receive(C, propose(5)))).toEqual(['defer to c']);
  });

  test('of a proposer that ranks above the one deferred to is deferred to if that one would also defer', () => {
    const voter = new VoterHarness(C);
    voter.receive(B, propose(3, [reportOf(A), reportOf(B), reportOf(C)]));
    expect(voter.elector.role).toBe('deferred');
    expect(kindsOf(voter.receive(A, propose(3)))).toEqual(['defer to a']);
  });

  test('of a proposer that ranks above the one deferred to starts a new election if that one would not defer', () => {
    const voter = new VoterHarness(C);
    voter.tickAt(0);
    voter.answerPings([A, B], 0, [reportOf(A), reportOf(B), reportOf(C)]);
    // By the scores that came with its proposal, of the same version as those known here, `b` ranks first.
    voter.receive(B, propose(3, [reportOf(A), reportOf(B, 0.2)]));
    expect(voter.elector.role).toBe('deferred');
    expect(kindsOf(voter.receive(A, propose(3)))).toEqual(['propose to a', 'propose to b']);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 5]);
  });

  test('is ignored in an epoch that has a leader', () => {
    const voter = lookingVoter();
    voter.receive(A, victory(2, ['a', 'b', 'c']));
    expect(voter.receive(C, propose(2))).toEqual([]);
    expect([...roleAndEpoch(voter), voter.elector.leader]).toEqual(['following', 2, 'a']);
  });
});

describe('the proposal of another voter in an earlier epoch', () => {
  test('is answered with the current epoch by a voter that knows a leader', () => {
    const voter = lookingVoter();
    voter.receive(A, victory(4, ['a', 'b', 'c']));
    expect(voter.receive(C, propose(1))).toMatchObject([['c', { kind: 'behind', epoch: 4 }]]);
    expect(voter.elector.leader).toBe('a');
  });

  test('is answered with its own proposal by a voter that proposes itself', () => {
    const voter = lookingVoter();
    voter.receive(C, propose(3));
    expect(roleAndEpoch(voter)).toEqual(['proposing', 5]);
    expect(voter.receive(A, propose(1))).toMatchObject([['a', { kind: 'propose', epoch: 5 }]]);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 5]);
  });

  test('is answered with the current epoch by a voter that has deferred', () => {
    const voter = lookingVoter();
    voter.receive(A, propose(3));
    expect(voter.receive(C, propose(1))).toMatchObject([['c', { kind: 'behind', epoch: 3 }]]);
    expect(roleAndEpoch(voter)).toEqual(['deferred', 3]);
  });
});

describe('a voter that has deferred', () => {
  test('proposes itself if no voter has won within two rounds', () => {
    const voter = lookingVoter();
    voter.receive(A, propose(3));
    runUntil(voter, 2 * electionMs);
    voter.tickAt(2 * electionMs - 1);
    expect(roleAndEpoch(voter)).toEqual(['deferred', 3]);
    voter.tickAt(2 * electionMs);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 5]);
  });

  test('looks for a leader again if it cannot reach a majority after two rounds', () => {
    const voter = new VoterHarness(B);
    voter.receive(A, propose(3));
    voter.tickAt(2 * electionMs);
    expect(roleAndEpoch(voter)).toEqual(['looking', 3]);
  });
});

describe('the proposal of a voter outside the quorum of the current leader', () => {
  test('changes nothing if the same leader would win', () => {
    const voter = lookingVoter();
    voter.receive(A, victory(2, ['a', 'b']));
    expect(voter.receive(C, propose(7))).toEqual([]);
    expect([...roleAndEpoch(voter), voter.elector.leader]).toEqual(['following', 2, 'a']);
  });

  test('starts an election if a voter has better links than the leader', () => {
    const voter = lookingVoter();
    voter.receive(C, victory(2, ['c', 'b']));
    const links = [
      { peer: 'b', score: 1, alive: true },
      { peer: 'c', score: 0.2, alive: true },
    ];
    const sent = voter.receive(A, propose(7, [{ owner: 'a', version: 10, links }]));
    expect(kindsOf(sent)).toEqual(['propose to a', 'propose to c']);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 3]);
  });

  test('in a later epoch makes the leader start an election after that epoch', () => {
    const voter = leaderGrantedByA();
    const sent = voter.receive(C, propose(7));
    expect(sent).toMatchObject([
      ['a', { kind: 'propose', epoch: 9 }],
      ['c', { kind: 'propose', epoch: 9 }],
    ]);
  });

  test('in no later epoch leaves the leader leading', () => {
    const voter = leaderGrantedByA();
    for (const epoch of [1, 2]) expect(voter.receive(C, propose(epoch))).toEqual([]);
    expect(voter.elector.isLeading()).toBe(true);
  });

  /** Voter `b` leading epoch 2 by its own grant and that of `a`; `c` takes no part. */
  function leaderGrantedByA(): VoterHarness {
    const voter = proposingVoter();
    voter.receive(A, defer(1));
    voter.tickAt(FIRST_PROPOSAL_MS + electionMs);
    voter.receive(A, { kind: 'granted', epoch: 2, wait: 0, nonce: 1, reports: [] });
    voter.answerPings([A, C], 0, [reportOf(A), reportOf(B), reportOf(C)]);
    expect(voter.elector.isLeading()).toBe(true);
    return voter;
  }
});

describe('a voter whose disk was lost', () => {
  test('stops following its leader, and takes part again from the next electing epoch', () => {
    const voter = lookingVoter();
    voter.receive(A, victory(4, ['a', 'b', 'c']));
    voter.elector.setMayVote(false, EMPTY_RECORD, voter.now);
    expect([...roleAndEpoch(voter), voter.elector.leader]).toEqual(['looking', 4, undefined]);
    voter.elector.setMayVote(true, { ...EMPTY_RECORD, epoch: 8 }, voter.now);
    expect(roleAndEpoch(voter)).toEqual(['looking', 9]);
    voter.drainMessages();
    expect(voter.records.at(-1)).toMatchObject({ epoch: 9 });
    expect(voter.receive(A, victory(8, ['a', 'b', 'c']))).toMatchObject([
      ['a', { kind: 'behind', epoch: 9 }],
    ]);
  });

  test('does not fall behind the epoch that it already knows', () => {
    const voter = lookingVoter();
    voter.receive(A, victory(4, ['a', 'b', 'c']));
    voter.elector.setMayVote(false, EMPTY_RECORD, voter.now);
    voter.elector.setMayVote(true, { ...EMPTY_RECORD, epoch: 2 }, voter.now);
    expect(roleAndEpoch(voter)).toEqual(['looking', 5]);
  });

  test('makes every leader wait after its repair, since it may have forgotten a lease that it granted', () => {
    const voter = lookingVoter();
    voter.elector.setMayVote(false, EMPTY_RECORD, voter.now);
    voter.elector.setMayVote(true, { ...EMPTY_RECORD, epoch: 8 }, voter.now);
    voter.drainMessages();
    const [[, granted] = []] = voter.receive(A, victory(10, ['a', 'b', 'c']));
    if (granted?.kind !== 'granted') throw new Error('victory was not granted');
    expect(granted.wait).toBeGreaterThanOrEqual(leaseMs + VOTE_DEFAULTS.handoverGapMs);
  });

  test('listens for a leader before it proposes itself', () => {
    const voter = lookingVoter();
    voter.elector.setMayVote(false, EMPTY_RECORD, voter.now);
    voter.elector.setMayVote(true, { ...EMPTY_RECORD, epoch: 8 }, voter.now);
    const startupDelayMs = renewMs * 2 + pingMs;
    runUntil(voter, startupDelayMs);
    voter.tickAt(startupDelayMs - 1);
    expect(roleAndEpoch(voter)).toEqual(['looking', 9]);
    voter.answerPings([A, C]);
    voter.tickAt(startupDelayMs);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 11]);
  });

  test('that founded a cluster with blank peers starts in its own epoch immediately', () => {
    const voter = lookingVoter();
    voter.elector.setMayVote(false, EMPTY_RECORD, voter.now);
    voter.elector.setMayVote(true, EMPTY_RECORD, voter.now);
    expect(roleAndEpoch(voter)).toEqual(['looking', 0]);
    voter.tickAt(FIRST_PROPOSAL_MS);
    expect(roleAndEpoch(voter)).toEqual(['proposing', 1]);
  });

  test('neither proposes itself nor writes a record while it may not vote', () => {
    const voter = lookingVoter();
    voter.elector.setMayVote(false, EMPTY_RECORD, voter.now);
    voter.drainMessages();
    const written = voter.records.length;
    runUntil(voter, 5000);
    voter.elector.setMayVote(false, EMPTY_RECORD, voter.now);
    voter.drainMessages();
    expect(roleAndEpoch(voter)).toEqual(['looking', 0]);
    expect(voter.records.length).toBe(written);
  });
});

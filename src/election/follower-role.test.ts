import { describe, expect, test } from 'vitest';
import { moment, nodeId, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { A, B, C, kindsOf, LoneVoter, type LoneVoterOptions } from './testing/lone-voter.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const { leaseMs, handoverGapMs, drift, pingMs } = VOTE_DEFAULTS;
/** How long another holder waits for one whose lease was renewed this moment, by the voter that renewed it. */
const FULL_WAIT_MS = (leaseMs + handoverGapMs) * (1 + 3 * drift) + 2 * drift * leaseMs;
/** The same where the one before has handed its lease back. */
const SHORT_WAIT_MS = handoverGapMs * (1 + 3 * drift) + 2 * drift * leaseMs;

function victory(epoch: number, nonce = 1): Message {
  return { kind: 'victory', epoch, reports: [], nonce, quorum: ['a', 'c'], sentAt: 0 };
}
function renewal(epoch: number, nonce = 2, quorum: readonly string[] = ['a', 'b']): Message {
  return { kind: 'renew', epoch, nonce, quorum: [...quorum], sentAt: 0 };
}
function behind(epoch: number): Message {
  return { kind: 'behind', epoch, reports: [] };
}

/** Voter `b` that both others answer, before its first proposal. */
function reachable(options: LoneVoterOptions = {}): LoneVoter {
  const voter = new LoneVoter(B, options);
  voter.tickAt(0);
  voter.answerPings([A, C]);
  return voter;
}

/** Voter `b` that follows `a` in epoch 2, from moment 0. */
function following(options: LoneVoterOptions = {}): LoneVoter {
  const voter = reachable(options);
  voter.receive(A, victory(2));
  return voter;
}

/** What is granted to somebody by one message. */
function waitOf(voter: LoneVoter, from: NodeId, message: Message): number | undefined {
  for (const [, sent] of voter.receive(from, message))
    if (sent.kind === 'granted') return sent.wait;
  return undefined;
}

/** Only the answers of `c` keep coming in, until that moment. */
function hearOnlyC(voter: LoneVoter, untilMs: number): void {
  for (let at = pingMs; at < untilMs; at += pingMs) {
    voter.tickAt(at);
    voter.answerPings([C]);
  }
}

describe('a victory', () => {
  test('is granted and followed, and the grant is on disk before it is said', () => {
    const voter = reachable();
    voter.moveTo(100);
    voter.isDiskStalled = true;
    expect(voter.receive(A, victory(2))).toEqual([]);
    expect(voter.records.at(-1)).toEqual({
      epoch: 2,
      grantEpoch: 2,
      grantLeader: 'a',
      isFree: true,
    });
    voter.sync();
    expect(voter.drain()).toMatchObject([['a', { kind: 'granted', epoch: 2, wait: 0, nonce: 1 }]]);
    const { role, leader, epoch, leaderLastHeardAt, quorumMembers } = voter.elector;
    expect([role, leader, epoch, leaderLastHeardAt]).toEqual(['following', 'a', 2, 100]);
    expect([...quorumMembers].sort()).toEqual(['a', 'b', 'c']);
  });

  test('is granted to one winner of an epoch alone', () => {
    const voter = following();
    expect(voter.receive(C, victory(2))).toEqual([]);
    expect(voter.elector.leader).toBe('a');
    expect(kindsOf(voter.receive(A, victory(2, 7)))).toEqual(['granted to a']);
    expect(voter.elector.votesGranted).toBe(1);
    expect(kindsOf(voter.receive(C, victory(4)))).toEqual(['granted to c']);
    expect(voter.elector.votesGranted).toBe(2);
  });

  test('of the same leader in a later epoch is granted in that epoch', () => {
    const voter = following();
    expect(voter.receive(A, victory(4))).toMatchObject([['a', { kind: 'granted', epoch: 4 }]]);
    expect(voter.elector.epoch).toBe(4);
    expect(voter.records.at(-1)).toMatchObject({ epoch: 4, grantEpoch: 4 });
  });

  test('of an earlier epoch is answered with the present one, and nothing else comes of it', () => {
    const voter = following();
    voter.receive(A, victory(6));
    expect(voter.receive(C, victory(4))).toMatchObject([['c', { kind: 'behind', epoch: 6 }]]);
    expect(voter.elector.leader).toBe('a');
    expect(voter.elector.votesGranted).toBe(2);
  });

  test('counts for nothing in an epoch that elects, or from a node that does not vote', () => {
    const voter = reachable();
    expect(voter.receive(A, victory(3))).toEqual([]);
    expect(voter.receive(nodeId('d'), victory(2))).toEqual([]);
    expect([voter.elector.leader, voter.elector.votesGranted]).toEqual([undefined, 0]);
  });

  test('counts for nothing at a voter that must not vote', () => {
    const voter = reachable();
    voter.elector.setMayVote(false, { epoch: 0, grantEpoch: 0, grantLeader: '' }, voter.now);
    voter.drain();
    expect(voter.receive(A, victory(2))).toEqual([]);
    expect(voter.receive(A, renewal(2))).toEqual([]);
    expect(voter.elector.votesGranted).toBe(0);
  });

  test('of another holder waits for the whole promise to the one before', () => {
    expect(waitOf(following(), C, victory(4))).toBeCloseTo(FULL_WAIT_MS);
  });
});

describe('a renewal', () => {
  test('of the leader that is followed is returned, and binds the voter anew', () => {
    const voter = following();
    voter.tickAt(1000);
    expect(voter.receive(A, renewal(2, 9))).toEqual([
      ['a', { kind: 'renewed', epoch: 2, nonce: 9 }],
    ]);
    const { leaderLastHeardAt, quorumMembers } = voter.elector;
    expect(leaderLastHeardAt).toBe(1000);
    expect([...quorumMembers].sort()).toEqual(['a', 'b']);
    expect(waitOf(voter, C, victory(4))).toBeCloseTo(FULL_WAIT_MS);
  });

  test('of somebody else in an epoch that was granted is not answered', () => {
    const voter = following();
    expect(voter.receive(C, renewal(2))).toEqual([]);
    expect(voter.elector.leader).toBe('a');
  });

  test('of a later epoch, whose victory was missed, is a grant like any other', () => {
    const voter = following();
    expect(voter.receive(C, renewal(4, 9))).toMatchObject([
      ['c', { kind: 'granted', epoch: 4, nonce: 9 }],
    ]);
    expect([voter.elector.leader, voter.elector.epoch]).toEqual(['c', 4]);
  });

  test('is granted anew by a voter that restarted since it granted the epoch', () => {
    const record = { epoch: 2, grantEpoch: 2, grantLeader: 'a', isFree: true };
    const voter = reachable({ record });
    expect(kindsOf(voter.receive(A, renewal(2)))).toEqual(['granted to a']);
    expect(voter.elector.votesGranted).toBe(0);
    expect(kindsOf(voter.receive(A, renewal(2)))).toEqual(['renewed to a']);
  });

  test('of an earlier epoch is answered with the present one, and is no renewal', () => {
    const voter = following();
    voter.receive(C, victory(4));
    expect(voter.receive(A, renewal(2))).toEqual([
      ['a', { kind: 'behind', epoch: 4, reports: [] }],
    ]);
    expect(voter.elector.leader).toBe('c');
  });

  test('counts for nothing in an epoch that elects, or from a node that does not vote', () => {
    const voter = following();
    expect(voter.receive(A, renewal(3))).toEqual([]);
    expect(voter.receive(nodeId('d'), renewal(4))).toEqual([]);
    expect([voter.elector.leader, voter.elector.epoch]).toEqual(['a', 2]);
  });
});

describe('a leader that is no longer heard', () => {
  test('is given up after the span, and not before', () => {
    const voter = following();
    hearOnlyC(voter, leaseMs);
    voter.tickAt(leaseMs - 1);
    expect(voter.elector.role).toBe('following');
    expect(kindsOf(voter.tickAt(leaseMs))).toContain('propose to c');
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 3]);
  });

  test('is given up without a proposal where no majority is in reach', () => {
    const voter = following();
    for (let at = pingMs; at < leaseMs; at += pingMs) voter.tickAt(at);
    expect(kindsOf(voter.tickAt(leaseMs))).toEqual([]);
    expect([voter.elector.role, voter.elector.leader]).toEqual(['looking', undefined]);
  });
});

describe('a leader that hands its lease back', () => {
  test('is given up at once, and holds nobody up any longer than for the span in which nobody orders', () => {
    const voter = following();
    expect(kindsOf(voter.receive(A, { kind: 'released', epoch: 2 }))).toContain('propose to c');
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 3]);
    expect(waitOf(voter, C, victory(4))).toBeCloseTo(SHORT_WAIT_MS);
  });

  test('is followed on where it says so of another epoch, or somebody else says so', () => {
    const voter = following();
    expect(voter.receive(A, { kind: 'released', epoch: 4 })).toEqual([]);
    expect(voter.receive(C, { kind: 'released', epoch: 2 })).toEqual([]);
    expect([voter.elector.role, voter.elector.leader]).toEqual(['following', 'a']);
    expect(waitOf(voter, C, victory(4))).toBeCloseTo(FULL_WAIT_MS);
  });
});

describe('news of a later epoch', () => {
  test('makes a voter that knows no leader propose itself above it', () => {
    const voter = reachable();
    expect(voter.receive(C, behind(8))).toMatchObject([
      ['a', { kind: 'propose', epoch: 9 }],
      ['c', { kind: 'propose', epoch: 9 }],
    ]);
    expect(voter.elector.role).toBe('proposing');
  });

  test('is taken up without a proposal where no majority is in reach', () => {
    const voter = new LoneVoter(B);
    expect(voter.receive(C, behind(8))).toEqual([]);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['looking', 8]);
    expect(voter.records.at(-1)).toMatchObject({ epoch: 8 });
  });

  test('changes nothing where the epoch is not later, or a leader is followed', () => {
    const voter = following();
    expect(voter.receive(C, behind(8))).toEqual([]);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['following', 2]);
    const proposing = reachable();
    proposing.receive(C, behind(8));
    for (const epoch of [7, 9]) expect(proposing.receive(C, behind(epoch))).toEqual([]);
    expect([proposing.elector.role, proposing.elector.epoch]).toEqual(['proposing', 9]);
  });

  test('changes nothing at a voter that must not vote', () => {
    const voter = reachable();
    voter.elector.setMayVote(false, { epoch: 0, grantEpoch: 0, grantLeader: '' }, moment(0));
    voter.drain();
    expect(voter.receive(C, behind(8))).toEqual([]);
    expect(voter.elector.epoch).toBe(0);
  });
});

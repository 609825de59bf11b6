import { describe, expect, test } from 'vitest';
import { moment, nodeId, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import {
  A,
  B,
  C,
  kindsOf,
  VoterHarness,
  type VoterHarnessOptions,
} from './testing/voter-harness.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const { leaseMs, handoverGapMs, drift, pingMs } = VOTE_DEFAULTS;
/** How long another leader waits for a lease that the voter renewed at this moment. */
const FULL_WAIT_MS = (leaseMs + handoverGapMs) * (1 + 3 * drift) + 2 * drift * leaseMs;
/** The same if the previous leader has released its lease. */
const RELEASED_WAIT_MS = handoverGapMs * (1 + 3 * drift) + 2 * drift * leaseMs;

function victory(epoch: number, nonce = 1): Message {
  return { kind: 'victory', epoch, reports: [], nonce, quorum: ['a', 'c'], sentAt: 0 };
}
function renewal(epoch: number, nonce = 2, quorum: readonly string[] = ['a', 'b']): Message {
  return { kind: 'renew', epoch, nonce, quorum: [...quorum], sentAt: 0 };
}
function behind(epoch: number): Message {
  return { kind: 'behind', epoch, reports: [] };
}

/** Voter `b` before its first proposal, with its pings answered by both others. */
function connectedVoter(options: VoterHarnessOptions = {}): VoterHarness {
  const voter = new VoterHarness(B, options);
  voter.tickAt(0);
  voter.answerPings([A, C]);
  return voter;
}

/** Voter `b` following `a` in epoch 2 from time 0. */
function followingVoter(options: VoterHarnessOptions = {}): VoterHarness {
  const voter = connectedVoter(options);
  voter.receive(A, victory(2));
  return voter;
}

/** The wait in the grant that one message is answered with. */
function grantedWaitMs(voter: VoterHarness, from: NodeId, message: Message): number | undefined {
  for (const [, sent] of voter.receive(from, message))
    if (sent.kind === 'granted') return sent.wait;
  return undefined;
}

/** Ticks at each ping interval before `untilMs`, with the pings answered by `c` alone. */
function runWithOnlyC(voter: VoterHarness, untilMs: number): void {
  for (let at = pingMs; at < untilMs; at += pingMs) {
    voter.tickAt(at);
    voter.answerPings([C]);
  }
}

describe('a victory', () => {
  test('is granted and followed, and the grant is on disk before it is sent', () => {
    const voter = connectedVoter();
    voter.setTime(100);
    voter.isDiskStalled = true;
    expect(voter.receive(A, victory(2))).toEqual([]);
    expect(voter.records.at(-1)).toEqual({
      epoch: 2,
      grantEpoch: 2,
      grantLeader: 'a',
      isFree: true,
    });
    voter.persistAll();
    expect(voter.drainMessages()).toMatchObject([
      ['a', { kind: 'granted', epoch: 2, wait: 0, nonce: 1 }],
    ]);
    const { role, leader, epoch, leaderLastHeardAt, quorumMembers } = voter.elector;
    expect([role, leader, epoch, leaderLastHeardAt]).toEqual(['following', 'a', 2, 100]);
    expect([...quorumMembers].sort()).toEqual(['a', 'b', 'c']);
  });

  test('is granted to only one winner per epoch', () => {
    const voter = followingVoter();
    expect(voter.receive(C, victory(2))).toEqual([]);
    expect(voter.elector.leader).toBe('a');
    expect(kindsOf(voter.receive(A, victory(2, 7)))).toEqual(['granted to a']);
    expect(voter.elector.votesGranted).toBe(1);
    expect(kindsOf(voter.receive(C, victory(4)))).toEqual(['granted to c']);
    expect(voter.elector.votesGranted).toBe(2);
  });

  test('of the same leader in a later epoch is granted in that epoch', () => {
    const voter = followingVoter();
    expect(voter.receive(A, victory(4))).toMatchObject([['a', { kind: 'granted', epoch: 4 }]]);
    expect(voter.elector.epoch).toBe(4);
    expect(voter.records.at(-1)).toMatchObject({ epoch: 4, grantEpoch: 4 });
  });

  test('of an earlier epoch is only answered with the current one', () => {
    const voter = followingVoter();
    voter.receive(A, victory(6));
    expect(voter.receive(C, victory(4))).toMatchObject([['c', { kind: 'behind', epoch: 6 }]]);
    expect(voter.elector.leader).toBe('a');
    expect(voter.elector.votesGranted).toBe(2);
  });

  test('is ignored in an electing epoch or from a non-voter', () => {
    const voter = connectedVoter();
    expect(voter.receive(A, victory(3))).toEqual([]);
    expect(voter.receive(nodeId('d'), victory(2))).toEqual([]);
    expect([voter.elector.leader, voter.elector.votesGranted]).toEqual([undefined, 0]);
  });

  test('is ignored by a node that may not vote', () => {
    const voter = connectedVoter();
    voter.elector.setMayVote(false, { epoch: 0, grantEpoch: 0, grantLeader: '' }, voter.now);
    voter.drainMessages();
    expect(voter.receive(A, victory(2))).toEqual([]);
    expect(voter.receive(A, renewal(2))).toEqual([]);
    expect(voter.elector.votesGranted).toBe(0);
  });

  test('of another leader waits for the whole lease of the previous one', () => {
    expect(grantedWaitMs(followingVoter(), C, victory(4))).toBeCloseTo(FULL_WAIT_MS);
  });
});

describe('a renewal', () => {
  test('of the followed leader is acknowledged and extends its lease', () => {
    const voter = followingVoter();
    voter.tickAt(1000);
    expect(voter.receive(A, renewal(2, 9))).toEqual([
      ['a', { kind: 'renewed', epoch: 2, nonce: 9 }],
    ]);
    const { leaderLastHeardAt, quorumMembers } = voter.elector;
    expect(leaderLastHeardAt).toBe(1000);
    expect([...quorumMembers].sort()).toEqual(['a', 'b']);
    expect(grantedWaitMs(voter, C, victory(4))).toBeCloseTo(FULL_WAIT_MS);
  });

  test('of another node in an epoch granted already is not answered', () => {
    const voter = followingVoter();
    expect(voter.receive(C, renewal(2))).toEqual([]);
    expect(voter.elector.leader).toBe('a');
  });

  test('of a later epoch whose victory was missed is granted like a victory', () => {
    const voter = followingVoter();
    expect(voter.receive(C, renewal(4, 9))).toMatchObject([
      ['c', { kind: 'granted', epoch: 4, nonce: 9 }],
    ]);
    expect([voter.elector.leader, voter.elector.epoch]).toEqual(['c', 4]);
  });

  test('is granted again by a voter that has restarted since its grant of the epoch', () => {
    const record = { epoch: 2, grantEpoch: 2, grantLeader: 'a', isFree: true };
    const voter = connectedVoter({ record });
    expect(kindsOf(voter.receive(A, renewal(2)))).toEqual(['granted to a']);
    expect(voter.elector.votesGranted).toBe(0);
    expect(kindsOf(voter.receive(A, renewal(2)))).toEqual(['renewed to a']);
  });

  test('of an earlier epoch is answered with the current one and not acknowledged', () => {
    const voter = followingVoter();
    voter.receive(C, victory(4));
    expect(voter.receive(A, renewal(2))).toEqual([
      ['a', { kind: 'behind', epoch: 4, reports: [] }],
    ]);
    expect(voter.elector.leader).toBe('c');
  });

  test('is ignored in an electing epoch or from a non-voter', () => {
    const voter = followingVoter();
    expect(voter.receive(A, renewal(3))).toEqual([]);
    expect(voter.receive(nodeId('d'), renewal(4))).toEqual([]);
    expect([voter.elector.leader, voter.elector.epoch]).toEqual(['a', 2]);
  });
});

describe('a leader that sends nothing', () => {
  test('is abandoned when its lease ends, not before', () => {
    const voter = followingVoter();
    runWithOnlyC(voter, leaseMs);
    voter.tickAt(leaseMs - 1);
    expect(voter.elector.role).toBe('following');
    expect(kindsOf(voter.tickAt(leaseMs))).toContain('propose to c');
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 3]);
  });

  test('is abandoned without a proposal if no majority is reachable', () => {
    const voter = followingVoter();
    for (let at = pingMs; at < leaseMs; at += pingMs) voter.tickAt(at);
    expect(kindsOf(voter.tickAt(leaseMs))).toEqual([]);
    expect([voter.elector.role, voter.elector.leader]).toEqual(['looking', undefined]);
  });
});

describe('a leader that releases its lease', () => {
  test('is abandoned immediately, and delays the next leader only by the handover gap', () => {
    const voter = followingVoter();
    expect(kindsOf(voter.receive(A, { kind: 'released', epoch: 2 }))).toContain('propose to c');
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 3]);
    expect(grantedWaitMs(voter, C, victory(4))).toBeCloseTo(RELEASED_WAIT_MS);
  });

  test('is still followed if the message is of another epoch or another sender', () => {
    const voter = followingVoter();
    expect(voter.receive(A, { kind: 'released', epoch: 4 })).toEqual([]);
    expect(voter.receive(C, { kind: 'released', epoch: 2 })).toEqual([]);
    expect([voter.elector.role, voter.elector.leader]).toEqual(['following', 'a']);
    expect(grantedWaitMs(voter, C, victory(4))).toBeCloseTo(FULL_WAIT_MS);
  });
});

describe('a report of a later epoch', () => {
  test('makes a voter that knows no leader propose itself in the next electing epoch', () => {
    const voter = connectedVoter();
    expect(voter.receive(C, behind(8))).toMatchObject([
      ['a', { kind: 'propose', epoch: 9 }],
      ['c', { kind: 'propose', epoch: 9 }],
    ]);
    expect(voter.elector.role).toBe('proposing');
  });

  test('is adopted without a proposal if no majority is reachable', () => {
    const voter = new VoterHarness(B);
    expect(voter.receive(C, behind(8))).toEqual([]);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['looking', 8]);
    expect(voter.records.at(-1)).toMatchObject({ epoch: 8 });
  });

  test('changes nothing if the epoch is not later or a leader is followed', () => {
    const voter = followingVoter();
    expect(voter.receive(C, behind(8))).toEqual([]);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['following', 2]);
    const proposing = connectedVoter();
    proposing.receive(C, behind(8));
    for (const epoch of [7, 9]) expect(proposing.receive(C, behind(epoch))).toEqual([]);
    expect([proposing.elector.role, proposing.elector.epoch]).toEqual(['proposing', 9]);
  });

  test('changes nothing at a node that may not vote', () => {
    const voter = connectedVoter();
    voter.elector.setMayVote(false, { epoch: 0, grantEpoch: 0, grantLeader: '' }, moment(0));
    voter.drainMessages();
    expect(voter.receive(C, behind(8))).toEqual([]);
    expect(voter.elector.epoch).toBe(0);
  });
});

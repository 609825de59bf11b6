import { describe, expect, test } from 'vitest';
import { moment, nodeId, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import { A, B, C, kindsOf, VoterHarness, THREE_VOTERS } from './testing/voter-harness.js';
import { VOTE_DEFAULTS } from './vote-settings.js';

const { leaseMs, renewMs, pingMs, electionMs } = VOTE_DEFAULTS;

function granted(epoch: number, wait = 0, nonce = 1): Message {
  return { kind: 'granted', epoch, wait, nonce, reports: [] };
}
function renewed(epoch: number, nonce: number): Message {
  return { kind: 'renewed', epoch, nonce };
}
function defer(epoch: number): Message {
  return { kind: 'defer', epoch, reports: [] };
}

/** Voter `a` of three, proposing itself in epoch 1 at time `pingMs`. */
function proposingVoter(): VoterHarness {
  const voter = new VoterHarness(A);
  voter.tickAt(0);
  voter.answerPings([B, C]);
  voter.tickAt(pingMs);
  voter.answerPings([B, C]);
  return voter;
}

/** Voter `a` after both others have deferred to it, asking them to grant epoch 2. */
function winningVoter(): VoterHarness {
  const voter = proposingVoter();
  for (const peer of [B, C]) voter.receive(peer, defer(1));
  return voter;
}

/** Voter `a` leading epoch 2 by its own grant and that of `b`. */
function leadingVoter(waitMs = 0): VoterHarness {
  const voter = winningVoter();
  voter.receive(B, granted(2, waitMs));
  return voter;
}

/** When the lease that the victory message requested ends. */
const FIRST_LEASE_END = pingMs + leaseMs;

function acknowledgeRenewal(voter: VoterHarness, peers: readonly NodeId[], nonce: number): void {
  for (const peer of peers) voter.receive(peer, renewed(2, nonce));
}

describe('a voter to which a majority has deferred', () => {
  test('asks all others to grant the next epoch', () => {
    const voter = proposingVoter();
    voter.receive(B, defer(1));
    expect(voter.receive(C, defer(1))).toMatchObject([
      ['b', { kind: 'victory', epoch: 2, nonce: 1, quorum: ['a', 'b', 'c'], sentAt: pingMs }],
      ['c', { kind: 'victory', epoch: 2, nonce: 1, quorum: ['a', 'b', 'c'], sentAt: pingMs }],
    ]);
    const { role, leader, epoch } = voter.elector;
    expect([role, leader, epoch]).toEqual(['won', 'a', 2]);
    expect(voter.elector.isLeading()).toBe(false);
  });

  test('sends no victory before its own grant is on disk', () => {
    const voter = proposingVoter();
    voter.isDiskStalled = true;
    voter.receive(B, defer(1));
    expect(voter.receive(C, defer(1))).toEqual([]);
    expect(voter.records.at(-1)).toMatchObject({ epoch: 2, grantEpoch: 2, grantLeader: 'a' });
    // Its own grant does not count either.
    voter.receive(B, granted(2));
    expect(voter.elector.isLeading()).toBe(false);
    voter.persistAll();
    expect(kindsOf(voter.drainMessages())).toEqual(['victory to b', 'victory to c']);
    expect(voter.elector.isLeading()).toBe(true);
  });

  test('leads once a majority has granted that epoch', () => {
    const voter = winningVoter();
    voter.receive(B, granted(4));
    voter.receive(B, granted(0));
    expect(voter.elector.isLeading()).toBe(false);
    voter.receive(B, granted(2));
    expect(voter.elector.isLeading()).toBe(true);
    expect(voter.elector.leaseEnd).toBe(FIRST_LEASE_END);
    expect(voter.elector.mayOrder(voter.now)).toBe(true);
  });

  test('proposes itself again if no majority grants the epoch in time', () => {
    const voter = winningVoter();
    for (let at = 2 * pingMs; at < pingMs + 2 * electionMs; at += pingMs) {
      voter.tickAt(at);
      voter.answerPings([B, C]);
    }
    voter.tickAt(pingMs + 2 * electionMs - 1);
    expect(voter.elector.role).toBe('won');
    voter.tickAt(pingMs + 2 * electionMs);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 3]);
  });

  test('may send orders only once the waits of a majority of its grants are over', () => {
    const voter = leadingVoter(900);
    expect(voter.elector.isLeading()).toBe(true);
    expect(voter.elector.mayOrder(moment(pingMs + 899))).toBe(false);
    expect(voter.elector.mayOrder(moment(pingMs + 900))).toBe(true);
  });
});

describe('a grant', () => {
  test('that arrives after the epoch was abandoned is ignored', () => {
    const voter = winningVoter();
    // `c` has won a later epoch.
    voter.receive(C, { kind: 'victory', epoch: 4, reports: [], nonce: 1, quorum: [], sentAt: 0 });
    voter.receive(B, granted(2));
    voter.receive(B, granted(4));
    expect([voter.elector.role, voter.elector.leader]).toEqual(['following', 'c']);
    expect(voter.elector.isLeading()).toBe(false);
    expect(voter.elector.quorumMembers.has(B)).toBe(false);
  });

  test('of a voter that joins late counts, and that voter takes part from then on', () => {
    const voter = proposingVoter();
    // `c` does not defer, so the deadline decides.
    voter.receive(B, defer(1));
    voter.tickAt(pingMs + electionMs);
    expect(voter.elector.role).toBe('won');
    expect([...voter.elector.quorumMembers].sort()).toEqual(['a', 'b']);
    voter.receive(B, granted(2));
    voter.receive(C, granted(2));
    expect([...voter.elector.quorumMembers].sort()).toEqual(['a', 'b', 'c']);
  });
});

describe('a leader', () => {
  test('renews its lease at the renewal interval, and names the nodes that take part', () => {
    const voter = leadingVoter();
    expect(voter.tickAt(pingMs + renewMs - 1)).toEqual([]);
    const at = pingMs + renewMs;
    expect(voter.tickAt(at)).toEqual([
      ['b', { kind: 'renew', epoch: 2, nonce: 2, quorum: ['a', 'b', 'c'], sentAt: at }],
      ['c', { kind: 'renew', epoch: 2, nonce: 2, quorum: ['a', 'b', 'c'], sentAt: at }],
    ]);
    expect(voter.elector.leaseEnd).toBe(FIRST_LEASE_END);
    acknowledgeRenewal(voter, [C], 2);
    expect(voter.elector.leaseEnd).toBe(at + leaseMs);
  });

  test('ignores acknowledgements of another epoch', () => {
    const voter = leadingVoter();
    voter.tickAt(pingMs + renewMs);
    for (const epoch of [0, 4]) voter.receive(B, renewed(epoch, 2));
    expect(voter.elector.leaseEnd).toBe(FIRST_LEASE_END);
  });

  test('stops leading at the end of its lease, not before', () => {
    const voter = leadingVoter();
    voter.tickAt(FIRST_LEASE_END - 1);
    expect(voter.elector.isLeading()).toBe(true);
    expect(voter.elector.mayOrder(voter.now)).toBe(true);
    expect(voter.elector.mayOrder(moment(FIRST_LEASE_END))).toBe(false);
    voter.tickAt(FIRST_LEASE_END);
    expect([voter.elector.isLeading(), voter.elector.leader]).toEqual([false, undefined]);
  });

  test('releases its lease when it retires, and neither proposes nor leads from then on', () => {
    const voter = leadingVoter();
    voter.elector.retire(voter.now);
    expect(voter.drainMessages()).toEqual([
      ['b', { kind: 'released', epoch: 2 }],
      ['c', { kind: 'released', epoch: 2 }],
    ]);
    expect([voter.elector.role, voter.elector.mayOrder(voter.now)]).toEqual(['looking', false]);
    for (let at = 2 * pingMs; at < 10_000; at += pingMs) {
      expect(kindsOf(voter.tickAt(at))).toEqual([]);
      voter.answerPings([B, C]);
    }
    // Neither a report of a later epoch nor a lower-ranked proposal makes it propose itself.
    expect(voter.receive(B, { kind: 'behind', epoch: 6, reports: [] })).toEqual([]);
    expect(kindsOf(voter.receive(B, { kind: 'propose', epoch: 9, reports: [] }))).toEqual([
      'defer to b',
    ]);
  });

  test('releases no lease if it retires without leading', () => {
    const voter = proposingVoter();
    voter.elector.retire(voter.now);
    expect(voter.drainMessages()).toEqual([]);
  });
});

describe('a change of voters', () => {
  test('ends the lead of a removed voter without releasing its lease', () => {
    const voter = leadingVoter();
    voter.elector.stepDown();
    expect(voter.drainMessages()).toEqual([]);
    expect([voter.elector.role, voter.elector.leader]).toEqual(['looking', undefined]);
    expect(voter.elector.mayOrder(voter.now)).toBe(false);
    const follower = new VoterHarness(A);
    follower.receive(B, {
      kind: 'victory',
      epoch: 2,
      reports: [],
      nonce: 1,
      quorum: [],
      sentAt: 0,
    });
    follower.elector.stepDown();
    expect([follower.elector.role, follower.elector.leader]).toEqual(['following', 'b']);
  });

  test('makes a majority of the new voters decide when the leader may send orders', () => {
    const voter = leadingVoter(0);
    // The wait of the grant of `c` ends much later than those of `a` and `b`.
    voter.receive(C, granted(2, 1000));
    expect(voter.elector.mayOrder(voter.now)).toBe(true);
    voter.elector.setQuorum(new Quorum([A, C]));
    expect(voter.elector.mayOrder(moment(pingMs + 999))).toBe(false);
    expect(voter.elector.mayOrder(moment(pingMs + 1000))).toBe(true);
  });

  test('lets a removed voter lead until its lease ends', () => {
    const voter = leadingVoter();
    voter.elector.setQuorum(new Quorum([B, C, nodeId('d')]));
    const sent = voter.tickAt(pingMs + renewMs);
    expect(kindsOf(sent)).toEqual(['renew to b', 'renew to c', 'renew to d']);
    expect(voter.elector.isLeading()).toBe(true);
    voter.tickAt(FIRST_LEASE_END);
    expect(voter.elector.role).toBe('looking');
    for (let at = FIRST_LEASE_END; at < FIRST_LEASE_END + 3000; at += pingMs)
      expect(kindsOf(voter.tickAt(at))).toEqual([]);
  });

  test('ends the proposal of a removed voter', () => {
    const voter = proposingVoter();
    expect(voter.elector.role).toBe('proposing');
    voter.elector.setQuorum(new Quorum([B, C]));
    expect(voter.tickAt(2 * pingMs)).toEqual([]);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['looking', 1]);
    voter.elector.setQuorum(THREE_VOTERS);
    voter.answerPings([B, C]);
    voter.tickAt(3 * pingMs);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 3]);
  });

  test('lets a removed voter keep following its leader', () => {
    const voter = new VoterHarness(A);
    voter.receive(B, { kind: 'victory', epoch: 2, reports: [], nonce: 1, quorum: [], sentAt: 0 });
    voter.elector.setQuorum(new Quorum([B, C]));
    voter.tickAt(pingMs);
    expect([voter.elector.role, voter.elector.leader]).toEqual(['following', 'b']);
  });
});

test('a sole voter grants its own epoch and leads', () => {
  const voter = new VoterHarness(A, { quorum: new Quorum([A]) });
  voter.tickAt(0);
  expect(voter.elector.isLeading()).toBe(true);
  expect([voter.elector.epoch, voter.elector.electionsStarted]).toEqual([2, 1]);
});

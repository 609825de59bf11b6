import { describe, expect, test } from 'vitest';
import { moment, nodeId, type NodeId } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import { A, B, C, kindsOf, LoneVoter, THREE } from './testing/lone-voter.js';
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

/** Voter `a` of three that proposes itself in epoch 1, at moment `pingMs`. */
function proposing(): LoneVoter {
  const voter = new LoneVoter(A);
  voter.tickAt(0);
  voter.answerPings([B, C]);
  voter.tickAt(pingMs);
  voter.answerPings([B, C]);
  return voter;
}

/** Voter `a` to which both others have deferred, and that asks them to grant epoch 2. */
function won(): LoneVoter {
  const voter = proposing();
  for (const peer of [B, C]) voter.receive(peer, defer(1));
  return voter;
}

/** Voter `a` that leads epoch 2 by its own grant and the one of `b`. */
function leading(waitMs = 0): LoneVoter {
  const voter = won();
  voter.receive(B, granted(2, waitMs));
  return voter;
}

/** When the lease that was asked for with the victory ends. */
const FIRST_END = pingMs + leaseMs;

function answerRenewal(voter: LoneVoter, peers: readonly NodeId[], nonce: number): void {
  for (const peer of peers) voter.receive(peer, renewed(2, nonce));
}

describe('one to which a majority has deferred', () => {
  test('asks everybody to grant the epoch after', () => {
    const voter = proposing();
    voter.receive(B, defer(1));
    expect(voter.receive(C, defer(1))).toMatchObject([
      ['b', { kind: 'victory', epoch: 2, nonce: 1, quorum: ['a', 'b', 'c'], sentAt: pingMs }],
      ['c', { kind: 'victory', epoch: 2, nonce: 1, quorum: ['a', 'b', 'c'], sentAt: pingMs }],
    ]);
    const { role, leader, epoch } = voter.elector;
    expect([role, leader, epoch]).toEqual(['won', 'a', 2]);
    expect(voter.elector.isLeading()).toBe(false);
  });

  test('says nothing of it before its own grant is on disk', () => {
    const voter = proposing();
    voter.isDiskStalled = true;
    voter.receive(B, defer(1));
    expect(voter.receive(C, defer(1))).toEqual([]);
    expect(voter.records.at(-1)).toMatchObject({ epoch: 2, grantEpoch: 2, grantLeader: 'a' });
    // Its own grant does not count either.
    voter.receive(B, granted(2));
    expect(voter.elector.isLeading()).toBe(false);
    voter.sync();
    expect(kindsOf(voter.drain())).toEqual(['victory to b', 'victory to c']);
    expect(voter.elector.isLeading()).toBe(true);
  });

  test('leads once a majority has granted that epoch', () => {
    const voter = won();
    voter.receive(B, granted(4));
    voter.receive(B, granted(0));
    expect(voter.elector.isLeading()).toBe(false);
    voter.receive(B, granted(2));
    expect(voter.elector.isLeading()).toBe(true);
    expect(voter.elector.leaseEnd).toBe(FIRST_END);
    expect(voter.elector.mayOrder(voter.now)).toBe(true);
  });

  test('proposes itself anew where no majority grants it in time', () => {
    const voter = won();
    for (let at = 2 * pingMs; at < pingMs + 2 * electionMs; at += pingMs) {
      voter.tickAt(at);
      voter.answerPings([B, C]);
    }
    voter.tickAt(pingMs + 2 * electionMs - 1);
    expect(voter.elector.role).toBe('won');
    voter.tickAt(pingMs + 2 * electionMs);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 3]);
  });

  test('orders only once a majority of those that granted is free', () => {
    const voter = leading(900);
    expect(voter.elector.isLeading()).toBe(true);
    expect(voter.elector.mayOrder(moment(pingMs + 899))).toBe(false);
    expect(voter.elector.mayOrder(moment(pingMs + 900))).toBe(true);
  });
});

describe('a grant', () => {
  test('that comes after the lead was given up counts for nothing', () => {
    const voter = won();
    // Somebody else is further ahead.
    voter.receive(C, { kind: 'victory', epoch: 4, reports: [], nonce: 1, quorum: [], sentAt: 0 });
    voter.receive(B, granted(2));
    voter.receive(B, granted(4));
    expect([voter.elector.role, voter.elector.leader]).toEqual(['following', 'c']);
    expect(voter.elector.isLeading()).toBe(false);
    expect(voter.elector.quorumMembers.has(B)).toBe(false);
  });

  test('of a voter that joins late counts, and its voter takes part from then on', () => {
    const voter = proposing();
    // `c` neither answers nor defers: the limit decides.
    voter.receive(B, defer(1));
    voter.tickAt(pingMs + electionMs);
    expect(voter.elector.role).toBe('won');
    expect([...voter.elector.quorumMembers].sort()).toEqual(['a', 'b']);
    voter.receive(B, granted(2));
    voter.receive(C, granted(2));
    expect([...voter.elector.quorumMembers].sort()).toEqual(['a', 'b', 'c']);
  });
});

describe('one that leads', () => {
  test('renews its lease at the interval of the settings, and tells who takes part', () => {
    const voter = leading();
    expect(voter.tickAt(pingMs + renewMs - 1)).toEqual([]);
    const at = pingMs + renewMs;
    expect(voter.tickAt(at)).toEqual([
      ['b', { kind: 'renew', epoch: 2, nonce: 2, quorum: ['a', 'b', 'c'], sentAt: at }],
      ['c', { kind: 'renew', epoch: 2, nonce: 2, quorum: ['a', 'b', 'c'], sentAt: at }],
    ]);
    expect(voter.elector.leaseEnd).toBe(FIRST_END);
    answerRenewal(voter, [C], 2);
    expect(voter.elector.leaseEnd).toBe(at + leaseMs);
  });

  test('counts no return of a renewal of another epoch', () => {
    const voter = leading();
    voter.tickAt(pingMs + renewMs);
    for (const epoch of [0, 4]) voter.receive(B, renewed(epoch, 2));
    expect(voter.elector.leaseEnd).toBe(FIRST_END);
  });

  test('gives the lead up at the end of its lease, and not before', () => {
    const voter = leading();
    voter.tickAt(FIRST_END - 1);
    expect(voter.elector.isLeading()).toBe(true);
    expect(voter.elector.mayOrder(voter.now)).toBe(true);
    expect(voter.elector.mayOrder(moment(FIRST_END))).toBe(false);
    voter.tickAt(FIRST_END);
    expect([voter.elector.isLeading(), voter.elector.leader]).toEqual([false, undefined]);
  });

  test('hands its lease back when it retires, and neither proposes nor leads from then on', () => {
    const voter = leading();
    voter.elector.retire(voter.now);
    expect(voter.drain()).toEqual([
      ['b', { kind: 'released', epoch: 2 }],
      ['c', { kind: 'released', epoch: 2 }],
    ]);
    expect([voter.elector.role, voter.elector.mayOrder(voter.now)]).toEqual(['looking', false]);
    for (let at = 2 * pingMs; at < 10_000; at += pingMs) {
      expect(kindsOf(voter.tickAt(at))).toEqual([]);
      voter.answerPings([B, C]);
    }
    // Neither by the news of a later epoch, nor by a worse proposal.
    expect(voter.receive(B, { kind: 'behind', epoch: 6, reports: [] })).toEqual([]);
    expect(kindsOf(voter.receive(B, { kind: 'propose', epoch: 9, reports: [] }))).toEqual([
      'defer to b',
    ]);
  });

  test('says nothing of a lease where it retires without leading', () => {
    const voter = proposing();
    voter.elector.retire(voter.now);
    expect(voter.drain()).toEqual([]);
  });
});

describe('a change of voters', () => {
  test('ends the lead of one that is let go, and its promises bind until they run out', () => {
    const voter = leading();
    voter.elector.stepDown();
    expect(voter.drain()).toEqual([]);
    expect([voter.elector.role, voter.elector.leader]).toEqual(['looking', undefined]);
    expect(voter.elector.mayOrder(voter.now)).toBe(false);
    const follower = new LoneVoter(A);
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

  test('makes a majority of the new ones decide when one that leads may order', () => {
    const voter = leading(0);
    // The grant of `c` binds until much later than those of `a` and `b`.
    voter.receive(C, granted(2, 1000));
    expect(voter.elector.mayOrder(voter.now)).toBe(true);
    voter.elector.setQuorum(new Quorum([A, C]));
    expect(voter.elector.mayOrder(moment(pingMs + 999))).toBe(false);
    expect(voter.elector.mayOrder(moment(pingMs + 1000))).toBe(true);
  });

  test('lets one that is no voter any more lead until its lease ends', () => {
    const voter = leading();
    voter.elector.setQuorum(new Quorum([B, C, nodeId('d')]));
    const sent = voter.tickAt(pingMs + renewMs);
    expect(kindsOf(sent)).toEqual(['renew to b', 'renew to c', 'renew to d']);
    expect(voter.elector.isLeading()).toBe(true);
    voter.tickAt(FIRST_END);
    expect(voter.elector.role).toBe('looking');
    for (let at = FIRST_END; at < FIRST_END + 3000; at += pingMs)
      expect(kindsOf(voter.tickAt(at))).toEqual([]);
  });

  test('ends the proposal of one that is no voter any more', () => {
    const voter = proposing();
    expect(voter.elector.role).toBe('proposing');
    voter.elector.setQuorum(new Quorum([B, C]));
    expect(voter.tickAt(2 * pingMs)).toEqual([]);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['looking', 1]);
    voter.elector.setQuorum(THREE);
    voter.answerPings([B, C]);
    voter.tickAt(3 * pingMs);
    expect([voter.elector.role, voter.elector.epoch]).toEqual(['proposing', 3]);
  });

  test('leaves one that follows a leader, and is no voter any more, with that leader', () => {
    const voter = new LoneVoter(A);
    voter.receive(B, { kind: 'victory', epoch: 2, reports: [], nonce: 1, quorum: [], sentAt: 0 });
    voter.elector.setQuorum(new Quorum([B, C]));
    voter.tickAt(pingMs);
    expect([voter.elector.role, voter.elector.leader]).toEqual(['following', 'b']);
  });
});

test('a voter alone grants itself and leads', () => {
  const voter = new LoneVoter(A, { quorum: new Quorum([A]) });
  voter.tickAt(0);
  expect(voter.elector.isLeading()).toBe(true);
  expect([voter.elector.epoch, voter.elector.electionsStarted]).toEqual([2, 1]);
});

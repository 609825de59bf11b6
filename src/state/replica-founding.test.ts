import { describe, expect, test } from 'vitest';
import { moment, nodeId } from '../common/ids.js';
import type { StoredReplica, Message } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import { CONFIG_PARTITION } from './partition-names.js';
import {
  ReplicaStatus,
  type ReplicaStatusName,
  type ReplicaStatusOutcome,
} from './replica-status.js';
import { copyOf, P0, votersNamedBy } from './testing/lone-replica.js';

type ReadReply = Extract<Message, { kind: 'readReply' }>;

const [A, B, C, D, E] = [nodeId('a'), nodeId('b'), nodeId('c'), nodeId('d'), nodeId('e')];
const THREE = quorumOf('a', 'b', 'c');
const FOUND_MS = 1000;
const INCARNATION = 5000;
/** The number of the first request. */
const NONCE = INCARNATION + 1;
/** A moment at which founding is allowed. */
const LATE = moment(FOUND_MS + 500);

function quorumOf(...ids: readonly string[]): Quorum {
  return new Quorum(ids.map(nodeId));
}

interface Start {
  readonly name?: ReplicaStatusName;
  readonly mayFound?: boolean;
  readonly quorum?: Quorum;
}

/** Node `a` after its first request. */
function started({ name = 'blank', mayFound = true, quorum = THREE }: Start = {}): ReplicaStatus {
  const status = new ReplicaStatus(
    A,
    name,
    moment(0),
    FOUND_MS,
    INCARNATION,
    mayFound,
    votersNamedBy,
  );
  status.tick(moment(0), quorum);
  return status;
}

function reply(
  standing: string,
  epoch = 0,
  copies: StoredReplica[] = [],
  nonce = NONCE,
): ReadReply {
  return { kind: 'readReply', epoch, nonce, sound: false, copies, standing };
}

/** What comes of these replies, in their order. */
function outcomeOf(
  status: ReplicaStatus,
  replies: readonly (readonly [string, ReadReply])[],
  quorum = THREE,
): ReplicaStatusOutcome | undefined {
  let outcome: ReplicaStatusOutcome | undefined;
  for (const [from, message] of replies)
    outcome = status.onReadReply(LATE, nodeId(from), message, quorum);
  return outcome;
}

function askedAt(status: ReplicaStatus, millis: number, quorum = THREE): readonly string[] {
  return status.tick(moment(millis), quorum).map(({ to }) => to);
}

/** The configuration as a voter tells it, with the voters that it names. */
function configOf(epoch: number, count: number, ...voters: readonly string[]): StoredReplica {
  return copyOf(CONFIG_PARTITION, { epoch, count }, `voters ${voters.join(' ')}`);
}

describe('founding', () => {
  const founded = { become: 'founded', epoch: 0 };

  test('takes every other voter to be blank, or founded with nothing decided', () => {
    for (const one of ['blank', 'fresh'])
      for (const other of ['blank', 'fresh'])
        expect(
          outcomeOf(started(), [
            ['b', reply(one, 0)],
            ['c', reply(other, 0)],
          ]),
        ).toEqual(founded);
    for (const other of ['sound', 'lost', 'repairing', ''])
      expect(
        outcomeOf(started(), [
          ['b', reply('blank')],
          ['c', reply(other)],
        ]),
      ).toBeUndefined();
    expect(outcomeOf(started(), [['b', reply('blank')]])).toBeUndefined();
  });

  test('waits for the time of the settings from the start', () => {
    const status = started();
    const [early, due] = [moment(FOUND_MS - 1), moment(FOUND_MS)];
    status.onReadReply(early, B, reply('blank'), THREE);
    expect(status.onReadReply(early, C, reply('blank'), THREE)).toBeUndefined();
    expect(status.outcome(due, THREE)).toEqual(founded);
  });

  test('is left to nodes of the first start, with an empty folder, that vote', () => {
    const blanks = [
      ['b', reply('blank')],
      ['c', reply('blank')],
    ] as const;
    expect(outcomeOf(started({ mayFound: false }), blanks)).toBeUndefined();
    expect(outcomeOf(started({ name: 'lost' }), blanks)).toBeUndefined();
    expect(outcomeOf(started(), blanks, quorumOf('b', 'c'))).toBeUndefined();
  });

  test('is not done over what members of a blank peer hold, but by an operator', () => {
    const status = started();
    const replies = [
      ['b', reply('blank', 6)],
      ['c', reply('blank', 4)],
    ] as const;
    expect(outcomeOf(status, replies)).toBeUndefined();
    expect(status.hasMemberEpoch).toBe(true);
    status.forceNewCluster();
    expect(status.outcome(LATE, THREE)).toEqual({ become: 'founded', epoch: 6 });
  });

  test('is not held up by the epoch of a peer that is not blank', () => {
    const status = started();
    status.onReadReply(LATE, B, reply('fresh', 6), THREE);
    expect(status.hasMemberEpoch).toBe(false);
  });

  test('of an operator still needs every other voter to be blank or fresh', () => {
    const status = started();
    status.forceNewCluster();
    expect(outcomeOf(status, [['b', reply('blank')]])).toBeUndefined();
  });
});

describe('repair', () => {
  test('needs every other voter but those too few to have decided without them', () => {
    const five = quorumOf('a', 'b', 'c', 'd', 'e');
    const status = started({ quorum: five });
    for (const from of [B, C])
      expect(status.onReadReply(LATE, from, reply('sound', 8), five)).toBeUndefined();
    expect(status.onReadReply(LATE, D, reply('sound', 6), five)).toMatchObject({
      become: 'repaired',
      epoch: 8,
    });
  });

  test('takes the newest epoch and all copies of those that count', () => {
    const [one, other] = [copyOf(P0, { epoch: 4, count: 1 }, 'x'), copyOf(P0)];
    const outcome = outcomeOf(started(), [
      ['b', reply('sound', 4, [one])],
      ['c', reply('fresh', 6, [other])],
    ]);
    expect(outcome).toEqual({ become: 'repaired', epoch: 6, copies: [one, other] });
  });

  test('counts no peer that does not count itself', () => {
    for (const standing of ['blank', 'lost', 'repairing'])
      expect(
        outcomeOf(started({ mayFound: false }), [
          ['b', reply('sound', 8)],
          ['c', reply(standing, 8)],
        ]),
      ).toBeUndefined();
  });

  test('of a node whose record is lost goes by the same', () => {
    const outcome = outcomeOf(started({ name: 'lost' }), [
      ['b', reply('sound', 8)],
      ['c', reply('sound', 8)],
    ]);
    expect(outcome).toMatchObject({ become: 'repaired', epoch: 8 });
  });

  test('reads the voters that the newest configuration names, and not those of the settings', () => {
    const status = started({ mayFound: false });
    const older = configOf(2, 9, 'a', 'b', 'c');
    const newer = configOf(4, 1, 'a', 'd', 'e');
    status.onReadReply(LATE, B, reply('sound', 8, [older]), THREE);
    expect(status.onReadReply(LATE, C, reply('sound', 8, [newer]), THREE)).toBeUndefined();
    expect(askedAt(status, LATE + 10_000)).toEqual(['d', 'e']);
    const nonce = NONCE + 1;
    const of = (epoch: number) => reply('sound', epoch, [], nonce);
    expect(status.onReadReply(LATE, D, of(10), THREE)).toBeUndefined();
    expect(status.onReadReply(LATE, E, of(12), THREE)).toEqual({
      become: 'repaired',
      epoch: 12,
      copies: [],
    });
  });

  test('takes no voters from a bad copy, or from a peer that does not count', () => {
    const bad = { ...configOf(4, 1, 'a', 'd', 'e'), sound: false };
    const foreign = configOf(4, 1, 'a', 'd', 'e');
    expect(
      outcomeOf(started({ mayFound: false }), [
        ['b', reply('sound', 8, [bad])],
        ['c', reply('sound', 8)],
      ]),
    ).toMatchObject({ become: 'repaired' });
    const status = started({ mayFound: false });
    status.onReadReply(LATE, B, reply('lost', 8, [foreign]), THREE);
    expect(askedAt(status, LATE + 10_000)).toEqual(['b', 'c']);
  });

  test('by an operator goes by whoever is left, in the newest epoch that members hold', () => {
    const status = started({ mayFound: false });
    status.forceNewCluster();
    expect(status.outcome(LATE, THREE)).toBeUndefined();
    status.onMemberEpoch(4);
    expect(outcomeOf(status, [['b', reply('sound', 2)]])).toEqual({
      become: 'repaired',
      epoch: 4,
      copies: [],
    });
    status.onMemberEpoch(1);
    expect(status.outcome(LATE, THREE)).toMatchObject({ epoch: 4 });
  });

  test('comes of no epoch at all where the others have decided nothing', () => {
    expect(
      outcomeOf(started({ mayFound: false }), [
        ['b', reply('fresh', 0)],
        ['c', reply('fresh', 0)],
      ]),
    ).toBeUndefined();
  });

  test('is over once the node counts', () => {
    const status = started();
    status.resolve();
    expect(status.name).toBe('sound');
    expect(
      outcomeOf(status, [
        ['b', reply('sound', 8)],
        ['c', reply('sound', 8)],
      ]),
    ).toBeUndefined();
    expect(status.outcome(LATE, THREE)).toBeUndefined();
    expect(askedAt(status, 100_000)).toEqual([]);
  });
});

describe('replies', () => {
  const other = ['c', reply('sound', 8)] as const;

  test('count of every request of this incarnation, and of none before or to come', () => {
    const of = (nonce: number) =>
      outcomeOf(started(), [other, ['b', reply('sound', 8, [], nonce)]]) !== undefined;
    expect([INCARNATION - 1, INCARNATION, NONCE, NONCE + 1].map(of)).toEqual([
      false,
      false,
      true,
      false,
    ]);
    const status = started();
    status.tick(moment(100), THREE);
    expect(outcomeOf(status, [other, ['b', reply('sound', 8)]])).toBeDefined();
  });

  test('to a leader that reads are none to a node that asks', () => {
    expect(
      outcomeOf(started(), [other, ['b', { ...reply('sound', 8), sound: true }]]),
    ).toBeUndefined();
  });

  test('of a peer that counts stand as they were first, others are replaced', () => {
    const copy = copyOf(P0, { epoch: 2, count: 1 }, 'first');
    const outcome = outcomeOf(started(), [
      ['b', reply('sound', 8, [copy])],
      ['b', reply('sound', 10, [])],
      ['c', reply('blank')],
      ['c', reply('sound', 4)],
    ]);
    expect(outcome).toEqual({ become: 'repaired', epoch: 8, copies: [copy] });
  });
});

describe('requests', () => {
  test('are repeated after 100 ms, then twice as long each time, up to 800 ms', () => {
    const status = started();
    const times: number[] = [];
    for (let at = 1; at <= 4000; at += 1) if (askedAt(status, at).includes('b')) times.push(at);
    expect(times).toEqual([100, 300, 700, 1500, 2300, 3100, 3900]);
  });

  test('carry a number of their own each time', () => {
    const status = started();
    const message = { kind: 'read', epoch: 0, nonce: NONCE + 1, parts: [] };
    expect(status.tick(moment(100), THREE)).toEqual([
      { to: 'b', message },
      { to: 'c', message },
    ]);
    expect(status.tick(moment(101), THREE)).toEqual([]);
    expect(status.tick(moment(300), THREE)[0]?.message).toMatchObject({ nonce: NONCE + 2 });
  });

  test('go to a peer that holds nothing 200 ms after its answer, and to one that counts no more', () => {
    const status = started({ mayFound: false });
    status.onReadReply(moment(0), B, reply('blank'), THREE);
    status.onReadReply(moment(0), C, reply('sound', 8), THREE);
    expect(askedAt(status, 199)).toEqual([]);
    expect(askedAt(status, 200)).toEqual(['b']);
    expect(askedAt(status, 599)).toEqual([]);
    expect(askedAt(status, 600)).toEqual(['b']);
  });
});

describe('the answer to a node that asks', () => {
  const copies = [copyOf(P0, { epoch: 2, count: 1 }, 'x')];
  const empty = [copyOf(P0)];

  test('of one that counts tells its epoch and copies', () => {
    const status = started({ name: 'sound' });
    expect(status.replyTo(7, 4, copies, false)).toEqual(reply('sound', 4, copies, 7));
    expect(status.replyTo(7, 4, empty, true)).toEqual(reply('sound', 4, empty, 7));
  });

  test('of one that founded and has decided nothing says so', () => {
    const status = started({ name: 'sound' });
    expect(status.replyTo(7, 4, empty, false)).toEqual(reply('fresh', 4, empty, 7));
  });

  test('of one that does not count tells no copies, and a blank one the epoch of its members', () => {
    expect(started({ name: 'lost' }).replyTo(7, 4, copies, true)).toEqual(reply('lost', 4, [], 7));
    expect(started().replyTo(7, 4, empty, false)).toEqual(reply('blank', 0, [], 7));
    const blank = started();
    blank.onMemberEpoch(6);
    expect(blank.replyTo(7, 4, empty, false)).toEqual(reply('blank', 6, [], 7));
  });
});

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
import { storedReplica, P0, parseVoters } from './testing/replica-harness.js';

type ReadReply = Extract<Message, { kind: 'readReply' }>;

const [A, B, C, D, E] = [nodeId('a'), nodeId('b'), nodeId('c'), nodeId('d'), nodeId('e')];
const THREE = quorumOf('a', 'b', 'c');
const FORMATION_DELAY_MS = 1000;
const INCARNATION = 5000;
/** The nonce of the first request. */
const NONCE = INCARNATION + 1;
/** A time at which a new cluster may be formed. */
const AFTER_FORMATION_DELAY = moment(FORMATION_DELAY_MS + 500);

function quorumOf(...ids: readonly string[]): Quorum {
  return new Quorum(ids.map(nodeId));
}

interface StartOptions {
  readonly name?: ReplicaStatusName;
  readonly isFormationAllowed?: boolean;
  readonly quorum?: Quorum;
}

/** The status of node `a` after its first request. */
function startedStatus({
  name = 'blank',
  isFormationAllowed: isFormationAllowed = true,
  quorum = THREE,
}: StartOptions = {}): ReplicaStatus {
  const status = new ReplicaStatus(
    A,
    name,
    moment(0),
    FORMATION_DELAY_MS,
    INCARNATION,
    isFormationAllowed,
    parseVoters,
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

/** The outcome after these replies, in order. */
function outcomeOf(
  status: ReplicaStatus,
  replies: readonly (readonly [string, ReadReply])[],
  quorum = THREE,
): ReplicaStatusOutcome | undefined {
  let outcome: ReplicaStatusOutcome | undefined;
  for (const [from, message] of replies)
    outcome = status.onReadReply(AFTER_FORMATION_DELAY, nodeId(from), message, quorum);
  return outcome;
}

function requestedPeersAt(
  status: ReplicaStatus,
  millis: number,
  quorum = THREE,
): readonly string[] {
  return status.tick(moment(millis), quorum).map(({ to }) => to);
}

/** The configuration partition in the form that a voter reports it, naming these voters. */
function storedConfig(epoch: number, count: number, ...voters: readonly string[]): StoredReplica {
  return storedReplica(CONFIG_PARTITION, { epoch, count }, `voters ${voters.join(' ')}`);
}

describe('forming a new cluster', () => {
  const founded = { become: 'founded', epoch: 0 };

  test('requires every other voter to be blank, or healthy without grants and data', () => {
    for (const one of ['blank', 'fresh'])
      for (const other of ['blank', 'fresh'])
        expect(
          outcomeOf(startedStatus(), [
            ['b', reply(one, 0)],
            ['c', reply(other, 0)],
          ]),
        ).toEqual(founded);
    for (const other of ['sound', 'lost', 'repairing', ''])
      expect(
        outcomeOf(startedStatus(), [
          ['b', reply('blank')],
          ['c', reply(other)],
        ]),
      ).toBeUndefined();
    expect(outcomeOf(startedStatus(), [['b', reply('blank')]])).toBeUndefined();
  });

  test('waits for the formation delay after the start', () => {
    const status = startedStatus();
    const [early, due] = [moment(FORMATION_DELAY_MS - 1), moment(FORMATION_DELAY_MS)];
    status.onReadReply(early, B, reply('blank'), THREE);
    expect(status.onReadReply(early, C, reply('blank'), THREE)).toBeUndefined();
    expect(status.outcome(due, THREE)).toEqual(founded);
  });

  test('is allowed only for voters with an empty folder at the first start of the cluster', () => {
    const blanks = [
      ['b', reply('blank')],
      ['c', reply('blank')],
    ] as const;
    expect(outcomeOf(startedStatus({ isFormationAllowed: false }), blanks)).toBeUndefined();
    expect(outcomeOf(startedStatus({ name: 'lost' }), blanks)).toBeUndefined();
    expect(outcomeOf(startedStatus(), blanks, quorumOf('b', 'c'))).toBeUndefined();
  });

  test('requires an operator if members of a blank peer have a configuration', () => {
    const status = startedStatus();
    const replies = [
      ['b', reply('blank', 6)],
      ['c', reply('blank', 4)],
    ] as const;
    expect(outcomeOf(status, replies)).toBeUndefined();
    expect(status.hasMemberEpoch).toBe(true);
    status.forceNewCluster();
    expect(status.outcome(AFTER_FORMATION_DELAY, THREE)).toEqual({ become: 'founded', epoch: 6 });
  });

  test('is not prevented by the epoch of a peer that is not blank', () => {
    const status = startedStatus();
    status.onReadReply(AFTER_FORMATION_DELAY, B, reply('fresh', 6), THREE);
    expect(status.hasMemberEpoch).toBe(false);
  });

  test('by an operator still requires every other voter to be blank or fresh', () => {
    const status = startedStatus();
    status.forceNewCluster();
    expect(outcomeOf(status, [['b', reply('blank')]])).toBeUndefined();
  });
});

describe('repair', () => {
  test('requires that this node and the unread voters are not a majority', () => {
    const five = quorumOf('a', 'b', 'c', 'd', 'e');
    const status = startedStatus({ quorum: five });
    for (const from of [B, C])
      expect(
        status.onReadReply(AFTER_FORMATION_DELAY, from, reply('sound', 8), five),
      ).toBeUndefined();
    expect(status.onReadReply(AFTER_FORMATION_DELAY, D, reply('sound', 6), five)).toMatchObject({
      become: 'repaired',
      epoch: 8,
    });
  });

  test('adopts the newest epoch and all partitions of healthy peers', () => {
    const [one, other] = [storedReplica(P0, { epoch: 4, count: 1 }, 'x'), storedReplica(P0)];
    const outcome = outcomeOf(startedStatus(), [
      ['b', reply('sound', 4, [one])],
      ['c', reply('fresh', 6, [other])],
    ]);
    expect(outcome).toEqual({ become: 'repaired', epoch: 6, copies: [one, other] });
  });

  test('counts only healthy peers', () => {
    for (const standing of ['blank', 'lost', 'repairing'])
      expect(
        outcomeOf(startedStatus({ isFormationAllowed: false }), [
          ['b', reply('sound', 8)],
          ['c', reply(standing, 8)],
        ]),
      ).toBeUndefined();
  });

  test('of a node whose vote record is lost follows the same rules', () => {
    const outcome = outcomeOf(startedStatus({ name: 'lost' }), [
      ['b', reply('sound', 8)],
      ['c', reply('sound', 8)],
    ]);
    expect(outcome).toMatchObject({ become: 'repaired', epoch: 8 });
  });

  test('reads the voters that the newest configuration names instead of those in the settings', () => {
    const status = startedStatus({ isFormationAllowed: false });
    const older = storedConfig(2, 9, 'a', 'b', 'c');
    const newer = storedConfig(4, 1, 'a', 'd', 'e');
    status.onReadReply(AFTER_FORMATION_DELAY, B, reply('sound', 8, [older]), THREE);
    expect(
      status.onReadReply(AFTER_FORMATION_DELAY, C, reply('sound', 8, [newer]), THREE),
    ).toBeUndefined();
    expect(requestedPeersAt(status, AFTER_FORMATION_DELAY + 10_000)).toEqual(['d', 'e']);
    const nonce = NONCE + 1;
    const of = (epoch: number) => reply('sound', epoch, [], nonce);
    expect(status.onReadReply(AFTER_FORMATION_DELAY, D, of(10), THREE)).toBeUndefined();
    expect(status.onReadReply(AFTER_FORMATION_DELAY, E, of(12), THREE)).toEqual({
      become: 'repaired',
      epoch: 12,
      copies: [],
    });
  });

  test('takes no voters from a corrupt configuration, or from a peer that is not healthy', () => {
    const corrupt = { ...storedConfig(4, 1, 'a', 'd', 'e'), sound: false };
    const unhealthyConfig = storedConfig(4, 1, 'a', 'd', 'e');
    expect(
      outcomeOf(startedStatus({ isFormationAllowed: false }), [
        ['b', reply('sound', 8, [corrupt])],
        ['c', reply('sound', 8)],
      ]),
    ).toMatchObject({ become: 'repaired' });
    const status = startedStatus({ isFormationAllowed: false });
    status.onReadReply(AFTER_FORMATION_DELAY, B, reply('lost', 8, [unhealthyConfig]), THREE);
    expect(requestedPeersAt(status, AFTER_FORMATION_DELAY + 10_000)).toEqual(['b', 'c']);
  });

  test('by an operator uses the remaining peers, in the newest epoch that members know', () => {
    const status = startedStatus({ isFormationAllowed: false });
    status.forceNewCluster();
    expect(status.outcome(AFTER_FORMATION_DELAY, THREE)).toBeUndefined();
    status.onMemberEpoch(4);
    expect(outcomeOf(status, [['b', reply('sound', 2)]])).toEqual({
      become: 'repaired',
      epoch: 4,
      copies: [],
    });
    status.onMemberEpoch(1);
    expect(status.outcome(AFTER_FORMATION_DELAY, THREE)).toMatchObject({ epoch: 4 });
  });

  test('does not take place if the peers have no epoch yet', () => {
    expect(
      outcomeOf(startedStatus({ isFormationAllowed: false }), [
        ['b', reply('fresh', 0)],
        ['c', reply('fresh', 0)],
      ]),
    ).toBeUndefined();
  });

  test('ends once the node is healthy', () => {
    const status = startedStatus();
    status.markHealthy();
    expect(status.name).toBe('sound');
    expect(
      outcomeOf(status, [
        ['b', reply('sound', 8)],
        ['c', reply('sound', 8)],
      ]),
    ).toBeUndefined();
    expect(status.outcome(AFTER_FORMATION_DELAY, THREE)).toBeUndefined();
    expect(requestedPeersAt(status, 100_000)).toEqual([]);
  });
});

describe('replies', () => {
  const other = ['c', reply('sound', 8)] as const;

  test('are accepted for every request of this incarnation, and for no earlier or future one', () => {
    const of = (nonce: number) =>
      outcomeOf(startedStatus(), [other, ['b', reply('sound', 8, [], nonce)]]) !== undefined;
    expect([INCARNATION - 1, INCARNATION, NONCE, NONCE + 1].map(of)).toEqual([
      false,
      false,
      true,
      false,
    ]);
    const status = startedStatus();
    status.tick(moment(100), THREE);
    expect(outcomeOf(status, [other, ['b', reply('sound', 8)]])).toBeDefined();
  });

  test('to the read of a leader are not accepted by a node in repair', () => {
    expect(
      outcomeOf(startedStatus(), [other, ['b', { ...reply('sound', 8), sound: true }]]),
    ).toBeUndefined();
  });

  test('of a healthy peer are ignored after the first one; others are replaced by later ones', () => {
    const copy = storedReplica(P0, { epoch: 2, count: 1 }, 'first');
    const outcome = outcomeOf(startedStatus(), [
      ['b', reply('sound', 8, [copy])],
      ['b', reply('sound', 10, [])],
      ['c', reply('blank')],
      ['c', reply('sound', 4)],
    ]);
    expect(outcome).toEqual({ become: 'repaired', epoch: 8, copies: [copy] });
  });
});

describe('requests', () => {
  test('are repeated after 100 ms, then after a delay that doubles up to 800 ms', () => {
    const status = startedStatus();
    const times: number[] = [];
    for (let at = 1; at <= 4000; at += 1)
      if (requestedPeersAt(status, at).includes('b')) times.push(at);
    expect(times).toEqual([100, 300, 700, 1500, 2300, 3100, 3900]);
  });

  test('have a new nonce each time', () => {
    const status = startedStatus();
    const message = { kind: 'read', epoch: 0, nonce: NONCE + 1, parts: [] };
    expect(status.tick(moment(100), THREE)).toEqual([
      { to: 'b', message },
      { to: 'c', message },
    ]);
    expect(status.tick(moment(101), THREE)).toEqual([]);
    expect(status.tick(moment(300), THREE)[0]?.message).toMatchObject({ nonce: NONCE + 2 });
  });

  test('are repeated to a blank peer 200 ms after its reply, and not to a healthy peer', () => {
    const status = startedStatus({ isFormationAllowed: false });
    status.onReadReply(moment(0), B, reply('blank'), THREE);
    status.onReadReply(moment(0), C, reply('sound', 8), THREE);
    expect(requestedPeersAt(status, 199)).toEqual([]);
    expect(requestedPeersAt(status, 200)).toEqual(['b']);
    expect(requestedPeersAt(status, 599)).toEqual([]);
    expect(requestedPeersAt(status, 600)).toEqual(['b']);
  });
});

describe('the reply to a node in repair', () => {
  const copies = [storedReplica(P0, { epoch: 2, count: 1 }, 'x')];
  const empty = [storedReplica(P0)];

  test('of a healthy node contains its epoch and partitions', () => {
    const status = startedStatus({ name: 'sound' });
    expect(status.replyTo(7, 4, copies, false)).toEqual(reply('sound', 4, copies, 7));
    expect(status.replyTo(7, 4, empty, true)).toEqual(reply('sound', 4, empty, 7));
  });

  test('of a healthy node without grants and data reports it as fresh', () => {
    const status = startedStatus({ name: 'sound' });
    expect(status.replyTo(7, 4, empty, false)).toEqual(reply('fresh', 4, empty, 7));
  });

  test('of a node that is not healthy contains no partitions; a blank one reports the epoch of its members', () => {
    expect(startedStatus({ name: 'lost' }).replyTo(7, 4, copies, true)).toEqual(
      reply('lost', 4, [], 7),
    );
    expect(startedStatus().replyTo(7, 4, empty, false)).toEqual(reply('blank', 0, [], 7));
    const blank = startedStatus();
    blank.onMemberEpoch(6);
    expect(blank.replyTo(7, 4, empty, false)).toEqual(reply('blank', 6, [], 7));
  });
});

import { describe, expect, test } from 'vitest';
import { moment, nodeId, type PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import type { Version } from '../common/version.js';
import { CONFIG_PARTITION } from './partition-names.js';
import {
  writeReply,
  B,
  C,
  storedReplica,
  EPOCH,
  ReplicaHarness,
  P0,
  P1,
  PARTITIONS,
  readReply,
  type SentMessage,
} from './testing/replica-harness.js';

/** Interval at which reads and writes without a reply are sent again. */
const RESEND_INTERVAL_MS = 300;
/** How long a write that a majority has persisted waits for the remaining voters. */
const LAST_REPLICA_WAIT_MS = 60;
const D = nodeId('d');

function kindsOf(sent: readonly SentMessage[]): readonly string[] {
  return sent.map(([to, message]) => `${message.kind} to ${to}`);
}

/** The writes of a partition among the messages. */
function writesOf(partition: PartitionName, sent: readonly SentMessage[]): readonly string[] {
  const writes: string[] = [];
  for (const [to, message] of sent)
    if (message.kind === 'write' && message.part === partition)
      writes.push(`${to} ${message.epoch}.${message.count} ${message.body}`);
  return writes;
}

function versionAt(count: number, epoch = EPOCH): Version {
  return { epoch, count };
}

/** The reply of a voter that has this partition and no others. */
function readReplyWith(
  partition: PartitionName,
  version: Version,
  body: string,
  isIntact = true,
): Message {
  const copies = PARTITIONS.map((name) =>
    name === partition ? storedReplica(partition, version, body, isIntact) : storedReplica(name),
  );
  return readReply(copies);
}

function servingReplica(): ReplicaHarness {
  const replica = new ReplicaHarness();
  replica.startServing();
  return replica;
}

describe('a new leader', () => {
  test('reads from all other voters, and again while it has no majority', () => {
    const replica = new ReplicaHarness();
    const read = { kind: 'read', epoch: EPOCH, nonce: 1, parts: [] };
    expect(replica.lead()).toEqual([
      ['b', read],
      ['c', read],
    ]);
    expect(replica.tickAfter(RESEND_INTERVAL_MS - 1)).toEqual([]);
    expect(replica.tickAfter(1)).toEqual([
      ['b', read],
      ['c', read],
    ]);
    expect(replica.state.isServing).toBe(false);
  });

  test('rewrites the newest version of each partition in its own epoch', () => {
    const replica = new ReplicaHarness([
      { partition: P0, version: versionAt(9, 2), body: 'own', isIntact: true },
      { partition: P1, version: versionAt(3, 2), body: 'own', isIntact: true },
    ]);
    replica.lead();
    const sent = replica.receive(
      B,
      readReply([
        storedReplica(CONFIG_PARTITION),
        storedReplica(P0, versionAt(8, 2), 'older'),
        storedReplica(P1, versionAt(4, 2), 'newer'),
      ]),
    );
    expect(writesOf(P0, sent)).toEqual(['b 4.10 own', 'c 4.10 own']);
    expect(writesOf(P1, sent)).toEqual(['b 4.5 newer', 'c 4.5 newer']);
    expect(replica.stored).toContainEqual([P1, versionAt(5), 'newer']);
  });

  test('does not serve before every partition is rewritten at a majority', () => {
    const replica = new ReplicaHarness();
    replica.lead();
    replica.receive(B, readReplyWith(P0, versionAt(1, 2), 'x'));
    for (const partition of PARTITIONS) {
      expect(replica.state.isServing).toBe(false);
      expect(replica.state.body(partition)).toBe('');
      for (const from of [B, C])
        replica.receive(from, writeReply(partition, replica.state.versionOf(partition)));
    }
    expect(replica.state.isServing).toBe(true);
    expect(replica.otherEffects).toEqual(['serving']);
    expect([replica.state.body(P0), replica.state.body(P1)]).toEqual(['x', '']);
    // A later write does not report that the leader serves again.
    replica.write(P0, 'y');
    for (const from of [B, C]) replica.receive(from, writeReply(P0, versionAt(3)));
    expect(replica.otherEffects).toEqual(['serving']);
  });

  test('counts no reply with another nonce or epoch, and no corrupt partition', () => {
    const replica = new ReplicaHarness();
    replica.lead();
    const copies = PARTITIONS.map((partition) => storedReplica(partition));
    expect(replica.receive(B, readReply(copies, 2))).toEqual([]);
    expect(replica.receive(B, readReply(copies, 0))).toEqual([]);
    expect(replica.receive(B, readReply(copies, 1, EPOCH + 2))).toEqual([]);
    expect(replica.receive(B, readReplyWith(P0, versionAt(9, 2), 'bad', false))).toEqual([]);
    expect(replica.receive(C, readReplyWith(P0, versionAt(1, 2), 'good')).length).toBeGreaterThan(
      0,
    );
    expect(replica.stored).toContainEqual([P0, versionAt(2), 'good']);
  });

  test('does not count a corrupt partition of its own', () => {
    const replica = new ReplicaHarness([
      { partition: P0, version: versionAt(7, 2), body: 'bad', isIntact: false },
    ]);
    replica.lead();
    expect(
      replica.receive(B, readReply(PARTITIONS.map((partition) => storedReplica(partition)))),
    ).toEqual([]);
    const sent = replica.receive(C, readReplyWith(P0, versionAt(1, 2), 'good'));
    expect(writesOf(P0, sent)).toEqual(['b 4.2 good', 'c 4.2 good']);
  });

  test('ignores late replies, and sends no reads once all partitions are read', () => {
    const replica = new ReplicaHarness();
    replica.lead();
    replica.receive(B, readReply(PARTITIONS.map((partition) => storedReplica(partition))));
    expect(replica.receive(C, readReplyWith(P0, versionAt(9, 2), 'late'))).toEqual([]);
    const resent = replica.tickAfter(RESEND_INTERVAL_MS);
    expect(new Set(kindsOf(resent))).toEqual(new Set(['write to b', 'write to c']));
    expect(writesOf(P0, resent)).toEqual(['b 4.1 ', 'c 4.1 ']);
  });

  test('also reads from a majority of the voters that the newest configuration names', () => {
    const replica = new ReplicaHarness();
    replica.lead();
    expect(
      replica.receive(B, readReplyWith(CONFIG_PARTITION, versionAt(5, 2), 'voters a d e')),
    ).toEqual([]);
    expect(replica.otherEffects).toEqual(['voters']);
    // Later reads go to these voters.
    expect(kindsOf(replica.tickAfter(RESEND_INTERVAL_MS))).toEqual(['read to d', 'read to e']);
    const sent = replica.receive(
      D,
      readReplyWith(P0, versionAt(7, 2), 'written by the new voters'),
    );
    expect(writesOf(P0, sent)).toEqual([
      'd 4.8 written by the new voters',
      'e 4.8 written by the new voters',
    ]);
    expect(replica.otherEffects).toEqual(['voters']);
  });

  test('switches to the voters of the configuration immediately if a majority of them has been read', () => {
    const replica = new ReplicaHarness();
    replica.lead();
    const sent = replica.receive(
      B,
      readReplyWith(CONFIG_PARTITION, versionAt(5, 2), 'voters a b d'),
    );
    expect(replica.otherEffects).toEqual(['voters']);
    expect(writesOf(P0, sent)).toEqual(['b 4.1 ', 'd 4.1 ']);
  });

  test('does not report voters that are the current ones', () => {
    const replica = new ReplicaHarness();
    replica.lead();
    replica.receive(B, readReplyWith(CONFIG_PARTITION, versionAt(5, 2), 'voters a b c'));
    expect(replica.otherEffects).toEqual([]);
  });
});

describe('a write', () => {
  test('is committed immediately once every voter has it on disk', () => {
    const replica = servingReplica();
    expect(replica.write(P0, 'x', 7)).toBe(2);
    expect(writesOf(P0, replica.drainMessages())).toEqual(['b 4.2 x', 'c 4.2 x']);
    replica.receive(B, writeReply(P0, versionAt(2)));
    expect(replica.committed).toEqual([]);
    expect(replica.state.isWriting(P0)).toBe(true);
    replica.receive(C, writeReply(P0, versionAt(2)));
    expect(replica.committed).toEqual([
      {
        do: 'committed',
        partition: P0,
        version: versionAt(2),
        body: 'x',
        tokens: [7],
        members: [],
      },
    ]);
    expect(replica.state.isWriting(P0)).toBe(false);
    expect(replica.state.isWriting(P1)).toBe(false);
  });

  test('that a majority has on disk is committed after a short wait for the last voter', () => {
    const replica = servingReplica();
    replica.write(P0, 'x');
    replica.receive(C, writeReply(P0, versionAt(2)));
    replica.tickAfter(LAST_REPLICA_WAIT_MS - 1);
    expect(replica.committed).toEqual([]);
    replica.tickAfter(1);
    expect(replica.committed.length).toBe(1);
  });

  test('is not committed with one other voter while the disk of the leader is stalled', () => {
    const replica = servingReplica();
    replica.isDiskStalled = true;
    replica.write(P0, 'x');
    replica.receive(C, writeReply(P0, versionAt(2)));
    replica.tickAfter(10 * RESEND_INTERVAL_MS);
    expect(replica.committed).toEqual([]);
  });

  test('counts no reply for another partition, version or epoch, and no rejection', () => {
    const replica = servingReplica();
    replica.write(P0, 'x');
    replica.receive(B, writeReply(P1, versionAt(2)));
    replica.receive(B, writeReply(P0, versionAt(1)));
    replica.receive(B, writeReply(P0, versionAt(3)));
    replica.receive(B, writeReply(P0, versionAt(2, EPOCH - 2)));
    replica.receive(B, writeReply(P0, versionAt(2), false));
    replica.tickAfter(10 * RESEND_INTERVAL_MS);
    expect(replica.committed).toEqual([]);
  });

  test('counts each voter once', () => {
    const replica = servingReplica();
    replica.state.setQuorum(new Quorum(['a', 'b', 'c', 'd', 'e'].map(nodeId)));
    replica.write(P0, 'x');
    for (let times = 0; times < 3; times += 1) replica.receive(B, writeReply(P0, versionAt(2)));
    replica.tickAfter(10 * RESEND_INTERVAL_MS);
    expect(replica.committed).toEqual([]);
    replica.receive(C, writeReply(P0, versionAt(2)));
    replica.tickAfter(LAST_REPLICA_WAIT_MS);
    expect(replica.committed.length).toBe(1);
  });

  test('is sent again only to the voters that have not replied', () => {
    const replica = servingReplica();
    replica.write(P0, 'x');
    replica.drainMessages();
    replica.state.setQuorum(new Quorum(['a', 'b', 'c', 'd', 'e'].map(nodeId)));
    replica.receive(B, writeReply(P0, versionAt(2)));
    expect(writesOf(P0, replica.tickAfter(RESEND_INTERVAL_MS - 1))).toEqual([]);
    expect(writesOf(P0, replica.tickAfter(1))).toEqual(['c 4.2 x', 'd 4.2 x', 'e 4.2 x']);
    expect(writesOf(P0, replica.tickAfter(RESEND_INTERVAL_MS - 1))).toEqual([]);
    expect(writesOf(P0, replica.tickAfter(1))).toHaveLength(3);
  });

  test('waits for the previous write, and only the newest body of those that wait is written', () => {
    const replica = servingReplica();
    expect(replica.write(P0, 'x', 1)).toBe(2);
    expect(replica.write(P0, 'y', 2)).toBe(3);
    expect(replica.write(P0, 'z', 3)).toBe(3);
    expect(writesOf(P0, replica.drainMessages())).toEqual(['b 4.2 x', 'c 4.2 x']);
    expect(replica.state.body(P0)).toBe('z');
    replica.receive(B, writeReply(P0, versionAt(2)));
    const sent = replica.receive(C, writeReply(P0, versionAt(2)));
    expect(writesOf(P0, sent)).toEqual(['b 4.3 z', 'c 4.3 z']);
    expect(replica.state.body(P0)).toBe('z');
    expect(replica.state.isWriting(P0)).toBe(true);
    for (const from of [B, C]) replica.receive(from, writeReply(P0, versionAt(3)));
    const [first, second] = replica.committed;
    expect([first?.body, first?.tokens]).toEqual(['x', [1]]);
    expect([second?.body, second?.tokens]).toEqual(['z', [2, 3]]);
    expect(replica.write(P0, 'w')).toBe(4);
  });

  test('without a committed rewrite of the partition is an error', () => {
    const replica = new ReplicaHarness();
    expect(() => replica.write(P0, 'x')).toThrow('p0 is not owned here');
    replica.lead();
    expect(() => replica.write(P0, 'x')).toThrow('p0 is not owned here');
  });

  test('collects the members that the voters know', () => {
    const replica = servingReplica();
    const member = { id: 'm', zone: 'z', address: 'm:1', epoch: 4, count: 2 };
    replica.write(P0, 'x');
    replica.receive(B, writeReply(P0, versionAt(2), true, [member]));
    replica.receive(C, writeReply(P0, versionAt(2)));
    expect(replica.committed[0]?.members).toEqual([member]);
  });
});

describe('a former leader', () => {
  test('commits no more writes, neither acknowledged ones nor those acknowledged later', () => {
    const replica = servingReplica();
    replica.write(P0, 'x');
    replica.write(P1, 'y');
    for (const from of [B, C])
      replica.state.onMessage(replica.now, from, writeReply(P1, versionAt(2)), EPOCH, [], 'sound');
    replica.state.stepDown();
    replica.carryOutEffects();
    replica.grantedEpoch = EPOCH + 2;
    for (const from of [B, C]) replica.receive(from, writeReply(P0, versionAt(2)));
    replica.tickAfter(10 * RESEND_INTERVAL_MS);
    expect(replica.committed).toEqual([]);
    expect([replica.state.isServing, replica.state.isWriting(P0)]).toEqual([false, false]);
    expect(replica.state.body(P0)).toBe('');
    expect(replica.drainMessages()).toEqual([]);
  });

  test('reads again when it leads again, and counts no earlier reply', () => {
    const replica = servingReplica();
    replica.state.stepDown();
    replica.grantedEpoch = EPOCH + 2;
    expect(replica.lead(EPOCH + 2)).toEqual([
      ['b', { kind: 'read', epoch: EPOCH + 2, nonce: 2, parts: [] }],
      ['c', { kind: 'read', epoch: EPOCH + 2, nonce: 2, parts: [] }],
    ]);
    const copies = PARTITIONS.map((partition) => storedReplica(partition));
    expect(replica.receive(B, readReply(copies, 1, EPOCH + 2))).toEqual([]);
    expect(replica.state.isServing).toBe(false);
    expect(replica.receive(B, readReply(copies, 2, EPOCH + 2)).length).toBeGreaterThan(0);
  });

  test('counts no reply in epoch 0, in which no voter leads', () => {
    const replica = new ReplicaHarness();
    const copies = PARTITIONS.map((partition) => storedReplica(partition));
    expect(replica.receive(B, readReply(copies, 0, 0))).toEqual([]);
  });
});

describe('anti-entropy', () => {
  /** Interval at which the leader compares its replica with those of the other voters. */
  const COMPARE_INTERVAL_MS = 2000;

  function digestRangesOf(
    sent: readonly SentMessage[],
  ): readonly (readonly [string, number, number])[] {
    const ranges: (readonly [string, number, number])[] = [];
    for (const [to, message] of sent)
      if (message.kind === 'digest') ranges.push([to, message.low, message.high]);
    return ranges;
  }

  function digestReply(low: number, high: number, same = false): Message {
    return { kind: 'digestReply', nonce: 0, low, high, same, sound: true };
  }

  test('compares all partitions with every other voter at an interval', () => {
    const replica = servingReplica();
    expect(digestRangesOf(replica.tickAfter(0))).toEqual([
      ['b', 0, 3],
      ['c', 0, 3],
    ]);
    expect(digestRangesOf(replica.tickAfter(COMPARE_INTERVAL_MS - 1))).toEqual([]);
    expect(digestRangesOf(replica.tickAfter(1))).toHaveLength(2);
  });

  test('halves a range that differs, and sends the partition once the range is a single one', () => {
    const replica = servingReplica();
    expect(digestRangesOf(replica.receive(B, digestReply(0, 3)))).toEqual([
      ['b', 0, 1],
      ['b', 1, 3],
    ]);
    expect(digestRangesOf(replica.receive(B, digestReply(1, 3)))).toEqual([
      ['b', 1, 2],
      ['b', 2, 3],
    ]);
    expect(replica.state.repairCount).toBe(0);
    expect(writesOf(P0, replica.receive(B, digestReply(1, 2)))).toEqual(['b 4.1 ']);
    expect(replica.state.repairCount).toBe(1);
    expect(replica.receive(B, digestReply(1, 2, true))).toEqual([]);
    expect(replica.state.repairCount).toBe(1);
  });

  test('does not repair a partition with a write in flight', () => {
    const replica = servingReplica();
    replica.write(P0, 'x');
    replica.drainMessages();
    expect(replica.receive(B, digestReply(1, 2))).toEqual([]);
    expect(replica.state.repairCount).toBe(0);
  });

  test('runs only while the leader serves', () => {
    const replica = new ReplicaHarness();
    expect(replica.receive(B, digestReply(0, 3))).toEqual([]);
    expect(replica.tickAfter(COMPARE_INTERVAL_MS)).toEqual([]);
    replica.lead();
    expect(digestRangesOf(replica.tickAfter(COMPARE_INTERVAL_MS))).toEqual([]);
  });

  test('replies whether the partitions of the range are the same', () => {
    const [one, other] = [servingReplica(), servingReplica()];
    const [[, digest] = []] = other.tickAfter(0);
    if (digest?.kind !== 'digest') throw new Error('no digest');
    expect(one.receive(B, digest)).toEqual([['b', digestReply(0, 3, true)]]);
    one.write(P1, 'x');
    one.drainMessages();
    expect(one.receive(B, digest)).toEqual([['b', digestReply(0, 3)]]);
  });
});

describe('a replica', () => {
  const write = { kind: 'write', part: 'p0', epoch: EPOCH, count: 2, body: 'x' } as const;

  test('acknowledges a write once it is on disk', () => {
    const replica = new ReplicaHarness();
    replica.isDiskStalled = true;
    expect(replica.receive(B, write)).toEqual([]);
    expect(replica.stored).toEqual([[P0, versionAt(2), 'x']]);
    replica.state.onPersisted(P0, versionAt(1), EPOCH, replica.now);
    expect(replica.drainMessages()).toEqual([]);
    replica.state.onPersisted(P0, versionAt(2), EPOCH, replica.now);
    expect(replica.drainMessages()).toEqual([['b', writeReply(P0, versionAt(2))]]);
    expect(replica.state.replicaBody(P0)).toBe('x');
  });

  test('does not acknowledge a write after it has granted another epoch', () => {
    const replica = new ReplicaHarness();
    replica.isDiskStalled = true;
    replica.receive(B, write);
    replica.state.onPersisted(P0, versionAt(2), EPOCH + 2, replica.now);
    expect(replica.drainMessages()).toEqual([]);
  });

  test('rejects a write of an epoch that it has not granted, and of an older version than its own', () => {
    const replica = new ReplicaHarness();
    replica.receive(B, write);
    for (const epoch of [EPOCH - 2, EPOCH + 2])
      expect(replica.receive(C, { ...write, epoch, count: 9 })).toEqual([
        ['c', writeReply(P0, versionAt(9, epoch), false)],
      ]);
    expect(replica.receive(B, { ...write, count: 1 })).toEqual([
      ['b', writeReply(P0, versionAt(1), false)],
    ]);
    expect(replica.receive(B, { ...write, part: 'p9' })).toMatchObject([['b', { good: false }]]);
    expect(replica.state.replicaBody(P0)).toBe('x');
    expect(replica.stored).toHaveLength(1);
  });

  test('acknowledges a repeated write without storing it again', () => {
    const replica = new ReplicaHarness();
    replica.receive(B, write);
    expect(replica.receive(B, write)).toEqual([['b', writeReply(P0, versionAt(2))]]);
    expect(replica.stored).toHaveLength(1);
  });

  test('stores a repeated write if the first one is not on disk, or its file is corrupt', () => {
    const stalled = new ReplicaHarness();
    stalled.isDiskStalled = true;
    stalled.receive(B, write);
    expect(stalled.receive(B, write)).toEqual([]);
    expect(stalled.stored).toHaveLength(2);
    const corrupt = new ReplicaHarness([
      { partition: P0, version: versionAt(2), body: 'bad', isIntact: false },
    ]);
    corrupt.isDiskStalled = true;
    expect(corrupt.receive(B, write)).toEqual([]);
    expect(corrupt.stored).toHaveLength(1);
    expect(corrupt.state.corruptPartitions()).toEqual([]);
  });

  test('stores a repeated write again after a restart before it acknowledges it', () => {
    const stored = { partition: P0, version: versionAt(2), body: 'x', isIntact: true };
    const replica = new ReplicaHarness([stored]);
    replica.isDiskStalled = true;
    expect(replica.receive(B, write)).toEqual([]);
    expect(replica.stored).toHaveLength(1);
  });

  test('sends its partitions only to the leader whose epoch it has granted', () => {
    const replica = new ReplicaHarness();
    replica.receive(B, write);
    const read: Extract<Message, { kind: 'read' }> = {
      kind: 'read',
      epoch: EPOCH,
      nonce: 8,
      parts: [],
    };
    const copies = [
      storedReplica(CONFIG_PARTITION),
      storedReplica(P0, versionAt(2), 'x'),
      storedReplica(P1),
    ];
    expect(replica.receive(B, read)).toEqual([['b', readReply(copies, 8)]]);
    expect(replica.receive(B, { ...read, epoch: EPOCH + 2 })).toEqual([]);
    replica.grantedEpoch = 0;
    expect(replica.receive(B, { ...read, epoch: 0 })).toEqual([]);
  });

  test('does not count a version stored under the grant of another epoch as an acknowledgement of its own write', () => {
    const replica = servingReplica();
    replica.isDiskStalled = true;
    replica.write(P0, 'x');
    replica.receive(B, writeReply(P0, versionAt(2)));
    replica.state.onPersisted(P0, versionAt(2), EPOCH + 2, replica.now);
    replica.state.tick(moment(replica.now + LAST_REPLICA_WAIT_MS));
    replica.carryOutEffects();
    expect(replica.committed).toEqual([]);
    replica.state.onPersisted(P0, versionAt(2), EPOCH, replica.now);
    replica.tickAfter(LAST_REPLICA_WAIT_MS);
    expect(replica.committed).toHaveLength(1);
    expect(replica.drainMessages()).toEqual([]);
  });
});

import { describe, expect, test } from 'vitest';
import { moment, nodeId, type PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import type { Version } from '../common/version.js';
import { CONFIG_PARTITION } from './partition-names.js';
import {
  acked,
  B,
  C,
  copyOf,
  EPOCH,
  LoneReplica,
  P0,
  P1,
  PARTITIONS,
  readReply,
  type Sent,
} from './testing/lone-replica.js';

/** Writes and reads without an answer are sent again after so long. */
const RESEND_MS = 300;
/** Once a majority has a write, the last voter is waited for so long. */
const PROMPT_MS = 60;
const D = nodeId('d');

function kindsOf(sent: readonly Sent[]): readonly string[] {
  return sent.map(([to, message]) => `${message.kind} to ${to}`);
}

/** The writes of one part among what was sent. */
function writesOf(partition: PartitionName, sent: readonly Sent[]): readonly string[] {
  const writes: string[] = [];
  for (const [to, message] of sent)
    if (message.kind === 'write' && message.part === partition)
      writes.push(`${to} ${message.epoch}.${message.count} ${message.body}`);
  return writes;
}

function versionAt(count: number, epoch = EPOCH): Version {
  return { epoch, count };
}

/** Every part as a voter holds it that has nothing but this copy. */
function onlyWith(
  partition: PartitionName,
  version: Version,
  body: string,
  isIntact = true,
): Message {
  const copies = PARTITIONS.map((name) =>
    name === partition ? copyOf(partition, version, body, isIntact) : copyOf(name),
  );
  return readReply(copies);
}

function serving(): LoneReplica {
  const replica = new LoneReplica();
  replica.serve();
  return replica;
}

describe('one that begins to own the parts', () => {
  test('asks all others for their copies, and again while it has no majority', () => {
    const replica = new LoneReplica();
    const read = { kind: 'read', epoch: EPOCH, nonce: 1, parts: [] };
    expect(replica.lead()).toEqual([
      ['b', read],
      ['c', read],
    ]);
    expect(replica.tickAfter(RESEND_MS - 1)).toEqual([]);
    expect(replica.tickAfter(1)).toEqual([
      ['b', read],
      ['c', read],
    ]);
    expect(replica.state.isServing).toBe(false);
  });

  test('rewrites the newest copy of each part in its own epoch', () => {
    const replica = new LoneReplica([
      { partition: P0, version: versionAt(9, 2), body: 'own', isIntact: true },
      { partition: P1, version: versionAt(3, 2), body: 'own', isIntact: true },
    ]);
    replica.lead();
    const sent = replica.receive(
      B,
      readReply([
        copyOf(CONFIG_PARTITION),
        copyOf(P0, versionAt(8, 2), 'older'),
        copyOf(P1, versionAt(4, 2), 'newer'),
      ]),
    );
    expect(writesOf(P0, sent)).toEqual(['b 4.10 own', 'c 4.10 own']);
    expect(writesOf(P1, sent)).toEqual(['b 4.5 newer', 'c 4.5 newer']);
    expect(replica.stored).toContainEqual([P1, versionAt(5), 'newer']);
  });

  test('does not serve before every part is rewritten at a majority', () => {
    const replica = new LoneReplica();
    replica.lead();
    replica.receive(B, onlyWith(P0, versionAt(1, 2), 'x'));
    for (const partition of PARTITIONS) {
      expect(replica.state.isServing).toBe(false);
      expect(replica.state.body(partition)).toBe('');
      for (const from of [B, C])
        replica.receive(from, acked(partition, replica.state.versionOf(partition)));
    }
    expect(replica.state.isServing).toBe(true);
    expect(replica.others).toEqual(['serving']);
    expect([replica.state.body(P0), replica.state.body(P1)]).toEqual(['x', '']);
    // What was rewritten once is not told as a beginning again.
    replica.write(P0, 'y');
    for (const from of [B, C]) replica.receive(from, acked(P0, versionAt(3)));
    expect(replica.others).toEqual(['serving']);
  });

  test('counts no answer to another question, in another epoch, and none of a bad copy', () => {
    const replica = new LoneReplica();
    replica.lead();
    const copies = PARTITIONS.map((partition) => copyOf(partition));
    expect(replica.receive(B, readReply(copies, 2))).toEqual([]);
    expect(replica.receive(B, readReply(copies, 0))).toEqual([]);
    expect(replica.receive(B, readReply(copies, 1, EPOCH + 2))).toEqual([]);
    expect(replica.receive(B, onlyWith(P0, versionAt(9, 2), 'bad', false))).toEqual([]);
    expect(replica.receive(C, onlyWith(P0, versionAt(1, 2), 'good')).length).toBeGreaterThan(0);
    expect(replica.stored).toContainEqual([P0, versionAt(2), 'good']);
  });

  test('counts a bad copy of its own for nothing', () => {
    const replica = new LoneReplica([
      { partition: P0, version: versionAt(7, 2), body: 'bad', isIntact: false },
    ]);
    replica.lead();
    expect(replica.receive(B, readReply(PARTITIONS.map((partition) => copyOf(partition))))).toEqual(
      [],
    );
    const sent = replica.receive(C, onlyWith(P0, versionAt(1, 2), 'good'));
    expect(writesOf(P0, sent)).toEqual(['b 4.2 good', 'c 4.2 good']);
  });

  test('drops a copy read late, and asks nobody again once all parts are read', () => {
    const replica = new LoneReplica();
    replica.lead();
    replica.receive(B, readReply(PARTITIONS.map((partition) => copyOf(partition))));
    expect(replica.receive(C, onlyWith(P0, versionAt(9, 2), 'late'))).toEqual([]);
    const again = replica.tickAfter(RESEND_MS);
    expect(new Set(kindsOf(again))).toEqual(new Set(['write to b', 'write to c']));
    expect(writesOf(P0, again)).toEqual(['b 4.1 ', 'c 4.1 ']);
  });

  test('reads a majority of the voters too that the newest configuration names', () => {
    const replica = new LoneReplica();
    replica.lead();
    expect(replica.receive(B, onlyWith(CONFIG_PARTITION, versionAt(5, 2), 'voters a d e'))).toEqual(
      [],
    );
    expect(replica.others).toEqual(['voters']);
    // From then on these are asked.
    expect(kindsOf(replica.tickAfter(RESEND_MS))).toEqual(['read to d', 'read to e']);
    const sent = replica.receive(D, onlyWith(P0, versionAt(7, 2), 'decided by the new ones'));
    expect(writesOf(P0, sent)).toEqual([
      'd 4.8 decided by the new ones',
      'e 4.8 decided by the new ones',
    ]);
    expect(replica.others).toEqual(['voters']);
  });

  test('takes voters up at once where a majority of them has been read already', () => {
    const replica = new LoneReplica();
    replica.lead();
    const sent = replica.receive(B, onlyWith(CONFIG_PARTITION, versionAt(5, 2), 'voters a b d'));
    expect(replica.others).toEqual(['voters']);
    expect(writesOf(P0, sent)).toEqual(['b 4.1 ', 'd 4.1 ']);
  });

  test('says nothing of voters that it goes by already', () => {
    const replica = new LoneReplica();
    replica.lead();
    replica.receive(B, onlyWith(CONFIG_PARTITION, versionAt(5, 2), 'voters a b c'));
    expect(replica.others).toEqual([]);
  });
});

describe('a write', () => {
  test('is committed at once where every voter has it on disk', () => {
    const replica = serving();
    expect(replica.write(P0, 'x', 7)).toBe(2);
    expect(writesOf(P0, replica.sent())).toEqual(['b 4.2 x', 'c 4.2 x']);
    replica.receive(B, acked(P0, versionAt(2)));
    expect(replica.committed).toEqual([]);
    expect(replica.state.isWriting(P0)).toBe(true);
    replica.receive(C, acked(P0, versionAt(2)));
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

  test('of a majority is committed a moment later', () => {
    const replica = serving();
    replica.write(P0, 'x');
    replica.receive(C, acked(P0, versionAt(2)));
    replica.tickAfter(PROMPT_MS - 1);
    expect(replica.committed).toEqual([]);
    replica.tickAfter(1);
    expect(replica.committed.length).toBe(1);
  });

  test('is not committed by its own copy and one more where its own is not on disk', () => {
    const replica = serving();
    replica.isDiskStalled = true;
    replica.write(P0, 'x');
    replica.receive(C, acked(P0, versionAt(2)));
    replica.tickAfter(10 * RESEND_MS);
    expect(replica.committed).toEqual([]);
  });

  test('counts no answer of another part, version or epoch, and no rejection', () => {
    const replica = serving();
    replica.write(P0, 'x');
    replica.receive(B, acked(P1, versionAt(2)));
    replica.receive(B, acked(P0, versionAt(1)));
    replica.receive(B, acked(P0, versionAt(3)));
    replica.receive(B, acked(P0, versionAt(2, EPOCH - 2)));
    replica.receive(B, acked(P0, versionAt(2), false));
    replica.tickAfter(10 * RESEND_MS);
    expect(replica.committed).toEqual([]);
  });

  test('counts each voter once', () => {
    const replica = serving();
    replica.state.setQuorum(new Quorum(['a', 'b', 'c', 'd', 'e'].map(nodeId)));
    replica.write(P0, 'x');
    for (let times = 0; times < 3; times += 1) replica.receive(B, acked(P0, versionAt(2)));
    replica.tickAfter(10 * RESEND_MS);
    expect(replica.committed).toEqual([]);
    replica.receive(C, acked(P0, versionAt(2)));
    replica.tickAfter(PROMPT_MS);
    expect(replica.committed.length).toBe(1);
  });

  test('is sent again to those alone that have not answered', () => {
    const replica = serving();
    replica.write(P0, 'x');
    replica.sent();
    replica.state.setQuorum(new Quorum(['a', 'b', 'c', 'd', 'e'].map(nodeId)));
    replica.receive(B, acked(P0, versionAt(2)));
    expect(writesOf(P0, replica.tickAfter(RESEND_MS - 1))).toEqual([]);
    expect(writesOf(P0, replica.tickAfter(1))).toEqual(['c 4.2 x', 'd 4.2 x', 'e 4.2 x']);
    expect(writesOf(P0, replica.tickAfter(RESEND_MS - 1))).toEqual([]);
    expect(writesOf(P0, replica.tickAfter(1))).toHaveLength(3);
  });

  test('waits for the one before, and only the newest body of those that wait is written', () => {
    const replica = serving();
    expect(replica.write(P0, 'x', 1)).toBe(2);
    expect(replica.write(P0, 'y', 2)).toBe(3);
    expect(replica.write(P0, 'z', 3)).toBe(3);
    expect(writesOf(P0, replica.sent())).toEqual(['b 4.2 x', 'c 4.2 x']);
    expect(replica.state.body(P0)).toBe('z');
    replica.receive(B, acked(P0, versionAt(2)));
    const sent = replica.receive(C, acked(P0, versionAt(2)));
    expect(writesOf(P0, sent)).toEqual(['b 4.3 z', 'c 4.3 z']);
    expect(replica.state.body(P0)).toBe('z');
    expect(replica.state.isWriting(P0)).toBe(true);
    for (const from of [B, C]) replica.receive(from, acked(P0, versionAt(3)));
    const [first, second] = replica.committed;
    expect([first?.body, first?.tokens]).toEqual(['x', [1]]);
    expect([second?.body, second?.tokens]).toEqual(['z', [2, 3]]);
    expect(replica.write(P0, 'w')).toBe(4);
  });

  test('of a part that is not owned is an error', () => {
    const replica = new LoneReplica();
    expect(() => replica.write(P0, 'x')).toThrow(
      'p0 is not writable: its rewrite in this epoch is not committed',
    );
    replica.lead();
    expect(() => replica.write(P0, 'x')).toThrow(
      'p0 is not writable: its rewrite in this epoch is not committed',
    );
  });

  test('gathers the members that the voters know', () => {
    const replica = serving();
    const member = { id: 'm', zone: 'z', address: 'm:1', epoch: 4, count: 2 };
    replica.write(P0, 'x');
    replica.receive(B, acked(P0, versionAt(2), true, [member]));
    replica.receive(C, acked(P0, versionAt(2)));
    expect(replica.committed[0]?.members).toEqual([member]);
  });
});

describe('one that gives up owning', () => {
  test('commits nothing any more, neither what was decided nor what is answered', () => {
    const replica = serving();
    replica.write(P0, 'x');
    replica.write(P1, 'y');
    for (const from of [B, C])
      replica.state.onMessage(replica.now, from, acked(P1, versionAt(2)), EPOCH, [], 'sound');
    replica.state.release();
    replica.drain();
    replica.granted = EPOCH + 2;
    for (const from of [B, C]) replica.receive(from, acked(P0, versionAt(2)));
    replica.tickAfter(10 * RESEND_MS);
    expect(replica.committed).toEqual([]);
    expect([replica.state.isServing, replica.state.isWriting(P0)]).toEqual([false, false]);
    expect(replica.state.body(P0)).toBe('');
    expect(replica.sent()).toEqual([]);
  });

  test('reads anew when it owns again, and counts no answer from before', () => {
    const replica = serving();
    replica.state.release();
    replica.granted = EPOCH + 2;
    expect(replica.lead(EPOCH + 2)).toEqual([
      ['b', { kind: 'read', epoch: EPOCH + 2, nonce: 2, parts: [] }],
      ['c', { kind: 'read', epoch: EPOCH + 2, nonce: 2, parts: [] }],
    ]);
    const copies = PARTITIONS.map((partition) => copyOf(partition));
    expect(replica.receive(B, readReply(copies, 1, EPOCH + 2))).toEqual([]);
    expect(replica.state.isServing).toBe(false);
    expect(replica.receive(B, readReply(copies, 2, EPOCH + 2)).length).toBeGreaterThan(0);
  });

  test('counts no answer in epoch 0, which belongs to nobody', () => {
    const replica = new LoneReplica();
    const copies = PARTITIONS.map((partition) => copyOf(partition));
    expect(replica.receive(B, readReply(copies, 0, 0))).toEqual([]);
  });
});

describe('repair of copies by the owner', () => {
  /** The owner compares its copies with those of the others at this interval. */
  const COMPARE_MS = 2000;

  function digests(sent: readonly Sent[]): readonly (readonly [string, number, number])[] {
    const ranges: (readonly [string, number, number])[] = [];
    for (const [to, message] of sent)
      if (message.kind === 'digest') ranges.push([to, message.low, message.high]);
    return ranges;
  }

  function differs(low: number, high: number, same = false): Message {
    return { kind: 'digestReply', nonce: 0, low, high, same, sound: true };
  }

  test('compares all parts with every other voter at an interval', () => {
    const replica = serving();
    expect(digests(replica.tickAfter(0))).toEqual([
      ['b', 0, 3],
      ['c', 0, 3],
    ]);
    expect(digests(replica.tickAfter(COMPARE_MS - 1))).toEqual([]);
    expect(digests(replica.tickAfter(1))).toHaveLength(2);
  });

  test('halves a range that differs, and sends the part where it is one', () => {
    const replica = serving();
    expect(digests(replica.receive(B, differs(0, 3)))).toEqual([
      ['b', 0, 1],
      ['b', 1, 3],
    ]);
    expect(digests(replica.receive(B, differs(1, 3)))).toEqual([
      ['b', 1, 2],
      ['b', 2, 3],
    ]);
    expect(replica.state.repairs).toBe(0);
    expect(writesOf(P0, replica.receive(B, differs(1, 2)))).toEqual(['b 4.1 ']);
    expect(replica.state.repairs).toBe(1);
    expect(replica.receive(B, differs(1, 2, true))).toEqual([]);
    expect(replica.state.repairs).toBe(1);
  });

  test('leaves a part that is being written to that write', () => {
    const replica = serving();
    replica.write(P0, 'x');
    replica.sent();
    expect(replica.receive(B, differs(1, 2))).toEqual([]);
    expect(replica.state.repairs).toBe(0);
  });

  test('is left to whoever serves', () => {
    const replica = new LoneReplica();
    expect(replica.receive(B, differs(0, 3))).toEqual([]);
    expect(replica.tickAfter(COMPARE_MS)).toEqual([]);
    replica.lead();
    expect(digests(replica.tickAfter(COMPARE_MS))).toEqual([]);
  });

  test('is answered by whether the copies of the range are the same', () => {
    const [one, other] = [serving(), serving()];
    const [[, digest] = []] = other.tickAfter(0);
    if (digest?.kind !== 'digest') throw new Error('no digest');
    expect(one.receive(B, digest)).toEqual([['b', differs(0, 3, true)]]);
    one.write(P1, 'x');
    one.sent();
    expect(one.receive(B, digest)).toEqual([['b', differs(0, 3)]]);
  });
});

describe('a replica', () => {
  const write = { kind: 'write', part: 'p0', epoch: EPOCH, count: 2, body: 'x' } as const;

  test('answers a write once it is on disk', () => {
    const replica = new LoneReplica();
    replica.isDiskStalled = true;
    expect(replica.receive(B, write)).toEqual([]);
    expect(replica.stored).toEqual([[P0, versionAt(2), 'x']]);
    replica.state.stored(P0, versionAt(1), EPOCH, replica.now);
    expect(replica.sent()).toEqual([]);
    replica.state.stored(P0, versionAt(2), EPOCH, replica.now);
    expect(replica.sent()).toEqual([['b', acked(P0, versionAt(2))]]);
    expect(replica.state.replicaBody(P0)).toBe('x');
  });

  test('says nothing of a write once it has granted another epoch', () => {
    const replica = new LoneReplica();
    replica.isDiskStalled = true;
    replica.receive(B, write);
    replica.state.stored(P0, versionAt(2), EPOCH + 2, replica.now);
    expect(replica.sent()).toEqual([]);
  });

  test('rejects a write of an epoch that it has not granted, and an older one than its copy', () => {
    const replica = new LoneReplica();
    replica.receive(B, write);
    for (const epoch of [EPOCH - 2, EPOCH + 2])
      expect(replica.receive(C, { ...write, epoch, count: 9 })).toEqual([
        ['c', acked(P0, versionAt(9, epoch), false)],
      ]);
    expect(replica.receive(B, { ...write, count: 1 })).toEqual([
      ['b', acked(P0, versionAt(1), false)],
    ]);
    expect(replica.receive(B, { ...write, part: 'p9' })).toMatchObject([['b', { good: false }]]);
    expect(replica.state.replicaBody(P0)).toBe('x');
    expect(replica.stored).toHaveLength(1);
  });

  test('answers a write that came again without storing it again', () => {
    const replica = new LoneReplica();
    replica.receive(B, write);
    expect(replica.receive(B, write)).toEqual([['b', acked(P0, versionAt(2))]]);
    expect(replica.stored).toHaveLength(1);
  });

  test('stores a write that came again where the first one is not on disk, or its file is bad', () => {
    const stalled = new LoneReplica();
    stalled.isDiskStalled = true;
    stalled.receive(B, write);
    expect(stalled.receive(B, write)).toEqual([]);
    expect(stalled.stored).toHaveLength(2);
    const bad = new LoneReplica([
      { partition: P0, version: versionAt(2), body: 'bad', isIntact: false },
    ]);
    bad.isDiskStalled = true;
    expect(bad.receive(B, write)).toEqual([]);
    expect(bad.stored).toHaveLength(1);
    expect(bad.state.corruptPartitions()).toEqual([]);
  });

  test('stores a write that came again after a restart before it answers', () => {
    const stored = { partition: P0, version: versionAt(2), body: 'x', isIntact: true };
    const replica = new LoneReplica([stored]);
    replica.isDiskStalled = true;
    expect(replica.receive(B, write)).toEqual([]);
    expect(replica.stored).toHaveLength(1);
  });

  test('tells its copies to the leader alone whose epoch it has granted', () => {
    const replica = new LoneReplica();
    replica.receive(B, write);
    const read: Extract<Message, { kind: 'read' }> = {
      kind: 'read',
      epoch: EPOCH,
      nonce: 8,
      parts: [],
    };
    const copies = [copyOf(CONFIG_PARTITION), copyOf(P0, versionAt(2), 'x'), copyOf(P1)];
    expect(replica.receive(B, read)).toEqual([['b', readReply(copies, 8)]]);
    expect(replica.receive(B, { ...read, epoch: EPOCH + 2 })).toEqual([]);
    replica.granted = 0;
    expect(replica.receive(B, { ...read, epoch: 0 })).toEqual([]);
  });

  test('does not count what it stores for another as a copy of its own writes', () => {
    const replica = serving();
    replica.isDiskStalled = true;
    replica.write(P0, 'x');
    replica.receive(B, acked(P0, versionAt(2)));
    replica.state.stored(P0, versionAt(2), EPOCH + 2, replica.now);
    replica.state.tick(moment(replica.now + PROMPT_MS));
    replica.drain();
    expect(replica.committed).toEqual([]);
    replica.state.stored(P0, versionAt(2), EPOCH, replica.now);
    replica.tickAfter(PROMPT_MS);
    expect(replica.committed).toHaveLength(1);
    expect(replica.sent()).toEqual([]);
  });
});

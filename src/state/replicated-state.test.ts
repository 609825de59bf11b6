import { expect, test } from 'vitest';
import { type NodeId, type PartitionName, nodeId, moment, partitionName } from '../common/ids.js';
import type { StoredReplica } from '../common/messages.js';
import { Quorum as Voters } from '../common/quorum.js';
import type { Version } from '../common/version.js';
import { ReplicatedState, type ReplicatedStateEffect } from './replicated-state.js';
import type { StoredPartition } from './store.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const names = [partitionName('p0'), partitionName('p1'), partitionName('p2')];
const [p0 = partitionName('p0')] = names;
/** Three voters whose disks keep at once, unless told otherwise. */
class Trio {
  readonly parts = new Map<NodeId, ReplicatedState>();
  readonly committed: string[] = [];
  readonly deaf = new Set<NodeId>();
  readonly sent: string[] = [];
  granted = 2;
  now = 0;

  constructor(stored: ReadonlyMap<NodeId, readonly StoredPartition[]> = new Map()) {
    for (const id of [a, b, c])
      this.parts.set(
        id,
        new ReplicatedState(id, new Voters([a, b, c]), names, stored.get(id) ?? []),
      );
  }

  settle(): void {
    for (let isBusy = true; isBusy;) {
      isBusy = false;
      for (const [id, parts] of this.parts) {
        for (const effect of parts.drain()) {
          isBusy = true;
          this.#carryOut(id, parts, effect);
        }
      }
    }
  }

  #carryOut(id: NodeId, parts: ReplicatedState, effect: ReplicatedStateEffect): void {
    if (effect.do === 'store') {
      if (!this.deaf.has(id))
        parts.stored(effect.partition, effect.version, this.granted, moment(this.now));
    } else if (effect.do === 'committed')
      this.committed.push(
        `${effect.partition} ${effect.version.epoch}.${effect.version.count} ${effect.body}`,
      );
    else if (effect.do === 'send') {
      this.sent.push(`${id}>${effect.to} ${effect.message.kind}`);
      if (!this.deaf.has(effect.to) && !this.deaf.has(id))
        this.parts
          .get(effect.to)
          ?.onMessage(moment(this.now), id, effect.message, this.granted, [], 'sound');
    }
  }

  tick(millis: number): void {
    this.now += millis;
    for (const parts of this.parts.values()) parts.tick(moment(this.now));
    this.settle();
  }

  lead(id: NodeId): ReplicatedState {
    const parts = this.parts.get(id);
    if (!parts) throw new Error('nobody');
    parts.lead(moment(this.now), this.granted);
    this.settle();
    this.tick(100);
    return parts;
  }
}
function storedAs(version: Version, isIntact: boolean, partition: PartitionName): StoredPartition {
  return { partition, version, body: 'x', isIntact };
}
function isUnsound(copy: StoredReplica): boolean {
  return !copy.sound;
}
function partitionOf(copy: StoredReplica): string {
  return copy.part;
}
function isDigestToC(line: string): boolean {
  return line === 'a>c digest';
}
test('a write holds only once a majority has it on disk', () => {
  const trio = new Trio();
  const owner = trio.lead(a);
  expect(owner.isServing).toBe(true);
  trio.committed.length = 0;
  trio.deaf.add(b);
  trio.deaf.add(c);
  owner.write(moment(trio.now), p0, 'alone', 1);
  trio.settle();
  trio.tick(5000);
  expect(trio.committed).toEqual([]);
  trio.deaf.delete(b);
  trio.tick(400);
  trio.tick(100);
  expect(trio.committed).toEqual(['p0 2.2 alone']);
});
test('a new owner finds what was kept, and the old one is turned away', () => {
  const trio = new Trio();
  const owner = trio.lead(a);
  owner.write(moment(trio.now), p0, 'kept', 1);
  trio.settle();
  // The old owner is cut off amid a write that one other voter took; the next one finds what was kept, or newer.
  trio.deaf.add(c);
  owner.write(moment(trio.now), p0, 'under way', 2);
  trio.settle();
  trio.deaf.clear();
  trio.deaf.add(a);
  trio.granted = 4;
  const next = trio.lead(b);
  expect(next.isServing).toBe(true);
  expect(next.body(p0)).toBe('under way');
  expect(next.versionOf(p0).epoch).toBe(4);
  // What the old owner still sends is turned away.
  trio.parts
    .get(c)
    ?.onMessage(
      moment(trio.now),
      a,
      { kind: 'write', part: 'p0', epoch: 2, count: 99, body: 'late' },
      4,
      [],
      'sound',
    );
  trio.settle();
  expect(trio.parts.get(c)?.replicaBody(p0)).toBe('under way');
});
test('a bad copy is found by digests over ranges and mended', () => {
  // A copy whose newest file was bad counts for nothing until the owner has mended it, found by digests over ranges.
  const version = { epoch: 2, count: 5 };
  const whole = names.map((partition) => storedAs(version, true, partition));
  const stored = new Map([
    [a, whole],
    [b, whole],
    [
      c,
      [
        ...whole.slice(0, 1),
        storedAs({ epoch: 2, count: 4 }, false, names[1] ?? p0),
        ...whole.slice(2),
      ],
    ],
  ]);
  const trio = new Trio(stored);
  expect(trio.parts.get(c)?.corruptPartitions()).toEqual(['p1']);
  const copies = trio.parts.get(c)?.replicaMessages() ?? [];
  expect(copies.filter(isUnsound).map(partitionOf)).toEqual(['p1']);
  trio.granted = 4;
  trio.deaf.add(c);
  trio.lead(a);
  trio.deaf.delete(c);
  trio.sent.length = 0;
  trio.tick(2100);
  trio.tick(100);
  expect(trio.parts.get(c)?.corruptPartitions()).toEqual([]);
  expect(trio.sent.filter(isDigestToC).length).toBeGreaterThan(1);
});

import { expect, test } from 'vitest';
import { type NodeId, type PartitionName, nodeId, moment, partitionName } from '../common/ids.js';
import type { StoredReplica } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import type { Version } from '../common/version.js';
import { ReplicatedState, type ReplicatedStateEffect } from './replicated-state.js';
import type { StoredPartition } from './store.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];
const names = [partitionName('p0'), partitionName('p1'), partitionName('p2')];
const [p0 = partitionName('p0')] = names;
/** Three voters. Those in `unreachable` exchange no messages and persist nothing; the others persist immediately. */
class ThreeVoters {
  readonly states = new Map<NodeId, ReplicatedState>();
  readonly committed: string[] = [];
  readonly unreachable = new Set<NodeId>();
  readonly sent: string[] = [];
  grantedEpoch = 2;
  now = 0;

  constructor(stored: ReadonlyMap<NodeId, readonly StoredPartition[]> = new Map()) {
    for (const id of [a, b, c])
      this.states.set(
        id,
        new ReplicatedState(id, new Quorum([a, b, c]), names, stored.get(id) ?? []),
      );
  }

  carryOutEffects(): void {
    for (let isBusy = true; isBusy;) {
      isBusy = false;
      for (const [id, state] of this.states) {
        for (const effect of state.drain()) {
          isBusy = true;
          this.#carryOut(id, state, effect);
        }
      }
    }
  }

  #carryOut(id: NodeId, state: ReplicatedState, effect: ReplicatedStateEffect): void {
    if (effect.do === 'store') {
      if (!this.unreachable.has(id))
        state.onPersisted(effect.partition, effect.version, this.grantedEpoch, moment(this.now));
    } else if (effect.do === 'committed')
      this.committed.push(
        `${effect.partition} ${effect.version.epoch}.${effect.version.count} ${effect.body}`,
      );
    else if (effect.do === 'send') {
      this.sent.push(`${id}>${effect.to} ${effect.message.kind}`);
      if (!this.unreachable.has(effect.to) && !this.unreachable.has(id))
        this.states
          .get(effect.to)
          ?.onMessage(moment(this.now), id, effect.message, this.grantedEpoch, [], 'sound');
    }
  }

  tick(millis: number): void {
    this.now += millis;
    for (const state of this.states.values()) state.tick(moment(this.now));
    this.carryOutEffects();
  }

  lead(id: NodeId): ReplicatedState {
    const state = this.states.get(id);
    if (!state) throw new Error('no such voter');
    state.lead(moment(this.now), this.grantedEpoch);
    this.carryOutEffects();
    this.tick(100);
    return state;
  }
}
function storedPartition(
  version: Version,
  isIntact: boolean,
  partition: PartitionName,
): StoredPartition {
  return { partition, version, body: 'x', isIntact };
}
function isCorrupt(copy: StoredReplica): boolean {
  return !copy.sound;
}
function partitionOf(copy: StoredReplica): string {
  return copy.part;
}
function isDigestToC(line: string): boolean {
  return line === 'a>c digest';
}
test('a write is committed only once a majority has it on disk', () => {
  const cluster = new ThreeVoters();
  const leader = cluster.lead(a);
  expect(leader.isServing).toBe(true);
  cluster.committed.length = 0;
  cluster.unreachable.add(b);
  cluster.unreachable.add(c);
  leader.write(moment(cluster.now), p0, 'alone', 1);
  cluster.carryOutEffects();
  cluster.tick(5000);
  expect(cluster.committed).toEqual([]);
  cluster.unreachable.delete(b);
  cluster.tick(400);
  cluster.tick(100);
  expect(cluster.committed).toEqual(['p0 2.2 alone']);
});
test('a new leader reads committed writes, and writes of the former leader are rejected', () => {
  const cluster = new ThreeVoters();
  const leader = cluster.lead(a);
  leader.write(moment(cluster.now), p0, 'committed', 1);
  cluster.carryOutEffects();
  // The former leader is cut off during a write that one other voter has persisted; the next leader reads the
  // committed version or a newer one.
  cluster.unreachable.add(c);
  leader.write(moment(cluster.now), p0, 'in flight', 2);
  cluster.carryOutEffects();
  cluster.unreachable.clear();
  cluster.unreachable.add(a);
  cluster.grantedEpoch = 4;
  const next = cluster.lead(b);
  expect(next.isServing).toBe(true);
  expect(next.body(p0)).toBe('in flight');
  expect(next.versionOf(p0).epoch).toBe(4);
  // Late writes of the former leader are rejected.
  cluster.states
    .get(c)
    ?.onMessage(
      moment(cluster.now),
      a,
      { kind: 'write', part: 'p0', epoch: 2, count: 99, body: 'late' },
      4,
      [],
      'sound',
    );
  cluster.carryOutEffects();
  expect(cluster.states.get(c)?.replicaBody(p0)).toBe('in flight');
});
test('a corrupt partition is found by digests over ranges and repaired', () => {
  // A partition whose newest file is corrupt counts for no majority until the leader has found and repaired it.
  const version = { epoch: 2, count: 5 };
  const intact = names.map((partition) => storedPartition(version, true, partition));
  const stored = new Map([
    [a, intact],
    [b, intact],
    [
      c,
      [
        ...intact.slice(0, 1),
        storedPartition({ epoch: 2, count: 4 }, false, names[1] ?? p0),
        ...intact.slice(2),
      ],
    ],
  ]);
  const cluster = new ThreeVoters(stored);
  expect(cluster.states.get(c)?.corruptPartitions()).toEqual(['p1']);
  const copies = cluster.states.get(c)?.storedReplicas() ?? [];
  expect(copies.filter(isCorrupt).map(partitionOf)).toEqual(['p1']);
  cluster.grantedEpoch = 4;
  cluster.unreachable.add(c);
  cluster.lead(a);
  cluster.unreachable.delete(c);
  cluster.sent.length = 0;
  cluster.tick(2100);
  cluster.tick(100);
  expect(cluster.states.get(c)?.corruptPartitions()).toEqual([]);
  expect(cluster.sent.filter(isDigestToC).length).toBeGreaterThan(1);
});

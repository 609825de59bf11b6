import { expect, test } from 'vitest';
import { moment, nodeId, type NodeId, type PartitionName } from '../common/ids.js';
import { allPartitions, CONFIG_PARTITION } from '../state/partition-names.js';
import { DutyNode, SOUND_DISK } from './testing/duty-node.js';

const NOW = moment(10_000);
const EPOCH = 2;
const [B, C, D] = [nodeId('b'), nodeId('c'), nodeId('d')];
const THREE = ['a', 'b', 'c'];
/** `d` in the place of `b`. */
const NEXT = ['a', 'd', 'c'];

/** Node `a`, which owns all partitions, empty and stored at `b` and `c` as well. */
class Owner {
  readonly node = new DutyNode(SOUND_DISK);
  #electedEpoch = EPOCH;

  constructor() {
    const { state } = this.node.replica;
    state.lead(NOW, EPOCH);
    const copies = state.replicaMessages();
    const message = { epoch: EPOCH, nonce: 1, sound: true, copies, standing: 'sound' };
    state.onMessage(NOW, B, { kind: 'readReply', ...message }, EPOCH, [], 'sound');
    for (const partition of allPartitions()) this.store(partition, [B, C]);
    this.node.drain();
  }

  /** The write of a partition that is in flight reaches this node's disk and those of these voters. */
  store(partition: PartitionName, voters: readonly NodeId[]): void {
    const { state } = this.node.replica;
    const version = state.versionOf(partition);
    state.stored(partition, version, EPOCH, NOW);
    for (const from of voters) {
      const message = { part: partition, ...version, good: true, members: [] };
      state.onMessage(NOW, from, { kind: 'writeReply', ...message }, EPOCH, [], 'sound');
    }
    state.drain();
  }

  change(voters: readonly (readonly string[])[], voterCount?: number): void {
    this.node.duties.voterSet.writeVoters(NOW, { do: 'voters', voters, voterCount });
  }

  /** These voters take part in the epoch that the node's elector knows. */
  takePart(quorum: string[]): void {
    this.#electedEpoch += 2;
    const message = { epoch: this.#electedEpoch, reports: [], nonce: 1, quorum, sentAt: 0 };
    this.node.replica.elector.onMessage(NOW, B, { kind: 'victory', ...message });
  }

  get isWriting(): boolean {
    return this.node.replica.state.isWriting(CONFIG_PARTITION);
  }

  get quorum(): string {
    return this.node.replica.voters.quorum.text;
  }

  get voters(): readonly (readonly string[])[] {
    return this.node.duties.document.newest().voters;
  }
}

test('a joint configuration decides from when it is written, on its own commit too', () => {
  const owner = new Owner();
  owner.change([THREE, NEXT]);
  expect(owner.voters).toEqual([THREE, NEXT]);
  expect(owner.quorum).toBe('a,b,c | a,d,c');
  // A majority of the old set alone commits nothing.
  owner.store(CONFIG_PARTITION, [B]);
  const { state } = owner.node.replica;
  state.tick(moment(NOW + 1000));
  expect(owner.isWriting).toBe(true);
  owner.store(CONFIG_PARTITION, [D]);
  state.tick(moment(NOW + 1000));
  state.tick(moment(NOW + 2000));
  expect(owner.isWriting).toBe(false);
});

test('a single set does not decide before it is committed', () => {
  const owner = new Owner();
  owner.change([['a', 'b']]);
  expect(owner.voters).toEqual([['a', 'b']]);
  expect(owner.quorum).toBe('a,b,c');
});

test('the wanted number of voters is stored where there is one, and stays where there is none', () => {
  const owner = new Owner();
  owner.change([THREE, NEXT]);
  expect(owner.node.duties.document.newest().seats).toBe(undefined);
  owner.change([THREE, NEXT], 5);
  expect(owner.node.duties.document.newest().seats).toBe(5);
  owner.change([NEXT]);
  expect(owner.node.duties.document.newest().seats).toBe(5);
});

test('all partitions but the configuration are rewritten', () => {
  const owner = new Owner();
  owner.node.duties.voterSet.rewritePartitions(NOW);
  const { state } = owner.node.replica;
  const written = allPartitions().filter((partition) => state.isWriting(partition));
  expect(written).toEqual(allPartitions().filter((partition) => partition !== CONFIG_PARTITION));
});

test("an operator's replacement ends once the configuration is stored and every new voter takes part", () => {
  const owner = new Owner();
  const { voterSet } = owner.node.duties;
  const { elector } = owner.node.replica;
  voterSet.completeReplacement(NOW);
  expect(owner.voters).toEqual([THREE]);
  owner.change([THREE, NEXT]);
  owner.takePart(['a', 'b', 'd', 'c']);
  voterSet.completeReplacement(NOW);
  expect(owner.voters).toEqual([THREE, NEXT]);
  owner.store(CONFIG_PARTITION, [B, C, D]);
  owner.takePart(['b', 'c']);
  expect(elector.quorumMembers.has(D)).toBe(false);
  voterSet.completeReplacement(NOW);
  expect(owner.voters).toEqual([THREE, NEXT]);
  owner.takePart(['b', 'c', 'd']);
  voterSet.completeReplacement(NOW);
  expect(owner.voters).toEqual([NEXT]);
});

import { expect, test } from 'vitest';
import { moment, nodeId, type NodeId, type PartitionName } from '../common/ids.js';
import { allPartitions, CONFIG_PARTITION } from '../state/partition-names.js';
import { ComponentsNode, SOUND_DISK } from './testing/components-node.js';

const NOW = moment(10_000);
const EPOCH = 2;
const [B, C, D] = [nodeId('b'), nodeId('c'), nodeId('d')];
const THREE = ['a', 'b', 'c'];
/** The voters after `d` replaced `b`. */
const NEXT = ['a', 'd', 'c'];

/** Node `a`, which leads the replicated state; all partitions are empty and stored at `b` and `c` as well. */
class StateLeader {
  readonly node = new ComponentsNode(SOUND_DISK);
  #electedEpoch = EPOCH;

  constructor() {
    const { state } = this.node.replica;
    state.lead(NOW, EPOCH);
    const copies = state.storedReplicas();
    const message = { epoch: EPOCH, nonce: 1, sound: true, copies, standing: 'sound' };
    state.onMessage(NOW, B, { kind: 'readReply', ...message }, EPOCH, [], 'sound');
    for (const partition of allPartitions()) this.store(partition, [B, C]);
    this.node.drain();
  }

  /** The write of a partition that is in flight reaches the disks of this node and of these voters. */
  store(partition: PartitionName, voters: readonly NodeId[]): void {
    const { state } = this.node.replica;
    const version = state.versionOf(partition);
    state.onPersisted(partition, version, EPOCH, NOW);
    for (const from of voters) {
      const message = { part: partition, ...version, good: true, members: [] };
      state.onMessage(NOW, from, { kind: 'writeReply', ...message }, EPOCH, [], 'sound');
    }
    state.drain();
  }

  change(voters: readonly (readonly string[])[], voterCount?: number): void {
    this.node.components.voterSet.writeVoters(NOW, { do: 'voters', voters, voterCount });
  }

  /** The node's elector learns of a new epoch in which these voters take part. */
  joinEpoch(quorum: string[]): void {
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
    return this.node.components.document.newest().voters;
  }
}

test('a joint configuration takes effect when it is written, for its own commit too', () => {
  const leader = new StateLeader();
  leader.change([THREE, NEXT]);
  expect(leader.voters).toEqual([THREE, NEXT]);
  expect(leader.quorum).toBe('a,b,c | a,d,c');
  // A majority of the old set alone commits nothing.
  leader.store(CONFIG_PARTITION, [B]);
  const { state } = leader.node.replica;
  state.tick(moment(NOW + 1000));
  expect(leader.isWriting).toBe(true);
  leader.store(CONFIG_PARTITION, [D]);
  state.tick(moment(NOW + 1000));
  state.tick(moment(NOW + 2000));
  expect(leader.isWriting).toBe(false);
});

test('a single set does not take effect before it is committed', () => {
  const leader = new StateLeader();
  leader.change([['a', 'b']]);
  expect(leader.voters).toEqual([['a', 'b']]);
  expect(leader.quorum).toBe('a,b,c');
});

test('the wanted number of voters is stored if there is one, and unchanged if there is none', () => {
  const leader = new StateLeader();
  leader.change([THREE, NEXT]);
  expect(leader.node.components.document.newest().seats).toBe(undefined);
  leader.change([THREE, NEXT], 5);
  expect(leader.node.components.document.newest().seats).toBe(5);
  leader.change([NEXT]);
  expect(leader.node.components.document.newest().seats).toBe(5);
});

test('all partitions except the configuration are rewritten', () => {
  const leader = new StateLeader();
  leader.node.components.voterSet.rewritePartitions(NOW);
  const { state } = leader.node.replica;
  const written = allPartitions().filter((partition) => state.isWriting(partition));
  expect(written).toEqual(allPartitions().filter((partition) => partition !== CONFIG_PARTITION));
});

test("an operator's replacement completes once the configuration is stored and every new voter takes part", () => {
  const leader = new StateLeader();
  const { voterSet } = leader.node.components;
  const { elector } = leader.node.replica;
  voterSet.completeReplacement(NOW);
  expect(leader.voters).toEqual([THREE]);
  leader.change([THREE, NEXT]);
  leader.joinEpoch(['a', 'b', 'd', 'c']);
  voterSet.completeReplacement(NOW);
  expect(leader.voters).toEqual([THREE, NEXT]);
  leader.store(CONFIG_PARTITION, [B, C, D]);
  leader.joinEpoch(['b', 'c']);
  expect(elector.quorumMembers.has(D)).toBe(false);
  voterSet.completeReplacement(NOW);
  expect(leader.voters).toEqual([THREE, NEXT]);
  leader.joinEpoch(['b', 'c', 'd']);
  voterSet.completeReplacement(NOW);
  expect(leader.voters).toEqual([NEXT]);
});

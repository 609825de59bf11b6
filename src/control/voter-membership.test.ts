import { expect, test } from 'vitest';
import { moment, nodeId, type Moment, type PartitionName } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { allPartitions, CONFIG_PARTITION } from '../state/partition-names.js';
import { initialDoc, type ConfigDoc } from './config-shapes.js';
import type { ControlReplica } from './control-replica.js';
import { ComponentsNode, SOUND_DISK } from './testing/components-node.js';
import { VoterMembership } from './voter-membership.js';

type Voters = readonly (readonly string[])[];

const EPOCH = 2;
const TICK_MS = 50;
const THREE = ['a', 'b', 'c'];
/** The voters after spare `d` replaced voter `b`. */
const REPLACED = ['a', 'd', 'c'];
const FOLLOWERS = ['b', 'c'].map(nodeId);
const SERVICE_PARTITIONS = allPartitions().filter((partition) => partition !== CONFIG_PARTITION);

/** The membership of node `a`, which leads voters `a`, `b` and `c` and has taken over the state. */
class LeadingMembership {
  readonly replica: ControlReplica = new ComponentsNode(SOUND_DISK).replica;
  readonly membership: VoterMembership;
  /** The sets of voters that were written, in order. */
  readonly changes: Voters[] = [];
  rewrites = 0;
  #document: ConfigDoc = initialDoc(THREE);
  #now = moment(0);
  #sent: Message[] = [];

  constructor() {
    const { state, leadership, replicaStatus } = this.replica;
    state.lead(this.#now, EPOCH);
    this.#readFollowers();
    for (const partition of allPartitions()) this.commit(partition);
    leadership.begin(EPOCH);
    leadership.serve();
    const host = {
      ...this.replica,
      updates: { onAnnounce: () => undefined, reportUnpublishedVoters: () => undefined },
      replicaStatus,
      zone: 'zone-a',
      isFirstStart: false,
      peers: () => FOLLOWERS,
      document: () => this.#document,
      zoneOf: (id: string) => `zone-${id}`,
      send: (_to: string, message: Message) => this.#sent.push(message),
      rewritePartitions: (now: Moment) => this.#rewritePartitions(now),
      writeVoters: (_now: Moment, change: { readonly voters: Voters }) => {
        this.changes.push(change.voters);
        this.setVoters(change.voters);
      },
    };
    this.membership = new VoterMembership(host, this.#now);
  }

  /** Sets the voters of the newest configuration. */
  setVoters(voters: Voters): void {
    this.#document = { ...this.#document, voters: voters.map((set) => [...set]) };
  }

  tick(): void {
    this.#now = moment(this.#now + TICK_MS);
    this.membership.tick(this.#now);
  }

  /** A node that is not a voter announces itself. */
  announce(id: string, isSound: boolean): void {
    const message = { id, zone: `zone-${id}`, isFirst: false, isSound, epoch: 0, count: 0 };
    this.membership.onAnnounce(this.#now, id, { kind: 'announce', ...message });
  }

  /** A node announces its planned stop; returns whether the leader replies that it may stop. */
  announceDeparture(id: string): boolean | undefined {
    this.#sent = [];
    this.membership.onLeave(this.#now, id, { kind: 'leave', id });
    for (const message of this.#sent) if (message.kind === 'leaveReply') return message.mayStop;
    return undefined;
  }

  /** Begins a planned stop of the leader itself; returns whether it has to stay a voter. */
  mustStayVoter(): boolean {
    return this.membership.mustStayVoter(this.#now);
  }

  /** Begins to write a partition; the followers do not reply. */
  beginWriting(partition: PartitionName): void {
    this.replica.state.write(this.#now, partition, 'body', 0);
  }

  /** Completes the write of a partition that is in flight on the disks of all voters. */
  commit(partition: PartitionName): void {
    const { state } = this.replica;
    const version = state.versionOf(partition);
    state.onPersisted(partition, version, EPOCH, this.#now);
    for (const from of FOLLOWERS) {
      const message = { part: partition, ...version, good: true, members: [] };
      state.onMessage(this.#now, from, { kind: 'writeReply', ...message }, EPOCH, [], 'sound');
    }
    state.drain();
    if (state.isWriting(partition)) throw new Error(`${partition} is still being written`);
  }

  #readFollowers(): void {
    const { state } = this.replica;
    for (const from of FOLLOWERS) {
      const copies = state.storedReplicas();
      const message = { epoch: EPOCH, nonce: 1, sound: true, copies, standing: 'sound' };
      state.onMessage(this.#now, from, { kind: 'readReply', ...message }, EPOCH, [], 'sound');
    }
  }

  #rewritePartitions(now: Moment): void {
    this.rewrites += 1;
    const { state } = this.replica;
    for (const partition of SERVICE_PARTITIONS)
      state.write(now, partition, state.body(partition), 0);
  }
}

test('the new voters decide alone only once every partition is rewritten at a majority of both sets', () => {
  const leader = new LeadingMembership();
  leader.setVoters([THREE, REPLACED]);
  leader.tick();
  expect(leader.rewrites).toBe(1);
  for (const partition of SERVICE_PARTITIONS) {
    leader.tick();
    leader.tick();
    expect(leader.changes, `${partition} is still being written`).toEqual([]);
    leader.commit(partition);
  }
  leader.tick();
  expect(leader.changes).toEqual([[REPLACED]]);
  expect(leader.rewrites).toBe(1);
});

test('voters are changed while partitions other than the configuration are being written', () => {
  const leader = new LeadingMembership();
  for (const partition of SERVICE_PARTITIONS) leader.beginWriting(partition);
  leader.announce('d', true);
  expect(leader.announceDeparture('b')).toBe(false);
  expect(leader.changes).toEqual([[THREE, REPLACED]]);
});

test('no voters are changed while the configuration is being written', () => {
  const leader = new LeadingMembership();
  leader.beginWriting(CONFIG_PARTITION);
  leader.announce('d', true);
  expect(leader.announceDeparture('b')).toBe(false);
  leader.tick();
  expect(leader.changes).toEqual([]);
  leader.commit(CONFIG_PARTITION);
  leader.tick();
  expect(leader.changes).toEqual([[THREE, REPLACED]]);
});

test('a voter may stop if no spare can replace it', () => {
  expect(new LeadingMembership().announceDeparture('b')).toBe(true);
});

test('a voter may not stop while a spare that can replace it is still being repaired', () => {
  const leader = new LeadingMembership();
  leader.announce('d', false);
  expect(leader.announceDeparture('b')).toBe(false);
  expect(leader.changes).toEqual([]);
});

test('a leader may not stop itself while a spare that can replace it is still being repaired', () => {
  const leader = new LeadingMembership();
  leader.announce('d', false);
  expect(leader.mustStayVoter()).toBe(true);
  expect(leader.membership.isHandingOver).toBe(true);
});

test('a leader may stop itself if no spare can replace it', () => {
  expect(new LeadingMembership().mustStayVoter()).toBe(false);
});

test('a voter may stop if the only spare is in a planned stop as well', () => {
  const leader = new LeadingMembership();
  leader.announce('d', false);
  leader.announceDeparture('d');
  expect(leader.announceDeparture('b')).toBe(true);
});

test('a voter may stop once it is replaced, but not during the joint configuration', () => {
  const leader = new LeadingMembership();
  leader.announce('d', true);
  expect(leader.announceDeparture('b')).toBe(false);
  expect(leader.changes).toEqual([[THREE, REPLACED]]);
  leader.tick();
  for (const partition of SERVICE_PARTITIONS) leader.commit(partition);
  // The configuration with the new set alone is being written now, and not yet stored at a majority.
  leader.beginWriting(CONFIG_PARTITION);
  expect(leader.announceDeparture('b')).toBe(false);
  leader.commit(CONFIG_PARTITION);
  leader.tick();
  expect(leader.changes).toEqual([[THREE, REPLACED], [REPLACED]]);
  expect(leader.announceDeparture('b')).toBe(true);
});

test('a node that has not taken over the state does not reply to a departing voter', () => {
  const leader = new LeadingMembership();
  leader.replica.leadership.begin(EPOCH + 2);
  expect(leader.announceDeparture('b')).toBe(undefined);
});

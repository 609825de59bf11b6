import { expect, test } from 'vitest';
import { nodeId, moment, type NodeId, type Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import { Elector } from './elector.js';
import type { VoteRecord } from './vote-effect.js';
import { VOTE_DEFAULTS, type VoteSettings } from './vote-settings.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];

test('a restarted voter listens whether somebody leads', () => {
  const elector = started();
  elector.onMessage(moment(5), b, { kind: 'ping', nonce: 1, epoch: 0, reports: [], leader: 'b' });
  elector.onMessage(moment(5), c, { kind: 'ping', nonce: 1, epoch: 0, reports: [], leader: 'b' });
  elector.tick(moment(50));
  expect(isProposing(elector)).toBe(false);
  elector.tick(moment(1150));
  expect(isProposing(elector)).toBe(true);
});
test('after all have restarted nobody listens for a leader', () => {
  const elector = started();
  elector.onMessage(moment(5), b, { kind: 'ping', nonce: 1, epoch: 0, reports: [], leader: '' });
  // Another led before and goes first; then it is our turn, long before the listening would have ended.
  elector.tick(moment(50));
  expect(isProposing(elector)).toBe(false);
  elector.tick(moment(150));
  expect(isProposing(elector)).toBe(true);
  expect(elector.epoch).toBe(7);
});
test('a voter whose disk was lost and repaired leaves the lead where it is', () => {
  const election = new Election();
  // Ids alone would give the lead to the first: it comes to another while that one is away.
  election.run(3000, isNotA);
  expect(election.node(b).isLeading()).toBe(true);
  election.run(9000);
  expect(election.node(a).leader).toBe(b);
  expect(election.node(b).mayOrder(election.now)).toBe(true);
  const repaired = new Elector(a, new Quorum([a, b, c]), VOTE_DEFAULTS, election.now);
  repaired.setMayVote(false, { epoch: 0, grantEpoch: 0, grantLeader: '' }, election.now);
  election.electors.set(a, repaired);
  election.run(500);
  repaired.setMayVote(
    true,
    { epoch: election.node(b).epoch, grantEpoch: 0, grantLeader: '' },
    election.now,
  );
  let withoutMs = 0;
  for (let step = 0; step < 500; step += 1) {
    election.run(10);
    if (![...election.electors.values()].some((elector) => ordersAt(election.now, elector)))
      withoutMs += 10;
  }
  expect(election.node(a).leader).toBe(b);
  expect(
    [...election.electors.keys()].filter((id) => election.node(id).isLeading()).every(isB),
  ).toBe(true);
  expect(withoutMs).toBeLessThan(1000);
});
test('after all have restarted the same holder goes on without a pause', () => {
  const election = new Election();
  election.run(9000);
  expect(election.node(a).isLeading()).toBe(true);
  election.restart();
  expect(election.runUntilOrders()).toBeLessThan(VOTE_DEFAULTS.handoverGapMs);
  expect(election.node(a).isLeading()).toBe(true);
});
test('after all have restarted another holder waits, and so does one that had just taken over', () => {
  const { leaseMs, handoverGapMs } = VOTE_DEFAULTS;
  const election = new Election();
  election.run(9000);
  election.restart();
  expect(election.runUntilOrders(isNotA)).toBeGreaterThanOrEqual(leaseMs + handoverGapMs);
  // What was promised to the former holder may bind still where the record tells of the new one alone.
  const changed = new Election();
  changed.run(9000);
  changed.run(leaseMs + 1500, isNotA);
  expect(changed.node(b).isLeading()).toBe(true);
  expect(changed.node(b).mayOrder(changed.now)).toBe(false);
  changed.restart();
  expect(changed.runUntilOrders(isNotA)).toBeGreaterThanOrEqual(leaseMs + handoverGapMs);
});

/** Of its new voters a majority has promised nothing to the holder before it. */
test('a change of voters does not end the wait for the holder before', () => {
  const { leaseMs, handoverGapMs, renewMs, peerTimeoutMs: deadMs, electionMs } = VOTE_DEFAULTS;
  const election = new Election();
  election.run(9000);
  expect(election.node(a).mayOrder(election.now)).toBe(true);
  const lostAt = election.now;
  election.run(deadMs + electionMs + 500, isNotA);
  expect(election.node(b).isLeading()).toBe(true);
  const [d, e] = [nodeId('d'), nodeId('e')];
  const joint = new Quorum([a, b, c], [d, b, e]);
  for (const id of [d, e])
    election.electors.set(id, new Elector(id, joint, VOTE_DEFAULTS, election.now));
  for (const quorum of [joint, new Quorum([d, b, e])]) {
    for (const elector of election.electors.values()) elector.setQuorum(quorum);
    election.run(400, isNotA);
  }
  expect(election.node(b).isLeading()).toBe(true);
  election.runUntilOrders(isNotA);
  expect(election.node(b).mayOrder(election.now)).toBe(true);
  expect(election.now - lostAt).toBeGreaterThanOrEqual(leaseMs + handoverGapMs - renewMs);
});

/** A voter that has voted before and was started at moment 0, with its pings to others answered. */
function started(): Elector {
  const elector = new Elector(a, new Quorum([a, b, c]), VOTE_DEFAULTS, moment(0), {
    epoch: 6,
    grantEpoch: 6,
    grantLeader: 'b',
  });
  elector.tick(moment(0));
  for (const peer of [b, c])
    elector.onMessage(moment(2), peer, {
      kind: 'pong',
      nonce: 0,
      epoch: 0,
      reports: [],
      standing: '',
    });
  elector.drain();
  return elector;
}

function isProposing(elector: Elector): boolean {
  return elector.role === 'proposing';
}

/** Electors in memory: what one says arrives a step later, and what is to be kept is kept at once. */
class Election {
  #now = 0;
  readonly electors = new Map<NodeId, Elector>();
  readonly #records = new Map<NodeId, VoteRecord>();
  #mail: { readonly from: NodeId; readonly to: NodeId; readonly message: Message }[] = [];

  constructor() {
    for (const id of [a, b, c])
      this.electors.set(id, new Elector(id, new Quorum([a, b, c]), VOTE_DEFAULTS, moment(0)));
  }

  get now(): Moment {
    return moment(this.#now);
  }

  node(id: NodeId): Elector {
    const elector = this.electors.get(id);
    if (!elector) throw new Error(`no ${id}`);
    return elector;
  }

  restart(): void {
    this.#mail = [];
    for (const id of [a, b, c])
      this.electors.set(
        id,
        new Elector(id, new Quorum([a, b, c]), VOTE_DEFAULTS, this.now, this.#records.get(id)),
      );
  }

  /** How long nobody may order, from now on. */
  runUntilOrders(isUp: (id: NodeId) => boolean = always): number {
    const began = this.#now;
    while (
      this.#now - began < 10_000 &&
      ![...this.electors.values()].some((elector) => ordersAt(this.now, elector))
    )
      this.run(10, isUp);
    return this.#now - began;
  }

  run(millis: number, isUp: (id: NodeId) => boolean = always): void {
    for (const end = this.#now + millis; this.#now < end;) {
      this.#now += 10;
      const mail = this.#mail;
      this.#mail = [];
      for (const { from, to, message } of mail)
        if (isUp(to) && isUp(from)) this.node(to).onMessage(this.now, from, message);
      for (const [id, elector] of this.electors) {
        if (!isUp(id)) continue;
        if (this.#now % 50 === 0) elector.tick(this.now);
        for (let effects = elector.drain(); effects.length > 0; effects = elector.drain()) {
          for (const effect of effects) {
            if (effect.do === 'persistVote') {
              this.#records.set(id, effect.record);
              elector.onPersisted(effect.token);
            } else this.#mail.push({ from: id, to: effect.to, message: effect.message });
          }
        }
      }
    }
  }
}

function always(): boolean {
  return true;
}
function isNotA(id: NodeId): boolean {
  return id !== a;
}
function isB(id: NodeId): boolean {
  return id === b;
}

function ordersAt(now: Moment, elector: Elector): boolean {
  return elector.mayOrder(now);
}

/** Three voters on virtual time: messages take 2 ms, the disk takes 2 ms, ticks come every 50 ms. */
class Trio {
  now = 0;
  readonly electors = new Map<string, Elector>();
  readonly #startAt = new Map<string, number>();
  #queue: { readonly at: number; readonly run: () => void }[] = [];

  constructor(startAt: Readonly<Record<string, number>>, settings: VoteSettings, before = 'a') {
    for (const [id, at] of Object.entries(startAt)) {
      this.#startAt.set(id, at);
      this.electors.set(
        id,
        new Elector(nodeId(id), new Quorum([a, b, c]), settings, moment(at), {
          epoch: 6,
          grantEpoch: 6,
          grantLeader: before,
        }),
      );
    }
  }

  get leader(): string {
    for (const [id, elector] of this.electors) if (elector.isLeading()) return id;
    return '';
  }

  /** Plays until somebody leads, or the time is over; returns when. */
  run(untilMs: number): number {
    for (; this.now < untilMs; this.now += 1) {
      for (const item of this.#queue.filter((item) => item.at <= this.now)) item.run();
      this.#queue = this.#queue.filter((item) => item.at > this.now);
      for (const [id, elector] of this.electors) {
        const start = this.#startAt.get(id) ?? 0;
        if (this.now < start) continue;
        if ((this.now - start) % 50 === 0) elector.tick(moment(this.now));
        this.#carryOut(id, elector);
        if (elector.isLeading()) return this.now;
      }
    }
    return this.now;
  }

  #carryOut(id: string, elector: Elector): void {
    for (const effect of elector.drain()) {
      if (effect.do === 'send')
        this.#queue.push({
          at: this.now + 2,
          run: () => this.#deliver(id, effect.to, effect.message),
        });
      else this.#queue.push({ at: this.now + 2, run: () => elector.onPersisted(effect.token) });
    }
  }

  #deliver(from: string, to: string, message: Message): void {
    // Who has not started yet hears nothing.
    if (this.now < (this.#startAt.get(to) ?? 0)) return;
    this.electors.get(to)?.onMessage(moment(this.now), nodeId(from), message);
  }
}
test('three voters that start again at about the same time have a leader within 400 ms', () => {
  for (const [one, two] of [
    [0, 0],
    [1, 2],
    [30, 10],
    [180, 40],
    [10, 240],
  ] as const) {
    const trio = new Trio(
      { a: 0, b: one, c: two },
      {
        ...VOTE_DEFAULTS,
        pingMs: 250,
        renewMs: 300,
        electionMs: 500,
        leaseMs: 1500,
        peerTimeoutMs: 1200,
      },
    );
    expect(trio.run(3000) - Math.max(one, two)).toBeLessThan(400);
  }
  // Whoever led before leads again, wherever it stands among the voters.
  for (const before of ['a', 'b', 'c']) {
    const trio = new Trio(
      { a: 0, b: 3, c: 1 },
      {
        ...VOTE_DEFAULTS,
        pingMs: 250,
        renewMs: 300,
        electionMs: 500,
        leaseMs: 1500,
        peerTimeoutMs: 1200,
      },
      before,
    );
    expect(trio.run(3000)).toBeLessThan(400);
    expect(trio.leader).toBe(before);
  }
});

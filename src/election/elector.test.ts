import { expect, test } from 'vitest';
import { nodeId, moment, type NodeId, type Moment } from '../common/ids.js';
import type { Message } from '../common/messages.js';
import { Quorum } from '../common/quorum.js';
import { Elector } from './elector.js';
import type { VoteRecord } from './vote-effect.js';
import { VOTE_DEFAULTS, type VoteSettings } from './vote-settings.js';

const [a, b, c] = [nodeId('a'), nodeId('b'), nodeId('c')];

test('a restarted voter listens for a leader before it proposes itself', () => {
  const elector = restartedElector();
  elector.onMessage(moment(5), b, { kind: 'ping', nonce: 1, epoch: 0, reports: [], leader: 'b' });
  elector.onMessage(moment(5), c, { kind: 'ping', nonce: 1, epoch: 0, reports: [], leader: 'b' });
  elector.tick(moment(50));
  expect(isProposing(elector)).toBe(false);
  elector.tick(moment(1150));
  expect(isProposing(elector)).toBe(true);
});
test('after a restart of all voters none listens for a leader', () => {
  const elector = restartedElector();
  elector.onMessage(moment(5), b, { kind: 'ping', nonce: 1, epoch: 0, reports: [], leader: '' });
  // The former leader goes first; this voter's turn follows long before its startup delay would have ended.
  elector.tick(moment(50));
  expect(isProposing(elector)).toBe(false);
  elector.tick(moment(150));
  expect(isProposing(elector)).toBe(true);
  expect(elector.epoch).toBe(7);
});
test('a voter whose disk was lost and repaired does not displace the leader', () => {
  const election = new InMemoryElection();
  // By ids alone the first voter would lead; another becomes leader while the first is down.
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
  let withoutOrdersMs = 0;
  for (let step = 0; step < 500; step += 1) {
    election.run(10);
    if (![...election.electors.values()].some((elector) => mayOrderAt(election.now, elector)))
      withoutOrdersMs += 10;
  }
  expect(election.node(a).leader).toBe(b);
  expect(
    [...election.electors.keys()].filter((id) => election.node(id).isLeading()).every(isB),
  ).toBe(true);
  expect(withoutOrdersMs).toBeLessThan(1000);
});
test('after a restart of all voters the same leader continues without waiting for its lease', () => {
  const election = new InMemoryElection();
  election.run(9000);
  expect(election.node(a).isLeading()).toBe(true);
  election.restartAll();
  expect(election.runUntilOrdersAllowed()).toBeLessThan(VOTE_DEFAULTS.handoverGapMs);
  expect(election.node(a).isLeading()).toBe(true);
});
test('after a restart of all voters another leader waits, and so does one that had just taken over', () => {
  const { leaseMs, handoverGapMs } = VOTE_DEFAULTS;
  const election = new InMemoryElection();
  election.run(9000);
  election.restartAll();
  expect(election.runUntilOrdersAllowed(isNotA)).toBeGreaterThanOrEqual(leaseMs + handoverGapMs);
  // The lease of the former leader may still bind although the record names only the new one.
  const changed = new InMemoryElection();
  changed.run(9000);
  changed.run(leaseMs + 1500, isNotA);
  expect(changed.node(b).isLeading()).toBe(true);
  expect(changed.node(b).mayOrder(changed.now)).toBe(false);
  changed.restartAll();
  expect(changed.runUntilOrdersAllowed(isNotA)).toBeGreaterThanOrEqual(leaseMs + handoverGapMs);
});

/** A majority of the new voters has granted no lease to the previous leader: by them alone the wait would be lost. */
test('a change of voters does not end the wait for the lease of the previous leader', () => {
  const { leaseMs, handoverGapMs, renewMs, peerTimeoutMs, electionMs } = VOTE_DEFAULTS;
  const election = new InMemoryElection();
  election.run(9000);
  expect(election.node(a).mayOrder(election.now)).toBe(true);
  const lostAt = election.now;
  election.run(peerTimeoutMs + electionMs + 500, isNotA);
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
  election.runUntilOrdersAllowed(isNotA);
  expect(election.node(b).mayOrder(election.now)).toBe(true);
  expect(election.now - lostAt).toBeGreaterThanOrEqual(leaseMs + handoverGapMs - renewMs);
});

/** Voter `a` that has voted before and restarts at time 0, with its pings answered by both others. */
function restartedElector(): Elector {
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

/** Electors in memory: messages arrive one step of 10 ms later, and records are persisted immediately. */
class InMemoryElection {
  #now = 0;
  readonly electors = new Map<NodeId, Elector>();
  readonly #records = new Map<NodeId, VoteRecord>();
  #inFlight: { readonly from: NodeId; readonly to: NodeId; readonly message: Message }[] = [];

  constructor() {
    for (const id of [a, b, c])
      this.electors.set(id, new Elector(id, new Quorum([a, b, c]), VOTE_DEFAULTS, moment(0)));
  }

  get now(): Moment {
    return moment(this.#now);
  }

  node(id: NodeId): Elector {
    const elector = this.electors.get(id);
    if (!elector) throw new Error(`no voter ${id}`);
    return elector;
  }

  restartAll(): void {
    this.#inFlight = [];
    for (const id of [a, b, c])
      this.electors.set(
        id,
        new Elector(id, new Quorum([a, b, c]), VOTE_DEFAULTS, this.now, this.#records.get(id)),
      );
  }

  /** Runs until a voter may send orders, for 10 s at most; returns how long that took, in milliseconds. */
  runUntilOrdersAllowed(isUp: (id: NodeId) => boolean = everyNodeIsUp): number {
    const startedAt = this.#now;
    while (
      this.#now - startedAt < 10_000 &&
      ![...this.electors.values()].some((elector) => mayOrderAt(this.now, elector))
    )
      this.run(10, isUp);
    return this.#now - startedAt;
  }

  run(millis: number, isUp: (id: NodeId) => boolean = everyNodeIsUp): void {
    for (const end = this.#now + millis; this.#now < end;) {
      this.#now += 10;
      const arriving = this.#inFlight;
      this.#inFlight = [];
      for (const { from, to, message } of arriving)
        if (isUp(to) && isUp(from)) this.node(to).onMessage(this.now, from, message);
      for (const [id, elector] of this.electors) {
        if (!isUp(id)) continue;
        if (this.#now % 50 === 0) elector.tick(this.now);
        for (let effects = elector.drain(); effects.length > 0; effects = elector.drain()) {
          for (const effect of effects) {
            if (effect.do === 'persistVote') {
              this.#records.set(id, effect.record);
              elector.onPersisted(effect.token);
            } else this.#inFlight.push({ from: id, to: effect.to, message: effect.message });
          }
        }
      }
    }
  }
}

function everyNodeIsUp(): boolean {
  return true;
}
function isNotA(id: NodeId): boolean {
  return id !== a;
}
function isB(id: NodeId): boolean {
  return id === b;
}

function mayOrderAt(now: Moment, elector: Elector): boolean {
  return elector.mayOrder(now);
}

/** Three restarting voters on virtual time: messages and disk writes take 2 ms, ticks come every 50 ms. */
class RestartedVoters {
  now = 0;
  readonly electors = new Map<string, Elector>();
  readonly #startAt = new Map<string, number>();
  #queue: { readonly at: number; readonly run: () => void }[] = [];

  constructor(
    startAt: Readonly<Record<string, number>>,
    settings: VoteSettings,
    formerLeader = 'a',
  ) {
    for (const [id, at] of Object.entries(startAt)) {
      this.#startAt.set(id, at);
      this.electors.set(
        id,
        new Elector(nodeId(id), new Quorum([a, b, c]), settings, moment(at), {
          epoch: 6,
          grantEpoch: 6,
          grantLeader: formerLeader,
        }),
      );
    }
  }

  get leader(): string {
    for (const [id, elector] of this.electors) if (elector.isLeading()) return id;
    return '';
  }

  /** Runs until a voter leads or `untilMs` is reached; returns the time. */
  run(untilMs: number): number {
    for (; this.now < untilMs; this.now += 1) {
      for (const item of this.#queue.filter((item) => item.at <= this.now)) item.run();
      this.#queue = this.#queue.filter((item) => item.at > this.now);
      for (const [id, elector] of this.electors) {
        const start = this.#startAt.get(id) ?? 0;
        if (this.now < start) continue;
        if ((this.now - start) % 50 === 0) elector.tick(moment(this.now));
        this.#runEffects(id, elector);
        if (elector.isLeading()) return this.now;
      }
    }
    return this.now;
  }

  #runEffects(id: string, elector: Elector): void {
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
    // A voter that has not started yet receives nothing.
    if (this.now < (this.#startAt.get(to) ?? 0)) return;
    this.electors.get(to)?.onMessage(moment(this.now), nodeId(from), message);
  }
}
test('three voters that restart at about the same time have a leader within 400 ms', () => {
  for (const [startB, startC] of [
    [0, 0],
    [1, 2],
    [30, 10],
    [180, 40],
    [10, 240],
  ] as const) {
    const voters = new RestartedVoters(
      { a: 0, b: startB, c: startC },
      {
        ...VOTE_DEFAULTS,
        pingMs: 250,
        renewMs: 300,
        electionMs: 500,
        leaseMs: 1500,
        peerTimeoutMs: 1200,
      },
    );
    expect(voters.run(3000) - Math.max(startB, startC)).toBeLessThan(400);
  }
  // The former leader leads again, whatever its position among the voters.
  for (const formerLeader of ['a', 'b', 'c']) {
    const voters = new RestartedVoters(
      { a: 0, b: 3, c: 1 },
      {
        ...VOTE_DEFAULTS,
        pingMs: 250,
        renewMs: 300,
        electionMs: 500,
        leaseMs: 1500,
        peerTimeoutMs: 1200,
      },
      formerLeader,
    );
    expect(voters.run(3000)).toBeLessThan(400);
    expect(voters.leader).toBe(formerLeader);
  }
});

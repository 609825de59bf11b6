import { expect, test } from 'vitest';
import { FaultCluster, formedFaultCluster } from './testing/fault-cluster.js';
import { documentOf } from './testing/plain-dialect.js';
import { SeededRandom } from '../rehearsal/seeded-random.js';

/** A node counts as lost until this time after its return. */
const CATCH_UP_MS = 4000;
/** Within the tolerated faults, a leader serves again within this time. */
const LEADERLESS_MS = 8000;
const DURATION_MS = 60_000;
const SEED_COUNT = 15;

type FaultKind =
  | 'restarted'
  | 'wiped'
  | 'frozen'
  | 'isolated'
  | 'cut one way'
  | 'disk stalled'
  | 'replaced in a planned stop'
  | 'replaced'
  | 'lost permanently';

const KINDS: readonly FaultKind[] = [
  'restarted',
  'wiped',
  'frozen',
  'isolated',
  'cut one way',
  'disk stalled',
  'replaced in a planned stop',
  'replaced',
  'lost permanently',
];

interface Step {
  readonly at: number;
  readonly run: () => void;
}

/** Random faults of voters from a seed, at most `maxFaults` at a time, while an operator edits the configuration. */
class RandomFaults {
  readonly #cluster: FaultCluster;
  readonly #random: SeededRandom;
  readonly #maxFaults: number;
  /** The machines of the deployment at present. */
  readonly #machines: string[];
  /** Until when each machine counts as lost. */
  readonly #lostUntil = new Map<string, number>();
  #steps: Step[] = [];
  #started = 0;
  #permanentlyLost = 0;
  #lastAcknowledged = 0;
  #lastSent = 0;
  #leaderSeenAt: number;
  readonly log: string[] = [];
  longestLeaderlessMs = 0;

  constructor(ids: readonly string[], maxFaults: number, seed: number) {
    this.#cluster = formedFaultCluster(ids, { seed, maxDelayMs: 30, maxDiskMs: 30 });
    this.#random = new SeededRandom(seed * 7919, 1);
    this.#machines = [...ids];
    this.#maxFaults = maxFaults;
    this.#leaderSeenAt = this.#cluster.now;
  }

  run(): void {
    const end = this.#cluster.now + DURATION_MS;
    let nextFaultAt = this.#cluster.now;
    while (this.#cluster.now < end) {
      this.#runFor(50);
      if (this.#cluster.now >= nextFaultAt) {
        nextFaultAt = this.#cluster.now + this.#random.between(200, 3000);
        this.#injectRandomFault();
      }
      if (this.#random.next() < 0.1) this.#edit();
    }
    this.#runFor(25_000);
    const leader = this.#cluster.leader();
    expect(leader, this.#logText()).not.toBe('');
    const version = this.#cluster.versionAt(leader) ?? -1;
    expect(version, this.#logText()).toBeGreaterThanOrEqual(this.#lastAcknowledged);
    expect(version, this.#logText()).toBeLessThanOrEqual(this.#lastSent);
    expect(this.longestLeaderlessMs, this.#logText()).toBeLessThanOrEqual(LEADERLESS_MS);
  }

  #logText(): string {
    return `\n${this.log.join('\n')}\n`;
  }

  #runFor(durationMs: number): void {
    for (const end = this.#cluster.now + durationMs; this.#cluster.now < end;) {
      this.#cluster.run(Math.min(50, end - this.#cluster.now));
      const due = this.#steps.filter((step) => step.at <= this.#cluster.now);
      this.#steps = this.#steps.filter((step) => step.at > this.#cluster.now);
      for (const step of due) step.run();
      if (this.#cluster.hasLeader()) this.#leaderSeenAt = this.#cluster.now;
      const leaderlessMs = this.#cluster.now - this.#leaderSeenAt;
      this.longestLeaderlessMs = Math.max(this.longestLeaderlessMs, leaderlessMs);
    }
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#steps.push({ at: this.#cluster.now + delayMs, run });
  }

  #countAsLost(id: string, durationMs: number): void {
    this.#lostUntil.set(id, this.#cluster.now + durationMs + CATCH_UP_MS);
  }

  #injectRandomFault(): void {
    let lost = this.#permanentlyLost;
    const healthy: string[] = [];
    for (const id of this.#machines) {
      if ((this.#lostUntil.get(id) ?? 0) > this.#cluster.now) lost += 1;
      else healthy.push(id);
    }
    if (lost >= this.#maxFaults) return;
    const leader = this.#cluster.leader();
    // The leader is chosen more often than the other voters.
    const isLeaderChosen = this.#random.next() < 0.35 && healthy.includes(leader);
    const id = isLeaderChosen ? leader : healthy[Math.floor(this.#random.next() * healthy.length)];
    const kind = KINDS[Math.floor(this.#random.next() * KINDS.length)];
    if (id === undefined || kind === undefined) return;
    this.log.push(`${this.#cluster.now}: ${id}${id === leader ? ' (leader)' : ''} ${kind}`);
    this.#inject(id, kind, this.#random.between(300, 7000));
  }

  #inject(id: string, kind: FaultKind, durationMs: number): void {
    const cluster = this.#cluster;
    switch (kind) {
      case 'restarted':
      case 'wiped':
        this.#countAsLost(id, durationMs);
        cluster.kill(id);
        if (kind === 'wiped') cluster.wipe(id);
        this.#schedule(durationMs, () => this.#start(id));
        break;
      case 'frozen':
        this.#countAsLost(id, durationMs);
        cluster.freeze(id);
        this.#schedule(durationMs, () => this.#thaw(id));
        break;
      case 'isolated':
        this.#countAsLost(id, durationMs);
        cluster.cutOff(id);
        this.#schedule(durationMs, () => cluster.heal());
        break;
      case 'cut one way': {
        this.#countAsLost(id, durationMs);
        const others = this.#machines.filter((other) => id !== other);
        const other = others[Math.floor(this.#random.next() * others.length)] ?? '';
        if (this.#random.next() < 0.5) cluster.cutOneWay(id, other);
        else cluster.cutOneWay(other, id);
        this.#schedule(durationMs, () => cluster.heal());
        break;
      }
      case 'disk stalled':
        this.#countAsLost(id, durationMs);
        cluster.stallDisk(id);
        this.#schedule(durationMs, () => cluster.resumeDisk(id));
        break;
      case 'replaced in a planned stop': {
        // The new machine counts as lost until it has caught up, the old one until it has stopped.
        const name = this.#startNew();
        const departsInMs = this.#random.between(300, 4000);
        this.#lostUntil.set(name, cluster.now + departsInMs + CATCH_UP_MS);
        this.#lostUntil.set(id, cluster.now + departsInMs);
        this.#schedule(departsInMs, () => this.#retire(id));
        break;
      }
      case 'replaced': {
        cluster.kill(id);
        this.#machines.splice(this.#machines.indexOf(id), 1);
        const name = this.#startNew();
        this.#countAsLost(name, 0);
        break;
      }
      case 'lost permanently':
        // Five voters tolerate this and one more fault; three tolerate no other fault beside it.
        if (this.#maxFaults < 2 || this.#permanentlyLost > 0) return;
        this.#permanentlyLost += 1;
        cluster.kill(id);
        this.#machines.splice(this.#machines.indexOf(id), 1);
        break;
    }
  }

  #start(id: string): void {
    this.#cluster.start(id, this.#seeds());
  }

  #thaw(id: string): void {
    this.#cluster.thaw(id, this.#random.next() < 0.5 ? 'input' : 'tick');
  }

  #startNew(): string {
    this.#started += 1;
    const name = `n${this.#started}:1`;
    this.#cluster.start(name, this.#seeds());
    this.#machines.push(name);
    return name;
  }

  #retire(id: string): void {
    const state = this.#cluster.node(id).state;
    this.#machines.splice(this.#machines.indexOf(id), 1);
    this.#lostUntil.delete(id);
    if (state === 'up') this.#cluster.retire(id);
  }

  /** Up to three of the present machines, as in an operator's list of seeds. */
  #seeds(): readonly string[] {
    const seeds = [...this.#machines];
    while (seeds.length > 3) seeds.splice(Math.floor(this.#random.next() * seeds.length), 1);
    return seeds;
  }

  /** Reads the configuration, checks that no acknowledged edit is missing, and edits it. */
  #edit(): void {
    const leader = this.#cluster.leader();
    if (leader === '') return;
    const read = this.#cluster.request(leader, 'read', {}, 600);
    if (read.status !== 200) return;
    const version = versionIn(read.body);
    expect(version, this.#logText()).toBeGreaterThanOrEqual(this.#lastAcknowledged);
    expect(version, this.#logText()).toBeLessThanOrEqual(this.#lastSent);
    this.#lastSent += 1;
    const text = documentOf(this.#lastSent);
    const body = { id: `edit-${this.#lastSent}`, base: version, text };
    const answer = this.#cluster.request(leader, 'configure', body, 1000);
    if (answer.status === 200) this.#lastAcknowledged = this.#lastSent;
  }
}

function versionIn(body: string): number {
  const read: { readonly routing?: { readonly version: number } } = JSON.parse(body);
  return read.routing?.version ?? 0;
}

function checkRandomFaults(ids: readonly string[], maxFaults: number): void {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const faults = new RandomFaults(ids, maxFaults, seed);
    try {
      faults.run();
    } catch (thrown) {
      throw new Error(
        `seed ${seed}: ${thrown instanceof Error ? thrown.message : ''}\n${faults.log.join('\n')}`,
      );
    }
  }
}

test('three voters tolerate random faults, one at a time', () =>
  checkRandomFaults(['a:1', 'b:1', 'c:1'], 1));
test('five voters tolerate random faults, up to two at a time', () =>
  checkRandomFaults(['a:1', 'b:1', 'c:1', 'd:1', 'e:1'], 2));

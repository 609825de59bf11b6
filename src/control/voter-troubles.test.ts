import { expect, test } from 'vitest';
import { FaultCluster, foundedFaultCluster } from './testing/fault-cluster.js';
import { documentOf } from './testing/plain-dialect.js';
import { Seeded } from '../rehearsal/seeded.js';

/** From so long after its return a node no longer counts as lost. */
const CATCH_UP_MS = 4000;
/** Whatever is lost, as long as it may be, somebody serves again within so long. */
const LEADERLESS_MS = 8000;
const SPAN_MS = 60_000;
const SEEDS_TRIED = 15;

type TroubleKind =
  | 'restarted'
  | 'wiped'
  | 'frozen'
  | 'cut off'
  | 'cut one way'
  | 'disk stalled'
  | 'replaced as planned'
  | 'replaced'
  | 'gone for good';

const KINDS: readonly TroubleKind[] = [
  'restarted',
  'wiped',
  'frozen',
  'cut off',
  'cut one way',
  'disk stalled',
  'replaced as planned',
  'replaced',
  'gone for good',
];

interface Step {
  readonly at: number;
  readonly run: () => void;
}

/** Troubles of voters, drawn from a seed, of which no more than `tolerate` go on at once, with orders all the while. */
class DrawnTroubles {
  readonly #cluster: FaultCluster;
  readonly #numbers: Seeded;
  readonly #tolerate: number;
  /** Machines that the deployment has now. */
  readonly #machines: string[];
  /** Until when each machine counts as lost. */
  readonly #lostUntil = new Map<string, number>();
  #steps: Step[] = [];
  #started = 0;
  #goneForGood = 0;
  #acked = 0;
  #sent = 0;
  #leaderSeenAt: number;
  readonly log: string[] = [];
  longestLeaderlessMs = 0;

  constructor(ids: readonly string[], tolerate: number, seed: number) {
    this.#cluster = foundedFaultCluster(ids, { seed, mostDelayMs: 30, mostDiskMs: 30 });
    this.#numbers = new Seeded(seed * 7919, 1);
    this.#machines = [...ids];
    this.#tolerate = tolerate;
    this.#leaderSeenAt = this.#cluster.now;
  }

  run(): void {
    const end = this.#cluster.now + SPAN_MS;
    let drawAt = this.#cluster.now;
    while (this.#cluster.now < end) {
      this.#runFor(50);
      if (this.#cluster.now >= drawAt) {
        drawAt = this.#cluster.now + this.#numbers.between(200, 3000);
        this.#draw();
      }
      if (this.#numbers.next() < 0.1) this.#order();
    }
    this.#runFor(25_000);
    const leader = this.#cluster.leader();
    expect(leader, this.#told()).not.toBe('');
    const version = this.#cluster.versionAt(leader) ?? -1;
    expect(version, this.#told()).toBeGreaterThanOrEqual(this.#acked);
    expect(version, this.#told()).toBeLessThanOrEqual(this.#sent);
    expect(this.longestLeaderlessMs, this.#told()).toBeLessThanOrEqual(LEADERLESS_MS);
  }

  #told(): string {
    return `\n${this.log.join('\n')}\n`;
  }

  #runFor(millis: number): void {
    for (const end = this.#cluster.now + millis; this.#cluster.now < end;) {
      this.#cluster.run(Math.min(50, end - this.#cluster.now));
      const due = this.#steps.filter((step) => step.at <= this.#cluster.now);
      this.#steps = this.#steps.filter((step) => step.at > this.#cluster.now);
      for (const step of due) step.run();
      if (this.#cluster.hasLeader()) this.#leaderSeenAt = this.#cluster.now;
      const leaderless = this.#cluster.now - this.#leaderSeenAt;
      this.longestLeaderlessMs = Math.max(this.longestLeaderlessMs, leaderless);
    }
  }

  #after(millis: number, run: () => void): void {
    this.#steps.push({ at: this.#cluster.now + millis, run });
  }

  #lose(id: string, millis: number): void {
    this.#lostUntil.set(id, this.#cluster.now + millis + CATCH_UP_MS);
  }

  #draw(): void {
    let lost = this.#goneForGood;
    const calm: string[] = [];
    for (const id of this.#machines) {
      if ((this.#lostUntil.get(id) ?? 0) > this.#cluster.now) lost += 1;
      else calm.push(id);
    }
    if (lost >= this.#tolerate) return;
    const leader = this.#cluster.leader();
    // The leader is aimed at more often than its share.
    const isAimed = this.#numbers.next() < 0.35 && calm.includes(leader);
    const id = isAimed ? leader : calm[Math.floor(this.#numbers.next() * calm.length)];
    const kind = KINDS[Math.floor(this.#numbers.next() * KINDS.length)];
    if (id === undefined || kind === undefined) return;
    this.log.push(`${this.#cluster.now}: ${id}${id === leader ? ' (leads)' : ''} ${kind}`);
    this.#bring(id, kind, this.#numbers.between(300, 7000));
  }

  #bring(id: string, kind: TroubleKind, millis: number): void {
    const cluster = this.#cluster;
    switch (kind) {
      case 'restarted':
      case 'wiped':
        this.#lose(id, millis);
        cluster.kill(id);
        if (kind === 'wiped') cluster.wipe(id);
        this.#after(millis, () => this.#start(id));
        break;
      case 'frozen':
        this.#lose(id, millis);
        cluster.freeze(id);
        this.#after(millis, () => this.#thaw(id));
        break;
      case 'cut off':
        this.#lose(id, millis);
        cluster.cutOff(id);
        this.#after(millis, () => cluster.heal());
        break;
      case 'cut one way': {
        this.#lose(id, millis);
        const others = this.#machines.filter((other) => id !== other);
        const other = others[Math.floor(this.#numbers.next() * others.length)] ?? '';
        if (this.#numbers.next() < 0.5) cluster.cutOneWay(id, other);
        else cluster.cutOneWay(other, id);
        this.#after(millis, () => cluster.heal());
        break;
      }
      case 'disk stalled':
        this.#lose(id, millis);
        cluster.stallDisk(id);
        this.#after(millis, () => cluster.resumeDisk(id));
        break;
      case 'replaced as planned': {
        // The new machine counts as lost until it had its time, the old one until it is gone.
        const name = this.#startNew();
        const leavesIn = this.#numbers.between(300, 4000);
        this.#lostUntil.set(name, cluster.now + leavesIn + CATCH_UP_MS);
        this.#lostUntil.set(id, cluster.now + leavesIn);
        this.#after(leavesIn, () => this.#retire(id));
        break;
      }
      case 'replaced': {
        cluster.kill(id);
        this.#machines.splice(this.#machines.indexOf(id), 1);
        const name = this.#startNew();
        this.#lose(name, 0);
        break;
      }
      case 'gone for good':
        // Any quorum of five bears that, and one more besides; with three there is nothing to spare.
        if (this.#tolerate < 2 || this.#goneForGood > 0) return;
        this.#goneForGood += 1;
        cluster.kill(id);
        this.#machines.splice(this.#machines.indexOf(id), 1);
        break;
    }
  }

  #start(id: string): void {
    this.#cluster.start(id, this.#seeds());
  }

  #thaw(id: string): void {
    this.#cluster.thaw(id, this.#numbers.next() < 0.5 ? 'input' : 'tick');
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

  /** Three of the machines there are, as an operator's list would name them. */
  #seeds(): readonly string[] {
    const seeds = [...this.#machines];
    while (seeds.length > 3) seeds.splice(Math.floor(this.#numbers.next() * seeds.length), 1);
    return seeds;
  }

  /** Reads the version in force and builds the next on it; what was acknowledged must be there. */
  #order(): void {
    const leader = this.#cluster.leader();
    if (leader === '') return;
    const read = this.#cluster.asked(leader, 'read', {}, 600);
    if (read.status !== 200) return;
    const version = versionIn(read.body);
    expect(version, this.#told()).toBeGreaterThanOrEqual(this.#acked);
    expect(version, this.#told()).toBeLessThanOrEqual(this.#sent);
    this.#sent += 1;
    const text = documentOf(this.#sent);
    const body = { id: `edit-${this.#sent}`, base: version, text };
    const answer = this.#cluster.asked(leader, 'configure', body, 1000);
    if (answer.status === 200) this.#acked = this.#sent;
  }
}

function versionIn(body: string): number {
  const read: { readonly routing?: { readonly version: number } } = JSON.parse(body);
  return read.routing?.version ?? 0;
}

function checkDrawn(ids: readonly string[], tolerate: number): void {
  for (let seed = 1; seed <= SEEDS_TRIED; seed += 1) {
    const troubles = new DrawnTroubles(ids, tolerate, seed);
    try {
      troubles.run();
    } catch (thrown) {
      throw new Error(
        `seed ${seed}: ${thrown instanceof Error ? thrown.message : ''}\n${troubles.log.join('\n')}`,
      );
    }
  }
}

test('drawn troubles, one at a time, of three voters', () => checkDrawn(['a:1', 'b:1', 'c:1'], 1));
test('drawn troubles, two at a time, of five voters', () =>
  checkDrawn(['a:1', 'b:1', 'c:1', 'd:1', 'e:1'], 2));
